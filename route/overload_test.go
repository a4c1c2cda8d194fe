package route_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/admit"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/route"
	"github.com/jaypitch/jaypitch/schema"
)

// overloadKind is one kind of request of a deployment.
type overloadKind struct {
	rule, service         string
	rank                  int64
	mean, target, timeout time.Duration
	perSecond             float64
	// calls are the rules of the calls that a share of the requests make one after the other while they run. A request whose call fails fails.
	calls []string
}

// deployment is a fleet and its load. One server of a service is on each host.
type deployment struct {
	slots    int
	servers  map[string]int
	kinds    []overloadKind
	duration time.Duration
	// oneWay holds the network time between data centres i and j at |i-j|; their number is its length.
	oneWay []time.Duration
	// speeds is true if the service times of servers differ by 0.6 to 1.6 and grow by half when nearly all slots are in use.
	speeds bool
	// swing is the share by which the demand of a data centre rises and falls within a period.
	swing  float64
	period time.Duration
	// burst multiplies the demand from burstFrom to burstUntil. In this time every second server of the service refusing refuses everything.
	burst                 float64
	burstFrom, burstUntil time.Duration
	refusing              string
}

// overloadCount is what became of the requests of one kind, and how long those that were served took.
type overloadCount struct {
	offered, onTarget, late, refused, failed, expired int
	took                                              []time.Duration
}

// overloadReplay plays a deployment against the decisions of senders and receivers, on a clock of its own and without a network.
type overloadReplay struct {
	deployment
	now      time.Time
	events   overloadHeap
	random   *rand.Rand
	hosts    []*overloadHost
	byID     map[string]*overloadHost
	services map[string]*mesh.Service
	byRule   map[string]*overloadKind
	counts   map[string]*overloadCount
	queued   map[*admit.SlotRequest]*overloadAttempt
	// shed counts the attempts that servers answered as not executed, after the first second of the burst shedLate; shedTwice counts the
	// requests with more than one of these.
	shed, shedLate, shedTwice int
	// heldBack counts the attempts that receivers refused in place of a refusing server.
	heldBack            int
	elsewhere, attempts int
}

// overloadHost is a host with its sender, its receiver and its server.
type overloadHost struct {
	server   *schema.MeshServer
	centre   int
	service  string
	factor   float64
	odd      bool
	picker   *route.MeshPicker
	budget   *route.MeshRetryBudget
	slots    *admit.Slots
	failing  map[string]admit.FailureShare
	refusals admit.ServerRefusals
	started  int
	// used is the time for which slots were in use.
	used time.Duration
}

// overloadRequest is a request of a client, or a call of a server. Done is called when it has ended.
type overloadRequest struct {
	kind                              *overloadKind
	sender                            *overloadHost
	first, deadline, target           time.Time
	sent, arrived, overloaded, wasted int
	retryAfter                        time.Duration
	excluded                          []string
	retried, refused                  bool
	done                              func(ok bool)
}

// overloadAttempt is one attempt of a request at a server.
type overloadAttempt struct {
	request *overloadRequest
	host    *overloadHost
	slot    *admit.SlotRequest
	started time.Time
	open    int
	ended   bool
}

type overloadEvent struct {
	at time.Time
	do func()
}

type overloadHeap []overloadEvent

const (
	callShare = 0.7
	// The following are as in the dispatcher and the receiver.
	attemptsOfRule     = 2
	attemptLimit       = 5
	completeByAttempts = 2
	maxOverloaded      = 2
	completeByMargin   = 5 * time.Millisecond
	failingLimit       = 0.15
	failingTrialShare  = 0.1
)

var overloadStart = time.Unix(1000, 0)

func (h overloadHeap) Len() int           { return len(h) }
func (h overloadHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h overloadHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *overloadHeap) Push(x any)        { *h = append(*h, x.(overloadEvent)) }
func (h *overloadHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func replayOverload(d deployment) *overloadReplay {
	r := &overloadReplay{deployment: d, now: overloadStart, random: rand.New(rand.NewPCG(1, 2)), byID: map[string]*overloadHost{}, services: map[string]*mesh.Service{},
		byRule: map[string]*overloadKind{}, counts: map[string]*overloadCount{}, queued: map[*admit.SlotRequest]*overloadAttempt{}}
	r.addHosts()
	for i := range r.kinds {
		k := &r.kinds[i]
		r.byRule[k.rule], r.counts[k.rule] = k, &overloadCount{}
		if k.perSecond > 0 {
			r.scheduleArrival(k)
		}
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(overloadEvent)
		r.now = e.at
		e.do()
	}
	return r
}

func (r *overloadReplay) addHosts() {
	for _, service := range slices.Sorted(func(yield func(string) bool) {
		for s := range r.servers {
			if !yield(s) {
				return
			}
		}
	}) {
		s := &mesh.Service{Name: service}
		for i := range r.servers[service] {
			h := &overloadHost{service: service, centre: i % len(r.oneWay), factor: 1, odd: i%2 == 1, failing: map[string]admit.FailureShare{}, slots: admit.NewSlots(r.deployment.slots, r.random.Float64)}
			if r.speeds {
				h.factor = 0.6 + float64(i)/float64(r.servers[service]-1)
			}
			centre := fmt.Sprint("dc", h.centre)
			h.server = &schema.MeshServer{Id: fmt.Sprintf("%s_%d", service, i), DataCentre: centre, Slots: int64(r.deployment.slots)}
			h.picker = route.NewMeshPicker(centre, r.random.Float64)
			h.budget = route.NewMeshRetryBudget(0.2, 60, 10*time.Second)
			s.Servers = append(s.Servers, h.server)
			r.hosts, r.byID[h.server.GetId()] = append(r.hosts, h), h
		}
		r.services[service] = s
	}
}

func (r *overloadReplay) schedule(after time.Duration, do func()) {
	heap.Push(&r.events, overloadEvent{r.now.Add(after), do})
}

// bursting reports whether the burst is on now.
func (r *overloadReplay) bursting() bool {
	at := r.now.Sub(overloadStart)
	return at >= r.burstFrom && at < r.burstUntil
}

// scheduleArrival draws the next arrival at the highest rate, and keeps it with the share that the burst and the data centre's wave have then.
func (r *overloadReplay) scheduleArrival(k *overloadKind) {
	highest := (1 + r.swing) * max(1, r.burst)
	r.schedule(time.Duration(r.random.ExpFloat64()/k.perSecond/highest*float64(time.Second)), func() {
		at := r.now.Sub(overloadStart)
		if at > r.duration {
			return
		}
		h := r.hosts[r.random.IntN(len(r.hosts))]
		rate := 1.0
		if r.swing > 0 {
			phase := float64(at)/float64(r.period) + float64(h.centre)/float64(len(r.oneWay))
			rate += r.swing * math.Sin(2*math.Pi*phase)
		}
		if r.bursting() {
			rate *= r.burst
		}
		if r.random.Float64() < rate/highest {
			r.arrive(k, h, func(bool) {})
		}
		r.scheduleArrival(k)
	})
}

func (r *overloadReplay) arrive(k *overloadKind, sender *overloadHost, done func(bool)) {
	r.counts[k.rule].offered++
	q := &overloadRequest{kind: k, sender: sender, first: r.now, deadline: r.now.Add(k.timeout), done: done}
	r.begin(q)
}

func (r *overloadReplay) begin(q *overloadRequest) {
	q.target, q.sent, q.arrived, q.overloaded, q.retryAfter, q.excluded, q.refused, q.wasted = r.now.Add(q.kind.target), 0, 0, 0, 0, nil, false, 0
	q.sender.budget.RecordRequest(q.kind.service, r.now)
	r.attempt(q)
}

// attempt chooses a server and sends the request there, as Dispatcher.Do does.
func (r *overloadReplay) attempt(q *overloadRequest) {
	k := q.kind
	pick := q.sender.picker.Pick(r.services[k.service], route.PickRequest{Rule: k.rule, Rank: k.rank, LatencyTarget: k.target, BodyBytes: 500, Deadline: q.deadline, Excluded: q.excluded, NoTrial: q.refused}, r.now)
	if pick.Server == nil {
		q.retryAfter = max(q.retryAfter, pick.RetryAfter)
		r.refuse(q)
		return
	}
	h := r.byID[pick.Server.GetId()]
	q.sender.picker.Start(pick.Server, r.now)
	a := &overloadAttempt{request: q, host: h}
	a.slot = &admit.SlotRequest{Rule: k.rule, Rank: k.rank, Deadline: q.deadline, TargetDeadline: q.target, CallerService: q.sender.service, CallerHost: q.sender.server.GetId()}
	if q.sent < completeByAttempts && pick.AlternativeTime > 0 {
		a.slot.CompleteBy = r.now.Add(pick.AlternativeTime + completeByMargin)
	}
	r.attempts++
	if h.centre != q.sender.centre {
		r.elsewhere++
	}
	r.schedule(r.oneWayTo(a), func() { r.receive(a) })
}

func (r *overloadReplay) oneWayTo(a *overloadAttempt) time.Duration {
	d := a.host.centre - a.request.sender.centre
	return r.oneWay[max(d, -d)]
}

// receive admits the request, as Receiver.admit does.
func (r *overloadReplay) receive(a *overloadAttempt) {
	h := a.host
	if f := h.failing[a.slot.Rule].At(r.now); f > failingLimit && !a.slot.CompleteBy.IsZero() && r.random.Float64() > failingTrialShare {
		r.respond(a, &jaypitch.MeshResponse{Execution: jaypitch.NotExecuted, Code: jaypitch.CodeFailing})
		return
	}
	if e := h.refusals.Admit(a.slot.Rule, !a.request.refused, r.now); e != nil {
		r.heldBack++
		r.respond(a, &jaypitch.MeshResponse{Execution: jaypitch.NotExecuted, Code: e.Code})
		return
	}
	if h.refusals.Refusing(a.slot.Rule, r.now) {
		a.slot.CompleteBy = time.Time{}
	}
	started, e := h.slots.Admit(a.slot, r.now)
	switch {
	case e != nil:
		r.respond(a, &jaypitch.MeshResponse{Execution: jaypitch.NotExecuted, Code: e.Code, RetryAfter: h.slots.RetryAfter(a.slot, r.now)})
	case started:
		r.start(a)
	default:
		r.queued[a.slot] = a
	}
}

// start makes the server execute the request: its own work and its calls, one after the other, begin at once.
func (r *overloadReplay) start(a *overloadAttempt) {
	h, k := a.host, a.request.kind
	a.started, a.open = r.now, 1
	if r.refusing == k.service && h.odd && r.bursting() {
		r.schedule(3*time.Millisecond, func() {
			r.shed++
			if r.now.Sub(overloadStart) > r.burstFrom+time.Second {
				r.shedLate++
				if a.request.wasted++; a.request.wasted == 2 {
					r.shedTwice++
				}
			}
			r.finish(a, &jaypitch.MeshResponse{Execution: jaypitch.NotExecuted, Code: jaypitch.CodeShed, Arrived: true})
		})
		return
	}
	h.started++
	// The sum of four exponential times has a standard deviation of half its mean.
	work := 0.0
	for range 4 {
		work += r.random.ExpFloat64() / 4
	}
	work *= h.factor
	if r.speeds {
		work *= 1 + 2*max(0, float64(h.slots.InProgress())/float64(h.slots.Size())-0.75)
	}
	r.schedule(time.Duration(work*float64(k.mean)), func() { r.endPart(a, true) })
	if len(k.calls) > 0 && r.random.Float64() < callShare {
		a.open++
		r.call(a, k.calls)
	}
}

func (r *overloadReplay) call(a *overloadAttempt, rules []string) {
	if len(rules) == 0 || a.ended {
		r.endPart(a, true)
		return
	}
	r.arrive(r.byRule[rules[0]], a.host, func(ok bool) {
		if !ok {
			r.endPart(a, false)
			return
		}
		r.call(a, rules[1:])
	})
}

// endPart records that the server's own work or its calls have ended.
func (r *overloadReplay) endPart(a *overloadAttempt, ok bool) {
	a.open--
	if a.ended || ok && a.open > 0 {
		return
	}
	response := &jaypitch.MeshResponse{Execution: jaypitch.Executed, Status: 200, Arrived: true, Body: make([]byte, 2000)}
	if !ok {
		response.Status = 500
	}
	r.finish(a, response)
}

// finish releases the slot, as Receiver.recordResult does, and starts what waits for it.
func (r *overloadReplay) finish(a *overloadAttempt, response *jaypitch.MeshResponse) {
	a.ended = true
	h, failed, took := a.host, false, r.now.Sub(a.started)
	response.ServiceTime = took
	h.used += took
	if response.Execution != jaypitch.Executed || response.Status >= 500 {
		failed, took = true, 0
	}
	share := h.failing[a.slot.Rule]
	share.Record(failed, r.now)
	h.failing[a.slot.Rule] = share
	if h.refusals.Record(a.slot.Rule, response.Code == jaypitch.CodeShed, r.now) || h.refusals.Refusing(a.slot.Rule, r.now) {
		delete(h.failing, a.slot.Rule)
	}
	h.slots.Finish(a.slot, took)
	r.respond(a, response)
	start, expired := h.slots.Next(r.now)
	for _, w := range expired {
		r.respond(r.queued[w], &jaypitch.MeshResponse{Execution: jaypitch.NotExecuted, Code: jaypitch.CodeDeadline})
	}
	for _, w := range start {
		r.start(r.queued[w])
	}
}

func (r *overloadReplay) respond(a *overloadAttempt, response *jaypitch.MeshResponse) {
	delete(r.queued, a.slot)
	s := a.host.slots
	response.LoadReport = jaypitch.MeshLoadReport{InProgress: s.InProgress(), Queued: s.Queued(), Slots: s.Size(), Mean: s.ExpectedServiceTime(a.slot.Rule, r.now), Failing: a.host.failing[a.slot.Rule].At(r.now), Refusing: a.host.refusals.Refusing(a.slot.Rule, r.now)}
	if a.host != a.request.sender {
		response.NetworkTime = 2 * r.oneWayTo(a)
	}
	r.schedule(r.oneWayTo(a), func() { r.receiveResponse(a, response) })
}

// receiveResponse records the result and decides on a further attempt, as Dispatcher.shouldRetry does.
func (r *overloadReplay) receiveResponse(a *overloadAttempt, response *jaypitch.MeshResponse) {
	q := a.request
	q.sender.picker.Finish(a.host.server, q.kind.rule, q.kind.rank, response, r.now)
	q.sent++
	if response.RetryAfter > 0 && (q.retryAfter == 0 || response.RetryAfter < q.retryAfter) {
		q.retryAfter = response.RetryAfter
	}
	if response.Execution == jaypitch.Executed {
		r.end(q, response.Status < 500)
		return
	}
	q.refused = q.refused || response.Code == jaypitch.CodeShed || response.LoadReport.Refusing
	if response.Code != jaypitch.CodeBusy && response.Code != jaypitch.CodeFailing || response.LoadReport.Refusing {
		q.excluded = append(q.excluded, a.host.server.GetId())
	}
	if response.Code == jaypitch.CodeOverloaded {
		q.overloaded++
	}
	again := q.overloaded < maxOverloaded && q.sent < attemptLimit && r.now.Before(q.deadline)
	if again && response.Arrived {
		q.arrived++
		again = q.arrived < attemptsOfRule && q.deadline.Sub(r.now) > q.sender.picker.MeanServiceTime(q.kind.rule) && q.sender.budget.Spend(q.kind.service, len(r.hosts), r.now)
	}
	if !again {
		r.refuse(q)
		return
	}
	r.attempt(q)
}

// refuse refuses a request. A client sends it once more after the retry-after time if that is at most a third of the time left.
func (r *overloadReplay) refuse(q *overloadRequest) {
	after := q.retryAfter
	if after == 0 {
		after = 250 * time.Millisecond
	}
	after = min(max(after, 20*time.Millisecond), 2*time.Second)
	after += time.Duration(r.random.Float64() * 0.6 * float64(after))
	if !q.retried && q.kind.perSecond > 0 && after <= q.deadline.Sub(r.now)/3 {
		q.retried = true
		r.schedule(after, func() { r.begin(q) })
		return
	}
	r.counts[q.kind.rule].refused++
	q.done(false)
}

// end records the response to a request that a server executed.
func (r *overloadReplay) end(q *overloadRequest, ok bool) {
	c, took := r.counts[q.kind.rule], r.now.Sub(q.first)
	switch {
	case !ok:
		c.failed++
	case r.now.After(q.deadline):
		c.expired++
		ok = false
	case took > q.kind.target:
		c.late++
	default:
		c.onTarget++
	}
	if ok {
		c.took = append(c.took, took)
	}
	q.done(ok)
}

// worth is the share of what the clients' requests could be worth, if each rank counts twice the next and a late response half.
func (r *overloadReplay) worth() float64 {
	got, all := 0.0, 0.0
	for _, k := range r.kinds {
		if k.perSecond > 0 {
			w, c := math.Exp2(-float64(k.rank)), r.counts[k.rule]
			got += w * (float64(c.onTarget) + float64(c.late)/2)
			all += w * float64(c.offered)
		}
	}
	return got / all
}

// busiest returns the largest ratio of the requests that a server of a service started to its fair share by speed.
func (r *overloadReplay) busiest(service string) float64 {
	sum, speeds, most := 0, 0.0, 0.0
	for _, v := range r.services[service].Servers {
		h := r.byID[v.GetId()]
		sum, speeds = sum+h.started, speeds+1/h.factor
	}
	for _, v := range r.services[service].Servers {
		h := r.byID[v.GetId()]
		most = max(most, float64(h.started)*h.factor*speeds/float64(sum))
	}
	return most
}

func (r *overloadReplay) log(t *testing.T) {
	t.Helper()
	for _, k := range r.kinds {
		c := r.counts[k.rule]
		slices.Sort(c.took)
		n, of := max(1, len(c.took)), func(n int) float64 { return float64(n) / float64(c.offered) }
		took := append(c.took, 0)
		t.Logf("%-8s rank %d: offered %6d, on target %.3f, late %.3f, refused %.3f, failed for a call %.3f, expired %.3f, p50 %v, p99 %v", k.rule, k.rank, c.offered, of(c.onTarget), of(c.late),
			of(c.refused), of(c.failed), of(c.expired), took[n/2].Round(time.Millisecond), took[n*99/100].Round(time.Millisecond))
	}
	for _, s := range slices.Sorted(func(yield func(string) bool) {
		for s := range r.services {
			if !yield(s) {
				return
			}
		}
	}) {
		used, most := time.Duration(0), time.Duration(0)
		for _, v := range r.services[s].Servers {
			used, most = used+r.byID[v.GetId()].used, max(most, r.byID[v.GetId()].used)
		}
		room := r.duration * time.Duration(len(r.services[s].Servers)*r.deployment.slots)
		t.Logf("%s: busiest server %.2f of its fair share, slots in use %.3f, at most %.2f times the mean", s, r.busiest(s), float64(used)/float64(room),
			float64(most)*float64(len(r.services[s].Servers))/float64(used))
	}
	t.Logf("worth %.4f, attempts %d, elsewhere %.3f, shed %d, after the first second %d, twice %d, held back %d", r.worth(), r.attempts, float64(r.elsewhere)/float64(r.attempts), r.shed, r.shedLate, r.shedTwice, r.heldBack)
}

// fourServices is the deployment of four services that the design page measured under overload. Demand is about 1.2 times the room. The
// page doesn't give the ranks of the calls.
func fourServices() deployment {
	ms := time.Millisecond
	call := func(service string) overloadKind {
		return overloadKind{rule: "call_" + service, service: service, rank: 1, mean: 55 * ms, target: 200 * ms, timeout: 600 * ms}
	}
	return deployment{slots: 12, servers: map[string]int{"a": 11, "b": 9, "c": 5, "d": 10}, duration: 20 * time.Second, oneWay: []time.Duration{ms / 10, ms, 2 * ms},
		kinds: []overloadKind{
			{rule: "a", service: "a", rank: 0, mean: 220 * ms, target: 500 * ms, timeout: 1500 * ms, perSecond: 747, calls: []string{"call_b"}},
			{rule: "b", service: "b", rank: 1, mean: 290 * ms, target: 800 * ms, timeout: 2000 * ms, perSecond: 358, calls: []string{"call_c", "call_c"}},
			{rule: "c", service: "c", rank: 1, mean: 150 * ms, target: 600 * ms, timeout: 1500 * ms, perSecond: 280, calls: []string{"call_d"}},
			{rule: "d", service: "d", rank: 2, mean: 880 * ms, target: 4000 * ms, timeout: 6000 * ms, perSecond: 154},
			call("b"), call("c"), call("d"),
		}}
}

// unevenServers is the deployment of three services whose servers differ in speed, with waves of demand between data centres.
func unevenServers() deployment {
	ms := time.Millisecond
	call := func(service string) overloadKind {
		return overloadKind{rule: "call_" + service, service: service, rank: 1, mean: 27 * ms, target: 120 * ms, timeout: 300 * ms}
	}
	return deployment{slots: 6, servers: map[string]int{"a": 18, "b": 14, "c": 6}, duration: 17 * time.Second, oneWay: []time.Duration{ms / 10, 4900 * time.Microsecond},
		speeds: true, swing: 0.55, period: 17 * time.Second,
		kinds: []overloadKind{
			{rule: "a", service: "a", rank: 2, mean: 94 * ms, target: 400 * ms, timeout: 1000 * ms, perSecond: 1054, calls: []string{"call_b"}},
			{rule: "b", service: "b", rank: 1, mean: 120 * ms, target: 500 * ms, timeout: 1200 * ms, perSecond: 503, calls: []string{"call_c"}},
			{rule: "c", service: "c", rank: 2, mean: 73 * ms, target: 500 * ms, timeout: 1200 * ms, perSecond: 204},
			call("b"), call("c"),
		}}
}

// halfRefusing is fourServices with room for all, and a burst in which half of the servers of a service refuse everything.
func halfRefusing(service string) deployment {
	d := fourServices()
	d.servers = map[string]int{"a": 17, "b": 14, "c": 8, "d": 15}
	d.burst, d.burstFrom, d.burstUntil, d.refusing = 1.5, 5*time.Second, 13*time.Second, service
	return d
}

// TestRefusingServersCostAttempts guards against servers that refuse everything, and get more than trial requests since their slots are free:
// after the first second no request meets two of them, and at most 2 in 100 of the requests for their service meet one.
func TestRefusingServersCostAttempts(t *testing.T) {
	for _, service := range []string{"a", "b"} {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := replayOverload(halfRefusing(service))
			r.log(t)
			is.Equal(r.shedTwice, 0)
			is.True(r.shedLate < 180)
		})
	}
}

// TestCallsOfBegunWorkAreRefused guards against refusing a call, which wastes the slot of the request that made it, rather than a request that hasn't
// begun: at most 2 in 100 of each kind fail for a call under an overload of 1.2.
func TestCallsOfBegunWorkAreRefused(t *testing.T) {
	t.Parallel()
	r := replayOverload(fourServices())
	r.log(t)
	for _, k := range r.kinds {
		c := r.counts[k.rule]
		if failed := float64(c.failed) / float64(c.offered); failed > 0.02 {
			t.Errorf("%.3f of the requests of rule %s failed for a call", failed, k.rule)
		}
	}
}

// TestUnevenServersShareLoad guards against a server that gets over 1.3 times its fair share by speed.
func TestUnevenServersShareLoad(t *testing.T) {
	t.Parallel()
	r := replayOverload(unevenServers())
	r.log(t)
	for service := range r.services {
		if got := r.busiest(service); got > 1.3 {
			t.Errorf("the busiest server of service %s got %.2f times its fair share", service, got)
		}
	}
}
