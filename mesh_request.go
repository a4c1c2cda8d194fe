package jaypitch

import (
	"context"
	"net/http"
	"time"
)

// MeshRequest is one request on its way from the sidecar that took it to the sidecar beside the chosen backend server.
type MeshRequest struct {
	ID     string
	Method string
	// Target is the path with its query, unchanged.
	Target string
	Host   string
	// Header holds what is passed on, without the headers that the sidecars set.
	Header http.Header
	Body   []byte
	// ReadBody reads the body once the request is admitted, since until then the sender holds it back; nil if Body holds it already.
	ReadBody func() ([]byte, error)
	// ExpectContinue holds the body back until the receiver has room for the request.
	ExpectContinue bool
	// Rule is the name of the rule that matched.
	Rule string
	// Rank is the rank of the request; 0 is the most urgent.
	Rank int64
	// Idempotent requests may run more than once.
	Idempotent bool
	// ServerID is the identity of the server that may run it.
	ServerID string
	// CallerService is the service on the host where the request began.
	CallerService string
	// Deadline is when the caller or the rule gives up.
	Deadline time.Time
	// TargetDeadline is when the answer stops being good.
	TargetDeadline time.Time
	// CompleteBy is when the request would have ended at the next best server: the receiving sidecar refuses what would end later, or is likely
	// to fail, so that it is tried there. Zero if nowhere else is better.
	CompleteBy time.Time
	// Revision of the store that the sender holds.
	Revision int64
}

// MeshResponse is what became of a Forward.
type MeshResponse struct {
	// Execution is NotRun only if the server surely never ran the request and never will.
	Execution Execution
	Code      Code
	Reason    string
	// Arrived is true if the request may have reached the server, also if that rejected it.
	Arrived bool
	// Status, Header and Body are the server's answer; only if Ran is DidRun.
	Status int
	Header http.Header
	Body   []byte
	// Stream follows Body in a long answer and fails if that is cut; nil otherwise.
	Stream     Stream
	LoadReport MeshLoadReport
	// ServiceTime is how long the server had the request.
	ServiceTime time.Duration
	// NetworkTime is the part of the hand-over in which neither the server nor the queue had the request, as the sender measured it; zero
	// within one host.
	NetworkTime time.Duration
	// QueueTime is how long the request was in the queue.
	QueueTime time.Duration
	// RetryAfter is after how long the receiver expects to have room; only with refusals.
	RetryAfter time.Duration
}

// Discard gives up what is left of a reply that isn't used; a nil reply has nothing.
func (r *MeshResponse) Discard() {
	if r != nil && r.Stream != nil {
		_ = r.Stream.Close() // nothing of it was told to anybody
	}
}

// Stream is the rest of a long answer.
type Stream interface {
	Read(p []byte) (int, error)
	Close() error
}

// MeshLoadReport is what a receiving sidecar tells of its server with each reply.
type MeshLoadReport struct {
	InProgress int
	Queued     int
	Slots      int
	// Mean is the time that the rule's requests are expected to take at the server.
	Mean time.Duration
	// Failing is the share of the rule's latest requests that the server failed, from 0 to 1.
	Failing float64
	// Stopping is true if the sidecar takes no new requests.
	Stopping bool
	// Revision of the store that the receiver holds, and the time since the store confirmed it.
	Revision  int64
	SourceAge time.Duration
}

// Forwarder hands a request to the sidecar beside a server.
type Forwarder interface {
	Forward(ctx context.Context, address string, f *MeshRequest) *MeshResponse
}

// NotExecutedResponse makes a reply that surely was not run.
func NotExecutedResponse(c Code, format string, args ...any) *MeshResponse {
	e := Errorf(c, format, args...)
	return &MeshResponse{Execution: NotExecuted, Code: c, Reason: e.Reason}
}

// ExecutionUnknownResponse makes a reply to a request that may have run.
func ExecutionUnknownResponse(c Code, format string, args ...any) *MeshResponse {
	e := Errorf(c, format, args...)
	return &MeshResponse{Execution: ExecutionUnknown, Code: c, Reason: e.Reason, Arrived: true}
}
