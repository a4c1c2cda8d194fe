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

// burning counts good and bad requests of the callers on this host, by service and rank.
type burning struct {
	mu      sync.Mutex
	counter *burn.Counter
}

// count notes the end of a request; one that the caller gave up, or that has no rule, owes nothing.
func (c *Sidecar) count(r outbound.Record) {
	if r.Service == "" || r.Response.Code == jaypitch.CodeCallerGone {
		return
	}
	good := r.Response.Execution == jaypitch.Executed && r.Status < http.StatusInternalServerError && r.Took <= r.Target
	c.burning.mu.Lock()
	defer c.burning.mu.Unlock()
	c.burning.counter.Add(r.Service, strconv.FormatInt(r.Rank, 10), c.settings.Load().GetBounds().GetObjectivePermille(), good, c.now())
}

func (c *Sidecar) burnCounts() []burn.Count {
	c.burning.mu.Lock()
	defer c.burning.mu.Unlock()
	return c.burning.counter.Counts(c.now())
}

// Burn gathers the counts of every listed host.
func (c *Sidecar) Burn(ctx context.Context) *burn.Report {
	g := newGathering(c)
	var sum []burn.Count
	var silent []string
	g.each(func(t *schema.Target) func() {
		counts, err := c.follower.client.Burn(ctx, t.GetAddress())
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

// answerBurn answers operators on the metrics listener.
func (c *Sidecar) answerBurn(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorWaits(r))
	defer cancel()
	c.answerOperator(w, c.Burn(ctx))
}
