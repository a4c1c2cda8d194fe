package sidecar

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// reloader applies changes of the settings file: on a signal, before a request if the file looks changed, and once a second in any case.
type reloader struct {
	sidecar *Sidecar
	// load reads the settings and returns nil if they are unchanged. changed reports cheaply whether the file looks changed; it may be nil.
	load    func() (*schema.SidecarSettings, error)
	changed func() bool

	mu        sync.Mutex
	checkedAt time.Time
}

// Option configures a Sidecar.
type Option func(*Sidecar)

const (
	// reloadInterval is the time between two reads of the file that don't depend on its size and time of modification, which a change may leave
	// as they were.
	reloadInterval = time.Second
	// checkInterval bounds how often requests make the sidecar look at the file. A look takes a few microseconds.
	checkInterval = time.Millisecond
)

// WithSettingsCheck makes the sidecar look for a change of the settings before a request, so that no request gets the name of a service that was on
// this host before. Changed has to be cheap; the settings are read if it reports true.
func WithSettingsCheck(changed func() bool) Option {
	return func(c *Sidecar) { c.reloader.changed = changed }
}

// Reload reads the settings and applies them if they have changed.
func (c *Sidecar) Reload() {
	c.reloader.reload()
}

func (r *reloader) run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = jaypitch.Sleep(ctx, reloadInterval)
		r.reload()
	}
}

func (r *reloader) reload() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply()
}

// refresh applies the settings if the file looks changed. It looks once in checkInterval.
func (r *reloader) refresh() {
	if r.changed == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.sidecar.now()
	if now.Sub(r.checkedAt) < checkInterval {
		return
	}
	r.checkedAt = now
	if r.changed() {
		r.apply()
	}
}

// apply reads the settings and puts them in force if they have changed. The caller holds the lock.
func (r *reloader) apply() {
	c := r.sidecar
	s, err := r.load()
	if err != nil {
		if c.logBudget.Allow("reload", c.now()) {
			c.log.Error("settings refused, the last good ones stay", zap.Error(err))
		}
		return
	}
	old := c.settings.Load()
	if s == nil || s.String() == old.String() {
		return
	}
	c.settings.Store(s)
	c.log.Info("settings reloaded", zap.String("service", s.GetSidecar().GetService()), zap.String("service_before", old.GetSidecar().GetService()))
}
