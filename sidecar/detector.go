package sidecar

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// detector asks sidecars that have gone silent for a sign of life.
type detector struct{ sidecar *Sidecar }

// question asks one sidecar.
type question struct {
	sidecar *Sidecar
	server  *schema.MeshServer
	wg      *sync.WaitGroup
}

// detectPause is the time between two looks at who is silent.
const detectPause = 100 * time.Millisecond

func (d *detector) run(ctx context.Context) {
	c := d.sidecar
	for ctx.Err() == nil {
		_ = jaypitch.Sleep(ctx, detectPause)
		var wg sync.WaitGroup
		for _, v := range c.dispatcher.Unresponsive() {
			wg.Add(1)
			go (&question{sidecar: c, server: v, wg: &wg}).run(ctx)
		}
		wg.Wait()
	}
}

func (q *question) run(ctx context.Context) {
	defer q.wg.Done()
	c := q.sidecar
	if q.server.GetAddress() == c.settings.Load().GetSidecar().GetBackend() {
		c.dispatcher.RecordProbe(q.server.GetId(), true)
		return
	}
	err := c.hop.Probe(ctx, c.peerAddress(q.server.GetAddress()))
	if c.dispatcher.RecordProbe(q.server.GetId(), err == nil) {
		c.log.Info("sidecar taken for dead", zap.String("server", q.server.GetId()), zap.String("address", q.server.GetAddress()), zap.Error(err))
	}
}
