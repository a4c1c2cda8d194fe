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
	source       jaypitch.MeshSource
	merge        func(jaypitch.MeshUpdate, string) mesh.Change
	revision     func() int64
	confirmation *confirmation
	// isReader says whether this sidecar waits at the store for changes.
	isReader  func() bool
	triggered chan struct{}
	now       func() time.Time
	maxWait   time.Duration
	log       *zap.Logger

	mu       sync.Mutex
	failures int
	requests int64
	// fullReads counts the calls that read everything.
	fullReads int64
	// failingSince is when the store began to fail; zero while it answers.
	failingSince    time.Time
	cancel          context.CancelFunc
	resyncRequested bool
}

const (
	// storeBatchDelay gathers changes that follow each other into one call; a change has 2 s to be in force.
	storeBatchDelay = 150 * time.Millisecond
	// roleCheckInterval is how often a sidecar that isn't a reader looks at its duty again.
	roleCheckInterval = 500 * time.Millisecond
	minRetryDelay     = 100 * time.Millisecond
	maxRetryDelay     = time.Second
	// longOutage is how long the store has to fail for its entries to have run out meanwhile: half of three beats.
	longOutage = 2 * time.Second
	// relistTime is the time within which live servers are listed again after an outage.
	relistTime = 2 * time.Second
)

// run reads everything once, unless that fails and others tell it, then watches: all the time as a reader, else when kicked.
func (w *watcher) run(ctx context.Context) {
	whole := true
	for ctx.Err() == nil {
		reader := w.isReader()
		if !whole && !reader && !w.awaitTrigger(ctx) {
			continue
		}
		before := w.revision()
		err := w.fetch(ctx, whole, reader)
		if ctx.Err() != nil {
			return
		}
		switch {
		case w.takeResync(), errors.Is(err, jaypitch.ErrCompacted):
			w.log.Info("reading everything again", zap.Int64("revision", before), zap.Error(err))
			whole = true
			continue
		case err != nil:
			w.backOff(ctx, err)
			// What others heard of the store since is as good as its own word.
			whole = whole && w.confirmation.age() > staleAge
			continue
		}
		whole = false
		if w.revision() > before {
			_ = jaypitch.Sleep(ctx, storeBatchDelay)
		}
	}
}

// awaitTrigger waits for a kick; it returns false if the duty has to be looked at again.
func (w *watcher) awaitTrigger(ctx context.Context) bool {
	t := time.NewTimer(roleCheckInterval)
	defer t.Stop()
	select {
	case <-w.triggered:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// trigger makes a sidecar that isn't a reader ask the store once.
func (w *watcher) trigger() {
	select {
	case w.triggered <- struct{}{}:
	default:
	}
}

// fetch makes one call and merges its answer. A reader waits for a change, for a time drawn anew so that readers answer by turns.
func (w *watcher) fetch(ctx context.Context, whole, reader bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asked := w.now()
	w.mu.Lock()
	w.cancel = cancel
	w.requests++
	if whole {
		w.fullReads++
	}
	w.mu.Unlock()
	var u jaypitch.MeshUpdate
	var err error
	confirmed := asked
	switch {
	case whole:
		u, err = w.source.Read(ctx)
	case !reader:
		u, err = w.source.Watch(ctx, w.revision(), asked)
	default:
		u, err = w.source.Watch(ctx, w.revision(), asked.Add(w.maxWait/2+rand.N(w.maxWait/2)))
		confirmed = w.now().Add(-storeBatchDelay)
	}
	if err != nil {
		return err
	}
	u.KeepMissingUntil = w.recordSuccess()
	w.merge(u, fromStore)
	w.confirmation.confirm(confirmed)
	return nil
}

// recordSuccess notes an answer; it returns until when servers that vanished in an outage are still used.
func (w *watcher) recordSuccess() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	var until time.Time
	if !w.failingSince.IsZero() {
		w.log.Info("store regained", zap.Duration("after", now.Sub(w.failingSince)), zap.Int("failures", w.failures))
		if now.Sub(w.failingSince) > longOutage {
			until = now.Add(relistTime)
		}
	}
	w.failingSince, w.failures = time.Time{}, 0
	return until
}

// failureCount returns how many times in a row the store has failureCount.
func (w *watcher) failureCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failures
}

// backOff notes a failure and waits, longer each time.
func (w *watcher) backOff(ctx context.Context, err error) {
	w.mu.Lock()
	if w.failingSince.IsZero() {
		w.failingSince = w.now()
		w.log.Warn("store lost", zap.Error(err))
	}
	span := min(minRetryDelay<<min(w.failures, 5), maxRetryDelay)
	w.failures++
	w.mu.Unlock()
	_ = jaypitch.Sleep(ctx, span/2+rand.N(span))
}

// resync cancels the call that waits and reads everything.
func (w *watcher) resync() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resyncRequested = true
	if w.cancel != nil {
		w.cancel()
	}
}

func (w *watcher) takeResync() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	was := w.resyncRequested
	w.resyncRequested = false
	return was
}

// fullReadCount returns the number of times that everything was read from the store.
func (w *watcher) fullReadCount() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fullReads
}

// requestCount returns the number of calls to the store.
func (w *watcher) requestCount() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.requests
}
