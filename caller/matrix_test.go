package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/backend"
	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/http1"
	"github.com/jaypitch/jaypitch/route"
	"github.com/jaypitch/jaypitch/settings"
)

// fault is a fault of a kind at one step of a request. Each is injected once.
type fault struct {
	step string
	kind string
}

// faultRun is one request with faults, from a node without a backend server to a service on two other hosts.
type faultRun struct {
	mu       sync.Mutex
	faults   []fault
	injected []fault
	hosts    map[string]*testHost
	// delayed are functions that deliver delayed attempts; they are called after the repeat.
	delayed       []func()
	senderReplica *settings.Replica
}

// testHost is a receiving host. The process of its node may be restarted; its backend server keeps running.
type testHost struct {
	faultRun   *faultRun
	name       string
	replica    *settings.Replica
	receiver   *backend.Receiver
	process    uint64
	ended      chan struct{}
	stopping   bool
	readyAt    time.Time
	executions int
}

var (
	// steps are the steps of a request, in order:
	//   - accepted: before the first attempt
	//   - queued: requests wait for the slots of both hosts
	//   - chosen: the host of the attempt is picked
	//   - connecting: the sender connects to the host
	//   - part, sent: a part of the attempt is sent; all of it is sent
	//   - running: the backend server executes the request
	//   - answering: the backend server sends the response
	//   - answered: the receiver sends the response
	steps = []string{"accepted", "queued", "chosen", "connecting", "part", "sent", "running", "answering", "answered"}
	// kinds are the kinds of faults. A step ignores kinds that can't occur there.
	kinds = []string{"refuse", "cut", "late", "shed", "restart", "stop", "withdraw", "pause"}
)

const testTeam = `[team]
name = fairs
[rank urgent]
order = 1
[service ledger]
deadline = 2s
[customer meadow]
[customer hill]
[route charge]
service = ledger
rank = urgent
idempotent = %t
customers = %s
deadline = 1s
`

func newFaultRun(idempotent bool, faults ...fault) *faultRun {
	tr := &faultRun{faults: faults, hosts: map[string]*testHost{}}
	tr.senderReplica = newTestReplica(idempotent)
	for i, name := range []string{"h1", "h2"} {
		h := &testHost{faultRun: tr, name: name, replica: newTestReplica(idempotent), process: uint64(10 * (i + 1))}
		tr.hosts[name] = h
		h.restart()
	}
	return tr
}

func newTestReplica(idempotent bool) *settings.Replica {
	s := settings.NewReplica(time.Now)
	s.Merge(jaypitch.NewDocument("teams/fairs", 1, fmt.Appendf(nil, testTeam, idempotent, "meadow, hill")),
		jaypitch.NewDocument("hosts/dc", 1, []byte("[host h1]\nservice = ledger\naddress = 127.0.0.1:1\n[host h2]\nservice = ledger\naddress = 127.0.0.2:1\n")))
	s.Apply()
	return s
}

// restart replaces the node's process, whose state and attempts in progress are lost.
func (h *testHost) restart() {
	if h.ended != nil {
		close(h.ended)
	}
	h.process++
	h.ended = make(chan struct{})
	h.receiver = backend.NewReceiver(h, h.replica, evidence.NewTracker(), h, time.Now, backend.Options{Host: h.name, DataCentre: "dc", Service: "ledger",
		Process: h.process, Slots: 1, CacheSize: 16, CacheTTL: 100 * time.Second})
	h.receiver.Configure(h.replica.Table())
}

// applyFault applies a fault of a kind that has the same effect at every step.
func (h *testHost) applyFault(kind string) {
	switch kind {
	case "restart":
		h.restart()
	case "stop":
		h.stopping = true
	case "withdraw":
		h.replica.Merge(jaypitch.NewDocument("teams/fairs", 2, fmt.Appendf(nil, testTeam, true, "hill")))
		h.replica.Apply()
		h.receiver.Configure(h.replica.Table())
	case "pause":
		h.readyAt = time.Now().Add(300 * time.Millisecond)
	}
}

// injectFault removes the next fault of a step and returns its kind, or "" if there is none. It applies the kinds that have the same effect at
// every step; the caller applies the others.
func (h *testHost) injectFault(step string) string {
	h.faultRun.mu.Lock()
	defer h.faultRun.mu.Unlock()
	for i, f := range h.faultRun.faults {
		if f.step == step {
			h.faultRun.faults = append(h.faultRun.faults[:i:i], h.faultRun.faults[i+1:]...)
			h.faultRun.injected = append(h.faultRun.injected, f)
			h.applyFault(f.kind)
			return f.kind
		}
	}
	return ""
}

func (h *testHost) AwaitReady(context.Context) bool {
	h.faultRun.mu.Lock()
	delay := time.Until(h.readyAt)
	h.faultRun.mu.Unlock()
	time.Sleep(delay)
	return true
}

func (h *testHost) BeginRequest() bool {
	return !h.Stopping()
}

func (h *testHost) Stopping() bool {
	h.faultRun.mu.Lock()
	defer h.faultRun.mu.Unlock()
	return h.stopping
}

func (h *testHost) EndRequest()                                    {}
func (h *testHost) RecordSender(string)                            {}
func (h *testHost) BackendDraining()                               {}
func (h *testHost) CatchUp(context.Context, string, string, int64) {}

// Probe is not used.
func (h *testHost) Probe(context.Context) (bool, error) {
	return false, nil
}

// Do is the backend server. It counts the requests that it executes. Requests of customer hill occupy a slot for 100 ms.
func (h *testHost) Do(ctx context.Context, c *jaypitch.Request) (*http.Response, error) {
	if c.Customer == "hill" {
		time.Sleep(100 * time.Millisecond)
		return newHTTPResponse(http.StatusOK, io.NopCloser(bytes.NewReader(nil))), nil
	}
	kind := h.injectFault("running")
	if kind == "refuse" {
		return nil, &http1.Error{Sent: false, Err: errors.New("refused")}
	}
	if kind == "shed" {
		r := newHTTPResponse(http.StatusServiceUnavailable, http.NoBody)
		r.Header.Set(jaypitch.HeaderShed, "true")
		return r, nil
	}
	h.faultRun.mu.Lock()
	h.executions++
	h.faultRun.mu.Unlock()
	if kind == "late" {
		<-ctx.Done()
		return nil, &http1.Error{Sent: true, Err: ctx.Err()}
	}
	if kind == "cut" {
		return nil, &http1.Error{Sent: true, Err: errors.New("cut")}
	}
	time.Sleep(5 * time.Millisecond)
	if h.injectFault("answering") == "cut" {
		return newHTTPResponse(http.StatusOK, io.NopCloser(io.MultiReader(bytes.NewReader([]byte("ans")), truncatedBody{}))), nil
	}
	return newHTTPResponse(http.StatusOK, io.NopCloser(bytes.NewReader([]byte("answer")))), nil
}

// truncatedBody is a response body that ends early.
type truncatedBody struct{}

func (truncatedBody) Read([]byte) (int, error) {
	return 0, io.ErrUnexpectedEOF
}

func newHTTPResponse(status int, body io.ReadCloser) *http.Response {
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: body}
}

// fakeForwarder delivers attempts to the hosts of a run.
type fakeForwarder struct {
	faultRun *faultRun
}

// delivery is an attempt that a receiver serves.
type delivery struct {
	receiver *backend.Receiver
	attempt  *jaypitch.Attempt
	response chan *jaypitch.Response
}

func (d *delivery) serve(ctx context.Context) {
	d.response <- d.receiver.Serve(ctx, d.attempt)
}

func (p *fakeForwarder) CloseIdle() {}

func (p *fakeForwarder) Do(ctx context.Context, address string, a *jaypitch.Attempt) (*jaypitch.Response, error) {
	h := p.faultRun.hosts[map[string]string{"127.0.0.1:1": "h1", "127.0.0.2:1": "h2"}[address]]
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	h.injectFault("chosen")
	switch h.injectFault("connecting") {
	case "refuse":
		return nil, &http1.Error{Sent: false, Err: errors.New("refused")}
	case "late":
		<-ctx.Done()
		return nil, &http1.Error{Sent: false, Err: ctx.Err()}
	}
	receiver, ended := h.receiver, h.ended
	d := &delivery{receiver: receiver, attempt: a, response: make(chan *jaypitch.Response, 1)}
	switch h.injectFault("part") {
	case "cut":
		return nil, &http1.Error{Sent: true, Err: errors.New("cut")}
	case "late":
		p.faultRun.delayed = append(p.faultRun.delayed, func() { d.serve(context.Background()) })
		<-ctx.Done()
		return nil, &http1.Error{Sent: true, Err: ctx.Err()}
	}
	go d.serve(ctx)
	switch h.injectFault("sent") {
	case "cut":
		return nil, &http1.Error{Sent: true, Err: errors.New("cut")}
	case "late":
		<-ctx.Done()
		return nil, &http1.Error{Sent: true, Err: ctx.Err()}
	}
	select {
	case response := <-d.response:
		return p.returnResponse(h, response)
	case <-ended:
		return nil, &http1.Error{Sent: true, Err: errors.New("the receiving process ended")}
	case <-ctx.Done():
		return nil, &http1.Error{Sent: true, Err: ctx.Err()}
	}
}

func (p *fakeForwarder) returnResponse(h *testHost, response *jaypitch.Response) (*jaypitch.Response, error) {
	if h.injectFault("answered") == "cut" {
		return nil, &http1.Error{Sent: true, Err: errors.New("cut")}
	}
	return response, nil
}

// otherServiceReceiver is the receiver of the sending host, which has no backend server of the service.
type otherServiceReceiver struct{}

func (otherServiceReceiver) Serve(context.Context, *jaypitch.Attempt) *jaypitch.Response {
	return jaypitch.NewRefusal(jaypitch.CodeNotThisHost, "the service is not on this host")
}

func (tr *faultRun) dispatcher(host string, nonce uint64) *Dispatcher {
	next := func() uint64 { nonce++; return nonce }
	first := func(int) int { return 0 }
	return NewDispatcher(host, tr.senderReplica, &fakeForwarder{tr}, otherServiceReceiver{}, route.NewPicker("dc", first), time.Now, next, func(string) {})
}

func (tr *faultRun) newRequest() *jaypitch.Request {
	return &jaypitch.Request{Team: "fairs", Route: "charge", Customer: "meadow", Path: "/", Method: http.MethodPost, Header: http.Header{},
		Deadline: time.Now().Add(time.Second), Retries: jaypitch.DefaultRetries}
}

// fillSlots occupies the slots of both hosts for 100 ms, and injects the fault of step queued after 50 ms.
func (tr *faultRun) fillSlots() {
	for _, name := range []string{"h1", "h2"} {
		h := tr.hosts[name]
		c := tr.newRequest()
		c.Customer = "hill"
		b := &delivery{receiver: h.receiver, attempt: &jaypitch.Attempt{Request: c, Process: h.process, Revision: 1}, response: make(chan *jaypitch.Response, 1)}
		b.attempt.Token = fmt.Sprintf("%s.%016x.0.%016x", name, h.process, 999)
		go b.serve(context.Background())
	}
	synctest.Wait()
	go tr.injectQueuedFault()
}

func (tr *faultRun) injectQueuedFault() {
	time.Sleep(50 * time.Millisecond)
	tr.hosts["h1"].injectFault("queued")
}

func (tr *faultRun) executions() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.hosts["h1"].executions + tr.hosts["h2"].executions
}

// run makes the request, repeats it if it returned a token, and compares the results with the executions that the backend servers counted.
func (tr *faultRun) run(t *testing.T, idempotent bool) {
	t.Helper()
	for _, f := range tr.faults {
		if f.step == "queued" {
			tr.fillSlots()
			break
		}
	}
	rt, e := tr.senderReplica.Table().Route("fairs", "charge", "meadow")
	if e != nil {
		t.Fatal(e)
	}
	tr.hosts["h1"].injectFault("accepted")
	result := tr.dispatcher("s1", 100).Do(context.Background(), tr.newRequest(), rt)
	time.Sleep(2 * time.Second)
	tr.checkResult(t, "the request", result, idempotent)
	if result.Token == "" || idempotent {
		return
	}
	c := tr.newRequest()
	c.Token = result.Token
	repeat := tr.dispatcher("s2", 200).Repeat(context.Background(), c)
	time.Sleep(2 * time.Second)
	tr.checkResult(t, "the repeat", repeat, false)
	for _, serveDelayed := range tr.delayed {
		serveDelayed()
	}
	tr.checkResult(t, "the repeat, after a delayed attempt", repeat, false)
}

func (tr *faultRun) checkResult(t *testing.T, what string, r *Result, idempotent bool) {
	t.Helper()
	executions, code := tr.executions(), r.Response.Code
	if !idempotent && executions > 1 {
		t.Fatalf("%s: executed %d times after faults %v", what, executions, tr.injected)
	}
	switch code.Info().Execution {
	case jaypitch.NotExecuted:
		if executions != 0 {
			t.Fatalf("%s: code %d says not executed, but it was executed, after faults %v: %s", what, code, tr.injected, r.Response.Reason)
		}
	case jaypitch.Executed:
		if executions == 0 {
			t.Fatalf("%s: code %d says executed, but it was not, after faults %v", what, code, tr.injected)
		}
		if code == jaypitch.CodeOK && string(r.Response.Body) != "answer" {
			t.Fatalf("%s: response body %q is not complete after faults %v", what, r.Response.Body, tr.injected)
		}
	}
	if !idempotent && code.Info().Execution == jaypitch.ExecutionUnknown && r.Token == "" {
		t.Fatalf("%s: code %d has no token", what, code)
	}
}

// TestFaultMatrix injects every fault at every step, alone and in pairs, for idempotent and other requests. A request that isn't idempotent is
// executed at most once, and no result claims wrongly that the request was or wasn't executed.
func TestFaultMatrix(t *testing.T) {
	var all []fault
	for _, s := range steps {
		for _, k := range kinds {
			all = append(all, fault{s, k})
		}
	}
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprintf("idempotent %t", idempotent), func(t *testing.T) {
			for i, f := range all {
				synctest.Test(t, func(t *testing.T) { newFaultRun(idempotent, f).run(t, idempotent) })
				for _, g := range all[i:] {
					synctest.Test(t, func(t *testing.T) { newFaultRun(idempotent, f, g).run(t, idempotent) })
				}
			}
		})
	}
}

// TestOutcomes checks the code and the number of executions in cases in which both are determined.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		faults     []fault
		code       jaypitch.Code
		executions int
	}{
		{"no fault", false, nil, jaypitch.CodeOK, 1},
		{"connection refused", false, []fault{{"connecting", "refuse"}}, jaypitch.CodeOK, 1},
		{"shed", false, []fault{{"running", "shed"}}, jaypitch.CodeOK, 1},
		{"stopping", false, []fault{{"chosen", "stop"}}, jaypitch.CodeOK, 1},
		{"receiver restarted before the attempt arrived", false, []fault{{"chosen", "restart"}}, jaypitch.CodeOK, 1},
		{"connection closed while sending", false, []fault{{"part", "cut"}}, jaypitch.CodeUnknown, 0},
		{"connection closed while executing", false, []fault{{"running", "cut"}}, jaypitch.CodeUnknown, 1},
		{"connection closed while executing, idempotent", true, []fault{{"running", "cut"}}, jaypitch.CodeOK, 2},
		{"response truncated", false, []fault{{"answering", "cut"}}, jaypitch.CodeAnswerCut, 1},
		{"response truncated, idempotent", true, []fault{{"answering", "cut"}}, jaypitch.CodeOK, 2},
		{"no response before the deadline", false, []fault{{"running", "late"}}, jaypitch.CodeAnswerTooLate, 1},
		{"withdrawn while queued", false, []fault{{"queued", "withdraw"}}, jaypitch.CodeNoCustomer, 0},
		{"withdrawn at the receiver", true, []fault{{"chosen", "withdraw"}}, jaypitch.CodeStaleSender, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr := newFaultRun(c.idempotent, c.faults...)
				tr.run(t, c.idempotent)
				if len(tr.injected) != len(c.faults) {
					t.Fatalf("injected faults %v; want %v", tr.injected, c.faults)
				}
			})
			synctest.Test(t, func(t *testing.T) {
				tr := newFaultRun(c.idempotent, c.faults...)
				if len(c.faults) > 0 && c.faults[0].step == "queued" {
					tr.fillSlots()
				}
				rt, _ := tr.senderReplica.Table().Route("fairs", "charge", "meadow")
				r := tr.dispatcher("s1", 100).Do(context.Background(), tr.newRequest(), rt)
				time.Sleep(2 * time.Second)
				if r.Response.Code != c.code || tr.executions() != c.executions {
					t.Fatalf("code %d, executed %d times; want %d, %d: %s", r.Response.Code, tr.executions(), c.code, c.executions, r.Response.Reason)
				}
			})
		})
	}
}
