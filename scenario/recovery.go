package scenario

import (
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/jaypitch/jaypitch/standin"
)

// RegisterServerIn writes the entry of a host's backend server to the store, with its number of slots and its data centre.
func (m *Mesh) RegisterServerIn(i, slots int, dataCentre string) {
	m.Store.PutServerEntry(standin.ServerEntry{ID: m.Hosts[i].ServerID, Address: m.Hosts[i].Server.Address(), Service: MeshService, DataCentre: dataCentre, Slots: slots, Seq: 1})
}

// Pause stops a host's sidecar with SIGSTOP.
func (m *Mesh) Pause(i int) error {
	return m.Hosts[i].process.Process.Signal(syscall.SIGSTOP)
}

// Resume continues a host's sidecar that was paused.
func (m *Mesh) Resume(i int) error {
	return m.Hosts[i].process.Process.Signal(syscall.SIGCONT)
}

// GetBody sends a GET request to a listener of a host's sidecar and returns the body of the response; nil if there is none with status 200.
func (m *Mesh) GetBody(i int, listener, path string) []byte {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d%s", m.Hosts[i].IP, m.ports[listener], path))
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return nil
	}
	return body
}

// RestartServer ends the backend server of a host, if it still runs, and starts another one at its address with a new ID. The caller registers it.
func (m *Mesh) RestartServer(i, slots int, serviceTime time.Duration) error {
	h := m.Hosts[i]
	h.Server.Crash()
	h.ServerID += "x"
	server, err := standin.NewMeshServer(h.Server.Address(), h.ServerID, slots, serviceTime, m.serverOptions(i)...)
	if err != nil {
		return fmt.Errorf("starting a backend server: %w", err)
	}
	h.Server = server
	return nil
}
