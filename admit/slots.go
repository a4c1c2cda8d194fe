package admit

import (
	"slices"
	"time"

	"github.com/jaypitch/jaypitch"
)

// SlotRequest is one request that asks for a slot.
type SlotRequest struct {
	Rank int64
	Rule string
	// Deadline is when nobody waits for the answer any more, TargetDeadline when the answer stops being good,
	// CompleteBy when it would have ended elsewhere; zero if nowhere else is better.
	Deadline, TargetDeadline, CompleteBy time.Time
	// Decision receives nil when the request may run, or why it may not.
	Decision chan *jaypitch.Error

	arrived time.Time
	started time.Time
}

// Slots hands out the slots of one backend server: the answer that stops being good first goes first, nothing
// starts that can't end in time, and a queue that stands refuses more requests the longer it is, less urgent ranks
// somewhat more. It isn't safe for concurrent use.
type Slots struct {
	size    int
	running map[*SlotRequest]bool
	waiting []*SlotRequest
	rules   map[string]*ruleTimes
	all     float64
	random  func() float64
	// emptyAt is when nothing waited last.
	emptyAt time.Time
}

// ruleTimes is what was seen of one rule's requests.
type ruleTimes struct {
	rank int64
	// mean is the mean time at the server, in microseconds; zero before the first request ended.
	mean   float64
	target time.Duration
}

const (
	// meanWeight is the weight of the newest request in a mean time.
	meanWeight = 0.1
	// firstMean is taken for a rule's mean time before one of its requests has ended, in microseconds.
	firstMean = 50_000
	// needMargin is the part of a mean time that has to be left for a request to be worth starting.
	needMargin = 1.0
	// goodMargin is the part of a mean time that has to fit before the answer stops being good; times spread by half of their mean.
	goodMargin = 1.3
	// refuseFrom is the part of the longest sensible wait from which requests are refused by chance (random early detection).
	refuseFrom = 0.4
	// lessUrgent is the part of that wait that is left to a rank while a more urgent one is served too.
	lessUrgent = 0.9
	// agedFactor is how many means running requests have to have taken for the server to count as slower: with times that spread by
	// half of their mean, those that are under way have taken 0.6 means on average.
	agedFactor = 1.5
	// minStanding is how long a queue has to stand to count as more than a short burst (the interval of CoDel).
	minStanding = 100 * time.Millisecond
)

// NewSlots makes the slots of a server; random returns a number from 0 to 1 without 1.
func NewSlots(size int, random func() float64) *Slots {
	return &Slots{size: size, running: map[*SlotRequest]bool{}, rules: map[string]*ruleTimes{}, all: firstMean, random: random}
}

// Resize sets the number of slots.
func (s *Slots) Resize(size int) {
	s.size = max(1, size)
}

// Reset forgets what was learnt, for a new server at the same place.
func (s *Slots) Reset() {
	s.rules, s.all = map[string]*ruleTimes{}, firstMean
}

// Admit starts a request, lets it wait, or refuses it. It returns true if the request may run now.
func (s *Slots) Admit(w *SlotRequest, now time.Time) (bool, *jaypitch.Error) {
	w.arrived = now
	s.note(w)
	need := s.ExpectedServiceTime(w.Rule, now)
	if left := w.Deadline.Sub(now); left < scale(need, needMargin) {
		return false, jaypitch.Errorf(jaypitch.CodeDeadline, "%s are left and rule %q takes %s", left, w.Rule, need)
	}
	if len(s.waiting) == 0 {
		s.emptyAt = now
	}
	free := len(s.running) < s.size && len(s.waiting) == 0
	wait := time.Duration(0)
	if !free {
		wait = s.ExpectedQueueTime(w, now)
	}
	if end := now.Add(wait + need); !w.CompleteBy.IsZero() && end.After(w.CompleteBy) {
		return false, jaypitch.Errorf(jaypitch.CodeBusy, "the wait of %s and the time %s are longer than elsewhere", wait, need)
	}
	if free {
		s.start(w, now)
		return true, nil
	}
	if e := s.crowded(w, wait, now); e != nil {
		return false, e
	}
	s.waiting = append(s.waiting, w)
	return false, nil
}

// Finish ends a request; took is how long the server had it, zero if that says nothing of its speed.
func (s *Slots) Finish(w *SlotRequest, took time.Duration) {
	delete(s.running, w)
	if took <= 0 {
		return
	}
	us := float64(took.Microseconds())
	if r := s.rules[w.Rule]; r != nil {
		if r.mean == 0 {
			r.mean = us
		}
		r.mean += meanWeight * (us - r.mean)
	}
	s.all += meanWeight * (us - s.all)
}

// Next takes out the waiting requests that may start now, and those that can't end in time any more.
func (s *Slots) Next(now time.Time) (start, late []*SlotRequest) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w *SlotRequest) bool {
		over := now.Add(scale(s.MeanServiceTime(w.Rule), needMargin)).After(w.Deadline)
		if over {
			late = append(late, w)
		}
		return over
	})
	for len(s.running) < s.size && len(s.waiting) > 0 {
		i := s.choose(now)
		w := s.waiting[i]
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.start(w, now)
		start = append(start, w)
	}
	return start, late
}

// Cancel takes a waiting request out; it returns false if the request isn't waiting any more.
func (s *Slots) Cancel(w *SlotRequest) bool {
	i := slices.Index(s.waiting, w)
	if i < 0 {
		return false
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	return true
}

// ExpectedQueueTime estimates how long a request would wait for a slot.
func (s *Slots) ExpectedQueueTime(w *SlotRequest, now time.Time) time.Duration {
	ahead := len(s.running) - s.size + 1
	work := max(0, float64(ahead)) * s.all
	for _, o := range s.waiting {
		if before(o, w, now) {
			work += float64(s.MeanServiceTime(o.Rule).Microseconds())
		}
	}
	return time.Duration(work/float64(s.size)) * time.Microsecond
}

// RetryAfter estimates after how long a request that doesn't fit now would.
func (s *Slots) RetryAfter(w *SlotRequest, now time.Time) time.Duration {
	over := now.Add(s.ExpectedQueueTime(w, now) + s.MeanServiceTime(w.Rule)).Sub(w.TargetDeadline)
	return max(over, s.MeanServiceTime(w.Rule)/time.Duration(s.size))
}

// MeanServiceTime is the mean time of a rule's requests at the server.
func (s *Slots) MeanServiceTime(rule string) time.Duration {
	if r := s.rules[rule]; r != nil && r.mean > 0 {
		return time.Duration(r.mean) * time.Microsecond
	}
	return time.Duration(s.all) * time.Microsecond
}

// InProgress is the number of requests that hold a slot.
func (s *Slots) InProgress() int {
	return len(s.running)
}

// Queued is the number of requests that wait.
func (s *Slots) Queued() int {
	return len(s.waiting)
}

// Size is the number of slots.
func (s *Slots) Size() int {
	return s.size
}

// ExpectedServiceTime is the time that a rule's request is expected to take at the server: the mean, or more if running requests have
// taken so many of their means already that the server must have turned slow.
func (s *Slots) ExpectedServiceTime(rule string, now time.Time) time.Duration {
	mean := s.MeanServiceTime(rule)
	if slow := s.slowness(now); slow > agedFactor {
		return scale(mean, slow)
	}
	return mean
}

// slowness is the number of means that running requests have taken so far, on average with one that has taken one mean, so that a
// single long request doesn't say much.
func (s *Slots) slowness(now time.Time) float64 {
	sum := 1.0
	for w := range s.running {
		sum += float64(now.Sub(w.started)) / float64(s.MeanServiceTime(w.Rule))
	}
	return sum / float64(len(s.running)+1)
}

// note remembers the rank and the target of a rule.
func (s *Slots) note(w *SlotRequest) {
	r := s.rules[w.Rule]
	if r == nil {
		r = &ruleTimes{}
		s.rules[w.Rule] = r
	}
	r.rank, r.target = w.Rank, w.TargetDeadline.Sub(w.arrived)
}

// crowded refuses a request that would end too late; while the queue stands, also by chance, so that no more is
// taken in than can be answered while it is good.
func (s *Slots) crowded(w *SlotRequest, wait time.Duration, now time.Time) *jaypitch.Error {
	need := scale(s.MeanServiceTime(w.Rule), goodMargin)
	if now.Add(wait + need).After(w.Deadline) {
		return jaypitch.Errorf(jaypitch.CodeOverloaded, "the wait of %s and the time %s don't fit before the deadline", wait, need)
	}
	if now.Sub(s.emptyAt) < max(minStanding, s.MeanServiceTime(w.Rule)) {
		return nil
	}
	most := s.longestWait(w)
	backlog := s.backlog()
	if chance := (float64(backlog)/float64(most) - refuseFrom) / (1 - refuseFrom); s.random() < chance {
		return jaypitch.Errorf(jaypitch.CodeOverloaded, "the queue has stood for %s and takes %s to empty; at most %s are sensible", now.Sub(s.emptyAt), backlog, most)
	}
	return nil
}

// longestWait is the longest wait with which answers of the rule, and of more urgent ones, are still good.
func (s *Slots) longestWait(w *SlotRequest) time.Duration {
	most := s.slack(w.Rule, s.rules[w.Rule])
	urgent := false
	for name, r := range s.rules {
		if r.rank < w.Rank {
			most = min(most, s.slack(name, r))
			urgent = true
		}
	}
	if urgent {
		most = scale(most, lessUrgent)
	}
	return most
}

// slack is how long a rule's requests may wait and still be good; where they can't be good at all, as long as they take.
func (s *Slots) slack(rule string, r *ruleTimes) time.Duration {
	mean := s.MeanServiceTime(rule)
	return max(r.target-scale(mean, goodMargin), mean/2)
}

// backlog is the time that all that waits takes.
func (s *Slots) backlog() time.Duration {
	var sum time.Duration
	for _, w := range s.waiting {
		sum += s.MeanServiceTime(w.Rule)
	}
	return sum / time.Duration(s.size)
}

func (s *Slots) start(w *SlotRequest, now time.Time) {
	w.started = now
	s.running[w] = true
}

// choose returns the place of the request that starts next.
func (s *Slots) choose(now time.Time) int {
	first := 0
	for i := range s.waiting {
		if before(s.waiting[i], s.waiting[first], now) {
			first = i
		}
	}
	return first
}

// before says whether a goes before b: requests whose answers can still be good, then what stops being good first.
func before(a, b *SlotRequest, now time.Time) bool {
	lateA, lateB := now.After(a.TargetDeadline), now.After(b.TargetDeadline)
	if lateA != lateB {
		return lateB
	}
	return a.TargetDeadline.Before(b.TargetDeadline)
}

func scale(d time.Duration, by float64) time.Duration {
	return time.Duration(float64(d) * by)
}
