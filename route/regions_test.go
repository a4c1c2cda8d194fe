package route

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/schema"
)

// TestPickerLeavesRegions guards against a server outside of the rule's regions, however few there are inside, and against none being chosen though
// a large service has one.
func TestPickerLeavesRegions(t *testing.T) {
	is := is.New(t)
	s := &mesh.Service{Name: "x"}
	for i := range 3 * maxCandidates {
		s.Servers = append(s.Servers, &schema.MeshServer{Id: fmt.Sprintf("there-%d", i), DataCentre: "there", Slots: 10})
	}
	s.Servers = append(s.Servers, &schema.MeshServer{Id: "far", DataCentre: "far", Slots: 1})
	c := NewMeshPicker("there", func() float64 { return 0 }, WithRegions(mesh.NewRegions("a", "there", []string{"there:a", "far:b"})))
	q := pickRequest
	q.Regions = []string{"b"}
	for range 5 {
		p := c.Pick(s, q, start)
		is.Equal(p.Server.GetId(), "far")
		is.Equal(p.AlternativeTime.Seconds(), 0.0)
		c.Start(p.Server, start)
	}
	q.Excluded = []string{"far"}
	is.True(c.Pick(s, q, start).Server == nil)
	q.Excluded, q.Regions = nil, []string{"c"}
	is.True(c.Pick(s, q, start).Server == nil)
	q.Regions = nil
	is.True(c.Pick(s, q, start).Server.GetId() != "far")
}
