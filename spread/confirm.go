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
	since    time.Time
	source   bool
	answered map[string]bool
	agreeing map[string]bool
}

const (
	// wantedPeers is how many peers a starting process hears before it trusts its state.
	wantedPeers = 2
	// maxTickGap is the longest time between ticks of a process that wasn't paused.
	maxTickGap = 1500 * time.Millisecond
	// wakeWait is the longest wait for confirmation after a pause.
	wakeWait = time.Second
)

// NewConfirmation starts unconfirmed and gives up waiting at the deadline.
func NewConfirmation(giveUpAt, now time.Time) *Confirmation {
	c := &Confirmation{giveUpAt: giveUpAt, freshTo: now.Add(maxTickGap)}
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
	return late
}

// Source notes that the source told all that it holds, and that it was merged.
func (c *Confirmation) Source(others int, askedAt time.Time) {
	if askedAt.Before(c.since) {
		return
	}
	c.source = true
	c.decide(others)
}

// Peer notes that a peer told all that it holds, and that it was merged.
func (c *Confirmation) Peer(host string, confirmed bool, others int, askedAt time.Time) {
	if askedAt.Before(c.since) {
		return
	}
	c.answered[host] = true
	if confirmed {
		c.agreeing[host] = true
	}
	c.decide(others)
}

// Confirmed says whether the state is confirmed.
func (c *Confirmation) Confirmed() bool {
	return c.confirmed
}

// Ready says whether the process may take work: it is confirmed, or the wait has ended; and it has not been paused since.
func (c *Confirmation) Ready(now time.Time) bool {
	if now.After(c.freshTo) {
		return false
	}
	return c.confirmed || !now.Before(c.giveUpAt)
}

// FreshTo returns until when the last tick holds.
func (c *Confirmation) FreshTo() time.Time {
	return c.freshTo
}

// decide confirms when enough confirmed peers answered, or the source and enough peers of any kind.
func (c *Confirmation) decide(others int) {
	wanted := min(wantedPeers, others)
	if c.started {
		wanted = min(1, others)
	}
	if len(c.agreeing) >= wanted && (wanted > 0 || c.source) || c.source && len(c.answered) >= wanted {
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
