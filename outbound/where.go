package outbound

import (
	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/route"
)

// WhereReport tells where a request would go now, and why.
type WhereReport struct {
	Version  int64  `json:"version"`
	Rule     string `json:"rule"`
	Host     string `json:"host"`
	Prefix   string `json:"prefix"`
	Rank     int64  `json:"rank"`
	TargetMS int64  `json:"target_ms"`
	// TimeoutMS is the rule's timeout.
	TimeoutMS    int64              `json:"timeout_ms"`
	Destinations []WhereDestination `json:"destinations"`
}

// WhereDestination is a service that gets a share of a rule's requests.
type WhereDestination struct {
	Service string `json:"service"`
	// Share is the share of the rule's requests, from 0 to 1.
	Share      float64           `json:"share"`
	Candidates []route.Candidate `json:"candidates"`
	// Code and Reason are those of the refusal that a request would get; 0 and empty if a server would get it.
	Code   jaypitch.Code `json:"code"`
	Reason string        `json:"reason"`
	// RetryAfterMS is the least Retry-After of that refusal.
	RetryAfterMS float64 `json:"retry_after_ms"`
}

// Where reports where a request of a rule would go now. It sends nothing.
func (d *Dispatcher) Where(t *mesh.Table, rule *mesh.Rule) *WhereReport {
	r := &WhereReport{Version: t.Version, Rule: rule.GetName(), Host: rule.GetHost(), Prefix: rule.GetPrefix(), Rank: rule.GetRank(),
		TargetMS: rule.LatencyTarget().Milliseconds(), TimeoutMS: rule.Timeout().Milliseconds()}
	total := int64(0)
	for _, p := range rule.GetParts() {
		total += p.GetWeight()
	}
	for _, p := range rule.GetParts() {
		o := d.whereDestination(t, rule, p.GetService())
		o.Share = float64(p.GetWeight()) / float64(max(1, total))
		if len(rule.GetParts()) == 1 {
			o.Share = 1
		}
		r.Destinations = append(r.Destinations, o)
	}
	return r
}

func (d *Dispatcher) whereDestination(t *mesh.Table, rule *mesh.Rule, service string) WhereDestination {
	o := WhereDestination{Service: service, Candidates: []route.Candidate{}}
	if s := t.Services[service]; s != nil {
		d.mu.Lock()
		now := d.now()
		o.Candidates = d.picker.Explain(s, route.PickRequest{Rule: rule.GetName(), Rank: rule.GetRank(), LatencyTarget: rule.LatencyTarget(), Deadline: now.Add(rule.Timeout())}, now)
		d.mu.Unlock()
	}
	for _, c := range o.Candidates {
		if c.Skipped == "" {
			return o
		}
		if c.RetryAfterMS > 0 && (o.RetryAfterMS == 0 || c.RetryAfterMS < o.RetryAfterMS) {
			o.RetryAfterMS = c.RetryAfterMS
		}
	}
	o.Code, o.Reason = jaypitch.CodeNoBackend, "no server of the service accepts requests"
	if o.RetryAfterMS > 0 {
		o.Code, o.Reason = jaypitch.CodeOverloaded, "no server of the service has room for the rule"
	} else {
		o.RetryAfterMS = float64(defaultRetryAfter.Milliseconds())
	}
	o.RetryAfterMS = min(max(o.RetryAfterMS, float64(minRetryAfter.Milliseconds())), float64(maxRetryAfter.Milliseconds()))
	return o
}
