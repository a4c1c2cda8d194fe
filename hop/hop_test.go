package hop

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/http1"
)

// fixed is the clock of both sides.
func fixed() time.Time { return time.Unix(5000, 0) }

// answering is a receiver that gives one reply and notes what it got.
type answering struct {
	reply *jaypitch.MeshResponse
	got   *jaypitch.MeshRequest
	wait  bool
	// arrived is called when a request has arrived; nil if nobody wants to know.
	arrived func()
}

func (a *answering) Serve(ctx context.Context, f *jaypitch.MeshRequest) *jaypitch.MeshResponse {
	a.got = f
	if a.arrived != nil {
		a.arrived()
	}
	if a.wait {
		<-ctx.Done()
	}
	return a.reply
}

// cutStream fails after some bytes.
type cutStream struct{ io.Reader }

func (c *cutStream) Close() error { return nil }

func (c *cutStream) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	if err == io.EOF {
		err = errors.New("cut")
	}
	return n, err
}

// newHop connects a client with a server before a receiver.
func newHop(t *testing.T, a *answering) (*Client, string) {
	t.Helper()
	s := httptest.NewServer(NewServer(a, "Id", fixed, func() bool { return false }, func(string, int64) {}, http.NotFoundHandler()))
	t.Cleanup(s.Close)
	return NewClient(http1.NewPool(time.Now), fixed), strings.TrimPrefix(s.URL, "http://")
}

func request() *jaypitch.MeshRequest {
	return &jaypitch.MeshRequest{ID: "one", Method: http.MethodPut, Target: "/a//b?c=%20d", Host: "h.example", Header: http.Header{"Id": {"one"}, "Other": {"x", "y"}},
		Body: []byte("body"), Rule: "r;1", Rank: 2, Idempotent: true, ServerID: "i-1", CallerService: "s;v", Deadline: fixed().Add(time.Second),
		TargetDeadline: fixed().Add(time.Second / 2), CompleteBy: fixed().Add(time.Millisecond), Revision: 7}
}

func TestPassKeepsARequestAndItsReply(t *testing.T) {
	is := is.New(t)
	want := &jaypitch.MeshResponse{Execution: jaypitch.Executed, Code: jaypitch.CodeOK, Arrived: true, Status: http.StatusTeapot, Header: http.Header{"Stamp": {"z"}}, Body: []byte("answer"),
		ServiceTime: 3 * time.Millisecond, QueueTime: time.Millisecond, LoadReport: jaypitch.MeshLoadReport{InProgress: 1, Queued: 2, Slots: 3, Mean: time.Second, Failing: 0.25, Stopping: true, Revision: 9, SourceAge: time.Second}}
	a := &answering{reply: want}
	c, address := newHop(t, a)
	got := c.Forward(context.Background(), address, request())
	is.Equal(a.got, request())
	is.Equal(got.Header.Get("Stamp"), "z")
	is.Equal(got.NetworkTime, -4*time.Millisecond)
	got.Header, got.NetworkTime = want.Header, 0
	is.Equal(got, want)
}

func TestPassOfRefusals(t *testing.T) {
	for _, code := range []jaypitch.Code{jaypitch.CodeOverloaded, jaypitch.CodeStopping, jaypitch.CodeMisdirected} {
		t.Run(code.Info().Name, func(t *testing.T) {
			is := is.New(t)
			c, address := newHop(t, &answering{reply: &jaypitch.MeshResponse{Execution: jaypitch.NotExecuted, Code: code, RetryAfter: time.Second}})
			r := c.Forward(context.Background(), address, request())
			is.Equal(r.Execution, jaypitch.NotExecuted)
			is.Equal(r.Code, code)
			is.Equal(r.RetryAfter, time.Second)
		})
	}
	t.Run("a sidecar that can't be reached got nothing", func(t *testing.T) {
		is := is.New(t)
		s := httptest.NewServer(http.NotFoundHandler())
		address := strings.TrimPrefix(s.URL, "http://")
		s.Close()
		r := NewClient(http1.NewPool(time.Now), fixed).Forward(context.Background(), address, request())
		is.Equal(r.Execution, jaypitch.NotExecuted)
		is.True(!r.Arrived)
	})
	t.Run("an answer of something else says nothing", func(t *testing.T) {
		is := is.New(t)
		s := httptest.NewServer(http.NotFoundHandler())
		defer s.Close()
		r := NewClient(http1.NewPool(time.Now), fixed).Forward(context.Background(), strings.TrimPrefix(s.URL, "http://"), request())
		is.Equal(r.Execution, jaypitch.ExecutionUnknown)
	})
	t.Run("one that was given up for another's answer may have run it", func(t *testing.T) {
		is := is.New(t)
		a := &answering{wait: true, reply: &jaypitch.MeshResponse{}}
		c, address := newHop(t, a)
		ctx, cancel := context.WithCancelCause(context.Background())
		a.arrived = func() { cancel(jaypitch.ErrSuperseded) }
		r := c.Forward(ctx, address, request())
		is.Equal(r.Execution, jaypitch.ExecutionUnknown)
	})
}

func TestAStreamThatIsCutDoesNotLookWhole(t *testing.T) {
	is := is.New(t)
	a := &answering{reply: &jaypitch.MeshResponse{Execution: jaypitch.Executed, Status: http.StatusOK, Header: http.Header{}, Body: []byte("first"),
		Stream: &cutStream{strings.NewReader(strings.Repeat("x", 2*heldBody))}}}
	c, address := newHop(t, a)
	r := c.Forward(context.Background(), address, request())
	is.True(r.Stream != nil)
	_, err := io.Copy(io.Discard, r.Stream)
	is.True(err != nil)
}

func TestCleanDropsWhatConcernsOneConnection(t *testing.T) {
	is := is.New(t)
	got := EndToEndHeader(http.Header{"Connection": {"close, X-One"}, "X-One": {"1"}, "Keep-Alive": {"1"}, "Transfer-Encoding": {"chunked"}, "Jaypitch-Pass": {"forged"}, "Kept": {"1"}})
	is.Equal(got, http.Header{"Kept": {"1"}})
}

func FuzzParsePass(f *testing.F) {
	f.Add(pass(request(), fixed()))
	f.Fuzz(func(t *testing.T, text string) {
		got := &jaypitch.MeshRequest{}
		if e := parsePass(text, got, fixed()); e == nil && got.ServerID == "" {
			t.Fatal("a request for no server")
		}
	})
}

func FuzzParseReply(f *testing.F) {
	f.Add(reply(&jaypitch.MeshResponse{Execution: jaypitch.NotExecuted}))
	f.Fuzz(func(t *testing.T, text string) {
		got := &jaypitch.MeshResponse{}
		if e := parseReply(text, got); e == nil && got.Execution == "" {
			t.Fatal("a reply that doesn't say whether the request ran")
		}
	})
}

// asking is a receiver that refuses, or reads the body that is held back.
type asking struct {
	refuses bool
	body    []byte
	err     error
}

func (a *asking) Serve(_ context.Context, f *jaypitch.MeshRequest) *jaypitch.MeshResponse {
	if a.refuses {
		return jaypitch.NotExecutedResponse(jaypitch.CodeOverloaded, "full")
	}
	a.body, a.err = f.ReadBody()
	return &jaypitch.MeshResponse{Execution: jaypitch.Executed, Status: http.StatusOK, Header: http.Header{}, Body: a.body}
}

func TestABodyIsHeldBackUntilThereIsRoom(t *testing.T) {
	for _, refuses := range []bool{true, false} {
		t.Run(fmt.Sprintf("refused %v", refuses), func(t *testing.T) {
			is := is.New(t)
			a := &asking{refuses: refuses}
			s := httptest.NewServer(NewServer(a, "Id", time.Now, func() bool { return false }, func(string, int64) {}, http.NotFoundHandler()))
			defer s.Close()
			f := request()
			f.ExpectContinue, f.Body, f.Deadline = true, []byte(strings.Repeat("x", 100_000)), time.Now().Add(time.Minute)
			r := NewClient(http1.NewPool(time.Now), time.Now).Forward(context.Background(), strings.TrimPrefix(s.URL, "http://"), f)
			if refuses {
				is.Equal(r.Execution, jaypitch.NotExecuted)
				is.Equal(r.Code, jaypitch.CodeOverloaded)
				return
			}
			is.NoErr(a.err)
			is.Equal(r.Execution, jaypitch.Executed)
			is.Equal(r.Body, f.Body)
		})
	}
}

func TestACallerThatLeavesSaysNothingOfTheSidecar(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := NewClient(http1.NewPool(time.Now), fixed).Forward(ctx, "127.0.0.1:1", request())
	is.Equal(r.Execution, jaypitch.NotExecuted)
	is.Equal(r.Code, jaypitch.CodeCallerGone)
}
