package backend

import (
	"context"
	"sync"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/admit"
	"github.com/jaypitch/jaypitch/settings"
)

// gate shares an admission between calls.
type gate struct {
	now func() time.Time

	mu        sync.Mutex
	admission *admit.Admission
}

// slot is the right of one call to run; it is given back once.
type slot struct {
	gate    *gate
	rank    string
	started time.Time
	once    sync.Once
}

// enter waits for a slot until one is free, the deadline passes or the context ends.
func (g *gate) enter(ctx context.Context, rank string, deadline time.Time) (*slot, *jaypitch.Error) {
	t := &admit.AdmissionRequest{Rank: rank, Deadline: deadline, Decision: make(chan *jaypitch.Error, 1)}
	g.mu.Lock()
	run, refused := g.admission.Admit(t, g.now())
	g.mu.Unlock()
	if refused != nil {
		return nil, refused
	}
	if !run {
		if refused := g.await(ctx, t); refused != nil {
			return nil, refused
		}
	}
	return &slot{gate: g, rank: rank, started: g.now()}, nil
}

// await waits for a grant.
func (g *gate) await(ctx context.Context, t *admit.AdmissionRequest) *jaypitch.Error {
	timer := time.NewTimer(t.Deadline.Sub(g.now()))
	defer timer.Stop()
	select {
	case e := <-t.Decision:
		return e
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	waiting := g.admission.Cancel(t)
	g.mu.Unlock()
	if waiting {
		return jaypitch.Errorf(jaypitch.CodeDeadline, "the call waited for a slot until its deadline or its cancellation")
	}
	return <-t.Decision
}

// leave gives the slot back and starts waiting calls.
func (s *slot) leave(o admit.Outcome) {
	s.once.Do(func() {
		g := s.gate
		g.mu.Lock()
		defer g.mu.Unlock()
		now := g.now()
		g.admission.Finish(s.rank, o, now.Sub(s.started), now)
		g.grant(now)
	})
}

// grant tells waiting calls that they may run or are too late.
func (g *gate) grant(now time.Time) {
	start, expired := g.admission.Next(now)
	for _, t := range start {
		t.Decision <- nil
	}
	for _, t := range expired {
		t.Decision <- jaypitch.Errorf(jaypitch.CodeDeadline, "the call waited for a slot until it could not end by its deadline any more")
	}
}

// configure sets the ranks; calls of ranks that are gone are refused.
func (g *gate) configure(ranks []*settings.Rank) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.admission.Configure(ranks) {
		t.Decision <- jaypitch.Errorf(jaypitch.CodeRouteWithdrawn, "rank %q was withdrawn while the call waited", t.Rank)
	}
	g.grant(g.now())
}

func (g *gate) holdOff(rank string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.RetryAfter(rank)
}

func (g *gate) load() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Load()
}

func (g *gate) counts() (inFlight, waiting, limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.InProgress(), g.admission.Queued(), g.admission.Limit()
}
