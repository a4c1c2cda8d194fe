package jaypitch

import (
	"io"
	"net/http"
)

// Names of the headers of requests and responses. Deadlines are sent as the time left, since the clocks of two hosts are never compared.
const (
	// HeaderCustomer is the customer on whose behalf the client sends the request.
	HeaderCustomer = "Jaypitch-Customer"
	// HeaderTimeLeft is the time left until the request's deadline, in microseconds.
	HeaderTimeLeft = "Jaypitch-Time-Left-Us"
	// HeaderRetries is how many further attempts the chain of requests may make. Backend servers copy it to the requests that they send.
	HeaderRetries = "Jaypitch-Retries-Left"
	// HeaderToken identifies an attempt of a request that isn't idempotent.
	HeaderToken = "Jaypitch-Token"
	// HeaderCode is the result code, HeaderExecution the Execution of the request.
	HeaderCode      = "Jaypitch-Code"
	HeaderExecution = "Jaypitch-Ran"
	// HeaderRevision is the revision of the team's document that the node holds.
	HeaderRevision = "Jaypitch-Revision"

	// HeaderShed, on a 503 response of a backend server, says that the server shed the request before executing it.
	HeaderShed = "Shed"
	// HeaderDraining, on a response of a backend server, says that the server is draining.
	HeaderDraining = "Draining"
)

// Names of the headers between nodes.
const (
	HeaderTeam       = "Jaypitch-Team"
	HeaderRoute      = "Jaypitch-Route"
	HeaderSender     = "Jaypitch-Sender"
	HeaderProcess    = "Jaypitch-Process"
	HeaderEpoch      = "Jaypitch-Epoch"
	HeaderRepeat     = "Jaypitch-Repeat"
	HeaderLoad       = "Jaypitch-Load"
	HeaderRetryAfter = "Jaypitch-Hold-Off-Us"
	HeaderStopping   = "Jaypitch-Stopping"
	HeaderReason     = "Jaypitch-Reason"
)

// DefaultRetries is how many further attempts a chain of requests may make if the client sends no HeaderRetries.
const DefaultRetries = 3

// Attempt is one transmission of a request to one host.
type Attempt struct {
	*Request
	// Sender is the host whose node received the request from the client.
	Sender string
	// Process is the receiving process that the attempt is meant for; zero if the sender doesn't know it.
	Process uint64
	// Revision is the revision of the team's document that the sender holds.
	Revision int64
}

// Response is what a receiving node returns: the backend server's response, buffered or streamed, or a refusal.
type Response struct {
	Code   Code
	Reason string
	Status int
	Header http.Header
	Body   []byte
	// Stream follows Body if the response is too large to buffer; nil otherwise. Its Read fails if the response is truncated.
	Stream     io.ReadCloser
	LoadReport LoadReport
}

// LoadReport is the load and state that a receiving node reports with each response.
type LoadReport struct {
	Process uint64
	// Epoch is the age of the receiving process in seconds.
	Epoch int64
	// Load is the share of the backend server's slots in use; over 1 if requests are queued.
	Load float64
	// RetryAfterUS is how long the sender should send no requests of this rank, in microseconds.
	RetryAfterUS int64
	Stopping     bool
	// Revision is the revision of the team's document that the receiver holds.
	Revision int64
}

// NewRefusal returns the refusal with a code and a reason, and with the HTTP status of the code.
func NewRefusal(c Code, reason string) *Response {
	return &Response{Code: c, Reason: reason, Status: c.Info().Status, Header: http.Header{}}
}

// RefusalOf returns the refusal for an error. An error that isn't an *Error gets CodeUnknown.
func RefusalOf(err error) *Response {
	if e, ok := err.(*Error); ok {
		return NewRefusal(e.Code, e.Reason)
	}
	return NewRefusal(CodeUnknown, err.Error())
}

// Copy returns a response with its own copy of the header; the bodies are shared.
func (a *Response) Copy() *Response {
	c := *a
	c.Header = a.Header.Clone()
	return &c
}
