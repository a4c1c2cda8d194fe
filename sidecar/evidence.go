package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/schema"
)

// maxEvidenceAge is the longest time since the last confirmation up to which a sidecar's finding counts as proof.
const maxEvidenceAge = 2 * time.Second

// find returns this sidecar's finding on a subject. It reads the table before it counts the requests in progress, so that a request
// that isn't counted used this table or a newer one.
func (c *Sidecar) find(s *schema.Subject) evidence.Finding {
	t := c.replica.Table()
	f := evidence.Finding{Host: c.settings.Load().GetSidecar().GetHost(), Revision: t.Version, LastRequestUS: -1,
		Confirmed: t.Version > 0 && !c.unconfirmed() && c.confirmation.age() <= maxEvidenceAge}
	if at := c.appliedAt.Load(); at != nil {
		f.SinceAppliedUS = c.now().Sub(*at).Microseconds()
	}
	if s.GetDataCentre() != "" {
		return c.findDataCentre(s.GetDataCentre(), f)
	}
	if s.GetBackend() != "" {
		v := t.Servers[s.GetBackend()]
		f.Enforced = v != nil && !v.GetDraining()
		return f
	}
	prefix := ""
	if s.GetRoute() != "" {
		prefix = "/" + s.GetRoute()
	}
	f.Enforced = t.HasRule(s.GetTeam(), prefix)
	inProgress, last := c.tracker.Count(s)
	if !f.Enforced {
		f.InProgress = inProgress
	}
	if !last.IsZero() {
		f.LastRequestUS = c.now().Sub(last).Microseconds()
	}
	return f
}

// Evidence queries every listed host and returns a report with a verdict. A host that does not respond prevents a proof. Hosts whose servers were
// removed count only if they respond, since most of them are gone together with their servers.
func (c *Sidecar) Evidence(ctx context.Context, s *schema.Subject) *evidence.Report {
	started := c.now()
	q := newFleetQuery(c)
	q.addRemoved(c)
	var asked []*schema.Target
	var results []func(*evidence.Aggregator)
	q.run(func(t *schema.Target) func() {
		finding, err := c.peerPoller.client.Find(ctx, t.GetHost(), t.GetAddress(), s)
		return func() {
			switch {
			case err == nil:
				results = append(results, func(a *evidence.Aggregator) { a.Add(finding) })
			case q.removed[t]:
				return
			default:
				results = append(results, func(a *evidence.Aggregator) { a.AddUnresponsive(t.GetHost(), err.Error()) })
			}
			asked = append(asked, t)
		}
	})
	aggregator := evidence.NewAggregator(asked)
	for _, add := range results {
		add(aggregator)
	}
	r := evidence.NewReport(s, asked, aggregator.Response())
	r.HostLists = []evidence.HostListStatus{{DataCentre: "store", Revision: c.replica.Revision(), SourceAgeMS: c.confirmation.age().Milliseconds()}}
	r.TookMS = float64(c.now().Sub(started).Microseconds()) / 1000
	return r
}

// handleEvidence serves the evidence report on the metrics listener, in the format of the node's operator listener.
func (c *Sidecar) handleEvidence(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s := &schema.Subject{Team: q.Get("team"), Route: q.Get("route"), Backend: q.Get("backend"), DataCentre: q.Get("data_centre")}
	named := 0
	for _, name := range []string{s.GetTeam(), s.GetBackend(), s.GetDataCentre()} {
		if name != "" {
			named++
		}
	}
	if named != 1 || q.Get("customer") != "" || q.Get("revision") != "" {
		http.Error(w, "a rule as HOST/PREFIX, a backend server or a data centre is needed", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout(r))
	defer cancel()
	c.writeJSON(w, c.Evidence(ctx, s))
}
