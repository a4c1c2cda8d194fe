package route

import (
	"time"

	"github.com/jaypitch/jaypitch"
)

// liveness is what tells a sidecar behind a saturated link from one that is cut off or paused.
type liveness struct {
	// heardAt is when bytes of a response, or a load report, last arrived from the sidecar.
	heardAt time.Time
	// linkFullUntil is until when the link of the sidecar's host counts as full, by its last load report.
	linkFullUntil time.Time
}

const (
	// heardWithin is how recently bytes must have arrived for a failed probe not to count. It is the time that a probe takes to fail, so
	// that bytes which arrived during the probe count, and those from before it don't.
	heardWithin = 200 * time.Millisecond
	// fullLinkWait is the queue time of a link from which it counts as full. A probe's response waits there too.
	fullLinkWait = 50 * time.Millisecond
	// fullLinkMemory is how long a link counts as full after the load report that said so. Load reports of a link in use come many times
	// a second.
	fullLinkMemory = time.Second
	// probeTimeout bounds a liveness probe. It leaves time for many round trips within a region and for one pause of a machine that is
	// throttled by its CPU quota.
	probeTimeout = 200 * time.Millisecond
	// fullLinkProbeTimeout takes the place of probeTimeout while the link is full. Sidecars keep the queue of their link well below that, but
	// not that of traffic which isn't theirs.
	fullLinkProbeTimeout = 500 * time.Millisecond
)

// RecordBytes records that bytes of a response arrived from the sidecar beside a server.
func (c *MeshPicker) RecordBytes(id string, now time.Time) {
	if e := c.servers[id]; e != nil {
		e.unreachable, e.noReplySince, e.life.heardAt = false, now, now
	}
}

// ProbeTimeout returns how long the response to a probe of the sidecar beside a server is awaited. OwnWait is the queue time of this host's own
// link, on which the response arrives.
func (c *MeshPicker) ProbeTimeout(id string, ownWait time.Duration, now time.Time) time.Duration {
	if e := c.servers[id]; e != nil && !e.unreachable && (e.life.linkFull(now) || ownWait >= fullLinkWait) {
		return fullLinkProbeTimeout
	}
	return probeTimeout
}

// recordReport records the arrival of a load report.
func (l *liveness) recordReport(r jaypitch.MeshLoadReport, now time.Time) {
	l.heardAt, l.linkFullUntil = now, time.Time{}
	if r.LinkRate > 0 && r.LinkWait >= fullLinkWait {
		l.linkFullUntil = now.Add(r.LinkWait + fullLinkMemory)
	}
}

// heard reports whether bytes arrived so recently that a failed probe doesn't count.
func (l *liveness) heard(now time.Time) bool {
	return !l.heardAt.IsZero() && now.Sub(l.heardAt) < heardWithin
}

func (l *liveness) linkFull(now time.Time) bool {
	return now.Before(l.linkFullUntil)
}
