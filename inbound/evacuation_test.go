package inbound

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/http1"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/platform"
	"github.com/jaypitch/jaypitch/schema"
)

// setEvacuated evacuates a data centre, or takes that back.
func (g *fixture) setEvacuated(dataCentre string, evacuated bool) {
	revision := g.replica.Revision() + 1
	g.replica.Merge(jaypitch.MeshUpdate{Revision: revision, Evacuations: []*schema.MeshEvacuation{{DataCentre: dataCentre, Gone: !evacuated, Revision: revision}}}, time.Now())
}

// setDataCentre puts the server of the fixture into a data centre.
func (g *fixture) setDataCentre(name string, slots int) {
	g.setServer(&schema.MeshServer{Id: "i-1", Service: "x", Address: g.server.Address(), DataCentre: name, Slots: int64(slots), Revision: g.replica.Revision() + 1})
}

// TestRequestReachesEvacuatedServer guards against a receiver that lets requests through to its server in an evacuated data centre: those that
// arrive, those that were queued, and those of a server whose entry it doesn't have.
func TestRequestReachesEvacuatedServer(t *testing.T) {
	t.Run("on arrival", func(t *testing.T) {
		is := is.New(t)
		g := newFixture(t, 4)
		g.setDataCentre("z", 4)
		g.setEvacuated("z", true)
		r := g.receiver.Serve(context.Background(), newRequest("one", ""))
		is.Equal(r.Code, jaypitch.CodeEvacuated)
		is.Equal(r.Execution, jaypitch.NotExecuted)
		is.True(!r.Arrived)
		g.setEvacuated("z", false)
		is.Equal(g.receiver.Serve(context.Background(), newRequest("two", "")).Code, jaypitch.CodeOK)
		times, all := g.server.Executions("one")
		is.Equal(times, 0)
		is.Equal(all, 1)
	})
	t.Run("in the queue", func(t *testing.T) {
		is := is.New(t)
		g := newFixture(t, 1)
		g.setDataCentre("z", 1)
		g.server.SetServiceTime(300 * time.Millisecond)
		codes := make(chan jaypitch.Code, 2)
		for _, id := range []string{"one", "two"} {
			go func() { codes <- g.receiver.Serve(context.Background(), newRequest(id, "")).Code }()
		}
		for running, queued := 0, 0; running != 1 || queued != 1; running, queued, _ = g.receiver.Counts() {
			time.Sleep(time.Millisecond)
		}
		g.setEvacuated("z", true)
		g.receiver.RefuseEvacuated()
		is.Equal(<-codes, jaypitch.CodeEvacuated) // the queued one ends before the one in progress
		is.Equal(<-codes, jaypitch.CodeOK)
		_, all := g.server.Executions("")
		is.Equal(all, 1)
	})
	t.Run("whose entry is unknown", func(t *testing.T) {
		is := is.New(t)
		g := newFixture(t, 4)
		g.replica = mesh.NewReplica()
		g.setEvacuated("z", true)
		g.receiver = NewReceiver(g.server.Address(), platform.HeaderNames, g.replica, func() time.Duration { return 0 }, http1.NewPool(time.Now), time.Now,
			func(*jaypitch.MeshRequest, *jaypitch.MeshResponse, time.Duration) {}, WithDataCentre("z"))
		f := newRequest("one", "")
		f.Revision = 99
		is.Equal(g.receiver.Serve(context.Background(), f).Code, jaypitch.CodeEvacuated)
	})
	t.Run("after a pause", func(t *testing.T) {
		is := is.New(t)
		g := newFixture(t, 4)
		paused := true
		WithUnconfirmed(func() bool { return paused })(g.receiver)
		is.Equal(g.receiver.Serve(context.Background(), newRequest("one", "")).Code, jaypitch.CodeUnconfirmed)
		paused = false
		is.Equal(g.receiver.Serve(context.Background(), newRequest("one", "")).Code, jaypitch.CodeOK)
	})
}
