package logline

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// Budget limits the rate of log lines of each kind and samples successful requests. The sample depends on the request ID
// alone, so it is the same on every sidecar. A Budget is safe for concurrent use.
type Budget struct {
	mu            sync.Mutex
	limits        map[string]*rate.Limiter
	suppressed    map[string]int64
	rateLimit     rate.Limit
	burst         int
	sampleDivisor uint64
}

const (
	// linesPerSecond and lineBurst limit the lines of one kind.
	linesPerSecond = 20
	lineBurst      = 40
	// reducedSampleDivisor selects one request in 8 while a kind has less than half of its burst left. It is a power of two that divides
	// defaultSampleDivisor, so that this sample contains the sample of successful requests.
	reducedSampleDivisor = 8
	// defaultSampleDivisor selects one successful request in 64.
	defaultSampleDivisor = 64
)

// NewBudget returns a budget with the default limits.
func NewBudget() *Budget {
	return &Budget{limits: map[string]*rate.Limiter{}, suppressed: map[string]int64{}, rateLimit: linesPerSecond, burst: lineBurst, sampleDivisor: defaultSampleDivisor}
}

// Allow reports whether a line of a kind may be written now, and counts the line as suppressed if not.
func (b *Budget) Allow(kind string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limiter(kind).AllowN(now, 1) {
		return true
	}
	b.suppressed[kind]++
	return false
}

// AllowRequest reports whether a line about a request may be written now, and counts the line as suppressed if not. While less than
// half of the burst is left, it allows only a sample of the requests, selected by ID, so that all sidecars log the same requests.
func (b *Budget) AllowRequest(kind, id string, now time.Time) bool {
	b.mu.Lock()
	l := b.limiter(kind)
	low := l.TokensAt(now) < float64(b.burst)/2
	b.mu.Unlock()
	if low && xxhash.Sum64String(id)%reducedSampleDivisor != 0 {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.suppressed[kind]++
		return false
	}
	return b.Allow(kind, now)
}

// Sampled reports whether a successful request is in the sample. It depends on the ID alone.
func (b *Budget) Sampled(id string) bool {
	return xxhash.Sum64String(id)%b.sampleDivisor == 0
}

func (b *Budget) limiter(kind string) *rate.Limiter {
	l := b.limits[kind]
	if l == nil {
		l = rate.NewLimiter(b.rateLimit, b.burst)
		b.limits[kind] = l
	}
	return l
}

// TakeSuppressed returns the number of suppressed lines of each kind since the previous call.
func (b *Budget) TakeSuppressed() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.suppressed
	b.suppressed = map[string]int64{}
	return counts
}
