package jaypitch

import (
	"context"
	"net/http"
	"time"
)

// minStreamedBytes is the shortest response of a download that is streamed.
const minStreamedBytes = 16 << 10

// MeshRequest is a request that the sender's sidecar forwards to the sidecar beside the chosen backend server.
type MeshRequest struct {
	ID     string
	Method string
	// Target is the request target: the path with the query, as the client sent it.
	Target string
	Host   string
	// Header holds the end-to-end header, without the fields that sidecars set.
	Header http.Header
	Body   []byte
	// ReadBody reads the body once the request is admitted, since the sender waits for that before it sends the body.
	// It is nil if Body holds the body already.
	ReadBody func() ([]byte, error)
	// BodySent is called once the server has got the whole body. The receiver doesn't use the body afterwards, so that its memory can be returned.
	// It is nil if the body is needed longer.
	BodySent func()
	// ExpectContinue makes the sender wait with the body until the receiver has admitted the request.
	ExpectContinue bool
	// Rule is the name of the rule that matched.
	Rule string
	// Rank is the priority class of the request; 0 is the most urgent.
	Rank int64
	// Idempotent is true if the request may be executed more than once.
	Idempotent bool
	// Download is true if the response is probably large. It is passed on as it arrives.
	Download bool
	// Local is true if the server is on the sender's host, so that request and response don't use the host's link.
	Local bool
	// ServerID is the ID of the only server that may execute the request.
	ServerID string
	// CallerService is the service of the host that sent the request.
	CallerService string
	// CallerHost is the address of the host that sent the request, as the receiver sees it; empty if that is the receiver's own.
	CallerHost string
	// Deadline is when the client or the rule times out.
	Deadline time.Time
	// TargetDeadline is the end of the rule's latency target for the request.
	TargetDeadline time.Time
	// CompleteBy is when the next best server would have completed the request; zero if no other server is better. The receiving
	// sidecar refuses a request that it would complete later, or that is likely to fail, so that the sender retries it at the
	// next best server.
	CompleteBy time.Time
	// OnBytes is called by the sender now and then while bytes of the response arrive; nil if nobody needs to know.
	OnBytes func()
	// Revision is the store's revision that the sender holds, Era its era.
	Revision int64
	Era      Era
	// LimitHeardAt is when the sender last heard of the rate limit of the server, and RateLimit the limit in requests per second. LimitHeardAt
	// is zero if the sender knows of no limit. A receiver that has just started keeps to the limit until a response of the server tells it.
	LimitHeardAt time.Time
	RateLimit    float64
	// NoTrial is true if a server has refused the request already, so that it isn't used to try whether another one still refuses all.
	NoTrial bool
}

// StreamsResponse reports whether the response of a backend server, with a status and a length in bytes, is passed on as it arrives. Short ones
// and errors are buffered, so that the sender may retry. A length below zero is unknown.
func (f *MeshRequest) StreamsResponse(status int, length int64) bool {
	return f.Download && f.Method != http.MethodHead && status < http.StatusInternalServerError && (length < 0 || length >= minStreamedBytes)
}

// Position returns the position of the sender's replica.
func (f *MeshRequest) Position() Position {
	return Position{Era: f.Era, Revision: f.Revision}
}

// Position returns the position of the receiver's replica.
func (l MeshLoadReport) Position() Position {
	return Position{Era: l.Era, Revision: l.Revision}
}

// MeshResponse is the result of an attempt to forward a MeshRequest.
type MeshResponse struct {
	// Execution is NotExecuted only if it is certain that the server never executed the request and never will.
	Execution Execution
	Code      Code
	Reason    string
	// Arrived is true if the request may have reached the server, whether or not the server rejected it.
	Arrived bool
	// Status, Header and Body are the server's response; set only if Execution is Executed.
	Status int
	Header http.Header
	Body   []byte
	// Head is true for a response to HEAD, which has no body. HeadLength is the Content-Length that it announces, empty if it announces none.
	Head       bool
	HeadLength string
	// Stream follows Body in a long response; nil otherwise. Its Read fails if the response is truncated.
	Stream Stream
	// Length is the number of bytes of Stream if Body is empty; zero if it is unknown.
	Length int64
	// Download is true if Stream is broken off once the reader takes nothing for a time, and is passed on as it arrives.
	Download bool
	// StreamUntil is the time at which the stream ends at the latest. A client that reads too slowly must not hold it longer.
	StreamUntil time.Time
	LoadReport  MeshLoadReport
	// ServiceTime is the time that the server took for the request.
	ServiceTime time.Duration
	// NetworkTime is the part of the attempt's duration, measured by the sender, in which the request was neither queued nor at the server.
	// It is zero within one host.
	NetworkTime time.Duration
	// QueueTime is how long the request was queued at the receiver.
	QueueTime time.Duration
	// RetryAfter is the time after which the receiver expects to have room; set only in refusals.
	RetryAfter time.Duration
}

// Discard closes the stream of a response that isn't used. It may be called on nil.
func (r *MeshResponse) Discard() {
	if r != nil && r.Stream != nil {
		_ = r.Stream.Close() // the client got no part of this response, so the error has no effect
	}
}

// Stream is the rest of a long response's body.
type Stream interface {
	Read(p []byte) (int, error)
	Close() error
}

// MeshLoadReport is the load and state that a receiving sidecar reports with each response.
type MeshLoadReport struct {
	InProgress int
	Queued     int
	// Slots is the number of the server's slots; zero if no report was received.
	Slots int
	// Mean is the expected service time of the rule's requests.
	Mean time.Duration
	// Failing is the share of the rule's latest requests that failed at the server, from 0 to 1.
	Failing float64
	// Refusing is true if the server refused all of the rule's latest requests without executing them. Failing is zero then.
	Refusing bool
	// Stopping is true if the sidecar accepts no new requests.
	Stopping bool
	// Leaving is true if the server stated in a response that it is leaving.
	Leaving bool
	// Answering is the ID of the server that answers at the receiver's address, if several entries of the store name that; empty otherwise.
	Answering string
	// Limited is true if the server names a rate limit, RateLimit, in requests per second from all hosts together. LimitWait is the time
	// until the limit has room for a further request. Both are set only if Limited.
	Limited   bool
	RateLimit float64
	LimitWait time.Duration
	// LinkRate is the rate in bytes per second at which the receiver sends large responses over its host's link; zero if it is unknown, or if the request
	// isn't a download and the link isn't full. LinkWait is the time until the large responses that it has accepted have left.
	LinkRate float64
	LinkWait time.Duration
	// Revision is the store's revision that the receiver holds, Era its era, and SourceAge the time since the store confirmed it.
	Revision  int64
	Era       Era
	SourceAge time.Duration
}

// Forwarder sends a request to the sidecar that listens at an address and runs beside the server of the request.
type Forwarder interface {
	Forward(ctx context.Context, address string, r *MeshRequest) *MeshResponse
}

// NotExecutedResponse returns the response for a request that certainly was not executed.
func NotExecutedResponse(c Code, format string, args ...any) *MeshResponse {
	e := Errorf(c, format, args...)
	return &MeshResponse{Execution: NotExecuted, Code: c, Reason: e.Reason}
}

// ExecutionUnknownResponse returns the response for a request that may have been executed.
func ExecutionUnknownResponse(c Code, format string, args ...any) *MeshResponse {
	e := Errorf(c, format, args...)
	return &MeshResponse{Execution: ExecutionUnknown, Code: c, Reason: e.Reason, Arrived: true}
}
