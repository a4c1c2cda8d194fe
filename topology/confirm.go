package topology

import "time"

// Confirmation decides when a process's state counts as confirmed: compared with the source or peers since the start or the last
// pause. It isn't safe for concurrent use.
type Confirmation struct {
	confirmed bool
	// everConfirmed is true if the state has been confirmed since the start. A pause doesn't reset it.
	everConfirmed bool
	// deadline ends the wait for confirmation: from then on one confirmed peer is enough, and Ready may return true without any.
	deadline time.Time
	// freshUntil is maxTickGap after the last tick. After that time the process counts as paused.
	freshUntil time.Time
	// since is the start or the end of the last pause. Responses to earlier requests are ignored: they may be older than the pause.
	since      time.Time
	sourceRead bool
	otherHosts int
	// serveUnconfirmed allows a process to serve after its start without any confirmation.
	serveUnconfirmed bool
	responded        map[string]bool
	confirmedPeers   map[string]bool
}

const (
	// minPeers is how many peers a starting process compares its state with before the deadline.
	minPeers = 2
	// maxTickGap is the longest time between two ticks; after a longer one the process counts as paused.
	maxTickGap = 1500 * time.Millisecond
	// resumeTimeout is the longest wait for confirmation after a pause.
	resumeTimeout = time.Second
)

// NewConfirmation returns the Confirmation of a process that starts now, unconfirmed. One confirmed peer is enough after the deadline.
// The response of the source alone may be outdated, and a starting process has no earlier state to check it against, so
// the process waits for a peer even after the deadline, unless serveUnconfirmed is set.
func NewConfirmation(deadline, now time.Time, serveUnconfirmed bool) *Confirmation {
	c := &Confirmation{deadline: deadline, freshUntil: now.Add(maxTickGap), serveUnconfirmed: serveUnconfirmed}
	c.reset(now)
	return c
}

// Tick records that the process is running. It reports whether the time since the last tick exceeds maxTickGap, as after a pause.
func (c *Confirmation) Tick(now time.Time) bool {
	late := now.After(c.freshUntil)
	if late && c.everConfirmed {
		c.confirmed = false
		c.deadline = now.Add(resumeTimeout)
		c.reset(now)
	}
	c.freshUntil = now.Add(maxTickGap)
	c.update(now)
	return late
}

// RecordSource records that the source's full state was merged. otherHosts is the number of other listed hosts, requestedAt the time
// of the request to the source.
func (c *Confirmation) RecordSource(otherHosts int, requestedAt, now time.Time) {
	if requestedAt.Before(c.since) {
		return
	}
	c.sourceRead = true
	c.otherHosts = otherHosts
	c.update(now)
}

// RecordPeer records that a peer's full state was merged, and whether the peer's state is confirmed. The other parameters are those of
// RecordSource.
func (c *Confirmation) RecordPeer(host string, confirmed bool, otherHosts int, requestedAt, now time.Time) {
	if requestedAt.Before(c.since) {
		return
	}
	c.responded[host] = true
	if confirmed {
		c.confirmedPeers[host] = true
	}
	c.otherHosts = otherHosts
	c.update(now)
}

// Confirmed reports whether the state is confirmed.
func (c *Confirmation) Confirmed() bool {
	return c.confirmed
}

// Ready reports whether the process may accept requests. It has to tick in time, and one of these holds: the state is confirmed; it was
// confirmed before a pause and the deadline has passed; the deadline has passed and the process may serve unconfirmed.
func (c *Confirmation) Ready(now time.Time) bool {
	if now.After(c.freshUntil) {
		return false
	}
	return c.confirmed || !now.Before(c.deadline) && (c.everConfirmed || c.serveUnconfirmed)
}

// FreshUntil returns the time after which the process counts as paused unless it ticks before.
func (c *Confirmation) FreshUntil() time.Time {
	return c.freshUntil
}

// update confirms the state if enough confirmed peers responded; or the source and one confirmed peer; or the source and enough peers
// of any state, since no peer is confirmed when a whole fleet starts. Enough is minPeers, or one after the first confirmation or the
// deadline, but no more than there are other hosts.
func (c *Confirmation) update(now time.Time) {
	required := min(minPeers, c.otherHosts)
	if c.everConfirmed || !now.Before(c.deadline) {
		required = min(1, c.otherHosts)
	}
	enoughPeers := len(c.confirmedPeers) >= max(1, required)
	withSource := c.sourceRead && (len(c.confirmedPeers) > 0 || len(c.responded) >= required)
	if enoughPeers || withSource {
		c.confirmed = true
		c.everConfirmed = true
	}
}

func (c *Confirmation) reset(now time.Time) {
	c.since = now
	c.sourceRead = false
	c.responded = map[string]bool{}
	c.confirmedPeers = map[string]bool{}
}
