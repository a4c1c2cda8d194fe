package jaypitch

import (
	"io"
	"net/http"
)

// Names of the headers of calls. Times cross the wire as time left, since no two hosts' clocks are compared.
const (
	// HeaderCustomer names the caller's customer.
	HeaderCustomer = "Jaypitch-Customer"
	// HeaderTimeLeft is the time left for the call, in microseconds.
	HeaderTimeLeft = "Jaypitch-Time-Left-Us"
	// HeaderRetries is how many further attempts the chain of calls may make; backend servers pass it on.
	HeaderRetries = "Jaypitch-Retries-Left"
	// HeaderToken names an attempt of a call that isn't idempotent.
	HeaderToken = "Jaypitch-Token"
	// HeaderCode and HeaderRan are the result code and whether the work was done.
	HeaderCode = "Jaypitch-Code"
	HeaderRan  = "Jaypitch-Ran"
	// HeaderRevision is the revision of the team that the node held.
	HeaderRevision = "Jaypitch-Revision"

	// HeaderShed on a 503 of a backend server says that it shed the request before running it.
	HeaderShed = "Shed"
	// HeaderDraining on an answer of a backend server says that it is leaving.
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

// DefaultRetries is how many further attempts a chain of calls may make if the caller doesn't say.
const DefaultRetries = 3

// Attempt is one try of a call at one host.
type Attempt struct {
	*Request
	// Sender is the host that the call arrived at.
	Sender string
	// Process is the process that the attempt is meant for; zero if the sender doesn't know it.
	Process uint64
	// Revision is the sender's revision of the team.
	Revision int64
}

// Response is what a receiving node gives back: a whole or a streamed answer of the backend server, or a refusal.
type Response struct {
	Code   Code
	Reason string
	Status int
	Header http.Header
	Body   []byte
	// Stream follows Body if the answer is too large to hold; nil otherwise. It fails if the answer is cut off.
	Stream     io.ReadCloser
	LoadReport LoadReport
}

// LoadReport is what a receiving node tells about itself with each answer.
type LoadReport struct {
	Process uint64
	// Epoch is the receiving process's age in seconds.
	Epoch int64
	// Load is the share of the backend server's slots in use; over 1 if calls wait.
	Load float64
	// RetryAfterUS asks the sender to send no calls of this rank for a time.
	RetryAfterUS int64
	Stopping     bool
	// Revision is the receiver's revision of the team.
	Revision int64
}

// NewRefusal makes an answer that carries no work of a backend server.
func NewRefusal(c Code, reason string) *Response {
	return &Response{Code: c, Reason: reason, Status: c.Info().Status, Header: http.Header{}}
}

// RefusalOf makes a refusal of an error; an error without a code is unknown.
func RefusalOf(err error) *Response {
	if e, ok := err.(*Error); ok {
		return NewRefusal(e.Code, e.Reason)
	}
	return NewRefusal(CodeUnknown, err.Error())
}

// Copy returns an answer whose header may be changed.
func (a *Response) Copy() *Response {
	c := *a
	c.Header = a.Header.Clone()
	return &c
}
