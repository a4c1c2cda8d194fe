package inbound

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// TestServerAnswersForItself guards against an entry of another writer that keeps a server out of use: the server's refusal of a request that was
// meant for that entry names the server, and the load report of the same response passes it on.
func TestServerAnswersForItself(t *testing.T) {
	is := is.New(t)
	g := newFixture(t, 3)
	odd := &schema.MeshServer{Id: "odd", Service: "x", Address: g.server.Address(), Slots: 99, Revision: 5}
	g.setServer(odd)
	is.Equal(g.replica.Table().Services["x"].Servers[0].GetId(), "odd")
	f := newRequest("one", "")
	f.ServerID = "odd"
	r := g.receiver.Serve(context.Background(), f)
	is.Equal(r.Code, jaypitch.CodeMisdirected)
	is.Equal(r.LoadReport.Answering, "i-1")
	is.Equal(g.replica.Table().Services["x"].Servers[0].GetId(), "i-1")
	t.Run("the entry doesn't set the slots any more", func(t *testing.T) {
		is := is.New(t)
		is.Equal(g.receiver.Serve(context.Background(), newRequest("two", "")).Execution, jaypitch.Executed)
		g.receiver.Serve(context.Background(), f)
		_, _, slots := g.receiver.Counts()
		is.Equal(slots, 3)
	})
	t.Run("another server at the address is recorded by its response", func(t *testing.T) {
		is := is.New(t)
		g.server.SetID("odd")
		is.Equal(g.receiver.Serve(context.Background(), f).LoadReport.Answering, "odd")
	})
}
