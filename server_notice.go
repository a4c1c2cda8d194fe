package jaypitch

// ServerNotice is what a backend server states about itself in a response.
type ServerNotice struct {
	// Limited is true if the server names a rate limit. It holds until a response of the server names none.
	Limited bool
	// RateLimit is the number of requests per second that the server takes from all hosts together; set only if Limited.
	RateLimit float64
	// Leaving is true if the server is about to end and takes no new requests.
	Leaving bool
}
