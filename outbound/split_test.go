package outbound

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/route"
	"github.com/jaypitch/jaypitch/schema"
)

// splitReplica returns a replica with one rule, whose destinations have weights and one server each.
func splitReplica(weights ...int64) *mesh.Replica {
	rule := &schema.MeshRule{Name: "r", Host: "h", Prefix: "/", Attempts: 2, TargetUs: 500_000, TimeoutUs: 1_000_000}
	u := jaypitch.MeshUpdate{Revision: 1, Config: &schema.MeshConfig{Version: 1, Rules: []*schema.MeshRule{rule}}}
	for i, w := range weights {
		name := fmt.Sprintf("s%d", i)
		rule.Parts = append(rule.Parts, &schema.MeshPart{Service: name, Weight: w})
		u.Servers = append(u.Servers, &schema.MeshServer{Id: name, Service: name, Address: fmt.Sprintf("10.0.0.%d:1", i+1), Slots: 10, Revision: 1})
	}
	s := mesh.NewReplica()
	s.Merge(u, testTime)
	return s
}

// TestSplitOverManySidecars guards against sidecars whose sequences all begin at the same place, so that few requests at each get other shares
// than the weights.
func TestSplitOverManySidecars(t *testing.T) {
	const sidecars, requests, tolerance = 80, 300, 0.1
	for _, weights := range [][]int64{{1, 1}, {9, 1}, {1, 99}, {2, 3, 5}, {70, 20, 5, 5}} {
		t.Run(fmt.Sprint(weights), func(t *testing.T) {
			is := is.New(t)
			rule := splitReplica(weights...).Table().Match("h", "/")
			random := rand.New(rand.NewPCG(3, 4))
			for range 50 {
				handlers := make([]*Handler, sidecars)
				for i := range handlers {
					handlers[i] = &Handler{draws: map[string]float64{}, random: random.Float64}
				}
				counts := map[string]float64{}
				for range requests {
					counts[rule.Destination(handlers[random.IntN(sidecars)].draw("r"))]++
				}
				var sum int64
				for _, w := range weights {
					sum += w
				}
				for i, w := range weights {
					is.True(math.Abs(counts[fmt.Sprintf("s%d", i)]/requests-float64(w)/float64(sum)) <= tolerance)
				}
			}
		})
	}
}

// TestRefusedPartIsMoved guards against a request that goes to another destination of its rule since its own has no room.
func TestRefusedPartIsMoved(t *testing.T) {
	is := is.New(t)
	s := splitReplica(1, 1)
	h := &evacuatedForwarder{evacuated: map[byte]bool{}}
	full := &fakeForwarder{script: []jaypitch.MeshResponse{outcomes["overloaded"]}, servers: map[string]bool{}}
	d := NewDispatcher("", func(server string) string { return server }, s, full, h, route.NewMeshPicker("", func() float64 { return 0 }),
		route.NewMeshRetryBudget(0, 9, 10*time.Second), func() time.Time { return testTime }, func(*jaypitch.MeshRequest, *jaypitch.MeshResponse, int) {})
	r := d.Do(context.Background(), &jaypitch.MeshRequest{ID: "one", Rule: "r", Deadline: testTime.Add(time.Second)}, s.Table().Match("h", "/"), "s0")
	is.Equal(r.Code, jaypitch.CodeOverloaded)
	is.Equal(full.attempts, 1)
	is.Equal(len(full.servers), 1)
	is.True(full.servers["s0"])
}
