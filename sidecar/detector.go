package sidecar

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// prober asks sidecars that have gone silent for a sign of life.
type prober struct{ sidecar *Sidecar }

// probe asks one sidecar.
type probe struct {
	sidecar *Sidecar
	server  *schema.MeshServer
	wg      *sync.WaitGroup
}

// probeInterval is the time between two looks at who is silent.
const probeInterval = 100 * time.Millisecond

func (d *prober) run(ctx context.Context) {
	c := d.sidecar
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

func (q *probe) run(ctx context.Context) {
	defer q.wg.Done()
	c := q.sidecar
	if q.server.GetAddress() == c.settings.Load().GetSidecar().GetBackend() {
		c.dispatcher.RecordProbe(q.server.GetId(), true)
		return
	}
	err := c.hopClient.Probe(ctx, c.peerAddress(q.server.GetAddress()))
	if c.dispatcher.RecordProbe(q.server.GetId(), err == nil) {
		c.log.Info("sidecar taken for dead", zap.String("server", q.server.GetId()), zap.String("address", q.server.GetAddress()), zap.Error(err))
	}
}
