package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/schema"
)

func meshService(here, there int) *mesh.Service {
	s := &mesh.Service{Name: "x"}
	for i := range here + there {
		dc := "here"
		if i >= here {
			dc = "there"
		}
		s.Servers = append(s.Servers, &schema.MeshServer{Id: fmt.Sprintf("%s_%d", dc, i), DataCentre: dc, Slots: 10})
	}
	return s
}

func newMeshPicker() *MeshPicker {
	return NewMeshPicker("here", func() float64 { return 0.5 })
}

// finishRequest makes an attempt at a server of ten slots, with the given load report and response.
func finishRequest(c *MeshPicker, v *schema.MeshServer, l jaypitch.MeshLoadReport, r jaypitch.MeshResponse, now time.Time) {
	c.Start(v, now)
	l.Slots = 10
	r.LoadReport = l
	c.Finish(v, "r", 1, &r, now)
}

var pickRequest = PickRequest{Rule: "r", LatencyTarget: 500 * time.Millisecond}

func TestMeshPickerPick(t *testing.T) {
	executed := jaypitch.MeshResponse{Execution: jaypitch.Executed, ServiceTime: 50 * time.Millisecond}
	mean := 50 * time.Millisecond
	for name, c := range map[string]struct {
		first, second jaypitch.MeshLoadReport
		response      jaypitch.MeshResponse
		want          string
	}{
		"free slots":  {jaypitch.MeshLoadReport{InProgress: 9, Mean: mean}, jaypitch.MeshLoadReport{InProgress: 2, Mean: mean}, executed, "here_1"},
		"speed":       {jaypitch.MeshLoadReport{Mean: 5 * mean}, jaypitch.MeshLoadReport{InProgress: 7, Mean: mean}, executed, "here_1"},
		"failing":     {jaypitch.MeshLoadReport{Mean: mean, Failing: 0.5}, jaypitch.MeshLoadReport{InProgress: 9, Mean: mean}, executed, "here_1"},
		"stopping":    {jaypitch.MeshLoadReport{Mean: mean, Stopping: true}, jaypitch.MeshLoadReport{InProgress: 9, Mean: mean}, executed, "here_1"},
		"misdirected": {jaypitch.MeshLoadReport{Mean: mean}, jaypitch.MeshLoadReport{InProgress: 9, Mean: mean}, jaypitch.MeshResponse{Execution: jaypitch.NotExecuted, Code: jaypitch.CodeMisdirected}, "here_1"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			picker, s := newMeshPicker(), meshService(2, 0)
			finishRequest(picker, s.Servers[0], c.first, c.response, start)
			finishRequest(picker, s.Servers[1], c.second, executed, start)
			is.Equal(picker.Pick(s, pickRequest, start).Server.GetId(), c.want)
		})
	}
	t.Run("the sidecar's data centre, unless its servers are overloaded", func(t *testing.T) {
		is := is.New(t)
		picker, s := newMeshPicker(), meshService(1, 1)
		is.Equal(picker.Pick(s, pickRequest, start).Server.GetId(), "here_0")
		finishRequest(picker, s.Servers[0], jaypitch.MeshLoadReport{InProgress: 10, Queued: 10, Mean: mean}, executed, start)
		is.Equal(picker.Pick(s, pickRequest, start).Server.GetId(), "there_1")
		big := pickRequest
		big.BodyBytes = 10_000
		is.Equal(picker.Pick(s, big, start).Server.GetId(), "here_0")
	})
	t.Run("the shorter network time of two servers elsewhere", func(t *testing.T) {
		is := is.New(t)
		picker, s := newMeshPicker(), meshService(0, 2)
		far, near := executed, executed
		far.NetworkTime, near.NetworkTime = 110*time.Millisecond, time.Millisecond
		finishRequest(picker, s.Servers[0], jaypitch.MeshLoadReport{Mean: mean}, far, start)
		finishRequest(picker, s.Servers[1], jaypitch.MeshLoadReport{InProgress: 6, Mean: mean}, near, start)
		is.Equal(picker.Pick(s, pickRequest, start).Server.GetId(), "there_1")
	})
	t.Run("not an unreachable server, until a probe succeeds", func(t *testing.T) {
		is := is.New(t)
		picker, s := newMeshPicker(), meshService(1, 0)
		picker.Start(s.Servers[0], start)
		picker.Finish(s.Servers[0], "r", 1, jaypitch.NotExecutedResponse(jaypitch.CodeUnreachable, "down"), start)
		is.True(picker.Pick(s, pickRequest, start.Add(time.Hour)).Server == nil)
		is.Equal(picker.Unresponsive(start), s.Servers)
		picker.RecordProbe("here_0", true, start)
		is.True(picker.Pick(s, pickRequest, start).Server != nil)
	})
	t.Run("not a server whose retry-after for the rule has not passed", func(t *testing.T) {
		is := is.New(t)
		picker, s := newMeshPicker(), meshService(1, 0)
		finishRequest(picker, s.Servers[0], jaypitch.MeshLoadReport{}, jaypitch.MeshResponse{Execution: jaypitch.NotExecuted, Code: jaypitch.CodeOverloaded, RetryAfter: 50 * time.Millisecond}, start)
		p := picker.Pick(s, pickRequest, start)
		is.True(p.Server == nil)
		is.Equal(p.RetryAfter, 50*time.Millisecond)
		other := pickRequest
		other.Rule = "other"
		is.True(picker.Pick(s, other, start).Server != nil)
	})
	t.Run("an unresponsive server is probed, and gets no requests after a failed probe", func(t *testing.T) {
		is := is.New(t)
		picker, s := newMeshPicker(), meshService(1, 0)
		picker.Start(s.Servers[0], start)
		is.Equal(len(picker.Unresponsive(start.Add(unresponsiveAfter))), 0)
		is.Equal(len(picker.Unresponsive(start.Add(unresponsiveAfter+1))), 1)
		is.True(picker.RecordProbe("here_0", false, start.Add(unresponsiveAfter+1)))
		is.True(!picker.RecordProbe("here_0", false, start.Add(unresponsiveAfter+1)))
		is.True(picker.Pick(s, pickRequest, start).Server == nil)
	})
	t.Run("not an excluded server", func(t *testing.T) {
		is := is.New(t)
		q := pickRequest
		q.Excluded = []string{"here_0"}
		is.True(newMeshPicker().Pick(meshService(1, 0), q, start).Server == nil)
	})
}

func TestSampleOfLargeService(t *testing.T) {
	is := is.New(t)
	draw := 0.0
	picker := NewMeshPicker("here", func() float64 { return draw })
	all := meshService(200, 0).Servers
	sampled := map[string]bool{}
	for i := range 20 {
		draw = float64(i) / 20
		some := picker.sample(all)
		is.Equal(len(some), maxCandidates)
		for _, v := range some {
			sampled[v.GetId()] = true
		}
	}
	is.Equal(len(sampled), len(all))
	is.Equal(len(picker.sample(all[:10])), 10)
}

func TestSharedFailure(t *testing.T) {
	is := is.New(t)
	picker, s := newMeshPicker(), meshService(8, 0)
	respond := func(n int, status func(i int) int) {
		for i := range n {
			finishRequest(picker, s.Servers[i%8], jaypitch.MeshLoadReport{}, jaypitch.MeshResponse{Execution: jaypitch.Executed, Status: status(i)}, start)
		}
	}
	respond(400, func(i int) int { return map[bool]int{true: 500, false: 200}[i%16 == 0] })
	is.True(!picker.SharedFailure("r"))
	respond(100, func(i int) int { return map[bool]int{true: 500, false: 200}[i%2 == 0] })
	is.True(picker.SharedFailure("r"))
	respond(200, func(int) int { return 200 })
	is.True(!picker.SharedFailure("r"))
}

func TestMeshRetryBudgetHoldsOverAnyWindow(t *testing.T) {
	is := is.New(t)
	const hosts, ratio, slack = 10, 0.2, 60
	q := NewMeshRetryBudget(ratio, slack, 10*time.Second)
	var requests, retries []time.Time
	for i := range 4000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		q.RecordRequest("x", now)
		requests = append(requests, now)
		for q.Spend("x", hosts, now) {
			retries = append(retries, now)
		}
	}
	count := func(times []time.Time, from time.Time) int {
		n := 0
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(10*time.Second)) {
				n++
			}
		}
		return n
	}
	for s := range 30 {
		from := start.Add(time.Duration(s) * time.Second)
		is.True(float64(count(retries, from)) <= ratio*float64(count(requests, from))+slack/hosts)
	}
	is.True(len(retries) > 100)
}

func TestMeshRetryBudgetDropsOldCounts(t *testing.T) {
	is := is.New(t)
	q := NewMeshRetryBudget(1, 0, time.Second)
	for range 100 {
		q.RecordRequest("x", start)
	}
	is.True(q.Spend("x", 1, start))
	is.True(!q.Spend("x", 1, start.Add(10*time.Second)))
}

func TestExpectContinue(t *testing.T) {
	for name, c := range map[string]struct {
		here, inUse, body int
		want              bool
	}{
		"another data centre, no free slot": {0, 10, 4000, true},
		"a free slot":                       {0, 9, 4000, false},
		"a small body":                      {0, 10, 100, false},
		"the sidecar's data centre":         {1, 10, 4000, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			picker, s := newMeshPicker(), meshService(c.here, 1-c.here)
			finishRequest(picker, s.Servers[0], jaypitch.MeshLoadReport{InProgress: c.inUse}, jaypitch.MeshResponse{Execution: jaypitch.Executed}, start)
			q := pickRequest
			q.BodyBytes = c.body
			is.Equal(picker.Pick(s, q, start).ExpectContinue, c.want)
		})
	}
}

func TestAlternativeTime(t *testing.T) {
	mean, executed := 50*time.Millisecond, jaypitch.MeshResponse{Execution: jaypitch.Executed, ServiceTime: 50 * time.Millisecond}
	t.Run("zero before the first response", func(t *testing.T) {
		is := is.New(t)
		is.Equal(newMeshPicker().Pick(meshService(2, 0), pickRequest, start).AlternativeTime, time.Duration(0))
	})
	t.Run("zero without another server", func(t *testing.T) {
		is := is.New(t)
		picker, s := newMeshPicker(), meshService(1, 0)
		finishRequest(picker, s.Servers[0], jaypitch.MeshLoadReport{Mean: mean}, executed, start)
		is.Equal(picker.Pick(s, pickRequest, start).AlternativeTime, time.Duration(0))
	})
	t.Run("the mean of the chosen server and the extra cost of the next one", func(t *testing.T) {
		is := is.New(t)
		picker, s := newMeshPicker(), meshService(2, 0)
		finishRequest(picker, s.Servers[0], jaypitch.MeshLoadReport{Mean: mean}, executed, start)
		finishRequest(picker, s.Servers[1], jaypitch.MeshLoadReport{Mean: 3 * mean}, executed, start)
		got := picker.Pick(s, pickRequest, start).AlternativeTime
		is.True(got > 3*mean)
		is.True(got < 4*mean)
	})
	t.Run("zero if the rule's requests fail at all servers", func(t *testing.T) {
		is := is.New(t)
		picker, s := newMeshPicker(), meshService(2, 0)
		failed := jaypitch.MeshResponse{Execution: jaypitch.Executed, ServiceTime: mean, Status: 500}
		for range 10 {
			finishRequest(picker, s.Servers[0], jaypitch.MeshLoadReport{Mean: mean}, failed, start)
			finishRequest(picker, s.Servers[1], jaypitch.MeshLoadReport{Mean: mean}, failed, start)
		}
		is.Equal(picker.Pick(s, pickRequest, start).AlternativeTime, time.Duration(0))
	})
}

func TestMeshPickerRateLimit(t *testing.T) {
	executed := jaypitch.MeshResponse{Execution: jaypitch.Executed, ServiceTime: 50 * time.Millisecond}
	mean := 50 * time.Millisecond
	limited := jaypitch.MeshLoadReport{Mean: mean, Limited: true, RateLimit: 10, LimitWait: 300 * time.Millisecond}
	request := pickRequest
	request.Deadline = start.Add(time.Second)
	t.Run("a server whose limit makes the request wait is picked last", func(t *testing.T) {
		is := is.New(t)
		picker, s := newMeshPicker(), meshService(2, 0)
		finishRequest(picker, s.Servers[0], limited, executed, start)
		finishRequest(picker, s.Servers[1], jaypitch.MeshLoadReport{InProgress: 9, Mean: mean}, executed, start)
		is.Equal(picker.Pick(s, request, start).Server.GetId(), "here_1")
		request := request
		request.Excluded = []string{"here_1"}
		p := picker.Pick(s, request, start)
		is.Equal(p.Server.GetId(), "here_0")
		is.Equal(p.RateLimit, 10.0)
		is.Equal(p.LimitHeardAt, start)
	})
	t.Run("each attempt takes one place of the limit", func(t *testing.T) {
		is := is.New(t)
		picker, s := newMeshPicker(), meshService(1, 0)
		finishRequest(picker, s.Servers[0], limited, executed, start)
		for range 7 {
			is.True(picker.Pick(s, request, start).Server != nil)
			picker.Start(s.Servers[0], start)
		}
		p := picker.Pick(s, request, start)
		is.True(p.Server == nil)
		is.True(p.Limited)
		is.Equal(p.RetryAfter, time.Second)
	})
	t.Run("a report without a limit ends it", func(t *testing.T) {
		is := is.New(t)
		picker, s := newMeshPicker(), meshService(1, 0)
		finishRequest(picker, s.Servers[0], limited, executed, start)
		finishRequest(picker, s.Servers[0], jaypitch.MeshLoadReport{Mean: mean}, executed, start)
		is.True(picker.Pick(s, request, start).LimitHeardAt.IsZero())
	})
}

// TestLimitServesLessUrgentFirst guards against a rate limit whose refusals hold off only the rule with the most requests.
func TestLimitServesLessUrgentFirst(t *testing.T) {
	mean := 50 * time.Millisecond
	limited := jaypitch.MeshLoadReport{Slots: 10, Mean: mean, Limited: true, RateLimit: 10}
	for name, c := range map[string]struct {
		refused int64
		code    jaypitch.Code
		rank    int64
		want    bool
	}{
		"less urgent waits too":                     {1, jaypitch.CodeServerLimit, 2, false},
		"equally urgent doesn't":                    {1, jaypitch.CodeServerLimit, 1, true},
		"more urgent doesn't":                       {1, jaypitch.CodeServerLimit, 0, true},
		"full slots hold off the refused rule only": {1, jaypitch.CodeOverloaded, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			picker, s := newMeshPicker(), meshService(1, 0)
			picker.Start(s.Servers[0], start)
			picker.Finish(s.Servers[0], "refused", c.refused, &jaypitch.MeshResponse{Execution: jaypitch.NotExecuted, Code: c.code, LoadReport: limited, RetryAfter: time.Second}, start)
			p := picker.Pick(s, PickRequest{Rule: "other", Rank: c.rank, Deadline: start.Add(time.Second)}, start)
			is.Equal(p.Server != nil, c.want)
		})
	}
}
