package route

import (
	"time"

	"github.com/jaypitch/jaypitch"
)

// refusingState is what a sender knows of a server that refuses a rule's requests without executing them.
type refusingState struct {
	// holdOff is the current time between two requests of the rule to the server; it doubles with each response that still reports refusals.
	holdOff time.Duration
}

const (
	// minRefusingHoldOff and maxRefusingHoldOff bound the time for which a server that refuses a rule's requests gets no more of them from a
	// sender. The receiver lets a request through to the server at least once a second, so
	// that a recovery is noticed.
	minRefusingHoldOff = 250 * time.Millisecond
	maxRefusingHoldOff = 2 * time.Second
)

// recordRefusing holds off a rule's requests at a server while its load reports say that it refuses them. Load pattern: half of the servers
// of a service refuse everything during a burst. Their slots are free, and the others hold off requests since they are full.
func (c *MeshPicker) recordRefusing(e *serverState, rule string, r *jaypitch.MeshResponse, now time.Time) {
	if !r.LoadReport.Refusing {
		delete(e.refusing, rule)
		return
	}
	s, ok := e.refusing[rule]
	if at := e.retryAt[rule]; ok && now.Before(at) {
		// A response to a request that was sent before the hold-off began.
		return
	}
	s.holdOff = min(max(2*s.holdOff, minRefusingHoldOff), maxRefusingHoldOff)
	e.refusing[rule] = s
	e.retryAt[rule] = now.Add(time.Duration((0.5 + c.random()) * float64(s.holdOff)))
}
