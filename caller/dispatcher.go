// Package caller serves the clients of a node over HTTP. It finds the route of each request, sends it to a backend server through the node
// of that server's host, retries it where that is safe, and returns the response or a refusal.
package caller

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/http1"
	"github.com/jaypitch/jaypitch/idempotency"
	"github.com/jaypitch/jaypitch/route"
	"github.com/jaypitch/jaypitch/settings"
)

// Forwarder sends an attempt to the node at an address.
type Forwarder interface {
	Do(ctx context.Context, address string, a *jaypitch.Attempt) (*jaypitch.Response, error)
	// CloseIdle closes the idle connections.
	CloseIdle()
}

// Receiver serves the attempts for the backend server on this host.
type Receiver interface {
	Serve(ctx context.Context, a *jaypitch.Attempt) *jaypitch.Response
}

// Result is the result of a request.
type Result struct {
	Response *jaypitch.Response
	// Token identifies the attempt that may have been executed; empty if Response says whether it was.
	Token    string
	Attempts int
	Route    *settings.Route

	// executionUnknown is the response of an earlier attempt that may have been executed.
	executionUnknown *jaypitch.Response
}

// Dispatcher makes the attempts of requests. It is safe for concurrent use.
type Dispatcher struct {
	host      string
	replica   *settings.Replica
	forwarder Forwarder
	local     Receiver
	now       func() time.Time
	nonce     func() uint64
	onStale   func(host string)

	mu      sync.Mutex
	picker  *route.Picker
	budget  *route.RetryBudget
	retries int64
}

// stopPollInterval is how often StopSending checks for attempts in progress.
const stopPollInterval = 5 * time.Millisecond

// NewDispatcher returns the dispatcher of a host. Nonce returns random numbers for tokens. OnStale is called with the name of a host that
// refused an attempt since it holds newer settings.
func NewDispatcher(host string, replica *settings.Replica, forwarder Forwarder, local Receiver, picker *route.Picker, now func() time.Time, nonce func() uint64,
	onStale func(host string)) *Dispatcher {
	return &Dispatcher{host: host, replica: replica, forwarder: forwarder, local: local, now: now, nonce: nonce, onStale: onStale,
		picker: picker, budget: route.NewRetryBudget()}
}

// Do sends a request to a backend server of the route, and retries it as long as the retry policy and the retry budget allow. It looks the
// route up again before each retry.
func (d *Dispatcher) Do(ctx context.Context, c *jaypitch.Request, rt *settings.Route) *Result {
	d.recordRequest()
	p := &route.RetryPolicy{Idempotent: rt.Idempotent, Deadline: c.Deadline, Retries: c.Retries}
	result := &Result{Route: rt}
	var tried []string
	for {
		choice, e := d.pick(rt, tried)
		if e != nil {
			return result.finishWithError(e)
		}
		c.Retries = p.Retries
		a := d.newAttempt(c, rt, choice)
		result.Attempts++
		result.Response = d.makeAttempt(ctx, choice, a, rt)
		result.Token = ""
		if result.Response.Code.Info().Execution == jaypitch.ExecutionUnknown {
			result.Token = a.Token
		}
		if ctx.Err() != nil || !d.shouldRetry(p, result.Response.Code) {
			return result.finish()
		}
		if result.Response.Code.Info().Execution != jaypitch.NotExecuted {
			result.executionUnknown = result.Response
		}
		if result.Response.Code != jaypitch.CodeOtherProcess {
			tried = append(tried, choice.Host.Name)
		}
		if rt, e = d.lookUpRoute(c); e != nil {
			return result.finishWithError(e)
		}
		p.Idempotent = p.Idempotent && rt.Idempotent
	}
}

// Repeat requests the result of an earlier attempt from the host that the token names. It never executes the request.
func (d *Dispatcher) Repeat(ctx context.Context, c *jaypitch.Request) *Result {
	token, e := idempotency.ParseToken(c.Token)
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
	h := d.replica.Table().Host(token.Host)
	if h == nil {
		result.Response = jaypitch.NewRefusal(jaypitch.CodeUnknown, "the host of the token is not in the host list")
		return result
	}
	response, err := d.forwarder.Do(ctx, h.Address, a)
	if err != nil {
		response = jaypitch.NewRefusal(jaypitch.CodeUnknown, "the host of the token did not respond: "+err.Error())
	}
	result.Response = response
	return result
}

// Retries returns the number of retries since the start.
func (d *Dispatcher) Retries() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retries
}

// Ejected returns the names of the ejected hosts, in no order.
func (d *Dispatcher) Ejected() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picker.Ejected(d.now())
}

// StopSending makes the picker skip the host of a process that is stopping, so that no further attempt is sent to that process. It returns nil
// once no attempt at the host is in progress, or the context's error.
func (d *Dispatcher) StopSending(ctx context.Context, host string, process uint64) error {
	d.mu.Lock()
	d.picker.MarkStopping(host, process, d.now())
	d.mu.Unlock()
	t := time.NewTicker(stopPollInterval)
	defer t.Stop()
	for d.inProgress(host) > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	d.forwarder.CloseIdle()
	return nil
}

func (d *Dispatcher) inProgress(host string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picker.InProgress(host)
}

// Prune removes the state of hosts that are not in the table.
func (d *Dispatcher) Prune(t *settings.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.Prune(t)
}

// finishWithError returns the result if no further attempt can be made. The response of the last attempt, if any, takes precedence over the
// error, since it is more specific than that no host is available.
func (r *Result) finishWithError(e *jaypitch.Error) *Result {
	if r.Response == nil {
		r.Response = jaypitch.RefusalOf(e)
	}
	return r.finish()
}

// finish returns the result. If the last attempt was not executed but an earlier one may have been, the response is that of the earlier one.
func (r *Result) finish() *Result {
	if r.executionUnknown != nil && r.Response.Code.Info().Execution == jaypitch.NotExecuted {
		r.Response = r.executionUnknown
	}
	return r
}

func (d *Dispatcher) recordRequest() {
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

func (d *Dispatcher) shouldRetry(p *route.RetryPolicy, c jaypitch.Code) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	retry := p.ShouldRetry(c, d.budget, d.now())
	if retry {
		d.retries++
	}
	return retry
}

// lookUpRoute looks the route up again before a retry, since the table may have changed.
func (d *Dispatcher) lookUpRoute(c *jaypitch.Request) (*settings.Route, *jaypitch.Error) {
	return d.replica.Table().Route(c.Team, c.Route, c.Customer)
}

// newAttempt returns an attempt at the chosen host. It has a new token if the route isn't idempotent.
func (d *Dispatcher) newAttempt(c *jaypitch.Request, rt *settings.Route, choice route.Pick) *jaypitch.Attempt {
	copied := *c
	copied.Token = ""
	a := &jaypitch.Attempt{Request: &copied, Sender: d.host, Process: choice.Process}
	if tt := d.replica.Table().Teams[rt.Team]; tt != nil {
		a.Revision = tt.Revision
	}
	if !rt.Idempotent {
		a.Token = idempotency.Token{Host: choice.Host.Name, Process: choice.Process, Epoch: choice.Epoch, Nonce: d.nonce()}.String()
	}
	return a
}

// makeAttempt makes one attempt and records its result in the picker.
func (d *Dispatcher) makeAttempt(ctx context.Context, choice route.Pick, a *jaypitch.Attempt, rt *settings.Route) *jaypitch.Response {
	response, report := d.send(ctx, choice, a)
	d.mu.Lock()
	defer d.mu.Unlock()
	if report == nil && ctx.Err() != nil {
		d.picker.Cancel(choice.Host.Name, d.now())
		return response
	}
	d.picker.Finish(choice.Host.Name, rt.Rank.Name, response.Code, report, d.now())
	if response.Code == jaypitch.CodeStaleSender {
		d.onStale(choice.Host.Name)
	}
	return response
}

func (d *Dispatcher) send(ctx context.Context, choice route.Pick, a *jaypitch.Attempt) (*jaypitch.Response, *jaypitch.LoadReport) {
	if choice.Host.Name == d.host {
		response := d.local.Serve(ctx, a)
		return response, &response.LoadReport
	}
	response, err := d.forwarder.Do(ctx, choice.Host.Address, a)
	if err == nil {
		return response, &response.LoadReport
	}
	var httpErr *http1.Error
	if errors.As(err, &httpErr) && !httpErr.Sent {
		return jaypitch.NewRefusal(jaypitch.CodeUnreachable, err.Error()), nil
	}
	if !d.now().Before(a.Deadline) {
		return jaypitch.NewRefusal(jaypitch.CodeAnswerTooLate, "host "+choice.Host.Name+" did not respond before the deadline"), nil
	}
	return jaypitch.NewRefusal(jaypitch.CodeUnknown, "the connection to host "+choice.Host.Name+" failed: "+err.Error()), nil
}
