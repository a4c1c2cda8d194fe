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
type prober struct{ sidecar *Sidecar }

// probe probes the sidecar beside one server.
type probe struct {
	sidecar *Sidecar
	server  *schema.MeshServer
	wg      *sync.WaitGroup
}

// probeInterval is the time between two rounds of probes.
const probeInterval = 100 * time.Millisecond

func (p *prober) run(ctx context.Context) {
	c := p.sidecar
	for ctx.Err() == nil {
		_ = jaypitch.Sleep(ctx, probeInterval)
		var wg sync.WaitGroup
		for _, v := range c.dispatcher.Unresponsive() {
			wg.Add(1)
			go (&probe{sidecar: c, server: v, wg: &wg}).run(ctx)
		}
		wg.Wait()
	}
}

func (p *probe) run(ctx context.Context) {
	defer p.wg.Done()
	c := p.sidecar
	if p.server.GetAddress() == c.settings.Load().GetSidecar().GetBackend() {
		c.dispatcher.RecordProbe(p.server.GetId(), true)
		return
	}
	err := c.hopClient.Probe(ctx, c.peerAddress(p.server.GetAddress()))
	if c.dispatcher.RecordProbe(p.server.GetId(), err == nil) {
		c.log.Info("sidecar taken for dead", zap.String("server", p.server.GetId()), zap.String("address", p.server.GetAddress()), zap.Error(err))
	}
}
