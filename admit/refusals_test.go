package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRefusingServerGetsRequests guards against a server that refuses everything and gets more requests than trials.
func TestRefusingServerGetsRequests(t *testing.T) {
	is := is.New(t)
	var s ServerRefusals
	now, sent := slotsStart, 0
	for range 1000 {
		now = now.Add(10 * ms)
		if s.Admit("a", true, now) == nil {
			sent++
			is.True(!s.Record("a", true, now))
		}
	}
	is.True(sent >= 50+9) // half a second of requests, and a trial each second
	is.True(sent <= 50+15)
	is.True(s.Refusing("a", now))
	is.True(s.Admit("b", true, now) == nil)
	now = now.Add(maxTrialInterval)
	is.True(s.Admit("a", false, now) != nil) // a request that met another refusing server isn't the trial
	is.True(s.Admit("a", true, now) == nil)
	is.True(s.Record("a", false, now))
	is.True(s.Admit("a", true, now) == nil)
}

// TestServerThatRefusesSome guards against holding requests back from a server that executes most of them.
func TestServerThatRefusesSome(t *testing.T) {
	is := is.New(t)
	var s ServerRefusals
	for i := range 1000 {
		now := slotsStart.Add(time.Duration(i) * 10 * ms)
		is.True(s.Admit("a", true, now) == nil)
		refused := i%refusingAfter != 0
		is.True(!s.Record("a", refused, now))
		is.Equal(s.Admit("a", false, now) != nil, refused)
	}
}
