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

// meshDemo takes sidecars as processes through a stand-in of the users' platform.
type meshDemo struct {
	*scenario.Mesh
	failures []string
}

const (
	meshHosts = 4
	meshSlots = 8
	meshPoll  = 20 * time.Millisecond
)

// runMesh takes the mesh through all steps and returns what failed.
func runMesh(daemon string) []string {
	fmt.Printf("\n== sidecars on a stand-in of the users' platform ==\n")
	dir, err := os.MkdirTemp("", "jaypitch-mesh-")
	if err != nil {
		return []string{err.Error()}
	}
	defer os.RemoveAll(dir)
	mesh, err := scenario.NewMesh(daemon, dir, 0, "/one/")
	if err != nil {
		return []string{err.Error()}
	}
	m := &meshDemo{Mesh: mesh}
	defer m.Close()
	for i := range meshHosts {
		if err := m.AddHost(meshSlots, time.Millisecond); err != nil {
			return []string{err.Error()}
		}
		m.List(i, meshSlots)
	}
	m.step("every sidecar is ready", func() bool { return m.All("ready", platform.ReadyPath, http.StatusOK) })
	m.step("every sidecar serves a rule", func() bool { return m.All("callers", "/one/a", http.StatusOK) })
	m.Store.PutConfig(2, scenario.MeshDomain, scenario.MeshService, "/two/")
	m.step("a new rule is in force everywhere, and the old one is gone", func() bool {
		return m.All("callers", "/two/a", http.StatusOK) && m.All("callers", "/one/a", http.StatusNotFound)
	})
	m.Store.SetFault(standin.StoreFault{Status: http.StatusServiceUnavailable})
	m.step("requests are served while the store is down", func() bool { return m.All("callers", "/two/a", http.StatusOK) })
	m.Store.SetFault(standin.StoreFault{})
	stopped := m.Stop(0)
	m.step("a sidecar stops, and the others serve", func() bool {
		return stopped == nil && m.Get(1, "callers", "/two/a", "after-1", nil) == http.StatusOK && m.Get(2, "callers", "/two/a", "after-2", nil) == http.StatusOK
	})
	return m.failures
}

// step polls until a condition holds.
func (m *meshDemo) step(what string, holds func() bool) {
	started := time.Now()
	for time.Since(started) < readyLimit {
		if holds() {
			fmt.Printf("  ok    %s (%s)\n", what, time.Since(started).Round(time.Millisecond))
			return
		}
		time.Sleep(meshPoll)
	}
	fmt.Printf("  FAIL  %s\n", what)
	m.failures = append(m.failures, "sidecars: "+what)
}
