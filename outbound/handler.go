package outbound

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/hop"
	"github.com/jaypitch/jaypitch/memory"
	"github.com/jaypitch/jaypitch/mesh"
)

// Handler serves the requests of clients on this host.
type Handler struct {
	dispatcher *Dispatcher
	replica    *mesh.Replica
	names      jaypitch.HeaderNames
	localState func() LocalState
	now        func() time.Time
	record     func(Record)
	tracker    *evidence.Tracker
	inProgress atomic.Int64
	budget     *memory.Budget
	responses  *responseMemory
	// ahead is the number of requests in progress ahead of their turn; startedAhead and droppedAhead count them since the start.
	ahead, startedAhead, droppedAhead atomic.Int64

	mu sync.Mutex
	// draws holds the last draw of each rule. The first one is random, so that the few requests of each of many sidecars add up to the weights.
	draws  map[string]float64
	random func() float64
}

// LocalState is the state of this host and process that a handler reads at each request.
type LocalState struct {
	// Service is the service of the backend server on this host.
	Service string
	// Stopping is true if client connections are to be closed after the response.
	Stopping bool
	// Unconfirmed is true if the replica isn't complete yet, or isn't confirmed and may be outdated. All requests are refused then.
	Unconfirmed bool
}

// Record describes a request that has ended.
type Record struct {
	ID       string
	Rule     string
	Rank     int64
	Service  string
	Version  int64
	Response *jaypitch.MeshResponse
	Status   int
	Took     time.Duration
	// Target is the rule's latency target. A later response counts as bad.
	Target time.Duration
	// Overhead is the time of the request outside the backend server.
	Overhead time.Duration
	// BrokenOff is true if the response was a stream that ended before its end.
	BrokenOff bool
}

const (
	// goldenRatio is the fractional part of the golden ratio. Adding it modulo 1 spreads consecutive draws evenly.
	goldenRatio = 0.6180339887498949
	// noSettingsRetryAfter is sent while the sidecar has no confirmed configuration.
	noSettingsRetryAfter = 300 * time.Millisecond
)

// NewHandler returns the handler of the listener for clients. Budget bounds the bytes of bodies and responses in memory; tracker counts
// the requests in progress by rule. Record is called after each request.
func NewHandler(d *Dispatcher, replica *mesh.Replica, names jaypitch.HeaderNames, localState func() LocalState, budget *memory.Budget,
	tracker *evidence.Tracker, now func() time.Time, record func(Record)) *Handler {
	return &Handler{dispatcher: d, replica: replica, names: names, localState: localState, now: now,
		record: record, tracker: tracker, budget: budget, responses: &responseMemory{budget: budget, expected: map[string]int64{}}, draws: map[string]float64{}, random: rand.Float64}
}

// InProgress returns the number of requests in progress.
func (h *Handler) InProgress() int64 {
	return h.inProgress.Load()
}

// ServeHTTP serves one request. It aborts the connection if the client closed it, ended the body early, or can't get the complete
// response.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := h.now()
	h.inProgress.Add(1)
	defer h.inProgress.Add(-1)
	local := h.localState()
	rec := Record{ID: r.Header.Get(h.names.RequestID)}
	hold := &responseHold{memory: h.responses}
	defer hold.release()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	r = r.WithContext(ctx)
	setInterim(ctx, r.ProtoAtLeast(1, 1), false)
	response := h.serveInTurn(r, cancel, local, &arrived, &rec, hold)
	hold.settle(response)
	more := endReadAhead(r)
	setInterim(r.Context(), false, true)
	if !more && (local.Stopping || h.localState().Stopping) {
		w.Header()["Connection"] = []string{"close"}
	}
	rec.Response = response
	rec.Status = h.status(response)
	err := h.write(w, rec, response)
	rec.BrokenOff = err != nil && response.Stream != nil
	if rec.BrokenOff {
		rec.Response = truncated(r.Context(), response, err)
	}
	rec.Took = h.now().Sub(arrived)
	rec.Overhead = rec.Took - response.ServiceTime
	h.record(rec)
	if err != nil || response.Code == jaypitch.CodeCallerGone || response.Code == jaypitch.CodeBodyCut {
		if !r.ProtoAtLeast(1, 1) {
			resetOnClose(r.Context())
		}
		panic(http.ErrAbortHandler)
	}
}

// respond matches the request to a rule, dispatches it and returns the response. It fills in rec, and reserves the response's memory in hold.
func (h *Handler) respond(r *http.Request, local LocalState, arrived time.Time, rec *Record, hold *responseHold) (response *jaypitch.MeshResponse) {
	t := h.replica.Table()
	rec.Version = t.Version
	if t.Version == 0 || local.Unconfirmed {
		response = jaypitch.NotExecutedResponse(jaypitch.CodeNoSettings, "the sidecar has no confirmed configuration")
		response.RetryAfter = jitterRetryAfter(noSettingsRetryAfter)
		return response
	}
	rule, done := h.match(t, r)
	if rule == nil {
		return jaypitch.NotExecutedResponse(jaypitch.CodeNoRoute, "no rule of version %d matches host %q and path %q", t.Version, r.Host, r.URL.Path)
	}
	// Evidence counts the request as in progress until its stream has ended.
	defer func() { response.ReleaseAfterStream(done) }()
	rec.Rule, rec.Rank, rec.Target = rule.GetName(), rule.GetRank(), rule.LatencyTarget()
	if e := checkHead(r, t.Limits.GetHeaderBytes()); e != nil {
		return jaypitch.NotExecutedResponse(e.Code, "%s", e.Reason)
	}
	f := &jaypitch.MeshRequest{ID: rec.ID, Method: r.Method, Target: r.RequestURI, Host: r.Host,
		Rule: rule.GetName(), Rank: rule.GetRank(), Idempotent: rule.GetIdempotent(), Download: rule.GetDownload(), CallerService: local.Service}
	h.setDeadlines(f, r, rule, arrived)
	body, e := h.readBody(r, t.Limits.GetBodyBytes(), f)
	if e != nil {
		return jaypitch.NotExecutedResponse(e.Code, "%s", e.Reason)
	}
	defer body.Release()
	if !hold.reserve(rule.GetName(), memory.Claim{Rank: f.Rank, TimeLeft: f.Deadline.Sub(h.now()), Own: body.Held()}) {
		return jaypitch.NotExecutedResponse(jaypitch.CodeTooManyCalls, "the memory budget has no room for the response")
	}
	f.Body, f.Header = body.Data, hop.EndToEndHeader(r.Header)
	rec.Service = rule.Destination(h.draw(rule.GetName()))
	return h.dispatcher.Do(r.Context(), f, rule, rec.Service)
}

// match returns the rule of a request, and a function that ends the request in the tracker. It counts the request first and then compares
// the table's version again. Otherwise a request that isn't counted yet could use an old table after evidence was given for a new one.
func (h *Handler) match(t *mesh.Table, r *http.Request) (*mesh.Rule, func()) {
	for {
		rule := t.Match(r.Host, r.URL.EscapedPath())
		if rule == nil {
			return nil, nil
		}
		k := evidence.RequestKey{Team: rule.GetHost(), Route: strings.TrimPrefix(rule.GetPrefix(), "/")}
		h.tracker.Begin(k)
		current := h.replica.Table()
		if current.Version == t.Version {
			return rule, func() { h.tracker.End(k, true, h.now()) }
		}
		h.tracker.End(k, false, h.now())
		t = current
	}
}

// setDeadlines sets the deadline and the target deadline of a request. The client's time left, in milliseconds, can only shorten the rule's
// timeout.
func (h *Handler) setDeadlines(f *jaypitch.MeshRequest, r *http.Request, rule *mesh.Rule, arrived time.Time) {
	f.Deadline = arrived.Add(rule.Timeout())
	if ms, err := strconv.ParseInt(r.Header.Get(h.names.TimeLeftMS), 10, 64); err == nil && ms >= 0 && ms < math.MaxInt32 {
		if by := arrived.Add(time.Duration(ms) * time.Millisecond); by.Before(f.Deadline) {
			f.Deadline = by
		}
	}
	f.TargetDeadline = arrived.Add(rule.LatencyTarget())
}

// draw returns the number, from 0 to 1, that chooses the destination of a rule's next request. The numbers of a rule are spread evenly,
// so that destinations get their shares by weight, and begin at a random place.
func (h *Handler) draw(rule string) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	last, ok := h.draws[rule]
	if !ok {
		last = h.random()
	}
	_, next := math.Modf(last + goldenRatio)
	h.draws[rule] = next
	return next
}

// status returns the HTTP status for the client. CodeDeadline gets 503 instead of the status in its Info: clients take 504 for a
// request that may have been executed, but a refusal guarantees that the request was not executed and never will be.
func (h *Handler) status(r *jaypitch.MeshResponse) int {
	switch {
	case r.Execution == jaypitch.Executed:
		return r.Status
	case r.Code == jaypitch.CodeDeadline:
		return http.StatusServiceUnavailable
	}
	return r.Code.Info().Status
}

func (h *Handler) write(w http.ResponseWriter, rec Record, r *jaypitch.MeshResponse) error {
	out := w.Header()
	if r.Execution == jaypitch.Executed {
		for name, values := range hop.EndToEndHeader(r.Header) {
			out[name] = values
		}
		return hop.WriteResponse(w, rec.Status, r)
	}
	if rec.ID != "" {
		out.Set(h.names.RequestID, rec.ID)
	}
	if rec.Status == http.StatusServiceUnavailable {
		after := r.RetryAfter
		if after == 0 {
			after = jitterRetryAfter(0)
		}
		out.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	refusal := &jaypitch.MeshResponse{Body: []byte(strings.ReplaceAll(r.Reason, "\n", " ") + "\n")}
	return hop.WriteResponse(w, rec.Status, refusal)
}
