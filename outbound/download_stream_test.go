package outbound

import (
	"context"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/route"
	"github.com/jaypitch/jaypitch/transfer"
)

// contextForwarder returns a stream and keeps the context of the attempt.
type contextForwarder struct {
	ctx      context.Context
	attempts int
}

func (h *contextForwarder) Forward(ctx context.Context, _ string, _ *jaypitch.MeshRequest) *jaypitch.MeshResponse {
	h.ctx = ctx
	h.attempts++
	return &jaypitch.MeshResponse{Execution: jaypitch.Executed, Arrived: true, Status: 200, Stream: io.NopCloser(strings.NewReader("rest")), Length: 4, Download: true}
}

// download dispatches a download with a forwarder.
func download(h jaypitch.Forwarder, options ...Option) *jaypitch.MeshResponse {
	s := twoServers(true, 2)
	d := NewDispatcher("10.0.0.9:1", func(server string) string { return server }, s, h, nil, route.NewMeshPicker("here", func() float64 { return 0 }),
		route.NewMeshRetryBudget(0, 1000, 10*time.Second), time.Now, func(*jaypitch.MeshRequest, *jaypitch.MeshResponse, int) {}, options...)
	f := &jaypitch.MeshRequest{ID: "one", Idempotent: true, Download: true, Deadline: time.Now().Add(time.Minute), TargetDeadline: time.Now().Add(2 * time.Second)}
	return d.Do(context.Background(), f, s.Table().Match("h", "/"), "x")
}

// TestStreamKeepsContext guards against a stream that ends because its request's context ends when the dispatcher has returned.
func TestStreamKeepsContext(t *testing.T) {
	is := is.New(t)
	h := &contextForwarder{}
	r := download(h)
	is.NoErr(h.ctx.Err())
	body, err := io.ReadAll(r.Stream)
	is.NoErr(err)
	is.Equal(string(body), "rest")
	is.NoErr(r.Stream.Close())
	is.True(h.ctx.Err() != nil)
}

// TestFullLinkOfSender guards against downloads that are sent for though the sender's own link has no room for their responses.
func TestFullLinkOfSender(t *testing.T) {
	is := is.New(t)
	h := &contextForwarder{}
	incoming := transfer.NewGate(1, time.Now)
	for range 10 {
		incoming.Begin("other", time.Now(), 64<<10)
	}
	r := download(h, WithLink(incoming, nil))
	is.Equal(r.Code, jaypitch.CodeLinkFull)
	is.Equal(r.Execution, jaypitch.NotExecuted)
	is.True(r.RetryAfter > 0)
	is.Equal(h.attempts, 0)
}

// brokenForwarder responds to the first attempt with a stream that has no byte.
type brokenForwarder struct{ attempts int }

func (h *brokenForwarder) Forward(_ context.Context, _ string, _ *jaypitch.MeshRequest) *jaypitch.MeshResponse {
	h.attempts++
	var body io.Reader = strings.NewReader("rest")
	if h.attempts == 1 {
		body = &failingReader{}
	}
	return &jaypitch.MeshResponse{Execution: jaypitch.Executed, Arrived: true, Status: 200, Stream: io.NopCloser(body), Length: 4, Download: true}
}

// TestStreamWithoutFirstByte guards against a client that gets a broken response though nothing of it had been passed on.
func TestStreamWithoutFirstByte(t *testing.T) {
	is := is.New(t)
	h := &brokenForwarder{}
	r := download(h)
	is.Equal(h.attempts, 2)
	body, err := io.ReadAll(r.Stream)
	is.NoErr(err)
	is.Equal(string(body), "rest")
	is.NoErr(r.Stream.Close())
}

// downloadStream is a stream that breaks off when the context of its attempt ends.
type downloadStream struct {
	ctx    context.Context
	closed *atomic.Int64
	read   bool
}

func (s *downloadStream) Read(p []byte) (int, error) {
	if err := s.ctx.Err(); err != nil {
		return 0, err
	}
	if s.read {
		return 0, io.EOF
	}
	s.read = true
	return copy(p, "rest"), nil
}

func (s *downloadStream) Close() error {
	s.closed.Add(1)
	return nil
}

// downloadForwarder responds to each attempt with a stream, after the time for its number.
type downloadForwarder struct {
	after          []time.Duration
	started        chan string
	opened, closed atomic.Int64
	attempts       atomic.Int64
}

func (h *downloadForwarder) Forward(ctx context.Context, _ string, f *jaypitch.MeshRequest) *jaypitch.MeshResponse {
	n := h.attempts.Add(1)
	h.started <- f.ServerID
	select {
	case <-time.After(h.after[n-1]):
	case <-ctx.Done():
		return jaypitch.ExecutionUnknownResponse(jaypitch.CodeCallerGone, "the attempt was canceled")
	}
	h.opened.Add(1)
	return &jaypitch.MeshResponse{Execution: jaypitch.Executed, Arrived: true, Status: 200, Stream: &downloadStream{ctx: ctx, closed: &h.closed}, Download: true,
		LoadReport: jaypitch.MeshLoadReport{Slots: 10}}
}

// TestHedgeOfDownload guards against a download that breaks off because its hedge ends at about the same time, and against streams that nobody closes.
func TestHedgeOfDownload(t *testing.T) {
	for name, after := range map[string][]time.Duration{
		"the hedge ends first":            {time.Hour, time.Second},
		"the first attempt ends first":    {2 * time.Second, time.Hour},
		"both end at the same time":       {2 * time.Second, time.Second},
		"the hedge ends a little later":   {2 * time.Second, time.Second + time.Nanosecond},
		"the hedge ends a little earlier": {2 * time.Second, time.Second - time.Nanosecond},
	} {
		t.Run(name, func(t *testing.T) {
			for range 200 {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					h := &downloadForwarder{after: after, started: make(chan string, 2)}
					s := twoServers(true, 2)
					d := NewDispatcher("10.0.0.9:1", func(server string) string { return server }, s, h, nil, route.NewMeshPicker("here", func() float64 { return 0 }),
						route.NewMeshRetryBudget(0, 1000, 10*time.Second), time.Now, func(*jaypitch.MeshRequest, *jaypitch.MeshResponse, int) {})
					f := &jaypitch.MeshRequest{ID: "one", Idempotent: true, Download: true, Deadline: time.Now().Add(2 * time.Hour), TargetDeadline: time.Now().Add(time.Second)}
					done := make(chan *jaypitch.MeshResponse)
					go func() { done <- d.Do(context.Background(), f, s.Table().Match("h", "/"), "x") }()
					first := <-h.started
					time.Sleep(time.Second)
					is.True(d.RecordProbe(first, false))
					r := <-done
					synctest.Wait()
					body, err := io.ReadAll(r.Stream)
					is.NoErr(err)
					is.Equal(string(body), "rest")
					is.NoErr(r.Stream.Close())
					synctest.Wait()
					is.Equal(h.closed.Load(), h.opened.Load())
				})
			}
		})
	}
}
