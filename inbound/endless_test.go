package inbound

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/standin"
)

// TestEndlessBytesHoldTheSlot guards against a server whose bytes, which are no response, keep a request until its deadline.
func TestEndlessBytesHoldTheSlot(t *testing.T) {
	for _, b := range []standin.Behaviour{standin.EndlessHead, standin.EndlessLine, standin.EndlessChunk, standin.EndlessOther} {
		t.Run(string(b), func(t *testing.T) {
			is := is.New(t)
			g := newFixture(t, 1)
			g.server.SetBehaviour(b)
			f := newRequest("one", "")
			f.Deadline = time.Now().Add(20 * time.Second)
			r := g.receiver.Serve(context.Background(), f)
			is.Equal(r.Execution, jaypitch.ExecutionUnknown)
			is.True(r.Code != jaypitch.CodeAnswerTooLate)
			assertNextServed(t, g)
		})
	}
	t.Run("a body without an end is never complete, and ends at the deadline", func(t *testing.T) {
		is := is.New(t)
		g := newFixture(t, 1)
		g.server.SetBehaviour(standin.EndlessBody)
		f := newRequest("one", "")
		f.Deadline = time.Now().Add(200 * time.Millisecond)
		r := g.receiver.Serve(context.Background(), f)
		is.True(r.Stream != nil)
		is.True(len(r.Body) <= maxBufferedBody)
		_, err := io.Copy(io.Discard, r.Stream)
		is.True(err != nil)
		is.NoErr(r.Stream.Close())
		assertNextServed(t, g)
	})
}

// assertNextServed checks that the only slot is free and no byte of before reaches the next request.
func assertNextServed(t *testing.T, g *fixture) {
	t.Helper()
	is := is.New(t)
	g.server.SetBehaviour(standin.Normal)
	is.Equal(string(g.receiver.Serve(context.Background(), newRequest("two", "next")).Body), "nextok")
}
