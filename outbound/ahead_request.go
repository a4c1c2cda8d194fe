package outbound

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/jaypitch/jaypitch"
)

// aheadRequest is a request of a client that is in progress before the one ahead of it on the connection has been answered. Its response is held
// until its turn.
type aheadRequest struct {
	handler *Handler
	request *http.Request
	// size is the number of bytes of the request.
	size    int
	arrived time.Time
	cancel  context.CancelFunc
	// taken is closed when the turn of the request has come.
	taken chan struct{}
	done  chan struct{}
	// record and response are set before done is closed.
	record   Record
	response *jaypitch.MeshResponse
	// hold is the memory of the response.
	hold *responseHold
}

// maxAheadRequests bounds the requests of all connections that are in progress ahead of their turn, since their responses are held in memory.
const maxAheadRequests = 64

// aheadConnOf returns the client's connection of a request; nil if its requests aren't read ahead.
func aheadConnOf(ctx context.Context) *aheadConn {
	if c, ok := ctx.Value(connKey{}).(*limitedConn); ok {
		if a, ok := c.Conn.(*aheadConn); ok {
			return a
		}
	}
	return nil
}

// StartedAhead returns how many requests were started before the one ahead of them on the connection was answered, and how many of these were never
// answered.
func (h *Handler) StartedAhead() (started, dropped int64) {
	return h.startedAhead.Load(), h.droppedAhead.Load()
}

// endReadAhead ends the start of requests behind this one, whose response is about to be written. It reports whether some are in progress, so that the
// connection has to stay open.
func endReadAhead(r *http.Request) bool {
	c := aheadConnOf(r.Context())
	return c != nil && c.end()
}

// serveInTurn returns the response to a request whose turn has come on its connection, and its memory in hold. If the request was started before,
// it sets when that was. Cancel ends the request's context.
func (h *Handler) serveInTurn(r *http.Request, cancel context.CancelFunc, local LocalState, arrived *time.Time, rec *Record, hold *responseHold) *jaypitch.MeshResponse {
	c := aheadConnOf(r.Context())
	if c == nil {
		return h.respond(r, local, *arrived, rec, hold)
	}
	a := c.take(r)
	c.begin(r, cancel, h.startAhead)
	if a == nil {
		return h.respond(r, local, *arrived, rec, hold)
	}
	response, record := a.await(r.Context())
	*arrived, *rec, *hold = a.arrived, record, *a.hold
	return response
}

// startAhead starts a request that follows another one on its connection, or returns nil if it has to wait for its turn.
func (h *Handler) startAhead(current, next *http.Request) *aheadRequest {
	if !h.mayRunBeside(current) || !h.mayRunBeside(next) || h.localState().Stopping {
		return nil
	}
	if h.ahead.Add(1) > maxAheadRequests {
		h.ahead.Add(-1)
		return nil
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(current.Context()))
	a := &aheadRequest{handler: h, request: next, arrived: h.now(), cancel: cancel, taken: make(chan struct{}), done: make(chan struct{}), record: Record{ID: next.Header.Get(h.names.RequestID)},
		hold: &responseHold{memory: h.responses}}
	h.startedAhead.Add(1)
	h.inProgress.Add(1)
	go a.run(ctx)
	return a
}

// mayRunBeside reports whether a request may be in progress at the same time as others of its connection: it is idempotent, has no body, and its
// response is short and leaves the connection open.
func (h *Handler) mayRunBeside(r *http.Request) bool {
	if r.ContentLength != 0 || len(r.TransferEncoding) > 0 || !r.ProtoAtLeast(1, 1) || r.Close || r.Host == "" || r.Method == http.MethodHead {
		return false
	}
	if r.Header.Get("Expect") != "" || r.Header.Get("Upgrade") != "" {
		return false
	}
	rule := h.replica.Table().Match(r.Host, r.URL.EscapedPath())
	return rule != nil && rule.GetIdempotent() && !rule.GetDownload()
}

// run makes the attempts of the request, and holds the response until its turn or until the connection ends.
func (a *aheadRequest) run(ctx context.Context) {
	h := a.handler
	defer h.inProgress.Add(-1)
	defer h.ahead.Add(-1)
	a.response = h.respond(a.request.WithContext(ctx), h.localState(), a.arrived, &a.record, a.hold)
	a.hold.settle(a.response)
	close(a.done)
	select {
	case <-a.taken:
	case <-ctx.Done():
		if !a.wasTaken() {
			a.response.Discard()
			a.hold.release()
			h.droppedAhead.Add(1)
		}
	}
}

func (a *aheadRequest) wasTaken() bool {
	select {
	case <-a.taken:
		return true
	default:
		return false
	}
}

// await returns the response of the request, whose turn has come. It cancels the request if ctx ends.
func (a *aheadRequest) await(ctx context.Context) (*jaypitch.MeshResponse, Record) {
	stop := context.AfterFunc(ctx, a.cancel)
	defer stop()
	<-a.done
	return a.response, a.record
}

// isFor reports whether the request is the same as one that the HTTP server has read.
func (a *aheadRequest) isFor(r *http.Request) bool {
	return a.request.Method == r.Method && a.request.RequestURI == r.RequestURI && a.request.Host == r.Host && a.request.Proto == r.Proto &&
		r.ContentLength == 0 && maps.EqualFunc(a.request.Header, r.Header, slices.Equal[[]string])
}
