// Package inbound speaks to the backend server on this host: it admits requests to the server's slots, sends each
// at most once, and tells what became of it.
package inbound

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/admit"
	"github.com/jaypitch/jaypitch/http1"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/schema"
)

// Receiver takes requests for the backend server on this host. It is safe for concurrent use.
type Receiver struct {
	address string
	names   jaypitch.HeaderNames
	state   *mesh.Replica
	age     func() time.Duration
	pool    *http1.Pool
	now     func() time.Time
	record  func(f *jaypitch.MeshRequest, r *jaypitch.MeshResponse, waited time.Duration)
	random  func() float64

	mu     sync.Mutex
	slots  *admit.Slots
	server string
	// failing is the share of failed requests by rule.
	failing  map[string]float64
	stopping bool
}

// stream is the rest of an answer that is too long to hold; its slot is held until it ends.
type stream struct {
	io.ReadCloser
	done func()
}

const (
	// heldBody is the longest answer that is read whole before it is passed on, in bytes.
	heldBody = 256 << 10
	// failingWeight is the weight of the newest request in the share of failed ones.
	failingWeight = 0.1
	// failingLimit is the share of a rule's failed requests from which those that may go elsewhere are refused.
	failingLimit = 0.15
	// failingTrial is the part of them that is sent on all the same, to see when the server has mended.
	failingTrial = 0.1
	// deadlineGrace is how long after the deadline the server's own answer to it is awaited.
	deadlineGrace = 40 * time.Millisecond
	// defaultSlots is taken until the server's entry is known.
	defaultSlots = 4
)

// NewReceiver makes a receiver for the backend server at an address. Age returns the time since the store confirmed what is held. Record is called for each request.
func NewReceiver(address string, names jaypitch.HeaderNames, state *mesh.Replica, age func() time.Duration, pool *http1.Pool, now func() time.Time,
	record func(f *jaypitch.MeshRequest, r *jaypitch.MeshResponse, waited time.Duration)) *Receiver {
	return &Receiver{address: address, names: names, state: state, age: age, pool: pool, now: now, record: record, slots: admit.NewSlots(defaultSlots, rand.Float64), random: rand.Float64, failing: map[string]float64{}}
}

// Stop makes the receiver refuse all new requests.
func (r *Receiver) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

// Counts returns the numbers of running and of waiting requests, and of slots.
func (r *Receiver) Counts() (running, waiting, slots int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.slots.InProgress(), r.slots.Queued(), r.slots.Size()
}

// Serve admits a request, sends it to the server and returns what became of it.
func (r *Receiver) Serve(ctx context.Context, f *jaypitch.MeshRequest) *jaypitch.MeshResponse {
	arrived := r.now()
	w := &admit.SlotRequest{Rank: f.Rank, Rule: f.Rule, Deadline: f.Deadline, TargetDeadline: f.TargetDeadline, CompleteBy: f.CompleteBy, Decision: make(chan *jaypitch.Error, 1)}
	reply := r.admit(ctx, f, w)
	waited := r.now().Sub(arrived)
	if reply == nil {
		reply = r.send(ctx, f, w)
	}
	reply.LoadReport, reply.QueueTime = r.load(f.Rule), waited
	r.record(f, reply, waited)
	return reply
}

// admit waits for a slot; it returns nil once the request holds one.
func (r *Receiver) admit(ctx context.Context, f *jaypitch.MeshRequest, w *admit.SlotRequest) *jaypitch.MeshResponse {
	if e := r.gate(f); e != nil {
		return refusal(e)
	}
	r.mu.Lock()
	if failing := r.failing[f.Rule]; failing > failingLimit && !f.CompleteBy.IsZero() && r.random() > failingTrial {
		r.mu.Unlock()
		return refusal(jaypitch.Errorf(jaypitch.CodeFailing, "the backend server failed %.2f of the latest requests of rule %q", failing, f.Rule))
	}
	run, e := r.slots.Admit(w, r.now())
	var back time.Duration
	if e != nil {
		back = r.slots.RetryAfter(w, r.now())
	}
	r.mu.Unlock()
	if e != nil {
		reply := refusal(e)
		reply.RetryAfter = back
		return reply
	}
	if f.ReadBody != nil {
		body, err := f.ReadBody()
		if err != nil {
			r.giveUp(w, run)
			return refusal(jaypitch.Errorf(jaypitch.CodeBodyCut, "the body that was asked for did not come: %s", err))
		}
		f.Body = body
	}
	if run {
		return nil
	}
	return r.await(ctx, f, w)
}

// await waits in the queue until the slot is granted, the caller leaves, or the time is over.
func (r *Receiver) await(ctx context.Context, f *jaypitch.MeshRequest, w *admit.SlotRequest) *jaypitch.MeshResponse {
	t := time.NewTimer(f.Deadline.Sub(r.now()))
	defer t.Stop()
	var e *jaypitch.Error
	select {
	case e = <-w.Decision:
	case <-ctx.Done():
		e = jaypitch.Errorf(jaypitch.CodeDeadline, "the sender gave up after a wait")
	case <-t.C:
		e = jaypitch.Errorf(jaypitch.CodeDeadline, "the deadline passed in the queue")
	}
	if e != nil {
		r.giveUp(w, false)
		return refusal(e)
	}
	if e := r.gate(f); e != nil {
		r.finish(w, 0)
		return refusal(e)
	}
	return nil
}

// giveUp takes a request out of the queue, or gives back the slot that it holds.
func (r *Receiver) giveUp(w *admit.SlotRequest, holds bool) {
	if !holds {
		r.mu.Lock()
		waiting := r.slots.Cancel(w)
		r.mu.Unlock()
		if waiting {
			return
		}
		// The slot was granted at the same moment, or the refusal came from the queue itself.
		select {
		case e := <-w.Decision:
			holds = e == nil
		default:
		}
	}
	if holds {
		r.finish(w, 0)
	}
}

// gate checks what is held here: no request reaches a server that leaves or left.
func (r *Receiver) gate(f *jaypitch.MeshRequest) *jaypitch.Error {
	held := r.state.Revision()
	v := r.state.Table().Servers[f.ServerID]
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.stopping:
		return jaypitch.Errorf(jaypitch.CodeStopping, "the sidecar is stopping")
	case v == nil && f.Revision <= held:
		return jaypitch.Errorf(jaypitch.CodeNotThisHost, "server %q is not listed at revision %d", f.ServerID, held)
	case v != nil && v.GetDraining():
		return jaypitch.Errorf(jaypitch.CodeStopping, "server %q is leaving", f.ServerID)
	}
	r.configure(f.ServerID, v)
	return nil
}

// configure follows the server that is at the address now.
func (r *Receiver) configure(id string, v *schema.MeshServer) {
	if r.server != id {
		r.server = id
		r.slots.Reset()
		clear(r.failing)
	}
	if v != nil {
		r.slots.Resize(int(v.GetSlots()))
	}
}

// send passes the request to the server. The slot is held until the answer is whole, or its stream ends.
func (r *Receiver) send(ctx context.Context, f *jaypitch.MeshRequest, w *admit.SlotRequest) *jaypitch.MeshResponse {
	started := r.now()
	ctx, cancel := context.WithTimeout(ctx, f.Deadline.Sub(started)+deadlineGrace)
	a, err := r.pool.Do(ctx, r.address, r.request(f, started))
	if err != nil {
		reply := r.failed(ctx, err)
		cancel()
		r.ended(w, reply, 0)
		return reply
	}
	reply := r.judge(f, a)
	if reply.Execution == jaypitch.Executed {
		body, rest, err := readBody(a)
		reply.Body = body
		if err != nil {
			reply = jaypitch.ExecutionUnknownResponse(jaypitch.CodeSpoiled, "the answer broke off: %s", err)
		} else if rest {
			reply.Stream = &stream{ReadCloser: a.Body, done: func() {
				cancel()
				r.finish(w, 0)
			}}
			return reply
		}
	}
	_ = a.Body.Close()
	cancel()
	reply.ServiceTime = r.now().Sub(started)
	r.ended(w, reply, reply.ServiceTime)
	return reply
}

// request makes the request as the server sees it.
func (r *Receiver) request(f *jaypitch.MeshRequest, now time.Time) *http1.Request {
	h := f.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	if f.ID != "" {
		h.Set(r.names.RequestID, f.ID)
	}
	h.Set(r.names.TimeLeftMS, strconv.FormatInt(max(1, f.Deadline.Sub(now).Milliseconds()), 10))
	h.Set(r.names.ExpectServer, f.ServerID)
	h.Set(r.names.CallerService, f.CallerService)
	return &http1.Request{Method: f.Method, Target: f.Target, Host: f.Host, Header: h, Body: f.Body, AcceptsResponse: func(got http.Header) bool {
		id := got.Get(r.names.RequestID)
		return id == "" || id == f.ID
	}}
}

func (r *Receiver) failed(ctx context.Context, err error) *jaypitch.MeshResponse {
	var e *http1.Error
	switch {
	case errors.As(err, &e) && !e.Sent:
		return jaypitch.NotExecutedResponse(jaypitch.CodeUnreachable, "no connection to the backend server: %s", err)
	case ctx.Err() == context.Canceled:
		return jaypitch.ExecutionUnknownResponse(jaypitch.CodeCallerGone, "the sender left while the server worked")
	case ctx.Err() != nil:
		return jaypitch.ExecutionUnknownResponse(jaypitch.CodeAnswerTooLate, "the server did not answer by the deadline")
	}
	return jaypitch.ExecutionUnknownResponse(jaypitch.CodeUnknown, "the backend server's connection failed: %s", err)
}

// judge says what an answer's head means.
func (r *Receiver) judge(f *jaypitch.MeshRequest, a *http.Response) *jaypitch.MeshResponse {
	switch {
	case a.StatusCode == http.StatusMisdirectedRequest:
		return &jaypitch.MeshResponse{Execution: jaypitch.NotExecuted, Code: jaypitch.CodeMisdirected, Arrived: true,
			Reason: "the backend server at the address is " + a.Header.Get(r.names.ServerID)}
	case a.Header.Get(r.names.NotExecuted) != "":
		return &jaypitch.MeshResponse{Execution: jaypitch.NotExecuted, Code: jaypitch.CodeShed, Arrived: true, Reason: "the backend server answered " + a.Status + " without running it"}
	case a.Header.Get(r.names.ServerStamp) == "" || a.Header.Get(r.names.RequestID) != f.ID || a.Header.Get("Content-Encoding") != "":
		return jaypitch.ExecutionUnknownResponse(jaypitch.CodeSpoiled, "the answer with status %d is not the server's own", a.StatusCode)
	case isPromise(a.StatusCode):
		return jaypitch.ExecutionUnknownResponse(jaypitch.CodeSpoiled, "the server answered %d and doesn't say that it did not run", a.StatusCode)
	}
	return &jaypitch.MeshResponse{Execution: jaypitch.Executed, Code: jaypitch.CodeOK, Status: a.StatusCode, Header: a.Header, Arrived: true}
}

// ended gives the slot back and learns from what became of the request.
func (r *Receiver) ended(w *admit.SlotRequest, reply *jaypitch.MeshResponse, worked time.Duration) {
	failed := 0.0
	if reply.Execution != jaypitch.Executed && reply.Code != jaypitch.CodeCallerGone && reply.Code != jaypitch.CodeMisdirected ||
		reply.Status >= http.StatusInternalServerError && reply.Status != http.StatusGatewayTimeout {
		failed, worked = 1, 0
	}
	r.mu.Lock()
	r.failing[w.Rule] += failingWeight * (failed - r.failing[w.Rule])
	r.mu.Unlock()
	r.finish(w, worked)
}

// finish gives a slot back and starts what waits for it.
func (r *Receiver) finish(w *admit.SlotRequest, worked time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slots.Finish(w, worked)
	start, late := r.slots.Next(r.now())
	for _, s := range start {
		s.Decision <- nil
	}
	for _, l := range late {
		l.Decision <- jaypitch.Errorf(jaypitch.CodeDeadline, "too little time was left in the queue")
	}
}

func (r *Receiver) load(rule string) jaypitch.MeshLoadReport {
	age := r.age()
	r.mu.Lock()
	defer r.mu.Unlock()
	return jaypitch.MeshLoadReport{InProgress: r.slots.InProgress(), Queued: r.slots.Queued(), Slots: r.slots.Size(), Mean: r.slots.ExpectedServiceTime(rule, r.now()),
		Failing: r.failing[rule], Stopping: r.stopping, Revision: r.state.Revision(), SourceAge: age}
}

// Close ends the stream and gives the slot back.
func (s *stream) Close() error {
	err := s.ReadCloser.Close()
	s.done()
	return err
}

// readBody reads an answer's body; rest is true if more follows.
func readBody(a *http.Response) (data []byte, rest bool, err error) {
	if a.ContentLength > 0 && a.ContentLength <= heldBody {
		data = make([]byte, a.ContentLength)
		if _, err = io.ReadFull(a.Body, data); err != nil {
			return nil, false, err
		}
		// One more read sees the end, so that the connection can be kept.
		_, err = a.Body.Read(make([]byte, 1))
		if err == io.EOF {
			err = nil
		}
		return data, false, err
	}
	data, err = io.ReadAll(io.LimitReader(a.Body, heldBody))
	return data, err == nil && len(data) == heldBody, err
}

func refusal(e *jaypitch.Error) *jaypitch.MeshResponse {
	return &jaypitch.MeshResponse{Execution: jaypitch.NotExecuted, Code: e.Code, Reason: e.Reason}
}

// isPromise says whether a status promises that the request did not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
