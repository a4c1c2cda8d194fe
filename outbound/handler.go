package outbound

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/hop"
	"github.com/jaypitch/jaypitch/mesh"
)

// Handler answers callers.
type Handler struct {
	dispatcher *Dispatcher
	state      *mesh.Replica
	names      jaypitch.HeaderNames
	own        func() LocalState
	now        func() time.Time
	record     func(Record)
	tracker    *evidence.Tracker
	held       atomic.Int64
	active     atomic.Int64
	bodyBudget int64

	mu    sync.Mutex
	draws map[string]float64
}

// LocalState is what a handler has to know of this host and process at each request.
type LocalState struct {
	// Service is the service of the backend server on this host.
	Service string
	// Stopping is true if connections are to be given up.
	Stopping bool
	// EndsAt is when the process ends at the latest; zero if it isn't stopping. What may last longer is refused.
	EndsAt time.Time
	// Unconfirmed is true if what is held may be old: nothing is passed on.
	Unconfirmed bool
}

// Record is what became of a request.
type Record struct {
	ID       string
	Rule     string
	Rank     int64
	Service  string
	Version  int64
	Response *jaypitch.MeshResponse
	Status   int
	Took     time.Duration
	// Target is the time within which the answer is good.
	Target time.Duration
	// Overhead is the time that the server did not have the request.
	Overhead time.Duration
}

const (
	// goldenRatio spreads consecutive draws evenly.
	goldenRatio = 0.6180339887498949
	// firstBody is the room made for a body whose length isn't told, in bytes.
	firstBody = 4 << 10
	// noSettingsComeBack is told while no configuration is held.
	noSettingsComeBack = 300 * time.Millisecond
)

// NewHandler makes the handler of the callers' listener. BodyBudget bounds the bytes of bodies held at once; tracker counts
// the requests in progress by their rule.
func NewHandler(d *Dispatcher, state *mesh.Replica, names jaypitch.HeaderNames, own func() LocalState, bodyBudget int64, tracker *evidence.Tracker, now func() time.Time, record func(Record)) *Handler {
	return &Handler{dispatcher: d, state: state, names: names, own: own, now: now, record: record, tracker: tracker, bodyBudget: bodyBudget, draws: map[string]float64{}}
}

// InProgress returns the number of requests in progress.
func (h *Handler) InProgress() int64 {
	return h.active.Load()
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := h.now()
	h.active.Add(1)
	defer h.active.Add(-1)
	own := h.own()
	rec := Record{ID: r.Header.Get(h.names.RequestID)}
	reply := h.answer(r, own, arrived, &rec)
	if own.Stopping || h.own().Stopping {
		w.Header()["Connection"] = []string{"close"}
	}
	rec.Response = reply
	rec.Status = h.status(reply)
	err := h.write(w, rec, reply)
	rec.Took = h.now().Sub(arrived)
	rec.Overhead = rec.Took - reply.ServiceTime
	h.record(rec)
	if err != nil || reply.Code == jaypitch.CodeCallerGone || reply.Code == jaypitch.CodeBodyCut {
		panic(http.ErrAbortHandler)
	}
}

// answer finds the rule and has the request passed on.
func (h *Handler) answer(r *http.Request, own LocalState, arrived time.Time, rec *Record) *jaypitch.MeshResponse {
	t := h.state.Table()
	rec.Version = t.Version
	if t.Version == 0 || own.Unconfirmed {
		reply := jaypitch.NotExecutedResponse(jaypitch.CodeNoSettings, "no configuration is held that is surely in force")
		reply.RetryAfter = comeBack(noSettingsComeBack)
		return reply
	}
	rule, done := h.match(t, r)
	if rule == nil {
		return jaypitch.NotExecutedResponse(jaypitch.CodeNoRoute, "no rule of version %d matches host %q and path %q", t.Version, r.Host, r.URL.Path)
	}
	defer done()
	rec.Rule, rec.Rank, rec.Target = rule.GetName(), rule.GetRank(), rule.LatencyTarget()
	if e := checkHead(r, t.Limits.GetHeaderBytes()); e != nil {
		return jaypitch.NotExecutedResponse(e.Code, "%s", e.Reason)
	}
	body, e := h.readBody(r, t.Limits.GetBodyBytes())
	if e != nil {
		return jaypitch.NotExecutedResponse(e.Code, "%s", e.Reason)
	}
	defer h.held.Add(-int64(len(body)))
	f := &jaypitch.MeshRequest{ID: rec.ID, Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: hop.EndToEndHeader(r.Header), Body: body,
		Rule: rule.GetName(), Rank: rule.GetRank(), Idempotent: rule.GetIdempotent(), CallerService: own.Service}
	h.times(f, r, rule, arrived)
	if !own.EndsAt.IsZero() && f.Deadline.After(own.EndsAt) {
		return jaypitch.NotExecutedResponse(jaypitch.CodeStopping, "the sidecar ends before the request may")
	}
	rec.Service = rule.Destination(h.draw(rule.GetName()))
	return h.dispatcher.Do(r.Context(), f, rule, rec.Service)
}

// match finds the rule of a request and counts the request under it. The table is looked at again after that, so that
// a request that isn't counted yet can't go on with a table that evidence was not judged by.
func (h *Handler) match(t *mesh.Table, r *http.Request) (*mesh.Rule, func()) {
	for {
		rule := t.Match(r.Host, r.URL.EscapedPath())
		if rule == nil {
			return nil, nil
		}
		k := evidence.RequestKey{Team: rule.GetHost(), Route: strings.TrimPrefix(rule.GetPrefix(), "/")}
		h.tracker.Begin(k)
		now := h.state.Table()
		if now.Version == t.Version {
			return rule, func() { h.tracker.End(k, true, h.now()) }
		}
		h.tracker.End(k, false, h.now())
		t = now
	}
}

// times sets the deadlines of a request.
func (h *Handler) times(f *jaypitch.MeshRequest, r *http.Request, rule *mesh.Rule, arrived time.Time) {
	f.Deadline = arrived.Add(rule.Timeout())
	if ms, err := strconv.ParseInt(r.Header.Get(h.names.TimeLeftMS), 10, 64); err == nil && ms >= 0 && ms < math.MaxInt32 {
		if by := arrived.Add(time.Duration(ms) * time.Millisecond); by.Before(f.Deadline) {
			f.Deadline = by
		}
	}
	f.TargetDeadline = arrived.Add(rule.LatencyTarget())
}

// draw returns the next number from 0 to 1 for a rule; the draws of a rule are spread evenly.
func (h *Handler) draw(rule string) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, next := math.Modf(h.draws[rule] + goldenRatio)
	h.draws[rule] = next
	return next
}

// readBody reads a whole body, within the limit of the configuration and of this process's memory.
func (h *Handler) readBody(r *http.Request, limit int64) ([]byte, *jaypitch.Error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return nil, jaypitch.Errorf(jaypitch.CodeBodyTooLarge, "the body has %d bytes; %d are allowed", r.ContentLength, limit)
	}
	if h.held.Load()+max(r.ContentLength, firstBody) > h.bodyBudget {
		return nil, jaypitch.Errorf(jaypitch.CodeTooManyCalls, "%d bytes of bodies are held", h.held.Load())
	}
	var in io.Reader = r.Body
	if limit > 0 {
		in = io.LimitReader(in, limit+1)
	}
	body, err := io.ReadAll(in)
	if err != nil {
		return nil, jaypitch.Errorf(jaypitch.CodeBodyCut, "the body ended early: %s", err)
	}
	if limit > 0 && int64(len(body)) > limit {
		return nil, jaypitch.Errorf(jaypitch.CodeBodyTooLarge, "the body is longer than the %d bytes allowed", limit)
	}
	h.held.Add(int64(len(body)))
	return body, nil
}

// status is what the caller is told: a refusal promises that the request did not run and never will.
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
		back := r.RetryAfter
		if back == 0 {
			back = comeBack(0)
		}
		out.Set("Retry-After", strconv.FormatFloat(back.Seconds(), 'f', 3, 64))
	}
	refusal := &jaypitch.MeshResponse{Body: []byte(strings.ReplaceAll(r.Reason, "\n", " ") + "\n")}
	return hop.WriteResponse(w, rec.Status, refusal)
}
