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

// rig is a receiver with a stand-in of a backend server.
type rig struct {
	app      *standin.App
	state    *mesh.Replica
	receiver *Receiver
}

func newRig(t *testing.T, slots int) *rig {
	t.Helper()
	app, err := standin.NewApp("127.0.0.1:0", "i-1", slots, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(app.Close)
	g := &rig{app: app, state: mesh.NewReplica()}
	g.list(&schema.MeshServer{Id: "i-1", Service: "x", Address: app.Address(), Slots: int64(slots), Revision: 2})
	g.receiver = NewReceiver(app.Address(), platform.HeaderNames, g.state, func() time.Duration { return 0 }, http1.NewPool(time.Now), time.Now,
		func(*jaypitch.MeshRequest, *jaypitch.MeshResponse, time.Duration) {})
	return g
}

func (g *rig) list(v *schema.MeshServer) {
	g.state.Merge(jaypitch.MeshUpdate{Revision: v.GetRevision(), Servers: []*schema.MeshServer{v}}, time.Now())
}

func forwarded(id, body string) *jaypitch.MeshRequest {
	by := time.Now().Add(time.Minute)
	return &jaypitch.MeshRequest{ID: id, Method: http.MethodPost, Target: "/p/q?r=1", Host: "h", Body: []byte(body), Rule: "r", ServerID: "i-1",
		CallerService: "caller", Deadline: by, TargetDeadline: by, Revision: 2}
}

func TestAnswersOfTheServer(t *testing.T) {
	long := strings.Repeat("x", 200_000)
	for m, want := range map[standin.Behaviour]struct {
		ran  jaypitch.Execution
		code jaypitch.Code
		runs int
	}{
		standin.Sound:     {jaypitch.Executed, jaypitch.CodeOK, 1},
		standin.Extra:     {jaypitch.Executed, jaypitch.CodeOK, 1},
		standin.Unframed:  {jaypitch.Executed, jaypitch.CodeOK, 1},
		standin.Fails:     {jaypitch.Executed, jaypitch.CodeOK, 1},
		standin.Cut:       {jaypitch.ExecutionUnknown, jaypitch.CodeSpoiled, 1},
		standin.Lost:      {jaypitch.ExecutionUnknown, jaypitch.CodeUnknown, 1},
		standin.Spoiled:   {jaypitch.ExecutionUnknown, jaypitch.CodeUnknown, 1},
		standin.Foreign:   {jaypitch.ExecutionUnknown, jaypitch.CodeUnknown, 1},
		standin.Unstamped: {jaypitch.ExecutionUnknown, jaypitch.CodeSpoiled, 1},
		standin.Sheds:     {jaypitch.NotExecuted, jaypitch.CodeShed, 0},
	} {
		t.Run(string(m), func(t *testing.T) {
			is := is.New(t)
			g := newRig(t, 4)
			g.app.SetBehaviour(m)
			f := forwarded("one", "body")
			if m == standin.Foreign {
				f.Deadline = time.Now().Add(200 * time.Millisecond)
				want.code = jaypitch.CodeAnswerTooLate
			}
			r := g.receiver.Serve(context.Background(), f)
			is.Equal(r.Execution, want.ran)
			is.Equal(r.Code, want.code)
			_, runs := g.app.Ran("one")
			is.Equal(runs, want.runs)
			if m == standin.Sound || m == standin.Extra || m == standin.Unframed {
				is.Equal(string(r.Body), "bodyok")
			}
			running, waiting, _ := g.receiver.Counts()
			is.Equal(running+waiting, 0)
		})
	}
	t.Run("an extra answer belongs to no later request", func(t *testing.T) {
		is := is.New(t)
		g := newRig(t, 4)
		g.app.SetBehaviour(standin.Extra)
		for _, id := range []string{"a", "b", "c"} {
			r := g.receiver.Serve(context.Background(), forwarded(id, id))
			is.Equal(string(r.Body), id+"ok")
		}
	})
	t.Run("an early answer leaves no bytes for a later request", func(t *testing.T) {
		is := is.New(t)
		g := newRig(t, 4)
		g.app.SetBehaviour(standin.Early)
		for range 3 {
			r := g.receiver.Serve(context.Background(), forwarded("a", long))
			is.Equal(string(r.Body), "early")
		}
		g.app.SetBehaviour(standin.Sound)
		r := g.receiver.Serve(context.Background(), forwarded("b", "b"))
		is.Equal(string(r.Body), "bok")
	})
	t.Run("a long answer is streamed and gives its slot back", func(t *testing.T) {
		is := is.New(t)
		g := newRig(t, 1)
		for range 2 {
			r := g.receiver.Serve(context.Background(), forwarded("a", strings.Repeat("y", 2*heldBody)))
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
			is.Equal(n, 2*heldBody+2)
		}
	})
}

func TestHeadersForTheServer(t *testing.T) {
	is := is.New(t)
	g := newRig(t, 4)
	f := forwarded("one", "")
	f.Header = http.Header{"X-Other": {"kept"}, platform.HeaderNames.CallerService: {"forged"}}
	g.receiver.Serve(context.Background(), f)
	h := g.app.Seen()[0]
	is.Equal(h.Get(platform.HeaderNames.RequestID), "one")
	is.Equal(h.Get(platform.HeaderNames.ExpectServer), "i-1")
	is.Equal(h.Get(platform.HeaderNames.CallerService), "caller")
	is.Equal(h.Get("X-Other"), "kept")
	is.True(h.Get(platform.HeaderNames.TimeLeftMS) != "")
}

func TestGate(t *testing.T) {
	t.Run("a server that leaves gets nothing", func(t *testing.T) {
		is := is.New(t)
		g := newRig(t, 4)
		g.list(&schema.MeshServer{Id: "i-1", Service: "x", Address: g.app.Address(), Slots: 4, Draining: true, Revision: 3})
		r := g.receiver.Serve(context.Background(), forwarded("one", ""))
		is.Equal(r.Code, jaypitch.CodeStopping)
		is.Equal(len(g.app.Seen()), 0)
	})
	t.Run("a server that is gone gets nothing", func(t *testing.T) {
		is := is.New(t)
		g := newRig(t, 4)
		g.list(&schema.MeshServer{Id: "i-1", Gone: true, Revision: 3})
		r := g.receiver.Serve(context.Background(), forwarded("one", ""))
		is.Equal(r.Code, jaypitch.CodeNotThisHost)
	})
	t.Run("a sender that holds more is believed", func(t *testing.T) {
		is := is.New(t)
		g := newRig(t, 4)
		g.app.SetID("i-2")
		f := forwarded("one", "")
		f.ServerID, f.Revision = "i-2", 9
		is.Equal(g.receiver.Serve(context.Background(), f).Execution, jaypitch.Executed)
	})
	t.Run("another server at the address runs nothing", func(t *testing.T) {
		is := is.New(t)
		g := newRig(t, 4)
		g.app.SetID("i-2")
		r := g.receiver.Serve(context.Background(), forwarded("one", ""))
		is.Equal(r.Code, jaypitch.CodeMisdirected)
		is.Equal(r.Execution, jaypitch.NotExecuted)
	})
	t.Run("a sidecar that stops takes nothing", func(t *testing.T) {
		is := is.New(t)
		g := newRig(t, 4)
		g.receiver.Stop()
		r := g.receiver.Serve(context.Background(), forwarded("one", ""))
		is.Equal(r.Code, jaypitch.CodeStopping)
		is.True(r.LoadReport.Stopping)
	})
	t.Run("a server that can't be reached ran nothing", func(t *testing.T) {
		is := is.New(t)
		g := newRig(t, 4)
		g.app.Close()
		r := g.receiver.Serve(context.Background(), forwarded("one", ""))
		is.Equal(r.Code, jaypitch.CodeUnreachable)
		is.Equal(r.Execution, jaypitch.NotExecuted)
	})
}

func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	g := newRig(t, 1)
	g.app.SetBehaviour(standin.Silent)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan *jaypitch.MeshResponse)
	go func() { done <- g.receiver.Serve(ctx, forwarded("one", "")) }()
	for _, all := g.app.Ran(""); all == 0; _, all = g.app.Ran("") {
		time.Sleep(time.Millisecond)
	}
	waiting := make(chan *jaypitch.MeshResponse)
	waits, leave := context.WithCancel(context.Background())
	go func() { waiting <- g.receiver.Serve(waits, forwarded("two", "")) }()
	for _, n, _ := g.receiver.Counts(); n == 0; _, n, _ = g.receiver.Counts() {
		time.Sleep(time.Millisecond)
	}
	leave()
	is.Equal((<-waiting).Execution, jaypitch.NotExecuted)
	cancel()
	is.Equal((<-done).Execution, jaypitch.ExecutionUnknown)
	running, queued, _ := g.receiver.Counts()
	is.Equal(running+queued, 0)
	times, _ := g.app.Ran("two")
	is.Equal(times, 0)
}

func TestABodyThatIsHeldBack(t *testing.T) {
	read := func(body string, err error) (*int, func() ([]byte, error)) {
		n := 0
		return &n, func() ([]byte, error) { n++; return []byte(body), err }
	}
	t.Run("it is read once the request is admitted", func(t *testing.T) {
		is := is.New(t)
		g := newRig(t, 1)
		f := forwarded("one", "")
		_, f.ReadBody = read("late", nil)
		is.Equal(string(g.receiver.Serve(context.Background(), f).Body), "lateok")
	})
	t.Run("a refused one is not asked for", func(t *testing.T) {
		is := is.New(t)
		g := newRig(t, 1)
		g.receiver.Stop()
		f := forwarded("one", "")
		n, body := read("late", nil)
		f.ReadBody = body
		is.Equal(g.receiver.Serve(context.Background(), f).Execution, jaypitch.NotExecuted)
		is.Equal(*n, 0)
	})
	t.Run("one that does not come gives the slot back", func(t *testing.T) {
		is := is.New(t)
		g := newRig(t, 1)
		f := forwarded("one", "")
		_, f.ReadBody = read("", io.ErrUnexpectedEOF)
		r := g.receiver.Serve(context.Background(), f)
		is.Equal(r.Execution, jaypitch.NotExecuted)
		is.Equal(r.Code, jaypitch.CodeBodyCut)
		running, waiting, _ := g.receiver.Counts()
		is.Equal(running+waiting, 0)
	})
}

// TestAServerThatFails refuses requests that may go elsewhere, once the server has failed many of the same rule.
func TestAServerThatFails(t *testing.T) {
	for name, c := range map[string]struct {
		rule      string
		elsewhere bool
		refused   bool
	}{
		"one that may go elsewhere":       {"r", true, true},
		"one that has nowhere better":     {"r", false, false},
		"one of a rule that it runs well": {"other", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newRig(t, 4)
			g.app.SetBehaviour(standin.Sheds)
			for range 10 {
				is.Equal(g.receiver.Serve(context.Background(), forwarded("one", "")).Code, jaypitch.CodeShed)
			}
			_, before := g.app.Ran("")
			g.app.SetBehaviour(standin.Sound)
			g.receiver.random = func() float64 { return 0.5 }
			f := forwarded("two", "")
			f.Rule = c.rule
			if c.elsewhere {
				f.CompleteBy = f.Deadline
			}
			r := g.receiver.Serve(context.Background(), f)
			_, after := g.app.Ran("")
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
