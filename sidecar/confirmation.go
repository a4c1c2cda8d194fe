package sidecar

import (
	"sync"
	"time"

	"github.com/jaypitch/jaypitch"
)

// confirmation is the latest time up to which the replica is known to hold every change of the store. It is safe for concurrent use.
type confirmation struct {
	now func() time.Time

	mu sync.Mutex
	at time.Time
}

// unknownAge is the age that a process reports if its replica was never confirmed.
const unknownAge = time.Hour

// reportedAge returns an upper bound of the time since the store confirmed the receiver's replica. The receiver measured it when it responded, and
// the network time bounds the time since then. Without that, an age that sidecars report to each other would grow slower than time passes.
func reportedAge(r *jaypitch.MeshResponse) time.Duration {
	return min(unknownAge, r.LoadReport.SourceAge+max(0, r.NetworkTime))
}

// confirm records that the replica holds everything that the store held at a time.
func (c *confirmation) confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.at) {
		c.at = at
	}
}

// age returns the time since the replica was last confirmed, or unknownAge if it never was.
func (c *confirmation) age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at.IsZero() {
		return unknownAge
	}
	return c.now().Sub(c.at)
}

// confirmedAfter reports whether the replica was confirmed after a time, by the store or by peers.
func (c *confirmation) confirmedAfter(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at.After(t)
}
