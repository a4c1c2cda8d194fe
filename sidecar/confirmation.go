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
	// respondedAt is the latest time at which the store is known to have responded, to this sidecar or to another one; zero if it never did.
	respondedAt time.Time
	// lostAt and regainedAt are the times of the last response before the latest long time without one, and of the first after it; zero if there was
	// none.
	lostAt, regainedAt time.Time
	// failedAt is when a request of this sidecar to the store failed last.
	failedAt time.Time
	// outage is true if a request of this sidecar failed in the time from lostAt to regainedAt.
	outage bool
}

const (
	// unknownAge is the age that a process reports if its replica was never confirmed.
	unknownAge = time.Hour
	// longOutage is the duration of an outage of the store after which entries of live servers may have expired. It is half the
	// time of three heartbeats.
	longOutage = 2 * time.Second
	// relistTime is the time after an outage within which live servers are listed again.
	relistTime = 2 * time.Second
)

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
	c.extendResponses(at, at)
}

// recordResponse records that the store accepted a request at a time and responded at another.
func (c *confirmation) recordResponse(requestedAt, respondedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.extendResponses(requestedAt, respondedAt)
}

// recordPeerResponse records that the store responded to another sidecar at a time. It reports whether that is later than all responses known before.
func (c *confirmation) recordPeerResponse(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	later := at.After(c.respondedAt)
	c.extendResponses(at, at)
	return later
}

// extendResponses records that the store was there from one time until another. The caller holds the lock.
func (c *confirmation) extendResponses(from, until time.Time) {
	if !c.respondedAt.IsZero() && from.Sub(c.respondedAt) > longOutage {
		c.lostAt, c.regainedAt = c.respondedAt, from
		c.outage = c.failedAt.After(c.lostAt)
	}
	if until.After(c.respondedAt) {
		c.respondedAt = until
	}
}

// recordFailure records that a request to the store, sent at a time, has failed. It tells an outage from a time in which no sidecar had a reason to send
// a request, or none that did could tell this one.
func (c *confirmation) recordFailure(requestedAt, failedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedAt = failedAt
	if requestedAt.Before(c.regainedAt) && failedAt.After(c.lostAt) {
		c.outage = true
	}
}

// skipPause records that this process resumed from a pause. The time without a response before is no outage of the store.
func (c *confirmation) skipPause(resumedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.respondedAt.IsZero() && resumedAt.After(c.respondedAt) {
		c.respondedAt = resumedAt
	}
}

// relistedBy returns the time by which live servers whose entries expired in the latest outage are listed again; zero if there was no long outage.
// It counts from the first response to any sidecar, since this one may notice the end of the outage seconds later.
func (c *confirmation) relistedBy() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.outage {
		return time.Time{}
	}
	return c.regainedAt.Add(relistTime)
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
