package sidecar

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch/memory"
)

// TestStatus guards against a sidecar that doesn't show what it holds, and which data centres are evacuated.
func TestStatus(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 20, 2)
	read := func() *Status {
		status, text := m.get(0, portMetrics, "/status", "")
		is.Equal(status, http.StatusOK)
		var r StatusReport
		is.NoErr(json.Unmarshal([]byte(text), &r))
		return r.Sidecar
	}
	s := read()
	is.True(s.Ready)
	is.Equal(s.Version, int64(1))
	is.Equal(s.Slots, 4)
	is.Equal(len(s.Evacuations), 0)
	is.Equal(len(s.Memory), len(memory.Holders()))
	is.True(s.MemoryBudget > 0)
	held := int64(0)
	for _, h := range s.Memory {
		held += h.HeldBytes
	}
	is.True(held > 0) // the connection of this request
	m.store.Evacuate("z")
	m.eventually("the evacuation is shown", func() bool { e := read().Evacuations; return len(e) == 1 && e[0].DataCentre == "z" })
}
