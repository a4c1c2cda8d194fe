package sidecar

import (
	"sync"
	"time"
)

// confirmation is up to when everything that the store accepted is surely held.
type confirmation struct {
	now func() time.Time

	mu sync.Mutex
	at time.Time
}

// unknownAge is told by a process that has never heard of the store.
const unknownAge = time.Hour

// confirm notes that all that the store held at a time is held here.
func (f *confirmation) confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.at) {
		f.at = at
	}
}

// age is the time since then.
func (f *confirmation) age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at.IsZero() {
		return unknownAge
	}
	return f.now().Sub(f.at)
}

// confirmedAfter says whether the store was heard of after a time, directly or through others.
func (f *confirmation) confirmedAfter(t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.at.After(t)
}
