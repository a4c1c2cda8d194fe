package logline

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// Budget decides which lines are written: so many a second of each kind, and of ordinary requests a sample
// that is the same on every sidecar. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	limits  map[string]*rate.Limiter
	left    map[string]int64
	perS    rate.Limit
	burst   int
	sampled uint64
}

const (
	// linesPerSecond and lineBurst bound the lines of one kind.
	linesPerSecond = 20
	lineBurst      = 40
	// crowdedSample is of how many requests one is written while the budget is short; a power of two that divides sampleOf.
	crowdedSample = 8
	// sampleOf is of how many ordinary requests one is written.
	sampleOf = 64
)

// NewBudget makes a budget.
func NewBudget() *Budget {
	return &Budget{limits: map[string]*rate.Limiter{}, left: map[string]int64{}, perS: linesPerSecond, burst: lineBurst, sampled: sampleOf}
}

// Allow says whether a line of a kind may be written now.
func (b *Budget) Allow(kind string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limiter(kind).AllowN(now, 1) {
		return true
	}
	b.left[kind]++
	return false
}

// AllowRequest says whether a line about a request may be written now. Beyond half of the budget only requests of a sample
// by id are written, so that a request that is written is written by every sidecar.
func (b *Budget) AllowRequest(kind, id string, now time.Time) bool {
	b.mu.Lock()
	l := b.limiter(kind)
	crowded := l.TokensAt(now) < float64(b.burst)/2
	b.mu.Unlock()
	if crowded && xxhash.Sum64String(id)%crowdedSample != 0 {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.left[kind]++
		return false
	}
	return b.Allow(kind, now)
}

// Sampled says whether an ordinary request is in the sample, by its id alone.
func (b *Budget) Sampled(id string) bool {
	return xxhash.Sum64String(id)%b.sampled == 0
}

func (b *Budget) limiter(kind string) *rate.Limiter {
	l := b.limits[kind]
	if l == nil {
		l = rate.NewLimiter(b.perS, b.burst)
		b.limits[kind] = l
	}
	return l
}

// TakeSuppressed returns how many lines of each kind were left out since the last question.
func (b *Budget) TakeSuppressed() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.left
	b.left = map[string]int64{}
	return out
}
