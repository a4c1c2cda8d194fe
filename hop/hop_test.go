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

// fixedNow is the clock of the client and the server.
func fixedNow() time.Time { return time.Unix(5000, 0) }

// fakeReceiver returns a fixed response and records the request.
type fakeReceiver struct {
	response *jaypitch.MeshResponse
	got      *jaypitch.MeshRequest
	wait     bool
	// arrived is called when a request arrives; may be nil.
	arrived func()
}

func (a *fakeReceiver) Serve(ctx context.Context, f *jaypitch.MeshRequest) *jaypitch.MeshResponse {
	a.got = f
	if a.arrived != nil {
		a.arrived()
	}
	if a.wait {
		<-ctx.Done()
	}
	return a.response
}

// truncatedStream returns an error in place of io.EOF.
type truncatedStream struct{ io.Reader }

func (c *truncatedStream) Close() error { return nil }

func (c *truncatedStream) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	if err == io.EOF {
		err = errors.New("cut")
	}
	return n, err
}

// newClient returns a client and the address of a server with the receiver.
func newClient(t *testing.T, a *fakeReceiver) (*Client, string) {
	t.Helper()
	s := httptest.NewServer(NewServer(a, "Id", fixedNow, func() bool { return false }, func(string, jaypitch.Position) {}, http.NotFoundHandler()))
	t.Cleanup(s.Close)
	return NewClient(http1.NewPool(time.Now), fixedNow), strings.TrimPrefix(s.URL, "http://")
}

func request() *jaypitch.MeshRequest {
	return &jaypitch.MeshRequest{ID: "one", Method: http.MethodPut, Target: "/a//b?c=%20d", Host: "h.example",
		Header: http.Header{"Id": {"one"}, "Other": {"x", "y"}}, Body: []byte("body"),
		Rule: "r;1", Rank: 2, Idempotent: true, ServerID: "i-1", CallerService: "s;v",
		Deadline: fixedNow().Add(time.Second), TargetDeadline: fixedNow().Add(time.Second / 2), CompleteBy: fixedNow().Add(time.Millisecond), Revision: 7, Era: jaypitch.Era{Number: 3, Known: true},
		LimitHeardAt: fixedNow().Add(-3 * time.Second), RateLimit: 2.5, NoTrial: true}
}

func TestForwardRoundTrip(t *testing.T) {
	is := is.New(t)
	want := &jaypitch.MeshResponse{Execution: jaypitch.Executed, Code: jaypitch.CodeOK, Arrived: true, Status: http.StatusTeapot,
		Header: http.Header{"Stamp": {"z"}}, Body: []byte("answer"), ServiceTime: 3 * time.Millisecond, QueueTime: time.Millisecond,
		LoadReport: jaypitch.MeshLoadReport{InProgress: 1, Queued: 2, Slots: 3, Mean: time.Second, Failing: 0.25,
			Stopping: true, Leaving: true, Refusing: true, Answering: "i;1 =", Limited: true, RateLimit: 18.8, LimitWait: 40 * time.Millisecond, Revision: 9, Era: jaypitch.Era{Number: 2, Known: true}, SourceAge: time.Second}}
	a := &fakeReceiver{response: want}
	c, address := newClient(t, a)
	got := c.Forward(context.Background(), address, request())
	received := request()
	received.CallerHost = "127.0.0.1"
	is.Equal(a.got, received)
	is.Equal(got.Header.Get("Stamp"), "z")
	is.Equal(got.NetworkTime, -4*time.Millisecond)
	got.Header, got.NetworkTime = want.Header, 0
	is.Equal(got, want)
}

func TestForwardRefused(t *testing.T) {
	for _, code := range []jaypitch.Code{jaypitch.CodeOverloaded, jaypitch.CodeServerLimit, jaypitch.CodeEvacuated, jaypitch.CodeStopping, jaypitch.CodeMisdirected} {
		t.Run(code.Info().Name, func(t *testing.T) {
			is := is.New(t)
			c, address := newClient(t, &fakeReceiver{response: &jaypitch.MeshResponse{Execution: jaypitch.NotExecuted, Code: code, RetryAfter: time.Second}})
			r := c.Forward(context.Background(), address, request())
			is.Equal(r.Execution, jaypitch.NotExecuted)
			is.Equal(r.Code, code)
			is.Equal(r.RetryAfter, time.Second)
		})
	}
	t.Run("not executed if the sidecar is unreachable", func(t *testing.T) {
		is := is.New(t)
		s := httptest.NewServer(http.NotFoundHandler())
		address := strings.TrimPrefix(s.URL, "http://")
		s.Close()
		r := NewClient(http1.NewPool(time.Now), fixedNow).Forward(context.Background(), address, request())
		is.Equal(r.Execution, jaypitch.NotExecuted)
		is.True(!r.Arrived)
	})
	t.Run("unknown if another program responds", func(t *testing.T) {
		is := is.New(t)
		s := httptest.NewServer(http.NotFoundHandler())
		defer s.Close()
		r := NewClient(http1.NewPool(time.Now), fixedNow).Forward(context.Background(), strings.TrimPrefix(s.URL, "http://"), request())
		is.Equal(r.Execution, jaypitch.ExecutionUnknown)
	})
	t.Run("unknown if another attempt superseded it", func(t *testing.T) {
		is := is.New(t)
		a := &fakeReceiver{wait: true, response: &jaypitch.MeshResponse{}}
		c, address := newClient(t, a)
		ctx, cancel := context.WithCancelCause(context.Background())
		a.arrived = func() { cancel(jaypitch.ErrSuperseded) }
		r := c.Forward(ctx, address, request())
		is.Equal(r.Execution, jaypitch.ExecutionUnknown)
	})
}

func TestForwardTruncatedStream(t *testing.T) {
	is := is.New(t)
	a := &fakeReceiver{response: &jaypitch.MeshResponse{Execution: jaypitch.Executed, Status: http.StatusOK, Header: http.Header{}, Body: []byte("first"),
		Stream: &truncatedStream{strings.NewReader(strings.Repeat("x", 2*maxBufferedBody))}}}
	c, address := newClient(t, a)
	r := c.Forward(context.Background(), address, request())
	is.True(r.Stream != nil)
	_, err := io.Copy(io.Discard, r.Stream)
	is.True(err != nil)
}

func TestEndToEndHeader(t *testing.T) {
	is := is.New(t)
	got := EndToEndHeader(http.Header{"Connection": {"close, X-One"}, "X-One": {"1"}, "Keep-Alive": {"1"},
		"Transfer-Encoding": {"chunked"}, "Jaypitch-Pass": {"forged"}, "Kept": {"1"}})
	is.Equal(got, http.Header{"Kept": {"1"}})
}

func FuzzParseAttempt(f *testing.F) {
	f.Add(formatAttempt(request(), fixedNow()))
	f.Fuzz(func(t *testing.T, text string) {
		got := &jaypitch.MeshRequest{}
		if e := parseAttempt(text, got, fixedNow()); e == nil && got.ServerID == "" {
			t.Fatal("parseAttempt accepts a request without a server ID")
		}
	})
}

func FuzzParseResponse(f *testing.F) {
	f.Add(formatResponse(&jaypitch.MeshResponse{Execution: jaypitch.NotExecuted}))
	f.Fuzz(func(t *testing.T, text string) {
		got := &jaypitch.MeshResponse{}
		if e := parseResponse(text, got); e == nil && got.Execution == "" {
			t.Fatal("parseResponse accepts a response without its execution")
		}
	})
}

// bodyReceiver refuses a request, or reads its deferred body.
type bodyReceiver struct {
	refuses bool
	body    []byte
	err     error
}

func (a *bodyReceiver) Serve(_ context.Context, f *jaypitch.MeshRequest) *jaypitch.MeshResponse {
	if a.refuses {
		return jaypitch.NotExecutedResponse(jaypitch.CodeOverloaded, "full")
	}
	a.body, a.err = f.ReadBody()
	return &jaypitch.MeshResponse{Execution: jaypitch.Executed, Status: http.StatusOK, Header: http.Header{}, Body: a.body}
}

func TestDeferredBody(t *testing.T) {
	for _, refuses := range []bool{true, false} {
		t.Run(fmt.Sprintf("refused %v", refuses), func(t *testing.T) {
			is := is.New(t)
			a := &bodyReceiver{refuses: refuses}
			s := httptest.NewServer(NewServer(a, "Id", time.Now, func() bool { return false }, func(string, jaypitch.Position) {}, http.NotFoundHandler()))
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

func TestForwardCanceled(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := NewClient(http1.NewPool(time.Now), fixedNow).Forward(ctx, "127.0.0.1:1", request())
	is.Equal(r.Execution, jaypitch.NotExecuted)
	is.Equal(r.Code, jaypitch.CodeCallerGone)
}

// TestNoticeBesideOlderSidecars checks that a sidecar of a build without notices is understood, and gets only codes and headers that it knows.
func TestNoticeBesideOlderSidecars(t *testing.T) {
	refusal := &jaypitch.MeshResponse{Execution: jaypitch.NotExecuted, Code: jaypitch.CodeServerLimit,
		LoadReport: jaypitch.MeshLoadReport{Limited: true, RateLimit: 2, LimitWait: time.Second}}
	t.Run("an older sender gets a code that it knows", func(t *testing.T) {
		is := is.New(t)
		got := &jaypitch.MeshResponse{}
		is.True(parseResponse(formatResponse(refusal), got) == nil)
		is.Equal(got.Code, jaypitch.CodeOverloaded)
		is.True(!got.LoadReport.Limited)
	})
	t.Run("the response of an older receiver has no limit", func(t *testing.T) {
		is := is.New(t)
		got := &jaypitch.MeshResponse{Code: jaypitch.CodeOverloaded}
		parseResponseNotice("", got)
		is.Equal(got, &jaypitch.MeshResponse{Code: jaypitch.CodeOverloaded})
	})
	t.Run("unknown names and invalid values are ignored", func(t *testing.T) {
		is := is.New(t)
		got := &jaypitch.MeshResponse{Code: jaypitch.CodeOverloaded}
		parseResponseNotice("limit=x;wait=1;later=3;code=100;=;", got)
		is.Equal(got, &jaypitch.MeshResponse{Code: jaypitch.CodeOverloaded})
		f := &jaypitch.MeshRequest{}
		parseRequestNotice("limit=-1;age=5", f, fixedNow())
		is.Equal(f, &jaypitch.MeshRequest{})
	})
}
