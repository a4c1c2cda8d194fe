package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
)

const ms = time.Millisecond

var slotsStart = time.Unix(1000, 0)

// never and always are draws that refuse nothing and everything that may be refused by chance.
func never() float64  { return 0.999999 }
func always() float64 { return 0 }

func wish(rule string, rank int64, now time.Time, target, timeout time.Duration) *SlotRequest {
	return &SlotRequest{Rule: rule, Rank: rank, TargetDeadline: now.Add(target), Deadline: now.Add(timeout), Decision: make(chan *jaypitch.Error, 1)}
}

// busySlots returns slots of which all are taken, with a mean time of 100 ms for rule a.
func busySlots(t *testing.T, size int, random func() float64) (*Slots, []*SlotRequest) {
	t.Helper()
	s := NewSlots(size, random)
	first := wish("a", 1, slotsStart, 400*ms, time.Second)
	run, e := s.Admit(first, slotsStart)
	if !run || e != nil {
		t.Fatal("an empty server takes no request")
	}
	s.Finish(first, 100*ms)
	s.all = float64((100 * ms).Microseconds())
	var running []*SlotRequest
	for range size {
		w := wish("a", 1, slotsStart, 400*ms, time.Second)
		if run, _ := s.Admit(w, slotsStart); !run {
			t.Fatal("a free slot is not given")
		}
		running = append(running, w)
	}
	return s, running
}

// assertRefused checks that a request is refused with a code.
func assertRefused(t *testing.T, s *Slots, w *SlotRequest, now time.Time, want jaypitch.Code) {
	t.Helper()
	run, e := s.Admit(w, now)
	if run || e == nil || e.Code != want {
		t.Fatalf("run %t, refusal %v; want code %d", run, e, want)
	}
}

func TestSlotsNeverExceedTheirSize(t *testing.T) {
	is := is.New(t)
	s, running := busySlots(t, 3, never)
	w := wish("a", 1, slotsStart, 400*ms, time.Second)
	run, e := s.Admit(w, slotsStart)
	is.True(!run && e == nil)
	s.Finish(running[0], 100*ms)
	start, late := s.Next(slotsStart.Add(10 * ms))
	is.Equal(start, []*SlotRequest{w})
	is.Equal(len(late), 0)
	is.Equal(s.InProgress(), 3)
}

func TestSlotsOrder(t *testing.T) {
	is := is.New(t)
	s, running := busySlots(t, 1, never)
	slow := wish("slow", 2, slotsStart, 900*ms, 2*time.Second)
	quick := wish("a", 1, slotsStart, 300*ms, 2*time.Second)
	over := wish("a", 1, slotsStart, 1*ms, 2*time.Second)
	for _, w := range []*SlotRequest{over, slow, quick} {
		_, e := s.Admit(w, slotsStart)
		is.True(e == nil)
	}
	at := slotsStart.Add(20 * ms)
	for _, want := range []*SlotRequest{quick, slow, over} {
		s.Finish(running[0], 100*ms)
		start, _ := s.Next(at)
		is.Equal(start, []*SlotRequest{want})
		running[0] = want
	}
}

func TestSlotsRefuse(t *testing.T) {
	t.Run("what can't end by its deadline", func(t *testing.T) {
		s, _ := busySlots(t, 1, never)
		assertRefused(t, s, wish("a", 1, slotsStart, 50*ms, 50*ms), slotsStart, jaypitch.CodeDeadline)
	})
	t.Run("what waits longer than elsewhere", func(t *testing.T) {
		s, _ := busySlots(t, 1, never)
		w := wish("a", 1, slotsStart, 400*ms, time.Second)
		w.CompleteBy = slotsStart.Add(105 * ms)
		assertRefused(t, s, w, slotsStart, jaypitch.CodeBusy)
	})
	t.Run("nothing by chance while the queue is a short burst", func(t *testing.T) {
		is := is.New(t)
		s, _ := busySlots(t, 1, always)
		for range 4 {
			_, e := s.Admit(wish("a", 1, slotsStart, 400*ms, time.Second), slotsStart.Add(50*ms))
			is.True(e == nil)
		}
	})
	t.Run("by chance once the queue has stood, less urgent ranks sooner", func(t *testing.T) {
		is := is.New(t)
		draw := 0.999999
		s, _ := busySlots(t, 2, func() float64 { return draw })
		for range 4 {
			_, e := s.Admit(wish("a", 1, slotsStart, 400*ms, time.Second), slotsStart.Add(ms))
			is.True(e == nil)
		}
		at := slotsStart.Add(300 * ms)
		// 200 ms wait; answers of rule a may wait 270 ms, so the chance is (200/270-0.4)/0.6 = 0.57, and 0.71 a rank below.
		draw = 0.64
		_, e := s.Admit(wish("a", 1, at, 400*ms, time.Second), at)
		is.True(e == nil)
		s.Cancel(s.waiting[4])
		assertRefused(t, s, wish("b", 2, at, 900*ms, 3*time.Second), at, jaypitch.CodeOverloaded)
	})
}

func TestSlotsLate(t *testing.T) {
	is := is.New(t)
	s, running := busySlots(t, 1, never)
	w := wish("a", 1, slotsStart, 400*ms, 500*ms)
	_, e := s.Admit(w, slotsStart)
	is.True(e == nil)
	s.Finish(running[0], 100*ms)
	start, late := s.Next(slotsStart.Add(450 * ms))
	is.Equal(len(start), 0)
	is.Equal(late, []*SlotRequest{w})
	is.True(!s.Cancel(w))
}

func TestSlotsExpect(t *testing.T) {
	for name, c := range map[string]struct {
		size int
		at   time.Duration
		want time.Duration
	}{
		"the mean":                                 {4, 60 * ms, 100 * ms},
		"more once all take longer":                {4, 600 * ms, 500 * ms},
		"one long request doesn't say much":        {1, 200 * ms, 100 * ms},
		"a very long one says that it is slow too": {1, 900 * ms, 500 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, _ := busySlots(t, c.size, never)
			is.Equal(s.ExpectedServiceTime("a", slotsStart.Add(c.at)), c.want)
		})
	}
}

func TestSlotsRefuseWhatEndsSoonerElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		endBy time.Duration
		want  bool
	}{
		"a free slot is taken":                        {110 * ms, true},
		"a slow server's free slot isn't":             {60 * ms, false},
		"it is if nowhere else is known to be better": {0, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, running := busySlots(t, 2, never)
			s.Finish(running[0], 100*ms)
			w := wish("a", 1, slotsStart, 400*ms, time.Second)
			if c.endBy > 0 {
				w.CompleteBy = slotsStart.Add(c.endBy)
			}
			run, e := s.Admit(w, slotsStart)
			is.Equal(run, c.want)
			is.Equal(e == nil, c.want)
		})
	}
}
