package inbound

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/http1"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/platform"
	"github.com/jaypitch/jaypitch/schema"
	"github.com/jaypitch/jaypitch/standin"
)

// coldFixture is a receiver of a service with cold servers, on a clock that the test sets.
type coldFixture struct {
	*fixture
	mu       sync.Mutex
	clock    time.Time
	arrivals []time.Time
	slack    float64
}

const (
	healthPath  = "/health"
	coldRate    = 12.0
	coldSlack   = 8.0
	coldOverage = 1.5
	coldAllowed = 26
	coldTime    = 3 * time.Second
)

// newColdFixture returns a receiver that has just started. Its server says that it stays cold for a time; its entry says nothing.
func newColdFixture(t *testing.T, rate float64, cold time.Duration) *coldFixture {
	t.Helper()
	g := &coldFixture{fixture: newFixture(t, 4), clock: testStart, slack: coldSlack}
	g.server.ServeHealth(healthPath, cold)
	g.replica.Merge(jaypitch.MeshUpdate{Config: coldConfig(1, rate)}, testStart)
	g.restart()
	return g
}

// coldConfig returns a configuration whose service has a limit for cold servers.
func coldConfig(version int64, rate float64) *schema.MeshConfig {
	return &schema.MeshConfig{Version: version, Services: []string{"x"},
		ServiceLimits: []*schema.MeshServiceLimits{{Service: "x", ColdUs: coldTime.Microseconds(), ColdRate: rate, HealthPath: healthPath}}}
}

// restart replaces the receiver by one that knows nothing of before.
func (g *coldFixture) restart() {
	g.receiver = NewReceiver(g.server.Address(), platform.HeaderNames, g.replica, func() time.Duration { return 0 }, http1.NewPool(time.Now), g.now,
		func(*jaypitch.MeshRequest, *jaypitch.MeshResponse, time.Duration) {},
		WithCold(ColdOptions{Decode: platform.DecodeCold, Bounds: func() (float64, float64) { return coldOverage, g.slack }, Service: "x"}))
	g.receiver.ObserveTable()
	g.awaitProbe()
}

func (g *coldFixture) now() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.clock
}

func (g *coldFixture) advance(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clock = g.clock.Add(d)
}

// awaitProbe waits until no question to the server is in progress.
func (g *coldFixture) awaitProbe() {
	for asking := true; asking; {
		g.receiver.mu.Lock()
		asking = g.receiver.cold.asking
		g.receiver.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

// serve serves one request and returns its response. It has too little time to wait for the pace.
func (g *coldFixture) serve() *jaypitch.MeshResponse {
	f := newRequest("one", "")
	f.Deadline, f.TargetDeadline = g.now().Add(shortTimeLimit), g.now().Add(shortTimeLimit)
	r := g.receiver.Serve(context.Background(), f)
	g.awaitProbe()
	if r.Code == jaypitch.CodeOK {
		g.arrivals = append(g.arrivals, g.now())
	}
	return r
}

// serveFor serves 50 requests a second for a time. It returns how many of them the server executed.
func (g *coldFixture) serveFor(d time.Duration) int {
	before := len(g.arrivals)
	for until := g.now().Add(d); g.now().Before(until); g.advance(arrivalEvery) {
		g.serve()
	}
	return len(g.arrivals) - before
}

// mostInSecond returns the largest number of arrivals in a second.
func (g *coldFixture) mostInSecond() int {
	most := 0
	for i, from := range g.arrivals {
		n := 0
		for _, at := range g.arrivals[i:] {
			if at.Before(from.Add(time.Second)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestColdServerIsFlooded guards against a receiver that sends its cold server more than it sustains, and one that goes on pacing a warm one.
func TestColdServerIsFlooded(t *testing.T) {
	t.Run("a cold server", func(t *testing.T) {
		is := is.New(t)
		g := newColdFixture(t, coldRate, 2*time.Second)
		n := g.serveFor(2 * time.Second)
		is.True(n >= 22 && g.mostInSecond() <= coldAllowed)
		is.Equal(g.server.HealthRequests(), 1)
		is.Equal(g.serveFor(time.Second), 50)
	})
	t.Run("a restart of the receiver beside a warm server", func(t *testing.T) {
		is := is.New(t)
		g := newColdFixture(t, coldRate, 0)
		is.Equal(g.serveFor(time.Second), 50)
		g.restart()
		is.Equal(g.serveFor(time.Second), 50)
		is.Equal(g.server.HealthRequests(), 2)
	})
	t.Run("a restart of the receiver beside a cold server", func(t *testing.T) {
		is := is.New(t)
		g := newColdFixture(t, coldRate, 2*time.Second)
		g.serveFor(time.Second)
		g.server.ServeHealth(healthPath, time.Second)
		g.restart()
		g.serveFor(time.Second)
		is.True(g.mostInSecond() <= coldAllowed)
	})
	t.Run("a server that says nothing of it, and whose entry neither does", func(t *testing.T) {
		is := is.New(t)
		g := newColdFixture(t, coldRate, 0)
		g.server.HideCold()
		g.restart()
		is.Equal(g.serveFor(time.Second), 50)
	})
	t.Run("a late copy of a response ahead of the one that says for how long", func(t *testing.T) {
		is := is.New(t)
		g := newColdFixture(t, coldRate, 0)
		g.server.SetBehaviour(standin.LateCopy)
		is.Equal(g.serve().Code, jaypitch.CodeOK)
		g.server.ServeHealth(healthPath, coldTime)
		g.advance(2 * time.Second)
		g.receiver.DoubtCold()
		g.awaitProbe()
		is.Equal(g.server.HealthRequests(), 2)
		is.Equal(g.receiver.Cold(), g.now().Add(coldTime))
	})
	t.Run("a server that restarts", func(t *testing.T) {
		is := is.New(t)
		g := newColdFixture(t, coldRate, 0)
		is.Equal(g.serve().Code, jaypitch.CodeOK)
		address := g.server.Address()
		g.server.Close()
		g.receiver.pool.CloseIdle(address)
		for range 2 {
			g.advance(200 * time.Millisecond)
			is.Equal(g.serve().Code, jaypitch.CodeUnreachable)
		}
		is.True(g.serve().LoadReport.Limited)
		server, err := standin.NewMeshServer(address, "i-1", 4, 0)
		is.NoErr(err)
		t.Cleanup(server.Close)
		server.ServeHealth(healthPath, 1900*time.Millisecond)
		g.advance(2 * time.Second)
		g.arrivals = nil
		n := g.serveFor(2 * time.Second)
		is.True(n >= 20 && g.mostInSecond() <= coldAllowed)
		is.Equal(g.serveFor(time.Second), 50)
	})
	t.Run("a process without a configuration", func(t *testing.T) {
		is := is.New(t)
		g := newColdFixture(t, coldRate, coldTime)
		config := g.replica
		g.replica = mesh.NewReplica()
		g.restart()
		f := newRequest("one", "")
		is.Equal(g.receiver.Serve(context.Background(), f).Code, jaypitch.CodeUnconfirmed)
		g.replica = config
		g.restart()
		is.Equal(g.serve().Code, jaypitch.CodeOK)
	})
	t.Run("senders that name the server before, whose entry is still there", func(t *testing.T) {
		is := is.New(t)
		g := newColdFixture(t, coldRate, coldTime)
		g.setServer(&schema.MeshServer{Id: "i-0", Service: "x", Address: g.server.Address(), Slots: 4, Revision: 1})
		for until := g.now().Add(2 * time.Second); g.now().Before(until); g.advance(arrivalEvery) {
			g.serve()
			f := newRequest("before", "")
			f.ServerID, f.Deadline = "i-0", g.now().Add(shortTimeLimit)
			g.receiver.Serve(context.Background(), f)
		}
		is.True(len(g.arrivals) >= 20 && g.mostInSecond() <= coldAllowed)
	})
	t.Run("a configuration that arrives after the entry", func(t *testing.T) {
		is := is.New(t)
		g := newColdFixture(t, coldRate, coldTime)
		g.replica = mesh.NewReplica()
		g.setServer(&schema.MeshServer{Id: "i-1", Service: "x", Address: g.server.Address(), Slots: 4, Revision: 2})
		g.restart()
		g.replica.Merge(jaypitch.MeshUpdate{Config: coldConfig(1, coldRate)}, testStart)
		g.receiver.ObserveTable()
		g.awaitProbe()
		g.serveFor(2 * time.Second)
		is.True(len(g.arrivals) >= 20 && g.mostInSecond() <= coldAllowed)
	})
	t.Run("a server whose connections end within its responses", func(t *testing.T) {
		for _, bytes := range []int{0, 100_000} {
			is := is.New(t)
			g := newColdFixture(t, coldRate, 0)
			g.server.SetBehaviour(standin.Truncated)
			g.advance(2 * time.Second)
			f := newDownload("one", bytes)
			f.Deadline, f.Local = g.now().Add(time.Minute), true
			if r := g.receiver.Serve(context.Background(), f); r.Stream != nil {
				_, err := io.Copy(io.Discard, r.Stream)
				is.True(err != nil)
				is.NoErr(r.Stream.Close())
			}
			assertSlotFree(t, g.fixture)
			g.awaitProbe()
			is.Equal(g.server.HealthRequests(), 2)
		}
	})
	t.Run("other settings apply at once", func(t *testing.T) {
		is := is.New(t)
		g := newColdFixture(t, coldRate, coldTime)
		g.slack = 40
		g.serveFor(time.Second)
		is.True(g.mostInSecond() > coldAllowed-8 && g.mostInSecond() <= coldAllowed+32)
	})
	t.Run("a service without a limit", func(t *testing.T) {
		is := is.New(t)
		g := newColdFixture(t, 0, 2*time.Second)
		is.Equal(g.serveFor(time.Second), 50)
		is.Equal(g.server.HealthRequests(), 0)
		is.True(!g.serve().LoadReport.Limited)
	})
	t.Run("the end of an evacuation", func(t *testing.T) {
		is := is.New(t)
		g := newColdFixture(t, coldRate, 0)
		is.Equal(g.serveFor(time.Second), 50)
		g.setEvacuated("", true)
		g.receiver.ObserveTable()
		g.receiver.DoubtCold()
		g.serveFor(2 * time.Second)
		is.Equal(g.server.HealthRequests(), 1) // that of the start
		g.server.ServeHealth(healthPath, coldTime)
		g.setEvacuated("", false)
		g.receiver.ObserveTable()
		g.awaitProbe()
		is.Equal(g.server.HealthRequests(), 2)
		g.arrivals = nil
		n := g.serveFor(2 * time.Second)
		is.True(n >= 22 && g.mostInSecond() <= coldAllowed)
	})
}

// TestRequestsPileUp guards against requests that wait at a cold server which doesn't read yet, and reach it together once it does.
func TestRequestsPileUp(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	g := newColdFixture(t, coldRate, coldTime)
	address := l.Addr().String()
	g.setServer(&schema.MeshServer{Id: "i-2", Service: "x", Address: address, Slots: 12, Revision: 3})
	g.receiver = NewReceiver(address, platform.HeaderNames, g.replica, func() time.Duration { return 0 }, http1.NewPool(time.Now), g.now,
		func(*jaypitch.MeshRequest, *jaypitch.MeshResponse, time.Duration) {},
		WithCold(ColdOptions{Bounds: func() (float64, float64) { return coldOverage, coldSlack }, Service: "x"}))
	g.receiver.ObserveTable()
	g.receiver.DoubtCold()
	sent := 0
	for until := g.now().Add(2 * time.Second); g.now().Before(until); g.advance(arrivalEvery) {
		f := newRequest("one", "")
		f.ServerID, f.Deadline, f.TargetDeadline = "i-2", g.now().Add(shortTimeLimit), g.now().Add(shortTimeLimit)
		if r := g.receiver.Serve(context.Background(), f); r.Execution != jaypitch.NotExecuted {
			sent++
		}
	}
	// 14 requests may start in a second.
	is.True(sent >= 4 && sent+14 <= coldAllowed)
}

// TestColdServerIsReported guards against senders that don't know that a server takes few requests.
func TestColdServerIsReported(t *testing.T) {
	is := is.New(t)
	g := newColdFixture(t, coldRate, coldTime)
	g.serveFor(time.Second)
	r := g.serve()
	is.True(r.LoadReport.Limited)
	is.True(r.LoadReport.RateLimit > 11.9 && r.LoadReport.RateLimit <= coldRate)
	is.True(r.LoadReport.LimitWait > 0)
	if r.Code != jaypitch.CodeOK {
		is.Equal(r.Execution, jaypitch.NotExecuted)
	}
}
