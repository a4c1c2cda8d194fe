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

// watcher keeps the replica up to date from the store.
type watcher struct {
	source jaypitch.MeshSource
	merge  func(jaypitch.MeshUpdate, string) mesh.Change
	// position returns the position of the replica.
	position     func() jaypitch.Position
	confirmation *confirmation
	// isReader reports whether this sidecar watches the store.
	isReader func() bool
	// seeded reports whether the settings name other hosts to get the state from.
	seeded func() bool
	// starting reports whether fewer hosts are known than there are readers.
	starting func() bool
	// triggered makes a sidecar that isn't a reader send one request to the store.
	triggered chan struct{}
	now       func() time.Time
	// readsAllPages reports whether this sidecar, which holds nothing yet, is one of those that read on after the first page.
	readsAllPages func(first jaypitch.MeshUpdate) bool
	// maxWait is the longest time that a reader's request waits for a change.
	maxWait time.Duration
	log     *zap.Logger

	mu sync.Mutex
	// failures is the number of consecutive failures of the store.
	failures int
	requests int64
	// fullReads counts the requests that read the full content of the store.
	fullReads int64
	// failedRequestAt is when the request was sent that failed last; zero if none did.
	failedRequestAt time.Time
	// failingSince is when the store began to fail; zero while it responds.
	failingSince time.Time
	// cancel ends the request in progress.
	cancel          context.CancelFunc
	resyncRequested bool
}

// errFirstPage is returned by fetch after it merged only the first page of the store.
var errFirstPage = errors.New("only the first page of the store was read")

const (
	// storeBatchDelay lets one request return changes that follow each other closely. A change has to be in force within 2 s.
	storeBatchDelay = 150 * time.Millisecond
	// startBatchDelay takes the place of storeBatchDelay while fewer hosts are known than there are readers, so that every sidecar watches: the hosts of a mesh that
	// starts register within less than that.
	startBatchDelay = 600 * time.Millisecond
	// roleCheckInterval is how often a sidecar that isn't a reader checks whether it has become one.
	roleCheckInterval = 500 * time.Millisecond
	minRetryDelay     = 100 * time.Millisecond
	maxRetryDelay     = time.Second
	// startDelay is how long a sidecar without seeds waits before it reads the store: it starts together with the whole mesh, whose servers need
	// about a second to register. Earlier reads would have to be repeated. It leaves time to be ready within two seconds.
	startDelay = 1500 * time.Millisecond
	// minPeersTime and maxPeersTime bound the random time that a sidecar which has read the first page waits for other sidecars to send it
	// the rest. Those that read all need a few round trips to the store, and the others get the state from them within two or three polls.
	minPeersTime = 500 * time.Millisecond
	maxPeersTime = 1500 * time.Millisecond
	// peersCheckInterval is how often it checks whether they did.
	peersCheckInterval = 20 * time.Millisecond
)

// run reads the full content of the store, or gets it from other sidecars after the first page, then watches for changes: all the time as a reader,
// otherwise when triggered. It skips the full read if that fails and peers have confirmed the replica within staleAge.
func (w *watcher) run(ctx context.Context) {
	full := true
	allPages := false // whether a full read goes on after the first page, since other sidecars didn't send the rest
	resync := false   // whether the next watch doesn't wait for a change, since the process was paused
	rereads := 0      // consecutive requests after which everything had to be read again
	if !w.seeded() {
		_ = jaypitch.Sleep(ctx, startDelay)
	}
	for ctx.Err() == nil {
		reader := w.isReader()
		if !full && !reader && !resync && !w.awaitTrigger(ctx) {
			continue
		}
		before, requestedAt := w.position(), w.now()
		// After a failure the watch doesn't wait either: its response shows that the store is back.
		err := w.fetch(ctx, full, allPages, reader && !resync && !w.failing())
		if ctx.Err() != nil {
			return
		}
		if resync = w.takeResync(); resync {
			continue
		}
		switch {
		case errors.Is(err, errFirstPage):
			full = !w.awaitPeers(ctx)
			allPages = full
			continue
		case errors.Is(err, jaypitch.ErrCompacted), errors.Is(err, jaypitch.ErrRestored):
			w.log.Info("reading everything again", zap.Int64("revision", before.Revision), zap.Error(err))
			if rereads > 0 {
				_ = jaypitch.Sleep(ctx, min(minRetryDelay<<min(rereads, 5), maxRetryDelay))
			}
			full = true
			rereads++
			continue
		case err != nil:
			w.backOff(ctx, err, requestedAt)
			// A confirmation by peers since then replaces the full read.
			full = full && w.confirmation.age() > staleAge
			continue
		}
		if !full {
			rereads = 0
		}
		full = false
		if w.position() != before {
			_ = jaypitch.Sleep(ctx, w.batchDelay())
		}
	}
}

// awaitPeers waits until other sidecars have sent the state of the store, as it was within staleAge. It returns false if they don't.
func (w *watcher) awaitPeers(ctx context.Context) bool {
	until := w.now().Add(minPeersTime + rand.N(maxPeersTime-minPeersTime))
	for ctx.Err() == nil && w.now().Before(until) {
		if w.position().Revision > 0 && w.confirmation.age() <= staleAge {
			w.clearTrigger()
			return true
		}
		_ = jaypitch.Sleep(ctx, peersCheckInterval)
	}
	return false
}

// awaitTrigger waits for a trigger. It returns false if the role has to be checked again.
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

// trigger makes a sidecar that isn't a reader send one request to the store.
func (w *watcher) trigger() {
	select {
	case w.triggered <- struct{}{}:
	default:
	}
}

// clearTrigger drops a trigger that a confirmation since then has made needless.
func (w *watcher) clearTrigger() {
	select {
	case <-w.triggered:
	default:
	}
}

// batchDelay returns the time until the next request after one that brought changes.
func (w *watcher) batchDelay() time.Duration {
	if w.starting() {
		return startBatchDelay
	}
	return storeBatchDelay
}

// fetch reads the store or watches it for changes, and merges the response. A watch that waits does so for a random time between half of maxWait
// and maxWait, so that the requests of the readers end at different times. Without allPages, a read of a sidecar that holds nothing yet
// may end after the first page, with errFirstPage.
func (w *watcher) fetch(ctx context.Context, full, allPages, wait bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	requestedAt := w.now()
	w.mu.Lock()
	w.cancel = cancel
	w.requests++
	if full {
		w.fullReads++
	}
	w.mu.Unlock()
	var u jaypitch.MeshUpdate
	var err error
	held := w.position()
	confirmedAt := requestedAt
	switch {
	case full:
		u, err = w.source.Read(ctx, func(first jaypitch.MeshUpdate) bool {
			return allPages || held.Revision > 0 || w.readsAllPages(first)
		})
	case !wait:
		u, err = w.source.Watch(ctx, held.Revision, requestedAt)
	default:
		u, err = w.source.Watch(ctx, held.Revision, requestedAt.Add(w.maxWait/2+rand.N(w.maxWait/2)))
		confirmedAt = w.now().Add(-storeBatchDelay)
	}
	if err != nil {
		return err
	}
	if !full && u.Era.Differs(held.Era) {
		return jaypitch.ErrRestored
	}
	w.recordSuccess()
	w.confirmation.recordResponse(requestedAt, confirmedAt)
	w.merge(u, fromStore)
	if full && !u.Full {
		return errFirstPage
	}
	w.confirmation.confirm(confirmedAt)
	return nil
}

// recordSuccess records a response of the store.
func (w *watcher) recordSuccess() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.failingSince.IsZero() {
		w.log.Info("store regained", zap.Duration("after", w.now().Sub(w.failingSince)), zap.Int("failures", w.failures))
	}
	w.failingSince, w.failures = time.Time{}, 0
}

// failing reports whether the latest request to the store failed.
func (w *watcher) failing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.failingSince.IsZero()
}

// outageFailureCount returns the number of consecutive failures of the store, or zero if it is known to have responded since: the outage has ended then,
// though this sidecar has had no reason to send a request.
func (w *watcher) outageFailureCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.confirmation.confirmedAfter(w.failedRequestAt) {
		return 0
	}
	return w.failures
}

// backOff records the failure of a request that was sent at a time and waits, for a longer time after each consecutive failure.
func (w *watcher) backOff(ctx context.Context, err error, requestedAt time.Time) {
	w.confirmation.recordFailure(requestedAt, w.now())
	w.mu.Lock()
	w.failedRequestAt = requestedAt
	if w.failingSince.IsZero() {
		w.failingSince = w.now()
		w.log.Warn("store lost", zap.Error(err))
	}
	delay := min(minRetryDelay<<min(w.failures, 5), maxRetryDelay)
	w.failures++
	w.mu.Unlock()
	_ = jaypitch.Sleep(ctx, delay/2+rand.N(delay))
}

// resync cancels the request in progress and requests one that doesn't wait for a change, to confirm the replica.
func (w *watcher) resync() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resyncRequested = true
	if w.cancel != nil {
		w.cancel()
	}
}

// takeResync reports whether a resync was requested, and clears the request.
func (w *watcher) takeResync() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	was := w.resyncRequested
	w.resyncRequested = false
	return was
}

// fullReadCount returns the number of requests that read the full content of the store.
func (w *watcher) fullReadCount() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fullReads
}

// requestCount returns the number of requests to the store.
func (w *watcher) requestCount() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.requests
}
