package outbound

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/route"
	"github.com/jaypitch/jaypitch/schema"
)

// contestedForwarder is the sidecar beside server own, whose address an odd entry names too.
type contestedForwarder struct {
	servers []string
	// reports is false for a sidecar of an older build.
	reports bool
}

func (h *contestedForwarder) Forward(_ context.Context, _ string, f *jaypitch.MeshRequest) *jaypitch.MeshResponse {
	h.servers = append(h.servers, f.ServerID)
	r := outcomes["ok"]
	if f.ServerID != "own" {
		r = outcomes["misdirected"]
	}
	r.LoadReport.Slots = 4
	if h.reports {
		r.LoadReport.Answering = "own"
	}
	return &r
}

// TestContestedAddress guards against requests that are sent to an odd entry again and again, although the load report of the first refusal tells
// which server is at the address.
func TestContestedAddress(t *testing.T) {
	is := is.New(t)
	s := mesh.NewReplica()
	s.Merge(jaypitch.MeshUpdate{Revision: 9, Config: &schema.MeshConfig{Version: 1, Rules: []*schema.MeshRule{{Name: "r", Host: "h", Prefix: "/", Attempts: 1, TimeoutUs: 1_000_000}}},
		Servers: []*schema.MeshServer{{Id: "own", Service: "x", Address: "10.0.0.1:1", Slots: 4, Revision: 1}, {Id: "odd", Service: "x", Address: "10.0.0.1:1", Slots: 4, Revision: 9}}}, testTime)
	h := &contestedForwarder{reports: true}
	d := NewDispatcher("10.0.0.9:1", func(server string) string { return server }, s, h, nil, route.NewMeshPicker("here", func() float64 { return 0 }),
		route.NewMeshRetryBudget(0, 1000, time.Second), func() time.Time { return testTime }, func(*jaypitch.MeshRequest, *jaypitch.MeshResponse, int) {})
	send := func() *jaypitch.MeshResponse {
		return d.Do(context.Background(), &jaypitch.MeshRequest{ID: "one", Rule: "r", Deadline: testTime.Add(time.Second)}, s.Table().Match("h", "/"), "x")
	}
	is.Equal(send().Execution, jaypitch.NotExecuted)
	for range 3 {
		is.Equal(send().Execution, jaypitch.Executed)
	}
	is.Equal(h.servers, []string{"odd", "own", "own", "own"})
}
