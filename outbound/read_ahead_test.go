package outbound

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/memory"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/route"
	"github.com/jaypitch/jaypitch/schema"
)

// gateForwarder responds with the ID and the body of a request, once the test lets it. It records which requests are in progress.
type gateForwarder struct {
	// wait is called with the ID of each request, and ends when it may be answered.
	wait func(ctx context.Context, id string)

	mu       sync.Mutex
	started  []string
	canceled []string
}

func (g *gateForwarder) Forward(ctx context.Context, _ string, f *jaypitch.MeshRequest) *jaypitch.MeshResponse {
	g.mu.Lock()
	g.started = append(g.started, f.ID)
	g.mu.Unlock()
	g.wait(ctx, f.ID)
	if ctx.Err() != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.canceled = append(g.canceled, f.ID)
		return jaypitch.ExecutionUnknownResponse(jaypitch.CodeCallerGone, "canceled")
	}
	return &jaypitch.MeshResponse{Execution: jaypitch.Executed, Arrived: true, Status: http.StatusOK, Header: http.Header{"Id": {f.ID}}, Body: append([]byte(f.ID+" "), f.Body...)}
}

// list returns a copy of the IDs in a list of the forwarder.
func (g *gateForwarder) list(of *[]string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(*of)
}

// newPipelineServer starts a server for clients and returns its handler and a function that opens a connection. Requests under /i/ are idempotent, others
// aren't.
func newPipelineServer(t *testing.T, g *gateForwarder) (*Handler, func() net.Conn) {
	t.Helper()
	s := mesh.NewReplica()
	parts := []*schema.MeshPart{{Service: "x", Weight: 1}}
	s.Merge(jaypitch.MeshUpdate{Revision: 1, Config: &schema.MeshConfig{Version: 1, Rules: []*schema.MeshRule{
		{Name: "i", Host: "h", Prefix: "/i/", Idempotent: true, Attempts: 1, TimeoutUs: 60_000_000, Parts: parts},
		{Name: "n", Host: "h", Prefix: "/n/", Attempts: 1, TimeoutUs: 60_000_000, Parts: parts}}},
		Servers: []*schema.MeshServer{{Id: "i-1", Service: "x", Address: "10.0.0.1:1", Slots: 10, Revision: 1}}}, time.Now())
	d := NewDispatcher("10.0.0.9:1", func(server string) string { return server }, s, g, nil, route.NewMeshPicker("here", func() float64 { return 0 }),
		route.NewMeshRetryBudget(0, 0, time.Second), time.Now, func(*jaypitch.MeshRequest, *jaypitch.MeshResponse, int) {})
	h := NewHandler(d, s, jaypitch.HeaderNames{RequestID: "Id", TimeLeftMS: "Left"}, func() LocalState { return LocalState{} }, memory.NewBudget(1<<20), evidence.NewTracker(), time.Now, func(Record) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(h)
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(NewListener(l, s, time.Now)) }()
	return h, func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

func get(path, id string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n"
}

// assertResponse checks that the next response on a connection is that to a request with an ID and a body.
func assertResponse(t *testing.T, in *bufio.Reader, id, body string) {
	t.Helper()
	is := is.New(t)
	r, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	got, err := io.ReadAll(r.Body)
	is.NoErr(err)
	is.Equal(r.Header.Get("Id"), id)
	is.Equal(string(got), id+" "+body)
}

// eventually polls until a condition holds. The limit of a minute only ends a test that hangs.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(time.Minute); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not true within a minute: %s", what)
}

// reader is the read of a single byte by which the HTTP server notices that a client has left.
type reader struct{ conn net.Conn }

func (r reader) run() {
	_, _ = r.conn.Read(make([]byte, backgroundReadBytes))
}

// writer writes a text to a connection.
type writer struct {
	conn net.Conn
	text string
}

func (w writer) run() {
	_, _ = io.WriteString(w.conn, w.text)
}

// TestByteBeforeBegin guards against requests that are never seen while the one ahead of them is in progress, since their first byte was read just before it
// began.
func TestByteBeforeBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		inner, client := net.Pipe()
		c := newAheadConn(inner)
		defer client.Close()
		defer c.Close()
		go writer{client, get("/i/", "first")}.run()
		_, err := c.Read(make([]byte, 4<<10))
		is.NoErr(err)
		go reader{c}.run()
		second := get("/i/", "second")
		go writer{client, second[:1]}.run()
		synctest.Wait()
		var started []string
		c.begin(&http.Request{}, func() {}, func(_, next *http.Request) *aheadRequest {
			started = append(started, next.Header.Get("Id"))
			return &aheadRequest{cancel: func() {}}
		})
		synctest.Wait()
		go writer{client, second[1:]}.run()
		synctest.Wait()
		is.Equal(started, []string{"second"})
	})
}

// TestPipelinedRequests guards against idempotent requests that wait unseen behind others of their connection, and against others that don't wait.
func TestPipelinedRequests(t *testing.T) {
	release := make(chan struct{})
	g := &gateForwarder{wait: func(ctx context.Context, _ string) {
		select {
		case <-release:
		case <-ctx.Done():
		}
	}}
	send := func(t *testing.T, c net.Conn, requests ...string) {
		_, err := io.WriteString(c, strings.Join(requests, ""))
		is.New(t).NoErr(err)
	}
	startedOf := func(prefix string) []string {
		return slices.DeleteFunc(g.list(&g.started), func(id string) bool { return !strings.HasPrefix(id, prefix) })
	}
	h, dial := newPipelineServer(t, g)
	t.Run("sent at once", func(t *testing.T) {
		c := dial()
		send(t, c, get("/i/", "a1"), get("/i/", "a2"), get("/i/", "a3"))
		eventually(t, "all are in progress", func() bool { return len(startedOf("a")) == 3 })
		release <- struct{}{}
		release <- struct{}{}
		release <- struct{}{}
		in := bufio.NewReader(c)
		for _, id := range []string{"a1", "a2", "a3"} {
			assertResponse(t, in, id, "")
		}
	})
	t.Run("sent while the first is in progress", func(t *testing.T) {
		c := dial()
		send(t, c, get("/i/", "b1"))
		eventually(t, "the first is in progress", func() bool { return len(startedOf("b")) == 1 })
		second := get("/i/", "b2")
		send(t, c, second[:20])
		send(t, c, second[20:], get("/i/", "b3"))
		eventually(t, "all are in progress", func() bool { return len(startedOf("b")) == 3 })
		for range 3 {
			release <- struct{}{}
		}
		in := bufio.NewReader(c)
		for _, id := range []string{"b1", "b2", "b3"} {
			assertResponse(t, in, id, "")
		}
	})
	t.Run("at most maxAhead besides the first", func(t *testing.T) {
		is := is.New(t)
		c := dial()
		for i := range 10 {
			send(t, c, get("/i/", fmt.Sprintf("c%d", i)))
		}
		eventually(t, "as many as allowed are in progress", func() bool { return len(startedOf("c")) == 1+maxAhead })
		in := bufio.NewReader(c)
		for i := range 10 {
			is.True(len(startedOf("c")) <= i+1+maxAhead)
			release <- struct{}{}
			if i >= maxAhead {
				assertResponse(t, in, fmt.Sprintf("c%d", i-maxAhead), "")
			}
		}
	})
	t.Run("one that isn't idempotent waits, and so does what follows it", func(t *testing.T) {
		is := is.New(t)
		c := dial()
		in := bufio.NewReader(c)
		send(t, c, get("/i/", "d1"), get("/n/", "d2"), get("/i/", "d3"))
		for i, id := range []string{"d1", "d2", "d3"} {
			eventually(t, "the next is in progress", func() bool { return len(startedOf("d")) == i+1 })
			release <- struct{}{}
			assertResponse(t, in, id, "")
		}
		is.Equal(startedOf("d"), []string{"d1", "d2", "d3"})
	})
	for name, end := range map[string]func(c *net.TCPConn) error{
		"reset":  func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) },
		"closed": (*net.TCPConn).Close,
	} {
		t.Run("those of a connection that the client has "+name+" are canceled", func(t *testing.T) {
			is := is.New(t)
			_, before := h.StartedAhead()
			c := dial()
			send(t, c, get("/i/", name+"1"))
			eventually(t, "the first is in progress", func() bool { return len(startedOf(name)) == 1 })
			var behind []string
			for i := range maxAhead {
				behind = append(behind, get("/i/", fmt.Sprint(name, i+2)))
			}
			send(t, c, behind...)
			eventually(t, "all are in progress", func() bool { return len(startedOf(name)) == 1+maxAhead })
			is.NoErr(end(c.(*net.TCPConn)))
			eventually(t, "those behind are dropped", func() bool { _, dropped := h.StartedAhead(); return dropped == before+maxAhead })
			eventually(t, "all are canceled", func() bool {
				n := 0
				for _, id := range g.list(&g.canceled) {
					if strings.HasPrefix(id, name) {
						n++
					}
				}
				return n == 1+maxAhead
			})
		})
	}
}

// TestResponsesAreNotMixedUp sends random requests, whose bodies look like requests, in random pieces. It guards against a response to another
// request, out of order, and against requests that nobody sent.
func TestResponsesAreNotMixedUp(t *testing.T) {
	g := &gateForwarder{wait: func(_ context.Context, id string) { time.Sleep(time.Duration(len(id)%3) * time.Millisecond) }}
	h, dial := newPipelineServer(t, g)
	var wg sync.WaitGroup
	for n := range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			random := rand.New(rand.NewPCG(7, uint64(n)))
			c := dial()
			var text strings.Builder
			var ids, bodies []string
			for i := range 60 {
				id := fmt.Sprintf("%d-%d%s", n, i, strings.Repeat("x", random.IntN(3)))
				body := ""
				switch random.IntN(8) {
				case 0:
					body = strings.Repeat(get("/i/", "smuggled"), 1+random.IntN(3))
					fmt.Fprintf(&text, "POST /n/ HTTP/1.1\r\nHost: h\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
				case 1:
					body = "\n\n" + get("/i/", "smuggled")
					fmt.Fprintf(&text, "PUT /i/ HTTP/1.1\nHost: h\nId: %s\nTransfer-Encoding: chunked\n\n%x\r\n%s\r\n0\r\n\r\n", id, len(body), body)
				case 2:
					text.WriteString(get("/n/", id))
				default:
					text.WriteString(strings.ReplaceAll(get("/i/", id), "\r\n", []string{"\r\n", "\n"}[random.IntN(2)]))
				}
				ids, bodies = append(ids, id), append(bodies, body)
			}
			go writePieces(c, text.String(), random)
			in := bufio.NewReader(c)
			for i, id := range ids {
				assertResponse(t, in, id, bodies[i])
			}
		}()
	}
	wg.Wait()
	is := is.New(t)
	is.True(!slices.Contains(g.list(&g.started), "smuggled"))
	started, _ := h.StartedAhead()
	is.True(started > 0)
	is.Equal(len(g.list(&g.started)), 16*60)
}

// writePieces writes a text in random pieces.
func writePieces(c net.Conn, text string, random *rand.Rand) {
	for len(text) > 0 {
		n := min(len(text), 1+random.IntN(300))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return // the reader of the responses fails then
		}
		text = text[n:]
	}
}
