package admit

import (
	"fmt"
	"testing"
	"time"
)

// TestFloodStarvesOthers guards against a host whose flood of requests is refused no more often than the requests of other hosts at the same rank, which
// ask for half of the room together.
func TestFloodStarvesOthers(t *testing.T) {
	kinds := []loadKind{{rule: "flood", service: "desk", rank: 1, mean: 80 * ms, target: 300 * ms, timeout: 1500 * ms, perSecond: 250, host: "flood"}}
	for i := range 10 {
		kinds = append(kinds, loadKind{rule: fmt.Sprint("host ", i), service: "desk", rank: 1, mean: 80 * ms, target: 300 * ms, timeout: 1500 * ms, perSecond: 7, host: fmt.Sprint(i)})
	}
	counts := replayLoad(12, 30*time.Second, kinds...)
	others := &loadCount{}
	for _, k := range kinds[1:] {
		c := counts[k.rule]
		others.asked, others.onTarget, others.late = others.asked+c.asked, others.onTarget+c.onTarget, others.late+c.late
	}
	flood := counts["flood"].servedShare()
	t.Logf("served: flood %.3f, others %.3f", flood, others.servedShare())
	if others.servedShare() < 0.9 || flood < 0.2 {
		t.Errorf("%.3f of the flood and %.3f of the other hosts' requests were served; want 0.2 and 0.9", flood, others.servedShare())
	}
}

// TestUsualDifferencesAreFair guards against holding hosts to a fair share whose load differs no more than that of data centres at a peak of demand.
func TestUsualDifferencesAreFair(t *testing.T) {
	var c callerLoads
	now := slotsStart
	for i := range 2000 {
		now = now.Add(10 * ms)
		c.record(callerKey{1, "peak", "x"}, 30*ms, now)
		c.record(callerKey{1, "usual", "x"}, 15*ms, now)
		if i%100 == 0 {
			c.record(callerKey{1, "rare", "x"}, 15*ms, now)
		}
		c.record(callerKey{2, "only one of its rank", "x"}, 500*ms, now)
	}
	for k := range c.loads {
		if f := c.queueFactor(k); f != 1 {
			t.Errorf("the queue counts %.2f times for %v", f, k)
		}
	}
	c.update(now.Add(20 * loadTime))
	if len(c.loads) > 0 {
		t.Errorf("%d idle callers remain", len(c.loads))
	}
}
