package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
)

// TestPlacement guards against requests that leave the data centre for an old report, and against picking the same or a failing server.
func TestPlacement(t *testing.T) {
	mean, executed := 50*time.Millisecond, jaypitch.MeshResponse{Execution: jaypitch.Executed, ServiceTime: 50 * time.Millisecond, Status: 200}
	report := func(inProgress int, failing float64) jaypitch.MeshLoadReport {
		return jaypitch.MeshLoadReport{InProgress: inProgress, Mean: mean, Failing: failing}
	}
	// Servers 0 to 3 are in the sidecar's data centre, 4 and 5 in another one.
	for name, c := range map[string]struct {
		reports  [6]jaypitch.MeshLoadReport
		farAge   time.Duration
		min, max [6]int
	}{
		"equal servers get equal shares": {[6]jaypitch.MeshLoadReport{}, 0, [6]int{190, 190, 190, 190}, [6]int{310, 310, 310, 310}},
		"a failing server gets none":     {[6]jaypitch.MeshLoadReport{1: report(0, 0.6)}, 0, [6]int{0: 250, 2: 250, 3: 250}, [6]int{0: 420, 2: 420, 3: 420}},
		"an old report of free servers elsewhere": {[6]jaypitch.MeshLoadReport{report(14, 0), report(14, 0), report(14, 0), report(14, 0)}, 1500 * time.Millisecond,
			[6]int{190, 190, 190, 190}, [6]int{310, 310, 310, 310}},
		"full here, free elsewhere": {[6]jaypitch.MeshLoadReport{report(40, 0), report(40, 0), report(40, 0), report(40, 0)}, 0, [6]int{4: 400, 5: 400}, [6]int{4: 600, 5: 600}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 2))
			picker, s := NewMeshPicker("here", random.Float64), meshService(4, 2)
			for i, v := range s.Servers {
				l := c.reports[i]
				l.Mean = mean
				at := start
				if i >= 4 {
					at = start.Add(-c.farAge)
				}
				finishRequest(picker, v, l, executed, at)
			}
			counts := map[string]int{}
			for range 1000 {
				counts[picker.Pick(s, pickRequest, start).Server.GetId()]++
			}
			for i, v := range s.Servers {
				n := counts[v.GetId()]
				is.True(n >= c.min[i]) // at least its share
				is.True(n <= c.max[i]) // at most its share
			}
		})
	}
}

// BenchmarkPick measures a choice among all servers of a large service.
func BenchmarkPick(b *testing.B) {
	picker, s := NewMeshPicker("here", rand.Float64), meshService(32, 32)
	executed := jaypitch.MeshResponse{Execution: jaypitch.Executed, ServiceTime: 50 * time.Millisecond, Status: 200}
	for _, v := range s.Servers {
		finishRequest(picker, v, jaypitch.MeshLoadReport{InProgress: 11, Mean: 50 * time.Millisecond}, executed, start)
	}
	for b.Loop() {
		picker.Pick(s, pickRequest, start)
	}
}
