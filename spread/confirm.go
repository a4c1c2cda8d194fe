package spread

import "time"

// Confirmation decides when a process may trust what it holds: after its start, and after a pause.
// It isn't safe for concurrent use.
type Confirmation struct {
	confirmed bool
	started   bool
	giveUpAt  time.Time
	freshTo   time.Time
	// since is the start or the last wake; answers to earlier questions prove nothing.
	since  time.Time
	source bool
	others int
	// unconfirmed allows a process to serve after its start without any confirmation.
	unconfirmed bool
	answered    map[string]bool
	agreeing    map[string]bool
}

const (
	// wantedPeers is how many peers a starting process hears before it trusts its state.
	wantedPeers = 2
	// maxTickGap is the longest time between ticks of a process that wasn't paused.
	maxTickGap = 1500 * time.Millisecond
	// wakeWait is the longest wait for confirmation after a pause.
	wakeWait = time.Second
)

// NewConfirmation starts unconfirmed. After the deadline fewer peers are enough. A process that knows nothing
// from before must not serve what only an old source may have told it, so it goes on waiting for a peer, unless
// serveUnconfirmed is set.
func NewConfirmation(giveUpAt, now time.Time, serveUnconfirmed bool) *Confirmation {
	c := &Confirmation{giveUpAt: giveUpAt, freshTo: now.Add(maxTickGap), unconfirmed: serveUnconfirmed}
	c.forget(now)
	return c
}

// Tick notes that the process is running; it returns true if the process seems to have been paused.
func (c *Confirmation) Tick(now time.Time) bool {
	late := now.After(c.freshTo)
	if late && c.started {
		c.confirmed = false
		c.giveUpAt = now.Add(wakeWait)
		c.forget(now)
	}
	c.freshTo = now.Add(maxTickGap)
	c.decide(now)
	return late
}

// RecordSource notes that the source told all that it holds, and that it was merged. Others is the number of other hosts listed.
func (c *Confirmation) RecordSource(others int, askedAt, now time.Time) {
	if askedAt.Before(c.since) {
		return
	}
	c.source = true
	c.others = others
	c.decide(now)
}

// RecordPeer notes that a peer told all that it holds, and that it was merged.
func (c *Confirmation) RecordPeer(host string, confirmed bool, others int, askedAt, now time.Time) {
	if askedAt.Before(c.since) {
		return
	}
	c.answered[host] = true
	if confirmed {
		c.agreeing[host] = true
	}
	c.others = others
	c.decide(now)
}

// Confirmed says whether the state is confirmed.
func (c *Confirmation) Confirmed() bool {
	return c.confirmed
}

// Ready says whether the process may take work: it is confirmed, or it was before a pause and the wait has
// ended; and it has not been paused since.
func (c *Confirmation) Ready(now time.Time) bool {
	if now.After(c.freshTo) {
		return false
	}
	return c.confirmed || !now.Before(c.giveUpAt) && (c.started || c.unconfirmed)
}

// FreshUntil returns until when the last tick holds.
func (c *Confirmation) FreshUntil() time.Time {
	return c.freshTo
}

// decide confirms when enough confirmed peers answered; or the source and one of them; or the source and
// enough peers of any kind, as when a whole fleet starts.
func (c *Confirmation) decide(now time.Time) {
	wanted := min(wantedPeers, c.others)
	if c.started || !now.Before(c.giveUpAt) {
		wanted = min(1, c.others)
	}
	peers := len(c.agreeing) >= max(1, wanted)
	both := c.source && (len(c.agreeing) > 0 || len(c.answered) >= wanted)
	if peers || both {
		c.confirmed = true
		c.started = true
	}
}

func (c *Confirmation) forget(now time.Time) {
	c.since = now
	c.source = false
	c.answered = map[string]bool{}
	c.agreeing = map[string]bool{}
}
