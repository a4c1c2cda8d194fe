package hop

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
)

// TestCodeAboutAnotherClient guards against a receiver's code about its client, the sender, that the sender takes for one about its own client: it
// would close that client's connection without a response.
func TestCodeAboutAnotherClient(t *testing.T) {
	for _, c := range []struct {
		got       jaypitch.Code
		execution jaypitch.Execution
		want      jaypitch.Code
	}{
		{jaypitch.CodeCallerGone, jaypitch.ExecutionUnknown, jaypitch.CodeUnknown},
		{jaypitch.CodeCallerGone, jaypitch.NotExecuted, jaypitch.CodeStopping},
		{jaypitch.CodeBodyCut, jaypitch.NotExecuted, jaypitch.CodeBodyLate},
		{jaypitch.CodeBodyCut, jaypitch.ExecutionUnknown, jaypitch.CodeUnknown},
		{jaypitch.CodeAnswerTooLate, jaypitch.ExecutionUnknown, jaypitch.CodeAnswerTooLate},
	} {
		t.Run(c.got.Info().Name+" "+string(c.execution), func(t *testing.T) {
			is := is.New(t)
			a, address := newClient(t, &fakeReceiver{response: &jaypitch.MeshResponse{Execution: c.execution, Code: c.got, Arrived: true}})
			r := a.Forward(context.Background(), address, request())
			is.Equal(r.Code, c.want)
			is.Equal(r.Execution, c.execution)
			is.True(r.Arrived)
		})
	}
}

// TestForwardWhileStopping guards against a request that this process aborts at its end and that counts as one whose client has left.
func TestForwardWhileStopping(t *testing.T) {
	t.Run("not sent", func(t *testing.T) {
		is := is.New(t)
		c, address := newClient(t, &fakeReceiver{})
		ctx, cancel := context.WithCancelCause(context.Background())
		cancel(jaypitch.ErrStopping)
		r := c.Forward(ctx, address, request())
		is.Equal(r.Code, jaypitch.CodeStopping)
		is.Equal(r.Execution, jaypitch.NotExecuted)
	})
	t.Run("sent", func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancelCause(context.Background())
		c, address := newClient(t, &fakeReceiver{wait: true, response: &jaypitch.MeshResponse{}, arrived: func() { cancel(jaypitch.ErrStopping) }})
		r := c.Forward(ctx, address, request())
		is.Equal(r.Code, jaypitch.CodeUnknown)
		is.Equal(r.Execution, jaypitch.ExecutionUnknown)
	})
}

// TestLateDeferredBody guards against a deferred body that comes too late and ends without a response that says so.
func TestLateDeferredBody(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(NewServer(&lateBodyReceiver{}, "Id", time.Now, func() bool { return false }, func(string, jaypitch.Position) {}, http.NotFoundHandler()))
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "PUT / HTTP/1.1\r\nHost: h\r\n%s: %s\r\nExpect: 100-continue\r\nContent-Length: 100000\r\n\r\npart", headerAttempt, formatAttempt(request(), time.Now()))
	is.NoErr(err)
	in := bufio.NewReader(c)
	a, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	is.Equal(a.StatusCode, http.StatusContinue)
	a, err = http.ReadResponse(in, nil)
	is.NoErr(err)
	r, e := parseHead(a)
	is.True(e == nil)
	is.Equal(r.Code, jaypitch.CodeBodyLate)
	is.Equal(r.Execution, jaypitch.NotExecuted)
}

// lateBodyReceiver refuses a request whose deferred body can't be read, as package inbound does.
type lateBodyReceiver struct{}

func (*lateBodyReceiver) Serve(_ context.Context, f *jaypitch.MeshRequest) *jaypitch.MeshResponse {
	if _, err := f.ReadBody(); err != nil {
		return jaypitch.NotExecutedResponse(jaypitch.CodeBodyCut, "reading the body failed: %s", err)
	}
	return &jaypitch.MeshResponse{Execution: jaypitch.Executed}
}
