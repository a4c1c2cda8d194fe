package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/mesh"
)

// watcher keeps the state up to date from the store.
type watcher struct {
	source jaypitch.MeshSource
	merge  func(jaypitch.MeshUpdate, string) mesh.Change
	held   func() int64
	fresh  *freshness
	// duty says whether this sidecar waits at the store for changes.
	duty   func() bool
	kicked chan struct{}
	now    func() time.Time
	wait   time.Duration
	log    *zap.Logger

	mu       sync.Mutex
	failures int
	calls    int64
	// wholes counts the calls that read everything.
	wholes int64
	// failingSince is when the store began to fail; zero while it answers.
	failingSince time.Time
	cancel       context.CancelFunc
	restart      bool
}

const (
	// batchPause gathers changes that follow each other into one call; a change has 2 s to be in force.
	batchPause = 150 * time.Millisecond
	// dutyPause is how often a sidecar that isn't a reader looks at its duty again.
	dutyPause = 500 * time.Millisecond
	minRetry  = 100 * time.Millisecond
	maxRetry  = time.Second
	// outageFrom is how long the store has to fail for its entries to have run out meanwhile: half of three beats.
	outageFrom = 2 * time.Second
	// returnTime is the time within which live servers are listed again after an outage.
	returnTime = 2 * time.Second
)

// run reads everything once, unless that fails and others tell it, then watches: all the time as a reader, else when kicked.
func (w *watcher) run(ctx context.Context) {
	whole := true
	for ctx.Err() == nil {
		reader := w.duty()
		if !whole && !reader && !w.await(ctx) {
			continue
		}
		before := w.held()
		err := w.ask(ctx, whole, reader)
		if ctx.Err() != nil {
			return
		}
		switch {
		case w.takeRestart(), errors.Is(err, jaypitch.ErrCompacted):
			w.log.Info("reading everything again", zap.Int64("revision", before), zap.Error(err))
			whole = true
			continue
		case err != nil:
			w.retreat(ctx, err)
			// What others heard of the store since is as good as its own word.
			whole = whole && w.fresh.age() > staleFrom
			continue
		}
		whole = false
		if w.held() > before {
			_ = jaypitch.Sleep(ctx, batchPause)
		}
	}
}

// await waits for a kick; it returns false if the duty has to be looked at again.
func (w *watcher) await(ctx context.Context) bool {
	t := time.NewTimer(dutyPause)
	defer t.Stop()
	select {
	case <-w.kicked:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// kick makes a sidecar that isn't a reader ask the store once.
func (w *watcher) kick() {
	select {
	case w.kicked <- struct{}{}:
	default:
	}
}

// ask makes one call and merges its answer. A reader waits for a change, for a time drawn anew so that readers answer by turns.
func (w *watcher) ask(ctx context.Context, whole, reader bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asked := w.now()
	w.mu.Lock()
	w.cancel = cancel
	w.calls++
	if whole {
		w.wholes++
	}
	w.mu.Unlock()
	var u jaypitch.MeshUpdate
	var err error
	confirmed := asked
	switch {
	case whole:
		u, err = w.source.Read(ctx)
	case !reader:
		u, err = w.source.Watch(ctx, w.held(), asked)
	default:
		u, err = w.source.Watch(ctx, w.held(), asked.Add(w.wait/2+rand.N(w.wait/2)))
		confirmed = w.now().Add(-batchPause)
	}
	if err != nil {
		return err
	}
	u.KeepMissingUntil = w.answered()
	w.merge(u, fromStore)
	w.fresh.confirm(confirmed)
	return nil
}

// answered notes an answer; it returns until when servers that vanished in an outage are still used.
func (w *watcher) answered() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	var until time.Time
	if !w.failingSince.IsZero() {
		w.log.Info("store regained", zap.Duration("after", now.Sub(w.failingSince)), zap.Int("failures", w.failures))
		if now.Sub(w.failingSince) > outageFrom {
			until = now.Add(returnTime)
		}
	}
	w.failingSince, w.failures = time.Time{}, 0
	return until
}

// failed returns how many times in a row the store has failed.
func (w *watcher) failed() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failures
}

// retreat notes a failure and waits, longer each time.
func (w *watcher) retreat(ctx context.Context, err error) {
	w.mu.Lock()
	if w.failingSince.IsZero() {
		w.failingSince = w.now()
		w.log.Warn("store lost", zap.Error(err))
	}
	span := min(minRetry<<min(w.failures, 5), maxRetry)
	w.failures++
	w.mu.Unlock()
	_ = jaypitch.Sleep(ctx, span/2+rand.N(span))
}

// again cancels the call that waits and reads everything.
func (w *watcher) again() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restart = true
	if w.cancel != nil {
		w.cancel()
	}
}

func (w *watcher) takeRestart() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	was := w.restart
	w.restart = false
	return was
}

// reads returns the number of times that everything was read from the store.
func (w *watcher) reads() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.wholes
}

// callCount returns the number of calls to the store.
func (w *watcher) callCount() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls
}
