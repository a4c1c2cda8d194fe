package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/source"
)

// applier puts a table in force after each change.
type applier struct{ node *Node }

// ticker notes that the process runs, and sees that it was paused.
type ticker struct{ node *Node }

// prober asks the health endpoint of the backend server.
type prober struct{ node *Node }

// joiner finds peers after a start.
type joiner struct{ node *Node }

// polling keeps the long polls.
type polling struct{ node *Node }

// reading reads one collection of the source.
type reading struct {
	node   *Node
	reader *source.Reader
}

const (
	// batchPause gathers a burst of changes into one table.
	batchPause = 5 * time.Millisecond
	tickPause  = 250 * time.Millisecond
	// joinRetry is the mean wait between questions for the host list, at first.
	joinRetry    = 200 * time.Millisecond
	maxJoinRetry = 30 * time.Second
)

func (a *applier) run(ctx context.Context) {
	n := a.node
	defer n.wg.Done()
	var sequence uint64
	for {
		changed, now := n.store.Changed()
		if now != sequence {
			sequence = now
			n.apply()
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		_ = jaypitch.Sleep(ctx, batchPause)
	}
}

// apply puts everything accepted in force and lets the parts of the node follow.
func (n *Node) apply() {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	started := n.now()
	before := n.store.Table()
	t := n.store.Apply()
	if t == nil {
		return
	}
	if !maps.Equal(t.DataCentres, before.DataCentres) {
		n.setTopology(t)
		n.dispatcher.Prune(t)
	}
	n.receiver.Configure(t)
	own := t.HostIn(n.settings.GetNode().GetDataCentre(), n.settings.GetNode().GetHost())
	n.lifecycle.set(StopHostList, own == nil && n.ownSeen || own != nil && own.Draining)
	n.ownSeen = n.ownSeen || own != nil
	n.metrics.RecordApply(n.now().Sub(started))
}

func (t *ticker) run(ctx context.Context) {
	n := t.node
	defer n.wg.Done()
	for ctx.Err() == nil {
		if n.trust.tick() {
			n.log.Warn("paused", zap.Bool("confirmed", n.trust.confirmed()))
			n.metrics.RecordPause()
			n.poller.Resync()
		}
		_ = jaypitch.Sleep(ctx, tickPause)
	}
}

func (p *prober) run(ctx context.Context) {
	n := p.node
	defer n.wg.Done()
	n.server.Warm(ctx, int(n.settings.GetBackend().GetSlots()))
	healthy := true
	for ctx.Err() == nil {
		draining, err := n.server.Probe(ctx)
		if ctx.Err() != nil {
			return
		}
		n.receiver.SetHealth(err)
		if err == nil {
			n.lifecycle.set(StopBackend, draining)
		}
		if healthy != (err == nil) {
			healthy = err == nil
			n.log.Info("health endpoint", zap.Bool("healthy", healthy), zap.Error(err))
		}
		_ = jaypitch.Sleep(ctx, micros(n.settings.GetBackend().GetProbeUs()))
	}
}

// run asks the seeds, then the platform for the host list of this data centre. The first question to the
// platform is spread over the time in which it can answer the whole fleet.
func (j *joiner) run(ctx context.Context) {
	n := j.node
	defer n.wg.Done()
	if j.askSeeds(ctx) {
		return
	}
	s := n.settings.GetPlatform()
	spread := time.Duration(float64(s.GetFleetSize()) / float64(s.GetCallsPerSecond()) * float64(time.Second))
	_ = jaypitch.Sleep(ctx, rand.N(spread+1))
	key := jaypitch.HostListPrefix + n.settings.GetNode().GetDataCentre()
	wait := joinRetry
	for ctx.Err() == nil && !n.topology.Load().Listed {
		d, err := n.hostList.Get(ctx, key)
		if err == nil {
			n.store.Merge(d)
			n.apply()
		}
		_ = jaypitch.Sleep(ctx, rand.N(2*wait))
		wait = min(2*wait, maxJoinRetry)
	}
}

// askSeeds merges what the seeds hold; it returns true if this host turned out to be listed.
func (j *joiner) askSeeds(ctx context.Context) bool {
	n := j.node
	for _, address := range n.settings.GetPeer().GetSeeds() {
		if err := n.poller.Sync(ctx, address); err != nil {
			n.log.Info("seed", zap.String("address", address), zap.Error(err))
		}
	}
	n.apply()
	return n.topology.Load().Listed
}

func (p *polling) run(ctx context.Context) {
	defer p.node.wg.Done()
	p.node.poller.Run(ctx)
}

func (r *reading) run(ctx context.Context) {
	defer r.node.wg.Done()
	r.reader.Run(ctx)
}
