package evidence

import (
	"sync"
	"time"

	"github.com/jaypitch/jaypitch/schema"
)

// Tracker counts the calls in progress by team, route and customer and remembers when the last one
// ended. A call is begun before the table is looked at, so that a call that this host doesn't count
// can only have seen the table that evidence was judged by, or a newer one. It is safe for concurrent use.
type Tracker struct {
	mu    sync.Mutex
	calls map[RequestKey]*callCount
	limit int
}

// RequestKey says what a call is counted under.
type RequestKey struct {
	Team     string
	Route    string
	Customer string
}

type callCount struct {
	inFlight int64
	lastAt   time.Time
}

// maxCallKeys bounds the counts kept; beyond it counts without calls in progress are dropped.
const maxCallKeys = 65536

// NewTracker makes an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{calls: map[RequestKey]*callCount{}, limit: maxCallKeys}
}

// Begin counts a call that is about to look at the table.
func (t *Tracker) Begin(k RequestKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.calls[k]
	if c == nil {
		t.makeRoom()
		c = &callCount{}
		t.calls[k] = c
	}
	c.inFlight++
}

// End uncounts a call; served is true if a route matched it.
func (t *Tracker) End(k RequestKey, served bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.calls[k]
	c.inFlight--
	if served {
		c.lastAt = now
	}
	if c.inFlight == 0 && c.lastAt.IsZero() {
		delete(t.calls, k)
	}
}

// Count returns the calls in progress that match a subject, and when the last one ended.
func (t *Tracker) Count(s *schema.Subject) (inFlight int64, lastAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, c := range t.calls {
		if !k.matches(s) {
			continue
		}
		inFlight += c.inFlight
		if c.lastAt.After(lastAt) {
			lastAt = c.lastAt
		}
	}
	return inFlight, lastAt
}

// makeRoom drops a count without calls in progress if there are too many.
func (t *Tracker) makeRoom() {
	if len(t.calls) < t.limit {
		return
	}
	for k, c := range t.calls {
		if c.inFlight == 0 {
			delete(t.calls, k)
			return
		}
	}
}

func (k RequestKey) matches(s *schema.Subject) bool {
	return (s.GetTeam() == "" || s.GetTeam() == k.Team) && (s.GetRoute() == "" || s.GetRoute() == k.Route) &&
		(s.GetCustomer() == "" || s.GetCustomer() == k.Customer)
}
