package inbound

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/standin"
)

// TestServeRefusingServer guards against requests to a server that refuses all of them, also if no other server is better.
func TestServeRefusingServer(t *testing.T) {
	is := is.New(t)
	g := newFixture(t, 4)
	var ahead time.Duration
	g.receiver.now = func() time.Time { return time.Now().Add(ahead) }
	g.server.SetBehaviour(standin.Shedding)
	refusedBy := func() jaypitch.Code {
		f := newRequest("one", "")
		f.Deadline, f.TargetDeadline = g.receiver.now().Add(time.Second), g.receiver.now().Add(time.Second)
		r := g.receiver.Serve(context.Background(), f)
		is.Equal(r.Execution == jaypitch.NotExecuted, r.Code != jaypitch.CodeOK)
		is.True(r.LoadReport.Refusing || r.Code != jaypitch.CodeFailing)
		return r.Code
	}
	for range 10 {
		is.Equal(refusedBy(), jaypitch.CodeShed)
	}
	ahead += time.Second
	is.Equal(refusedBy(), jaypitch.CodeShed) // the last one: all in a row for long enough
	is.Equal(refusedBy(), jaypitch.CodeFailing)
	g.server.SetBehaviour(standin.Normal)
	ahead += time.Minute
	trial := newRequest("one", "")
	trial.Deadline, trial.TargetDeadline = g.receiver.now().Add(time.Second), g.receiver.now().Add(time.Second)
	trial.CompleteBy = g.receiver.now().Add(time.Nanosecond) // another server is expected to be faster
	is.Equal(g.receiver.Serve(context.Background(), trial).Code, jaypitch.CodeOK)
	is.Equal(refusedBy(), jaypitch.CodeOK)
}
