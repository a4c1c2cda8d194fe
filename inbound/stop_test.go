package inbound

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/standin"
)

// TestStopAbortsRequests guards against requests that a stop aborts and that are reported as if their sender had left.
func TestStopAbortsRequests(t *testing.T) {
	is := is.New(t)
	g := newFixture(t, 1)
	g.server.SetBehaviour(standin.Unresponsive)
	ctx, cancel := context.WithCancelCause(context.Background())
	running, queued := make(chan *jaypitch.MeshResponse), make(chan *jaypitch.MeshResponse)
	go func() { running <- g.receiver.Serve(ctx, newRequest("one", "")) }()
	for _, all := g.server.Executions(""); all == 0; _, all = g.server.Executions("") {
		time.Sleep(time.Millisecond)
	}
	go func() { queued <- g.receiver.Serve(ctx, newRequest("two", "")) }()
	for _, n, _ := g.receiver.Counts(); n == 0; _, n, _ = g.receiver.Counts() {
		time.Sleep(time.Millisecond)
	}
	cancel(jaypitch.ErrStopping)
	r := <-running
	is.Equal(r.Code, jaypitch.CodeUnknown)
	is.Equal(r.Execution, jaypitch.ExecutionUnknown)
	r = <-queued
	is.Equal(r.Code, jaypitch.CodeStopping)
	is.Equal(r.Execution, jaypitch.NotExecuted)
}
