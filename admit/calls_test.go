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

// TestLessUrgentCallsFailTheirParents guards against calls that are refused for more urgent requests of clients, so that the requests that make them
// fail: 0.228 of the calls were served, and 0.452 of the lookups. The more urgent kind of the same service keeps its service.
func TestLessUrgentCallsFailTheirParents(t *testing.T) {
	clients := []string{"routes", "ledger", "desk"}
	counts := replayLoad(6, time.Minute,
		loadKind{rule: "lookup", service: "routes", rank: 2, mean: 140 * ms, target: 500 * ms, timeout: 1200 * ms, perSecond: 45, call: "balance", callShare: 0.7, callers: clients},
		loadKind{rule: "booking", service: "routes", rank: 1, mean: 180 * ms, target: 600 * ms, timeout: 1500 * ms, perSecond: 12, callers: clients},
		loadKind{rule: "balance", service: "ledger", rank: 2, mean: 40 * ms, target: 150 * ms, timeout: 500 * ms, callers: []string{"routes"}},
		loadKind{rule: "charge", service: "ledger", rank: 0, mean: 94 * ms, target: 300 * ms, timeout: 800 * ms, perSecond: 24, callers: clients},
		loadKind{rule: "statement", service: "ledger", rank: 2, mean: 540 * ms, target: 2 * time.Second, timeout: 5 * time.Second, perSecond: 12, callers: clients})
	assertOnTarget(t, counts, "balance", 0.9)
	assertOnTarget(t, counts, "lookup", 0.55)
	assertOnTarget(t, counts, "charge", 0.9)
	if charge, balance := counts["charge"].servedShare(), counts["balance"].servedShare(); charge < balance-0.05 {
		t.Errorf("%.3f of the charges and %.3f of the less urgent calls were served", charge, balance)
	}
}
