package sidecar

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStopAnswersAbortedRequests guards against a stop that closes connections without a response, of its own clients and of those of another sidecar,
// whose requests are still in progress at the end of the grace time.
func TestStopAnswersAbortedRequests(t *testing.T) {
	const callers = 6
	is := is.New(t)
	m := newMesh(t, 14, 2)
	m.store.SetRuleTimeout(time.Minute)
	m.configure(2, "x", "/long/")
	stopped := m.hosts[0]
	stopped.stop()
	is.NoErr(<-stopped.done)
	stopped.grace = "3s"
	m.run(stopped)
	m.eventually("both sidecars have the rule", func() bool {
		for i := range m.hosts {
			if status, _ := m.get(i, portCallers, "/long/a", "first"); status != http.StatusOK {
				return false
			}
		}
		return true
	})
	m.registerServer(1, "draining")
	m.eventually("both sidecars use only the other server", func() bool {
		for _, h := range m.hosts {
			if len(h.sidecar.replica.Table().Services["x"].Servers) != 1 {
				return false
			}
		}
		return true
	})
	_, before := stopped.server.Executions("")
	type result struct {
		status int
		text   string
	}
	results := make(chan result, callers)
	stopped.server.SetServiceTime(time.Minute)
	for i := range callers {
		go func() {
			status, text := m.get(i%2, portCallers, "/long/a", fmt.Sprintf("id-%d", i))
			results <- result{status, text}
		}()
	}
	m.eventually("requests of both fill the slots and the queue", func() bool {
		_, n := stopped.server.Executions("")
		_, queued, _ := stopped.sidecar.receiver.Counts()
		return n == before+4 && queued == callers-4
	})
	stopped.stop()
	is.NoErr(<-stopped.done)
	for range callers {
		r := <-results
		if r.status != http.StatusGatewayTimeout && r.status != http.StatusServiceUnavailable {
			t.Fatalf("status %d: %s", r.status, r.text)
		}
	}
}
