package source

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/settings"
)

// Assignment tells a reader what its node decided about reading the source.
type Assignment struct {
	Reads bool
	// RequestsPerSecond is this node's share of the source's call rate, for both collections.
	RequestsPerSecond float64
}

// Reader keeps a store up to date from one collection while the node has the duty to read it.
type Reader struct {
	source jaypitch.Source
	prefix string
	store  *settings.Replica
	duty   func() Assignment
	onRead func(askedAt time.Time)
	now    func() time.Time
	log    *zap.Logger
	wait   time.Duration
	budget *rate.Limiter

	mu       sync.Mutex
	status   Status
	revision int64
	failures int
}

// Status is what a reader knows of the source.
type Status struct {
	Reads bool `json:"reads"`
	// Revision is the source's revision at its last answer.
	Revision int64 `json:"revision"`
	// RespondedAt is zero before the first answer.
	RespondedAt time.Time `json:"answered_at"`
	// RequestedAt is when the last answered question was asked.
	RequestedAt time.Time `json:"-"`
	Failing     bool      `json:"failing"`
	Error       string    `json:"error,omitempty"`
	// Behind is true while the source answers with older revisions than accepted ones.
	Behind   bool   `json:"behind"`
	Requests uint64 `json:"calls"`
}

// ReaderOption changes a Reader that is being made.
type ReaderOption func(*Reader)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 10 * time.Second
	// idlePause is how often a node without the duty looks at it again.
	idlePause = 200 * time.Millisecond
)

// WithWait sets the longest wait of one watch.
func WithWait(d time.Duration) ReaderOption {
	return func(r *Reader) { r.wait = d }
}

// WithOnRead sets what is called after everything that the source told was merged.
func WithOnRead(f func(askedAt time.Time)) ReaderOption {
	return func(r *Reader) { r.onRead = f }
}

// NewReader makes a reader of the collection whose keys begin with the prefix.
func NewReader(source jaypitch.Source, prefix string, store *settings.Replica, duty func() Assignment, now func() time.Time, log *zap.Logger, options ...ReaderOption) *Reader {
	r := &Reader{source: source, prefix: prefix, store: store, duty: duty, now: now, log: log,
		wait: 30 * time.Second, onRead: func(time.Time) {}, budget: rate.NewLimiter(0, 2)}
	for _, o := range options {
		o(r)
	}
	return r
}

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) {
	r.run(ctx)
}

// Status returns what the reader knows of the source.
func (r *Reader) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

func (r *Reader) run(ctx context.Context) {
	for ctx.Err() == nil {
		d := r.duty()
		r.setReads(d.Reads)
		if !d.Reads {
			_ = jaypitch.Sleep(ctx, idlePause)
			continue
		}
		if err := r.spend(ctx, d); err != nil {
			return
		}
		r.note(ctx, r.readOnce(ctx))
	}
}

// spend waits until the node's budget allows one more call to the source.
func (r *Reader) spend(ctx context.Context, d Assignment) error {
	r.budget.SetLimitAt(r.now(), rate.Limit(d.RequestsPerSecond/2))
	return r.budget.Wait(ctx)
}

// readOnce watches once; after a loss of history it lists and reads what differs.
func (r *Reader) readOnce(ctx context.Context) error {
	after := r.known()
	if after == 0 {
		return r.readAll(ctx)
	}
	askedAt := r.now()
	changes, err := r.source.Watch(ctx, after, askedAt.Add(r.wait))
	r.count()
	if err != nil {
		return err
	}
	if changes.Compacted {
		return r.readAll(ctx)
	}
	r.store.Merge(changes.Documents...)
	return r.answered(changes.Revision, askedAt)
}

// readAll lists the collection and reads each value that is newer than what is held.
func (r *Reader) readAll(ctx context.Context) error {
	askedAt := r.now()
	list, err := r.source.List(ctx)
	r.count()
	if err != nil {
		return err
	}
	for _, d := range list.Documents {
		if err := r.readValue(ctx, d); err != nil {
			return err
		}
	}
	r.deleteAbsent(list)
	return r.answered(list.Revision, askedAt)
}

func (r *Reader) readValue(ctx context.Context, d jaypitch.Document) error {
	if d.Deleted {
		r.store.Merge(d)
		return nil
	}
	if e, ok := r.store.Entry(d.Key); ok && e.Document.Revision >= d.Revision {
		return nil
	}
	if err := r.spend(ctx, r.duty()); err != nil {
		return err
	}
	full, err := r.source.Get(ctx, d.Key)
	r.count()
	if err != nil {
		return err
	}
	r.store.Merge(full)
	return nil
}

// deleteAbsent marks keys that the list lacks as deleted at the list's revision.
func (r *Reader) deleteAbsent(list jaypitch.Changes) {
	listed := map[string]bool{}
	for _, d := range list.Documents {
		listed[d.Key] = true
	}
	for _, e := range r.store.Entries() {
		d := e.Document
		if strings.HasPrefix(d.Key, r.prefix) && !listed[d.Key] && !d.Deleted && d.Revision > 0 {
			r.store.Merge(jaypitch.NewTombstone(d.Key, list.Revision))
		}
	}
}

// answered notes the source's revision; a revision that went back is reported and not followed.
func (r *Reader) answered(revision int64, askedAt time.Time) error {
	r.mu.Lock()
	known := r.revision
	behind := revision < r.revision
	if behind != r.status.Behind {
		r.log.Warn("source revision", zap.Bool("behind", behind), zap.Int64("revision", revision), zap.Int64("accepted", r.revision))
	}
	r.status.Behind = behind
	r.status.Revision = revision
	r.status.RespondedAt = r.now()
	if !behind {
		r.status.RequestedAt = askedAt
	}
	r.revision = max(r.revision, revision)
	r.mu.Unlock()
	if behind {
		return jaypitch.Errorf(jaypitch.CodeSourceBehind, "the source is at revision %d; %d was accepted", revision, known)
	}
	r.onRead(askedAt)
	return nil
}

// note records the end of a read and waits after a failure, with full jitter.
func (r *Reader) note(ctx context.Context, err error) {
	r.mu.Lock()
	failing := err != nil
	if failing != r.status.Failing {
		r.log.Info("source", zap.String("collection", r.prefix), zap.Bool("failing", failing), zap.Error(err))
	}
	r.status.Failing = failing
	r.status.Error = ""
	r.failures++
	if !failing {
		r.failures = 0
	} else {
		r.status.Error = err.Error()
	}
	span := min(minBackoff<<min(r.failures, 10), maxBackoff)
	r.mu.Unlock()
	if failing {
		_ = jaypitch.Sleep(ctx, rand.N(span))
	}
}

func (r *Reader) known() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

func (r *Reader) setReads(reads bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reads != r.status.Reads {
		r.log.Info("source duty", zap.String("collection", r.prefix), zap.Bool("reads", reads))
	}
	r.status.Reads = reads
}

func (r *Reader) count() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.Requests++
}
