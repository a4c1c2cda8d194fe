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

// fakeForwarder returns the responses of a script in order, then repeats the last one. It counts the attempts that may have been executed.
type fakeForwarder struct {
	script     []jaypitch.MeshResponse
	attempts   int
	executions int
	servers    map[string]bool
	// forbiddenRetries counts attempts at a server that had one before and didn't refuse it as busy or failing.
	forbiddenRetries int
	bodies           []string
}

// testTime is the fixed time of the dispatchers' clocks.
var testTime = time.Now()

func (h *fakeForwarder) Forward(_ context.Context, _ string, f *jaypitch.MeshRequest) *jaypitch.MeshResponse {
	r := h.script[min(h.attempts, len(h.script)-1)]
	h.attempts++
	if h.servers[f.ServerID] {
		h.forbiddenRetries++
	}
	h.servers[f.ServerID] = r.Code != jaypitch.CodeBusy && r.Code != jaypitch.CodeFailing
	h.bodies = append(h.bodies, string(f.Body))
	if r.Execution != jaypitch.NotExecuted {
		h.executions++
	}
	r.LoadReport.Slots = 10
	return &r
}

func (h *fakeForwarder) Serve(ctx context.Context, f *jaypitch.MeshRequest) *jaypitch.MeshResponse {
	return h.Forward(ctx, "", f)
}

// outcomes are the possible results of an attempt, by name.
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

// dispatch makes the attempts of one request with a scripted forwarder and six servers. Slack is that of the retry budget;
// zero allows no retries.
func dispatch(h *fakeForwarder, idempotent bool, attempts int64, slack int64, options ...Option) *jaypitch.MeshResponse {
	s := mesh.NewReplica()
	rule := &schema.MeshRule{Name: "r", Host: "h", Prefix: "/", Idempotent: idempotent, Attempts: attempts, TargetUs: 500_000, TimeoutUs: 1_000_000,
		Parts: []*schema.MeshPart{{Service: "x", Weight: 1}}}
	u := jaypitch.MeshUpdate{Revision: 1, Config: &schema.MeshConfig{Version: 1, Rules: []*schema.MeshRule{rule}}}
	for i := range 6 {
		u.Servers = append(u.Servers, &schema.MeshServer{Id: fmt.Sprintf("i-%d", i), Service: "x", Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: 10, Revision: 1})
	}
	s.Merge(u, testTime)
	d := NewDispatcher("10.0.0.0:1", func(server string) string { return server }, s, h, h, route.NewMeshPicker("here", func() float64 { return 0 }),
		route.NewMeshRetryBudget(0, slack, 10*time.Second), func() time.Time { return testTime }, func(*jaypitch.MeshRequest, *jaypitch.MeshResponse, int) {}, options...)
	f := &jaypitch.MeshRequest{ID: "one", Body: []byte("body"), Rule: "r", Idempotent: idempotent, Deadline: testTime.Add(time.Second), TargetDeadline: testTime.Add(time.Second / 2)}
	return d.Do(context.Background(), f, s.Table().Match("h", "/"), "x")
}

// TestEveryPairOfOutcomes tests every outcome of the first attempt with every outcome of the further ones. It guards against a response
// that says "not executed" after an attempt that may have been executed, and against more executions than the rule allows.
func TestEveryPairOfOutcomes(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		for n1, first := range outcomes {
			for n2, second := range outcomes {
				t.Run(fmt.Sprintf("%t/%s then %s", idempotent, n1, n2), func(t *testing.T) {
					is := is.New(t)
					h := &fakeForwarder{script: []jaypitch.MeshResponse{first, second}, servers: map[string]bool{}}
					r := dispatch(h, idempotent, 2, 1000)
					if r.Execution == jaypitch.NotExecuted {
						is.Equal(h.executions, 0)
						is.True(r.RetryAfter > 0)
					}
					if !idempotent {
						is.True(h.executions <= 1)
					}
					is.True(h.executions <= 2)
					is.True(h.attempts <= attemptLimit)
					is.Equal(h.forbiddenRetries, 0)
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
	lost := &fakeForwarder{script: []jaypitch.MeshResponse{outcomes["lost"]}, servers: map[string]bool{}}
	t.Run("no retry without budget", func(t *testing.T) {
		is := is.New(t)
		r := dispatch(lost, true, 5, 0)
		is.Equal(lost.attempts, 1)
		is.Equal(r.Execution, jaypitch.ExecutionUnknown)
	})
	t.Run("no retry beyond the attempts of the rule", func(t *testing.T) {
		is := is.New(t)
		h := &fakeForwarder{script: []jaypitch.MeshResponse{outcomes["lost"]}, servers: map[string]bool{}}
		dispatch(h, true, 3, 1000)
		is.Equal(h.attempts, 3)
	})
	t.Run("attempts that did not arrive use neither budget nor attempts", func(t *testing.T) {
		is := is.New(t)
		h := &fakeForwarder{script: []jaypitch.MeshResponse{outcomes["stopping"], outcomes["unreachable"], outcomes["ok"]}, servers: map[string]bool{}}
		r := dispatch(h, false, 1, 0)
		is.Equal(r.Status, http.StatusOK)
	})
	t.Run("a server error is returned if no further attempt has a better response", func(t *testing.T) {
		is := is.New(t)
		h := &fakeForwarder{script: []jaypitch.MeshResponse{outcomes["failed"], outcomes["shed"]}, servers: map[string]bool{}}
		is.Equal(dispatch(h, true, 2, 1000).Status, http.StatusInternalServerError)
	})
}

// TestNoAttemptPastEnd guards against attempts of a stopping process that it can't wait for: they would be cut at its end.
func TestNoAttemptPastEnd(t *testing.T) {
	deadline := testTime.Add(time.Second)
	for name, c := range map[string]struct {
		// endsAt is when the process ends, known after the attempts in progress.
		endsAt     time.Time
		inProgress int
		first      string
		attempts   int
		execution  jaypitch.Execution
	}{
		"of a request that arrives":                  {deadline, 0, "ok", 0, jaypitch.NotExecuted},
		"of one that is answered just before":        {deadline.Add(responseGrace), 0, "ok", 1, jaypitch.Executed},
		"after one that was refused":                 {deadline, 1, "stopping", 1, jaypitch.NotExecuted},
		"after one that may have been executed":      {deadline, 1, "lost", 1, jaypitch.ExecutionUnknown},
		"after one that was refused, just before":    {deadline.Add(responseGrace), 1, "stopping", 2, jaypitch.Executed},
		"after one that was refused, without a stop": {time.Time{}, 0, "stopping", 2, jaypitch.Executed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &fakeForwarder{script: []jaypitch.MeshResponse{outcomes[c.first], outcomes["ok"]}, servers: map[string]bool{}}
			r := dispatch(h, true, 2, 1000, WithEnd(func() time.Time {
				if h.attempts < c.inProgress {
					return time.Time{}
				}
				return c.endsAt
			}))
			is.Equal(h.attempts, c.attempts)
			is.Equal(r.Execution, c.execution)
			is.Equal(r.Execution == jaypitch.NotExecuted, r.RetryAfter > 0)
		})
	}
}
