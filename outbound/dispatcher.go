// Package outbound serves the clients on this host. It matches each request to a rule, forwards it to the sidecar beside a chosen
// server, and returns the complete response or a refusal. It retries and hedges requests within the limits of the rule.
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

// Receiver processes requests for the backend server on this host.
type Receiver interface {
	Serve(ctx context.Context, f *jaypitch.MeshRequest) *jaypitch.MeshResponse
}

// Dispatcher makes the attempts of requests: it chooses servers, retries and hedges. It is safe for concurrent use.
type Dispatcher struct {
	localAddress string
	peerAddress  func(server string) string
	replica      *mesh.Replica
	forwarder    jaypitch.Forwarder
	local        Receiver
	now          func() time.Time
	record       func(f *jaypitch.MeshRequest, r *jaypitch.MeshResponse, attempt int)
	// decodeNotice returns what a server states about itself; nil if the platform's servers state nothing.
	decodeNotice func(http.Header) (jaypitch.ServerNotice, *jaypitch.Error)
	links        links

	// beginAttempt is the argument of WithDataCentreCounts.
	beginAttempt func(dataCentre string) (end func())
	recordAnswer func(mesh.Answer)
	// endsAt is the argument of WithEnd.
	endsAt func() time.Time

	mu     sync.Mutex
	picker *route.MeshPicker
	budget *route.MeshRetryBudget
	// hedgeable holds the attempts of idempotent requests that are in progress, by server ID.
	hedgeable map[string]map[*hedgeable]bool
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// attempts is the state of the attempts of one request.
type attempts struct {
	rule    *mesh.Rule
	service string
	// excluded holds the IDs of the servers that are not to be chosen again.
	excluded []string
	// sent counts all attempts, arrived those that may have reached a server.
	sent, arrived int
	// overloaded counts the attempts that were refused with CodeOverloaded, CodeServerLimit or CodeLinkFull.
	overloaded int
	// refused is true once a server refused the request, or its receiver did so in its place.
	refused bool
	// best is the response to return unless a further attempt has a better one; see keepBest.
	best *jaypitch.MeshResponse
	// retryAfter is the shortest time after which a receiver expects room; zero if none reported one.
	retryAfter time.Duration
}

const (
	// attemptLimit bounds the attempts of one request, including those that didn't arrive at a server.
	attemptLimit = 5
	// completeByAttempts is how many attempts of a request carry a complete-by time. A receiver refuses no other attempts
	// for being slower than the next best server, or for the rule's share of failed requests.
	completeByAttempts = 2
	// maxOverloaded is how many receivers may refuse a request as overloaded before the client gets the refusal.
	maxOverloaded = 2
	// completeByMargin is added to the next best server's time, since a refusal and the retry there take further network round trips.
	completeByMargin = 5 * time.Millisecond
	// responseGrace is how long after the deadline the sender still waits for the receiver's response.
	responseGrace = 80 * time.Millisecond
	// defaultRetryAfter is sent if no receiver reported when it expects room.
	defaultRetryAfter = 250 * time.Millisecond
	minRetryAfter     = 20 * time.Millisecond
	maxRetryAfter     = 2 * time.Second
	// retryAfterJitter is the largest random addition to a retry-after time, as a share of that time.
	retryAfterJitter = 0.6
)

// NewDispatcher returns a dispatcher. LocalAddress is the address of the backend server on this host; peerAddress returns the address
// of the sidecar beside a server. Record is called after each attempt with its number within the request, from 1.
func NewDispatcher(localAddress string, peerAddress func(server string) string, replica *mesh.Replica, forwarder jaypitch.Forwarder, local Receiver,
	picker *route.MeshPicker, budget *route.MeshRetryBudget, now func() time.Time,
	record func(f *jaypitch.MeshRequest, r *jaypitch.MeshResponse, attempt int), options ...Option) *Dispatcher {
	d := &Dispatcher{localAddress: localAddress, peerAddress: peerAddress, replica: replica, forwarder: forwarder, local: local,
		picker: picker, budget: budget, now: now, record: record, hedgeable: map[string]map[*hedgeable]bool{},
		endsAt: func() time.Time { return time.Time{} }}
	d.recordAnswer = func(a mesh.Answer) { replica.RecordAnswer(a, now()) }
	for _, o := range options {
		o(d)
	}
	return d
}

// WithNotices makes the dispatcher decode what servers state about themselves in their responses, since receivers of older builds don't.
func WithNotices(decode func(http.Header) (jaypitch.ServerNotice, *jaypitch.Error)) Option {
	return func(d *Dispatcher) { d.decodeNotice = decode }
}

// WithEnd sets the function that returns when the process ends at the latest; zero if it isn't stopping. Attempts that could end later aren't made.
func WithEnd(at func() time.Time) Option {
	return func(d *Dispatcher) { d.endsAt = at }
}

// Prune drops the state of servers that are not in the table.
func (d *Dispatcher) Prune(t *mesh.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.Prune(t)
}

// Do makes the attempts of a request and returns the response for the client. The attempts and the response's stream are canceled
// responseGrace after the deadline.
func (d *Dispatcher) Do(ctx context.Context, f *jaypitch.MeshRequest, rule *mesh.Rule, service string) *jaypitch.MeshResponse {
	ctx, cancel := context.WithTimeout(ctx, f.Deadline.Sub(d.now())+responseGrace)
	a := &attempts{rule: rule, service: service}
	d.recordRequest(service)
	for a.sent < attemptLimit {
		if d.endsBefore(f) {
			a.keepBest(jaypitch.NotExecutedResponse(jaypitch.CodeStopping, "the sidecar may stop before the deadline of the request"))
			break
		}
		pick := d.pick(a, f)
		if pick.Server == nil {
			a.recordNoServer(pick)
			d.recordEvacuated(a)
			break
		}
		out := d.requestFor(a, f, pick)
		response := d.attempt(ctx, a, out, pick.Server)
		if !d.shouldRetry(ctx, a, f, pick.Server.GetId(), response) {
			break
		}
	}
	r := a.result()
	r.LimitStream(f.Deadline.Add(responseGrace))
	r.ReleaseAfterStream(cancel)
	return r
}

// endsBefore reports whether the process may end before the response to an attempt of a request.
func (d *Dispatcher) endsBefore(f *jaypitch.MeshRequest) bool {
	at := d.endsAt()
	return !at.IsZero() && f.Deadline.Add(responseGrace).After(at)
}

// requestFor returns a copy of the request for the sidecar beside the chosen server.
func (d *Dispatcher) requestFor(a *attempts, f *jaypitch.MeshRequest, pick route.MeshPick) *jaypitch.MeshRequest {
	out := *f
	out.ServerID = pick.Server.GetId()
	p := d.replica.Position()
	out.Revision, out.Era = p.Revision, p.Era
	out.CompleteBy = d.completeBy(a, pick)
	out.NoTrial = a.refused
	out.ExpectContinue = pick.ExpectContinue
	out.OnBytes = func() { d.recordBytes(out.ServerID) }
	out.LimitHeardAt, out.RateLimit = pick.LimitHeardAt, pick.RateLimit
	return &out
}

func (d *Dispatcher) recordRequest(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.RecordRequest(service, d.now())
}

func (d *Dispatcher) pick(a *attempts, f *jaypitch.MeshRequest) route.MeshPick {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	pick := d.picker.Pick(d.replica.Table().Services[a.service], route.PickRequest{Rule: a.rule.GetName(), Rank: a.rule.GetRank(), LatencyTarget: a.rule.LatencyTarget(),
		BodyBytes: len(f.Body), Deadline: f.Deadline, Download: f.Download, TargetDeadline: f.TargetDeadline, Regions: a.rule.GetRegions(), Excluded: a.excluded, NoTrial: a.refused}, now)
	if pick.Server != nil {
		d.picker.Start(pick.Server, now)
		if f.Download {
			d.picker.StartDownload(pick.Server, f.Rule, now)
		}
	}
	return pick
}

// completeBy returns when the next best server would have completed the request, with a margin. It is zero if there is no such server
// or enough attempts have carried this time.
func (d *Dispatcher) completeBy(a *attempts, pick route.MeshPick) time.Time {
	if a.sent >= completeByAttempts || pick.AlternativeTime == 0 {
		return time.Time{}
	}
	return d.now().Add(pick.AlternativeTime + completeByMargin)
}

// cancel ends an attempt in the picker without a result: the hedge's response canceled it, so its outcome says nothing about the receiver.
func (d *Dispatcher) cancel(v *schema.MeshServer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.Cancel(v, d.now())
}

func (d *Dispatcher) finish(v *schema.MeshServer, rule *mesh.Rule, r *jaypitch.MeshResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.Finish(v, rule.GetName(), rule.GetRank(), r, d.now())
}

// attempt sends a request and records the result. An idempotent request is hedged if the receiver becomes unresponsive; then the better
// of the two responses is returned.
func (d *Dispatcher) attempt(ctx context.Context, a *attempts, f *jaypitch.MeshRequest, v *schema.MeshServer) *jaypitch.MeshResponse {
	if v.GetAddress() == d.localAddress || !f.Idempotent {
		r := d.send(ctx, f, v)
		a.sent++
		d.finish(v, a.rule, r)
		d.record(f, r, a.sent)
		return r
	}
	attemptCtx, cancel := context.WithCancelCause(ctx)
	u := &hedgeable{ctx: ctx, cancel: cancel, attempts: a, request: f}
	d.register(v.GetId(), u)
	r := d.send(attemptCtx, f, v)
	r.ReleaseAfterStream(func() { cancel(nil) })
	second := d.unregister(v.GetId(), u)
	if !superseded(attemptCtx) {
		d.finish(v, a.rule, r)
	} else {
		d.cancel(v)
		if r.Stream != nil {
			// Its context has ended, so that it breaks off. The hedge has a response.
			r.Discard()
			r = jaypitch.ExecutionUnknownResponse(jaypitch.CodeCallerGone, "%s", jaypitch.ErrSuperseded)
		}
	}
	a.sent++
	d.record(f, r, a.sent)
	return second.selectResponse(attemptCtx, a, r)
}

// send forwards a request to the sidecar beside a server, or to the local receiver.
func (d *Dispatcher) send(ctx context.Context, f *jaypitch.MeshRequest, v *schema.MeshServer) *jaypitch.MeshResponse {
	defer d.begin(v)()
	if v.GetAddress() == d.localAddress {
		f.Local = true
		return d.local.Serve(ctx, f)
	}
	r := d.forward(ctx, f, v)
	if r.LoadReport.Leaving || d.statesLeaving(r) {
		d.replica.RecordLeaving(v, d.now())
	}
	d.observeAnswer(v, r)
	return r
}

// statesLeaving reports whether the server stated in its response that it is leaving.
func (d *Dispatcher) statesLeaving(r *jaypitch.MeshResponse) bool {
	if d.decodeNotice == nil || r.Execution != jaypitch.Executed {
		return false
	}
	// A limit that can't be decoded is reported by the receiver; it doesn't concern this.
	n, _ := d.decodeNotice(r.Header)
	return n.Leaving
}

// Unresponsive returns the servers whose sidecar is to be probed.
func (d *Dispatcher) Unresponsive() []*schema.MeshServer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picker.Unresponsive(d.now())
}

// RecordProbe records a probe of the sidecar beside a server. Alive is true if the sidecar responded. It reports whether the sidecar
// has become unreachable by this probe. If so, it starts hedges of the idempotent requests in progress there.
func (d *Dispatcher) RecordProbe(id string, alive bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	becameUnreachable := d.picker.RecordProbe(id, alive, d.now())
	if becameUnreachable {
		for u := range d.hedgeable[id] {
			if h := d.newHedge(id, u); h != nil {
				ctx, cancel := context.WithCancel(u.ctx)
				h.cancel = cancel
				go h.run(ctx)
			}
		}
	}
	return becameUnreachable
}

// shouldRetry records a response and reports whether to make a further attempt.
func (d *Dispatcher) shouldRetry(ctx context.Context, a *attempts, f *jaypitch.MeshRequest, server string, r *jaypitch.MeshResponse) bool {
	a.keepBest(r)
	if r.RetryAfter > 0 && (a.retryAfter == 0 || r.RetryAfter < a.retryAfter) {
		a.retryAfter = r.RetryAfter
	}
	if r.Execution == jaypitch.Executed && r.Status < http.StatusInternalServerError || ctx.Err() != nil {
		return false
	}
	if r.Execution != jaypitch.NotExecuted && !a.rule.GetIdempotent() {
		return false
	}
	a.refused = a.refused || r.Code == jaypitch.CodeShed || r.LoadReport.Refusing
	if r.Code != jaypitch.CodeBusy && r.Code != jaypitch.CodeFailing || r.LoadReport.Refusing {
		// After busy or failing the server may be chosen again: the load report of its refusal has updated the picker's estimate.
		a.excluded = append(a.excluded, server)
	}
	if r.Code == jaypitch.CodeEvacuated {
		a.excluded = append(a.excluded, d.serversBeside(server, a.service)...)
	}
	if r.Code == jaypitch.CodeOverloaded || r.Code == jaypitch.CodeServerLimit || r.Code == jaypitch.CodeLinkFull {
		if a.overloaded++; a.overloaded >= maxOverloaded {
			return false
		}
	}
	if !r.Arrived {
		return d.now().Before(f.Deadline)
	}
	a.arrived++
	if a.arrived >= int(a.rule.GetAttempts()) {
		return false
	}
	return d.mayRetry(a, f, r)
}

// mayRetry reports whether one more attempt that may reach a server is within time and budget. After a server error it also requires
// that the rule's failures aren't shared by its servers, since a retry would then fail too and add load.
func (d *Dispatcher) mayRetry(a *attempts, f *jaypitch.MeshRequest, r *jaypitch.MeshResponse) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.Execution == jaypitch.Executed && d.picker.SharedFailure(a.rule.GetName()) {
		return false
	}
	return d.spendRetry(a, f)
}

// spendRetry takes a retry or hedge from the retry budget and reports whether it could. It takes none if the time left is shorter than the
// mean time of the rule's requests. The caller holds the lock.
func (d *Dispatcher) spendRetry(a *attempts, f *jaypitch.MeshRequest) bool {
	now := d.now()
	if f.Deadline.Sub(now) < d.picker.MeanServiceTime(a.rule.GetName()) {
		return false
	}
	return d.budget.Spend(a.service, d.replica.Table().HostCount(), now)
}

// recordNoServer records an overload refusal if the picker chose no server because all are full.
func (a *attempts) recordNoServer(p route.MeshPick) {
	if p.RetryAfter > 0 {
		code := jaypitch.CodeOverloaded
		switch {
		case p.Limited:
			code = jaypitch.CodeServerLimit
		case p.LinkFull:
			code = jaypitch.CodeLinkFull
		}
		a.keepBest(jaypitch.NotExecutedResponse(code, "no server of service %q has room for rule %q", a.service, a.rule.GetName()))
		a.retryAfter = max(a.retryAfter, p.RetryAfter)
	}
}

// keepBest keeps the best of the responses so far. If the request was or may have been executed, only a server's response replaces the response
// kept so far: a refusal would state that the request was not executed.
func (a *attempts) keepBest(r *jaypitch.MeshResponse) {
	if a.best != nil && r.Execution != jaypitch.Executed && a.best.Execution != jaypitch.NotExecuted {
		return
	}
	a.best.Discard()
	a.best = r
}

func (a *attempts) result() *jaypitch.MeshResponse {
	r := a.best
	if r == nil {
		r = jaypitch.NotExecutedResponse(jaypitch.CodeNoBackend, "no server of service %q accepts requests", a.service)
	}
	if r.Execution == jaypitch.NotExecuted {
		r.RetryAfter = jitterRetryAfter(a.retryAfter)
	}
	return r
}

// jitterRetryAfter returns the retry-after time for the client: bounded, and with a random addition so that clients don't retry all at once.
// Zero gives defaultRetryAfter.
func jitterRetryAfter(d time.Duration) time.Duration {
	if d == 0 {
		d = defaultRetryAfter
	}
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d + time.Duration(rand.Float64()*retryAfterJitter*float64(d))
}
