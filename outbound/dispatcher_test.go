package outbound

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/route"
	"github.com/jaypitch/jaypitch/schema"
)

// fakeHop answers each hand-over from a script, then with the last of it, and counts what would have run.
type fakeHop struct {
	script  []jaypitch.MeshResponse
	passes  int
	runs    int
	servers map[string]bool
	// again counts hand-overs to a server that had one before and did not say that it was only busy or failing.
	again  int
	bodies []string
}

var clock = time.Now()

func (h *fakeHop) Forward(_ context.Context, _ string, f *jaypitch.MeshRequest) *jaypitch.MeshResponse {
	r := h.script[min(h.passes, len(h.script)-1)]
	h.passes++
	if h.servers[f.ServerID] {
		h.again++
	}
	h.servers[f.ServerID] = r.Code != jaypitch.CodeBusy && r.Code != jaypitch.CodeFailing
	h.bodies = append(h.bodies, string(f.Body))
	if r.Execution != jaypitch.NotExecuted {
		h.runs++
	}
	r.LoadReport.Slots = 10
	return &r
}

func (h *fakeHop) Serve(ctx context.Context, f *jaypitch.MeshRequest) *jaypitch.MeshResponse {
	return h.Forward(ctx, "", f)
}

// outcomes are all that may become of a hand-over.
var outcomes = map[string]jaypitch.MeshResponse{
	"ok":          {Execution: jaypitch.Executed, Status: http.StatusOK, Arrived: true},
	"failed":      {Execution: jaypitch.Executed, Status: http.StatusInternalServerError, Arrived: true},
	"busy":        {Execution: jaypitch.NotExecuted, Code: jaypitch.CodeBusy},
	"failing":     {Execution: jaypitch.NotExecuted, Code: jaypitch.CodeFailing},
	"overloaded":  {Execution: jaypitch.NotExecuted, Code: jaypitch.CodeOverloaded, RetryAfter: 30 * time.Millisecond},
	"stopping":    {Execution: jaypitch.NotExecuted, Code: jaypitch.CodeStopping},
	"unreachable": {Execution: jaypitch.NotExecuted, Code: jaypitch.CodeUnreachable},
	"shed":        {Execution: jaypitch.NotExecuted, Code: jaypitch.CodeShed, Arrived: true},
	"misdirected": {Execution: jaypitch.NotExecuted, Code: jaypitch.CodeMisdirected, Arrived: true},
	"lost":        {Execution: jaypitch.ExecutionUnknown, Code: jaypitch.CodeUnknown, Arrived: true},
	"spoiled":     {Execution: jaypitch.ExecutionUnknown, Code: jaypitch.CodeSpoiled, Arrived: true},
}

// dispatch makes the attempts of one request against a script, at six servers and with room in the budget.
func dispatch(h *fakeHop, idempotent bool, attempts int64, slack int64) *jaypitch.MeshResponse {
	s := mesh.NewReplica()
	rule := &schema.MeshRule{Name: "r", Host: "h", Prefix: "/", Idempotent: idempotent, Attempts: attempts, TargetUs: 500_000, TimeoutUs: 1_000_000,
		Parts: []*schema.MeshPart{{Service: "x", Weight: 1}}}
	u := jaypitch.MeshUpdate{Revision: 1, Config: &schema.MeshConfig{Version: 1, Rules: []*schema.MeshRule{rule}}}
	for i := range 6 {
		u.Servers = append(u.Servers, &schema.MeshServer{Id: fmt.Sprintf("i-%d", i), Service: "x", Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: 10, Revision: 1})
	}
	s.Merge(u, clock)
	d := NewDispatcher("10.0.0.0:1", func(server string) string { return server }, s, h, h, route.NewMeshPicker("here", func() float64 { return 0 }),
		route.NewMeshRetryBudget(0, slack, 10*time.Second), func() time.Time { return clock }, func(*jaypitch.MeshRequest, *jaypitch.MeshResponse, int) {})
	f := &jaypitch.MeshRequest{ID: "one", Body: []byte("body"), Rule: "r", Idempotent: idempotent, Deadline: clock.Add(time.Second), TargetDeadline: clock.Add(time.Second / 2)}
	return d.Do(context.Background(), f, s.Table().Match("h", "/"), "x")
}

// TestPromises tries every pair of outcomes: what is told must be true, and nothing runs more often than allowed.
func TestPromises(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		for n1, first := range outcomes {
			for n2, second := range outcomes {
				t.Run(fmt.Sprintf("%t/%s then %s", idempotent, n1, n2), func(t *testing.T) {
					is := is.New(t)
					h := &fakeHop{script: []jaypitch.MeshResponse{first, second}, servers: map[string]bool{}}
					r := dispatch(h, idempotent, 2, 1000)
					if r.Execution == jaypitch.NotExecuted {
						is.Equal(h.runs, 0)
						is.True(r.RetryAfter > 0)
					}
					if !idempotent {
						is.True(h.runs <= 1)
					}
					is.True(h.runs <= 2)
					is.True(h.passes <= maxPasses)
					is.Equal(h.again, 0)
					for _, b := range h.bodies {
						is.Equal(b, "body")
					}
					if n1 == "ok" || idempotent && n2 == "ok" && n1 != "ok" {
						is.Equal(r.Status, http.StatusOK)
					}
				})
			}
		}
	}
}

func TestBudgetAndAttempts(t *testing.T) {
	lost := &fakeHop{script: []jaypitch.MeshResponse{outcomes["lost"]}, servers: map[string]bool{}}
	t.Run("no arrival beyond the budget", func(t *testing.T) {
		is := is.New(t)
		r := dispatch(lost, true, 5, 0)
		is.Equal(lost.passes, 1)
		is.Equal(r.Execution, jaypitch.ExecutionUnknown)
	})
	t.Run("no arrival beyond the attempts", func(t *testing.T) {
		is := is.New(t)
		h := &fakeHop{script: []jaypitch.MeshResponse{outcomes["lost"]}, servers: map[string]bool{}}
		dispatch(h, true, 3, 1000)
		is.Equal(h.passes, 3)
	})
	t.Run("what did not arrive costs neither", func(t *testing.T) {
		is := is.New(t)
		h := &fakeHop{script: []jaypitch.MeshResponse{outcomes["stopping"], outcomes["unreachable"], outcomes["ok"]}, servers: map[string]bool{}}
		r := dispatch(h, false, 1, 0)
		is.Equal(r.Status, http.StatusOK)
	})
	t.Run("the failure of a server is given back if no further attempt does better", func(t *testing.T) {
		is := is.New(t)
		h := &fakeHop{script: []jaypitch.MeshResponse{outcomes["failed"], outcomes["shed"]}, servers: map[string]bool{}}
		is.Equal(dispatch(h, true, 2, 1000).Status, http.StatusInternalServerError)
	})
}
