package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// coldStep is one thing that a ColdState observes, at a time after the start of the test, and the time for which it counts as cold then.
type coldStep struct {
	at      time.Duration
	do      func(c *ColdState, now time.Time)
	coldFor time.Duration
}

var coldLimits = ColdLimits{Time: 3 * time.Second, Rate: 12, Overage: 1.5, Slack: 8, CanAsk: true}

// Steps of the tests.
var (
	nothing     = func(*ColdState, time.Time) {}
	refused     = func(c *ColdState, now time.Time) { c.ObserveFailure(true, now) }
	closed      = func(c *ColdState, now time.Time) { c.ObserveFailure(false, now) }
	responded   = func(c *ColdState, now time.Time) { c.ObserveResponse(now, now) }
	doubted     = func(c *ColdState, now time.Time) { c.Doubt(now) }
	saysNothing = func(c *ColdState, now time.Time) { c.ObserveSilence(now, now) }
)

// written is an entry of a server with its start.
func written(id string, born int64, cold time.Duration) func(*ColdState, time.Time) {
	return func(c *ColdState, now time.Time) { c.ObserveEntry(id, born, cold, now) }
}

// says is the server's word about its cold time, in the response to a request that was sent a time before.
func says(cold, before time.Duration) func(*ColdState, time.Time) {
	return func(c *ColdState, now time.Time) { c.ObserveCold(cold, now.Add(-before), now) }
}

// respondedTo is a response to a request that was sent a time before.
func respondedTo(before time.Duration) func(*ColdState, time.Time) {
	return func(c *ColdState, now time.Time) { c.ObserveResponse(now.Add(-before), now) }
}

// TestColdServerTakenForWarm guards against a server that counts as warm while it may be cold, and one that counts as cold after it said that it is warm.
func TestColdServerTakenForWarm(t *testing.T) {
	const forever = time.Hour
	for name, k := range map[string]struct {
		cannotAsk bool
		steps     []coldStep
	}{
		"own start beside a warm server":                  {false, []coldStep{{0, written("a", 1, 0), 3000 * ms}, {2 * ms, says(0, ms), 0}, {900 * ms, nothing, 0}}},
		"own start, and the server says nothing":          {false, []coldStep{{0, written("a", 1, 0), 3000 * ms}, {2 * ms, saysNothing, 0}}},
		"own start, and the server can't be asked":        {true, []coldStep{{0, written("a", 1, 0), 0}}},
		"own start beside a cold server":                  {false, []coldStep{{0, written("a", 1, 0), 3000 * ms}, {2 * ms, says(1500*ms, ms), 1500 * ms}, {1502 * ms, nothing, 0}}},
		"a new server that is cold":                       {false, []coldStep{{0, written("a", 1, 0), 3000 * ms}, {2 * ms, says(0, ms), 0}, {time.Second, written("b", 2, 2800*ms), 2800 * ms}}},
		"a new server that says nothing of it":            {false, []coldStep{{0, written("a", 1, 0), 3000 * ms}, {2 * ms, says(0, ms), 0}, {time.Second, written("b", 2, 0), 3000 * ms}}},
		"the same ID with another start":                  {false, []coldStep{{0, written("a", 1, 0), 3000 * ms}, {2 * ms, says(0, ms), 0}, {time.Second, written("a", 2, 0), 3000 * ms}}},
		"cold again without a restart":                    {true, []coldStep{{0, written("a", 1, 0), 0}, {time.Second, written("a", 1, 3000*ms), 3000 * ms}, {2 * time.Second, written("a", 1, 1000*ms), 2000 * ms}}},
		"refused, and back":                               {true, []coldStep{{0, written("a", 1, 0), 0}, {time.Second, refused, forever}, {9 * time.Second, nothing, forever}, {10 * time.Second, responded, 3000 * ms}}},
		"back, and says for how long it stays cold":       {false, []coldStep{{0, refused, forever}, {time.Second, responded, 3000 * ms}, {1100 * ms, says(2500*ms, ms), 2500 * ms}}},
		"one connection closed":                           {true, []coldStep{{0, written("a", 1, 0), 0}, {time.Second, closed, 0}, {2 * time.Second, responded, 0}, {3 * time.Second, closed, 0}}},
		"two in a row":                                    {true, []coldStep{{0, written("a", 1, 0), 0}, {time.Second, closed, 0}, {1010 * ms, closed, forever}}},
		"two in a row, and an earlier request lives on":   {true, []coldStep{{0, written("a", 1, 0), 0}, {time.Second, closed, 0}, {1010 * ms, closed, forever}, {1080 * ms, respondedTo(200 * ms), 0}}},
		"refused, and answered between two failures":      {true, []coldStep{{0, written("a", 1, 0), 0}, {time.Second, refused, forever}, {1200 * ms, refused, forever}, {1300 * ms, respondedTo(150 * ms), 3000 * ms}}},
		"two in a row, and a response from before":        {true, []coldStep{{0, written("a", 1, 0), 0}, {time.Second, closed, 0}, {1010 * ms, closed, forever}, {1011 * ms, respondedTo(200 * ms), forever}}},
		"its word from before the failure":                {false, []coldStep{{0, refused, forever}, {10 * ms, says(0, 20*ms), forever}}},
		"a longer time from before the failure":           {true, []coldStep{{0, closed, 0}, {10 * ms, says(2000*ms, 20*ms), 2000 * ms}}},
		"unseen during an evacuation":                     {false, []coldStep{{0, written("a", 1, 0), 3000 * ms}, {ms, says(0, 0), 0}, {time.Minute, doubted, 3000 * ms}, {time.Minute + 2*ms, says(0, ms), 0}}},
		"unseen during an evacuation, and can't be asked": {true, []coldStep{{0, written("a", 1, 0), 0}, {time.Minute, doubted, 3000 * ms}, {time.Minute + 3000*ms, nothing, 0}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := coldLimits
			l.CanAsk = !k.cannotAsk
			var c ColdState
			c.SetLimits(l)
			for _, step := range k.steps {
				now := slotsStart.Add(step.at)
				step.do(&c, now)
				coldFor := time.Duration(0)
				if until := c.Until(now); !until.IsZero() {
					coldFor = until.Sub(now)
				}
				is.Equal(coldFor, step.coldFor)
			}
		})
	}
	t.Run("without a limit nothing is cold", func(t *testing.T) {
		is := is.New(t)
		c := ColdState{limits: ColdLimits{Time: time.Second, CanAsk: true}}
		for _, do := range []func(*ColdState, time.Time){written("a", 1, time.Second), refused, doubted} {
			do(&c, slotsStart)
			is.True(c.Until(slotsStart).IsZero())
			is.True(c.ProbeAt().IsZero())
		}
	})
}

// TestServerIsAskedTooOften guards against questions to a server that nothing suggests, and against more than one a second.
func TestServerIsAskedTooOften(t *testing.T) {
	is := is.New(t)
	var c ColdState
	c.SetLimits(coldLimits)
	is.True(c.ProbeAt().IsZero())
	c.ObserveEntry("a", 1, 0, slotsStart)
	is.Equal(c.ProbeAt(), slotsStart)
	c.StartProbe(slotsStart)
	c.ObserveCold(0, slotsStart, slotsStart.Add(ms))
	is.True(c.ProbeAt().IsZero())
	c.ObserveEntry("a", 1, 0, slotsStart.Add(100*ms))
	is.True(c.ProbeAt().IsZero())
	for at := slotsStart.Add(200 * ms); at.Before(slotsStart.Add(900 * ms)); at = at.Add(10 * ms) {
		c.ObserveFailure(true, at)
		is.Equal(c.ProbeAt(), slotsStart.Add(time.Second))
	}
	c.StartProbe(slotsStart.Add(time.Second))
	is.Equal(c.ProbeAt(), slotsStart.Add(2*time.Second))
}

// TestColdServerGetsTooMuch guards against more requests to a cold server in any second than it sustains. It asks for much more than that, at random
// times, with the server cold and warm by turns.
func TestColdServerGetsTooMuch(t *testing.T) {
	for _, l := range []ColdLimits{coldLimits, {Time: 3 * time.Second, Rate: 9.2, Overage: 1.5, Slack: 8}, {Time: time.Second, Rate: 12, Overage: 1},
		{Time: time.Second, Rate: 9.2, Overage: 1}, {Time: time.Second, Rate: 0.7, Overage: 1}, {Time: time.Second, Rate: 3, Overage: 1, Slack: 40}} {
		t.Run(fmt.Sprint(l), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(7, 7))
			s := NewSlots(40, neverRefuse)
			allowed := max(1, int(l.Rate*l.Overage+l.Slack))
			type span struct{ from, until time.Time }
			var starts []time.Time
			var spans []span
			for now := slotsStart; now.Before(slotsStart.Add(25 * time.Second)); now = now.Add(time.Duration(random.IntN(8)) * ms) {
				if len(spans) == 0 || now.After(spans[len(spans)-1].until.Add(2*time.Second)) {
					spans = append(spans, span{now, now.Add(4 * time.Second)})
					s.SetCold(l, now.Add(4*time.Second))
				}
				w := slotRequest("a", 1, now, 5*time.Second, 10*time.Second)
				if started, _ := s.Admit(w, now); started {
					starts = append(starts, now)
					s.ObserveAnswer()
					s.Finish(w, 0)
				} else {
					s.Cancel(w)
				}
			}
			inCold := 0
			for i, from := range starts {
				for _, c := range spans {
					if !from.Before(c.from) && from.Before(c.until) {
						inCold++
					}
					before, after := 0, 0
					for _, at := range starts[i:] {
						if !at.Before(from.Add(time.Second)) {
							break
						}
						switch {
						case !at.Before(c.until):
						case at.Before(c.from):
							before++
						default:
							after++
						}
					}
					// What started before the server became cold can't be undone. Nothing more may start then.
					if after > 0 && !from.Add(time.Second).Before(c.from) && from.Before(c.until) {
						is.True(before+after <= allowed)
					}
				}
			}
			is.True(len(spans) > 3)
			is.True(float64(inCold) >= 0.6*min(l.Rate, float64(allowed))*3*float64(len(spans))-float64(len(spans))) // the first second may pass without any
		})
	}
}

// TestReservedSlotKeepsTimerBusy guards against a timer that goes off again and again for a queued request that the pace allows to start, but the slots that
// are reserved for more urgent ones don't.
func TestReservedSlotKeepsTimerBusy(t *testing.T) {
	is := is.New(t)
	s := NewSlots(4, neverRefuse)
	s.SetCold(ColdLimits{Time: time.Minute, Rate: 1000, Overage: 1, Slack: 100}, slotsStart.Add(time.Minute))
	now := slotsStart
	for range 40 {
		urgent := slotRequest("charge", 0, now, 300*ms, time.Second)
		started, _ := s.Admit(urgent, now)
		is.True(started)
		now = now.Add(50 * ms)
		s.Finish(urgent, 100*ms)
	}
	s.rules["statement"] = &ruleStats{rank: 1, meanServiceUS: float64(time.Second / time.Microsecond)}
	for started := true; started; {
		started, _ = s.Admit(slotRequest("statement", 1, now, 3*time.Second, 9*time.Second), now)
	}
	is.True(s.InProgress() < 4 && s.Queued() == 1)
	start, _ := s.Next(now)
	is.Equal(len(start), 0)
	is.True(s.NextStart(now).IsZero())
}
