package inbound

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
	"github.com/jaypitch/jaypitch/standin"
	"github.com/jaypitch/jaypitch/transfer"
)

// newDownload returns a request whose response is streamed and has the bytes of body and two more.
func newDownload(id string, bytes int) *jaypitch.MeshRequest {
	f := newRequest(id, strings.Repeat("x", bytes))
	f.Download = true
	return f
}

// assertSlotFree waits until no request holds a slot. The limit of a minute only ends a test that hangs.
func assertSlotFree(t *testing.T, g *fixture) {
	t.Helper()
	for limit := time.Now().Add(time.Minute); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		if inProgress, _, _ := g.receiver.Counts(); inProgress+g.receiver.Streams() == 0 {
			return
		}
	}
	t.Fatal("the slot was not released within a minute")
}

// TestDownload guards against downloads that are passed on only once they are complete, that hold a slot while their reader is slow or gone, and
// against truncated ones that look complete.
func TestDownload(t *testing.T) {
	serve := func(t *testing.T, b standin.Behaviour, bytes int) (*fixture, *jaypitch.MeshResponse) {
		g := newFixture(t, 1)
		g.server.SetBehaviour(b)
		r := g.receiver.Serve(context.Background(), newDownload("one", bytes))
		is.New(t).True(r.Stream != nil && r.Download && len(r.Body) == 0)
		return g, r
	}
	t.Run("a complete one", func(t *testing.T) {
		is := is.New(t)
		g, r := serve(t, standin.Normal, 500_000)
		is.Equal(r.Length, int64(500_002))
		body, err := io.ReadAll(r.Stream)
		is.NoErr(err)
		is.Equal(string(body), strings.Repeat("x", 500_000)+"ok")
		is.NoErr(r.Stream.Close())
		assertSlotFree(t, g)
		assertNextServed(t, g)
	})
	t.Run("the slot is free once the server has sent everything, though nobody has read it", func(t *testing.T) {
		g, r := serve(t, standin.Normal, 30_000)
		assertSlotFree(t, g)
		body, err := io.ReadAll(r.Stream)
		is := is.New(t)
		is.NoErr(err)
		is.Equal(len(body), 30_002)
	})
	t.Run("the slot is free once the reader is gone", func(t *testing.T) {
		is := is.New(t)
		g, r := serve(t, standin.EndlessBody, 0)
		_, err := io.CopyN(io.Discard, r.Stream, 200_000)
		is.NoErr(err)
		is.NoErr(r.Stream.Close())
		assertSlotFree(t, g)
		assertNextServed(t, g)
	})
	t.Run("a truncated one", func(t *testing.T) {
		is := is.New(t)
		g, r := serve(t, standin.Truncated, 100_000)
		_, err := io.ReadAll(r.Stream)
		is.True(err != nil)
		is.NoErr(r.Stream.Close())
		assertSlotFree(t, g)
	})
	t.Run("a short one is buffered, so that the sender may retry", func(t *testing.T) {
		is := is.New(t)
		g := newFixture(t, 1)
		is.Equal(string(g.receiver.Serve(context.Background(), newDownload("one", 1)).Body), "xok")
	})
}

// TestLinkAdmission guards against downloads that are accepted though the link has no room for them, and against refusals of requests that don't
// use the link, or that were executed.
func TestLinkAdmission(t *testing.T) {
	is := is.New(t)
	g := newFixture(t, 4)
	g.replica.Merge(jaypitch.MeshUpdate{Revision: 3, Config: &schema.MeshConfig{Version: 1, Rules: []*schema.MeshRule{{Name: "d", Host: "h", Prefix: "/", Download: true}}}}, time.Now())
	outgoing := transfer.NewGate(1, time.Now)
	WithLink(transfer.NewGate(1, time.Now), outgoing)(g.receiver)
	serve := func(id string, local, download bool) *jaypitch.MeshResponse {
		f := newDownload(id, 40_000)
		f.TargetDeadline, f.Local, f.Download = time.Now().Add(900*time.Millisecond), local, download
		r := g.receiver.Serve(context.Background(), f)
		t.Cleanup(r.Discard)
		return r
	}
	first := serve("first", false, true)
	is.Equal(first.Execution, jaypitch.Executed)
	is.True(first.LoadReport.LinkRate > 0 && first.LoadReport.LinkWait > 0)
	refused := serve("second", false, true)
	is.Equal(refused.Code, jaypitch.CodeLinkFull)
	is.Equal(refused.Execution, jaypitch.NotExecuted)
	is.True(refused.RetryAfter > 0)
	executions, _ := g.server.Executions("second")
	is.Equal(executions, 0)
	is.Equal(outgoing.Counts().Refused, int64(1))
	local := serve("third", true, true)
	is.Equal(local.Execution, jaypitch.Executed)
	is.Equal(local.LoadReport.LinkRate, 0.0)
	other := serve("fourth", false, false)
	is.Equal(other.Execution, jaypitch.Executed)
	is.True(other.LoadReport.LinkRate > 0) // the link is full
	body, err := io.ReadAll(other.Stream)
	is.NoErr(err)
	is.Equal(string(body), strings.Repeat("x", 40_000)+"ok")
}
