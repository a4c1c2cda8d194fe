package inbound

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/standin"
)

// TestRepeatedRefusalCountsAsNotExecuted guards against a refusal of an earlier request that a faulty server writes once more on a kept
// connection: the request that it is taken for was executed, so its client must not be told that it wasn't.
func TestRepeatedRefusalCountsAsNotExecuted(t *testing.T) {
	for b, want := range map[standin.Behaviour]struct {
		execution jaypitch.Execution
		code      jaypitch.Code
	}{
		standin.RepeatedRefusal:      {jaypitch.Executed, jaypitch.CodeOK},
		standin.AnonymousRefusal:     {jaypitch.ExecutionUnknown, jaypitch.CodeSpoiled},
		standin.AnonymousMisdirected: {jaypitch.ExecutionUnknown, jaypitch.CodeSpoiled},
	} {
		t.Run(string(b), func(t *testing.T) {
			is := is.New(t)
			g := newFixture(t, 4)
			is.Equal(g.receiver.Serve(context.Background(), newRequest("first", "")).Code, jaypitch.CodeOK)
			g.server.SetBehaviour(b)
			r := g.receiver.Serve(context.Background(), newRequest("second", ""))
			is.Equal(r.Execution, want.execution)
			is.Equal(r.Code, want.code)
			times, _ := g.server.Executions("second")
			is.Equal(times, 1)
			assertNextOnNewConnection(t, g)
		})
	}
}

// TestConnectionWithStrayResponseIsReused guards against a second request on a connection that carried a response to another one: more of
// them may follow.
func TestConnectionWithStrayResponseIsReused(t *testing.T) {
	is := is.New(t)
	g := newFixture(t, 4)
	g.server.SetBehaviour(standin.RepeatedRefusal)
	r := g.receiver.Serve(context.Background(), newRequest("first", "body"))
	is.Equal(string(r.Body), "bodyok")
	assertNextOnNewConnection(t, g)
}

// TestRefusalClosesConnection guards against a new connection for each request that a full server refuses, which costs it more than the refusal.
func TestRefusalClosesConnection(t *testing.T) {
	is := is.New(t)
	g := newFixture(t, 4)
	for _, b := range []standin.Behaviour{standin.Shedding, standin.Normal, standin.Shedding, standin.Shedding, standin.Normal} {
		g.server.SetBehaviour(b)
		r := g.receiver.Serve(context.Background(), newRequest("id", ""))
		is.Equal(r.Execution == jaypitch.NotExecuted, b == standin.Shedding)
	}
	is.Equal(g.server.Connections(), 1)
}

// assertNextOnNewConnection checks that the next request gets its own response, on a new connection.
func assertNextOnNewConnection(t *testing.T, g *fixture) {
	t.Helper()
	is := is.New(t)
	before := g.server.Connections()
	g.server.SetBehaviour(standin.Normal)
	r := g.receiver.Serve(context.Background(), newRequest("next", "own"))
	is.Equal(string(r.Body), "ownok")
	is.Equal(g.server.Connections(), before+1)
}
