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

// fault is what goes wrong at one step of a call. Each happens once.
type fault struct {
	step string
	kind string
}

// trial is one call from a node without a backend server to a service on two other hosts, with faults.
type trial struct {
	mu     sync.Mutex
	faults []fault
	hit    []fault
	hosts  map[string]*trialHost
	late   []func()
	sender *settings.Replica
}

// trialHost is a receiving host: its node's process may be replaced, its backend server stays.
type trialHost struct {
	trial    *trial
	name     string
	store    *settings.Replica
	receiver *backend.Receiver
	process  uint64
	dead     chan struct{}
	stopping bool
	readyAt  time.Time
	ran      int
}

var (
	steps = []string{"accepted", "queued", "chosen", "connecting", "part", "sent", "running", "answering", "answered"}
	kinds = []string{"refuse", "cut", "late", "shed", "restart", "stop", "withdraw", "pause"}
)

const trialTeam = `[team]
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

func newTrial(idempotent bool, faults ...fault) *trial {
	tr := &trial{faults: faults, hosts: map[string]*trialHost{}}
	tr.sender = trialStore(idempotent)
	for i, name := range []string{"h1", "h2"} {
		h := &trialHost{trial: tr, name: name, store: trialStore(idempotent), process: uint64(10 * (i + 1))}
		tr.hosts[name] = h
		h.restart()
	}
	return tr
}

func trialStore(idempotent bool) *settings.Replica {
	s := settings.NewReplica(time.Now)
	s.Merge(jaypitch.NewDocument("teams/fairs", 1, fmt.Appendf(nil, trialTeam, idempotent, "meadow, hill")),
		jaypitch.NewDocument("hosts/dc", 1, []byte("[host h1]\nservice = ledger\naddress = 127.0.0.1:1\n[host h2]\nservice = ledger\naddress = 127.0.0.2:1\n")))
	s.Apply()
	return s
}

// restart replaces the node's process: what it knew and what it was doing is lost.
func (h *trialHost) restart() {
	if h.dead != nil {
		close(h.dead)
	}
	h.process++
	h.dead = make(chan struct{})
	h.receiver = backend.NewReceiver(h, h.store, evidence.NewTracker(), h, time.Now, backend.Options{Host: h.name, DataCentre: "dc", Service: "ledger",
		Process: h.process, Slots: 1, CacheSize: 16, CacheTTL: 100 * time.Second})
	h.receiver.Configure(h.store.Table())
}

// apply brings about a fault that is the same at every step.
func (h *trialHost) apply(kind string) {
	switch kind {
	case "restart":
		h.restart()
	case "stop":
		h.stopping = true
	case "withdraw":
		h.store.Merge(jaypitch.NewDocument("teams/fairs", 2, fmt.Appendf(nil, trialTeam, true, "hill")))
		h.store.Apply()
		h.receiver.Configure(h.store.Table())
	case "pause":
		h.readyAt = time.Now().Add(300 * time.Millisecond)
	}
}

// reach returns the kind of the fault at a step, once, after bringing it about as far as it is the same everywhere.
func (h *trialHost) reach(step string) string {
	h.trial.mu.Lock()
	defer h.trial.mu.Unlock()
	for i, f := range h.trial.faults {
		if f.step == step {
			h.trial.faults = append(h.trial.faults[:i:i], h.trial.faults[i+1:]...)
			h.trial.hit = append(h.trial.hit, f)
			h.apply(f.kind)
			return f.kind
		}
	}
	return ""
}

func (h *trialHost) AwaitReady(context.Context) bool {
	h.trial.mu.Lock()
	wait := time.Until(h.readyAt)
	h.trial.mu.Unlock()
	time.Sleep(wait)
	return true
}

func (h *trialHost) BeginRequest() bool {
	return !h.Stopping()
}

func (h *trialHost) Stopping() bool {
	h.trial.mu.Lock()
	defer h.trial.mu.Unlock()
	return h.stopping
}

func (h *trialHost) EndRequest()                                    {}
func (h *trialHost) RecordSender(string)                            {}
func (h *trialHost) BackendDraining()                               {}
func (h *trialHost) CatchUp(context.Context, string, string, int64) {}

// Probe is not used.
func (h *trialHost) Probe(context.Context) (bool, error) {
	return false, nil
}

// Do is the backend server: it counts what it starts.
func (h *trialHost) Do(ctx context.Context, c *jaypitch.Request) (*http.Response, error) {
	if c.Customer == "hill" {
		time.Sleep(100 * time.Millisecond)
		return response(http.StatusOK, io.NopCloser(bytes.NewReader(nil))), nil
	}
	kind := h.reach("running")
	if kind == "refuse" {
		return nil, &http1.Error{Sent: false, Err: errors.New("refused")}
	}
	if kind == "shed" {
		r := response(http.StatusServiceUnavailable, http.NoBody)
		r.Header.Set(jaypitch.HeaderShed, "true")
		return r, nil
	}
	h.trial.mu.Lock()
	h.ran++
	h.trial.mu.Unlock()
	if kind == "late" {
		<-ctx.Done()
		return nil, &http1.Error{Sent: true, Err: ctx.Err()}
	}
	if kind == "cut" {
		return nil, &http1.Error{Sent: true, Err: errors.New("cut")}
	}
	time.Sleep(5 * time.Millisecond)
	if h.reach("answering") == "cut" {
		return response(http.StatusOK, io.NopCloser(io.MultiReader(bytes.NewReader([]byte("ans")), failing{}))), nil
	}
	return response(http.StatusOK, io.NopCloser(bytes.NewReader([]byte("answer")))), nil
}

// failing is a body that ends early.
type failing struct{}

func (failing) Read([]byte) (int, error) {
	return 0, io.ErrUnexpectedEOF
}

func response(status int, body io.ReadCloser) *http.Response {
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: body}
}

// passer carries attempts to the trial's hosts.
type passer struct {
	trial *trial
}

// delivery is an attempt on its way through a receiver.
type delivery struct {
	receiver *backend.Receiver
	attempt  *jaypitch.Attempt
	done     chan *jaypitch.Response
}

func (d *delivery) run(ctx context.Context) {
	d.done <- d.receiver.Serve(ctx, d.attempt)
}

func (p *passer) CloseIdle() {}

func (p *passer) Do(ctx context.Context, address string, a *jaypitch.Attempt) (*jaypitch.Response, error) {
	h := p.trial.hosts[map[string]string{"127.0.0.1:1": "h1", "127.0.0.2:1": "h2"}[address]]
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	h.reach("chosen")
	switch h.reach("connecting") {
	case "refuse":
		return nil, &http1.Error{Sent: false, Err: errors.New("refused")}
	case "late":
		<-ctx.Done()
		return nil, &http1.Error{Sent: false, Err: ctx.Err()}
	}
	receiver, dead := h.receiver, h.dead
	d := &delivery{receiver: receiver, attempt: a, done: make(chan *jaypitch.Response, 1)}
	switch h.reach("part") {
	case "cut":
		return nil, &http1.Error{Sent: true, Err: errors.New("cut")}
	case "late":
		p.trial.late = append(p.trial.late, func() { d.run(context.Background()) })
		<-ctx.Done()
		return nil, &http1.Error{Sent: true, Err: ctx.Err()}
	}
	go d.run(ctx)
	switch h.reach("sent") {
	case "cut":
		return nil, &http1.Error{Sent: true, Err: errors.New("cut")}
	case "late":
		<-ctx.Done()
		return nil, &http1.Error{Sent: true, Err: ctx.Err()}
	}
	select {
	case answer := <-d.done:
		return p.arrived(h, answer)
	case <-dead:
		return nil, &http1.Error{Sent: true, Err: errors.New("the process ended")}
	case <-ctx.Done():
		return nil, &http1.Error{Sent: true, Err: ctx.Err()}
	}
}

func (p *passer) arrived(h *trialHost, answer *jaypitch.Response) (*jaypitch.Response, error) {
	if h.reach("answered") == "cut" {
		return nil, &http1.Error{Sent: true, Err: errors.New("cut")}
	}
	return answer, nil
}

// elsewhere is the receiver of the sending host, which has no backend server of the service.
type elsewhere struct{}

func (elsewhere) Serve(context.Context, *jaypitch.Attempt) *jaypitch.Response {
	return jaypitch.NewRefusal(jaypitch.CodeNotThisHost, "not here")
}

func (tr *trial) dispatcher(host string, nonce uint64) *Dispatcher {
	next := func() uint64 { nonce++; return nonce }
	first := func(int) int { return 0 }
	return NewDispatcher(host, tr.sender, &passer{tr}, elsewhere{}, route.NewPicker("dc", first), time.Now, next, func(string) {})
}

func (tr *trial) call() *jaypitch.Request {
	return &jaypitch.Request{Team: "fairs", Route: "charge", Customer: "meadow", Path: "/", Method: http.MethodPost, Header: http.Header{},
		Deadline: time.Now().Add(time.Second), Retries: jaypitch.DefaultRetries}
}

// occupy fills the slots of both hosts for 100 ms, and brings the fault of the queue about after 50 ms.
func (tr *trial) occupy() {
	for _, name := range []string{"h1", "h2"} {
		h := tr.hosts[name]
		c := tr.call()
		c.Customer = "hill"
		b := &delivery{receiver: h.receiver, attempt: &jaypitch.Attempt{Request: c, Process: h.process, Revision: 1}, done: make(chan *jaypitch.Response, 1)}
		b.attempt.Token = fmt.Sprintf("%s.%016x.0.%016x", name, h.process, 999)
		go b.run(context.Background())
	}
	synctest.Wait()
	go tr.queued()
}

func (tr *trial) queued() {
	time.Sleep(50 * time.Millisecond)
	tr.hosts["h1"].reach("queued")
}

func (tr *trial) ran() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.hosts["h1"].ran + tr.hosts["h2"].ran
}

// run makes the call and judges it: by the backend servers' own counts alone.
func (tr *trial) run(t *testing.T, idempotent bool) {
	t.Helper()
	for _, f := range tr.faults {
		if f.step == "queued" {
			tr.occupy()
			break
		}
	}
	rt, e := tr.sender.Table().Route("fairs", "charge", "meadow")
	if e != nil {
		t.Fatal(e)
	}
	tr.hosts["h1"].reach("accepted")
	result := tr.dispatcher("s1", 100).Do(context.Background(), tr.call(), rt)
	time.Sleep(2 * time.Second)
	tr.judge(t, "the call", result, idempotent)
	if result.Token == "" || idempotent {
		return
	}
	c := tr.call()
	c.Token = result.Token
	repeat := tr.dispatcher("s2", 200).Repeat(context.Background(), c)
	time.Sleep(2 * time.Second)
	tr.judge(t, "the repeat", repeat, false)
	for _, deliver := range tr.late {
		deliver()
	}
	tr.judge(t, "the repeat, after a late attempt", repeat, false)
}

func (tr *trial) judge(t *testing.T, what string, r *Result, idempotent bool) {
	t.Helper()
	ran, code := tr.ran(), r.Response.Code
	if !idempotent && ran > 1 {
		t.Fatalf("%s: ran %d times, after %v", what, ran, tr.hit)
	}
	switch code.Info().Execution {
	case jaypitch.NotExecuted:
		if ran != 0 {
			t.Fatalf("%s: code %d says not run, and it ran, after %v: %s", what, code, tr.hit, r.Response.Reason)
		}
	case jaypitch.Executed:
		if ran == 0 {
			t.Fatalf("%s: code %d says that it ran, and it didn't, after %v", what, code, tr.hit)
		}
		if code == jaypitch.CodeOK && string(r.Response.Body) != "answer" {
			t.Fatalf("%s: answer %q isn't whole, after %v", what, r.Response.Body, tr.hit)
		}
	}
	if !idempotent && code.Info().Execution == jaypitch.ExecutionUnknown && r.Token == "" {
		t.Fatalf("%s: code %d without a token", what, code)
	}
}

// TestFaultMatrix brings about every fault at every step, alone and in pairs, for idempotent work and other.
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
				synctest.Test(t, func(t *testing.T) { newTrial(idempotent, f).run(t, idempotent) })
				for _, g := range all[i:] {
					synctest.Test(t, func(t *testing.T) { newTrial(idempotent, f, g).run(t, idempotent) })
				}
			}
		})
	}
}

// TestOutcomes states what callers get in cases that have one right answer.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		faults     []fault
		code       jaypitch.Code
		ran        int
	}{
		{"no fault", false, nil, jaypitch.CodeOK, 1},
		{"connection refused", false, []fault{{"connecting", "refuse"}}, jaypitch.CodeOK, 1},
		{"shed", false, []fault{{"running", "shed"}}, jaypitch.CodeOK, 1},
		{"stopping", false, []fault{{"chosen", "stop"}}, jaypitch.CodeOK, 1},
		{"restarted before it arrived", false, []fault{{"chosen", "restart"}}, jaypitch.CodeOK, 1},
		{"cut while sending", false, []fault{{"part", "cut"}}, jaypitch.CodeUnknown, 0},
		{"cut while running", false, []fault{{"running", "cut"}}, jaypitch.CodeUnknown, 1},
		{"cut while running, idempotent", true, []fault{{"running", "cut"}}, jaypitch.CodeOK, 2},
		{"answer cut", false, []fault{{"answering", "cut"}}, jaypitch.CodeAnswerCut, 1},
		{"answer cut, idempotent", true, []fault{{"answering", "cut"}}, jaypitch.CodeOK, 2},
		{"no answer by the deadline", false, []fault{{"running", "late"}}, jaypitch.CodeAnswerTooLate, 1},
		{"withdrawn while queued", false, []fault{{"queued", "withdraw"}}, jaypitch.CodeNoCustomer, 0},
		{"withdrawn at the receiver", true, []fault{{"chosen", "withdraw"}}, jaypitch.CodeStaleSender, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr := newTrial(c.idempotent, c.faults...)
				tr.run(t, c.idempotent)
				if len(tr.hit) != len(c.faults) {
					t.Fatalf("faults %v came about; want %v", tr.hit, c.faults)
				}
			})
			synctest.Test(t, func(t *testing.T) {
				tr := newTrial(c.idempotent, c.faults...)
				if len(c.faults) > 0 && c.faults[0].step == "queued" {
					tr.occupy()
				}
				rt, _ := tr.sender.Table().Route("fairs", "charge", "meadow")
				r := tr.dispatcher("s1", 100).Do(context.Background(), tr.call(), rt)
				time.Sleep(2 * time.Second)
				if r.Response.Code != c.code || tr.ran() != c.ran {
					t.Fatalf("code %d, ran %d times; want %d, %d: %s", r.Response.Code, tr.ran(), c.code, c.ran, r.Response.Reason)
				}
			})
		})
	}
}
