// Package inbound sends requests to the backend server on this host: it admits requests to the server's slots, sends each
// at most once, and returns the response or a refusal.
package inbound

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/admit"
	"github.com/jaypitch/jaypitch/http1"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/schema"
)

// Receiver serves the requests for the backend server on this host. It is safe for concurrent use.
type Receiver struct {
	address   string
	names     jaypitch.HeaderNames
	replica   *mesh.Replica
	sourceAge func() time.Duration
	pool      *http1.Pool
	now       func() time.Time
	record    func(f *jaypitch.MeshRequest, r *jaypitch.MeshResponse, queueTime time.Duration)
	random    func() float64
	links     links
	// streams is the number of downloads that are being read from the server.
	streams atomic.Int64

	mu       sync.Mutex
	slots    *admit.Slots
	serverID string
	// failing is the share of failed requests, by rule.
	failing map[string]admit.FailureShare
	// refusals holds the rules whose requests the server refuses without executing them.
	refusals admit.ServerRefusals
	stopping bool
	// notice is the latest notice of the server with serverID. Until noticed is true, the server has not responded to this process, and the
	// notice is what a sender reported, if any did.
	notice  jaypitch.ServerNotice
	noticed bool
	// wakeTimer starts the queued requests that wait for the rate limit; nil before the first one.
	wakeTimer *time.Timer

	// dataCentre and unconfirmed are the arguments of WithDataCentre and WithUnconfirmed.
	dataCentre  string
	unconfirmed func() bool
	cold        coldServer

	decodeNotice func(http.Header) (jaypitch.ServerNotice, *jaypitch.Error)
	recordNotice func(serverID string, n jaypitch.ServerNotice)
	refuseNotice func(serverID string, e *jaypitch.Error)
	recordAnswer func(mesh.Answer)
}

// Option configures a Receiver.
type Option func(*Receiver)

const (
	// maxBufferedBody is the size in bytes of the longest response body of known length that is buffered. A body of unknown length is
	// streamed from this size.
	maxBufferedBody = 256 << 10
	// failingLimit is the share of failed requests above which a rule's requests with a complete-by time are refused, so that the sender
	// retries them at another server.
	failingLimit = 0.15
	// failingTrialShare is the share of these requests that is sent to the server nevertheless, to detect its recovery.
	failingTrialShare = 0.1
	// deadlineGrace is how long after the deadline the server's response is awaited, since the server may itself respond when the deadline passes.
	deadlineGrace = 40 * time.Millisecond
	// memoryRetryAfter is the retry-after of a request for whose body there is no memory: about the time in which bodies in progress end.
	memoryRetryAfter = 250 * time.Millisecond
	// defaultSlots is the number of slots until the server's entry in the store is known.
	defaultSlots = 4
)

// NewReceiver returns a receiver for the backend server at an address. SourceAge returns the time since the store confirmed the replica. Record is
// called with each request, its response and its queue time.
func NewReceiver(address string, names jaypitch.HeaderNames, replica *mesh.Replica, sourceAge func() time.Duration, pool *http1.Pool, now func() time.Time,
	record func(f *jaypitch.MeshRequest, r *jaypitch.MeshResponse, queueTime time.Duration), options ...Option) *Receiver {
	r := &Receiver{address: address, names: names, replica: replica, sourceAge: sourceAge, pool: pool, now: now, record: record,
		slots: admit.NewSlots(defaultSlots, rand.Float64), random: rand.Float64, failing: map[string]admit.FailureShare{}}
	r.recordAnswer = func(a mesh.Answer) { replica.RecordAnswer(a, now()) }
	for _, o := range options {
		o(r)
	}
	return r
}

// WithNotices makes the receiver decode the server's notices. Record is called with each notice that differs from the one before, and
// refuse with the error of each notice that can't be decoded.
func WithNotices(decode func(http.Header) (jaypitch.ServerNotice, *jaypitch.Error), record func(serverID string, n jaypitch.ServerNotice),
	refuse func(serverID string, e *jaypitch.Error)) Option {
	return func(r *Receiver) { r.decodeNotice, r.recordNotice, r.refuseNotice = decode, record, refuse }
}

// Stop makes the receiver refuse new and queued requests.
func (r *Receiver) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

// Counts returns the numbers of requests in progress, of queued requests and of slots.
func (r *Receiver) Counts() (inProgress, queued, slots int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.slots.InProgress(), r.slots.Queued(), r.slots.Size()
}

// Queued returns the numbers of queued requests by rank and calling service.
func (r *Receiver) Queued() map[admit.Caller]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.slots.QueuedByCaller()
}

// Serve admits a request, sends it to the server and returns the response, or a refusal. The caller closes the response's Stream.
func (r *Receiver) Serve(ctx context.Context, f *jaypitch.MeshRequest) *jaypitch.MeshResponse {
	arrived := r.now()
	w := &admit.SlotRequest{Rank: f.Rank, Rule: f.Rule, CallerService: f.CallerService, CallerHost: f.CallerHost, Deadline: f.Deadline, TargetDeadline: f.TargetDeadline,
		CompleteBy: f.CompleteBy, Decision: make(chan *jaypitch.Error, 1)}
	server := r.replica.Table().Servers[f.ServerID]
	transfer, response := r.links.admitTransfer(f)
	if response == nil {
		response = r.admit(ctx, f, w)
	}
	queueTime := r.now().Sub(arrived)
	if response == nil {
		response = r.send(ctx, f, w, server)
	}
	response.LoadReport, response.QueueTime = r.loadReport(f), queueTime
	if !f.Local && (f.Download || r.replica.Table().Downloads) {
		r.links.finish(ctx, f, response, transfer)
		r.links.report(f, &response.LoadReport)
	}
	r.record(f, response, queueTime)
	return response
}

// admit waits for a slot. It returns nil once the request holds one, and otherwise the refusal.
func (r *Receiver) admit(ctx context.Context, f *jaypitch.MeshRequest, w *admit.SlotRequest) *jaypitch.MeshResponse {
	if e := r.checkServer(f); e != nil {
		return refusal(e)
	}
	r.mu.Lock()
	r.adoptLimit(f)
	if e := r.refusals.Admit(f.Rule, !f.NoTrial, r.now()); e != nil {
		r.mu.Unlock()
		return refusal(e)
	}
	if r.refusals.Refusing(f.Rule, r.now()) {
		// A trial request has to reach the server, also if another one is expected to be faster.
		w.CompleteBy = time.Time{}
	}
	if failing := r.failing[f.Rule].At(r.now()); failing > failingLimit && !f.CompleteBy.IsZero() && r.random() > failingTrialShare {
		r.mu.Unlock()
		return refusal(jaypitch.Errorf(jaypitch.CodeFailing, "the backend server failed %.2f of the latest requests of rule %q", failing, f.Rule))
	}
	started, e := r.slots.Admit(w, r.now())
	var retryAfter time.Duration
	if e != nil {
		retryAfter = r.slots.RetryAfter(w, r.now())
	}
	r.scheduleWake()
	r.mu.Unlock()
	if e != nil {
		response := refusal(e)
		response.RetryAfter = retryAfter
		return response
	}
	if f.ReadBody != nil {
		body, err := f.ReadBody()
		if err != nil {
			r.abandon(w, started)
			if e, ok := err.(*jaypitch.Error); ok {
				response := refusal(e)
				response.RetryAfter = memoryRetryAfter
				return response
			}
			return refusal(jaypitch.Errorf(jaypitch.CodeBodyCut, "reading the deferred request body failed: %s", err))
		}
		f.Body = body
		if e := r.checkServer(f); e != nil {
			r.abandon(w, started)
			return refusal(e)
		}
	}
	if started {
		return nil
	}
	return r.await(ctx, f, w)
}

// await waits until the queued request is granted a slot or refused, the sender cancels it, or its deadline passes. It returns nil if the
// request holds a slot, and otherwise the refusal.
func (r *Receiver) await(ctx context.Context, f *jaypitch.MeshRequest, w *admit.SlotRequest) *jaypitch.MeshResponse {
	t := time.NewTimer(f.Deadline.Sub(r.now()))
	defer t.Stop()
	var e *jaypitch.Error
	select {
	case e = <-w.Decision:
	case <-ctx.Done():
		e = queueCanceled(ctx)
	case <-t.C:
		e = jaypitch.Errorf(jaypitch.CodeDeadline, "the deadline passed while the request was queued")
	}
	if e != nil {
		r.abandon(w, false)
		return refusal(e)
	}
	e = r.checkServer(f)
	if e == nil && ctx.Err() != nil {
		// The slot was granted at the same time.
		e = queueCanceled(ctx)
	}
	if e != nil {
		r.releaseSlot(w, 0)
		return refusal(e)
	}
	return nil
}

// abandon removes a request from the queue, or releases the slot that it holds.
func (r *Receiver) abandon(w *admit.SlotRequest, hasSlot bool) {
	if !hasSlot {
		r.mu.Lock()
		queued := r.slots.Cancel(w)
		r.mu.Unlock()
		if queued {
			return
		}
		// The request isn't queued: the slot was granted concurrently, or the queue refused the request.
		select {
		case e := <-w.Decision:
			hasSlot = e == nil
		default:
		}
	}
	if hasSlot {
		r.releaseSlot(w, 0)
	}
}

// checkServer refuses a request if the sidecar is stopping, or if the server is draining, not listed in the replica or in an evacuated data
// centre. An unlisted server is accepted if the sender holds a newer position.
func (r *Receiver) checkServer(f *jaypitch.MeshRequest) *jaypitch.Error {
	position := r.replica.Position()
	senderIsNewer := r.replica.Comparable(f.Position()) && f.Position().Compare(position) > 0
	t := r.replica.Table()
	v := t.Servers[f.ServerID]
	if e := r.checkAdmissible(t, v); e != nil {
		return e
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.stopping:
		return jaypitch.Errorf(jaypitch.CodeStopping, "the sidecar is stopping")
	case v == nil && !senderIsNewer:
		return jaypitch.Errorf(jaypitch.CodeNotThisHost, "server %q is not listed at revision %d", f.ServerID, position.Revision)
	case t.Leaving(f.ServerID):
		return jaypitch.Errorf(jaypitch.CodeStopping, "server %q stated that it is leaving", f.ServerID)
	case v != nil && v.GetDraining():
		return jaypitch.Errorf(jaypitch.CodeStopping, "server %q is draining", f.ServerID)
	}
	r.observeTable(t)
	if id := t.Answering(r.address); id == "" || id == f.ServerID {
		r.updateServer(f.ServerID, v)
	}
	return nil
}

// updateServer sets the number of slots to that of the server's entry. If the address belongs to another server than before, it discards
// the measurements of the previous one.
func (r *Receiver) updateServer(id string, v *schema.MeshServer) {
	if r.serverID != id {
		r.resetServer(id)
		r.observeUnlisted(v)
	}
	if v != nil {
		r.slots.Resize(int(v.GetSlots()))
	}
}

// send sends the request to the server. The request holds its slot until the response is read completely or its stream ends or is closed.
// Server is the server's entry from before the request was sent; nil if it wasn't listed.
func (r *Receiver) send(ctx context.Context, f *jaypitch.MeshRequest, w *admit.SlotRequest, server *schema.MeshServer) *jaypitch.MeshResponse {
	started := r.now()
	ctx, cancel := context.WithTimeout(ctx, f.Deadline.Sub(started)+deadlineGrace)
	a, err := r.pool.Do(ctx, r.address, r.request(f, started))
	if err != nil {
		response := r.errorResponse(ctx, err)
		r.observeFailure(ctx, err)
		cancel()
		r.recordResult(w, response, 0)
		return response
	}
	response := r.classify(f, a)
	r.observeResponse(a.Header, started)
	r.observeAnswer(f, a.Header, response)
	r.observeNotice(f, a.Header, response, server)
	if response.Execution == jaypitch.Executed && f.StreamsResponse(a.StatusCode, a.ContentLength) {
		r.stream(ctx, w, a, response, started, cancel)
		return response
	}
	if response.Execution == jaypitch.Executed {
		response.SetHead(f.Method, a)
		body, more, err := readBody(a)
		response.Body = body
		if err != nil {
			r.observeFailure(ctx, err)
			response = jaypitch.ExecutionUnknownResponse(jaypitch.CodeSpoiled, "the response was truncated: %s", err)
		} else if more {
			response.Stream = a.Body
			response.LimitStream(f.Deadline.Add(deadlineGrace))
			response.ReleaseAfterStream(func() {
				cancel()
				r.releaseSlot(w, 0)
			})
			return response
		}
	}
	_ = a.Body.Close()
	cancel()
	response.ServiceTime = r.now().Sub(started)
	r.recordResult(w, response, response.ServiceTime)
	return response
}

// request returns the HTTP request to the server. Its AcceptsResponse rejects a response with the ID of another request, and its ID keeps a
// later attempt of the same request off the connection.
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
	body := f.Body
	if f.BodySent != nil {
		// The request to the server is the last to hold the body.
		f.Body = nil
	}
	return &http1.Request{Method: f.Method, Target: f.Target, Host: f.Host, Header: h, Body: body, ID: f.ID, BodySent: f.BodySent, AcceptsResponse: func(got http.Header) bool {
		id := got.Get(r.names.RequestID)
		return id == "" || id == f.ID
	}}
}

func (r *Receiver) errorResponse(ctx context.Context, err error) *jaypitch.MeshResponse {
	var e *http1.Error
	switch {
	case errors.As(err, &e) && !e.Sent:
		return jaypitch.NotExecutedResponse(jaypitch.CodeUnreachable, "no connection to the backend server: %s", err)
	case errors.Is(context.Cause(ctx), jaypitch.ErrStopping):
		return jaypitch.ExecutionUnknownResponse(jaypitch.CodeUnknown, "the sidecar stopped while the server processed the request")
	case ctx.Err() == context.Canceled:
		return jaypitch.ExecutionUnknownResponse(jaypitch.CodeCallerGone, "the sender canceled the request while the server processed it")
	case ctx.Err() != nil:
		return jaypitch.ExecutionUnknownResponse(jaypitch.CodeAnswerTooLate, "the server did not respond before the deadline")
	}
	return jaypitch.ExecutionUnknownResponse(jaypitch.CodeUnknown, "the connection to the backend server failed: %s", err)
}

// classify returns the response that the head of the server's HTTP response describes, without its body.
func (r *Receiver) classify(f *jaypitch.MeshRequest, a *http.Response) *jaypitch.MeshResponse {
	refused := a.StatusCode == http.StatusMisdirectedRequest || a.Header.Get(r.names.NotExecuted) != ""
	switch {
	case refused && a.Header.Get(r.names.RequestID) != f.ID:
		// It may be the refusal of an earlier request on the connection, written once more.
		return jaypitch.ExecutionUnknownResponse(jaypitch.CodeSpoiled, "the refusal with status %d does not name this request", a.StatusCode)
	case a.StatusCode == http.StatusMisdirectedRequest:
		return &jaypitch.MeshResponse{Execution: jaypitch.NotExecuted, Code: jaypitch.CodeMisdirected, Arrived: true,
			Reason: "the backend server at the address is " + a.Header.Get(r.names.ServerID)}
	case refused:
		return &jaypitch.MeshResponse{Execution: jaypitch.NotExecuted, Code: jaypitch.CodeShed, Arrived: true,
			Reason: "the backend server responded " + a.Status + " without executing the request"}
	case a.Header.Get(r.names.ServerStamp) == "" || a.Header.Get(r.names.RequestID) != f.ID || a.Header.Get("Content-Encoding") != "":
		return jaypitch.ExecutionUnknownResponse(jaypitch.CodeSpoiled,
			"the response with status %d is not identified as the backend server's response to this request", a.StatusCode)
	case impliesNotExecuted(a.StatusCode):
		return jaypitch.ExecutionUnknownResponse(jaypitch.CodeSpoiled,
			"the server responded with status %d, but without the header of a request that was not executed", a.StatusCode)
	}
	return &jaypitch.MeshResponse{Execution: jaypitch.Executed, Code: jaypitch.CodeOK, Status: a.StatusCode, Header: a.Header, Arrived: true}
}

// observeNotice takes over the server's notice in the header of a response. Only a response that the server made as its result for the request
// counts: other bytes on the connection may be from another server, or malformed.
func (r *Receiver) observeNotice(f *jaypitch.MeshRequest, h http.Header, response *jaypitch.MeshResponse, server *schema.MeshServer) {
	if r.decodeNotice == nil || response.Code != jaypitch.CodeOK && response.Code != jaypitch.CodeShed {
		return
	}
	n, e := r.decodeNotice(h)
	if e != nil {
		r.refuseNotice(f.ServerID, e)
	}
	if n.Leaving && server != nil {
		r.replica.RecordLeaving(server, r.now())
	}
	r.mu.Lock()
	if r.serverID != f.ServerID {
		// The address belongs to another server by now.
		r.mu.Unlock()
		return
	}
	if e != nil || !n.Limited && response.Code != jaypitch.CodeOK {
		// A refusal that names no limit doesn't end one, and neither does a limit that can't be decoded.
		n.Limited, n.RateLimit = r.notice.Limited, r.notice.RateLimit
	}
	changed := r.notice != n
	r.notice, r.noticed = n, true
	r.applyLimit()
	r.mu.Unlock()
	if changed {
		r.recordNotice(f.ServerID, n)
	}
}

// adoptLimit takes over the rate limit that a sender knows, as long as the server has not responded to this process. The caller holds the lock.
func (r *Receiver) adoptLimit(f *jaypitch.MeshRequest) {
	if r.noticed || r.notice.Limited || f.LimitHeardAt.IsZero() || r.serverID != f.ServerID {
		return
	}
	r.notice.Limited, r.notice.RateLimit = true, f.RateLimit
	r.applyLimit()
}

// applyLimit makes the slots keep to the rate limit of the notice, and starts the queued requests that it allows. The caller holds the lock.
func (r *Receiver) applyLimit() {
	if r.notice.Limited {
		r.slots.SetLimit(r.notice.RateLimit, r.now())
	} else if r.slots.Limited() {
		r.slots.ClearLimit()
	}
	r.startQueued()
}

// Notice returns the latest notice of the server.
func (r *Receiver) Notice() jaypitch.ServerNotice {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.notice
}

// recordResult updates the rule's share of failed requests and releases the slot.
func (r *Receiver) recordResult(w *admit.SlotRequest, response *jaypitch.MeshResponse, serviceTime time.Duration) {
	failed := false
	if response.Execution != jaypitch.Executed && response.Code != jaypitch.CodeCallerGone && response.Code != jaypitch.CodeMisdirected ||
		response.Status >= http.StatusInternalServerError && response.Status != http.StatusGatewayTimeout {
		failed, serviceTime = true, 0
	}
	r.mu.Lock()
	r.recordFailure(w.Rule, failed, response)
	r.mu.Unlock()
	r.releaseSlot(w, serviceTime)
}

// recordFailure updates the rule's share of failed requests. Those that the server refused don't count as long as it refuses all, since
// the rule's requests are held back then. The caller holds the lock.
func (r *Receiver) recordFailure(rule string, failed bool, response *jaypitch.MeshResponse) {
	share := r.failing[rule]
	share.Record(failed, r.now())
	r.failing[rule] = share
	if response.Code == jaypitch.CodeShed || response.Execution == jaypitch.Executed {
		if r.refusals.Record(rule, response.Code == jaypitch.CodeShed, r.now()) || r.refusals.Refusing(rule, r.now()) {
			delete(r.failing, rule)
		}
	}
}

// releaseSlot releases a slot and starts the queued requests that fit now. A service time of zero doesn't count towards the means.
func (r *Receiver) releaseSlot(w *admit.SlotRequest, serviceTime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slots.Finish(w, serviceTime)
	r.startQueued()
}

// startQueued starts the queued requests that fit now and refuses those that expired. The caller holds the lock.
func (r *Receiver) startQueued() {
	r.startProbe()
	start, expired := r.slots.Next(r.now())
	for _, s := range start {
		s.Decision <- nil
	}
	for _, x := range expired {
		x.Decision <- jaypitch.Errorf(jaypitch.CodeDeadline, "the queued request could no longer complete before its deadline")
	}
	r.scheduleWake()
}

// scheduleWake sets the timer for the next queued request that waits for the rate limit. The caller holds the lock.
func (r *Receiver) scheduleWake() {
	now := r.now()
	at := r.nextWake(now)
	switch {
	case at.IsZero():
	case r.wakeTimer == nil:
		r.wakeTimer = time.AfterFunc(at.Sub(now), r.wake)
	default:
		r.wakeTimer.Reset(at.Sub(now))
	}
}

// wake starts the queued requests that the rate limit allows by now.
func (r *Receiver) wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startQueued()
}

func (r *Receiver) loadReport(f *jaypitch.MeshRequest) jaypitch.MeshLoadReport {
	// The age is read first: it may belong to an older position, but never to a newer one.
	age := r.sourceAge()
	position, leaving := r.replica.Position(), r.replica.Table().Leaving(f.ServerID)
	r.mu.Lock()
	defer r.mu.Unlock()
	report := jaypitch.MeshLoadReport{InProgress: r.slots.InProgress(), Queued: r.slots.Queued(), Slots: r.slots.Size(),
		Mean: r.slots.ExpectedServiceTime(f.Rule, r.now()), Failing: r.failing[f.Rule].At(r.now()), Refusing: r.refusals.Refusing(f.Rule, r.now()), Stopping: r.stopping, Leaving: leaving,
		Answering: r.replica.Table().Answering(r.address), Revision: position.Revision, Era: position.Era, SourceAge: age}
	if rate, limited := r.slots.RateLimit(r.now()); limited {
		if r.notice.Limited {
			rate = min(rate, r.notice.RateLimit)
		}
		report.Limited, report.RateLimit, report.LimitWait = true, rate, r.slots.LimitWait(r.now())
	}
	return report
}

// readBody reads a response's body, or the first maxBufferedBody bytes of it. More is true if the rest may follow.
func readBody(a *http.Response) (body []byte, more bool, err error) {
	if a.ContentLength > 0 && a.ContentLength <= maxBufferedBody {
		body = make([]byte, a.ContentLength)
		if _, err = io.ReadFull(a.Body, body); err != nil {
			return nil, false, err
		}
		// One more read reaches the end of the body, so that the connection can be reused.
		_, err = a.Body.Read(make([]byte, 1))
		if err == io.EOF {
			err = nil
		}
		return body, false, err
	}
	body, err = io.ReadAll(io.LimitReader(a.Body, maxBufferedBody))
	return body, err == nil && len(body) == maxBufferedBody, err
}

func refusal(e *jaypitch.Error) *jaypitch.MeshResponse {
	return &jaypitch.MeshResponse{Execution: jaypitch.NotExecuted, Code: e.Code, Reason: e.Reason}
}

// impliesNotExecuted reports whether a status means by the HTTP semantics that the server did not execute the request.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
