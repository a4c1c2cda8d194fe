package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/jaypitch/jaypitch"
)

// ticker detects that the process was paused, and does periodic cleanup.
type ticker struct {
	sidecar *Sidecar
	last    time.Duration
	ticks   int
}

const (
	tickInterval = 250 * time.Millisecond
	// minPause is how late a tick has to be to count as a pause of the process. Ticks are less late than that even on a machine short of
	// CPU time.
	minPause = 1500 * time.Millisecond
	// confirmTimeout is how long a process waits for a confirmation after a pause before it continues with its replica.
	confirmTimeout = time.Second
	// sweepTicks is the number of ticks between two sweeps of idle connections, and between two log lines about suppressed lines.
	sweepTicks = 4
)

func (t *ticker) run(ctx context.Context) {
	c := t.sidecar
	t.last = sinceBoot()
	for ctx.Err() == nil {
		_ = jaypitch.Sleep(ctx, t.untilNext())
		now := sinceBoot()
		if now-t.last > minPause {
			resumedAt := c.now()
			c.unconfirmedSince.Store(&resumedAt)
			c.confirmation.skipPause(resumedAt)
			c.log.Warn("paused", zap.Duration("for", now-t.last))
			c.receiver.DoubtCold()
			c.watcher.resync()
		}
		t.last = now
		c.lastTick.Store(int64(now))
		t.endUnconfirmed()
		if c.replica.Expire(c.now()) {
			c.applyEvacuations()
			c.receiver.ObserveTable()
		}
		if t.ticks++; t.ticks%sweepTicks == 0 {
			t.sweep()
		}
	}
}

// untilNext returns the time until the next tick. A server that stays in use until a time gets no requests after it, so no tick is later than that.
func (t *ticker) untilNext() time.Duration {
	c := t.sidecar
	if at := c.replica.NextExpiry(); !at.IsZero() {
		return min(tickInterval, max(0, at.Sub(c.now())))
	}
	return tickInterval
}

// endUnconfirmed ends the unconfirmed state after a pause, once the replica has been confirmed since then or confirmTimeout is over.
func (t *ticker) endUnconfirmed() {
	c := t.sidecar
	since := c.unconfirmedSince.Load()
	if since == nil {
		return
	}
	confirmed := c.confirmation.confirmedAfter(*since)
	if confirmed || c.now().Sub(*since) > confirmTimeout {
		c.unconfirmedSince.Store(nil)
		c.log.Info("confirmed after a pause", zap.Bool("store_heard", confirmed))
	}
}

func (t *ticker) sweep() {
	c := t.sidecar
	c.backendPool.CloseExpired()
	c.peerPool.CloseExpired()
	c.sweepLink()
	c.memory.observe()
	for kind, n := range c.logBudget.TakeSuppressed() {
		c.log.Info("lines left out", zap.String("kind", kind), zap.Int64("lines", n))
	}
}

// sinceBoot returns the time since the machine started, including the time that it was suspended.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
