package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaypitch/jaypitch/spread"
)

// trust shares the decision whether this node may trust what it holds. It is safe for concurrent use.
type trust struct {
	now   func() time.Time
	start time.Time
	// readyTo is how long the last positive decision holds, in nanoseconds since start.
	readyTo atomic.Int64

	mu       sync.Mutex
	decision *spread.Confirmation
	changed  chan struct{}
	told     trustState
	sourceAt time.Time
}

// trustState is what those who wait are woken for.
type trustState struct {
	confirmed bool
	ready     bool
}

// readyWait bounds the wait of a call for a decision.
const readyWait = 1500 * time.Millisecond

func newTrust(now func() time.Time, giveUp time.Duration, serveUnconfirmed bool) *trust {
	at := now()
	return &trust{now: now, start: at, decision: spread.NewConfirmation(at.Add(giveUp), at, serveUnconfirmed), changed: make(chan struct{})}
}

// tick returns true if the process seems to have been paused.
func (t *trust) tick() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	paused := t.decision.Tick(t.now())
	t.update()
	return paused
}

// peer notes that a peer told all that it holds. SourceAge is negative if the peer knows of no answer of the source.
func (t *trust) peer(host string, confirmed bool, sourceAge time.Duration, others int, askedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decision.RecordPeer(host, confirmed, others, askedAt, t.now())
	if at := t.now().Add(-sourceAge); sourceAge >= 0 && at.After(t.sourceAt) {
		t.sourceAt = at
	}
	t.update()
}

// source notes that the source told all that it holds.
func (t *trust) source(others int, askedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decision.RecordSource(others, askedAt, t.now())
	t.sourceAt = t.now()
	t.update()
}

func (t *trust) confirmed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.decision.Confirmed() && !t.now().After(t.decision.FreshUntil())
}

// sourceAge is the time since the last answer of the source that this node knows of, or -1.
func (t *trust) sourceAge() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sourceAt.IsZero() {
		return -1
	}
	return t.now().Sub(t.sourceAt)
}

// await waits a bounded time until the node may take work.
func (t *trust) await(ctx context.Context) bool {
	if int64(t.now().Sub(t.start)) < t.readyTo.Load() {
		return true
	}
	timer := time.NewTimer(readyWait)
	defer timer.Stop()
	for {
		t.mu.Lock()
		ready := t.decision.Ready(t.now())
		changed := t.changed
		t.mu.Unlock()
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

// onChange returns a channel that is closed at the next change of the decision.
func (t *trust) onChange() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// update publishes the decision and wakes those who wait.
func (t *trust) update() {
	var to int64
	if t.decision.Ready(t.now()) {
		to = int64(t.decision.FreshUntil().Sub(t.start))
	}
	t.readyTo.Store(to)
	state := trustState{t.decision.Confirmed(), to > 0}
	if state == t.told {
		return
	}
	t.told = state
	close(t.changed)
	t.changed = make(chan struct{})
}

// ready says whether the node may take work now.
func (t *trust) ready() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.decision.Ready(t.now())
}
