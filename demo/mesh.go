package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/jaypitch/jaypitch/platform"
	"github.com/jaypitch/jaypitch/scenario"
	"github.com/jaypitch/jaypitch/standin"
)

// meshDemo is the state of the demonstration of sidecars with a stand-in for the platform's store.
type meshDemo struct {
	*scenario.Mesh
	failures []string
}

const (
	meshHosts        = 4
	meshSlots        = 8
	meshPollInterval = 20 * time.Millisecond
)

// runMesh runs all steps on a mesh and returns the failures.
func runMesh(sidecarProgram string) []string {
	fmt.Printf("\n== sidecars with a stand-in for the platform's store ==\n")
	dir, err := os.MkdirTemp("", "jaypitch-mesh-")
	if err != nil {
		return []string{err.Error()}
	}
	defer os.RemoveAll(dir)
	mesh, err := scenario.NewMesh(sidecarProgram, dir, 0, "/one/")
	if err != nil {
		return []string{err.Error()}
	}
	m := &meshDemo{Mesh: mesh}
	defer m.Close()
	for i := range meshHosts {
		if err := m.AddHost(meshSlots, time.Millisecond); err != nil {
			return []string{err.Error()}
		}
		m.RegisterServer(i, meshSlots)
	}
	m.step("every sidecar is ready", func() bool { return m.AllRespond("ready", platform.ReadyPath, http.StatusOK) })
	m.step("every sidecar serves a rule", func() bool { return m.AllRespond("callers", "/one/a", http.StatusOK) })
	m.Store.PutConfig(2, scenario.MeshDomain, scenario.MeshService, "/two/")
	m.step("every sidecar serves the new rule, and no longer the old one", func() bool {
		return m.AllRespond("callers", "/two/a", http.StatusOK) && m.AllRespond("callers", "/one/a", http.StatusNotFound)
	})
	m.Store.SetFault(standin.StoreFault{Status: http.StatusServiceUnavailable})
	m.step("requests are served while the store is down", func() bool { return m.AllRespond("callers", "/two/a", http.StatusOK) })
	m.Store.SetFault(standin.StoreFault{})
	stopped := m.Stop(0)
	m.step("a sidecar stops, and the others continue to serve requests", func() bool {
		return stopped == nil && m.Get(1, "callers", "/two/a", "after-1", nil) == http.StatusOK && m.Get(2, "callers", "/two/a", "after-2", nil) == http.StatusOK
	})
	return m.failures
}

// step polls a condition until it is true, for at most readyLimit, and prints whether it became true.
func (m *meshDemo) step(what string, condition func() bool) {
	started := time.Now()
	for time.Since(started) < readyLimit {
		if condition() {
			fmt.Printf("  ok    %s (%s)\n", what, time.Since(started).Round(time.Millisecond))
			return
		}
		time.Sleep(meshPollInterval)
	}
	fmt.Printf("  FAIL  %s\n", what)
	m.failures = append(m.failures, "sidecars: "+what)
}
