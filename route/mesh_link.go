package route

import (
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// linkEstimate is what is known of the link on which a server's responses leave its host. The zero linkEstimate has unlimited capacity.
type linkEstimate struct {
	bytesPerSecond float64
	// freeAt is when the link has carried what was accepted, by the last load report and the downloads started since then.
	freeAt time.Time
}

// update takes over what a load report tells of the link. Only those for downloads, and those of a link that is full, tell something.
func (l *linkEstimate) update(r jaypitch.MeshLoadReport, now time.Time) {
	if r.LinkRate > 0 {
		l.bytesPerSecond, l.freeAt = r.LinkRate, now.Add(r.LinkWait)
	}
}

// timeOf returns the time in which the link carries a number of bytes.
func (l *linkEstimate) timeOf(bytes float64) time.Duration {
	if l.bytesPerSecond == 0 {
		return 0
	}
	return time.Duration(bytes / l.bytesPerSecond * float64(time.Second))
}

// StartDownload records the start of an attempt of a rule with large responses, in addition to Start.
func (c *MeshPicker) StartDownload(v *schema.MeshServer, rule string, now time.Time) {
	l := &c.server(v, now).link
	if l.bytesPerSecond == 0 {
		return
	}
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(l.timeOf(c.rule(rule).responseBytes))
}

// linkTime returns the expected time until the response of a download has left the server's host; zero for other requests, and if the link's
// capacity is unknown.
func (c *MeshPicker) linkTime(e *serverState, q PickRequest, now time.Time) time.Duration {
	if !q.Download || e.link.bytesPerSecond == 0 {
		return 0
	}
	return max(0, e.link.freeAt.Sub(now)) + e.link.timeOf(c.rule(q.Rule).responseBytes)
}

// linkRetryWait returns the time after which the link of a server's host may have room for a download within its target, or within its deadline if
// the target can't be met any more; zero if it has now.
func (c *MeshPicker) linkRetryWait(e *serverState, q PickRequest, now time.Time) time.Duration {
	if !q.Download || e.link.bytesPerSecond == 0 || q.TargetDeadline.IsZero() {
		return 0
	}
	need := e.link.timeOf(c.rule(q.Rule).responseBytes)
	latest := q.TargetDeadline
	if now.Add(need).After(latest) {
		// It would be late on an idle link too.
		latest = q.Deadline
	}
	return max(0, e.link.freeAt.Sub(now)-max(0, latest.Sub(now)-need))
}

// bodyBytes returns the size of a response's body, as far as it is known.
func bodyBytes(r *jaypitch.MeshResponse) float64 {
	return float64(max(int64(len(r.Body)), r.Length))
}
