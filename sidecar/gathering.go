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

// gathering asks the sidecars beside all listed servers.
type gathering struct {
	targets []*schema.Target
	places  chan struct{}
	wg      sync.WaitGroup

	mu sync.Mutex
}

// asker asks one of them.
type asker struct {
	gathering *gathering
	target    *schema.Target
	ask       func(*schema.Target) func()
}

const (
	// askedTogether is how many sidecars are asked at once for an operator.
	askedTogether = 64
	// operatorWait and maxOperatorWait are how long an operator waits unless told otherwise, and at most.
	operatorWait    = 3 * time.Second
	maxOperatorWait = 30 * time.Second
)

// newGathering lists the hosts to ask, each once.
func newGathering(c *Sidecar) *gathering {
	g := &gathering{places: make(chan struct{}, askedTogether)}
	seen := map[netip.Addr]bool{}
	for _, v := range c.state.Table().Servers {
		a, err := netip.ParseAddrPort(v.GetAddress())
		if err != nil || seen[a.Addr()] {
			continue
		}
		seen[a.Addr()] = true
		g.targets = append(g.targets, &schema.Target{Host: a.Addr().String(), Address: c.peerAddress(v.GetAddress())})
	}
	return g
}

// each asks all targets and waits; what ask returns takes the answer in, one at a time.
func (g *gathering) each(ask func(*schema.Target) func()) {
	for _, t := range g.targets {
		g.wg.Add(1)
		g.places <- struct{}{}
		go (&asker{gathering: g, target: t, ask: ask}).run()
	}
	g.wg.Wait()
}

func (a *asker) run() {
	g := a.gathering
	defer g.wg.Done()
	take := a.ask(a.target)
	<-g.places
	g.mu.Lock()
	defer g.mu.Unlock()
	take()
}

// operatorWaits reads how long an operator is willing to wait.
func operatorWaits(r *http.Request) time.Duration {
	if d, err := time.ParseDuration(r.URL.Query().Get("timeout")); err == nil && d > 0 {
		return min(d, maxOperatorWait)
	}
	return operatorWait
}

// answerOperator writes an answer on the metrics listener, as the node's operators' listener does.
func (c *Sidecar) answerOperator(w http.ResponseWriter, answer any) {
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
