package inbound

import (
	"context"
	"io"
	"net/http"
	"strings"
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

// fixture is a receiver with a simulated backend server.
type fixture struct {
	server   *standin.MeshServer
	replica  *mesh.Replica
	receiver *Receiver
}

func newFixture(t *testing.T, slots int) *fixture {
	t.Helper()
	server, err := standin.NewMeshServer("127.0.0.1:0", "i-1", slots, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	g := &fixture{server: server, replica: mesh.NewReplica()}
	g.setServer(&schema.MeshServer{Id: "i-1", Service: "x", Address: server.Address(), Slots: int64(slots), Revision: 2})
	g.receiver = NewReceiver(server.Address(), platform.HeaderNames, g.replica, func() time.Duration { return 0 }, http1.NewPool(time.Now), time.Now,
		func(*jaypitch.MeshRequest, *jaypitch.MeshResponse, time.Duration) {})
	return g
}

func (g *fixture) setServer(v *schema.MeshServer) {
	g.replica.Merge(jaypitch.MeshUpdate{Revision: v.GetRevision(), Servers: []*schema.MeshServer{v}}, time.Now())
}

func newRequest(id, body string) *jaypitch.MeshRequest {
	by := time.Now().Add(time.Minute)
	return &jaypitch.MeshRequest{ID: id, Method: http.MethodPost, Target: "/p/q?r=1", Host: "h", Body: []byte(body), Rule: "r", ServerID: "i-1",
		CallerService: "caller", Deadline: by, TargetDeadline: by, Revision: 2}
}

func TestServeResponses(t *testing.T) {
	long := strings.Repeat("x", 200_000)
	for m, want := range map[standin.Behaviour]struct {
		execution  jaypitch.Execution
		code       jaypitch.Code
		executions int
	}{
		standin.Normal:         {jaypitch.Executed, jaypitch.CodeOK, 1},
		standin.Extra:          {jaypitch.Executed, jaypitch.CodeOK, 1},
		standin.Unframed:       {jaypitch.Executed, jaypitch.CodeOK, 1},
		standin.Failing:        {jaypitch.Executed, jaypitch.CodeOK, 1},
		standin.Truncated:      {jaypitch.ExecutionUnknown, jaypitch.CodeSpoiled, 1},
		standin.Disconnected:   {jaypitch.ExecutionUnknown, jaypitch.CodeUnknown, 1},
		standin.Malformed:      {jaypitch.ExecutionUnknown, jaypitch.CodeUnknown, 1},
		standin.WrongAttemptID: {jaypitch.ExecutionUnknown, jaypitch.CodeUnknown, 1},
		standin.Unstamped:      {jaypitch.ExecutionUnknown, jaypitch.CodeSpoiled, 1},
		standin.Shedding:       {jaypitch.NotExecuted, jaypitch.CodeShed, 0},
	} {
		t.Run(string(m), func(t *testing.T) {
			is := is.New(t)
			g := newFixture(t, 4)
			g.server.SetBehaviour(m)
			f := newRequest("one", "body")
			if m == standin.WrongAttemptID {
				f.Deadline = time.Now().Add(200 * time.Millisecond)
				want.code = jaypitch.CodeAnswerTooLate
			}
			r := g.receiver.Serve(context.Background(), f)
			is.Equal(r.Execution, want.execution)
			is.Equal(r.Code, want.code)
			_, executions := g.server.Executions("one")
			is.Equal(executions, want.executions)
			if m == standin.Normal || m == standin.Extra || m == standin.Unframed {
				is.Equal(string(r.Body), "bodyok")
			}
			inProgress, queued, _ := g.receiver.Counts()
			is.Equal(inProgress+queued, 0)
		})
	}
	t.Run("an extra response is not returned to a later request", func(t *testing.T) {
		is := is.New(t)
		g := newFixture(t, 4)
		g.server.SetBehaviour(standin.Extra)
		for _, id := range []string{"a", "b", "c"} {
			r := g.receiver.Serve(context.Background(), newRequest(id, id))
			is.Equal(string(r.Body), id+"ok")
		}
	})
	t.Run("an early response leaves no bytes for a later request", func(t *testing.T) {
		is := is.New(t)
		g := newFixture(t, 4)
		g.server.SetBehaviour(standin.Early)
		for range 3 {
			r := g.receiver.Serve(context.Background(), newRequest("a", long))
			is.Equal(string(r.Body), "early")
		}
		g.server.SetBehaviour(standin.Normal)
		r := g.receiver.Serve(context.Background(), newRequest("b", "b"))
		is.Equal(string(r.Body), "bok")
	})
	t.Run("a long response is streamed and releases its slot", func(t *testing.T) {
		is := is.New(t)
		g := newFixture(t, 1)
		for range 2 {
			r := g.receiver.Serve(context.Background(), newRequest("a", strings.Repeat("y", 2*maxBufferedBody)))
			is.True(r.Stream != nil)
			buffer := make([]byte, 64<<10)
			n := len(r.Body)
			for {
				m, err := r.Stream.Read(buffer)
				n += m
				if err != nil {
					break
				}
			}
			is.NoErr(r.Stream.Close())
			is.Equal(n, 2*maxBufferedBody+2)
		}
	})
}

func TestServeHeaders(t *testing.T) {
	is := is.New(t)
	g := newFixture(t, 4)
	f := newRequest("one", "")
	f.Header = http.Header{"X-Other": {"kept"}, platform.HeaderNames.CallerService: {"forged"}}
	g.receiver.Serve(context.Background(), f)
	h := g.server.RequestHeaders()[0]
	is.Equal(h.Get(platform.HeaderNames.RequestID), "one")
	is.Equal(h.Get(platform.HeaderNames.ExpectServer), "i-1")
	is.Equal(h.Get(platform.HeaderNames.CallerService), "caller")
	is.Equal(h.Get("X-Other"), "kept")
	is.True(h.Get(platform.HeaderNames.TimeLeftMS) != "")
}

func TestCheckServer(t *testing.T) {
	t.Run("a draining server gets no request", func(t *testing.T) {
		is := is.New(t)
		g := newFixture(t, 4)
		g.setServer(&schema.MeshServer{Id: "i-1", Service: "x", Address: g.server.Address(), Slots: 4, Draining: true, Revision: 3})
		r := g.receiver.Serve(context.Background(), newRequest("one", ""))
		is.Equal(r.Code, jaypitch.CodeStopping)
		is.Equal(len(g.server.RequestHeaders()), 0)
	})
	t.Run("a removed server gets no request", func(t *testing.T) {
		is := is.New(t)
		g := newFixture(t, 4)
		g.setServer(&schema.MeshServer{Id: "i-1", Gone: true, Revision: 3})
		r := g.receiver.Serve(context.Background(), newRequest("one", ""))
		is.Equal(r.Code, jaypitch.CodeNotThisHost)
	})
	t.Run("an unlisted server is accepted if the sender holds a newer revision", func(t *testing.T) {
		is := is.New(t)
		g := newFixture(t, 4)
		g.server.SetID("i-2")
		f := newRequest("one", "")
		f.ServerID, f.Revision = "i-2", 9
		is.Equal(g.receiver.Serve(context.Background(), f).Execution, jaypitch.Executed)
	})
	t.Run("another server at the address executes no request", func(t *testing.T) {
		is := is.New(t)
		g := newFixture(t, 4)
		g.server.SetID("i-2")
		r := g.receiver.Serve(context.Background(), newRequest("one", ""))
		is.Equal(r.Code, jaypitch.CodeMisdirected)
		is.Equal(r.Execution, jaypitch.NotExecuted)
	})
	t.Run("a stopping sidecar accepts no request", func(t *testing.T) {
		is := is.New(t)
		g := newFixture(t, 4)
		g.receiver.Stop()
		r := g.receiver.Serve(context.Background(), newRequest("one", ""))
		is.Equal(r.Code, jaypitch.CodeStopping)
		is.True(r.LoadReport.Stopping)
	})
	t.Run("not executed if the server is unreachable", func(t *testing.T) {
		is := is.New(t)
		g := newFixture(t, 4)
		g.server.Close()
		r := g.receiver.Serve(context.Background(), newRequest("one", ""))
		is.Equal(r.Code, jaypitch.CodeUnreachable)
		is.Equal(r.Execution, jaypitch.NotExecuted)
	})
}

func TestServeCanceled(t *testing.T) {
	is := is.New(t)
	g := newFixture(t, 1)
	g.server.SetBehaviour(standin.Unresponsive)
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan *jaypitch.MeshResponse)
	go func() { first <- g.receiver.Serve(ctx, newRequest("one", "")) }()
	for _, all := g.server.Executions(""); all == 0; _, all = g.server.Executions("") {
		time.Sleep(time.Millisecond)
	}
	second := make(chan *jaypitch.MeshResponse)
	queuedCtx, cancelQueued := context.WithCancel(context.Background())
	go func() { second <- g.receiver.Serve(queuedCtx, newRequest("two", "")) }()
	for _, n, _ := g.receiver.Counts(); n == 0; _, n, _ = g.receiver.Counts() {
		time.Sleep(time.Millisecond)
	}
	cancelQueued()
	canceled := <-second
	is.Equal(canceled.Execution, jaypitch.NotExecuted)
	is.Equal(canceled.Code, jaypitch.CodeCallerGone)
	cancel()
	is.Equal((<-first).Execution, jaypitch.ExecutionUnknown)
	inProgress, queued, _ := g.receiver.Counts()
	is.Equal(inProgress+queued, 0)
	times, _ := g.server.Executions("two")
	is.Equal(times, 0)
}

func TestServeDeferredBody(t *testing.T) {
	read := func(body string, err error) (*int, func() ([]byte, error)) {
		n := 0
		return &n, func() ([]byte, error) { n++; return []byte(body), err }
	}
	t.Run("read once the request is admitted", func(t *testing.T) {
		is := is.New(t)
		g := newFixture(t, 1)
		f := newRequest("one", "")
		_, f.ReadBody = read("late", nil)
		is.Equal(string(g.receiver.Serve(context.Background(), f).Body), "lateok")
	})
	t.Run("not requested if the request is refused", func(t *testing.T) {
		is := is.New(t)
		g := newFixture(t, 1)
		g.receiver.Stop()
		f := newRequest("one", "")
		n, body := read("late", nil)
		f.ReadBody = body
		is.Equal(g.receiver.Serve(context.Background(), f).Execution, jaypitch.NotExecuted)
		is.Equal(*n, 0)
	})
	t.Run("the slot is released if the body is not received", func(t *testing.T) {
		is := is.New(t)
		g := newFixture(t, 1)
		f := newRequest("one", "")
		_, f.ReadBody = read("", io.ErrUnexpectedEOF)
		r := g.receiver.Serve(context.Background(), f)
		is.Equal(r.Execution, jaypitch.NotExecuted)
		is.Equal(r.Code, jaypitch.CodeBodyCut)
		inProgress, queued, _ := g.receiver.Counts()
		is.Equal(inProgress+queued, 0)
	})
}

// TestServeFailingServer checks that after many failures of a rule its requests are refused, if another server can complete them.
func TestServeFailingServer(t *testing.T) {
	for name, c := range map[string]struct {
		rule       string
		completeBy bool
		refused    bool
	}{
		"rule failing, another server is better":  {"r", true, true},
		"rule failing, no other server is better": {"r", false, false},
		"other rule": {"other", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newFixture(t, 4)
			g.server.SetBehaviour(standin.Shedding)
			for range 10 {
				is.Equal(g.receiver.Serve(context.Background(), newRequest("one", "")).Code, jaypitch.CodeShed)
			}
			_, before := g.server.Executions("")
			g.server.SetBehaviour(standin.Normal)
			g.receiver.random = func() float64 { return 0.5 }
			f := newRequest("two", "")
			f.Rule = c.rule
			if c.completeBy {
				f.CompleteBy = f.Deadline
			}
			r := g.receiver.Serve(context.Background(), f)
			_, after := g.server.Executions("")
			is.Equal(r.Code == jaypitch.CodeFailing, c.refused)
			is.Equal(after-before, map[bool]int{true: 0, false: 1}[c.refused])
			if c.refused {
				is.Equal(r.Execution, jaypitch.NotExecuted)
				is.True(!r.Arrived)
				is.True(r.LoadReport.Failing > failingLimit)
			}
		})
	}
}
