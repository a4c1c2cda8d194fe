package jaypitch

// HeaderNames are the names of the headers that clients, sidecars and backend servers of a platform share.
type HeaderNames struct {
	// RequestID identifies a request; the response repeats it.
	RequestID string
	// TimeLeftMS is how long the client waits for the response, in milliseconds.
	TimeLeftMS string
	// ServerStamp marks a response as made by a backend server.
	ServerStamp string
	// ExpectServer is the ID of the only server that may execute the request.
	ExpectServer string
	// NotExecuted marks the response of a server that did not execute the request.
	NotExecuted string
	// CallerService is the service of the host that sent the request.
	CallerService string
	// ServerID is the ID of the server that made a response.
	ServerID string
}
