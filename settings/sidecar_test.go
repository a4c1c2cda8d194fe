package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestSidecarBoundsAndRegions guards against a sidecar that starts with bounds or regions which it can't keep.
func TestSidecarBoundsAndRegions(t *testing.T) {
	const head = "[sidecar]\nhost = h\ndata_centre = d\nservice = s\nbackend = 127.0.0.1:1\n"
	const rest = "[listen]\ncallers = 127.0.0.1:2\npeers = 127.0.0.1:3\nready = 127.0.0.1:4\nmetrics = 127.0.0.1:5\n[store]\naddress = 127.0.0.1:6\n"
	for name, c := range map[string]struct{ sidecar, bounds, problem string }{
		"none of them":           {"", "", ""},
		"today's":                {"region = a\nregions = d:a, e:b\n", "[cold]\noverage = 1.5\nslack = 8\n", ""},
		"an overage below 1":     {"", "[cold]\noverage = 0.5\n", "overage"},
		"an overage without end": {"", "[cold]\noverage = inf\n", "overage"},
		"a slack below 0":        {"", "[cold]\nslack = -1\n", "slack"},
		"a slack in words":       {"", "[cold]\nslack = some\n", "slack"},
		"a region without name":  {"regions = d:\n", "", "regions"},
		"a region alone":         {"regions = a\n", "", "regions"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, problems := ParseSidecar("f", []byte(head+c.sidecar+rest+c.bounds))
			if c.problem == "" {
				is.Equal(len(problems), 0)
				return
			}
			is.Equal(len(problems), 1)
			is.True(strings.Contains(problems.Error(), c.problem))
		})
	}
}
