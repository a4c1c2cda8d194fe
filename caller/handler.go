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
	// defaultRepeatWait is how long a repeat waits for an attempt in progress if the client sends no deadline.
	defaultRepeatWait = time.Second
	// streamWriteTimeout bounds the time to write a streamed response to a slow client.
	streamWriteTimeout = 30 * time.Second
)

// Gate decides whether the node accepts requests of clients.
type Gate interface {
	// AwaitReady waits for a bounded time until the node may serve requests. It reports whether the node is ready by then.
	AwaitReady(ctx context.Context) bool
	// BeginRequest counts a request in progress. It returns false if the node is stopping.
	BeginRequest() bool
	// EndRequest ends a request for which BeginRequest returned true.
	EndRequest()
}

// Record describes an ended request for metrics. Service and Rank are zero if the request has no route.
type Record struct {
	Service  string
	Rank     *settings.Rank
	Code     jaypitch.Code
	Status   int
	Took     time.Duration
	Attempts int
}

// Handler serves clients at /TEAM/ROUTE/REST. The backend server gets the path /REST.
type Handler struct {
	dispatcher *Dispatcher
	replica    *settings.Replica
	tracker    *evidence.Tracker
	gate       Gate
	record     func(Record)
	now        func() time.Time
	limits     Limits
	inProgress atomic.Int64
	received   atomic.Int64
}

// Limits bound the requests of clients.
type Limits struct {
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64
	// Requests is the maximum number of requests in progress.
	Requests int64
	// ReadTimeout bounds the time in which a client sends a request body.
	ReadTimeout time.Duration
}

// activeRequest records which counts include a request in progress.
type activeRequest struct {
	handler *Handler
	key     evidence.RequestKey
	// tracked is true if the evidence tracker counts the request, routed if its route was found, and counted if the gate counts it.
	tracked bool
	routed  bool
	counted bool
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Code      jaypitch.Code      `json:"code"`
	Name      string             `json:"name"`
	Execution jaypitch.Execution `json:"ran"`
	Reason    string             `json:"reason"`
	Token     string             `json:"token,omitempty"`
}

// NewHandler returns the handler of the listener for clients. Record is called with each ended request.
func NewHandler(d *Dispatcher, replica *settings.Replica, tracker *evidence.Tracker, gate Gate, record func(Record), now func() time.Time,
	limits Limits) *Handler {
	return &Handler{dispatcher: d, replica: replica, tracker: tracker, gate: gate, record: record, now: now, limits: limits}
}

// InProgress returns the number of requests in progress.
func (h *Handler) InProgress() int64 {
	return h.inProgress.Load()
}

// Received returns the number of requests received since the start.
func (h *Handler) Received() int64 {
	return h.received.Load()
}

// ServeHTTP serves one request, which is in progress until its response is written. It aborts the connection if the response can't be written
// completely.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := h.now()
	h.received.Add(1)
	p := &activeRequest{handler: h}
	defer p.end()
	result := h.serve(w, r, arrived, p)
	err := h.writeResponse(w, r, result)
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

// end removes the request from the counts that include it.
func (p *activeRequest) end() {
	h := p.handler
	if p.tracked {
		h.tracker.End(p.key, p.routed, h.now())
	}
	if p.counted {
		h.gate.EndRequest()
	}
	h.inProgress.Add(-1)
}

// serve returns the result of a request: a refusal if the node accepts no requests, the request is invalid or has no route.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, arrived time.Time, p *activeRequest) *Result {
	if h.inProgress.Add(1) > h.limits.Requests {
		return refusal(jaypitch.Errorf(jaypitch.CodeTooManyCalls, "the limit of %d requests in progress is exceeded", h.limits.Requests))
	}
	c, e := h.readRequest(w, r)
	if e != nil {
		return refusal(e)
	}
	if c.Token != "" {
		return h.repeat(r, c, arrived)
	}
	if !h.gate.AwaitReady(r.Context()) {
		return refusal(jaypitch.Errorf(jaypitch.CodeUnconfirmed, "the node has not confirmed its settings"))
	}
	p.counted = h.gate.BeginRequest()
	if !p.counted {
		return refusal(jaypitch.Errorf(jaypitch.CodeStopping, "the node is stopping"))
	}
	return h.dispatch(r, c, arrived, p)
}

// dispatch finds the route and makes the attempts. It counts the request in the tracker before it reads the table, so that evidence reports include
// every request that uses an older table.
func (h *Handler) dispatch(r *http.Request, c *jaypitch.Request, arrived time.Time, p *activeRequest) *Result {
	p.key = evidence.RequestKey{Team: c.Team, Route: c.Route, Customer: c.Customer}
	h.tracker.Begin(p.key)
	p.tracked = true
	rt, e := h.replica.Table().Route(c.Team, c.Route, c.Customer)
	if e != nil {
		return refusal(e)
	}
	p.routed = true
	c.Deadline = earliest(rt.Deadline(arrived), c.Deadline)
	return h.dispatcher.Do(r.Context(), c, rt)
}

func (h *Handler) repeat(r *http.Request, c *jaypitch.Request, arrived time.Time) *Result {
	if c.Deadline.IsZero() {
		c.Deadline = arrived.Add(defaultRepeatWait)
	}
	return h.dispatcher.Repeat(r.Context(), c)
}

// readRequest parses a client's request. It reads the body completely before any attempt, so that a slow client holds no slot.
func (h *Handler) readRequest(w http.ResponseWriter, r *http.Request) (*jaypitch.Request, *jaypitch.Error) {
	team, rest, ok := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	routeName, rest, _ := strings.Cut(rest, "/")
	if !ok || team == "" || routeName == "" {
		return nil, jaypitch.Errorf(jaypitch.CodeBadRequest, "path %q is not /TEAM/ROUTE/REST", r.URL.Path)
	}
	c := &jaypitch.Request{Team: team, Route: routeName, Customer: r.Header.Get(jaypitch.HeaderCustomer), Path: "/" + rest, Method: r.Method,
		Token: r.Header.Get(jaypitch.HeaderToken), Retries: jaypitch.DefaultRetries}
	if r.URL.RawQuery != "" {
		c.Path += "?" + r.URL.RawQuery
	}
	if e := readDeadlineAndRetries(r, c, h.now()); e != nil {
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

// readBody reads a request body within the read timeout.
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

// readDeadlineAndRetries parses the headers with the time left and the remaining retries, which an earlier request of the chain may have set.
func readDeadlineAndRetries(r *http.Request, c *jaypitch.Request, now time.Time) *jaypitch.Error {
	if text := r.Header.Get(jaypitch.HeaderTimeLeft); text != "" {
		timeLeft, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return jaypitch.Errorf(jaypitch.CodeBadRequest, "header %s is %q, not a number of microseconds", jaypitch.HeaderTimeLeft, text)
		}
		c.Deadline = now.Add(time.Duration(timeLeft) * time.Microsecond)
	}
	if text := r.Header.Get(jaypitch.HeaderRetries); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return jaypitch.Errorf(jaypitch.CodeBadRequest, "header %s is %q, not a non-negative number", jaypitch.HeaderRetries, text)
		}
		c.Retries = min(n, jaypitch.DefaultRetries)
	}
	return nil
}

// writeResponse writes the response to the client. Writing a streamed response may take streamWriteTimeout, even if the request's deadline
// passes meanwhile.
func (h *Handler) writeResponse(w http.ResponseWriter, r *http.Request, result *Result) error {
	resp := result.Response
	out := w.Header()
	for name, values := range resp.Header {
		out[name] = values
	}
	info := resp.Code.Info()
	out.Set(jaypitch.HeaderCode, strconv.Itoa(int(resp.Code)))
	out.Set(jaypitch.HeaderExecution, string(info.Execution))
	if team := h.replica.Table().Teams[teamOf(r)]; team != nil {
		out.Set(jaypitch.HeaderRevision, strconv.FormatInt(team.Revision, 10))
	}
	if resp.Code == jaypitch.CodeStopping {
		out.Set("Connection", "close")
	}
	if resp.Code != jaypitch.CodeOK {
		if result.Token != "" {
			out.Set(jaypitch.HeaderToken, result.Token)
		}
		out.Set("Content-Type", "application/json")
		resp.Status = info.Status
		resp.Body, _ = json.Marshal(refusalBody{Code: resp.Code, Name: info.Name, Execution: info.Execution, Reason: resp.Reason, Token: result.Token})
	}
	if resp.Stream != nil {
		_ = http.NewResponseController(w).SetWriteDeadline(h.now().Add(streamWriteTimeout))
	}
	return peer.WriteBody(w, resp)
}

func teamOf(r *http.Request) string {
	team, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return team
}

func refusal(e *jaypitch.Error) *Result {
	return &Result{Response: jaypitch.RefusalOf(e)}
}

// earliest returns the earlier of two deadlines. B may be zero, which means no deadline.
func earliest(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}
