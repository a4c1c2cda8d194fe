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

// threeRanks returns the ranks urgent, usual and late, with floors of 20, 20 and 10 percent.
func threeRanks() []*settings.Rank {
	return []*settings.Rank{{Name: "urgent", Order: 1, Floor: 0.2, Queue: 20, TargetUS: 1e6}, {Name: "usual", Order: 2, Floor: 0.2, Queue: 20, TargetUS: 1e6}, {Name: "late", Order: 3, Floor: 0.1, Queue: 20, TargetUS: 1e6}}
}

func newAdmission(slots int) *Admission {
	a := NewAdmission(slots)
	a.Configure(threeRanks())
	return a
}

// newRequest returns a request of a rank whose deadline is in an hour.
func newRequest(rank string) *AdmissionRequest {
	return &AdmissionRequest{Rank: rank, Deadline: start.Add(time.Hour), Decision: make(chan *jaypitch.Error, 1)}
}

// flood keeps the queues of some ranks full while a number of requests end. It returns the share of each rank in the started requests.
func flood(a *Admission, ranks []string, requests int) map[string]float64 {
	started := map[string]float64{}
	for range requests {
		for _, r := range ranks {
			for {
				run, err := a.Admit(newRequest(r), start)
				if err != nil {
					break
				}
				if run {
					started[r]++
				}
			}
		}
		a.Finish("urgent", Served, 5*time.Millisecond)
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
		{"least urgent rank first", []string{"late", "urgent", "usual"}, map[string]float64{"urgent": 0.6, "usual": 0.19, "late": 0.09}},
		{"most urgent rank first", []string{"urgent", "usual", "late"}, map[string]float64{"urgent": 0.6, "usual": 0.19, "late": 0.09}},
		{"a single rank gets all slots", []string{"late"}, map[string]float64{"late": 1}},
		{"the share of an idle rank goes to the others", []string{"usual", "late"}, map[string]float64{"usual": 0.85, "late": 0.09}},
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

func TestAdmit(t *testing.T) {
	full := func() *Admission {
		a := newAdmission(1)
		_, _ = a.Admit(newRequest("urgent"), start)
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
		{"deadline before the expected start", full(), "late", 2 * time.Millisecond, false, jaypitch.CodeOverloaded},
		{"unknown rank", full(), "gone", time.Second, false, jaypitch.CodeRouteWithdrawn},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := newRequest(c.rank)
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
	_, _ = a.Admit(newRequest("urgent"), start)
	a.Finish("urgent", Shed, time.Millisecond)
	is.Equal(a.Limit(), 8)
	for range 100 {
		_, _ = a.Admit(newRequest("urgent"), start)
		a.Finish("urgent", Shed, time.Millisecond)
	}
	is.Equal(a.Limit(), 1)
	flood(a, []string{"urgent"}, 200)
	is.Equal(a.Limit(), 10)
}

func TestExpiredRequestDoesNotStart(t *testing.T) {
	is := is.New(t)
	a := newAdmission(1)
	_, _ = a.Admit(newRequest("urgent"), start)
	soon := newRequest("urgent")
	soon.Deadline = start.Add(300 * time.Millisecond)
	_, err := a.Admit(soon, start)
	is.True(err == nil)
	a.Finish("urgent", Served, 200*time.Millisecond)
	started, expired := a.Next(start.Add(200 * time.Millisecond))
	is.Equal(len(started), 0)
	is.Equal(expired, []*AdmissionRequest{soon})
}

func TestRemovedRank(t *testing.T) {
	is := is.New(t)
	a := newAdmission(1)
	_, _ = a.Admit(newRequest("urgent"), start)
	queued := newRequest("late")
	_, _ = a.Admit(queued, start)
	removed := a.Configure(threeRanks()[:2])
	is.Equal(removed, []*AdmissionRequest{queued})
	is.Equal(a.Queued(), 0)
}

// TestNoRequestIsLost runs random sequences of events. A queued request leaves the queue once: started, expired or canceled.
// When requests start, no more are in progress than the limit.
func TestNoRequestIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAdmission(rapid.IntRange(1, 4).Draw(t, "slots"))
		now := start
		var queued []*AdmissionRequest
		inProgress := 0
		dequeued := func(requests []*AdmissionRequest) {
			for _, k := range requests {
				i := slices.Index(queued, k)
				if i < 0 {
					t.Fatalf("Next returned a request that isn't queued, or one that left the queue before")
				}
				queued = slices.Delete(queued, i, i+1)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1, 2:
				k := newRequest(rapid.SampledFrom([]string{"urgent", "usual", "late"}).Draw(t, "rank"))
				k.Deadline = now.Add(rapid.SampledFrom([]time.Duration{10, 50, 1000}).Draw(t, "left") * time.Millisecond)
				run, err := a.Admit(k, now)
				if run {
					inProgress++
				} else if err == nil {
					queued = append(queued, k)
				}
			case 3:
				if inProgress > 0 {
					a.Finish("urgent", rapid.SampledFrom([]Outcome{Served, Failed, Shed}).Draw(t, "outcome"), time.Millisecond)
					inProgress--
				}
				started, expired := a.Next(now)
				inProgress += len(started)
				dequeued(started)
				dequeued(expired)
				if len(started) > 0 && inProgress > a.Limit() {
					t.Fatalf("%d requests are in progress; the limit is %d", inProgress, a.Limit())
				}
			case 4:
				now = now.Add(20 * time.Millisecond)
			case 5:
				if len(queued) == 0 {
					continue
				}
				k := queued[rapid.IntRange(0, len(queued)-1).Draw(t, "cancelled")]
				if !a.Cancel(k) {
					t.Fatalf("Cancel did not find a queued request")
				}
				dequeued([]*AdmissionRequest{k})
			}
			if a.Queued() != len(queued) || a.InProgress() != inProgress {
				t.Fatalf("%d requests are queued and %d in progress; want %d and %d", a.Queued(), a.InProgress(), len(queued), inProgress)
			}
		}
	})
}
