package admit

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/settings"
)

var start = time.Unix(0, 0)

// threeRanks are urgent, usual and late, with floors of 20, 20 and 10 percent.
func threeRanks() []*settings.Rank {
	return []*settings.Rank{{Name: "urgent", Order: 1, Floor: 0.2, Queue: 20, TargetUS: 1e6}, {Name: "usual", Order: 2, Floor: 0.2, Queue: 20, TargetUS: 1e6}, {Name: "late", Order: 3, Floor: 0.1, Queue: 20, TargetUS: 1e6}}
}

func newAdmission(slots int) *Admission {
	a := NewAdmission(slots)
	a.Configure(threeRanks())
	return a
}

func ticket(rank string) *AdmissionRequest {
	return &AdmissionRequest{Rank: rank, Deadline: start.Add(time.Hour), Decision: make(chan *jaypitch.Error, 1)}
}

// flood keeps the queues of some ranks full for a number of calls and returns the share of each rank started.
func flood(a *Admission, ranks []string, calls int) map[string]float64 {
	started := map[string]float64{}
	for range calls {
		for _, r := range ranks {
			for {
				run, err := a.Admit(ticket(r), start)
				if err != nil {
					break
				}
				if run {
					started[r]++
				}
			}
		}
		a.Finish("urgent", Served, 5*time.Millisecond, start)
		next, _ := a.Next(start)
		for _, t := range next {
			started[t.Rank]++
		}
	}
	total := 0.0
	for _, n := range started {
		total += n
	}
	for r := range started {
		started[r] /= total
	}
	return started
}

func TestFloors(t *testing.T) {
	cases := []struct {
		name  string
		ranks []string
		least map[string]float64
	}{
		{"flood of the least urgent", []string{"late", "urgent", "usual"}, map[string]float64{"urgent": 0.6, "usual": 0.19, "late": 0.09}},
		{"flood of the most urgent", []string{"urgent", "usual", "late"}, map[string]float64{"urgent": 0.6, "usual": 0.19, "late": 0.09}},
		{"late alone gets all", []string{"late"}, map[string]float64{"late": 1}},
		{"what an idle rank leaves goes to the others", []string{"usual", "late"}, map[string]float64{"usual": 0.85, "late": 0.09}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := flood(newAdmission(13), c.ranks, 2000)
			for r, least := range c.least {
				is.True(got[r] >= least)
			}
		})
	}
}

func TestArrive(t *testing.T) {
	full := func() *Admission {
		a := newAdmission(1)
		_, _ = a.Admit(ticket("urgent"), start)
		return a
	}
	cases := []struct {
		name string
		a    *Admission
		rank string
		left time.Duration
		run  bool
		code jaypitch.Code
	}{
		{"free slot", newAdmission(1), "late", time.Second, true, jaypitch.CodeOK},
		{"no free slot", full(), "late", time.Second, false, jaypitch.CodeOK},
		{"deadline passed", newAdmission(1), "late", 0, false, jaypitch.CodeDeadline},
		{"deadline too near for the wait", full(), "late", 2 * time.Millisecond, false, jaypitch.CodeOverloaded},
		{"rank not held", full(), "gone", time.Second, false, jaypitch.CodeRouteWithdrawn},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := ticket(c.rank)
			k.Deadline = start.Add(c.left)
			run, err := c.a.Admit(k, start)
			is.Equal(run, c.run)
			if c.code == jaypitch.CodeOK {
				is.True(err == nil)
				return
			}
			is.Equal(err.Code, c.code)
			is.Equal(err.Code.Info().Execution, jaypitch.NotExecuted)
		})
	}
}

func TestLimit(t *testing.T) {
	is := is.New(t)
	a := newAdmission(10)
	_, _ = a.Admit(ticket("urgent"), start)
	a.Finish("urgent", Shed, time.Millisecond, start)
	is.Equal(a.Limit(), 8)
	for range 100 {
		_, _ = a.Admit(ticket("urgent"), start)
		a.Finish("urgent", Shed, time.Millisecond, start)
	}
	is.Equal(a.Limit(), 1)
	flood(a, []string{"urgent"}, 200)
	is.Equal(a.Limit(), 10)
}

func TestNothingIsStartedInVain(t *testing.T) {
	is := is.New(t)
	a := newAdmission(1)
	_, _ = a.Admit(ticket("urgent"), start)
	soon := ticket("urgent")
	soon.Deadline = start.Add(300 * time.Millisecond)
	_, err := a.Admit(soon, start)
	is.True(err == nil)
	a.Finish("urgent", Served, 200*time.Millisecond, start.Add(200*time.Millisecond))
	started, expired := a.Next(start.Add(200 * time.Millisecond))
	is.Equal(len(started), 0)
	is.Equal(expired, []*AdmissionRequest{soon})
}

func TestRankWithdrawn(t *testing.T) {
	is := is.New(t)
	a := newAdmission(1)
	_, _ = a.Admit(ticket("urgent"), start)
	waiting := ticket("late")
	_, _ = a.Admit(waiting, start)
	gone := a.Configure(threeRanks()[:2])
	is.Equal(gone, []*AdmissionRequest{waiting})
	is.Equal(a.Queued(), 0)
}

// TestNoTicketIsLost runs drawn events: a ticket that waits is started, expired, cancelled or handed back once, and
// no more run than the limit when they are started.
func TestNoTicketIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAdmission(rapid.IntRange(1, 4).Draw(t, "slots"))
		now := start
		var waiting []*AdmissionRequest
		running := 0
		out := func(tickets []*AdmissionRequest) {
			for _, k := range tickets {
				i := slices.Index(waiting, k)
				if i < 0 {
					t.Fatalf("a ticket that doesn't wait comes out")
				}
				waiting = slices.Delete(waiting, i, i+1)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1, 2:
				k := ticket(rapid.SampledFrom([]string{"urgent", "usual", "late"}).Draw(t, "rank"))
				k.Deadline = now.Add(rapid.SampledFrom([]time.Duration{10, 50, 1000}).Draw(t, "left") * time.Millisecond)
				run, err := a.Admit(k, now)
				if run {
					running++
				} else if err == nil {
					waiting = append(waiting, k)
				}
			case 3:
				if running > 0 {
					a.Finish("urgent", rapid.SampledFrom([]Outcome{Served, Failed, Shed}).Draw(t, "outcome"), time.Millisecond, now)
					running--
				}
				started, expired := a.Next(now)
				running += len(started)
				out(started)
				out(expired)
				if len(started) > 0 && running > a.Limit() {
					t.Fatalf("%d run; the limit is %d", running, a.Limit())
				}
			case 4:
				now = now.Add(20 * time.Millisecond)
			case 5:
				if len(waiting) == 0 {
					continue
				}
				k := waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "cancelled")]
				if !a.Cancel(k) {
					t.Fatalf("a waiting ticket can't be cancelled")
				}
				out([]*AdmissionRequest{k})
			}
			if a.Queued() != len(waiting) || a.InProgress() != running {
				t.Fatalf("counts are %d waiting, %d running; want %d, %d", a.Queued(), a.InProgress(), len(waiting), running)
			}
		}
	})
}
