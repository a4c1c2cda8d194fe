package sidecar

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/outbound"
)

// TestWhere guards against an explanation that names another rule or other servers than requests get, and against unclear errors.
func TestWhere(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 97, 2)
	status, text := m.get(0, portMetrics, "/where?host=h&path=/one/two", "")
	is.Equal(status, http.StatusOK)
	var r outbound.WhereReport
	is.NoErr(json.Unmarshal([]byte(text), &r))
	is.Equal(r.Prefix, "/one/")
	is.Equal(len(r.Destinations), 1)
	is.Equal(r.Destinations[0].Share, 1.0)
	is.Equal(len(r.Destinations[0].Candidates), 2)
	is.Equal(r.Destinations[0].Code, jaypitch.Code(0))
	status, _ = m.get(0, portMetrics, "/where?rule="+r.Rule, "")
	is.Equal(status, http.StatusOK)
	for query, want := range map[string]struct {
		status int
		code   jaypitch.Code
	}{"host=h&path=/none": {http.StatusNotFound, jaypitch.CodeNoRoute}, "rule=none": {http.StatusNotFound, jaypitch.CodeNoRoute}, "host=h": {http.StatusBadRequest, jaypitch.CodeUsage}} {
		status, text = m.get(0, portMetrics, "/where?"+query, "")
		is.Equal(status, want.status)
		var e errorResponse
		is.NoErr(json.Unmarshal([]byte(text), &e))
		is.Equal(e.Code, want.code)
	}
	m.registerServer(0, "draining")
	m.registerServer(1, "draining")
	m.eventually("a refusal is foretold", func() bool {
		_, text := m.get(0, portMetrics, "/where?rule="+r.Rule, "")
		var r outbound.WhereReport
		return json.Unmarshal([]byte(text), &r) == nil && r.Destinations[0].Code == jaypitch.CodeNoBackend && r.Destinations[0].RetryAfterMS > 0
	})
}
