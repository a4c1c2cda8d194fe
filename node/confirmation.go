package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaypitch/jaypitch/topology"
)

// confirmation is a topology.Confirmation for concurrent use. It also tracks when the source last responded.
type confirmation struct {
	now   func() time.Time
	start time.Time
	// readyUntil is the time, in nanoseconds since start, until which the node may accept requests without another tick; zero if it may not.
	readyUntil atomic.Int64

	mu    sync.Mutex
	state *topology.Confirmation
	// changed is closed and replaced when published changes.
	changed   chan struct{}
	published readiness
	// sourceReadAt is when the source last responded, to this node or to a peer; zero if unknown.
	sourceReadAt time.Time
}

// readiness is the part of the state whose changes close the channel changed.
type readiness struct {
	confirmed bool
	ready     bool
}

// readyTimeout is the longest time for which a request waits until the node may accept it.
const readyTimeout = 1500 * time.Millisecond

func newConfirmation(now func() time.Time, timeout time.Duration, serveUnconfirmed bool) *confirmation {
	start := now()
	return &confirmation{now: now, start: start, state: topology.NewConfirmation(start.Add(timeout), start, serveUnconfirmed), changed: make(chan struct{})}
}

// tick records that the process is running. It reports whether the tick is late, as after a pause of the process.
func (c *confirmation) tick() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	paused := c.state.Tick(c.now())
	c.update()
	return paused
}

// recordPeer records that a peer's full state was merged. sourceAge is the peer's time since the source last responded; negative if unknown.
// The other parameters are those of topology.Confirmation.RecordPeer.
func (c *confirmation) recordPeer(host string, confirmed bool, sourceAge time.Duration, otherHosts int, requestedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.RecordPeer(host, confirmed, otherHosts, requestedAt, c.now())
	if at := c.now().Add(-sourceAge); sourceAge >= 0 && at.After(c.sourceReadAt) {
		c.sourceReadAt = at
	}
	c.update()
}

// recordSource records that the source's full state was merged.
func (c *confirmation) recordSource(otherHosts int, requestedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.RecordSource(otherHosts, requestedAt, c.now())
	c.sourceReadAt = c.now()
	c.update()
}

// confirmed reports whether the state is confirmed and the last tick is recent.
func (c *confirmation) confirmed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Confirmed() && !c.now().After(c.state.FreshUntil())
}

// sourceAge returns the time since the source's last known response, or -1 if there is none.
func (c *confirmation) sourceAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sourceReadAt.IsZero() {
		return -1
	}
	return c.now().Sub(c.sourceReadAt)
}

// awaitReady waits until the node may accept requests. It returns false after readyTimeout, or if the context ends.
func (c *confirmation) awaitReady(ctx context.Context) bool {
	if int64(c.now().Sub(c.start)) < c.readyUntil.Load() {
		return true
	}
	timer := time.NewTimer(readyTimeout)
	defer timer.Stop()
	for {
		c.mu.Lock()
		ready := c.state.Ready(c.now())
		changed := c.changed
		c.mu.Unlock()
		if ready {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// onChange returns a channel that is closed at the next change of the readiness.
func (c *confirmation) onChange() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// update stores the time until which the node is ready, and wakes the waiting goroutines if the readiness has changed.
func (c *confirmation) update() {
	var until int64
	if c.state.Ready(c.now()) {
		until = int64(c.state.FreshUntil().Sub(c.start))
	}
	c.readyUntil.Store(until)
	current := readiness{c.state.Confirmed(), until > 0}
	if current == c.published {
		return
	}
	c.published = current
	close(c.changed)
	c.changed = make(chan struct{})
}

// ready reports whether the node may accept requests now.
func (c *confirmation) ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Ready(c.now())
}
