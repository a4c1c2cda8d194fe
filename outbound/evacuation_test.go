package outbound

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/route"
	"github.com/jaypitch/jaypitch/schema"
)

// evacuatedForwarder is the receivers of servers whose IDs begin with their data centre. Those in evacuated ones refuse.
type evacuatedForwarder struct {
	evacuated map[byte]bool
	attempts  []string
}

func (h *evacuatedForwarder) Forward(_ context.Context, _ string, f *jaypitch.MeshRequest) *jaypitch.MeshResponse {
	h.attempts = append(h.attempts, f.ServerID)
	r := &jaypitch.MeshResponse{Execution: jaypitch.Executed, Status: 200, Arrived: true}
	if h.evacuated[f.ServerID[0]] {
		r = &jaypitch.MeshResponse{Execution: jaypitch.NotExecuted, Code: jaypitch.CodeEvacuated}
	}
	r.LoadReport.Slots = 10
	return r
}

func (h *evacuatedForwarder) Serve(ctx context.Context, f *jaypitch.MeshRequest) *jaypitch.MeshResponse {
	return h.Forward(ctx, "", f)
}

// TestEvacuatedDataCentreIsTried guards against a sender that goes on choosing servers in an evacuated data centre: one that knows of it, which
// has to make no attempt there, and one that doesn't yet, which has to make only one.
func TestEvacuatedDataCentreIsTried(t *testing.T) {
	for name, c := range map[string]struct {
		known, evacuated string
		code             jaypitch.Code
		attempts         int
	}{
		"known":                          {"a", "a", jaypitch.CodeOK, 1},
		"not known yet":                  {"", "a", jaypitch.CodeOK, 2},
		"all known":                      {"ab", "ab", jaypitch.CodeEvacuated, 0},
		"none known of two":              {"", "ab", jaypitch.CodeEvacuated, 2},
		"one of two known":               {"b", "ab", jaypitch.CodeEvacuated, 1},
		"a sender's own data centre (a)": {"a", "a", jaypitch.CodeOK, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &evacuatedForwarder{evacuated: map[byte]bool{}}
			for i := range len(c.evacuated) {
				h.evacuated[c.evacuated[i]] = true
			}
			s := mesh.NewReplica()
			rule := &schema.MeshRule{Name: "r", Host: "h", Prefix: "/", Attempts: 2, TargetUs: 500_000, TimeoutUs: 1_000_000, Parts: []*schema.MeshPart{{Service: "x", Weight: 1}}}
			u := jaypitch.MeshUpdate{Revision: 9, Config: &schema.MeshConfig{Version: 1, Rules: []*schema.MeshRule{rule}}}
			for i := range 12 {
				dataCentre := string("ab"[i%2])
				u.Servers = append(u.Servers, &schema.MeshServer{Id: fmt.Sprintf("%s-%d", dataCentre, i), Service: "x", Address: fmt.Sprintf("10.0.0.%d:1", i), DataCentre: dataCentre, Slots: 10, Revision: 1})
			}
			for i := range len(c.known) {
				u.Evacuations = append(u.Evacuations, &schema.MeshEvacuation{DataCentre: c.known[i : i+1], Revision: 2})
			}
			s.Merge(u, testTime)
			d := NewDispatcher("10.0.0.0:1", func(server string) string { return server }, s, h, h, route.NewMeshPicker("a", func() float64 { return 0 }),
				route.NewMeshRetryBudget(0, 0, 10*time.Second), func() time.Time { return testTime }, func(*jaypitch.MeshRequest, *jaypitch.MeshResponse, int) {})
			r := d.Do(context.Background(), &jaypitch.MeshRequest{ID: "one", Rule: "r", Deadline: testTime.Add(time.Second)}, s.Table().Match("h", "/"), "x")
			is.Equal(r.Code, c.code)
			is.Equal(len(h.attempts), c.attempts)
			if c.code != jaypitch.CodeOK {
				is.Equal(r.Execution, jaypitch.NotExecuted)
				is.True(r.RetryAfter > 0)
			}
		})
	}
}
