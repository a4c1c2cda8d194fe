package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/admit"
	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/http1"
	"github.com/jaypitch/jaypitch/once"
	"github.com/jaypitch/jaypitch/settings"
)

// Node is what a receiver asks of its node.
type Node interface {
	// AwaitReady waits a bounded time until the node may take work.
	AwaitReady(ctx context.Context) bool
	// BeginRequest counts a call in progress; it returns false if the node is stopping.
	BeginRequest() bool
	EndRequest()
	Stopping() bool
	// CatchUp brings this node up to a team's revision from the sender, within a bounded time.
	CatchUp(ctx context.Context, sender, team string, revision int64)
	// RecordSender notes that another node sent a call.
	RecordSender(sender string)
	// BackendDraining notes that the backend server says that it is leaving.
	BackendDraining()
}

// Receiver takes attempts in and passes them to the backend server. It is safe for concurrent use.
type Receiver struct {
	host       Node
	name       string
	dataCentre string
	service    string
	process    uint64
	store      *settings.Replica
	tracker    *evidence.Tracker
	server     jaypitch.BackendServer
	now        func() time.Time
	gate       *gate

	mu      sync.Mutex
	answers *once.ResponseCache
	health  error
}

// Options are the sizes and the identity of a receiver.
type Options struct {
	Host       string
	DataCentre string
	Service    string
	Process    uint64
	Slots      int
	// CacheSize is the number of kept answers; each is kept until KeptFor has passed.
	CacheSize int
	CacheTTL  time.Duration
}

// stream is an answer's body on its way; it holds a slot until it ends.
type stream struct {
	io.ReadCloser
	cancel context.CancelFunc
	slot   *slot
	leave  func()
	once   sync.Once
}

// heldAnswerBytes is the size up to which an answer is read whole before the slot is given back.
const heldAnswerBytes = 64 << 10

// NewReceiver makes the receiving side of a node.
func NewReceiver(host Node, store *settings.Replica, tracker *evidence.Tracker, server jaypitch.BackendServer, now func() time.Time, o Options) *Receiver {
	return &Receiver{host: host, name: o.Host, dataCentre: o.DataCentre, service: o.Service, process: o.Process, store: store, tracker: tracker, server: server, now: now,
		gate:    &gate{now: now, admission: admit.NewAdmission(o.Slots)},
		answers: once.NewResponseCache(o.Host, o.Process, now(), o.CacheTTL, o.CacheSize)}
}

// Configure takes the ranks of this host's service from a new table.
func (r *Receiver) Configure(t *settings.Table) {
	var ranks []*settings.Rank
	if v := t.Services[r.service]; v != nil {
		ranks = v.Ranks
	}
	r.gate.configure(ranks)
}

// Counts returns the calls that run, those that wait, and how many may run.
func (r *Receiver) Counts() (inFlight, waiting, limit int) {
	return r.gate.counts()
}

// CachedResponses returns the number of kept answers.
func (r *Receiver) CachedResponses() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answers.Len()
}

// SetHealth notes the result of the last probe; it only adds to the load told to senders.
func (r *Receiver) SetHealth(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.health = err
}

// Serve answers an attempt.
func (r *Receiver) Serve(ctx context.Context, a *jaypitch.Attempt) *jaypitch.Response {
	r.host.RecordSender(a.Sender)
	var answer *jaypitch.Response
	if a.Repeat {
		answer = r.repeat(ctx, a)
	} else {
		answer = r.first(ctx, a)
	}
	answer.LoadReport = r.told(a, answer.Code)
	return answer
}

// first runs an attempt that wasn't seen before.
func (r *Receiver) first(ctx context.Context, a *jaypitch.Attempt) *jaypitch.Response {
	if a.Process != 0 && a.Process != r.process || a.Process == 0 && a.Token != "" {
		return jaypitch.NewRefusal(jaypitch.CodeOtherProcess, "the attempt is for another process of this host")
	}
	if !r.host.AwaitReady(ctx) {
		return jaypitch.NewRefusal(jaypitch.CodeUnconfirmed, "the node has not confirmed its settings")
	}
	if !r.host.BeginRequest() {
		return jaypitch.NewRefusal(jaypitch.CodeStopping, "the node is stopping")
	}
	key := evidence.RequestKey{Team: a.Team, Route: a.Route, Customer: a.Customer}
	r.tracker.Begin(key)
	var s *stream
	served := false
	leave := func() {
		r.tracker.End(key, served, r.now())
		r.host.EndRequest()
	}
	answer := r.admitted(ctx, a, &served)
	if answer.Stream != nil {
		s = answer.Stream.(*stream)
		s.leave = leave
		return answer
	}
	leave()
	return answer
}

// admitted checks an attempt against this node's own settings and runs it at most once.
func (r *Receiver) admitted(ctx context.Context, a *jaypitch.Attempt, served *bool) *jaypitch.Response {
	rt, e := r.check(ctx, a)
	if e != nil {
		return jaypitch.RefusalOf(e)
	}
	*served = true
	if rt.Idempotent && a.Token == "" {
		return r.run(ctx, a, rt)
	}
	if a.Token == "" {
		return jaypitch.NewRefusal(jaypitch.CodeStaleSender, "the route isn't idempotent and the attempt has no token")
	}
	return r.runOnce(ctx, a, rt)
}

// runOnce runs an attempt with a token. It goes on if the sender is cut off, so that its answer can be asked for.
func (r *Receiver) runOnce(ctx context.Context, a *jaypitch.Attempt, rt *settings.Route) *jaypitch.Response {
	token, e := once.ParseToken(a.Token)
	if e != nil {
		return jaypitch.RefusalOf(e)
	}
	r.mu.Lock()
	entry, e := r.answers.Begin(token, r.now())
	r.mu.Unlock()
	if e != nil {
		return jaypitch.RefusalOf(e)
	}
	answer := r.run(context.WithoutCancel(ctx), a, rt)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers.Complete(entry, answer.Copy())
	return answer
}

// repeat gives the answer of an earlier attempt, or says what is known of it.
func (r *Receiver) repeat(ctx context.Context, a *jaypitch.Attempt) *jaypitch.Response {
	token, e := once.ParseToken(a.Token)
	if e != nil {
		return jaypitch.RefusalOf(e)
	}
	r.mu.Lock()
	entry, e := r.answers.Repeat(token, r.now())
	r.mu.Unlock()
	if e != nil {
		return jaypitch.RefusalOf(e)
	}
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	select {
	case <-entry.Done:
		return entry.Response.Copy()
	case <-ctx.Done():
		return jaypitch.NewRefusal(jaypitch.CodeStillRunning, "the first attempt is still in progress")
	}
}

// check finds the route in this node's own table; if the sender is ahead, it catches up first.
func (r *Receiver) check(ctx context.Context, a *jaypitch.Attempt) (*settings.Route, *jaypitch.Error) {
	held := revisionOf(r.store.Table(), a.Team)
	if held < a.Revision {
		r.host.CatchUp(ctx, a.Sender, a.Team, a.Revision)
		held = revisionOf(r.store.Table(), a.Team)
	}
	if held < a.Revision {
		return nil, jaypitch.Errorf(jaypitch.CodeStaleReceiver, "this node holds revision %d of team %q; the sender holds %d", held, a.Team, a.Revision)
	}
	rt, e := r.allowed(a)
	if e != nil && held > a.Revision {
		return nil, jaypitch.Errorf(jaypitch.CodeStaleSender, "this node holds revision %d of team %q; the sender holds %d: %s", held, a.Team, a.Revision, e.Error())
	}
	return rt, e
}

// allowed says whether this node's table lets the call reach the backend server here.
func (r *Receiver) allowed(a *jaypitch.Attempt) (*settings.Route, *jaypitch.Error) {
	t := r.store.Table()
	rt, e := t.Route(a.Team, a.Route, a.Customer)
	if e != nil {
		return nil, e
	}
	if rt.Service.Name != r.service {
		return nil, jaypitch.Errorf(jaypitch.CodeNotThisHost, "route %q goes to service %q; this host has %q", a.Route, rt.Service.Name, r.service)
	}
	if h := t.HostIn(r.dataCentre, r.name); h != nil && h.Draining {
		return nil, jaypitch.Errorf(jaypitch.CodeStopping, "the host list says that this host is leaving")
	}
	return rt, nil
}

// run waits for a slot, looks at the table again and passes the call on.
func (r *Receiver) run(ctx context.Context, a *jaypitch.Attempt, rt *settings.Route) *jaypitch.Response {
	s, e := r.gate.enter(ctx, rt.Rank.Name, a.Deadline)
	if e != nil {
		return jaypitch.RefusalOf(e)
	}
	if _, e := r.allowed(a); e != nil {
		s.leave(admit.Failed)
		return jaypitch.RefusalOf(e)
	}
	if !r.now().Before(a.Deadline) {
		s.leave(admit.Failed)
		return jaypitch.NewRefusal(jaypitch.CodeDeadline, "the deadline passed before the call was started")
	}
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	response, err := r.server.Do(ctx, a.Request)
	if err != nil {
		cancel()
		s.leave(admit.Failed)
		return r.failure(ctx, err)
	}
	return r.answer(ctx, response, s, cancel)
}

// answer reads a response: whole if it is small, else as a stream that holds the slot.
func (r *Receiver) answer(ctx context.Context, response *http.Response, s *slot, cancel context.CancelFunc) *jaypitch.Response {
	if response.Header.Get(jaypitch.HeaderDraining) != "" {
		r.host.BackendDraining()
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(jaypitch.HeaderShed) != "" {
		response.Body.Close()
		cancel()
		s.leave(admit.Shed)
		return jaypitch.NewRefusal(jaypitch.CodeShed, "the backend server shed the call")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, heldAnswerBytes+1))
	if err != nil {
		response.Body.Close()
		cancel()
		s.leave(admit.Failed)
		return cutAnswer(ctx, err)
	}
	answer := &jaypitch.Response{Code: jaypitch.CodeOK, Status: response.StatusCode, Header: response.Header, Body: body}
	if len(body) <= heldAnswerBytes {
		response.Body.Close()
		cancel()
		s.leave(admit.Served)
		return answer
	}
	answer.Stream = &stream{ReadCloser: response.Body, cancel: cancel, slot: s}
	return answer
}

// failure says what is certain after the backend server gave no answer.
func (r *Receiver) failure(ctx context.Context, err error) *jaypitch.Response {
	var sent *http1.Error
	if errors.As(err, &sent) && !sent.Sent {
		return jaypitch.NewRefusal(jaypitch.CodeUnreachable, "no connection to the backend server: "+err.Error())
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return jaypitch.NewRefusal(jaypitch.CodeAnswerTooLate, "the backend server didn't answer by the deadline")
	}
	return jaypitch.NewRefusal(jaypitch.CodeUnknown, "the backend server ended the connection: "+err.Error())
}

func cutAnswer(ctx context.Context, err error) *jaypitch.Response {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return jaypitch.NewRefusal(jaypitch.CodeAnswerTooLate, "the answer was not whole by the deadline")
	}
	return jaypitch.NewRefusal(jaypitch.CodeAnswerCut, "the answer ended early: "+err.Error())
}

// told is what this node tells about itself with an answer.
func (r *Receiver) told(a *jaypitch.Attempt, c jaypitch.Code) jaypitch.LoadReport {
	r.mu.Lock()
	t := jaypitch.LoadReport{Process: r.process, Epoch: r.answers.Epoch(r.now())}
	unhealthy := r.health != nil
	r.mu.Unlock()
	t.Load = r.gate.load()
	if unhealthy {
		t.Load++
	}
	t.Stopping = r.host.Stopping()
	table := r.store.Table()
	t.Revision = revisionOf(table, a.Team)
	if c == jaypitch.CodeOverloaded || c == jaypitch.CodeShed {
		if rt, e := table.Route(a.Team, a.Route, a.Customer); e == nil {
			t.RetryAfterUS = r.gate.holdOff(rt.Rank.Name).Microseconds()
		}
	}
	return t
}

func revisionOf(t *settings.Table, team string) int64 {
	if tt := t.Teams[team]; tt != nil {
		return tt.Revision
	}
	return 0
}

// Close ends the stream and gives the slot back.
func (s *stream) Close() error {
	err := s.ReadCloser.Close()
	s.once.Do(func() {
		s.cancel()
		s.slot.leave(admit.Served)
		s.leave()
	})
	return err
}
