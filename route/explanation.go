package route

import (
	"math"
	"time"

	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/schema"
)

// Candidate describes what a sidecar would make of a server for a request now. Times are in milliseconds.
type Candidate struct {
	Server     string `json:"server"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Skipped is why the server would get no request; empty if it may get one.
	Skipped string `json:"skipped"`
	// RetryAfterMS is when the server may get a request again; 0 if that isn't known.
	RetryAfterMS float64 `json:"retry_after_ms"`
	// CostMS is the sum of the following terms. Other is what isn't one of them, such as failures.
	CostMS     float64 `json:"cost_ms"`
	MeanMS     float64 `json:"mean_ms"`
	LoadMS     float64 `json:"load_ms"`
	NetworkMS  float64 `json:"network_ms"`
	LimitMS    float64 `json:"limit_ms"`
	TransferMS float64 `json:"transfer_ms"`
	OtherMS    float64 `json:"other_ms"`
	// Load is the estimated number of requests per slot.
	Load float64 `json:"load"`
}

// Explain returns what Pick would make of each server of a service. It changes nothing.
func (c *MeshPicker) Explain(s *mesh.Service, q PickRequest, now time.Time) []Candidate {
	random := c.random
	c.random = func() float64 { return 0 }
	defer func() { c.random = random }()
	mean := c.meanLoad(s, now)
	out := make([]Candidate, 0, len(s.Servers))
	for _, v := range s.Servers {
		out = append(out, c.explain(v, mean, q, now))
	}
	return out
}

// explain describes one server.
func (c *MeshPicker) explain(v *schema.MeshServer, meanLoad float64, q PickRequest, now time.Time) Candidate {
	e := c.server(v, now)
	load := e.load(meanLoad, now)
	o := Candidate{Server: v.GetId(), Address: v.GetAddress(), DataCentre: v.GetDataCentre(), Load: load}
	cost := c.cost(v, meanLoad, q, now)
	wait := e.retryWait(q, now)
	_, refusing := e.refusing[q.Rule]
	switch {
	case e.unreachable:
		o.Skipped = "its sidecar is unreachable"
	case math.IsInf(cost, 1):
		o.Skipped, o.RetryAfterMS = "it is stopping, or another server has its address", milli(float64(e.avoidUntil.Sub(now).Microseconds()))
	case wait > 0 && refusing:
		o.Skipped, o.RetryAfterMS = "it refuses everything", milli(float64(wait.Microseconds()))
	case wait > 0:
		o.Skipped, o.RetryAfterMS = "it refused this rule or a more urgent one", milli(float64(wait.Microseconds()))
	}
	if math.IsInf(cost, 1) {
		return o
	}
	if w := e.limit.wait(now); o.Skipped == "" && w > 0 && now.Add(w+c.meanTimeAt(e, q.Rule, now)).After(q.Deadline) {
		o.Skipped, o.RetryAfterMS = "its rate limit has no room before the deadline", milli(float64(w.Microseconds()))
	}
	us := c.meanAt(e, q.Rule, now)
	utilisation := load + 1/float64(max(1, v.GetSlots()))
	o.MeanMS, o.LoadMS = milli(us), milli(us*(busyFactor*utilisation+max(0, utilisation-1)))
	o.NetworkMS, o.LimitMS = milli(e.networkTimeUS), milli(float64(e.limit.wait(now).Microseconds()))
	if v.GetDataCentre() != c.dataCentre {
		o.TransferMS = milli(c.transferCost(float64(q.BodyBytes)+c.rule(q.Rule).responseBytes, q))
	}
	o.CostMS = milli(cost)
	o.OtherMS = milli(cost) - o.MeanMS - o.LoadMS - o.NetworkMS - o.LimitMS - o.TransferMS
	if math.Abs(o.OtherMS) < 1e-6 {
		o.OtherMS = 0
	}
	return o
}

// milli converts microseconds to milliseconds.
func milli(us float64) float64 {
	return us / 1000
}
