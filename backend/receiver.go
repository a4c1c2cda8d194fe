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
	"github.com/jaypitch/jaypitch/idempotency"
	"github.com/jaypitch/jaypitch/settings"
)

// Node is the part of the node that a receiver uses.
type Node interface {
	// AwaitReady waits for a bounded time until the node may serve requests. It reports whether the node is ready by then.
	AwaitReady(ctx context.Context) bool
	// BeginRequest counts a request in progress. It returns false if the node is stopping.
	BeginRequest() bool
	// EndRequest ends a request for which BeginRequest returned true.
	EndRequest()
	Stopping() bool
	// CatchUp fetches a team's revision from the sender. It gives up after a bounded time.
	CatchUp(ctx context.Context, sender, team string, revision int64)
	// RecordSender records that a node sent an attempt.
	RecordSender(sender string)
	// BackendDraining records that the backend server reported that it is draining.
	BackendDraining()
}

// Receiver serves the attempts for the backend server on this host. It is safe for concurrent use.
type Receiver struct {
	node       Node
	hostName   string
	dataCentre string
	service    string
	process    uint64
	replica    *settings.Replica
	tracker    *evidence.Tracker
	backend    jaypitch.BackendServer
	now        func() time.Time
	admitter   *admitter

	mu         sync.Mutex
	cache      *idempotency.ResponseCache
	probeError error
}

// Options hold the identity and the limits of a receiver.
type Options struct {
	Host       string
	DataCentre string
	Service    string
	Process    uint64
	Slots      int
	// CacheSize is the maximum number of entries in the response cache, CacheTTL the time after which an entry expires.
	CacheSize int
	CacheTTL  time.Duration
}

// stream is the rest of a response body that is too long to buffer. The request holds its slot until the stream is closed.
type stream struct {
	io.ReadCloser
	cancel  context.CancelFunc
	slot    *slot
	onClose func()
	once    sync.Once
}

// maxBufferedBodyBytes is the size of the longest response body that is buffered. The slot is released once the body is read.
const maxBufferedBodyBytes = 64 << 10

// NewReceiver returns the receiver of a node.
func NewReceiver(node Node, replica *settings.Replica, tracker *evidence.Tracker, backend jaypitch.BackendServer, now func() time.Time, o Options) *Receiver {
	return &Receiver{node: node, hostName: o.Host, dataCentre: o.DataCentre, service: o.Service, process: o.Process,
		replica: replica, tracker: tracker, backend: backend, now: now,
		admitter: &admitter{now: now, admission: admit.NewAdmission(o.Slots)},
		cache:    idempotency.NewResponseCache(o.Host, o.Process, now(), o.CacheTTL, o.CacheSize)}
}

// Configure applies the ranks of this host's service in a new table.
func (r *Receiver) Configure(t *settings.Table) {
	var ranks []*settings.Rank
	if v := t.Services[r.service]; v != nil {
		ranks = v.Ranks
	}
	r.admitter.configure(ranks)
}

// Counts returns the numbers of requests in progress and of queued requests, and the limit of requests in progress.
func (r *Receiver) Counts() (inProgress, queued, limit int) {
	return r.admitter.counts()
}

// CachedResponses returns the number of entries in the response cache.
func (r *Receiver) CachedResponses() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cache.Len()
}

// SetHealth records the result of the latest probe. A failed probe adds 1 to the reported load and has no other effect.
func (r *Receiver) SetHealth(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probeError = err
}

// Serve returns the response to an attempt. The caller closes the response's Stream.
func (r *Receiver) Serve(ctx context.Context, a *jaypitch.Attempt) *jaypitch.Response {
	r.node.RecordSender(a.Sender)
	var response *jaypitch.Response
	if a.Repeat {
		response = r.repeat(ctx, a)
	} else {
		response = r.serveFirst(ctx, a)
	}
	response.LoadReport = r.loadReport(a, response.Code)
	return response
}

// serveFirst serves an attempt that doesn't repeat an earlier one. It counts the request as in progress until the response ends.
func (r *Receiver) serveFirst(ctx context.Context, a *jaypitch.Attempt) *jaypitch.Response {
	if a.Process != 0 && a.Process != r.process || a.Process == 0 && a.Token != "" {
		return jaypitch.NewRefusal(jaypitch.CodeOtherProcess, "the attempt is for another process of this host")
	}
	if !r.node.AwaitReady(ctx) {
		return jaypitch.NewRefusal(jaypitch.CodeUnconfirmed, "the node has not confirmed its settings")
	}
	if !r.node.BeginRequest() {
		return jaypitch.NewRefusal(jaypitch.CodeStopping, "the node is stopping")
	}
	key := evidence.RequestKey{Team: a.Team, Route: a.Route, Customer: a.Customer}
	r.tracker.Begin(key)
	var s *stream
	routed := false
	end := func() {
		r.tracker.End(key, routed, r.now())
		r.node.EndRequest()
	}
	response := r.checkAndExecute(ctx, a, &routed)
	if response.Stream != nil {
		s = response.Stream.(*stream)
		s.onClose = end
		return response
	}
	end()
	return response
}

// checkAndExecute finds the attempt's route and executes the request, at most once if it has a token. It sets routed to true once the route is
// found.
func (r *Receiver) checkAndExecute(ctx context.Context, a *jaypitch.Attempt, routed *bool) *jaypitch.Response {
	rt, e := r.resolveRoute(ctx, a)
	if e != nil {
		return jaypitch.RefusalOf(e)
	}
	*routed = true
	if rt.Idempotent && a.Token == "" {
		return r.execute(ctx, a, rt)
	}
	if a.Token == "" {
		return jaypitch.NewRefusal(jaypitch.CodeStaleSender, "the route is not idempotent and the attempt has no token")
	}
	return r.executeOnce(ctx, a, rt)
}

// executeOnce executes an attempt with a token, unless the token was used before. It continues if the sender disconnects, so that a repeat
// can return the response.
func (r *Receiver) executeOnce(ctx context.Context, a *jaypitch.Attempt, rt *settings.Route) *jaypitch.Response {
	token, e := idempotency.ParseToken(a.Token)
	if e != nil {
		return jaypitch.RefusalOf(e)
	}
	r.mu.Lock()
	entry, e := r.cache.Begin(token, r.now())
	r.mu.Unlock()
	if e != nil {
		return jaypitch.RefusalOf(e)
	}
	response := r.execute(context.WithoutCancel(ctx), a, rt)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cache.Complete(entry, response.Copy())
	return response
}

// repeat returns the response of an earlier attempt, or a refusal that says whether the attempt was executed. It waits for an attempt in
// progress until the deadline.
func (r *Receiver) repeat(ctx context.Context, a *jaypitch.Attempt) *jaypitch.Response {
	token, e := idempotency.ParseToken(a.Token)
	if e != nil {
		return jaypitch.RefusalOf(e)
	}
	r.mu.Lock()
	entry, e := r.cache.Repeat(token, r.now())
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

// resolveRoute finds the route in this node's own table. If the sender holds a newer revision, it fetches that first.
func (r *Receiver) resolveRoute(ctx context.Context, a *jaypitch.Attempt) (*settings.Route, *jaypitch.Error) {
	revision := revisionOf(r.replica.Table(), a.Team)
	if revision < a.Revision {
		r.node.CatchUp(ctx, a.Sender, a.Team, a.Revision)
		revision = revisionOf(r.replica.Table(), a.Team)
	}
	if revision < a.Revision {
		return nil, jaypitch.Errorf(jaypitch.CodeStaleReceiver, "this node holds revision %d of team %q; the sender holds %d", revision, a.Team, a.Revision)
	}
	rt, e := r.lookUpRoute(a)
	if e != nil && revision > a.Revision {
		return nil, jaypitch.Errorf(jaypitch.CodeStaleSender, "this node holds revision %d of team %q; the sender holds %d: %s", revision, a.Team, a.Revision, e.Error())
	}
	return rt, e
}

// lookUpRoute looks the route up in this node's table. It returns an error if the table doesn't route the request to this host.
func (r *Receiver) lookUpRoute(a *jaypitch.Attempt) (*settings.Route, *jaypitch.Error) {
	t := r.replica.Table()
	rt, e := t.Route(a.Team, a.Route, a.Customer)
	if e != nil {
		return nil, e
	}
	if rt.Service.Name != r.service {
		return nil, jaypitch.Errorf(jaypitch.CodeNotThisHost, "route %q goes to service %q; this host has %q", a.Route, rt.Service.Name, r.service)
	}
	if h := t.HostIn(r.dataCentre, r.hostName); h != nil && h.Draining {
		return nil, jaypitch.Errorf(jaypitch.CodeStopping, "this host is draining according to the host list")
	}
	return rt, nil
}

// execute waits for a slot and sends the request to the backend server. It checks the table again once it has the slot, since the
// table may have changed while the request was queued.
func (r *Receiver) execute(ctx context.Context, a *jaypitch.Attempt, rt *settings.Route) *jaypitch.Response {
	s, e := r.admitter.acquire(ctx, rt.Rank.Name, a.Deadline)
	if e != nil {
		return jaypitch.RefusalOf(e)
	}
	if _, e := r.lookUpRoute(a); e != nil {
		s.release(admit.Failed)
		return jaypitch.RefusalOf(e)
	}
	if !r.now().Before(a.Deadline) {
		s.release(admit.Failed)
		return jaypitch.NewRefusal(jaypitch.CodeDeadline, "the deadline passed before the request was started")
	}
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	httpResponse, err := r.backend.Do(ctx, a.Request)
	if err != nil {
		cancel()
		s.release(admit.Failed)
		return r.errorResponse(ctx, err)
	}
	return r.readResponse(ctx, httpResponse, s, cancel)
}

// readResponse converts the backend server's response. A body of up to maxBufferedBodyBytes is buffered; a longer one becomes a stream that holds
// the slot.
func (r *Receiver) readResponse(ctx context.Context, httpResponse *http.Response, s *slot, cancel context.CancelFunc) *jaypitch.Response {
	if httpResponse.Header.Get(jaypitch.HeaderDraining) != "" {
		r.node.BackendDraining()
	}
	if httpResponse.StatusCode == http.StatusServiceUnavailable && httpResponse.Header.Get(jaypitch.HeaderShed) != "" {
		// The connection is closed: nothing in a response identifies its request, so a second copy of this one would pass for the response to the next.
		cancel()
		httpResponse.Body.Close()
		s.release(admit.Shed)
		return jaypitch.NewRefusal(jaypitch.CodeShed, "the backend server shed the request")
	}
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxBufferedBodyBytes+1))
	if err != nil {
		httpResponse.Body.Close()
		cancel()
		s.release(admit.Failed)
		return truncatedResponse(ctx, err)
	}
	response := &jaypitch.Response{Code: jaypitch.CodeOK, Status: httpResponse.StatusCode, Header: httpResponse.Header, Body: body}
	if len(body) <= maxBufferedBodyBytes {
		httpResponse.Body.Close()
		cancel()
		s.release(admit.Served)
		return response
	}
	response.Stream = &stream{ReadCloser: httpResponse.Body, cancel: cancel, slot: s}
	return response
}

// errorResponse returns the refusal for a request to which the backend server returned no response.
func (r *Receiver) errorResponse(ctx context.Context, err error) *jaypitch.Response {
	var httpErr *http1.Error
	if errors.As(err, &httpErr) && !httpErr.Sent {
		return jaypitch.NewRefusal(jaypitch.CodeUnreachable, "no connection to the backend server: "+err.Error())
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return jaypitch.NewRefusal(jaypitch.CodeAnswerTooLate, "the backend server did not respond before the deadline")
	}
	return jaypitch.NewRefusal(jaypitch.CodeUnknown, "the connection to the backend server failed: "+err.Error())
}

func truncatedResponse(ctx context.Context, err error) *jaypitch.Response {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return jaypitch.NewRefusal(jaypitch.CodeAnswerTooLate, "the response was not complete before the deadline")
	}
	return jaypitch.NewRefusal(jaypitch.CodeAnswerCut, "the response was truncated: "+err.Error())
}

// loadReport returns the load and state to report with the response to an attempt. It has a retry-after only if the request was refused because
// of the load.
func (r *Receiver) loadReport(a *jaypitch.Attempt, c jaypitch.Code) jaypitch.LoadReport {
	r.mu.Lock()
	report := jaypitch.LoadReport{Process: r.process, Epoch: r.cache.Epoch(r.now())}
	unhealthy := r.probeError != nil
	r.mu.Unlock()
	report.Load = r.admitter.load()
	if unhealthy {
		report.Load++
	}
	report.Stopping = r.node.Stopping()
	table := r.replica.Table()
	report.Revision = revisionOf(table, a.Team)
	if c == jaypitch.CodeOverloaded || c == jaypitch.CodeShed {
		if rt, e := table.Route(a.Team, a.Route, a.Customer); e == nil {
			report.RetryAfterUS = r.admitter.retryAfter(rt.Rank.Name).Microseconds()
		}
	}
	return report
}

func revisionOf(t *settings.Table, team string) int64 {
	if tt := t.Teams[team]; tt != nil {
		return tt.Revision
	}
	return 0
}

// Close closes the stream, releases the slot and ends the request.
func (s *stream) Close() error {
	err := s.ReadCloser.Close()
	s.once.Do(func() {
		s.cancel()
		s.slot.release(admit.Served)
		s.onClose()
	})
	return err
}
