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

func newChooser() *MeshPicker {
	return NewMeshPicker("here", func() float64 { return 0.5 })
}

// tell lets a server answer one request with a load.
func tell(c *MeshPicker, v *schema.MeshServer, l jaypitch.MeshLoadReport, r jaypitch.MeshResponse, now time.Time) {
	c.Start(v, now)
	l.Slots = 10
	r.LoadReport = l
	c.Finish(v, "r", &r, now)
}

var query = PickRequest{Rule: "r", LatencyTarget: 500 * time.Millisecond}

func TestChooseServer(t *testing.T) {
	answered := jaypitch.MeshResponse{Execution: jaypitch.Executed, ServiceTime: 50 * time.Millisecond}
	mean := 50 * time.Millisecond
	for name, c := range map[string]struct {
		first, second jaypitch.MeshLoadReport
		reply         jaypitch.MeshResponse
		want          string
	}{
		"free slots":  {jaypitch.MeshLoadReport{InProgress: 9, Mean: mean}, jaypitch.MeshLoadReport{InProgress: 2, Mean: mean}, answered, "here_1"},
		"speed":       {jaypitch.MeshLoadReport{Mean: 5 * mean}, jaypitch.MeshLoadReport{InProgress: 7, Mean: mean}, answered, "here_1"},
		"grey":        {jaypitch.MeshLoadReport{Mean: mean, Failing: 0.5}, jaypitch.MeshLoadReport{InProgress: 9, Mean: mean}, answered, "here_1"},
		"stopping":    {jaypitch.MeshLoadReport{Mean: mean, Stopping: true}, jaypitch.MeshLoadReport{InProgress: 9, Mean: mean}, answered, "here_1"},
		"misdirected": {jaypitch.MeshLoadReport{Mean: mean}, jaypitch.MeshLoadReport{InProgress: 9, Mean: mean}, jaypitch.MeshResponse{Execution: jaypitch.NotExecuted, Code: jaypitch.CodeMisdirected}, "here_1"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ch, s := newChooser(), meshService(2, 0)
			tell(ch, s.Servers[0], c.first, c.reply, start)
			tell(ch, s.Servers[1], c.second, answered, start)
			is.Equal(ch.Pick(s, query, start).Server.GetId(), c.want)
		})
	}
	t.Run("the own data centre, unless it is much fuller", func(t *testing.T) {
		is := is.New(t)
		ch, s := newChooser(), meshService(1, 1)
		is.Equal(ch.Pick(s, query, start).Server.GetId(), "here_0")
		tell(ch, s.Servers[0], jaypitch.MeshLoadReport{InProgress: 10, Queued: 10, Mean: mean}, answered, start)
		is.Equal(ch.Pick(s, query, start).Server.GetId(), "there_1")
		big := query
		big.BodyBytes = 10_000
		is.Equal(ch.Pick(s, big, start).Server.GetId(), "here_0")
	})
	t.Run("the nearer one of two elsewhere", func(t *testing.T) {
		is := is.New(t)
		ch, s := newChooser(), meshService(0, 2)
		far, near := answered, answered
		far.NetworkTime, near.NetworkTime = 110*time.Millisecond, time.Millisecond
		tell(ch, s.Servers[0], jaypitch.MeshLoadReport{Mean: mean}, far, start)
		tell(ch, s.Servers[1], jaypitch.MeshLoadReport{InProgress: 6, Mean: mean}, near, start)
		is.Equal(ch.Pick(s, query, start).Server.GetId(), "there_1")
	})
	t.Run("not one that can't be reached, until it is alive", func(t *testing.T) {
		is := is.New(t)
		ch, s := newChooser(), meshService(1, 0)
		ch.Start(s.Servers[0], start)
		ch.Finish(s.Servers[0], "r", jaypitch.NotExecutedResponse(jaypitch.CodeUnreachable, "down"), start)
		is.True(ch.Pick(s, query, start.Add(time.Hour)).Server == nil)
		is.Equal(ch.Unresponsive(start), s.Servers)
		ch.RecordProbe("here_0", true, start)
		is.True(ch.Pick(s, query, start).Server != nil)
	})
	t.Run("not one that has no room for the rule", func(t *testing.T) {
		is := is.New(t)
		ch, s := newChooser(), meshService(1, 0)
		tell(ch, s.Servers[0], jaypitch.MeshLoadReport{}, jaypitch.MeshResponse{Execution: jaypitch.NotExecuted, Code: jaypitch.CodeOverloaded, RetryAfter: 50 * time.Millisecond}, start)
		p := ch.Pick(s, query, start)
		is.True(p.Server == nil)
		is.Equal(p.RetryAfter, 50*time.Millisecond)
		other := query
		other.Rule = "other"
		is.True(ch.Pick(s, other, start).Server != nil)
	})
	t.Run("one that has been silent is asked, and is dead if it gives no sign", func(t *testing.T) {
		is := is.New(t)
		ch, s := newChooser(), meshService(1, 0)
		ch.Start(s.Servers[0], start)
		is.Equal(len(ch.Unresponsive(start.Add(silentAfter))), 0)
		is.Equal(len(ch.Unresponsive(start.Add(silentAfter+1))), 1)
		is.True(ch.RecordProbe("here_0", false, start.Add(silentAfter+1)))
		is.True(!ch.RecordProbe("here_0", false, start.Add(silentAfter+1)))
		is.True(ch.Pick(s, query, start).Server == nil)
	})
	t.Run("none of those tried", func(t *testing.T) {
		is := is.New(t)
		q := query
		q.Excluded = []string{"here_0"}
		is.True(newChooser().Pick(meshService(1, 0), q, start).Server == nil)
	})
}

func TestALargeServiceIsSampled(t *testing.T) {
	is := is.New(t)
	draw := 0.0
	ch := NewMeshPicker("here", func() float64 { return draw })
	all := meshService(200, 0).Servers
	seen := map[string]bool{}
	for i := range 20 {
		draw = float64(i) / 20
		some := ch.sample(all)
		is.Equal(len(some), maxWeighed)
		for _, v := range some {
			seen[v.GetId()] = true
		}
	}
	is.Equal(len(seen), len(all))
	is.Equal(len(ch.sample(all[:10])), 10)
}

func TestCommonFailure(t *testing.T) {
	is := is.New(t)
	ch, s := newChooser(), meshService(8, 0)
	answer := func(n int, status func(i int) int) {
		for i := range n {
			tell(ch, s.Servers[i%8], jaypitch.MeshLoadReport{}, jaypitch.MeshResponse{Execution: jaypitch.Executed, Status: status(i)}, start)
		}
	}
	answer(400, func(i int) int { return map[bool]int{true: 500, false: 200}[i%16 == 0] })
	is.True(!ch.SharedFailure("r"))
	answer(100, func(i int) int { return map[bool]int{true: 500, false: 200}[i%2 == 0] })
	is.True(ch.SharedFailure("r"))
	answer(200, func(int) int { return 200 })
	is.True(!ch.SharedFailure("r"))
}

func TestQuotaKeepsTheBoundOverAnyWindow(t *testing.T) {
	is := is.New(t)
	const hosts, ratio, slack = 10, 0.2, 60
	q := NewMeshRetryBudget(ratio, slack, 10*time.Second)
	var first, further []time.Time
	for i := range 4000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		q.RecordRequest("x", now)
		first = append(first, now)
		for q.Spend("x", hosts, now) {
			further = append(further, now)
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
		is.True(float64(count(further, from)) <= ratio*float64(count(first, from))+slack/hosts)
	}
	is.True(len(further) > 100)
}

func TestQuotaForgetsOldCounts(t *testing.T) {
	is := is.New(t)
	q := NewMeshRetryBudget(1, 0, time.Second)
	for range 100 {
		q.RecordRequest("x", start)
	}
	is.True(q.Spend("x", 1, start))
	is.True(!q.Spend("x", 1, start.Add(10*time.Second)))
}

func TestABodyIsHeldBackOnlyWhereThatPays(t *testing.T) {
	for name, c := range map[string]struct {
		here, inUse, body int
		want              bool
	}{
		"another data centre, no free slot": {0, 10, 4000, true},
		"a free slot":                       {0, 9, 4000, false},
		"a small body":                      {0, 10, 100, false},
		"the own data centre":               {1, 10, 4000, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ch, s := newChooser(), meshService(c.here, 1-c.here)
			tell(ch, s.Servers[0], jaypitch.MeshLoadReport{InProgress: c.inUse}, jaypitch.MeshResponse{Execution: jaypitch.Executed}, start)
			q := query
			q.BodyBytes = c.body
			is.Equal(ch.Pick(s, q, start).ExpectContinue, c.want)
		})
	}
}

func TestElsewhere(t *testing.T) {
	mean, worked := 50*time.Millisecond, jaypitch.MeshResponse{Execution: jaypitch.Executed, ServiceTime: 50 * time.Millisecond}
	t.Run("nothing is known before the first answer", func(t *testing.T) {
		is := is.New(t)
		is.Equal(newChooser().Pick(meshService(2, 0), query, start).AlternativeTime, time.Duration(0))
	})
	t.Run("there is no other server", func(t *testing.T) {
		is := is.New(t)
		ch, s := newChooser(), meshService(1, 0)
		tell(ch, s.Servers[0], jaypitch.MeshLoadReport{Mean: mean}, worked, start)
		is.Equal(ch.Pick(s, query, start).AlternativeTime, time.Duration(0))
	})
	t.Run("the mean here, and what the next one takes more", func(t *testing.T) {
		is := is.New(t)
		ch, s := newChooser(), meshService(2, 0)
		tell(ch, s.Servers[0], jaypitch.MeshLoadReport{Mean: mean}, worked, start)
		tell(ch, s.Servers[1], jaypitch.MeshLoadReport{Mean: 3 * mean}, worked, start)
		got := ch.Pick(s, query, start).AlternativeTime
		is.True(got > 3*mean)
		is.True(got < 4*mean)
	})
	t.Run("nowhere is better where all fail", func(t *testing.T) {
		is := is.New(t)
		ch, s := newChooser(), meshService(2, 0)
		failed := jaypitch.MeshResponse{Execution: jaypitch.Executed, ServiceTime: mean, Status: 500}
		for range 10 {
			tell(ch, s.Servers[0], jaypitch.MeshLoadReport{Mean: mean}, failed, start)
			tell(ch, s.Servers[1], jaypitch.MeshLoadReport{Mean: mean}, failed, start)
		}
		is.Equal(ch.Pick(s, query, start).AlternativeTime, time.Duration(0))
	})
}
