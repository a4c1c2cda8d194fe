package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCallsCountClientsQueue guards against calls that are refused for the queue of requests that haven't begun, and against clients' requests
// that pass for calls.
func TestCallsCountClientsQueue(t *testing.T) {
	for name, c := range map[string]struct {
		callers    []string
		rank       int64
		wantMillis int
	}{
		"calls of one service":                    {[]string{"x"}, 1, 0},
		"calls less urgent than what is queued":   {[]string{"x"}, 2, 40}, // like four more calls
		"requests of clients at several services": {[]string{"x", "x", "x", "y"}, 1, 100},
		"an unknown service":                      {[]string{""}, 1, 100},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, _ := busySlots(t, 4, neverRefuse)
			for range 4 {
				_, e := s.Admit(slotRequest("a", 1, slotsStart, 400*ms, time.Second), slotsStart)
				is.True(e == nil)
			}
			w := slotRequest("b", c.rank, slotsStart, 500*ms, time.Second)
			w.arrived = slotsStart
			for i := range 400 {
				w.CallerService = c.callers[i%len(c.callers)]
				s.updateRule(w)
			}
			s.rules["b"].meanServiceUS = 40_000
			is.Equal(s.backlog(w, slotsStart), time.Duration(c.wantMillis)*ms)
		})
	}
}
