package admit

import (
	"fmt"
	"slices"
	"time"

	"github.com/jaypitch/jaypitch"
)

// SlotRequest is one request for a slot of a Slots.
type SlotRequest struct {
	// Rank is the priority class; 0 is the most urgent.
	Rank int64
	Rule string
	// CallerService is the service of the host that sent the request; empty if unknown.
	CallerService string
	// CallerHost is the address of the host that sent the request; empty for this one.
	CallerHost string
	// Deadline is when the client or the rule times out, TargetDeadline the end of the rule's latency target, and
	// CompleteBy when the next best server would have completed the request; zero if no other server is better.
	Deadline, TargetDeadline, CompleteBy time.Time
	// Decision is for the caller of Slots, which sends nil when the queued request starts, or else the refusal.
	Decision chan *jaypitch.Error

	arrived time.Time
	started time.Time
}

// Slots assigns the slots of one backend server, and keeps to its rate limits: the one that it names, and the one while it is cold. Of the
// requests that can still meet their target, the one with the earliest target deadline goes first, and a request that can't complete by its
// deadline doesn't start. Long requests leave the slots free that more urgent ones need; see slotsFor. Once the queue has not been empty for a
// while, requests are refused at random, with a probability that grows with the queue and is somewhat higher for less urgent ranks, and higher
// for a caller that asks for more than its fair share of its rank. It isn't safe for concurrent use.
type Slots struct {
	size       int
	inProgress map[*SlotRequest]bool
	queue      []*SlotRequest
	rules      map[string]*ruleStats
	// meanServiceUS is the mean service time of all rules' requests, in microseconds.
	meanServiceUS float64
	random        func() float64
	// pacer holds the limit that the server names, and the one while it is cold.
	pacer pacers
	// lastEmpty is when a request last arrived at an empty queue.
	lastEmpty time.Time
	// reservations are those at reservedAt, which is zero if they have to be computed again; see reservationsAt.
	reservations []reservation
	reservedAt   time.Time
	// callerLoads tells which callers ask for more than their fair share.
	callerLoads callerLoads
}

// ruleStats describes the requests of one rule.
type ruleStats struct {
	rank int64
	// meanServiceUS is the mean service time, in microseconds; zero before the first request ended.
	meanServiceUS float64
	// target is the time from the arrival of the rule's latest request to its target deadline.
	target time.Duration
	// load is the number of slots that the rule's arrivals keep in use, a moving average over about loadTime, as it was at loadAt.
	load   float64
	loadAt time.Time
	// callers tells whether the rule is one of calls.
	callers callerStats
}

const (
	// slotsMeanWeight is the weight of the newest request in the mean service times of Slots.
	slotsMeanWeight = 0.1
	// slotsInitialMeanUS is the mean service time of Slots before the first request ends, in microseconds.
	slotsInitialMeanUS = 50_000
	// deadlineMargin is the multiple of the service time that has to be left before the deadline for a request to start.
	deadlineMargin = 1.0
	// targetMargin is the multiple of the mean service time that has to be left before the target deadline or, for a request that would
	// be queued, the deadline. The standard deviation of service times is half of their mean.
	targetMargin = 1.3
	// refusalStart is the share of maxQueueTime from which requests are refused at random (random early detection).
	refusalStart = 0.4
	// lessUrgentFactor multiplies maxQueueTime for a rank while rules of a more urgent one are served too.
	lessUrgentFactor = 0.9
	// slowThreshold is the slowness above which the server counts as slower than the mean. With a standard deviation of half the mean,
	// requests in progress have taken 0.6 of the mean so far on average.
	slowThreshold = 1.5
	// minStandingTime is the least time without an empty queue that counts as more than a short burst (the interval of CoDel).
	minStandingTime = 100 * time.Millisecond
)

// NewSlots returns the slots of a server. Random returns a number in [0, 1).
func NewSlots(size int, random func() float64) *Slots {
	return &Slots{size: size, inProgress: map[*SlotRequest]bool{}, rules: map[string]*ruleStats{}, meanServiceUS: slotsInitialMeanUS, random: random}
}

// Resize sets the number of slots.
func (s *Slots) Resize(size int) {
	s.size = max(1, size)
}

// Reset discards the measured service times and the rate limit, for a new server at the same address. The pace of a cold server stays: requests that
// name different servers may reach the same one.
func (s *Slots) Reset() {
	s.rules, s.meanServiceUS = map[string]*ruleStats{}, slotsInitialMeanUS
	s.pacer.Clear()
}

// SetLimit sets the rate limit that the server names, in requests per second.
func (s *Slots) SetLimit(perSecond float64, now time.Time) {
	s.pacer.SetLimit(perSecond, now)
}

// ClearLimit removes the rate limit. The caller starts the queued requests that Next returns then.
func (s *Slots) ClearLimit() {
	s.pacer.Clear()
}

// Limited reports whether the server names a rate limit.
func (s *Slots) Limited() bool {
	return s.pacer.Limited()
}

// LimitWait returns the time until the rate limit allows a request to start that comes after all queued ones.
func (s *Slots) LimitWait(now time.Time) time.Duration {
	return s.pacer.Wait(len(s.queue)+1, now)
}

// NextStart returns when the rate limit allows the next queued request to start; zero if none is queued, or if all wait for a slot.
func (s *Slots) NextStart(now time.Time) time.Time {
	if !s.pacer.limitedAt(now) || len(s.inProgress) >= s.size || s.nextIndex(now) < 0 {
		return time.Time{}
	}
	return now.Add(s.pacer.Wait(1, now))
}

// Admit starts a request, queues it or refuses it. It reports whether the request starts now, and returns an error if it is refused.
func (s *Slots) Admit(w *SlotRequest, now time.Time) (bool, *jaypitch.Error) {
	w.arrived = now
	s.updateRule(w)
	need := s.ExpectedServiceTime(w.Rule, now)
	if left := w.Deadline.Sub(now); left < scale(need, deadlineMargin) {
		return false, jaypitch.Errorf(jaypitch.CodeDeadline, "%s are left before the deadline, and requests of rule %q take %s", left, w.Rule, need)
	}
	if len(s.queue) == 0 {
		s.lastEmpty = now
	}
	free := s.free(now) && s.nextIndex(now) < 0 && s.mayStart(w.Rule, now)
	queueTime := time.Duration(0)
	if !free {
		queueTime = s.ExpectedQueueTime(w, now)
	}
	if end := now.Add(queueTime + need); !w.CompleteBy.IsZero() && end.After(w.CompleteBy) {
		return false, jaypitch.Errorf(jaypitch.CodeBusy, "the queue time of %s and the service time of %s are longer than at another server", queueTime, need)
	}
	if free {
		s.start(w, now)
		return true, nil
	}
	if e := s.overloaded(w, queueTime, now); e != nil {
		return false, e
	}
	s.queue = append(s.queue, w)
	return false, nil
}

// Finish releases the slot of a request. Took is the service time; zero if it doesn't count towards the means.
func (s *Slots) Finish(w *SlotRequest, took time.Duration) {
	delete(s.inProgress, w)
	if took <= 0 {
		return
	}
	us := float64(took.Microseconds())
	if r := s.rules[w.Rule]; r != nil {
		if r.meanServiceUS == 0 {
			r.meanServiceUS = us
		}
		r.meanServiceUS += slotsMeanWeight * (us - r.meanServiceUS)
	}
	s.meanServiceUS += slotsMeanWeight * (us - s.meanServiceUS)
}

// Next dequeues the requests that start now, and the expired ones, which can no longer complete by their deadlines.
func (s *Slots) Next(now time.Time) (start, expired []*SlotRequest) {
	s.queue = slices.DeleteFunc(s.queue, func(w *SlotRequest) bool {
		late := now.Add(scale(s.MeanServiceTime(w.Rule), deadlineMargin)).After(w.Deadline)
		if late {
			expired = append(expired, w)
		}
		return late
	})
	for s.free(now) {
		i := s.nextIndex(now)
		if i < 0 {
			break
		}
		w := s.queue[i]
		s.queue = slices.Delete(s.queue, i, i+1)
		s.start(w, now)
		start = append(start, w)
	}
	return start, expired
}

// Cancel removes a request from the queue. It reports whether the request was queued.
func (s *Slots) Cancel(w *SlotRequest) bool {
	i := slices.Index(s.queue, w)
	if i < 0 {
		return false
	}
	s.queue = slices.Delete(s.queue, i, i+1)
	return true
}

// ExpectedQueueTime estimates the queue time of a request that arrives now: until a slot is free for it, and the rate limit allows it.
func (s *Slots) ExpectedQueueTime(w *SlotRequest, now time.Time) time.Duration {
	slotTime, limitTime := s.expectedQueueTimes(w, now)
	return max(slotTime, limitTime)
}

// expectedQueueTimes estimates the time until a slot is free for a request that arrives now, and until the rate limit allows it.
func (s *Slots) expectedQueueTimes(w *SlotRequest, now time.Time) (slotTime, limitTime time.Duration) {
	ahead := len(s.inProgress) - s.size + 1
	work := max(0, float64(ahead)) * s.meanServiceUS
	before := 0
	for _, o := range s.queue {
		if s.startsBefore(o, w, now) {
			work += float64(s.MeanServiceTime(o.Rule).Microseconds())
			before++
		}
	}
	return time.Duration(work/float64(s.slotsFor(w.Rule, now))) * time.Microsecond, s.pacer.Wait(before+1, now)
}

// RetryAfter estimates after how long a refused request would complete by its target deadline. If the rate limit refused it, that is when
// the limit allows a further request.
func (s *Slots) RetryAfter(w *SlotRequest, now time.Time) time.Duration {
	slotTime, limitTime := s.expectedQueueTimes(w, now)
	if limitTime > slotTime {
		return s.LimitWait(now)
	}
	over := now.Add(slotTime + s.MeanServiceTime(w.Rule)).Sub(w.TargetDeadline)
	return max(over, s.MeanServiceTime(w.Rule)/time.Duration(s.size))
}

// MeanServiceTime is the mean service time of a rule's requests, or of all requests before the first one of the rule ends.
func (s *Slots) MeanServiceTime(rule string) time.Duration {
	if r := s.rules[rule]; r != nil && r.meanServiceUS > 0 {
		return time.Duration(r.meanServiceUS) * time.Microsecond
	}
	return time.Duration(s.meanServiceUS) * time.Microsecond
}

// InProgress is the number of requests that hold slots.
func (s *Slots) InProgress() int {
	return len(s.inProgress)
}

// Queued is the number of queued requests.
func (s *Slots) Queued() int {
	return len(s.queue)
}

// Size is the number of slots.
func (s *Slots) Size() int {
	return s.size
}

// ExpectedServiceTime is the expected service time of a rule's request: the mean, or a multiple of it if the requests in progress have
// taken so much longer than their means that the server must have become slow.
func (s *Slots) ExpectedServiceTime(rule string, now time.Time) time.Duration {
	mean := s.MeanServiceTime(rule)
	if slow := s.slowness(now); slow > slowThreshold {
		return scale(mean, slow)
	}
	return mean
}

// slowness is the time that the requests in progress have taken so far, in multiples of their mean service times. The average includes
// one additional request at its mean, so that a single long request has little weight.
func (s *Slots) slowness(now time.Time) float64 {
	sum := 1.0
	for w := range s.inProgress {
		sum += float64(now.Sub(w.started)) / float64(s.MeanServiceTime(w.Rule))
	}
	return sum / float64(len(s.inProgress)+1)
}

// updateRule records the rank and the latency target of a request's rule.
func (s *Slots) updateRule(w *SlotRequest) {
	r := s.rules[w.Rule]
	if r == nil {
		r = &ruleStats{}
		s.rules[w.Rule] = r
	}
	r.rank, r.target = w.Rank, w.TargetDeadline.Sub(w.arrived)
	r.callers.record(w.CallerService)
	s.callerLoads.record(w.callerKey(), s.MeanServiceTime(w.Rule), w.arrived)
	r.addLoad(s.MeanServiceTime(w.Rule), w.arrived)
	s.reservedAt = time.Time{}
}

// overloaded refuses a request that would complete after its deadline. Once the queue has not been empty for minStandingTime, or for the
// rule's mean service time if that is longer, it also refuses at random, so that no more requests are queued than can complete by their
// target deadlines.
func (s *Slots) overloaded(w *SlotRequest, queueTime time.Duration, now time.Time) *jaypitch.Error {
	need := scale(s.MeanServiceTime(w.Rule), targetMargin)
	code, limiting := s.limitingFactor(w, now)
	if now.Add(queueTime + need).After(w.Deadline) {
		return jaypitch.Errorf(code, "the queue time of %s and the service time of %s exceed the time left before the deadline%s", queueTime, need, limiting)
	}
	if now.Sub(s.lastEmpty) < max(minStandingTime, s.MeanServiceTime(w.Rule)) {
		return nil
	}
	limit := s.maxQueueTime(w, now)
	factor := s.callerLoads.queueFactor(w.callerKey())
	if factor > 1 {
		limiting += fmt.Sprintf("; the queue counts %.1f times, since host %q asks for more than its fair share", factor, w.CallerHost)
	}
	backlog := scale(s.backlog(w, now), factor)
	if probability := (float64(backlog)/float64(limit) - refusalStart) / (1 - refusalStart); s.random() < probability {
		return jaypitch.Errorf(code, "the queue has not been empty for %s and takes %s to empty; the limit is %s%s", now.Sub(s.lastEmpty), backlog, limit, limiting)
	}
	return nil
}

// limitingFactor returns the code of a refusal, and what to add to its reason: the server's rate limit, or its slots, whichever makes the
// request wait longer.
func (s *Slots) limitingFactor(w *SlotRequest, now time.Time) (jaypitch.Code, string) {
	if slotTime, limitTime := s.expectedQueueTimes(w, now); limitTime > slotTime {
		return jaypitch.CodeServerLimit, fmt.Sprintf("; by its limit the server takes a request every %s", s.pacer.intervalAt(now))
	}
	return jaypitch.CodeOverloaded, ""
}

// maxQueueTime is the longest queue time with which requests of the rule, and of rules of more urgent ranks, still meet their targets. Requests
// that leave slots to the more urgent ones don't delay those.
func (s *Slots) maxQueueTime(w *SlotRequest, now time.Time) time.Duration {
	limit := s.slack(w.Rule, s.rules[w.Rule])
	leavesSlots := s.slotsFor(w.Rule, now) < s.size
	urgent := false
	for name, r := range s.rules {
		if r.rank < w.Rank {
			urgent = true
			if !leavesSlots {
				limit = min(limit, s.slack(name, r))
			}
		}
	}
	if urgent {
		limit = scale(limit, lessUrgentFactor)
	}
	return limit
}

// slack is the longest queue time with which a rule's requests still meet their target, but at least half of their mean service time,
// also where they can't meet the target at all.
func (s *Slots) slack(rule string, r *ruleStats) time.Duration {
	mean := s.MeanServiceTime(rule)
	return max(r.target-scale(mean, targetMargin), mean/2)
}

// backlog is the queue time that decides whether a request is refused at random: that of the queued requests which start before it or are at
// least as urgent. A less urgent one that starts later doesn't delay it, but counts as one more request like it, so that kinds of about the
// same length are refused alike. It doesn't count if the slots that w needs are reserved. For a call, which a server makes while it executes a
// request, what isn't a call doesn't count at all if it is of the call's rank or a less urgent one, and else as one more request like the call:
// a refused call wastes the slot of the request that made it.
func (s *Slots) backlog(w *SlotRequest, now time.Time) time.Duration {
	var sum time.Duration
	n, isCall := 0, s.calls(w.Rule)
	cold := s.pacer.coldAt(now)
	for _, o := range s.queue {
		mean := s.MeanServiceTime(o.Rule)
		if isCall && !s.calls(o.Rule) {
			if o.Rank >= w.Rank {
				continue
			}
			mean = min(mean, s.MeanServiceTime(w.Rule))
		}
		if o.Rank > w.Rank && !s.startsBefore(o, w, now) {
			if cold || s.slotsFor(o.Rule, now) < s.size {
				continue
			}
			mean = min(mean, s.MeanServiceTime(w.Rule))
		}
		sum += mean
		n++
	}
	return max(sum/time.Duration(s.slotsFor(w.Rule, now)), s.pacer.backlogTime(n, now))
}

// free reports whether a slot is free and the rate limit allows a request to start.
func (s *Slots) free(now time.Time) bool {
	return len(s.inProgress) < s.size && s.pacer.Wait(1, now) == 0
}

func (s *Slots) start(w *SlotRequest, now time.Time) {
	s.pacer.Start(now)
	w.started = now
	s.inProgress[w] = true
}

// nextIndex returns the index of the queued request that starts next; -1 if none may start.
func (s *Slots) nextIndex(now time.Time) int {
	first := -1
	for i, w := range s.queue {
		if (first < 0 || s.startsBefore(w, s.queue[first], now)) && s.mayStart(w.Rule, now) {
			first = i
		}
	}
	return first
}

// startsBefore reports whether a starts before b: those that can still meet their target come first, then the earlier target deadline. While the
// server is cold it sustains a number of requests, however long they take, so the most urgent rank comes first.
func (s *Slots) startsBefore(a, b *SlotRequest, now time.Time) bool {
	if a.Rank != b.Rank && s.pacer.coldAt(now) {
		return a.Rank < b.Rank
	}
	if lateA, lateB := s.late(a, now), s.late(b, now); lateA != lateB {
		return lateB
	}
	return a.TargetDeadline.Before(b.TargetDeadline)
}

// late reports whether a request that starts now is expected to miss its target.
func (s *Slots) late(w *SlotRequest, now time.Time) bool {
	return now.Add(s.MeanServiceTime(w.Rule)).After(w.TargetDeadline)
}

// scale multiplies a duration by a factor.
func scale(d time.Duration, by float64) time.Duration {
	return time.Duration(float64(d) * by)
}
