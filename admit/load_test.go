package admit

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// loadKind is one kind of request of a load pattern.
type loadKind struct {
	rule, service         string
	rank                  int64
	mean, target, timeout time.Duration
	perSecond             float64
	// call is the rule of the call that a share of the requests make while they run, callShare. A request whose call is refused fails.
	call      string
	callShare float64
	// host is the host that sends the requests, and callers are the services of the hosts that do, drawn at random.
	host    string
	callers []string
}

// loadCount is what became of the requests of one kind.
type loadCount struct {
	asked, onTarget, late, refused, failed int
}

// loadReplay plays a load pattern against the slots of one server for each service, on a clock of its own.
type loadReplay struct {
	now    time.Time
	events eventHeap
	random *rand.Rand
	slots  map[string]*Slots
	kinds  map[string]*loadKind
	counts map[string]*loadCount
	// requests holds the requests that are queued or in progress, by what Slots knows of them.
	requests map[*SlotRequest]*loadRequest
}

// loadRequest is a request that is queued or in progress.
type loadRequest struct {
	kind    *loadKind
	slot    *SlotRequest
	arrived time.Time
	started time.Time
	parent  *loadRequest
	// open counts what the request waits for while it runs: its own work, and its call.
	open  int
	ended bool
}

type event struct {
	at time.Time
	do func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// replayLoad plays kinds of requests, with random arrivals, against servers with a number of slots. It returns the counts by rule.
func replayLoad(size int, duration time.Duration, kinds ...loadKind) map[string]*loadCount {
	r := &loadReplay{now: slotsStart, random: rand.New(rand.NewPCG(1, 2)), slots: map[string]*Slots{}, kinds: map[string]*loadKind{},
		counts: map[string]*loadCount{}, requests: map[*SlotRequest]*loadRequest{}}
	for i := range kinds {
		k := &kinds[i]
		r.kinds[k.rule], r.counts[k.rule] = k, &loadCount{}
		if r.slots[k.service] == nil {
			r.slots[k.service] = NewSlots(size, r.random.Float64)
		}
		if k.perSecond > 0 {
			r.scheduleArrival(k, slotsStart.Add(duration))
		}
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	return r.counts
}

func (r *loadReplay) schedule(after time.Duration, do func()) {
	heap.Push(&r.events, event{r.now.Add(after), do})
}

func (r *loadReplay) scheduleArrival(k *loadKind, end time.Time) {
	after := time.Duration(r.random.ExpFloat64() / k.perSecond * float64(time.Second))
	if r.now.Add(after).After(end) {
		return
	}
	r.schedule(after, func() {
		r.arrive(k, nil)
		r.scheduleArrival(k, end)
	})
}

func (r *loadReplay) arrive(k *loadKind, parent *loadRequest) {
	q := &loadRequest{kind: k, slot: slotRequest(k.rule, k.rank, r.now, k.target, k.timeout), arrived: r.now, parent: parent}
	q.slot.CallerHost = k.host
	if len(k.callers) > 0 {
		q.slot.CallerService = k.callers[r.random.IntN(len(k.callers))]
	}
	r.counts[k.rule].asked++
	started, e := r.slots[k.service].Admit(q.slot, r.now)
	switch {
	case e != nil:
		r.counts[k.rule].refused++
		r.endCall(q, false)
	case started:
		r.start(q)
	default:
		r.requests[q.slot] = q
	}
}

func (r *loadReplay) start(q *loadRequest) {
	q.started, q.open = r.now, 1
	r.schedule(time.Duration((0.5+r.random.Float64())*float64(q.kind.mean)), func() { r.endPart(q, true) })
	if q.kind.call != "" && r.random.Float64() < q.kind.callShare {
		q.open++
		r.arrive(r.kinds[q.kind.call], q)
	}
}

// endPart records that a request's work or its call has ended.
func (r *loadReplay) endPart(q *loadRequest, succeeded bool) {
	q.open--
	if q.ended || succeeded && q.open > 0 {
		return
	}
	q.ended = true
	count := r.counts[q.kind.rule]
	switch {
	case !succeeded:
		count.failed++
	case r.now.Sub(q.arrived) <= q.kind.target:
		count.onTarget++
	default:
		count.late++
	}
	s := r.slots[q.kind.service]
	s.Finish(q.slot, r.now.Sub(q.started))
	r.endCall(q, succeeded)
	start, expired := s.Next(r.now)
	for _, w := range expired {
		x := r.requests[w]
		r.counts[x.kind.rule].refused++
		r.endCall(x, false)
	}
	for _, w := range start {
		r.start(r.requests[w])
	}
}

// endCall tells the request that made a call that it has ended.
func (r *loadReplay) endCall(q *loadRequest, succeeded bool) {
	if q.parent != nil {
		r.endPart(q.parent, succeeded)
	}
}

// servedShare returns the share of a kind's requests that were served, on target or late.
func (c *loadCount) servedShare() float64 {
	return float64(c.onTarget+c.late) / float64(c.asked)
}

// assertOnTarget checks that at least a share of a rule's requests ended within their latency target.
func assertOnTarget(t *testing.T, counts map[string]*loadCount, rule string, share float64) {
	t.Helper()
	c := counts[rule]
	if got := float64(c.onTarget) / float64(c.asked); got < share {
		t.Errorf("%.3f of the requests of rule %q ended on target, %+v; want %.3f", got, rule, *c, share)
	}
}

// TestLongRequestsCrowdOutUrgentOnes replays a service that is asked for more than it has room for by its least urgent kind alone, whose
// requests are the longest. The urgent kinds need less than half of the room and start first, so they keep their service.
func TestLongRequestsCrowdOutUrgentOnes(t *testing.T) {
	counts := replayLoad(6, time.Minute,
		loadKind{rule: "charge", service: "ledger", rank: 0, mean: 94 * ms, target: 300 * ms, timeout: 800 * ms, perSecond: 12},
		loadKind{rule: "balance", service: "ledger", rank: 1, mean: 40 * ms, target: 150 * ms, timeout: 500 * ms, perSecond: 40},
		loadKind{rule: "statement", service: "ledger", rank: 2, mean: 540 * ms, target: 2 * time.Second, timeout: 5 * time.Second, perSecond: 12})
	assertOnTarget(t, counts, "charge", 0.95)
	assertOnTarget(t, counts, "balance", 0.95)
	is.New(t).True(counts["statement"].onTarget > 0)
}

// TestCallsOfRunningRequestsFindNoRoom replays a service whose requests call a second one, while both are asked for more than they have room
// for. A call that is refused wastes the slot of the request that makes it.
func TestCallsOfRunningRequestsFindNoRoom(t *testing.T) {
	counts := replayLoad(6, time.Minute,
		loadKind{rule: "lookup", service: "routes", rank: 2, mean: 140 * ms, target: 500 * ms, timeout: 1200 * ms, perSecond: 45, call: "balance", callShare: 0.7},
		loadKind{rule: "booking", service: "routes", rank: 1, mean: 180 * ms, target: 600 * ms, timeout: 1500 * ms, perSecond: 12},
		loadKind{rule: "balance", service: "ledger", rank: 1, mean: 40 * ms, target: 150 * ms, timeout: 500 * ms},
		loadKind{rule: "charge", service: "ledger", rank: 0, mean: 94 * ms, target: 300 * ms, timeout: 800 * ms, perSecond: 12},
		loadKind{rule: "statement", service: "ledger", rank: 2, mean: 540 * ms, target: 2 * time.Second, timeout: 5 * time.Second, perSecond: 12})
	failed := float64(counts["lookup"].failed) / float64(counts["lookup"].asked)
	is.New(t).True(failed < 0.02)
	assertOnTarget(t, counts, "charge", 0.95)
}

// TestLessUrgentKindStarves replays a burst of two kinds of about the same length. The more urgent one is served at least as often, within the
// 5 in 100 that the operators count, and the other at least a quarter as often as all.
func TestLessUrgentKindStarves(t *testing.T) {
	for name, perSecond := range map[string]float64{"a little over the room": 80, "twice the room": 145} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			counts := replayLoad(13, time.Minute,
				loadKind{rule: "lookup", service: "desk", rank: 1, mean: 79 * ms, target: 250 * ms, timeout: 1500 * ms, perSecond: perSecond},
				loadKind{rule: "filing", service: "desk", rank: 2, mean: 100 * ms, target: 600 * ms, timeout: 2 * time.Second, perSecond: perSecond})
			lookup, filing := counts["lookup"].servedShare(), counts["filing"].servedShare()
			is.True(lookup > filing-0.05)
			is.True(filing > (lookup+filing)/2/4)
		})
	}
}

// TestLongRequestsStarve replays a service whose urgent kinds alone need all of the room. The long ones are still served at least a quarter as often
// as all requests, which is what the operators ask of each kind.
func TestLongRequestsStarve(t *testing.T) {
	counts := replayLoad(6, time.Minute,
		loadKind{rule: "charge", service: "ledger", rank: 0, mean: 94 * ms, target: 300 * ms, timeout: 800 * ms, perSecond: 24},
		loadKind{rule: "balance", service: "ledger", rank: 1, mean: 40 * ms, target: 150 * ms, timeout: 500 * ms, perSecond: 95},
		loadKind{rule: "statement", service: "ledger", rank: 2, mean: 540 * ms, target: 2 * time.Second, timeout: 5 * time.Second, perSecond: 12})
	all := &loadCount{}
	for _, c := range counts {
		all.asked, all.onTarget, all.late = all.asked+c.asked, all.onTarget+c.onTarget, all.late+c.late
	}
	if got, want := counts["statement"].servedShare(), all.servedShare()/4; got < want {
		t.Errorf("%.3f of the long requests were served, %+v; want %.3f, a quarter of the share of all", got, *counts["statement"], want)
	}
}

// TestReserveKeepsSlotsEmpty guards against slots that stay reserved for urgent requests that no longer arrive.
func TestReserveKeepsSlotsEmpty(t *testing.T) {
	is := is.New(t)
	s := NewSlots(4, neverRefuse)
	now := slotsStart
	for range 40 {
		urgent := slotRequest("charge", 0, now, 300*ms, time.Second)
		started, _ := s.Admit(urgent, now)
		is.True(started)
		now = now.Add(50 * ms)
		s.Finish(urgent, 100*ms)
	}
	admitLong := func() bool {
		w := slotRequest("statement", 1, now, 3*time.Second, 9*time.Second)
		started, e := s.Admit(w, now)
		is.True(e == nil)
		return started
	}
	s.rules["statement"] = &ruleStats{rank: 1, meanServiceUS: float64(time.Second / time.Microsecond)}
	for admitLong() {
	}
	is.True(s.InProgress() < 4) // two slots or fewer: the urgent requests keep two in use
	is.Equal(s.Queued(), 1)
	now = now.Add(5 * loadTime)
	start, expired := s.Next(now)
	is.Equal(len(start), 1)
	is.Equal(len(expired), 0)
	for admitLong() {
	}
	is.Equal(s.InProgress(), 4)
}
