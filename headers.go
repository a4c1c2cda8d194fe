package jaypitch

// HeaderNames are the names of the headers that callers, sidecars and backend servers of a platform agree on.
type HeaderNames struct {
	// RequestID names one request of a caller; an answer bears the same.
	RequestID string
	// TimeLeftMS is how many milliseconds the caller will wait.
	TimeLeftMS string
	// ServerStamp marks an answer that a backend server made.
	ServerStamp string
	// ExpectServer is the identity of the only server that may run the request.
	ExpectServer string
	// NotExecuted marks an answer of a server that did not run the request.
	NotExecuted string
	// CallerService names the service on the host where the request began.
	CallerService string
	// ServerID is the identity of a server in its answers.
	ServerID string
}
