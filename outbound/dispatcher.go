// Package outbound speaks to callers: it takes the requests of the callers on this host, finds the rule, passes each
// request to the sidecar beside a chosen server, and gives back the whole answer or an honest refusal.
package outbound

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/route"
	"github.com/jaypitch/jaypitch/schema"
)

// Receiver takes requests for the backend server on this host.
type Receiver interface {
	Serve(ctx context.Context, f *jaypitch.MeshRequest) *jaypitch.MeshResponse
}

// Dispatcher makes the attempts of requests. It is safe for concurrent use.
type Dispatcher struct {
	own    string
	peer   func(server string) string
	state  *mesh.Replica
	hop    jaypitch.Forwarder
	local  Receiver
	now    func() time.Time
	record func(f *jaypitch.MeshRequest, r *jaypitch.MeshResponse, pass int)

	mu      sync.Mutex
	chooser *route.MeshPicker
	quota   *route.MeshRetryBudget
	// underWay holds the hand-overs of idempotent requests, by server.
	underWay map[string]map[*underWay]bool
}

// attempts is what has been tried for one request.
type attempts struct {
	rule    *mesh.Rule
	service string
	// tried names the servers that get this request no more.
	tried []string
	// passes counts hand-overs to sidecars, arrivals those that may have reached a server.
	passes, arrivals int
	// overloaded counts the sidecars that had no room.
	overloaded int
	// kept is the answer to give back if no further attempt does better.
	kept *jaypitch.MeshResponse
	// back is the shortest time after which a receiver expects room.
	back time.Duration
}

const (
	// maxPasses bounds the sidecars that one request is handed to.
	maxPasses = 5
	// busyPasses is how many sidecars may refuse a request because it would take longer than elsewhere, or is likely to fail.
	busyPasses = 2
	// fullPasses is how many sidecars may have no room before the caller is refused.
	fullPasses = 2
	// spareWait is the time beyond the next best server's at which it is better to try there: some hops.
	spareWait = 5 * time.Millisecond
	// passGrace is how long after the deadline the receiving sidecar's answer is awaited.
	passGrace = 80 * time.Millisecond
	// defaultComeBack is told if no receiver said when it expects room.
	defaultComeBack = 250 * time.Millisecond
	minComeBack     = 20 * time.Millisecond
	maxComeBack     = 2 * time.Second
	// comeBackSpread spreads returns, as a part of the time told.
	comeBackSpread = 0.6
)

// NewDispatcher makes a dispatcher. Own is the address of the backend server on this host; peer returns the address of the
// sidecar beside a server. Record is called for each hand-over.
func NewDispatcher(own string, peer func(server string) string, state *mesh.Replica, hop jaypitch.Forwarder, local Receiver, chooser *route.MeshPicker, quota *route.MeshRetryBudget,
	now func() time.Time, record func(f *jaypitch.MeshRequest, r *jaypitch.MeshResponse, pass int)) *Dispatcher {
	return &Dispatcher{own: own, peer: peer, state: state, hop: hop, local: local, chooser: chooser, quota: quota, now: now, record: record, underWay: map[string]map[*underWay]bool{}}
}

// Prune forgets servers that are not listed any more.
func (d *Dispatcher) Prune(t *mesh.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.chooser.Prune(t)
}

// Do makes the attempts of a request and returns the reply to give back.
func (d *Dispatcher) Do(ctx context.Context, f *jaypitch.MeshRequest, rule *mesh.Rule, service string) *jaypitch.MeshResponse {
	ctx, cancel := context.WithTimeout(ctx, f.Deadline.Sub(d.now())+passGrace)
	defer cancel()
	a := &attempts{rule: rule, service: service}
	d.first(service)
	for a.passes < maxPasses {
		pick := d.choose(a, f)
		if pick.Server == nil {
			a.noServer(pick)
			break
		}
		own := d.forwardTo(a, f, pick)
		reply := d.pass(ctx, a, own, pick.Server)
		if !d.again(ctx, a, f, pick.Server.GetId(), reply) {
			break
		}
	}
	return a.result()
}

// forwardTo makes what is handed to the sidecar beside the chosen server.
func (d *Dispatcher) forwardTo(a *attempts, f *jaypitch.MeshRequest, pick route.MeshPick) *jaypitch.MeshRequest {
	own := *f
	own.ServerID = pick.Server.GetId()
	own.Revision = d.state.Revision()
	own.CompleteBy = d.endBy(a, pick)
	own.ExpectContinue = pick.ExpectContinue
	return &own
}

func (d *Dispatcher) first(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.quota.RecordRequest(service, d.now())
}

func (d *Dispatcher) choose(a *attempts, f *jaypitch.MeshRequest) route.MeshPick {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	pick := d.chooser.Pick(d.state.Table().Services[a.service], route.PickRequest{Rule: a.rule.GetName(), LatencyTarget: a.rule.Target(), BodyBytes: len(f.Body), Excluded: a.tried}, now)
	if pick.Server != nil {
		d.chooser.Start(pick.Server, now)
	}
	return pick
}

// endBy is when the request would have ended at the next best server; zero if that isn't known, or has been tried enough.
func (d *Dispatcher) endBy(a *attempts, pick route.MeshPick) time.Time {
	if a.passes >= busyPasses || pick.AlternativeTime == 0 {
		return time.Time{}
	}
	return d.now().Add(pick.AlternativeTime + spareWait)
}

// ended notes the end of a hand-over that says nothing of the sidecar.
func (d *Dispatcher) ended(v *schema.MeshServer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.chooser.Cancel(v, d.now())
}

func (d *Dispatcher) finish(v *schema.MeshServer, rule string, r *jaypitch.MeshResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.chooser.Finish(v, rule, r, d.now())
}

// pass hands a request over and notes what became of it; if the sidecar goes silent, a spare may answer in its place.
func (d *Dispatcher) pass(ctx context.Context, a *attempts, f *jaypitch.MeshRequest, v *schema.MeshServer) *jaypitch.MeshResponse {
	if v.GetAddress() == d.own || !f.Idempotent {
		r := d.send(ctx, f, v)
		a.passes++
		d.finish(v, a.rule.GetName(), r)
		d.record(f, r, a.passes)
		return r
	}
	own, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	u := &underWay{ctx: ctx, cancel: cancel, attempts: a, forward: f}
	d.enter(v.GetId(), u)
	r := d.send(own, f, v)
	s := d.leave(v.GetId(), u)
	if !stopped(own) {
		d.finish(v, a.rule.GetName(), r)
	} else {
		d.ended(v)
	}
	a.passes++
	d.record(f, r, a.passes)
	return s.settle(a, r)
}

// send hands a request to the sidecar beside a server.
func (d *Dispatcher) send(ctx context.Context, f *jaypitch.MeshRequest, v *schema.MeshServer) *jaypitch.MeshResponse {
	if v.GetAddress() == d.own {
		return d.local.Serve(ctx, f)
	}
	return d.hop.Forward(ctx, d.peer(v.GetAddress()), f)
}

// Unresponsive returns the servers beside which the sidecar has to be asked for a sign of life.
func (d *Dispatcher) Unresponsive() []*schema.MeshServer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.chooser.Unresponsive(d.now())
}

// RecordProbe notes a sign of life of the sidecar beside a server, or its absence; then idempotent requests under way
// there are tried elsewhere as well. It returns true if the sidecar has just been taken for dead.
func (d *Dispatcher) RecordProbe(id string, alive bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	died := d.chooser.RecordProbe(id, alive, d.now())
	if died {
		for u := range d.underWay[id] {
			if s := d.spareFor(id, u); s != nil {
				ctx, cancel := context.WithCancel(u.ctx)
				s.cancel = cancel
				go s.run(ctx)
			}
		}
	}
	return died
}

// again decides whether a further attempt is made after a reply.
func (d *Dispatcher) again(ctx context.Context, a *attempts, f *jaypitch.MeshRequest, server string, r *jaypitch.MeshResponse) bool {
	a.keep(r)
	if r.RetryAfter > 0 && (a.back == 0 || r.RetryAfter < a.back) {
		a.back = r.RetryAfter
	}
	if r.Execution == jaypitch.Executed && r.Status < http.StatusInternalServerError || ctx.Err() != nil {
		return false
	}
	if r.Execution != jaypitch.NotExecuted && !a.rule.GetIdempotent() {
		return false
	}
	if r.Code != jaypitch.CodeBusy && r.Code != jaypitch.CodeFailing {
		// A server that is slower or fails more than was thought is weighed again by what was told.
		a.tried = append(a.tried, server)
	}
	if r.Code == jaypitch.CodeOverloaded {
		if a.overloaded++; a.overloaded >= fullPasses {
			return false
		}
	}
	if !r.Arrived {
		return d.now().Before(f.Deadline)
	}
	a.arrivals++
	if a.arrivals >= int(a.rule.GetAttempts()) {
		return false
	}
	return d.mayRepeat(a, f, r)
}

// mayRepeat says whether there is time and budget for one more arrival at a server.
func (d *Dispatcher) mayRepeat(a *attempts, f *jaypitch.MeshRequest, r *jaypitch.MeshResponse) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.Execution == jaypitch.Executed && d.chooser.SharedFailure(a.rule.GetName()) {
		return false
	}
	return d.budgeted(a, f)
}

// budgeted takes one more arrival out of the budget, if there is time for it. The caller holds the lock.
func (d *Dispatcher) budgeted(a *attempts, f *jaypitch.MeshRequest) bool {
	now := d.now()
	if f.Deadline.Sub(now) < d.chooser.MeanServiceTime(a.rule.GetName()) {
		return false
	}
	return d.quota.Spend(a.service, d.state.Table().Hosts(), now)
}

// noServer notes why no server could be chosen.
func (a *attempts) noServer(p route.MeshPick) {
	if p.RetryAfter > 0 {
		a.keep(jaypitch.NotExecutedResponse(jaypitch.CodeOverloaded, "no server of service %q has room for rule %q", a.service, a.rule.GetName()))
		a.back = max(a.back, p.RetryAfter)
	}
}

// keep holds the reply that says most: one that may have run is never replaced by one that surely did not.
func (a *attempts) keep(r *jaypitch.MeshResponse) {
	if a.kept != nil && r.Execution != jaypitch.Executed && a.kept.Execution != jaypitch.NotExecuted {
		return
	}
	a.kept.Discard()
	a.kept = r
}

func (a *attempts) result() *jaypitch.MeshResponse {
	r := a.kept
	if r == nil {
		r = jaypitch.NotExecutedResponse(jaypitch.CodeNoBackend, "no server of service %q takes requests", a.service)
	}
	if r.Execution == jaypitch.NotExecuted {
		r.RetryAfter = comeBack(a.back)
	}
	return r
}

// comeBack turns the time after which room is expected into the one to tell, spread so that callers don't return at one moment.
func comeBack(d time.Duration) time.Duration {
	if d == 0 {
		d = defaultComeBack
	}
	d = min(max(d, minComeBack), maxComeBack)
	return d + time.Duration(rand.Float64()*comeBackSpread*float64(d))
}
