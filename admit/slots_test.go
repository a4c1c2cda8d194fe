package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
)

const ms = time.Millisecond

var slotsStart = time.Unix(1000, 0)

// neverRefuse and alwaysRefuse are sources of random numbers with which no request, or every one that may be, is refused at random.
func neverRefuse() float64  { return 0.999999 }
func alwaysRefuse() float64 { return 0 }

// slotRequest returns a request that arrives now, with its target deadline and deadline after the given times.
func slotRequest(rule string, rank int64, now time.Time, target, timeout time.Duration) *SlotRequest {
	return &SlotRequest{Rule: rule, Rank: rank, TargetDeadline: now.Add(target), Deadline: now.Add(timeout), Decision: make(chan *jaypitch.Error, 1)}
}

// busySlots returns slots that are all in use, and their requests. The mean service time is 100 ms, for rule a and overall.
func busySlots(t *testing.T, size int, random func() float64) (*Slots, []*SlotRequest) {
	t.Helper()
	s := NewSlots(size, random)
	first := slotRequest("a", 1, slotsStart, 400*ms, time.Second)
	run, e := s.Admit(first, slotsStart)
	if !run || e != nil {
		t.Fatal("a request to an idle server did not start")
	}
	s.Finish(first, 100*ms)
	s.meanServiceUS = float64((100 * ms).Microseconds())
	var inProgress []*SlotRequest
	for range size {
		w := slotRequest("a", 1, slotsStart, 400*ms, time.Second)
		if run, _ := s.Admit(w, slotsStart); !run {
			t.Fatal("a request did not start although a slot is free")
		}
		inProgress = append(inProgress, w)
	}
	return s, inProgress
}

// assertRefused checks that Admit refuses a request with a code.
func assertRefused(t *testing.T, s *Slots, w *SlotRequest, now time.Time, want jaypitch.Code) {
	t.Helper()
	run, e := s.Admit(w, now)
	if run || e == nil || e.Code != want {
		t.Fatalf("started %t, refusal %v; want a refusal with code %d", run, e, want)
	}
}

func TestSlotsNeverExceedTheirSize(t *testing.T) {
	is := is.New(t)
	s, inProgress := busySlots(t, 3, neverRefuse)
	w := slotRequest("a", 1, slotsStart, 400*ms, time.Second)
	run, e := s.Admit(w, slotsStart)
	is.True(!run && e == nil)
	s.Finish(inProgress[0], 100*ms)
	start, expired := s.Next(slotsStart.Add(10 * ms))
	is.Equal(start, []*SlotRequest{w})
	is.Equal(len(expired), 0)
	is.Equal(s.InProgress(), 3)
}

func TestSlotsOrder(t *testing.T) {
	is := is.New(t)
	s, inProgress := busySlots(t, 1, neverRefuse)
	slow := slotRequest("slow", 2, slotsStart, 900*ms, 2*time.Second)
	quick := slotRequest("a", 1, slotsStart, 300*ms, 2*time.Second)
	late := slotRequest("a", 1, slotsStart, 1*ms, 2*time.Second)
	for _, w := range []*SlotRequest{late, slow, quick} {
		_, e := s.Admit(w, slotsStart)
		is.True(e == nil)
	}
	at := slotsStart.Add(20 * ms)
	for _, want := range []*SlotRequest{quick, slow, late} {
		s.Finish(inProgress[0], 100*ms)
		start, _ := s.Next(at)
		is.Equal(start, []*SlotRequest{want})
		inProgress[0] = want
	}
}

// TestSlotSpentOnLateRequest guards against a slot for a request that can no longer meet its target while one waits that can.
func TestSlotSpentOnLateRequest(t *testing.T) {
	is := is.New(t)
	s, inProgress := busySlots(t, 1, neverRefuse)
	late := slotRequest("a", 1, slotsStart, 150*ms, 2*time.Second)
	inTime := slotRequest("a", 1, slotsStart, 250*ms, 2*time.Second)
	for _, w := range []*SlotRequest{late, inTime} {
		_, e := s.Admit(w, slotsStart)
		is.True(e == nil)
	}
	s.Finish(inProgress[0], 100*ms)
	start, _ := s.Next(slotsStart.Add(100 * ms))
	is.Equal(start, []*SlotRequest{inTime})
}

func TestSlotsRefuse(t *testing.T) {
	t.Run("a request that can't complete by its deadline", func(t *testing.T) {
		s, _ := busySlots(t, 1, neverRefuse)
		assertRefused(t, s, slotRequest("a", 1, slotsStart, 50*ms, 50*ms), slotsStart, jaypitch.CodeDeadline)
	})
	t.Run("a request that would complete later than at another server", func(t *testing.T) {
		s, _ := busySlots(t, 1, neverRefuse)
		w := slotRequest("a", 1, slotsStart, 400*ms, time.Second)
		w.CompleteBy = slotsStart.Add(105 * ms)
		assertRefused(t, s, w, slotsStart, jaypitch.CodeBusy)
	})
	t.Run("none at random during a short burst", func(t *testing.T) {
		is := is.New(t)
		s, _ := busySlots(t, 1, alwaysRefuse)
		for range 4 {
			_, e := s.Admit(slotRequest("a", 1, slotsStart, 400*ms, time.Second), slotsStart.Add(50*ms))
			is.True(e == nil)
		}
	})
	t.Run("at random once the queue has not been empty for a while, less urgent ranks sooner", func(t *testing.T) {
		is := is.New(t)
		draw := 0.999999
		s, _ := busySlots(t, 2, func() float64 { return draw })
		for range 4 {
			_, e := s.Admit(slotRequest("a", 1, slotsStart, 400*ms, time.Second), slotsStart.Add(ms))
			is.True(e == nil)
		}
		at := slotsStart.Add(300 * ms)
		// The queue takes 200 ms, and requests of rule a may be queued for 270 ms, so the probability is (200/270-0.4)/0.6 = 0.57.
		// It is 0.71 for the next rank.
		draw = 0.64
		_, e := s.Admit(slotRequest("a", 1, at, 400*ms, time.Second), at)
		is.True(e == nil)
		s.Cancel(s.queue[4])
		assertRefused(t, s, slotRequest("b", 2, at, 900*ms, 3*time.Second), at, jaypitch.CodeOverloaded)
	})
}

func TestSlotsExpireQueuedRequests(t *testing.T) {
	is := is.New(t)
	s, inProgress := busySlots(t, 1, neverRefuse)
	w := slotRequest("a", 1, slotsStart, 400*ms, 500*ms)
	_, e := s.Admit(w, slotsStart)
	is.True(e == nil)
	s.Finish(inProgress[0], 100*ms)
	start, expired := s.Next(slotsStart.Add(450 * ms))
	is.Equal(len(start), 0)
	is.Equal(expired, []*SlotRequest{w})
	is.True(!s.Cancel(w))
}

func TestSlotsExpectedServiceTime(t *testing.T) {
	for name, c := range map[string]struct {
		size int
		at   time.Duration
		want time.Duration
	}{
		"the mean":                                                {4, 60 * ms, 100 * ms},
		"a multiple if all requests take longer":                  {4, 600 * ms, 500 * ms},
		"the mean if a single request takes twice as long":        {1, 200 * ms, 100 * ms},
		"a multiple if a single request takes nine times as long": {1, 900 * ms, 500 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, _ := busySlots(t, c.size, neverRefuse)
			is.Equal(s.ExpectedServiceTime("a", slotsStart.Add(c.at)), c.want)
		})
	}
}

func TestSlotsCompleteBy(t *testing.T) {
	for name, c := range map[string]struct {
		completeBy time.Duration
		want       bool
	}{
		"starts if it completes in time":                       {110 * ms, true},
		"is refused on a slow server, although a slot is free": {60 * ms, false},
		"starts if no other server is better":                  {0, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, inProgress := busySlots(t, 2, neverRefuse)
			s.Finish(inProgress[0], 100*ms)
			w := slotRequest("a", 1, slotsStart, 400*ms, time.Second)
			if c.completeBy > 0 {
				w.CompleteBy = slotsStart.Add(c.completeBy)
			}
			run, e := s.Admit(w, slotsStart)
			is.Equal(run, c.want)
			is.Equal(e == nil, c.want)
		})
	}
}
