package evidence

import (
	"sync"
	"time"

	"github.com/jaypitch/jaypitch/schema"
)

// Tracker counts the requests in progress by team, route and customer, and records when the last one ended.
//
// A request calls Begin before it reads the routing table, and a finding reads the table before it calls Count. So a request
// that begins too late to be counted uses the finding's table or a newer one. Tracker is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	requests map[RequestKey]*requestCount
	limit    int
}

// RequestKey is the key under which a request is counted.
type RequestKey struct {
	Team     string
	Route    string
	Customer string
}

type requestCount struct {
	inProgress int64
	lastEnd    time.Time
}

// maxRequestKeys bounds the number of keys; beyond it, keys without requests in progress are removed.
const maxRequestKeys = 65536

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{requests: map[RequestKey]*requestCount{}, limit: maxRequestKeys}
}

// Begin counts a request that has not yet read the routing table.
func (t *Tracker) Begin(k RequestKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.requests[k]
	if c == nil {
		t.evictIdle()
		c = &requestCount{}
		t.requests[k] = c
	}
	c.inProgress++
}

// End removes a request from the count. Routed is true if a route matched the request; only then is its end recorded.
func (t *Tracker) End(k RequestKey, routed bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.requests[k]
	c.inProgress--
	if routed {
		c.lastEnd = now
	}
	if c.inProgress == 0 && c.lastEnd.IsZero() {
		delete(t.requests, k)
	}
}

// Count returns the number of requests in progress that match a subject, and when the last one ended; zero if none did.
func (t *Tracker) Count(s *schema.Subject) (inProgress int64, lastEnd time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, c := range t.requests {
		if !k.matches(s) {
			continue
		}
		inProgress += c.inProgress
		if c.lastEnd.After(lastEnd) {
			lastEnd = c.lastEnd
		}
	}
	return inProgress, lastEnd
}

// evictIdle removes one key without requests in progress if the limit is reached.
func (t *Tracker) evictIdle() {
	if len(t.requests) < t.limit {
		return
	}
	for k, c := range t.requests {
		if c.inProgress == 0 {
			delete(t.requests, k)
			return
		}
	}
}

// matches reports whether the key has the subject's team, route and customer; an empty field of the subject matches all.
func (k RequestKey) matches(s *schema.Subject) bool {
	return (s.GetTeam() == "" || s.GetTeam() == k.Team) && (s.GetRoute() == "" || s.GetRoute() == k.Route) &&
		(s.GetCustomer() == "" || s.GetCustomer() == k.Customer)
}
