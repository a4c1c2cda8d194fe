package route

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/admit"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/schema"
)

// rampKind is one kind of request to the service of a ramp.
type rampKind struct {
	rule            string
	rank            int64
	perSecond       float64
	target, timeout time.Duration
}

// rampRequest is a client's request.
type rampRequest struct {
	kind              *rampKind
	sender            *rampSender
	arrived, deadline time.Time
	// excluded, sent and overloaded are those of the attempts since the client last sent it.
	excluded         []string
	sent, overloaded int
	retryAfter       time.Duration
}

// rampSender is the sidecar of a host's clients, as far as it chooses servers.
type rampSender struct{ picker *MeshPicker }

// rampServer is a backend server and the sidecar beside it, as far as that admits requests.
type rampServer struct {
	server *schema.MeshServer
	slots  *admit.Slots
	// coldUntil is when the server itself is warm.
	coldUntil time.Time
	starts    []time.Time
	requests  map[*admit.SlotRequest]*rampRequest
	wakeAt    time.Time
}

// rampEvent is something that happens at a time. Those of one time happen in the order in which they were scheduled.
type rampEvent struct {
	at     time.Time
	number int
	do     func()
}

type rampEvents []rampEvent

// ramp plays requests against the servers of a mesh that all start at the same time, on a clock of its own.
type ramp struct {
	now    time.Time
	events rampEvents
	// scheduled counts the events.
	scheduled int
	random    *rand.Rand
	service   *mesh.Service
	servers   map[string]*rampServer
	senders   []*rampSender
	// asked, served and onTarget count requests by rule and the second in which the client first sent them.
	asked, served, onTarget map[string][]int
	// retries counts the requests that clients sent again, by second.
	retries []int
}

const (
	rampHosts       = 30
	rampSlots       = 12
	rampService     = 220 * time.Millisecond
	rampColdTime    = 3 * time.Second
	rampColdRate    = 12
	rampColdAllowed = 26
	rampNetwork     = time.Millisecond
	rampSeconds     = 9
	rampMaxRefusals = 2
)

// newRamp returns a mesh of which some hosts have just started, with cold servers.
func newRamp(limits admit.ColdLimits, cold int, seed uint64) *ramp {
	r := &ramp{now: start, random: rand.New(rand.NewPCG(seed, seed)), service: &mesh.Service{Name: "x"}, servers: map[string]*rampServer{},
		asked: map[string][]int{}, served: map[string][]int{}, onTarget: map[string][]int{}, retries: make([]int, rampSeconds+10)}
	for i := range rampHosts {
		v := &schema.MeshServer{Id: fmt.Sprintf("i-%d", i), Service: "x", DataCentre: "here", Slots: rampSlots}
		s := &rampServer{server: v, slots: admit.NewSlots(rampSlots, r.random.Float64), requests: map[*admit.SlotRequest]*rampRequest{}}
		if i < cold {
			v.ColdUs, s.coldUntil = rampColdTime.Microseconds(), r.now.Add(rampColdTime)
			s.slots.SetCold(limits, s.coldUntil)
		}
		r.service.Servers = append(r.service.Servers, v)
		r.servers[v.GetId()] = s
		r.senders = append(r.senders, &rampSender{picker: NewMeshPicker("here", r.random.Float64)})
	}
	return r
}

func (h rampEvents) Len() int      { return len(h) }
func (h rampEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *rampEvents) Push(x any)   { *h = append(*h, x.(rampEvent)) }
func (h rampEvents) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].number < h[j].number
}

func (h *rampEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (r *ramp) at(t time.Time, do func()) {
	r.scheduled++
	heap.Push(&r.events, rampEvent{t, r.scheduled, do})
}

// play plays kinds of requests for rampSeconds.
func (r *ramp) play(kinds ...*rampKind) {
	for _, k := range kinds {
		r.asked[k.rule], r.served[k.rule], r.onTarget[k.rule] = make([]int, rampSeconds), make([]int, rampSeconds), make([]int, rampSeconds)
		r.scheduleArrival(k, start)
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(rampEvent)
		r.now = e.at
		e.do()
	}
}

func (r *ramp) scheduleArrival(k *rampKind, after time.Time) {
	t := after.Add(time.Duration(r.random.ExpFloat64() / k.perSecond * float64(time.Second)))
	if !t.Before(start.Add(rampSeconds * time.Second)) {
		return
	}
	r.at(t, func() {
		r.scheduleArrival(k, t)
		r.asked[k.rule][second(t)]++
		r.attempt(&rampRequest{kind: k, sender: r.senders[r.random.IntN(rampHosts)], arrived: t, deadline: t.Add(k.timeout)})
	})
}

func second(t time.Time) int { return int(t.Sub(start) / time.Second) }

// attempt chooses a server as outbound.Dispatcher does, or refuses the request.
func (r *ramp) attempt(q *rampRequest) {
	p := q.sender.picker.Pick(r.service, PickRequest{Rule: q.kind.rule, Rank: q.kind.rank, LatencyTarget: q.kind.target, Deadline: q.deadline, Excluded: q.excluded}, r.now)
	if p.Server == nil {
		q.retryAfter = max(q.retryAfter, p.RetryAfter)
		r.refuse(q)
		return
	}
	q.sender.picker.Start(p.Server, r.now)
	w := &admit.SlotRequest{Rule: q.kind.rule, Rank: q.kind.rank, Deadline: q.deadline, TargetDeadline: q.arrived.Add(q.kind.target)}
	if q.sent < 2 && p.AlternativeTime > 0 {
		w.CompleteBy = r.now.Add(p.AlternativeTime + 5*time.Millisecond)
	}
	q.sent++
	s := r.servers[p.Server.GetId()]
	r.at(r.now.Add(rampNetwork), func() { r.admit(s, w, q) })
}

// admit is the receiver's decision on a request.
func (r *ramp) admit(s *rampServer, w *admit.SlotRequest, q *rampRequest) {
	s.requests[w] = q
	started, e := s.slots.Admit(w, r.now)
	switch {
	case e != nil:
		r.respond(s, w, &jaypitch.MeshResponse{Execution: jaypitch.NotExecuted, Code: e.Code, RetryAfter: s.slots.RetryAfter(w, r.now)})
	case started:
		r.start(s, w)
	}
	r.wake(s)
}

// wake schedules the start of queued requests that wait for the pace.
func (r *ramp) wake(s *rampServer) {
	at := s.slots.NextStart(r.now)
	if at.IsZero() || at.Equal(s.wakeAt) {
		return
	}
	s.wakeAt = at
	r.at(at, func() { r.startQueued(s) })
}

func (r *ramp) startQueued(s *rampServer) {
	started, expired := s.slots.Next(r.now)
	for _, w := range started {
		r.start(s, w)
	}
	for _, w := range expired {
		r.respond(s, w, &jaypitch.MeshResponse{Execution: jaypitch.NotExecuted, Code: jaypitch.CodeDeadline})
	}
	r.wake(s)
}

func (r *ramp) start(s *rampServer, w *admit.SlotRequest) {
	took := time.Duration((0.5 + r.random.Float64()) * float64(rampService))
	s.starts = append(s.starts, r.now)
	if r.now.Before(s.coldUntil) {
		took *= 2
	}
	r.at(r.now.Add(took), func() {
		s.slots.ObserveAnswer()
		s.slots.Finish(w, took)
		r.respond(s, w, &jaypitch.MeshResponse{Execution: jaypitch.Executed, Status: 200, Arrived: true, ServiceTime: took})
		r.startQueued(s)
	})
}

// respond returns a response with a load report to the sender.
func (r *ramp) respond(s *rampServer, w *admit.SlotRequest, response *jaypitch.MeshResponse) {
	q := s.requests[w]
	delete(s.requests, w)
	response.NetworkTime = 2 * rampNetwork
	l := jaypitch.MeshLoadReport{InProgress: s.slots.InProgress(), Queued: s.slots.Queued(), Slots: s.slots.Size(), Mean: s.slots.ExpectedServiceTime(w.Rule, r.now)}
	if rate, limited := s.slots.RateLimit(r.now); limited {
		l.Limited, l.RateLimit, l.LimitWait = true, rate, s.slots.LimitWait(r.now)
	}
	response.LoadReport = l
	r.at(r.now.Add(rampNetwork), func() { r.receive(s.server, q, response) })
}

// receive ends an attempt as outbound.Dispatcher does.
func (r *ramp) receive(v *schema.MeshServer, q *rampRequest, response *jaypitch.MeshResponse) {
	q.sender.picker.Finish(v, q.kind.rule, q.kind.rank, response, r.now)
	if response.Execution == jaypitch.Executed {
		if !r.now.After(q.deadline) {
			r.served[q.kind.rule][second(q.arrived)]++
		}
		if !r.now.After(q.arrived.Add(q.kind.target)) {
			r.onTarget[q.kind.rule][second(q.arrived)]++
		}
		return
	}
	if response.RetryAfter > 0 && (q.retryAfter == 0 || response.RetryAfter < q.retryAfter) {
		q.retryAfter = response.RetryAfter
	}
	if response.Code != jaypitch.CodeBusy {
		q.excluded = append(q.excluded, v.GetId())
	}
	if response.Code == jaypitch.CodeOverloaded || response.Code == jaypitch.CodeServerLimit {
		q.overloaded++
	}
	if q.overloaded >= rampMaxRefusals || q.sent >= 5 {
		r.refuse(q)
		return
	}
	r.attempt(q)
}

// refuse ends the attempts. The client sends the request again after the Retry-After, if that is at most a third of the time that it has left.
func (r *ramp) refuse(q *rampRequest) {
	after := min(max(cmp.Or(q.retryAfter, 250*time.Millisecond), 20*time.Millisecond), 2*time.Second)
	after += time.Duration(r.random.Float64() * 0.6 * float64(after))
	if after > q.deadline.Sub(r.now)/3 {
		return
	}
	r.at(r.now.Add(after), func() {
		r.retries[min(second(r.now), len(r.retries)-1)]++
		q.excluded, q.sent, q.overloaded, q.retryAfter = nil, 0, 0, 0
		r.attempt(q)
	})
}

// mostInSecond returns the largest number of requests that started at one cold server in a second.
func (r *ramp) mostInSecond() int {
	most := 0
	for _, s := range r.servers {
		from := 0
		for i, t := range s.starts {
			if !t.Before(s.coldUntil) {
				break
			}
			for !s.starts[from].Add(time.Second).After(t) {
				from++
			}
			most = max(most, i-from+1)
		}
	}
	return most
}

// share returns the share of the requests of a rule in a second that were counted.
func (r *ramp) share(counts map[string][]int, rule string, second int) float64 {
	return float64(counts[rule][second]) / float64(max(1, r.asked[rule][second]))
}

var (
	rampLimits = admit.ColdLimits{Time: rampColdTime, Rate: rampColdRate, Overage: 1.5, Slack: 8}
	urgentKind = &rampKind{"urgent", 0, 747, 500 * time.Millisecond, 1500 * time.Millisecond}
)

// report logs what became of the requests of each second.
func (r *ramp) report(t *testing.T, kinds ...*rampKind) {
	t.Helper()
	for i := range rampSeconds {
		line := fmt.Sprintf("second %2d: %4d retries", i, r.retries[i])
		for _, k := range kinds {
			line += fmt.Sprintf(", %s served %.2f, on target %.2f", k.rule, r.share(r.served, k.rule, i), r.share(r.onTarget, k.rule, i))
		}
		t.Log(line)
	}
	t.Logf("most requests in a second at a cold server: %d", r.mostInSecond())
}

// TestAllServersColdAtOnce replays the start of all hosts of a mesh at once, as after a loss of power: 30 servers that are cold for 3 s and sustain 12
// requests a second meanwhile, and 747 requests a second for them. It guards against a server that gets more than it sustains, against a queue that
// outlasts the cold time since clients come back too early, and against less urgent requests that take the room of more urgent ones.
func TestAllServersColdAtOnce(t *testing.T) {
	const back = int(rampColdTime/time.Second) + 2
	for name, kinds := range map[string][]*rampKind{
		"one kind":  {urgentKind},
		"two kinds": {{"urgent", 0, 373, 500 * time.Millisecond, 1500 * time.Millisecond}, {"patient", 2, 374, 4 * time.Second, 6 * time.Second}},
	} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				is := is.New(t)
				r := newRamp(rampLimits, rampHosts, seed)
				r.play(kinds...)
				r.report(t, kinds...)
				is.True(r.mostInSecond() <= rampColdAllowed)
				for i := back; i < rampSeconds; i++ {
					is.True(r.retries[i] < 20)
					for _, k := range kinds {
						is.True(r.share(r.onTarget, k.rule, i) >= 0.9)
					}
				}
				// All servers together sustain 360 requests a second while they are cold.
				least := 0.9 * min(1, rampHosts*rampColdRate/kinds[0].perSecond)
				if len(kinds) > 1 {
					least = 0.7
				}
				is.True(r.share(r.served, "urgent", 1) >= least)
			})
		}
	}
	t.Run("without a limit a server gets more than it sustains", func(t *testing.T) {
		is := is.New(t)
		r := newRamp(admit.ColdLimits{}, rampHosts, 1)
		r.play(urgentKind)
		is.True(r.mostInSecond() > rampColdAllowed)
	})
}

// TestColdServerGetsItsShare guards against a server that joins and gets nothing while the others have room, and against senders that waste
// attempts on a few cold servers among warm ones.
func TestColdServerGetsItsShare(t *testing.T) {
	for name, c := range map[string]struct {
		cold      int
		perSecond float64
	}{"one joins in calm": {1, 60}, "one joins under load": {1, 747}, "a third restarts under load": {10, 747}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			kind := &rampKind{"urgent", 0, c.perSecond, 500 * time.Millisecond, 1500 * time.Millisecond}
			r := newRamp(rampLimits, c.cold, 1)
			r.play(kind)
			r.report(t, kind)
			is.True(r.mostInSecond() <= rampColdAllowed)
			for i := range rampSeconds {
				is.True(r.share(r.served, "urgent", i) >= 0.99)
			}
			for i := range c.cold {
				s := r.servers[fmt.Sprintf("i-%d", i)]
				is.True(len(s.starts) > 0)
				is.True(s.starts[0].Before(start.Add(4 * time.Second)))
			}
		})
	}
}
