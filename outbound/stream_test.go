package outbound

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/hop"
	"github.com/jaypitch/jaypitch/http1"
	"github.com/jaypitch/jaypitch/inbound"
	"github.com/jaypitch/jaypitch/memory"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/platform"
	"github.com/jaypitch/jaypitch/route"
	"github.com/jaypitch/jaypitch/schema"
)

// contextStream is an endless stream that fails once its context has ended, as one of a connection does.
type contextStream struct {
	ctx    context.Context
	closed int
}

func (s *contextStream) Read(p []byte) (int, error) { return len(p), s.ctx.Err() }
func (s *contextStream) Close() error               { s.closed++; return nil }

// streamingForwarder responds to each attempt with a stream, after the delay of the attempt and with its status.
type streamingForwarder struct {
	delays   []time.Duration
	statuses []int

	mu      sync.Mutex
	servers []string
	streams []*contextStream
}

func (h *streamingForwarder) Forward(ctx context.Context, _ string, f *jaypitch.MeshRequest) *jaypitch.MeshResponse {
	h.mu.Lock()
	n := len(h.servers)
	h.servers = append(h.servers, f.ServerID)
	stream := &contextStream{ctx: ctx}
	h.streams = append(h.streams, stream)
	h.mu.Unlock()
	// A response that arrives at the same time as the cancellation is still a response.
	time.Sleep(h.delays[n])
	return &jaypitch.MeshResponse{Execution: jaypitch.Executed, Status: h.statuses[n], Arrived: true, Stream: stream, LoadReport: jaypitch.MeshLoadReport{Slots: 10}}
}

// TestStreamOutlastsItsAttempt guards against a stream whose context ends when the dispatcher returns its response, when a hedge has a response at
// the same time, or never.
func TestStreamOutlastsItsAttempt(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		idempotent bool
		delays     []time.Duration
		statuses   []int
		chosen     int
	}{
		"one attempt":                              {false, []time.Duration{second}, []int{200}, 0},
		"an idempotent request":                    {true, []time.Duration{second}, []int{200}, 0},
		"a retry replaces a stream":                {true, []time.Duration{second, second}, []int{500, 200}, 1},
		"the first attempt precedes the hedge":     {true, []time.Duration{3 * second, 5 * second}, []int{200, 200}, 0},
		"the hedge precedes the first attempt":     {true, []time.Duration{9 * second, 2 * second}, []int{200, 200}, 1},
		"the first attempt fails beside the hedge": {true, []time.Duration{3 * second, 5 * second}, []int{500, 200}, 1},
		"a server error of both":                   {true, []time.Duration{3 * second, 5 * second}, []int{500, 500}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := &streamingForwarder{delays: c.delays, statuses: c.statuses}
				s := twoServers(c.idempotent, 2)
				d := NewDispatcher("10.0.0.9:1", func(server string) string { return server }, s, h, nil, route.NewMeshPicker("here", func() float64 { return 0 }),
					route.NewMeshRetryBudget(0, 1000, 10*second), time.Now, func(*jaypitch.MeshRequest, *jaypitch.MeshResponse, int) {})
				f := &jaypitch.MeshRequest{ID: "one", Idempotent: c.idempotent, Deadline: time.Now().Add(20 * second), TargetDeadline: time.Now().Add(second)}
				done := make(chan *jaypitch.MeshResponse)
				go func() { done <- d.Do(context.Background(), f, s.Table().Match("h", "/"), "x") }()
				if len(c.delays) > 1 && c.delays[0] > second {
					time.Sleep(2 * second)
					h.mu.Lock()
					first := h.servers[0]
					h.mu.Unlock()
					is.True(d.RecordProbe(first, false))
				}
				r := <-done
				is.Equal(len(h.streams), len(c.delays))
				_, err := r.Stream.Read(make([]byte, 1))
				is.NoErr(err)
				is.Equal(r.StreamUntil, f.Deadline.Add(responseGrace))
				for i, s := range h.streams {
					is.Equal(s.closed > 0, i != c.chosen)
				}
				is.NoErr(r.Stream.Close())
				is.True(h.streams[c.chosen].ctx.Err() != nil)
			})
		})
	}
}

// TestStreamEndsWithTheDeadline guards against a stream that goes on after the request's deadline.
func TestStreamEndsWithTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &streamingForwarder{delays: []time.Duration{0}, statuses: []int{200}}
		s := twoServers(true, 1)
		d := NewDispatcher("10.0.0.9:1", func(server string) string { return server }, s, h, nil, route.NewMeshPicker("here", func() float64 { return 0 }),
			route.NewMeshRetryBudget(0, 0, time.Second), time.Now, func(*jaypitch.MeshRequest, *jaypitch.MeshResponse, int) {})
		r := d.Do(context.Background(), &jaypitch.MeshRequest{Idempotent: true, Deadline: time.Now().Add(time.Second)}, s.Table().Match("h", "/"), "x")
		time.Sleep(time.Second + responseGrace/2)
		_, err := r.Stream.Read(make([]byte, 1))
		is.NoErr(err)
		time.Sleep(responseGrace)
		_, err = r.Stream.Read(make([]byte, 1))
		is.True(errors.Is(err, context.DeadlineExceeded))
	})
}

// streamFixture is the way of a response: a server, the receiver beside it, and the handler for clients.
type streamFixture struct {
	receiver *inbound.Receiver
	clients  string
	// codes gets the result code of each request.
	codes chan jaypitch.Code
	// half is closed once the client has a part of a response, of which the server sends only half (slow) or nothing (held) until then.
	half chan struct{}
}

// newStreamFixture starts a server whose response has as many bytes as the last element of the path says. The path begins with length, chunks, slow or held.
func newStreamFixture(t *testing.T, timeout time.Duration) *streamFixture {
	t.Helper()
	g := &streamFixture{half: make(chan struct{}), codes: make(chan jaypitch.Code, 100)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		bytes, _ := strconv.Atoi(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
		w.Header().Set(platform.HeaderNames.RequestID, r.Header.Get(platform.HeaderNames.RequestID))
		w.Header().Set(platform.HeaderNames.ServerStamp, "s")
		if strings.HasPrefix(r.URL.Path, "/length") {
			w.Header().Set("Content-Length", strconv.Itoa(bytes))
		}
		if strings.HasPrefix(r.URL.Path, "/held") {
			g.await(r)
		}
		block := make([]byte, 64<<10)
		for half := bytes / 2; bytes > 0; bytes -= len(block) {
			if strings.HasPrefix(r.URL.Path, "/slow") && bytes < half {
				_ = http.NewResponseController(w).Flush()
				g.await(r)
			}
			if _, err := w.Write(block[:min(bytes, len(block))]); err != nil {
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	s := mesh.NewReplica()
	s.Merge(jaypitch.MeshUpdate{Revision: 1, Config: &schema.MeshConfig{Version: 1, Rules: []*schema.MeshRule{{Name: "r", Host: "h", Prefix: "/", Attempts: 1, Idempotent: true,
		TimeoutUs: timeout.Microseconds(), Parts: []*schema.MeshPart{{Service: "x", Weight: 1}}}}}, Servers: []*schema.MeshServer{{Id: "i-1", Service: "x", Address: address, Slots: 1, Revision: 1}}}, time.Now())
	g.receiver = inbound.NewReceiver(address, platform.HeaderNames, s, func() time.Duration { return 0 }, http1.NewPool(time.Now), time.Now,
		func(*jaypitch.MeshRequest, *jaypitch.MeshResponse, time.Duration) {})
	peers := httptest.NewServer(hop.NewServer(g.receiver, platform.HeaderNames.RequestID, time.Now, func() bool { return false }, func(string, jaypitch.Position) {}, http.NotFoundHandler()))
	t.Cleanup(peers.Close)
	d := NewDispatcher("10.0.0.9:1", func(string) string { return strings.TrimPrefix(peers.URL, "http://") }, s, hop.NewClient(http1.NewPool(time.Now), time.Now), nil,
		route.NewMeshPicker("here", func() float64 { return 0 }), route.NewMeshRetryBudget(0, 0, time.Second), time.Now, func(*jaypitch.MeshRequest, *jaypitch.MeshResponse, int) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clients := NewServer(NewHandler(d, s, platform.HeaderNames, func() LocalState { return LocalState{} }, memory.NewBudget(1<<20), evidence.NewTracker(), time.Now,
		func(r Record) { g.codes <- r.Response.Code }))
	t.Cleanup(func() { _ = clients.Close() })
	go func() { _ = clients.Serve(NewListener(l, s, time.Now)) }()
	g.clients = l.Addr().String()
	return g
}

// await waits until half is closed, or until the request of the server's response ends.
func (g *streamFixture) await(r *http.Request) {
	select {
	case <-g.half:
	case <-r.Context().Done():
	}
}

// dial opens a connection of a client.
func (g *streamFixture) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", g.clients)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// send sends a request on a new connection of a client.
func (g *streamFixture) send(t *testing.T, target, protocol string) net.Conn {
	t.Helper()
	c := g.dial(t)
	if _, err := fmt.Fprintf(c, "GET %s %s\r\nHost: h\r\n%s: one\r\nConnection: close\r\n\r\n", target, protocol, platform.HeaderNames.RequestID); err != nil {
		t.Fatal(err)
	}
	return c
}

// awaitFreeSlot waits until the server's only slot is free. The limit of a minute only ends a test that hangs.
func (g *streamFixture) awaitFreeSlot(t *testing.T) {
	t.Helper()
	for limit := time.Now().Add(time.Minute); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		if n, _, _ := g.receiver.Counts(); n == 0 {
			return
		}
	}
	t.Fatal("the slot is still held after a minute")
}

// TestLongResponsesAreComplete guards against long responses that break off on their way from the server to the client.
func TestLongResponsesAreComplete(t *testing.T) {
	g := newStreamFixture(t, time.Minute)
	for _, framing := range []string{"length", "chunks"} {
		for _, bytes := range []int{256<<10 - 1, 256 << 10, 256<<10 + 1, 2_000_000, 64 << 20} {
			for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
				t.Run(fmt.Sprintf("%s %d %s", framing, bytes, protocol), func(t *testing.T) {
					is := is.New(t)
					a, n, err := readResponse(g.send(t, fmt.Sprintf("/%s/%d", framing, bytes), protocol))
					is.NoErr(err)
					is.Equal(a.StatusCode, http.StatusOK)
					is.Equal(n, int64(bytes))
					is.Equal(<-g.codes, jaypitch.CodeOK)
					g.awaitFreeSlot(t)
				})
			}
		}
	}
}

// TestStreamHoldsFewBytes guards against a long response that is held in memory as a whole.
func TestStreamHoldsFewBytes(t *testing.T) {
	is := is.New(t)
	g := newStreamFixture(t, time.Minute)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, n, err := readResponse(g.send(t, "/chunks/67108864", "HTTP/1.1"))
	is.NoErr(err)
	runtime.ReadMemStats(&after)
	is.Equal(n, int64(64<<20))
	// Server, both sidecars and client together allocated 1.6 MB, for the first 256 KiB at each sidecar and for their buffers.
	t.Logf("%d bytes allocated", after.TotalAlloc-before.TotalAlloc)
	is.True(after.TotalAlloc-before.TotalAlloc < 16<<20)
}

// TestStreamOfSlowServer guards against a response that breaks off because its server sends the rest after the client has read the start.
func TestStreamOfSlowServer(t *testing.T) {
	is := is.New(t)
	g := newStreamFixture(t, time.Minute)
	a, err := http.ReadResponse(bufio.NewReader(g.send(t, "/slow/2000000", "HTTP/1.1")), nil)
	is.NoErr(err)
	_, err = io.ReadFull(a.Body, make([]byte, 512<<10))
	is.NoErr(err)
	close(g.half)
	n, err := io.Copy(io.Discard, a.Body)
	is.NoErr(err)
	is.Equal(n, int64(2_000_000-512<<10))
}

// TestStreamOfClientThatLeaves guards against a stream whose slot is held after its client has gone.
func TestStreamOfClientThatLeaves(t *testing.T) {
	is := is.New(t)
	g := newStreamFixture(t, time.Minute)
	c := g.send(t, "/chunks/1000000000", "HTTP/1.1")
	_, err := io.ReadFull(c, make([]byte, 1<<20))
	is.NoErr(err)
	is.NoErr(c.Close())
	g.awaitFreeSlot(t)
	is.Equal(<-g.codes, jaypitch.CodeCallerGone)
}

// TestStreamOfClientThatDoesNotRead guards against a client that holds a slot past its deadline by reading nothing, and against a response that
// breaks off for it and looks complete.
func TestStreamOfClientThatDoesNotRead(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run(protocol, func(t *testing.T) {
			is := is.New(t)
			g := newStreamFixture(t, 200*time.Millisecond)
			c := g.send(t, "/length/1000000000", protocol)
			_, err := io.ReadFull(c, make([]byte, 64<<10))
			is.NoErr(err)
			g.awaitFreeSlot(t)
			// The rest that the sockets hold is followed by an error, not by a regular end.
			rest, err := io.ReadAll(c)
			is.True(err != nil || protocol == "HTTP/1.1" && !strings.HasSuffix(string(rest), "0\r\n\r\n"))
			code := <-g.codes
			is.True(code == jaypitch.CodeAnswerCut || code == jaypitch.CodeAnswerTooLate)
		})
	}
}

// readResponse reads a response and returns the number of bytes of its body.
func readResponse(c net.Conn) (*http.Response, int64, error) {
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, 0, err
	}
	n, err := io.Copy(io.Discard, a.Body)
	return a, n, err
}
