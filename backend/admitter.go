package backend

import (
	"context"
	"sync"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/admit"
	"github.com/jaypitch/jaypitch/settings"
)

// admitter makes an Admission safe for concurrent use and blocks requests until they are admitted.
type admitter struct {
	now func() time.Time

	mu        sync.Mutex
	admission *admit.Admission
}

// slot is a slot of the backend server that a request holds. Only the first call of release has an effect.
type slot struct {
	admitter *admitter
	rank     string
	started  time.Time
	once     sync.Once
}

// acquire waits for a slot. It returns an error if the request is refused, its deadline passes or the context ends.
func (a *admitter) acquire(ctx context.Context, rank string, deadline time.Time) (*slot, *jaypitch.Error) {
	t := &admit.AdmissionRequest{Rank: rank, Deadline: deadline, Decision: make(chan *jaypitch.Error, 1)}
	a.mu.Lock()
	started, refused := a.admission.Admit(t, a.now())
	a.mu.Unlock()
	if refused != nil {
		return nil, refused
	}
	if !started {
		if refused := a.await(ctx, t); refused != nil {
			return nil, refused
		}
	}
	return &slot{admitter: a, rank: rank, started: a.now()}, nil
}

// await waits until the queued request is admitted or refused, its deadline passes or the context ends.
func (a *admitter) await(ctx context.Context, t *admit.AdmissionRequest) *jaypitch.Error {
	timer := time.NewTimer(t.Deadline.Sub(a.now()))
	defer timer.Stop()
	select {
	case e := <-t.Decision:
		return e
	case <-timer.C:
	case <-ctx.Done():
	}
	a.mu.Lock()
	queued := a.admission.Cancel(t)
	a.mu.Unlock()
	if queued {
		return jaypitch.Errorf(jaypitch.CodeDeadline, "the deadline passed or the sender canceled the request while it was queued")
	}
	return <-t.Decision
}

// release releases the slot and starts queued requests.
func (s *slot) release(o admit.Outcome) {
	s.once.Do(func() {
		a := s.admitter
		a.mu.Lock()
		defer a.mu.Unlock()
		now := a.now()
		a.admission.Finish(s.rank, o, now.Sub(s.started))
		a.startQueued(now)
	})
}

// startQueued starts the queued requests that fit now and refuses those that expired. The caller holds a.mu.
func (a *admitter) startQueued(now time.Time) {
	start, expired := a.admission.Next(now)
	for _, t := range start {
		t.Decision <- nil
	}
	for _, t := range expired {
		t.Decision <- jaypitch.Errorf(jaypitch.CodeDeadline, "the queued request could no longer complete before its deadline")
	}
}

// configure sets the ranks. Queued requests of removed ranks are refused.
func (a *admitter) configure(ranks []*settings.Rank) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.admission.Configure(ranks) {
		t.Decision <- jaypitch.Errorf(jaypitch.CodeRouteWithdrawn, "rank %q was withdrawn while the request was queued", t.Rank)
	}
	a.startQueued(a.now())
}

func (a *admitter) retryAfter(rank string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admission.RetryAfter(rank)
}

func (a *admitter) load() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admission.Load()
}

func (a *admitter) counts() (inProgress, queued, limit int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admission.InProgress(), a.admission.Queued(), a.admission.Limit()
}
