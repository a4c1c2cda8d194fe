package outbound

import (
	"context"
	"io"
	"strings"
	"testing"
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
func download(h *contextForwarder, options ...Option) *jaypitch.MeshResponse {
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
