package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/schema"
)

// maxEvidenceAge is the age of the last word of the store up to which a sidecar's word is proof.
const maxEvidenceAge = 2 * time.Second

// find says what this sidecar enforces of a subject. The table is looked at before the requests in progress are counted.
func (c *Sidecar) find(s *schema.Subject) evidence.Finding {
	t := c.replica.Table()
	f := evidence.Finding{Host: c.settings.Load().GetSidecar().GetHost(), Revision: t.Version, LastRequestUS: -1,
		Confirmed: t.Version > 0 && c.unconfirmedSince.Load() == nil && c.confirmation.age() <= maxEvidenceAge}
	if at := c.appliedAt.Load(); at != nil {
		f.SinceAppliedUS = c.now().Sub(*at).Microseconds()
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
	inFlight, last := c.tracker.Count(s)
	if !f.Enforced {
		f.InProgress = inFlight
	}
	if !last.IsZero() {
		f.LastRequestUS = c.now().Sub(last).Microseconds()
	}
	return f
}

// Evidence asks every listed host and judges what they say; one that doesn't answer is never counted as proof.
func (c *Sidecar) Evidence(ctx context.Context, s *schema.Subject) *evidence.Report {
	started := c.now()
	g := newFleetQuery(c)
	fold := evidence.NewAggregator(g.targets)
	g.run(func(t *schema.Target) func() {
		found, err := c.peerPoller.client.Find(ctx, t.GetHost(), t.GetAddress(), s)
		return func() {
			if err != nil {
				fold.AddUnresponsive(t.GetHost(), err.Error())
				return
			}
			fold.Add(found)
		}
	})
	r := evidence.NewReport(s, g.targets, fold.Response())
	r.HostLists = []evidence.HostListStatus{{DataCentre: "store", Revision: c.replica.Revision(), SourceAgeMS: c.confirmation.age().Milliseconds()}}
	r.TookMS = float64(c.now().Sub(started).Microseconds()) / 1000
	return r
}

// handleEvidence answers operators on the metrics listener, as the node's operators' listener does.
func (c *Sidecar) handleEvidence(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s := &schema.Subject{Team: q.Get("team"), Route: q.Get("route"), Backend: q.Get("backend")}
	if (s.GetTeam() == "") == (s.GetBackend() == "") || q.Get("customer") != "" || q.Get("revision") != "" {
		http.Error(w, "a rule as HOST/PREFIX or a backend server is needed", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout(r))
	defer cancel()
	c.writeJSON(w, c.Evidence(ctx, s))
}
