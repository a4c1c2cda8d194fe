package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/jaypitch/jaypitch"
)

// ticker sees that the process was paused, and ends what was put off.
type ticker struct {
	sidecar *Sidecar
	last    time.Duration
	ticks   int
}

// reloader follows changes of the settings file, with or without a signal.
type reloader struct{ sidecar *Sidecar }

const (
	tickPause = 250 * time.Millisecond
	// pausedFrom is how late a tick has to be for the process to have been paused; a machine short of processor time is less late.
	pausedFrom = 1500 * time.Millisecond
	// confirmWait is how long a process that was paused waits for the store before it goes on with what it holds.
	confirmWait = time.Second
	// sweepTicks is how many ticks lie between two sweeps of kept connections, and between two lines on what the log left out.
	sweepTicks = 4
	reloadTime = time.Second
)

func (t *ticker) run(ctx context.Context) {
	c := t.sidecar
	t.last = bootTime()
	for ctx.Err() == nil {
		_ = jaypitch.Sleep(ctx, tickPause)
		now := bootTime()
		if now-t.last > pausedFrom {
			woke := c.now()
			c.unsure.Store(&woke)
			c.log.Warn("paused", zap.Duration("for", now-t.last))
			c.watcher.again()
		}
		t.last = now
		t.confirm()
		c.state.Expire(c.now())
		if t.ticks++; t.ticks%sweepTicks == 0 {
			t.sweep()
		}
	}
}

// confirm ends the doubt after a pause once the store was heard of since, or after a while.
func (t *ticker) confirm() {
	c := t.sidecar
	since := c.unsure.Load()
	if since == nil {
		return
	}
	answered := c.fresh.since(*since)
	if answered || c.now().Sub(*since) > confirmWait {
		c.unsure.Store(nil)
		c.log.Info("confirmed after a pause", zap.Bool("store_heard", answered))
	}
}

func (t *ticker) sweep() {
	c := t.sidecar
	c.backend.Sweep()
	c.others.Sweep()
	for kind, n := range c.budget.TakeSuppressed() {
		c.log.Info("lines left out", zap.String("kind", kind), zap.Int64("lines", n))
	}
}

func (r *reloader) run(ctx context.Context) {
	c := r.sidecar
	for ctx.Err() == nil {
		_ = jaypitch.Sleep(ctx, reloadTime)
		s, err := c.load()
		if err != nil {
			if c.budget.Allow("reload", c.now()) {
				c.log.Error("settings refused, the last good ones stay", zap.Error(err))
			}
			continue
		}
		old := c.settings.Load()
		if s == nil || s.String() == old.String() {
			continue
		}
		c.settings.Store(s)
		c.log.Info("settings reloaded", zap.String("service", s.GetSidecar().GetService()), zap.String("service_before", old.GetSidecar().GetService()))
	}
}

// bootTime is the time since the machine started, with the time that it was suspended.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
