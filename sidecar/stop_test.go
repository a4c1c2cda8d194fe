package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch/platform"
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

// TestStopPassesOnLateBody guards against a request whose body is complete only after the stop has begun, and that is passed on though the process
// ends before the request's deadline: it would be cut at the end of the grace time.
func TestStopPassesOnLateBody(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 16, 2)
	h := m.hosts[0]
	m.store.SetRuleTimeout(time.Minute)
	m.configure(2, "x", "/long/")
	m.eventually("the sidecar has the rule", func() bool {
		status, _ := m.get(0, portCallers, "/long/a", "first")
		return status == http.StatusOK
	})
	m.hosts[1].server.SetServiceTime(time.Minute)
	open := m.dial(net.JoinHostPort(h.ip, strconv.Itoa(m.ports[portCallers])))
	_, err := fmt.Fprintf(open, "POST /long/a HTTP/1.1\r\nHost: h\r\n%s: late\r\nContent-Length: 4\r\n\r\nbo", platform.HeaderNames.RequestID)
	is.NoErr(err)
	m.eventually("the request is being read", func() bool { return h.sidecar.handler.InProgress() == 1 })
	h.stop()
	m.eventually("the sidecar stops", func() bool { return h.sidecar.stopping.Load() })
	_, err = io.WriteString(open, "dy")
	is.NoErr(err)
	a, err := http.ReadResponse(bufio.NewReader(open), nil)
	is.NoErr(err)
	is.Equal(a.StatusCode, http.StatusServiceUnavailable)
	for _, host := range m.hosts {
		times, _ := host.server.Executions("late")
		is.Equal(times, 0)
	}
	is.NoErr(<-h.done)
}
