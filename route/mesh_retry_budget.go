package route

import "time"

// MeshRetryBudget bounds the retries and hedges at the servers of each service, in proportion to the service's requests plus a
// slack. The bound holds for all sidecars together over any window: each sidecar bounds its retries by its own requests and an
// equal part of the slack, so that the sum keeps the bound. It isn't safe for concurrent use.
type MeshRetryBudget struct {
	ratio  float64
	slack  float64
	window time.Duration
	base   time.Time // start of step 0
	counts map[string]*serviceCounts
}

// serviceCounts holds the numbers of requests and retries of a service in a ring of steps that together last one window.
type serviceCounts struct {
	requests, retries [windowSteps]float64
	step              int64
}

const (
	windowSteps = 20
	// budgetShare is the part of the bound that is used. The rest is for the additional requests that backend servers send while
	// they execute retried requests.
	budgetShare = 0.45
)

// NewMeshRetryBudget returns a budget for a bound of ratio retries per request, plus slack retries of all hosts together, per window.
func NewMeshRetryBudget(ratio float64, slack int64, window time.Duration) *MeshRetryBudget {
	return &MeshRetryBudget{ratio: ratio * budgetShare, slack: float64(slack) * budgetShare, window: window, counts: map[string]*serviceCounts{}}
}

// RecordRequest counts a request to a service.
func (q *MeshRetryBudget) RecordRequest(service string, now time.Time) {
	c := q.count(service, now)
	c.requests[c.step%windowSteps]++
}

// Spend reports whether the bound allows another retry at the service, and counts the retry if so. Hosts is the number of hosts
// that share the slack.
func (q *MeshRetryBudget) Spend(service string, hosts int, now time.Time) bool {
	c := q.count(service, now)
	var requests, retries float64
	for i := range c.requests {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	if retries+1 > q.ratio*requests+q.slack/float64(max(1, hosts)) {
		return false
	}
	c.retries[c.step%windowSteps]++
	return true
}

// count returns the counts of a service after it has cleared the steps that are older than the window.
func (q *MeshRetryBudget) count(service string, now time.Time) *serviceCounts {
	if q.base.IsZero() {
		q.base = now
	}
	step := now.Sub(q.base).Nanoseconds() / (q.window.Nanoseconds() / windowSteps)
	c := q.counts[service]
	if c == nil {
		c = &serviceCounts{step: step}
		q.counts[service] = c
	}
	if step-c.step >= windowSteps {
		c.requests, c.retries = [windowSteps]float64{}, [windowSteps]float64{}
		c.step = step
	}
	for c.step < step {
		c.step++
		c.requests[c.step%windowSteps], c.retries[c.step%windowSteps] = 0, 0
	}
	return c
}
