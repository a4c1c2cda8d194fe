package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestEntryOfAnotherWriterAtAnAddress guards against a complete entry of another writer that takes a server out of use at all sidecars for as long as
// it stays, and against sidecars that don't learn from the server's answer.
func TestEntryOfAnotherWriterAtAnAddress(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 15, 2)
	address := m.hosts[0].server.Address()
	m.registerServer(1, "draining")
	m.store.PutServer("odd", address, "x", "ready", 4)
	m.eventually("both sidecars list the entry and use one server", func() bool {
		for _, h := range m.hosts {
			table := h.sidecar.replica.Table()
			if table.Servers["odd"] == nil || !table.Servers["i-1"].GetDraining() {
				return false
			}
		}
		return true
	})
	for i, h := range m.hosts {
		// The rule allows a second attempt, so one request is enough to learn.
		status, _ := m.get(i, portCallers, "/one/a", fmt.Sprintf("first-%d", i))
		is.Equal(status, http.StatusOK)
		is.Equal(h.sidecar.replica.Table().Answering(address), "i-0")
	}
	_, text := m.get(1, portMetrics, "/", "")
	is.True(strings.Contains(text, "jaypitch_sidecar_addresses_contested 1"))
	is.True(strings.Contains(text, "jaypitch_sidecar_addresses_answered 1"))
	before := len(m.hosts[0].server.RequestHeaders())
	for i := range 20 {
		status, _ := m.get(i%2, portCallers, "/one/a", fmt.Sprintf("id-%d", i))
		is.Equal(status, http.StatusOK)
	}
	is.Equal(len(m.hosts[0].server.RequestHeaders())-before, 20) // none is refused as misdirected
}
