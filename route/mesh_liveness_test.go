package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
)

// TestSaturatedLinkIsNotDeath guards against a sidecar that is excluded because its host's link delays the responses to probes, and against
// one behind an idle link that is noticed later than after one failed probe.
func TestSaturatedLinkIsNotDeath(t *testing.T) {
	full := jaypitch.MeshLoadReport{LinkRate: 1e6, LinkWait: 300 * time.Millisecond}
	idle := jaypitch.MeshLoadReport{LinkRate: 1e6}
	executed := jaypitch.MeshResponse{Execution: jaypitch.Executed}
	probed := start.Add(unresponsiveAfter + probeTimeout)
	for name, c := range map[string]struct {
		report     jaypitch.MeshLoadReport
		bytesAt    time.Duration
		at         time.Time
		timeout    time.Duration
		taken      bool
		afterwards int
	}{
		"silence":                             {idle, 0, probed, probeTimeout, true, 1},
		"bytes arrive during the probe":       {idle, unresponsiveAfter + probeTimeout/2, probed, probeTimeout, false, 0},
		"bytes arrived before the probe only": {idle, unresponsiveAfter - time.Millisecond, probed, probeTimeout, true, 1},
		"the link is full":                    {full, 0, probed, fullLinkProbeTimeout, true, 1},
		"the link was full long ago":          {full, 0, start.Add(2 * time.Second), probeTimeout, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			picker, s := newMeshPicker(), meshService(1, 0)
			finishRequest(picker, s.Servers[0], c.report, executed, start)
			picker.Start(s.Servers[0], start)
			if c.bytesAt > 0 {
				picker.RecordBytes("here_0", start.Add(c.bytesAt))
			}
			is.Equal(picker.ProbeTimeout("here_0", 0, c.at), c.timeout)
			is.Equal(picker.ProbeTimeout("here_0", fullLinkWait, c.at), fullLinkProbeTimeout)
			is.Equal(picker.RecordProbe("here_0", false, c.at), c.taken)
			is.Equal(len(picker.Unresponsive(c.at)), c.afterwards)
		})
	}
	t.Run("a connection that times out on a full link excludes nothing", func(t *testing.T) {
		for _, r := range []jaypitch.MeshLoadReport{full, idle} {
			is := is.New(t)
			picker, s := newMeshPicker(), meshService(1, 0)
			finishRequest(picker, s.Servers[0], r, executed, start)
			picker.Start(s.Servers[0], start)
			picker.Finish(s.Servers[0], "r", 1, jaypitch.NotExecutedResponse(jaypitch.CodeUnreachable, "no connection"), start)
			is.Equal(picker.Pick(s, pickRequest, start).Server != nil, r.LinkWait > 0)
		}
	})
}

// TestPickByLink guards against downloads that go to a server whose host's link is busy while that of another is free, and against refusals of other
// requests for that.
func TestPickByLink(t *testing.T) {
	is := is.New(t)
	picker, s := newMeshPicker(), meshService(2, 0)
	executed := jaypitch.MeshResponse{Execution: jaypitch.Executed, ServiceTime: 50 * time.Millisecond, Length: 90_000}
	mean := 50 * time.Millisecond
	finishRequest(picker, s.Servers[0], jaypitch.MeshLoadReport{Mean: mean, LinkRate: 1_700_000, LinkWait: 300 * time.Millisecond}, executed, start)
	finishRequest(picker, s.Servers[1], jaypitch.MeshLoadReport{Mean: mean, LinkRate: 1_700_000, InProgress: 5}, executed, start)
	download := PickRequest{Rule: "r", LatencyTarget: 500 * time.Millisecond, Download: true, TargetDeadline: start.Add(500 * time.Millisecond)}
	is.Equal(picker.Pick(s, pickRequest, start).Server.GetId(), "here_0")
	is.Equal(picker.Pick(s, download, start).Server.GetId(), "here_1")
	for range 200 {
		for _, v := range s.Servers {
			picker.StartDownload(v, "r", start)
		}
	}
	p := picker.Pick(s, download, start)
	is.True(p.Server == nil && p.LinkFull && p.RetryAfter > 0)
	is.True(picker.Pick(s, pickRequest, start).Server != nil)
	is.True(picker.Pick(s, PickRequest{Rule: "r", Download: true, TargetDeadline: start.Add(2 * time.Second), Deadline: start.Add(3 * time.Second)}, start.Add(2*time.Second)).Server != nil)
}
