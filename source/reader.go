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

// Assignment says whether and how often a node reads the source.
type Assignment struct {
	// Reads is true if the node is one of those that read the source.
	Reads bool
	// RequestsPerSecond is this node's share of the fleet's rate limit for the source. It covers both collections.
	RequestsPerSecond float64
}

// Reader merges the changes of one collection into the node's replica while the node is assigned to read the source.
type Reader struct {
	source       jaypitch.Source
	prefix       string
	replica      *settings.Replica
	assignment   func() Assignment
	onRead       func(requestedAt time.Time)
	now          func() time.Time
	log          *zap.Logger
	watchTimeout time.Duration
	limiter      *rate.Limiter

	mu     sync.Mutex
	status Status
	// accepted is the highest revision that the source has returned.
	accepted int64
	failures int
}

// Status is the state of a reader and of its source.
type Status struct {
	Reads bool `json:"reads"`
	// Revision is the source's revision in its last response.
	Revision int64 `json:"revision"`
	// RespondedAt is when the last response was received; zero before the first one.
	RespondedAt time.Time `json:"answered_at"`
	// RequestedAt is when the last request was sent whose response was not behind.
	RequestedAt time.Time `json:"-"`
	Failing     bool      `json:"failing"`
	Error       string    `json:"error,omitempty"`
	// Behind is true while the source returns older revisions than an accepted one.
	Behind bool `json:"behind"`
	// Requests is the number of requests sent to the source.
	Requests uint64 `json:"calls"`
}

// ReaderOption configures a Reader.
type ReaderOption func(*Reader)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 10 * time.Second
	// assignmentInterval is how often a node that isn't assigned to read the source checks its assignment.
	assignmentInterval = 200 * time.Millisecond
)

// WithWait sets how long one watch waits for a change; the default is 30 s.
func WithWait(d time.Duration) ReaderOption {
	return func(r *Reader) { r.watchTimeout = d }
}

// WithOnRead sets a function that is called after all changes of a response are merged, with the time of the request.
func WithOnRead(f func(requestedAt time.Time)) ReaderOption {
	return func(r *Reader) { r.onRead = f }
}

// NewReader returns a reader of the collection whose keys begin with the prefix. It calls assignment before each read.
func NewReader(source jaypitch.Source, prefix string, replica *settings.Replica, assignment func() Assignment, now func() time.Time, log *zap.Logger, options ...ReaderOption) *Reader {
	r := &Reader{source: source, prefix: prefix, replica: replica, assignment: assignment, now: now, log: log,
		watchTimeout: 30 * time.Second, onRead: func(time.Time) {}, limiter: rate.NewLimiter(0, 2)}
	for _, o := range options {
		o(r)
	}
	return r
}

// Run reads the source until the context ends.
func (r *Reader) Run(ctx context.Context) {
	r.run(ctx)
}

// Status returns the current status.
func (r *Reader) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

func (r *Reader) run(ctx context.Context) {
	for ctx.Err() == nil {
		a := r.assignment()
		r.setReads(a.Reads)
		if !a.Reads {
			_ = jaypitch.Sleep(ctx, assignmentInterval)
			continue
		}
		if err := r.awaitRate(ctx, a); err != nil {
			return
		}
		r.recordResult(ctx, r.readOnce(ctx))
	}
}

// awaitRate waits until the rate limit allows one more request. Each of the node's two readers, one per collection, gets half of the node's rate.
func (r *Reader) awaitRate(ctx context.Context, a Assignment) error {
	r.limiter.SetLimitAt(r.now(), rate.Limit(a.RequestsPerSecond/2))
	return r.limiter.Wait(ctx)
}

// readOnce watches once. At the first read, and after the source has compacted the history, it reads the whole collection instead.
func (r *Reader) readOnce(ctx context.Context) error {
	after := r.acceptedRevision()
	if after == 0 {
		return r.readAll(ctx)
	}
	requestedAt := r.now()
	changes, err := r.source.Watch(ctx, after, requestedAt.Add(r.watchTimeout))
	r.countRequest()
	if err != nil {
		return err
	}
	if changes.Compacted {
		return r.readAll(ctx)
	}
	r.replica.Merge(changes.Documents...)
	return r.recordRevision(changes.Revision, requestedAt)
}

// readAll lists the collection, reads each document that is newer than in the replica, and deletes those that are not listed.
func (r *Reader) readAll(ctx context.Context) error {
	requestedAt := r.now()
	list, err := r.source.List(ctx)
	r.countRequest()
	if err != nil {
		return err
	}
	for _, d := range list.Documents {
		if err := r.readDocument(ctx, d); err != nil {
			return err
		}
	}
	r.deleteAbsent(list)
	return r.recordRevision(list.Revision, requestedAt)
}

func (r *Reader) readDocument(ctx context.Context, d jaypitch.Document) error {
	if d.Deleted {
		r.replica.Merge(d)
		return nil
	}
	if e, ok := r.replica.Entry(d.Key); ok && e.Document.Revision >= d.Revision {
		return nil
	}
	if err := r.awaitRate(ctx, r.assignment()); err != nil {
		return err
	}
	document, err := r.source.Get(ctx, d.Key)
	r.countRequest()
	if err != nil {
		return err
	}
	r.replica.Merge(document)
	return nil
}

// deleteAbsent merges a tombstone with the list's revision for each key that the list lacks.
func (r *Reader) deleteAbsent(list jaypitch.Changes) {
	listed := map[string]bool{}
	for _, d := range list.Documents {
		listed[d.Key] = true
	}
	for _, e := range r.replica.Entries() {
		d := e.Document
		if strings.HasPrefix(d.Key, r.prefix) && !listed[d.Key] && !d.Deleted && d.Revision > 0 {
			r.replica.Merge(jaypitch.NewTombstone(d.Key, list.Revision))
		}
	}
}

// recordRevision records the revision of a response. If it is older than an accepted one, it is reported in the status and the error
// has CodeSourceBehind.
func (r *Reader) recordRevision(revision int64, requestedAt time.Time) error {
	r.mu.Lock()
	accepted := r.accepted
	behind := revision < r.accepted
	if behind != r.status.Behind {
		r.log.Warn("source revision fell behind or caught up", zap.Bool("behind", behind), zap.Int64("revision", revision), zap.Int64("accepted", r.accepted))
	}
	r.status.Behind = behind
	r.status.Revision = revision
	r.status.RespondedAt = r.now()
	if !behind {
		r.status.RequestedAt = requestedAt
	}
	r.accepted = max(r.accepted, revision)
	r.mu.Unlock()
	if behind {
		return jaypitch.Errorf(jaypitch.CodeSourceBehind, "the source returned revision %d; revision %d is already accepted", revision, accepted)
	}
	r.onRead(requestedAt)
	return nil
}

// recordResult records the result of a read. After a failure it waits for an exponential delay with full jitter.
func (r *Reader) recordResult(ctx context.Context, err error) {
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
	maxDelay := min(minBackoff<<min(r.failures, 10), maxBackoff)
	r.mu.Unlock()
	if failing {
		_ = jaypitch.Sleep(ctx, rand.N(maxDelay))
	}
}

func (r *Reader) acceptedRevision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

func (r *Reader) setReads(reads bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reads != r.status.Reads {
		r.log.Info("source assignment changed", zap.String("collection", r.prefix), zap.Bool("reads", reads))
	}
	r.status.Reads = reads
}

func (r *Reader) countRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.Requests++
}
