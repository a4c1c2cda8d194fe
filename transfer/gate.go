// Package transfer makes the bytes of large responses wait for their turn on the host's network link. Package link decides.
package transfer

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/link"
)

// Gate is one direction of the host's link. A nil Gate stands for a link of unknown capacity: it accepts everything and delays nothing. It is
// safe for concurrent use.
type Gate struct {
	now func() time.Time

	mu        sync.Mutex
	scheduler *link.Scheduler
	// timer calls decide when bytes may be passed on; nil before the first ones waited.
	timer              *time.Timer
	refused, brokenOff int64
}

// Transfer is a large response at a gate. A nil Transfer is never delayed.
type Transfer struct {
	gate     *Gate
	transfer *link.Transfer
}

// Counts are the numbers of a gate for metrics.
type Counts struct {
	// QueuedBytes is the number of bytes that were accepted and not passed on yet.
	QueuedBytes int64
	// Transfers is the number of transfers in progress.
	Transfers int
	// Refused and BrokenOff count transfers since the start.
	Refused, BrokenOff int64
}

const (
	// ChunkBytes is the largest number of bytes that are passed on at once, and the size from which a response is a transfer.
	ChunkBytes = 16 << 10
	// HeadBytes is the assumed size of a head with the headers of its packets.
	HeadBytes = 700
)

// errTooLate is returned for bytes that can't reach the client before its deadline.
var errTooLate = errors.New("the link can't carry the rest of the response before the deadline")

// NewGate returns the gate of a direction of a link with a capacity in megabits per second; nil if that is zero.
func NewGate(megabits float64, now func() time.Time) *Gate {
	if megabits <= 0 {
		return nil
	}
	return &Gate{now: now, scheduler: link.NewScheduler(megabits)}
}

// Charge records bytes that are passed on at once.
func (g *Gate) Charge(bytes int) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.Charge(int64(bytes), g.now())
}

// Admit accepts the transfer of a request, or returns the time after which the link may have room for it.
func (g *Gate) Admit(rule string, deadline, targetDeadline time.Time) (t *Transfer, retryAfter time.Duration, accepted bool) {
	if g == nil {
		return nil, 0, true
	}
	t = g.newTransfer(rule, deadline, targetDeadline)
	g.mu.Lock()
	defer g.mu.Unlock()
	if retryAfter, accepted = g.scheduler.Admit(t.transfer, g.now()); !accepted {
		g.refused++
		return nil, retryAfter, false
	}
	return t, 0, true
}

// Begin adds the transfer of a response that can't be refused any more, of a length in bytes; negative if that is unknown. It is never broken off.
func (g *Gate) Begin(rule string, targetDeadline time.Time, length int64) *Transfer {
	if g == nil {
		return nil
	}
	t := g.newTransfer(rule, time.Time{}, targetDeadline)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.Begin(t.transfer, length, g.now())
	return t
}

// Report returns the rate in bytes per second at which transfers are passed on, and the time until all accepted ones have left. The rate is zero if
// the capacity is unknown.
func (g *Gate) Report() (bytesPerSecond float64, wait time.Duration) {
	if g == nil {
		return 0, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.Rate(), g.scheduler.Backlog(g.now())
}

// Counts returns the gate's numbers for metrics.
func (g *Gate) Counts() Counts {
	if g == nil {
		return Counts{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return Counts{QueuedBytes: g.scheduler.Queued(), Transfers: g.scheduler.Transfers(), Refused: g.refused, BrokenOff: g.brokenOff}
}

func (g *Gate) newTransfer(rule string, deadline, targetDeadline time.Time) *Transfer {
	return &Transfer{gate: g, transfer: &link.Transfer{Rule: rule, Deadline: deadline, TargetDeadline: targetDeadline, Decision: make(chan bool, 1)}}
}

// SetLength records that the response begins, and its length in bytes; negative if that is unknown.
func (t *Transfer) SetLength(length int64) {
	if t == nil {
		return
	}
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.gate.scheduler.SetLength(t.transfer, length, t.gate.now())
}

// Wait waits until bytes may be passed on. It fails if the transfer is to be broken off, or if ctx ends.
func (t *Transfer) Wait(ctx context.Context, bytes int) error {
	if t == nil {
		return nil
	}
	g := t.gate
	g.mu.Lock()
	g.scheduler.Wait(t.transfer, int64(bytes))
	g.decideLocked()
	g.mu.Unlock()
	select {
	case pass := <-t.transfer.Decision:
		if !pass {
			return errTooLate
		}
		return nil
	case <-ctx.Done():
		t.End(false)
		return ctx.Err()
	}
}

// EndShort removes the transfer of a response that has no stream. A successful one counts towards the mean of its rule.
func (t *Transfer) EndShort(r *jaypitch.MeshResponse) {
	if t == nil {
		return
	}
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.gate.scheduler.EndShort(t.transfer, int64(len(r.Body)), r.Execution == jaypitch.Executed && r.Status < http.StatusMultipleChoices && len(r.Body) > 0)
	t.gate.decideLocked()
}

// End removes the transfer. Its length counts towards the mean of its rule if it is complete. It may be called again, without effect.
func (t *Transfer) End(complete bool) {
	if t == nil {
		return
	}
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.gate.scheduler.End(t.transfer, complete)
	t.gate.decideLocked()
}

// decide passes on the bytes whose turn it is.
func (g *Gate) decide() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.decideLocked()
}

// decideLocked is decide for a caller that holds the lock.
func (g *Gate) decideLocked() {
	now := g.now()
	pass, breakOff := g.scheduler.Next(now)
	for _, t := range pass {
		t.Decision <- true
	}
	for _, t := range breakOff {
		g.brokenOff++
		t.Decision <- false
	}
	at := g.scheduler.NextAt()
	switch {
	case at.IsZero():
	case g.timer == nil:
		g.timer = time.AfterFunc(at.Sub(now), g.decide)
	default:
		g.timer.Reset(at.Sub(now))
	}
}
