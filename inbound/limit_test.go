package inbound

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/http1"
	"github.com/jaypitch/jaypitch/platform"
	"github.com/jaypitch/jaypitch/standin"
)

// limitFixture is a fixture whose receiver decodes notices and reads the time from a clock that the test sets.
type limitFixture struct {
	*fixture
	clock time.Time
	// arrivals are the times of the requests that reached the server.
	arrivals []time.Time
}

// Bounds of the platform's rule about a server that names a limit.
const (
	limitWindow  = 4 * time.Second
	limitGrace   = 3 * time.Second
	limitFactor  = 1.5
	limitExtra   = 5
	arrivalEvery = 20 * time.Millisecond

	// shortTimeLimit is enough for a request to start, but not to be queued, since the queue's timers run in real time.
	shortTimeLimit = 60 * time.Millisecond
	longTimeLimit  = 10 * time.Second
)

func newLimitFixture(t *testing.T) *limitFixture {
	t.Helper()
	g := &limitFixture{fixture: newFixture(t, 4), clock: testStart}
	g.restart()
	return g
}

var testStart = time.Unix(9000, 0)

// restart replaces the receiver by one that knows nothing of before.
func (g *limitFixture) restart() {
	g.receiver = NewReceiver(g.server.Address(), platform.HeaderNames, g.replica, func() time.Duration { return 0 }, http1.NewPool(time.Now), g.now,
		func(*jaypitch.MeshRequest, *jaypitch.MeshResponse, time.Duration) {},
		WithNotices(platform.DecodeNotice, func(string, jaypitch.ServerNotice) {}, func(string, *jaypitch.Error) {}))
}

func (g *limitFixture) now() time.Time { return g.clock }

// serve serves one request with a time limit and returns the response. It records the request if it reached the server.
func (g *limitFixture) serve(timeLimit time.Duration, change func(*jaypitch.MeshRequest)) *jaypitch.MeshResponse {
	f := newRequest("one", "")
	f.Deadline, f.TargetDeadline = g.clock.Add(timeLimit), g.clock.Add(timeLimit)
	if change != nil {
		change(f)
	}
	before := len(g.server.RequestHeaders())
	r := g.receiver.Serve(context.Background(), f)
	if len(g.server.RequestHeaders()) > before {
		g.arrivals = append(g.arrivals, g.clock)
	}
	return r
}

// serveFor serves 50 requests a second for a time.
func (g *limitFixture) serveFor(d time.Duration) {
	for until := g.clock.Add(d); g.clock.Before(until); g.clock = g.clock.Add(arrivalEvery) {
		g.serve(shortTimeLimit, nil)
	}
}

// assertWithinLimit checks the arrivals in each window that begins at least limitGrace after a time at which the limit was first named.
func (g *limitFixture) assertWithinLimit(t *testing.T, named time.Time, limit float64) {
	t.Helper()
	allowed := int(limitFactor*limit*limitWindow.Seconds()) + limitExtra
	for i, from := range g.arrivals {
		if from.Before(named.Add(limitGrace)) {
			continue
		}
		n := 0
		for _, a := range g.arrivals[i:] {
			if a.Before(from.Add(limitWindow)) {
				n++
			}
		}
		if n > allowed {
			t.Fatalf("%d requests reached the server within %s from %s on; its limit of %g a second allows %d", n, limitWindow, from.Sub(named), limit, allowed)
		}
	}
}

// TestServerGetsMoreThanItsLimit guards against a receiver that ignores the limit that its server names.
func TestServerGetsMoreThanItsLimit(t *testing.T) {
	for name, limit := range map[string]struct {
		text string
		rate float64
	}{"of several requests a second": {"6.5", 6.5}, "of less than one request a second": {"0.4", 0.4}, "of zero": {"0", 0}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newLimitFixture(t)
			g.server.NameLimit(limit.text)
			is.Equal(g.serve(longTimeLimit, nil).Code, jaypitch.CodeOK)
			g.serveFor(12 * time.Second)
			g.assertWithinLimit(t, testStart, limit.rate)
			g.server.NameLimit("")
			g.serveFor(4 * time.Second)
			is.True(!g.receiver.Notice().Limited)
			is.Equal(g.serve(longTimeLimit, nil).Code, jaypitch.CodeOK)
		})
	}
}

// TestServerGetsMoreThanItsLimitAfterRestart guards against a receiver that has just started and takes silence for no limit.
func TestServerGetsMoreThanItsLimitAfterRestart(t *testing.T) {
	is := is.New(t)
	g := newLimitFixture(t)
	g.server.SetBehaviour(standin.Disconnected) // no response tells the limit
	g.restart()
	known := func(f *jaypitch.MeshRequest) { f.LimitHeardAt, f.RateLimit = g.clock, 2 }
	for until := g.clock.Add(12 * time.Second); g.clock.Before(until); g.clock = g.clock.Add(arrivalEvery) {
		r := g.serve(shortTimeLimit, known)
		is.True(r.LoadReport.Limited)
	}
	g.assertWithinLimit(t, testStart, 2)
	g.server.SetBehaviour(standin.Normal)
	is.Equal(g.serve(longTimeLimit, known).Code, jaypitch.CodeOK)
	is.True(!g.receiver.Notice().Limited)
}

// TestRefusalEndsNoLimit guards against a limit that a server's refusal without the header ends.
func TestRefusalEndsNoLimit(t *testing.T) {
	is := is.New(t)
	g := newLimitFixture(t)
	g.server.NameLimit("2")
	g.serve(longTimeLimit, nil)
	g.server.NameLimit("")
	g.server.SetBehaviour(standin.Shedding)
	g.clock = g.clock.Add(time.Second)
	is.Equal(g.serve(longTimeLimit, nil).Code, jaypitch.CodeShed)
	is.True(g.receiver.Notice().Limited)
}

// TestLeavingServerGetsRequests guards against a server that gets requests after it stated that it is leaving, though its entry says ready.
func TestLeavingServerGetsRequests(t *testing.T) {
	is := is.New(t)
	g := newLimitFixture(t)
	g.server.Leave()
	is.Equal(g.serve(longTimeLimit, nil).Code, jaypitch.CodeOK)
	r := g.serve(longTimeLimit, nil)
	is.Equal(r.Code, jaypitch.CodeStopping)
	is.True(r.LoadReport.Leaving)
	is.Equal(len(g.arrivals), 1)
}
