package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/peer"
	"github.com/jaypitch/jaypitch/settings"
)

const (
	// repeatWait is how long a repeat waits for an attempt in progress if the caller doesn't say.
	repeatWait = time.Second
	// slowCallerWait bounds the time to write a long answer.
	slowCallerWait = 30 * time.Second
)

// Gate says whether the node takes calls.
type Gate interface {
	// AwaitReady waits a bounded time until the node may take work.
	AwaitReady(ctx context.Context) bool
	// BeginRequest counts a call in progress; it returns false if the node is stopping.
	BeginRequest() bool
	EndRequest()
}

// Record is what is counted of a call.
type Record struct {
	Service  string
	Rank     *settings.Rank
	Code     jaypitch.Code
	Status   int
	Took     time.Duration
	Attempts int
}

// Handler answers callers at /TEAM/ROUTE/REST; REST goes to the backend server as /REST.
type Handler struct {
	dispatcher *Dispatcher
	store      *settings.Replica
	tracker    *evidence.Tracker
	gate       Gate
	record     func(Record)
	now        func() time.Time
	limits     Limits
	calls      atomic.Int64
	seen       atomic.Int64
}

// Limits bound what callers may ask for.
type Limits struct {
	BodyBytes int64
	Requests  int64
	// ReadTimeout is the time for a caller to send a whole body.
	ReadTimeout time.Duration
}

// progress is what a call in progress is counted under.
type progress struct {
	handler *Handler
	key     evidence.RequestKey
	tracked bool
	served  bool
	entered bool
}

// refusalBody is the body of a refusal.
type refusalBody struct {
	Code   jaypitch.Code      `json:"code"`
	Name   string             `json:"name"`
	Ran    jaypitch.Execution `json:"ran"`
	Reason string             `json:"reason"`
	Token  string             `json:"token,omitempty"`
}

// NewHandler makes the handler of the callers' listener.
func NewHandler(d *Dispatcher, store *settings.Replica, tracker *evidence.Tracker, gate Gate, record func(Record), now func() time.Time, limits Limits) *Handler {
	return &Handler{dispatcher: d, store: store, tracker: tracker, gate: gate, record: record, now: now, limits: limits}
}

// InProgress returns the number of calls in progress.
func (h *Handler) InProgress() int64 {
	return h.calls.Load()
}

// Received returns the number of calls that have arrived.
func (h *Handler) Received() int64 {
	return h.seen.Load()
}

// ServeHTTP answers one call. The call is in progress until its answer is written.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := h.now()
	h.seen.Add(1)
	p := &progress{handler: h}
	defer p.end()
	result := h.answer(w, r, arrived, p)
	err := h.write(w, r, result)
	rec := Record{Code: result.Response.Code, Status: result.Response.Status, Took: h.now().Sub(arrived), Attempts: result.Attempts}
	if result.Route != nil {
		rec.Service, rec.Rank = result.Route.Service.Name, result.Route.Rank
	}
	if err != nil {
		rec.Code = jaypitch.CodeAnswerCut
	}
	h.record(rec)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// end undoes what the call was counted under.
func (p *progress) end() {
	h := p.handler
	if p.tracked {
		h.tracker.End(p.key, p.served, h.now())
	}
	if p.entered {
		h.gate.EndRequest()
	}
	h.calls.Add(-1)
}

// answer takes a call in, if the node takes any.
func (h *Handler) answer(w http.ResponseWriter, r *http.Request, arrived time.Time, p *progress) *Result {
	if h.calls.Add(1) > h.limits.Requests {
		return refused(jaypitch.Errorf(jaypitch.CodeTooManyCalls, "%d calls are in progress", h.limits.Requests))
	}
	c, e := h.read(w, r)
	if e != nil {
		return refused(e)
	}
	if c.Token != "" {
		return h.repeat(r, c, arrived)
	}
	if !h.gate.AwaitReady(r.Context()) {
		return refused(jaypitch.Errorf(jaypitch.CodeUnconfirmed, "the node has not confirmed its settings"))
	}
	p.entered = h.gate.BeginRequest()
	if !p.entered {
		return refused(jaypitch.Errorf(jaypitch.CodeStopping, "the node is stopping"))
	}
	return h.dispatch(r, c, arrived, p)
}

// dispatch counts a call before it looks at the table, for the sake of evidence.
func (h *Handler) dispatch(r *http.Request, c *jaypitch.Request, arrived time.Time, p *progress) *Result {
	p.key = evidence.RequestKey{Team: c.Team, Route: c.Route, Customer: c.Customer}
	h.tracker.Begin(p.key)
	p.tracked = true
	rt, e := h.store.Table().Route(c.Team, c.Route, c.Customer)
	if e != nil {
		return refused(e)
	}
	p.served = true
	c.Deadline = earliest(rt.Deadline(arrived), c.Deadline)
	return h.dispatcher.Do(r.Context(), c, rt)
}

func (h *Handler) repeat(r *http.Request, c *jaypitch.Request, arrived time.Time) *Result {
	if c.Deadline.IsZero() {
		c.Deadline = arrived.Add(repeatWait)
	}
	return h.dispatcher.Repeat(r.Context(), c)
}

// read takes the parts of a call from its request; the body is read whole first, so that a slow caller holds no slot.
func (h *Handler) read(w http.ResponseWriter, r *http.Request) (*jaypitch.Request, *jaypitch.Error) {
	team, rest, ok := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	name, rest, _ := strings.Cut(rest, "/")
	if !ok || team == "" || name == "" {
		return nil, jaypitch.Errorf(jaypitch.CodeBadRequest, "path %q is not /TEAM/ROUTE/REST", r.URL.Path)
	}
	c := &jaypitch.Request{Team: team, Route: name, Customer: r.Header.Get(jaypitch.HeaderCustomer), Path: "/" + rest, Method: r.Method,
		Token: r.Header.Get(jaypitch.HeaderToken), Retries: jaypitch.DefaultRetries}
	if r.URL.RawQuery != "" {
		c.Path += "?" + r.URL.RawQuery
	}
	if e := readLimits(r, c, h.now()); e != nil {
		return nil, e
	}
	body, e := h.readBody(w, r)
	if e != nil {
		return nil, e
	}
	c.Body = body
	c.Header = peer.EndToEndHeader(r.Header)
	return c, nil
}

// readBody reads a whole body before a deadline.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *jaypitch.Error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(h.now().Add(h.limits.ReadTimeout))
	body, e := peer.ReadBody(r, h.limits.BodyBytes)
	if e == nil {
		_ = control.SetReadDeadline(time.Time{})
	}
	return body, e
}

// readLimits reads the deadline and the attempts left that an earlier call of the chain set.
func readLimits(r *http.Request, c *jaypitch.Request, now time.Time) *jaypitch.Error {
	if text := r.Header.Get(jaypitch.HeaderTimeLeft); text != "" {
		left, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return jaypitch.Errorf(jaypitch.CodeBadRequest, "header %s is %q; a number of microseconds is needed", jaypitch.HeaderTimeLeft, text)
		}
		c.Deadline = now.Add(time.Duration(left) * time.Microsecond)
	}
	if text := r.Header.Get(jaypitch.HeaderRetries); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return jaypitch.Errorf(jaypitch.CodeBadRequest, "header %s is %q; a number is needed", jaypitch.HeaderRetries, text)
		}
		c.Retries = min(n, jaypitch.DefaultRetries)
	}
	return nil
}

// write sends the answer; a long one to a slow caller ends some time after the call's deadline.
func (h *Handler) write(w http.ResponseWriter, r *http.Request, result *Result) error {
	a := result.Response
	out := w.Header()
	for name, values := range a.Header {
		out[name] = values
	}
	info := a.Code.Info()
	out.Set(jaypitch.HeaderCode, strconv.Itoa(int(a.Code)))
	out.Set(jaypitch.HeaderExecution, string(info.Execution))
	if team := h.store.Table().Teams[teamOf(r)]; team != nil {
		out.Set(jaypitch.HeaderRevision, strconv.FormatInt(team.Revision, 10))
	}
	if a.Code == jaypitch.CodeStopping {
		out.Set("Connection", "close")
	}
	if a.Code != jaypitch.CodeOK {
		if result.Token != "" {
			out.Set(jaypitch.HeaderToken, result.Token)
		}
		out.Set("Content-Type", "application/json")
		a.Status = info.Status
		a.Body, _ = json.Marshal(refusalBody{Code: a.Code, Name: info.Name, Ran: info.Execution, Reason: a.Reason, Token: result.Token})
	}
	if a.Stream != nil {
		_ = http.NewResponseController(w).SetWriteDeadline(h.now().Add(slowCallerWait))
	}
	return peer.WriteBody(w, a)
}

func teamOf(r *http.Request) string {
	team, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return team
}

func refused(e *jaypitch.Error) *Result {
	return &Result{Response: jaypitch.RefusalOf(e)}
}

// earliest returns the earlier deadline; a zero one is none.
func earliest(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}
