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

// applier replaces the routing table after changes of the replica.
type applier struct{ node *Node }

// ticker ticks the confirmation, which detects pauses of the process by a late tick.
type ticker struct{ node *Node }

// prober requests the health endpoint of the backend server.
type prober struct{ node *Node }

// joiner reads the host lists after the start, from seeds or the platform.
type joiner struct{ node *Node }

// pollLoop polls the parents of the node.
type pollLoop struct{ node *Node }

// readLoop reads one collection of the source.
type readLoop struct {
	node   *Node
	reader *source.Reader
}

const (
	// batchDelay is the wait before a new table is built, so that a burst of changes leads to a single table.
	batchDelay   = 5 * time.Millisecond
	tickInterval = 250 * time.Millisecond
	// initialJoinDelay is the mean wait between the first two requests for the host list. It doubles with each request, up to maxJoinDelay.
	initialJoinDelay = 200 * time.Millisecond
	maxJoinDelay     = 30 * time.Second
)

func (a *applier) run(ctx context.Context) {
	n := a.node
	defer n.wg.Done()
	var sequence uint64
	for {
		changed, newest := n.replica.Changed()
		if newest != sequence {
			sequence = newest
			n.apply()
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		_ = jaypitch.Sleep(ctx, batchDelay)
	}
}

// apply replaces the routing table by one built from the replica, if that has changed, and updates the parts of the node that depend on it.
func (n *Node) apply() {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	started := n.now()
	before := n.replica.Table()
	t := n.replica.Apply()
	if t == nil {
		return
	}
	if !maps.Equal(t.DataCentres, before.DataCentres) {
		n.setTopology(t)
		n.dispatcher.Prune(t)
	}
	n.receiver.Configure(t)
	self := t.HostIn(n.settings.GetNode().GetDataCentre(), n.settings.GetNode().GetHost())
	n.lifecycle.set(StopHostList, self == nil && n.wasListed || self != nil && self.Draining)
	n.wasListed = n.wasListed || self != nil
	n.metrics.RecordApply(n.now().Sub(started))
}

func (t *ticker) run(ctx context.Context) {
	n := t.node
	defer n.wg.Done()
	for ctx.Err() == nil {
		if n.confirmation.tick() {
			n.log.Warn("paused", zap.Bool("confirmed", n.confirmation.confirmed()))
			n.metrics.RecordPause()
			n.poller.Resync()
		}
		_ = jaypitch.Sleep(ctx, tickInterval)
	}
}

func (p *prober) run(ctx context.Context) {
	n := p.node
	defer n.wg.Done()
	n.backendClient.Warm(ctx, int(n.settings.GetBackend().GetSlots()))
	healthy := true
	for ctx.Err() == nil {
		draining, err := n.backendClient.Probe(ctx)
		if ctx.Err() != nil {
			return
		}
		n.receiver.SetHealth(err)
		if err == nil {
			n.lifecycle.set(StopBackend, draining)
		}
		if healthy != (err == nil) {
			healthy = err == nil
			n.log.Info("backend server health changed", zap.Bool("healthy", healthy), zap.Error(err))
		}
		_ = jaypitch.Sleep(ctx, fromMicros(n.settings.GetBackend().GetProbeUs()))
	}
}

// run synchronizes with the seeds. If that doesn't yield a host list that contains this host, it requests the list of this data
// centre from the platform. The first request is delayed at random, at most by the time that the platform needs to
// serve the whole fleet at its rate limit.
func (j *joiner) run(ctx context.Context) {
	n := j.node
	defer n.wg.Done()
	if j.syncSeeds(ctx) {
		return
	}
	s := n.settings.GetPlatform()
	maxInitialDelay := time.Duration(float64(s.GetFleetSize()) / float64(s.GetCallsPerSecond()) * float64(time.Second))
	_ = jaypitch.Sleep(ctx, rand.N(maxInitialDelay+1))
	key := jaypitch.HostListPrefix + n.settings.GetNode().GetDataCentre()
	delay := initialJoinDelay
	for ctx.Err() == nil && !n.topology.Load().Listed {
		d, err := n.hostList.Get(ctx, key)
		if err == nil {
			n.replica.Merge(d)
			n.apply()
		}
		_ = jaypitch.Sleep(ctx, rand.N(2*delay))
		delay = min(2*delay, maxJoinDelay)
	}
}

// syncSeeds synchronizes with all seeds. It reports whether a host list then contains this host.
func (j *joiner) syncSeeds(ctx context.Context) bool {
	n := j.node
	for _, address := range n.settings.GetPeer().GetSeeds() {
		if err := n.poller.Sync(ctx, address); err != nil {
			n.log.Info("seed", zap.String("address", address), zap.Error(err))
		}
	}
	n.apply()
	return n.topology.Load().Listed
}

func (p *pollLoop) run(ctx context.Context) {
	defer p.node.wg.Done()
	p.node.poller.Run(ctx)
}

func (r *readLoop) run(ctx context.Context) {
	defer r.node.wg.Done()
	r.reader.Run(ctx)
}
