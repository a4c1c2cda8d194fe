package sidecar

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// prober probes the sidecars that are unresponsive.
type prober struct {
	sidecar *Sidecar

	mu sync.Mutex
	// inProgress holds the IDs of the servers whose sidecar is being probed.
	inProgress map[string]bool
}

// probe probes the sidecar beside one server.
type probe struct {
	prober *prober
	server *schema.MeshServer
	wg     *sync.WaitGroup
}

// probeInterval is the time between two rounds of probes. Probes of a round don't wait for those of the one before, since some
// take longer: see route.MeshPicker.ProbeTimeout.
const probeInterval = 100 * time.Millisecond

func (p *prober) run(ctx context.Context) {
	c := p.sidecar
	var wg sync.WaitGroup
	for ctx.Err() == nil {
		_ = jaypitch.Sleep(ctx, probeInterval)
		for _, v := range c.dispatcher.Unresponsive() {
			if p.begin(v.GetId()) {
				wg.Add(1)
				go (&probe{prober: p, server: v, wg: &wg}).run(ctx)
			}
		}
	}
	wg.Wait()
}

// begin reports whether no probe of the server's sidecar was in progress, and records that one is.
func (p *prober) begin(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inProgress[id] {
		return false
	}
	p.inProgress[id] = true
	return true
}

func (p *prober) end(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inProgress, id)
}

func (p *probe) run(ctx context.Context) {
	defer p.wg.Done()
	c, id := p.prober.sidecar, p.server.GetId()
	defer p.prober.end(id)
	if p.server.GetAddress() == c.settings.Load().GetSidecar().GetBackend() {
		c.dispatcher.RecordProbe(id, true)
		return
	}
	err := c.hopClient.Probe(ctx, c.peerAddress(p.server.GetAddress()), c.dispatcher.ProbeTimeout(id))
	if c.dispatcher.RecordProbe(id, err == nil) {
		c.log.Info("sidecar taken for dead", zap.String("server", id), zap.String("address", p.server.GetAddress()), zap.Error(err))
	}
}
