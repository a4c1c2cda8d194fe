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

// fleetQuery asks the sidecars beside all listed servers.
type fleetQuery struct {
	targets   []*schema.Target
	semaphore chan struct{}
	wg        sync.WaitGroup

	mu sync.Mutex
}

// hostQuery asks one of them.
type hostQuery struct {
	fleet  *fleetQuery
	target *schema.Target
	query  func(*schema.Target) func()
}

const (
	// maxConcurrentQueries is how many sidecars are asked at once for an operator.
	maxConcurrentQueries = 64
	// defaultOperatorTimeout and maxOperatorWait are how long an operator waits unless told otherwise, and at most.
	defaultOperatorTimeout = 3 * time.Second
	maxOperatorTimeout     = 30 * time.Second
)

// newFleetQuery lists the hosts to ask, each once.
func newFleetQuery(c *Sidecar) *fleetQuery {
	g := &fleetQuery{semaphore: make(chan struct{}, maxConcurrentQueries)}
	seen := map[netip.Addr]bool{}
	for _, v := range c.replica.Table().Servers {
		a, err := netip.ParseAddrPort(v.GetAddress())
		if err != nil || seen[a.Addr()] {
			continue
		}
		seen[a.Addr()] = true
		g.targets = append(g.targets, &schema.Target{Host: a.Addr().String(), Address: c.peerAddress(v.GetAddress())})
	}
	return g
}

// run asks all targets and waits; what ask returns takes the answer in, one at a time.
func (g *fleetQuery) run(ask func(*schema.Target) func()) {
	for _, t := range g.targets {
		g.wg.Add(1)
		g.semaphore <- struct{}{}
		go (&hostQuery{fleet: g, target: t, query: ask}).run()
	}
	g.wg.Wait()
}

func (a *hostQuery) run() {
	g := a.fleet
	defer g.wg.Done()
	take := a.query(a.target)
	<-g.semaphore
	g.mu.Lock()
	defer g.mu.Unlock()
	take()
}

// operatorTimeout reads how long an operator is willing to wait.
func operatorTimeout(r *http.Request) time.Duration {
	if d, err := time.ParseDuration(r.URL.Query().Get("timeout")); err == nil && d > 0 {
		return min(d, maxOperatorTimeout)
	}
	return defaultOperatorTimeout
}

// writeJSON writes an answer on the metrics listener, as the node's operators' listener does.
func (c *Sidecar) writeJSON(w http.ResponseWriter, answer any) {
	text, err := json.Marshal(answer)
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
