// Package caller speaks to callers: it takes their calls over HTTP, finds the route, passes each call to a
// backend server by way of its node and gives back the whole answer, or a numbered refusal.
package caller

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/http1"
	"github.com/jaypitch/jaypitch/once"
	"github.com/jaypitch/jaypitch/route"
	"github.com/jaypitch/jaypitch/settings"
)

// Forwarder sends an attempt to the node at an address.
type Forwarder interface {
	Do(ctx context.Context, address string, a *jaypitch.Attempt) (*jaypitch.Response, error)
	// CloseIdle closes the connections that are not in use.
	CloseIdle()
}

// Receiver takes attempts for the backend server on this host.
type Receiver interface {
	Serve(ctx context.Context, a *jaypitch.Attempt) *jaypitch.Response
}

// Result is the end of a call.
type Result struct {
	Response *jaypitch.Response
	// Token names the attempt that may have run, if the answer is unknown.
	Token    string
	Attempts int
	Route    *settings.Route

	// unsure is the answer of an earlier attempt that may have run.
	unsure *jaypitch.Response
}

// Dispatcher makes the attempts of calls. It is safe for concurrent use.
type Dispatcher struct {
	host   string
	store  *settings.Replica
	passer Forwarder
	local  Receiver
	now    func() time.Time
	nonce  func() uint64
	behind func(host string)

	mu      sync.Mutex
	picker  *route.Picker
	budget  *route.RetryBudget
	retries int64
}

// stopPoll is how often the calls to a process that is about to end are counted.
const stopPoll = 5 * time.Millisecond

// NewDispatcher makes a dispatcher. Behind is called when another host turns out to hold newer settings.
func NewDispatcher(host string, store *settings.Replica, passer Forwarder, local Receiver, picker *route.Picker, now func() time.Time, nonce func() uint64, behind func(host string)) *Dispatcher {
	return &Dispatcher{host: host, store: store, passer: passer, local: local, now: now, nonce: nonce, behind: behind,
		picker: picker, budget: route.NewRetryBudget()}
}

// Do makes the attempts of a call on a route.
func (d *Dispatcher) Do(ctx context.Context, c *jaypitch.Request, rt *settings.Route) *Result {
	d.earn()
	p := &route.RetryPolicy{Idempotent: rt.Idempotent, Deadline: c.Deadline, Retries: c.Retries}
	result := &Result{Route: rt}
	var tried []string
	for {
		choice, e := d.pick(rt, tried)
		if e != nil {
			return result.ended(e)
		}
		c.Retries = p.Retries
		a := d.attempt(c, rt, choice)
		result.Attempts++
		result.Response = d.try(ctx, choice, a, rt)
		result.Token = ""
		if result.Response.Code.Info().Execution == jaypitch.ExecutionUnknown {
			result.Token = a.Token
		}
		if ctx.Err() != nil || !d.again(p, result.Response.Code) {
			return result.settle()
		}
		if result.Response.Code.Info().Execution != jaypitch.NotExecuted {
			result.unsure = result.Response
		}
		if result.Response.Code != jaypitch.CodeOtherProcess {
			tried = append(tried, choice.Host.Name)
		}
		if rt, e = d.reroute(c); e != nil {
			return result.ended(e)
		}
		p.Idempotent = p.Idempotent && rt.Idempotent
	}
}

// Repeat asks the host that a token names for the outcome of its attempt. It never runs the work.
func (d *Dispatcher) Repeat(ctx context.Context, c *jaypitch.Request) *Result {
	token, e := once.ParseToken(c.Token)
	if e != nil {
		return &Result{Response: jaypitch.RefusalOf(e)}
	}
	a := &jaypitch.Attempt{Request: c, Sender: d.host, Process: token.Process}
	a.Repeat = true
	result := &Result{Token: c.Token, Attempts: 1}
	if token.Host == d.host {
		result.Response = d.local.Serve(ctx, a)
		return result
	}
	h := d.store.Table().Host(token.Host)
	if h == nil {
		result.Response = jaypitch.NewRefusal(jaypitch.CodeUnknown, "the host of the token is not in the host list")
		return result
	}
	answer, err := d.passer.Do(ctx, h.Address, a)
	if err != nil {
		answer = jaypitch.NewRefusal(jaypitch.CodeUnknown, "the host of the token gives no answer: "+err.Error())
	}
	result.Response = answer
	return result
}

// Retries returns the number of further attempts made.
func (d *Dispatcher) Retries() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retries
}

// Ejected returns the hosts that are ejected now.
func (d *Dispatcher) Ejected() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picker.Ejected(d.now())
}

// StopSending returns once no call is being sent to a process that is about to end, and none will be.
func (d *Dispatcher) StopSending(ctx context.Context, host string, process uint64) error {
	d.mu.Lock()
	d.picker.MarkStopping(host, process, d.now())
	d.mu.Unlock()
	t := time.NewTicker(stopPoll)
	defer t.Stop()
	for d.inFlight(host) > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	d.passer.CloseIdle()
	return nil
}

func (d *Dispatcher) inFlight(host string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picker.InProgress(host)
}

// Prune forgets hosts that are not listed any more.
func (d *Dispatcher) Prune(t *settings.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.Prune(t)
}

// ended keeps the last answer if there was one, since it says more than that no host is left.
func (r *Result) ended(e *jaypitch.Error) *Result {
	if r.Response == nil {
		r.Response = jaypitch.RefusalOf(e)
	}
	return r.settle()
}

// settle keeps a last attempt that did not run from hiding an earlier one that may have.
func (r *Result) settle() *Result {
	if r.unsure != nil && r.Response.Code.Info().Execution == jaypitch.NotExecuted {
		r.Response = r.unsure
	}
	return r
}

func (d *Dispatcher) earn() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.RecordRequest()
}

func (d *Dispatcher) pick(rt *settings.Route, tried []string) (route.Pick, *jaypitch.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	choice, e := d.picker.Pick(rt.Service, rt.Rank.Name, tried, now)
	if e == nil {
		d.picker.Start(choice.Host.Name, now)
	}
	return choice, e
}

func (d *Dispatcher) again(p *route.RetryPolicy, c jaypitch.Code) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	again := p.ShouldRetry(c, d.budget, d.now())
	if again {
		d.retries++
	}
	return again
}

// reroute looks at the table again before a further attempt.
func (d *Dispatcher) reroute(c *jaypitch.Request) (*settings.Route, *jaypitch.Error) {
	return d.store.Table().Route(c.Team, c.Route, c.Customer)
}

// attempt addresses a call to a chosen host. Work that isn't idempotent gets a token of its own.
func (d *Dispatcher) attempt(c *jaypitch.Request, rt *settings.Route, choice route.Pick) *jaypitch.Attempt {
	own := *c
	own.Token = ""
	a := &jaypitch.Attempt{Request: &own, Sender: d.host, Process: choice.Process}
	if tt := d.store.Table().Teams[rt.Team]; tt != nil {
		a.Revision = tt.Revision
	}
	if !rt.Idempotent {
		a.Token = once.Token{Host: choice.Host.Name, Process: choice.Process, Epoch: choice.Epoch, Nonce: d.nonce()}.String()
	}
	return a
}

// try makes one attempt and says what is certain if there is no answer.
func (d *Dispatcher) try(ctx context.Context, choice route.Pick, a *jaypitch.Attempt, rt *settings.Route) *jaypitch.Response {
	answer, told := d.send(ctx, choice, a)
	d.mu.Lock()
	defer d.mu.Unlock()
	if told == nil && ctx.Err() != nil {
		d.picker.Cancel(choice.Host.Name, d.now())
		return answer
	}
	d.picker.Finish(choice.Host.Name, rt.Rank.Name, answer.Code, told, d.now())
	if answer.Code == jaypitch.CodeStaleSender {
		d.behind(choice.Host.Name)
	}
	return answer
}

func (d *Dispatcher) send(ctx context.Context, choice route.Pick, a *jaypitch.Attempt) (*jaypitch.Response, *jaypitch.LoadReport) {
	if choice.Host.Name == d.host {
		answer := d.local.Serve(ctx, a)
		return answer, &answer.LoadReport
	}
	answer, err := d.passer.Do(ctx, choice.Host.Address, a)
	if err == nil {
		return answer, &answer.LoadReport
	}
	var sent *http1.Error
	if errors.As(err, &sent) && !sent.Sent {
		return jaypitch.NewRefusal(jaypitch.CodeUnreachable, err.Error()), nil
	}
	if !d.now().Before(a.Deadline) {
		return jaypitch.NewRefusal(jaypitch.CodeAnswerTooLate, "host "+choice.Host.Name+" didn't answer by the deadline"), nil
	}
	return jaypitch.NewRefusal(jaypitch.CodeUnknown, "host "+choice.Host.Name+" ended the connection: "+err.Error()), nil
}
