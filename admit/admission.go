// Package admit decides which requests to a backend server start, which are queued and which are refused. Admission serves the
// node family, Slots the sidecar family. The package has no clock and no socket: times are passed in.
package admit

import (
	"slices"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/settings"
)

// AdmissionRequest is one request for a slot of an Admission.
type AdmissionRequest struct {
	// Rank is the name of the priority class.
	Rank     string
	Deadline time.Time
	// Decision is for the caller of Admission, which sends nil when the queued request starts, or else the refusal.
	Decision chan *jaypitch.Error

	queued bool
}

// Admission assigns the slots of one backend server to queued requests. Urgent ranks go first, but each rank with queued requests
// gets at least the share of starts that its floor sets. The limit on requests in progress falls when the server sheds requests.
// It isn't safe for concurrent use.
type Admission struct {
	slots         int
	limit         float64
	inProgress    int
	ranks         []*queue
	meanServiceUS float64 // mean time that a request holds a slot, in microseconds
}

// queue holds the queued requests of one rank.
type queue struct {
	rank          *settings.Rank
	requests      []*AdmissionRequest // oldest first
	credit        float64             // starts that the rank's floor entitles it to; see nextQueue
	meanServiceUS float64             // mean time that a request of this rank holds a slot, in microseconds; 0 before the first one ends
}

// Outcome is how a started request ended.
type Outcome int

const (
	// Served requests got a response.
	Served Outcome = iota
	// Failed requests got no response.
	Failed
	// Shed requests were refused by the backend server.
	Shed
)

const (
	// shedFactor multiplies the limit when the backend server sheds a request.
	shedFactor = 0.8
	// admissionMeanWeight is the weight of the newest request in the mean service times of Admission.
	admissionMeanWeight = 0.05
	// serviceTimeMargin is the multiple of the mean service time that has to be left before the deadline for a request to start.
	serviceTimeMargin = 1.5
	// minDurationFactor bounds maxDuration from below, as a multiple of minTimeLeft.
	minDurationFactor = 1.25
	// admissionInitialMeanUS is the mean service time of Admission before the first request ends, in microseconds.
	admissionInitialMeanUS = 5000
	// minRetryAfter and maxRetryAfter bound the result of RetryAfter.
	minRetryAfter = 5 * time.Millisecond
	maxRetryAfter = 200 * time.Millisecond
	// maxCredit bounds the credit that a rank accumulates while requests of other ranks start.
	maxCredit = 2.0
)

// NewAdmission returns an admission for a backend server with a number of slots, without ranks.
func NewAdmission(slots int) *Admission {
	return &Admission{slots: slots, limit: float64(slots), meanServiceUS: admissionInitialMeanUS}
}

// Configure sets the ranks, most urgent first. Queued requests keep their places; those of removed ranks are returned.
func (a *Admission) Configure(ranks []*settings.Rank) []*AdmissionRequest {
	old := a.ranks
	a.ranks = make([]*queue, 0, len(ranks))
	for _, r := range ranks {
		q := &queue{rank: r}
		if i := slices.IndexFunc(old, func(o *queue) bool { return o.rank.Name == r.Name }); i >= 0 {
			q.requests, q.credit, q.meanServiceUS = old[i].requests, old[i].credit, old[i].meanServiceUS
			old = slices.Delete(slices.Clone(old), i, i+1)
		}
		a.ranks = append(a.ranks, q)
	}
	var removed []*AdmissionRequest
	for _, o := range old {
		removed = append(removed, o.requests...)
	}
	return removed
}

// Admit starts a request, queues it or refuses it. It reports whether the request starts now, and returns an error if it is refused.
func (a *Admission) Admit(t *AdmissionRequest, now time.Time) (bool, *jaypitch.Error) {
	q := a.queue(t.Rank)
	if q == nil {
		return false, jaypitch.Errorf(jaypitch.CodeRouteWithdrawn, "rank %q is not configured on this host", t.Rank)
	}
	left := t.Deadline.Sub(now)
	if left <= 0 {
		return false, jaypitch.Errorf(jaypitch.CodeDeadline, "the deadline passed %s ago", -left)
	}
	if a.inProgress < a.Limit() && a.queued() == 0 {
		a.inProgress++
		return true, nil
	}
	if len(q.requests) >= q.rank.Queue {
		return false, jaypitch.Errorf(jaypitch.CodeOverloaded, "%d requests of rank %q are queued already, and its queue is full", len(q.requests), t.Rank)
	}
	if expected := a.ExpectedQueueTime(t.Rank) + q.minTimeLeft(); expected > min(left, q.maxDuration()) {
		return false, jaypitch.Errorf(jaypitch.CodeOverloaded, "the request is expected to complete in %s, after the deadline in %s or the latency target of its rank",
			expected.Round(time.Millisecond), left.Round(time.Millisecond))
	}
	t.queued = true
	q.requests = append(q.requests, t)
	return false, nil
}

// Finish releases the slot that a request of a rank held for a duration. Only served requests count towards the mean service times.
func (a *Admission) Finish(rank string, o Outcome, held time.Duration) {
	a.inProgress--
	switch o {
	case Shed:
		a.limit = max(1, a.limit*shedFactor)
	case Served:
		a.meanServiceUS += admissionMeanWeight * (float64(held.Microseconds()) - a.meanServiceUS)
		if q := a.queue(rank); q != nil {
			q.updateMean(float64(held.Microseconds()))
		}
		a.raiseLimit()
	case Failed:
	}
}

// Next dequeues the requests that start now, and the expired ones, which can no longer complete by their deadlines.
func (a *Admission) Next(now time.Time) (start, expired []*AdmissionRequest) {
	expired = a.expire(now)
	for a.inProgress < a.Limit() {
		q := a.nextQueue()
		if q == nil {
			break
		}
		t := q.requests[0]
		q.requests = slices.Delete(q.requests, 0, 1)
		t.queued = false
		a.inProgress++
		start = append(start, t)
	}
	return start, expired
}

// Cancel removes a request from its queue. It reports whether the request was queued.
func (a *Admission) Cancel(t *AdmissionRequest) bool {
	q := a.queue(t.Rank)
	if q == nil || !t.queued {
		return false
	}
	i := slices.Index(q.requests, t)
	if i < 0 {
		return false
	}
	t.queued = false
	q.requests = slices.Delete(q.requests, i, i+1)
	return true
}

// ExpectedQueueTime estimates the queue time of a request of a rank that arrives now. It returns 0 for an unknown rank.
func (a *Admission) ExpectedQueueTime(rank string) time.Duration {
	ahead := 0
	for _, q := range a.ranks {
		ahead += len(q.requests)
		if q.rank.Name != rank {
			continue
		}
		timePerStart := a.meanServiceUS / a.limit
		queueTimeUS := float64(ahead+1) * timePerStart
		if q.rank.Floor > 0 {
			queueTimeUS = min(queueTimeUS+a.moreUrgent(q)*timePerStart, float64(len(q.requests)+1)*timePerStart/q.rank.Floor)
		}
		return time.Duration(queueTimeUS) * time.Microsecond
	}
	return 0
}

// RetryAfter is how long a sender should send no requests of a rank of which one was just refused.
func (a *Admission) RetryAfter(rank string) time.Duration {
	return min(max(a.ExpectedQueueTime(rank)/2, minRetryAfter), maxRetryAfter)
}

// Load is the number of requests in progress and queued as a share of the limit; over 1 if requests are queued.
func (a *Admission) Load() float64 {
	return float64(a.inProgress+a.queued()) / a.limit
}

// Limit is the number of requests that may be in progress at once: the number of slots, or fewer after the server shed requests.
func (a *Admission) Limit() int {
	return max(1, int(a.limit))
}

// InProgress is the number of requests that hold slots.
func (a *Admission) InProgress() int {
	return a.inProgress
}

// Queued is the number of queued requests.
func (a *Admission) Queued() int {
	return a.queued()
}

// raiseLimit raises the limit towards the number of slots, by one for each time that as many requests as the limit have ended.
// It does nothing while slots are free.
func (a *Admission) raiseLimit() {
	if a.inProgress+1 >= a.Limit() {
		a.limit = min(float64(a.slots), a.limit+1/a.limit)
	}
}

// nextQueue returns the queue whose request starts next: the one with the most credit if that is at least 1, else the most urgent.
// Each queue with requests gains its floor in credit per start, so that it gets at least that share of the starts.
// It returns nil if no request is queued.
func (a *Admission) nextQueue() *queue {
	var urgent, due *queue
	for _, q := range a.ranks {
		if len(q.requests) == 0 {
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

// expire dequeues requests that can no longer complete by their deadlines, so that no slot is spent on them.
func (a *Admission) expire(now time.Time) []*AdmissionRequest {
	var expired []*AdmissionRequest
	for _, q := range a.ranks {
		latest := now.Add(q.minTimeLeft())
		q.requests = slices.DeleteFunc(q.requests, func(t *AdmissionRequest) bool {
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

// updateMean includes the time that a request held a slot, in microseconds, in the mean of its rank.
func (q *queue) updateMean(us float64) {
	if q.meanServiceUS == 0 {
		q.meanServiceUS = us
	}
	q.meanServiceUS += admissionMeanWeight * (us - q.meanServiceUS)
}

// maxDuration is the longest time that a request of this rank may be expected to take, queued and in progress: the latency target,
// or a multiple of the service time if that is longer.
func (q *queue) maxDuration() time.Duration {
	return max(time.Duration(q.rank.TargetUS)*time.Microsecond, time.Duration(q.meanServiceUS*serviceTimeMargin*minDurationFactor)*time.Microsecond)
}

// minTimeLeft is the time that has to be left before the deadline for a request of this rank to start.
func (q *queue) minTimeLeft() time.Duration {
	return time.Duration(q.meanServiceUS*serviceTimeMargin) * time.Microsecond
}

// moreUrgent is how many more urgent requests are expected to arrive and start first while a request of q is queued: as many as
// are queued now.
func (a *Admission) moreUrgent(q *queue) float64 {
	n := 0
	for _, o := range a.ranks {
		if o == q {
			break
		}
		n += len(o.requests)
	}
	return float64(n)
}

// queue returns the queue of a rank, or nil if the rank is unknown.
func (a *Admission) queue(rank string) *queue {
	for _, q := range a.ranks {
		if q.rank.Name == rank {
			return q
		}
	}
	return nil
}

// queued returns the number of queued requests of all ranks.
func (a *Admission) queued() int {
	n := 0
	for _, q := range a.ranks {
		n += len(q.requests)
	}
	return n
}
