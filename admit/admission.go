// Package admit decides which calls a backend server runs, which wait and which are refused. It
// has no clock and no socket.
package admit

import (
	"slices"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/settings"
)

// AdmissionRequest is one call that asks to run.
type AdmissionRequest struct {
	Rank     string
	Deadline time.Time
	// Decision receives nil when the call may run, or the refusal.
	Decision chan *jaypitch.Error

	queued bool
}

// Admission holds the slots of one backend server. Urgent ranks go first, but each rank that has calls waiting
// gets at least its floor's share of the calls that are started. It isn't safe for concurrent use.
type Admission struct {
	slots    int
	limit    float64
	inFlight int
	ranks    []*queue
	service  float64 // mean time a call holds a slot, in microseconds
	raisedAt time.Time
}

type queue struct {
	rank    *settings.Rank
	waiting []*AdmissionRequest
	credit  float64
	service float64 // mean time a call of this rank holds a slot, in microseconds; 0 before the first one ends
}

// Outcome says how a call that was started ended.
type Outcome int

const (
	// Served calls were answered.
	Served Outcome = iota
	// Failed calls were not answered.
	Failed
	// Shed calls were refused by the backend server.
	Shed
)

const (
	// shedFactor lowers the limit when the backend server sheds.
	shedFactor = 0.8
	// serviceWeight is the weight of the newest call in the mean time.
	serviceWeight = 0.05
	// serviceMargin is how much more than the mean time has to be left for a call to be started.
	serviceMargin = 1.5
	// minPatience is the least time that a call may take with its wait, as a multiple of what it needs.
	minPatience = 1.25
	// initialServiceUS is assumed before the first call ends.
	initialServiceUS = 5000
	minHoldOff       = 5 * time.Millisecond
	maxHoldOff       = 200 * time.Millisecond
	// maxCredit bounds what a rank saves up.
	maxCredit = 2.0
)

// NewAdmission makes an admission for a backend server of that many slots.
func NewAdmission(slots int) *Admission {
	return &Admission{slots: slots, limit: float64(slots), service: initialServiceUS}
}

// Configure sets the ranks, most urgent first. Waiting calls keep their places; those of a rank that is gone are returned.
func (a *Admission) Configure(ranks []*settings.Rank) []*AdmissionRequest {
	old := a.ranks
	a.ranks = make([]*queue, 0, len(ranks))
	for _, r := range ranks {
		q := &queue{rank: r}
		if i := slices.IndexFunc(old, func(o *queue) bool { return o.rank.Name == r.Name }); i >= 0 {
			q.waiting, q.credit, q.service = old[i].waiting, old[i].credit, old[i].service
			old = slices.Delete(slices.Clone(old), i, i+1)
		}
		a.ranks = append(a.ranks, q)
	}
	var gone []*AdmissionRequest
	for _, o := range old {
		gone = append(gone, o.waiting...)
	}
	return gone
}

// Admit starts a call, lets it wait, or refuses it. It returns true if the call may run now.
func (a *Admission) Admit(t *AdmissionRequest, now time.Time) (bool, *jaypitch.Error) {
	q := a.queue(t.Rank)
	if q == nil {
		return false, jaypitch.Errorf(jaypitch.CodeRouteWithdrawn, "rank %q is not held here", t.Rank)
	}
	left := t.Deadline.Sub(now)
	if left <= 0 {
		return false, jaypitch.Errorf(jaypitch.CodeDeadline, "the deadline passed %s ago", -left)
	}
	if a.inFlight < a.Limit() && a.waiting() == 0 {
		a.inFlight++
		return true, nil
	}
	if len(q.waiting) >= q.rank.Queue {
		return false, jaypitch.Errorf(jaypitch.CodeOverloaded, "%d calls of rank %q wait already", len(q.waiting), t.Rank)
	}
	if wait := a.ExpectedQueueTime(t.Rank) + q.timeNeeded(); wait > min(left, q.patience()) {
		return false, jaypitch.Errorf(jaypitch.CodeOverloaded, "the call would end in %s; %s are left, and the target bounds the wait", wait.Round(time.Millisecond), left.Round(time.Millisecond))
	}
	t.queued = true
	q.waiting = append(q.waiting, t)
	return false, nil
}

// Finish ends a call of a rank that held a slot for a time.
func (a *Admission) Finish(rank string, o Outcome, held time.Duration, now time.Time) {
	a.inFlight--
	switch o {
	case Shed:
		a.limit = max(1, a.limit*shedFactor)
		a.raisedAt = now
	case Served:
		a.service += serviceWeight * (float64(held.Microseconds()) - a.service)
		if q := a.queue(rank); q != nil {
			q.learn(float64(held.Microseconds()))
		}
		a.raise()
	case Failed:
	}
}

// Next takes the waiting calls that may start now, and those that can't end by their deadlines any more.
func (a *Admission) Next(now time.Time) (start, expired []*AdmissionRequest) {
	expired = a.expire(now)
	for a.inFlight < a.Limit() {
		q := a.choose()
		if q == nil {
			break
		}
		t := q.waiting[0]
		q.waiting = slices.Delete(q.waiting, 0, 1)
		t.queued = false
		a.inFlight++
		start = append(start, t)
	}
	return start, expired
}

// Cancel takes a call out of its queue; it returns false if the call isn't waiting any more.
func (a *Admission) Cancel(t *AdmissionRequest) bool {
	q := a.queue(t.Rank)
	if q == nil || !t.queued {
		return false
	}
	i := slices.Index(q.waiting, t)
	if i < 0 {
		return false
	}
	t.queued = false
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// ExpectedQueueTime estimates how long a call of a rank that arrives now would wait for a slot.
func (a *Admission) ExpectedQueueTime(rank string) time.Duration {
	ahead := 0
	for _, q := range a.ranks {
		ahead += len(q.waiting)
		if q.rank.Name != rank {
			continue
		}
		perCall := a.service / a.limit
		wait := float64(ahead+1) * perCall
		if q.rank.Floor > 0 {
			wait = min(wait+a.urgentPressure(q)*perCall, float64(len(q.waiting)+1)*perCall/q.rank.Floor)
		}
		return time.Duration(wait) * time.Microsecond
	}
	return 0
}

// RetryAfter is how long a sender should send no calls of a rank that was just refused.
func (a *Admission) RetryAfter(rank string) time.Duration {
	return min(max(a.ExpectedQueueTime(rank)/2, minHoldOff), maxHoldOff)
}

// Load is the share of the slots in use; over 1 if calls wait.
func (a *Admission) Load() float64 {
	return float64(a.inFlight+a.waiting()) / a.limit
}

// Limit is the number of calls that may run at once.
func (a *Admission) Limit() int {
	return max(1, int(a.limit))
}

// InProgress is the number of calls that hold slots.
func (a *Admission) InProgress() int {
	return a.inFlight
}

// Queued is the number of calls that wait.
func (a *Admission) Queued() int {
	return a.waiting()
}

// raise lets the limit grow back by one for each round of full slots.
func (a *Admission) raise() {
	if a.inFlight+1 >= a.Limit() {
		a.limit = min(float64(a.slots), a.limit+1/a.limit)
	}
}

// choose picks the rank whose call starts next: one whose credit is due, else the most urgent.
func (a *Admission) choose() *queue {
	var urgent, due *queue
	for _, q := range a.ranks {
		if len(q.waiting) == 0 {
			continue
		}
		q.credit = min(q.credit+q.rank.Floor, maxCredit)
		if urgent == nil {
			urgent = q
		}
		if q.credit >= 1 && (due == nil || q.credit > due.credit) {
			due = q
		}
	}
	if due == nil {
		due = urgent
	}
	if due != nil {
		due.credit = max(0, due.credit-1)
	}
	return due
}

// expire takes out calls that can't end by their deadlines any more, so that none is started in vain.
func (a *Admission) expire(now time.Time) []*AdmissionRequest {
	var expired []*AdmissionRequest
	for _, q := range a.ranks {
		latest := now.Add(q.timeNeeded())
		q.waiting = slices.DeleteFunc(q.waiting, func(t *AdmissionRequest) bool {
			late := !latest.Before(t.Deadline)
			if late {
				t.queued = false
				expired = append(expired, t)
			}
			return late
		})
	}
	return expired
}

// learn takes a time that a call held a slot into the mean of its rank.
func (q *queue) learn(us float64) {
	if q.service == 0 {
		q.service = us
	}
	q.service += serviceWeight * (us - q.service)
}

// patience is how long a call of this rank may take with its wait: its target, but always some of its own time.
func (q *queue) patience() time.Duration {
	return max(time.Duration(q.rank.TargetUS)*time.Microsecond, time.Duration(q.service*serviceMargin*minPatience)*time.Microsecond)
}

// timeNeeded is the time that has to be left for a call of this rank to be started.
func (q *queue) timeNeeded() time.Duration {
	return time.Duration(q.service*serviceMargin) * time.Microsecond
}

// urgentPressure is how many more urgent calls are expected to go first while a call of q waits.
func (a *Admission) urgentPressure(q *queue) float64 {
	n := 0
	for _, o := range a.ranks {
		if o == q {
			break
		}
		n += len(o.waiting)
	}
	return float64(n)
}

func (a *Admission) queue(rank string) *queue {
	for _, q := range a.ranks {
		if q.rank.Name == rank {
			return q
		}
	}
	return nil
}

func (a *Admission) waiting() int {
	n := 0
	for _, q := range a.ranks {
		n += len(q.waiting)
	}
	return n
}
