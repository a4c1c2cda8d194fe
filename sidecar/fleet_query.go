package sidecar

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/jaypitch/jaypitch/schema"
)

// fleetQuery queries the sidecars beside all listed servers.
type fleetQuery struct {
	targets []*schema.Target
	// removed holds further hosts, whose servers were removed.
	removed   map[*schema.Target]bool
	seen      map[netip.Addr]bool
	semaphore chan struct{}
	wg        sync.WaitGroup

	mu sync.Mutex
}

// hostQuery queries one sidecar of a fleet query.
type hostQuery struct {
	fleet  *fleetQuery
	target *schema.Target
	query  func(*schema.Target) func()
}

const (
	// maxConcurrentQueries bounds the sidecars that are queried at the same time for one report.
	maxConcurrentQueries = 64
	// defaultOperatorTimeout applies if a request for a report has no timeout; maxOperatorTimeout bounds the timeout of a request.
	defaultOperatorTimeout = 3 * time.Second
	maxOperatorTimeout     = 30 * time.Second
)

// newFleetQuery returns a query of every listed host; each host is queried once.
func newFleetQuery(c *Sidecar) *fleetQuery {
	q := &fleetQuery{semaphore: make(chan struct{}, maxConcurrentQueries), removed: map[*schema.Target]bool{}, seen: map[netip.Addr]bool{}}
	for _, v := range c.replica.Table().Servers {
		q.add(c, v.GetAddress())
	}
	return q
}

// add adds the host of a server, unless it is among the targets already. It returns the new target, or nil.
func (q *fleetQuery) add(c *Sidecar, server string) *schema.Target {
	a, err := netip.ParseAddrPort(server)
	if err != nil || q.seen[a.Addr()] {
		return nil
	}
	q.seen[a.Addr()] = true
	t := &schema.Target{Host: a.Addr().String(), Address: c.peerAddress(server)}
	q.targets = append(q.targets, t)
	return t
}

// addRemoved adds the hosts whose servers were removed. The sidecars there may still serve clients, and may hear of a change later than others.
func (q *fleetQuery) addRemoved(c *Sidecar) {
	for _, server := range c.replica.RemovedAddresses() {
		if t := q.add(c, server); t != nil {
			q.removed[t] = true
		}
	}
}

// run queries all targets and waits for them. query returns a function that processes the result; these functions run one at a time.
func (q *fleetQuery) run(query func(*schema.Target) func()) {
	for _, t := range q.targets {
		q.wg.Add(1)
		q.semaphore <- struct{}{}
		go (&hostQuery{fleet: q, target: t, query: query}).run()
	}
	q.wg.Wait()
}

func (h *hostQuery) run() {
	q := h.fleet
	defer q.wg.Done()
	process := h.query(h.target)
	<-q.semaphore
	q.mu.Lock()
	defer q.mu.Unlock()
	process()
}

// operatorTimeout returns the timeout of an operator's request.
func operatorTimeout(r *http.Request) time.Duration {
	if d, err := time.ParseDuration(r.URL.Query().Get("timeout")); err == nil && d > 0 {
		return min(d, maxOperatorTimeout)
	}
	return defaultOperatorTimeout
}

// writeJSON writes a report as JSON.
func (c *Sidecar) writeJSON(w http.ResponseWriter, report any) {
	text, err := json.Marshal(report)
	if err != nil {
		c.log.Error("answer for an operator", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if _, err := w.Write(text); err != nil {
		c.log.Info("answer for an operator", zap.Error(err))
	}
}
