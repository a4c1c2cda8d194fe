package outbound

import (
	"context"
	"errors"
	"net/http"

	"github.com/jaypitch/jaypitch"
)

// hedgeable is an attempt of an idempotent request for which a hedge may be started.
type hedgeable struct {
	// ctx is the context of the whole request; cancel cancels only this attempt.
	ctx      context.Context
	cancel   context.CancelCauseFunc
	attempts *attempts
	request  *jaypitch.MeshRequest
	// hedge is the second attempt; nil if none was started.
	hedge *hedge
	// ended is true once the attempt has a response. It is canceled no more.
	ended bool
}

// hedge is a second attempt beside one whose sidecar is unresponsive. The first continues, since its server may be executing the request.
type hedge struct {
	dispatcher *Dispatcher
	first      *hedgeable
	attempts   *attempts
	cancel     context.CancelFunc
	done       chan struct{}
	// server and response are set before done is closed; response is nil if no server could be chosen.
	server   string
	response *jaypitch.MeshResponse
}

func (d *Dispatcher) register(id string, u *hedgeable) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hedgeable[id] == nil {
		d.hedgeable[id] = map[*hedgeable]bool{}
	}
	d.hedgeable[id][u] = true
}

// unregister removes an attempt that has ended, so that no hedge is started for it any more. It returns the hedge that was started, or nil.
func (d *Dispatcher) unregister(id string, u *hedgeable) *hedge {
	d.mu.Lock()
	defer d.mu.Unlock()
	u.ended = true
	delete(d.hedgeable[id], u)
	if len(d.hedgeable[id]) == 0 {
		delete(d.hedgeable, id)
	}
	return u.hedge
}

// newHedge returns a hedge if attempts, time and budget are left; nil otherwise. The caller holds the lock.
func (d *Dispatcher) newHedge(id string, u *hedgeable) *hedge {
	a := u.attempts
	if u.hedge != nil || a.sent+1 >= attemptLimit || a.arrived+1 >= int(a.rule.GetAttempts()) {
		return nil
	}
	if d.endsBefore(u.request) || !d.spendRetry(a, u.request) {
		return nil
	}
	h := &hedge{dispatcher: d, first: u, done: make(chan struct{}),
		attempts: &attempts{rule: a.rule, service: a.service, excluded: append(append([]string(nil), a.excluded...), id), sent: a.sent + 1}}
	u.hedge = h
	return h
}

// run makes the second attempt. A successful response cancels the first attempt.
func (h *hedge) run(ctx context.Context) {
	defer close(h.done)
	d := h.dispatcher
	pick := d.pick(h.attempts, h.first.request)
	if pick.Server == nil {
		return
	}
	out := d.requestFor(h.attempts, h.first.request, pick)
	h.server = out.ServerID
	h.response = d.send(ctx, out, pick.Server)
	d.finish(pick.Server, h.attempts.rule, h.response)
	d.record(out, h.response, h.attempts.sent+1)
	if succeeded(h.response) {
		d.supersede(h.first)
	}
}

// supersede cancels a first attempt in favour of its hedge, unless it has ended: its response may be in use, and its stream needs the context.
func (d *Dispatcher) supersede(u *hedgeable) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !u.ended {
		u.cancel(jaypitch.ErrSuperseded)
	}
}

// selectResponse waits for the hedge and returns the better of its response and that of the first attempt. A successful response of the
// first attempt cancels the hedge, unless the hedge canceled the first attempt before: that may have broken the response's stream. The hedge may
// be nil.
func (h *hedge) selectResponse(ctx context.Context, a *attempts, first *jaypitch.MeshResponse) *jaypitch.MeshResponse {
	if h == nil {
		return first
	}
	if succeeded(first) && !superseded(ctx) {
		h.cancel()
		<-h.done
		h.response.Discard()
		return first
	}
	<-h.done
	if h.response == nil {
		return first
	}
	a.sent++
	a.excluded = append(a.excluded, h.server)
	chosen, other := first, h.response
	if succeeded(h.response) || certainty(h.response) > certainty(first) {
		chosen, other = h.response, first
	}
	// The caller counts the attempt of the response that it gets.
	if other.Arrived {
		a.arrived++
	}
	other.Discard()
	return chosen
}

// certainty orders responses by how surely the server executed the request. Of two responses the surer one holds for the request: one that
// says "not executed" is not if the other attempt may have been executed.
func certainty(r *jaypitch.MeshResponse) int {
	switch r.Execution {
	case jaypitch.Executed:
		return 2
	case jaypitch.ExecutionUnknown:
		return 1
	}
	return 0
}

// succeeded reports whether a response ends the attempts: the server executed the request and its status is below 500.
func succeeded(r *jaypitch.MeshResponse) bool {
	return r != nil && r.Execution == jaypitch.Executed && r.Status < http.StatusInternalServerError
}

// superseded reports whether the hedge's successful response canceled the attempt.
func superseded(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), jaypitch.ErrSuperseded)
}
