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

// burnCounter counts good and bad requests of the clients on this host, by service and rank. It is safe for concurrent use.
type burnCounter struct {
	mu      sync.Mutex
	counter *burn.Counter
}

// recordBurn counts a request that ended. Requests that ended before a destination was chosen, and those that the client
// canceled, spend no error budget.
func (c *Sidecar) recordBurn(r outbound.Record) {
	if r.Service == "" || r.Response.Code == jaypitch.CodeCallerGone {
		return
	}
	good := r.Response.Execution == jaypitch.Executed && r.Status < http.StatusInternalServerError && r.Took <= r.Target
	c.burnCounter.mu.Lock()
	defer c.burnCounter.mu.Unlock()
	c.burnCounter.counter.Add(r.Service, strconv.FormatInt(r.Rank, 10), c.settings.Load().GetBounds().GetObjectivePermille(), good, c.now())
}

// burnCounts returns the counts of this host.
func (c *Sidecar) burnCounts() []burn.Count {
	c.burnCounter.mu.Lock()
	defer c.burnCounter.mu.Unlock()
	return c.burnCounter.counter.Counts(c.now())
}

// Burn returns the error budget report over all listed hosts. It names the hosts that did not respond.
func (c *Sidecar) Burn(ctx context.Context) *burn.Report {
	q := newFleetQuery(c)
	var sum []burn.Count
	var unresponsive []string
	q.run(func(t *schema.Target) func() {
		counts, err := c.peerPoller.client.Burn(ctx, t.GetAddress())
		return func() {
			if err != nil {
				unresponsive = append(unresponsive, t.GetHost())
				return
			}
			sum = burn.Sum(sum, counts)
		}
	})
	return burn.NewReport(sum, len(q.targets), unresponsive)
}

// handleBurn serves the burn report on the metrics listener.
func (c *Sidecar) handleBurn(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout(r))
	defer cancel()
	c.writeJSON(w, c.Burn(ctx))
}
