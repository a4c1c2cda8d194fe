package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
)

// startsWithin counts the requests that a pacer starts at a limit within a time, if requests come all the time.
func startsWithin(p *Pacer, from time.Time, d time.Duration) int {
	n := 0
	for now := from; now.Before(from.Add(d)); now = now.Add(ms) {
		for p.Wait(1, now) == 0 {
			p.Start(now)
			n++
		}
	}
	return n
}

func TestPacerKeepsToLimit(t *testing.T) {
	for rate, want := range map[float64][2]int{0: {2, 3}, 0.3: {2, 3}, 1: {4, 5}, 6.5: {26, 30}, 40: {160, 181}} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			is := is.New(t)
			var p Pacer
			p.SetLimit(rate, slotsStart)
			got := startsWithin(&p, slotsStart, 4*time.Second)
			is.True(want[0] <= got && got <= want[1])
		})
	}
	t.Run("without a limit nothing waits", func(t *testing.T) {
		is := is.New(t)
		var p Pacer
		p.SetLimit(1, slotsStart)
		p.Start(slotsStart)
		p.Clear()
		is.Equal(p.Wait(1000, slotsStart), time.Duration(0))
	})
	t.Run("a higher limit applies at once", func(t *testing.T) {
		is := is.New(t)
		var p Pacer
		p.SetLimit(0, slotsStart)
		p.Start(slotsStart)
		p.SetLimit(10, slotsStart.Add(ms))
		is.True(p.Wait(1, slotsStart.Add(ms)) <= 100*ms)
	})
}

// limitedSlots returns four free slots, with mean service times of 100 ms and a limit of two requests a second that has just been used.
func limitedSlots(t *testing.T, random func() float64) *Slots {
	t.Helper()
	s, inProgress := busySlots(t, 4, random)
	for _, w := range inProgress {
		s.Finish(w, 100*ms)
	}
	s.SetLimit(2, slotsStart)
	if run, e := s.Admit(slotRequest("a", 1, slotsStart, 400*ms, time.Second), slotsStart); !run || e != nil {
		t.Fatal("the first request did not start")
	}
	return s
}

func TestSlotsWaitForLimit(t *testing.T) {
	t.Run("a queued request starts when the limit allows it", func(t *testing.T) {
		is := is.New(t)
		s := limitedSlots(t, neverRefuse)
		w := slotRequest("a", 1, slotsStart, 900*ms, time.Second)
		run, e := s.Admit(w, slotsStart)
		is.True(!run && e == nil)
		at := s.NextStart(slotsStart)
		is.Equal(at, slotsStart.Add(500*ms))
		start, _ := s.Next(at.Add(-ms))
		is.Equal(len(start), 0)
		start, _ = s.Next(at)
		is.Equal(start, []*SlotRequest{w})
	})
	t.Run("a request that the limit makes too late is refused at once", func(t *testing.T) {
		is := is.New(t)
		s := limitedSlots(t, neverRefuse)
		w := slotRequest("a", 1, slotsStart, 400*ms, 550*ms)
		assertRefused(t, s, w, slotsStart, jaypitch.CodeServerLimit)
		is.Equal(s.RetryAfter(w, slotsStart), 500*ms)
	})
	t.Run("the more urgent of two queued requests starts first", func(t *testing.T) {
		is := is.New(t)
		s := limitedSlots(t, neverRefuse)
		lessUrgent, urgent := slotRequest("b", 2, slotsStart, 900*ms, 3*time.Second), slotRequest("a", 1, slotsStart, 700*ms, 3*time.Second)
		for _, w := range []*SlotRequest{lessUrgent, urgent} {
			_, e := s.Admit(w, slotsStart)
			is.True(e == nil)
		}
		start, _ := s.Next(slotsStart.Add(500 * ms))
		is.Equal(start, []*SlotRequest{urgent})
	})
	t.Run("the queued requests start when the limit ends", func(t *testing.T) {
		is := is.New(t)
		s := limitedSlots(t, neverRefuse)
		w := slotRequest("a", 1, slotsStart, 900*ms, time.Second)
		_, e := s.Admit(w, slotsStart)
		is.True(e == nil)
		s.ClearLimit()
		start, _ := s.Next(slotsStart)
		is.Equal(start, []*SlotRequest{w})
	})
}
