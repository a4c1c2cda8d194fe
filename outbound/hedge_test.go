package outbound

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/route"
	"github.com/jaypitch/jaypitch/schema"
)

// timedResponse is a response that is returned after a delay, unless the attempt is canceled before.
type timedResponse struct {
	response jaypitch.MeshResponse
	after    time.Duration
}

// timedForwarder responds to the first attempt and the second, and records which were canceled.
type timedForwarder struct {
	responses []timedResponse

	mu       sync.Mutex
	attempts int
	servers  []string
	canceled []bool
}

func (h *timedForwarder) Forward(ctx context.Context, _ string, f *jaypitch.MeshRequest) *jaypitch.MeshResponse {
	h.mu.Lock()
	n := h.attempts
	h.attempts++
	h.servers = append(h.servers, f.ServerID)
	h.canceled = append(h.canceled, false)
	h.mu.Unlock()
	select {
	case <-time.After(h.responses[n].after):
		r := h.responses[n].response
		r.LoadReport.Slots = 10
		return &r
	case <-ctx.Done():
		h.mu.Lock()
		defer h.mu.Unlock()
		h.canceled[n] = true
		return jaypitch.ExecutionUnknownResponse(jaypitch.CodeCallerGone, "the attempt was canceled")
	}
}

// TestHedge sends a request to a sidecar that becomes unreachable while the attempt is in progress. It guards against a request
// that waits for the unreachable sidecar alone, and against a first attempt that is canceled although the hedge has no successful response.
func TestHedge(t *testing.T) {
	// probeDelay is the time from the start of the request to the failed probe, and the unit of the other times.
	const probeDelay = 100 * time.Millisecond
	ok, failed, refused := outcomes["ok"], outcomes["failed"], outcomes["overloaded"]
	never := time.Hour
	for name, c := range map[string]struct {
		first, second timedResponse
		idempotent    bool
		attempts      int64
		slack         int64
		status        int
		sent          int
		took          time.Duration
		firstCanceled bool
	}{
		"the hedge succeeds":                           {timedResponse{ok, never}, timedResponse{ok, probeDelay}, true, 2, 1000, http.StatusOK, 2, 2 * probeDelay, true},
		"the first attempt succeeds":                   {timedResponse{ok, 2 * probeDelay}, timedResponse{ok, never}, true, 2, 1000, http.StatusOK, 2, 2 * probeDelay, false},
		"the hedge is refused":                         {timedResponse{ok, 5 * probeDelay}, timedResponse{refused, probeDelay}, true, 2, 1000, http.StatusOK, 2, 5 * probeDelay, false},
		"the hedge gets a server error":                {timedResponse{ok, 5 * probeDelay}, timedResponse{failed, probeDelay}, true, 2, 1000, http.StatusOK, 2, 5 * probeDelay, false},
		"no retry budget left":                         {timedResponse{ok, 5 * probeDelay}, timedResponse{ok, 0}, true, 2, 0, http.StatusOK, 1, 5 * probeDelay, false},
		"no attempt left":                              {timedResponse{ok, 5 * probeDelay}, timedResponse{ok, 0}, true, 1, 1000, http.StatusOK, 1, 5 * probeDelay, false},
		"no hedge of a request that is not idempotent": {timedResponse{ok, 5 * probeDelay}, timedResponse{ok, 0}, false, 2, 1000, http.StatusOK, 1, 5 * probeDelay, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := &timedForwarder{responses: []timedResponse{c.first, c.second}}
				s := twoServers(c.idempotent, c.attempts)
				d := NewDispatcher("10.0.0.9:1", func(server string) string { return server }, s, h, nil, route.NewMeshPicker("here", func() float64 { return 0 }),
					route.NewMeshRetryBudget(0, c.slack, 10*time.Second), time.Now, func(*jaypitch.MeshRequest, *jaypitch.MeshResponse, int) {})
				began := time.Now()
				f := &jaypitch.MeshRequest{ID: "one", Idempotent: c.idempotent, Deadline: began.Add(10 * time.Second), TargetDeadline: began.Add(time.Second)}
				done := make(chan *jaypitch.MeshResponse)
				go func() { done <- d.Do(context.Background(), f, s.Table().Match("h", "/"), "x") }()
				time.Sleep(probeDelay)
				h.mu.Lock()
				first := h.servers[0]
				h.mu.Unlock()
				is.True(d.RecordProbe(first, false))
				r := <-done
				h.mu.Lock()
				defer h.mu.Unlock()
				is.Equal(r.Status, c.status)
				is.Equal(h.attempts, c.sent)
				is.Equal(time.Since(began), c.took)
				is.Equal(h.canceled[0], c.firstCanceled)
				if c.sent == 2 {
					is.True(h.servers[0] != h.servers[1])
				}
			})
		})
	}
}

// TestHedgeOutcomes tests every outcome of a first attempt with every outcome of its hedge. It guards against a response that says "not executed"
// after a hedge that may have been executed or was, and against an attempt that counts twice.
func TestHedgeOutcomes(t *testing.T) {
	for n1, first := range outcomes {
		for n2, second := range outcomes {
			t.Run(n1+" and "+n2, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					// The first attempt ends after its hedge, which doesn't cancel it.
					h := &timedForwarder{responses: []timedResponse{{first, 3 * time.Second}, {second, time.Second}}}
					s := twoServers(true, 2)
					d := NewDispatcher("10.0.0.9:1", func(server string) string { return server }, s, h, nil, route.NewMeshPicker("here", func() float64 { return 0 }),
						route.NewMeshRetryBudget(0, 1000, 10*time.Second), time.Now, func(*jaypitch.MeshRequest, *jaypitch.MeshResponse, int) {})
					f := &jaypitch.MeshRequest{ID: "one", Idempotent: true, Deadline: time.Now().Add(20 * time.Second), TargetDeadline: time.Now().Add(time.Second)}
					a := &attempts{rule: s.Table().Match("h", "/"), service: "x"}
					pick := d.pick(a, f)
					done := make(chan *jaypitch.MeshResponse)
					go func() { done <- d.attempt(context.Background(), a, d.requestFor(a, f, pick), pick.Server) }()
					time.Sleep(time.Second)
					is.True(d.RecordProbe(pick.Server.GetId(), false))
					r := <-done
					for _, o := range []jaypitch.MeshResponse{first, second} {
						if o.Execution != jaypitch.NotExecuted {
							is.True(r.Execution != jaypitch.NotExecuted)
						}
						if o.Execution == jaypitch.Executed && (n2 != "ok" || o.Status == second.Status) {
							is.Equal(r.Execution, jaypitch.Executed)
						}
					}
					if succeeded(r) {
						return // no further attempt, so the counts don't matter
					}
					// shouldRetry counts the attempt whose response is returned.
					arrived := a.arrived
					if r.Arrived {
						arrived++
					}
					want := 0
					for _, o := range []jaypitch.MeshResponse{first, second} {
						if o.Arrived {
							want++
						}
					}
					is.Equal(arrived, want)
					is.Equal(a.sent, 2)
				})
			})
		}
	}
}

// twoServers returns the replica of a mesh with one rule and two servers of its service.
func twoServers(idempotent bool, attempts int64) *mesh.Replica {
	s := mesh.NewReplica()
	rule := &schema.MeshRule{Name: "r", Host: "h", Prefix: "/", Idempotent: idempotent, Attempts: attempts, TargetUs: 500_000, TimeoutUs: 10_000_000,
		Parts: []*schema.MeshPart{{Service: "x", Weight: 1}}}
	u := jaypitch.MeshUpdate{Revision: 1, Config: &schema.MeshConfig{Version: 1, Rules: []*schema.MeshRule{rule}}}
	for _, id := range []string{"i-0", "i-1"} {
		u.Servers = append(u.Servers, &schema.MeshServer{Id: id, Service: "x", Address: "10.0.0." + id[2:] + ":1", Slots: 10, Revision: 1})
	}
	s.Merge(u, time.Now())
	return s
}
