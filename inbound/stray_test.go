package inbound

import (
	"context"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
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

// TestLateCopyAnswersLaterAttempt guards against a second copy of a refusal that is taken for the response to a later attempt of the same request:
// the server executes that one, so its client must not be told that it was not executed.
func TestLateCopyAnswersLaterAttempt(t *testing.T) {
	for name, first := range map[string]struct {
		behaviour standin.Behaviour
		server    string
		code      jaypitch.Code
	}{
		"misdirected": {standin.LateCopy, "i-0", jaypitch.CodeMisdirected},
		"shed":        {standin.LateCopyShedding, "i-1", jaypitch.CodeShed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newFixture(t, 4)
			g.setServer(&schema.MeshServer{Id: "i-0", Service: "x", Address: g.server.Address(), Slots: 4, Revision: 3})
			g.server.SetBehaviour(first.behaviour)
			f := newRequest("one", "")
			f.ServerID = first.server
			is.Equal(g.receiver.Serve(context.Background(), f).Code, first.code)
			g.server.SetBehaviour(standin.LateCopy)
			r := g.receiver.Serve(context.Background(), newRequest("one", ""))
			is.Equal(r.Code, jaypitch.CodeOK)
			times, _ := g.server.Executions("one")
			is.Equal(times, 1)
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
	for i, b := range []standin.Behaviour{standin.Shedding, standin.Normal, standin.Shedding, standin.Shedding, standin.Normal} {
		g.server.SetBehaviour(b)
		r := g.receiver.Serve(context.Background(), newRequest("id-"+strconv.Itoa(i), ""))
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
