package sidecar

import (
	"context"
	"net/http"
	"strconv"
	"sync"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/burn"
	"github.com/jaypitch/jaypitch/outbound"
	"github.com/jaypitch/jaypitch/schema"
)

// burnCounter counts good and bad requests of the callers on this host, by service and rank.
type burnCounter struct {
	mu      sync.Mutex
	counter *burn.Counter
}

// recordBurn notes the end of a request; one that the caller gave up, or that has no rule, owes nothing.
func (c *Sidecar) recordBurn(r outbound.Record) {
	if r.Service == "" || r.Response.Code == jaypitch.CodeCallerGone {
		return
	}
	good := r.Response.Execution == jaypitch.Executed && r.Status < http.StatusInternalServerError && r.Took <= r.Target
	c.burnCounter.mu.Lock()
	defer c.burnCounter.mu.Unlock()
	c.burnCounter.counter.Add(r.Service, strconv.FormatInt(r.Rank, 10), c.settings.Load().GetBounds().GetObjectivePermille(), good, c.now())
}

func (c *Sidecar) burnCounts() []burn.Count {
	c.burnCounter.mu.Lock()
	defer c.burnCounter.mu.Unlock()
	return c.burnCounter.counter.Counts(c.now())
}

// Burn gathers the counts of every listed host.
func (c *Sidecar) Burn(ctx context.Context) *burn.Report {
	g := newFleetQuery(c)
	var sum []burn.Count
	var silent []string
	g.run(func(t *schema.Target) func() {
		counts, err := c.peerPoller.client.Burn(ctx, t.GetAddress())
		return func() {
			if err != nil {
				silent = append(silent, t.GetHost())
				return
			}
			sum = burn.Sum(sum, counts)
		}
	})
	return burn.NewReport(sum, len(g.targets), silent)
}

// handleBurn answers operators on the metrics listener.
func (c *Sidecar) handleBurn(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout(r))
	defer cancel()
	c.writeJSON(w, c.Burn(ctx))
}
