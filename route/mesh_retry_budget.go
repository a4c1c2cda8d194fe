package route

import "time"

// MeshRetryBudget bounds the further attempts at the servers of each service. The bound holds for the whole fleet over any
// window; each sidecar keeps its own calls' share and an equal part of the slack, so that the sum keeps it.
// It isn't safe for concurrent use.
type MeshRetryBudget struct {
	ratio  float64
	slack  float64
	window time.Duration
	base   time.Time
	counts map[string]*quotaCount
}

// quotaCount is a ring of steps that together last one window.
type quotaCount struct {
	first, further [quotaSteps]float64
	step           int64
}

const (
	quotaSteps = 20
	// quotaShare is the part of the bound that is used; the rest is for repeats that the calls of repeated requests make.
	quotaShare = 0.45
)

// NewMeshRetryBudget makes a quota.
func NewMeshRetryBudget(ratio float64, slack int64, window time.Duration) *MeshRetryBudget {
	return &MeshRetryBudget{ratio: ratio * quotaShare, slack: float64(slack) * quotaShare, window: window, counts: map[string]*quotaCount{}}
}

// RecordRequest counts a request for a service.
func (q *MeshRetryBudget) RecordRequest(service string, now time.Time) {
	c := q.count(service, now)
	c.first[c.step%quotaSteps]++
}

// Spend allows one further attempt at a server of the service, if the bound is kept, and counts it.
func (q *MeshRetryBudget) Spend(service string, hosts int, now time.Time) bool {
	c := q.count(service, now)
	var first, further float64
	for i := range c.first {
		first += c.first[i]
		further += c.further[i]
	}
	if further+1 > q.ratio*first+q.slack/float64(max(1, hosts)) {
		return false
	}
	c.further[c.step%quotaSteps]++
	return true
}

// count returns the counts of a service with the steps that are over emptied.
func (q *MeshRetryBudget) count(service string, now time.Time) *quotaCount {
	if q.base.IsZero() {
		q.base = now
	}
	step := now.Sub(q.base).Nanoseconds() / (q.window.Nanoseconds() / quotaSteps)
	c := q.counts[service]
	if c == nil {
		c = &quotaCount{step: step}
		q.counts[service] = c
	}
	if step-c.step >= quotaSteps {
		c.first, c.further = [quotaSteps]float64{}, [quotaSteps]float64{}
		c.step = step
	}
	for c.step < step {
		c.step++
		c.first[c.step%quotaSteps], c.further[c.step%quotaSteps] = 0, 0
	}
	return c
}
