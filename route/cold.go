package route

import (
	"time"

	"github.com/jaypitch/jaypitch/schema"
)

const (
	// maxColdCaution bounds the time for which a server that just joined costs coldFactor times as much without a report of its own. Where all others
	// have room it would get nothing otherwise until it is warm, and a server has to get requests within four seconds. Each sender waits for a
	// random part of the time, at least half, so that not all try the server at once.
	maxColdCaution = 2 * time.Second
	// untriedFactor raises the cost of a cold server by this many times for each attempt in progress, until its first load report tells how much it
	// sustains.
	untriedFactor = 4
)

// coldUntil returns until when a server that this sender has just learned of costs coldFactor times as much.
func (c *MeshPicker) coldUntil(v *schema.MeshServer, now time.Time) time.Time {
	cold := min(maxColdCaution, time.Duration(v.GetColdUs())*time.Microsecond)
	return now.Add(time.Duration((1 + c.random()) / 2 * float64(cold)))
}

// untried reports whether a server joined cold and has sent no load report yet.
func (e *serverState) untried() bool {
	return e.loadUntil.IsZero() && e.server.GetColdUs() > 0
}
