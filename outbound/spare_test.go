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

// timedReply is a reply that comes after a while, unless the hand-over is given up before.
type timedReply struct {
	reply jaypitch.MeshResponse
	after time.Duration
}

// timedHop answers the first hand-over and the second, and notes which were given up for another's answer.
type timedHop struct {
	replies []timedReply

	mu      sync.Mutex
	passes  int
	servers []string
	stopped []bool
}

func (h *timedHop) Forward(ctx context.Context, _ string, f *jaypitch.MeshRequest) *jaypitch.MeshResponse {
	h.mu.Lock()
	n := h.passes
	h.passes++
	h.servers = append(h.servers, f.ServerID)
	h.stopped = append(h.stopped, false)
	h.mu.Unlock()
	select {
	case <-time.After(h.replies[n].after):
		r := h.replies[n].reply
		r.LoadReport.Slots = 10
		return &r
	case <-ctx.Done():
		h.mu.Lock()
		defer h.mu.Unlock()
		h.stopped[n] = true
		return jaypitch.ExecutionUnknownResponse(jaypitch.CodeCallerGone, "given up")
	}
}

// TestASilentSidecar hands a request to a sidecar that is then taken for dead: the request goes to another one as well, and the
// first is only given up for an answer.
func TestASilentSidecar(t *testing.T) {
	const died = 100 * time.Millisecond
	ok, failed, refused := outcomes["ok"], outcomes["failed"], outcomes["overloaded"]
	never := time.Hour
	for name, c := range map[string]struct {
		first, second timedReply
		idempotent    bool
		attempts      int64
		slack         int64
		status        int
		passes        int
		took          time.Duration
		firstStopped  bool
	}{
		"the second answers":                      {timedReply{ok, never}, timedReply{ok, died}, true, 2, 1000, http.StatusOK, 2, 2 * died, true},
		"the first answers after all":             {timedReply{ok, 2 * died}, timedReply{ok, never}, true, 2, 1000, http.StatusOK, 2, 2 * died, false},
		"the second is refused":                   {timedReply{ok, 5 * died}, timedReply{refused, died}, true, 2, 1000, http.StatusOK, 2, 5 * died, false},
		"the second fails":                        {timedReply{ok, 5 * died}, timedReply{failed, died}, true, 2, 1000, http.StatusOK, 2, 5 * died, false},
		"nothing left in the budget":              {timedReply{ok, 5 * died}, timedReply{ok, 0}, true, 2, 0, http.StatusOK, 1, 5 * died, false},
		"no attempt left":                         {timedReply{ok, 5 * died}, timedReply{ok, 0}, true, 1, 1000, http.StatusOK, 1, 5 * died, false},
		"one that may not run twice goes nowhere": {timedReply{ok, 5 * died}, timedReply{ok, 0}, false, 2, 1000, http.StatusOK, 1, 5 * died, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := &timedHop{replies: []timedReply{c.first, c.second}}
				s := twoServers(c.idempotent, c.attempts)
				d := NewDispatcher("10.0.0.9:1", func(server string) string { return server }, s, h, nil, route.NewMeshPicker("here", func() float64 { return 0 }),
					route.NewMeshRetryBudget(0, c.slack, 10*time.Second), time.Now, func(*jaypitch.MeshRequest, *jaypitch.MeshResponse, int) {})
				began := time.Now()
				f := &jaypitch.MeshRequest{ID: "one", Idempotent: c.idempotent, Deadline: began.Add(10 * time.Second), TargetDeadline: began.Add(time.Second)}
				done := make(chan *jaypitch.MeshResponse)
				go func() { done <- d.Do(context.Background(), f, s.Table().Match("h", "/"), "x") }()
				time.Sleep(died)
				h.mu.Lock()
				first := h.servers[0]
				h.mu.Unlock()
				is.True(d.RecordProbe(first, false))
				r := <-done
				h.mu.Lock()
				defer h.mu.Unlock()
				is.Equal(r.Status, c.status)
				is.Equal(h.passes, c.passes)
				is.Equal(time.Since(began), c.took)
				is.Equal(h.stopped[0], c.firstStopped)
				if c.passes == 2 {
					is.True(h.servers[0] != h.servers[1])
				}
			})
		})
	}
}

// twoServers makes the state of a mesh with one rule and two servers of its service.
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
