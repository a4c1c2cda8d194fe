package main

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch/scenario"
)

// load sends requests to the sidecars of a mesh until it is stopped.
type load struct {
	mesh *scenario.Mesh
	stop chan struct{}
	wg   sync.WaitGroup
}

// run sends one request after the other to a host's sidecar. A refused client comes back after a short time.
func (l *load) run(host, client int) {
	defer l.wg.Done()
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		if l.mesh.Get(host, "callers", "/one/a", fmt.Sprintf("load-%d-%d", client, n), nil) != http.StatusOK {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// TestServersRestartUnderLoad ends both servers of a mesh under load, with or without their sidecars, and starts them again, cold, with new IDs.
// It guards against sidecars that send a cold server more than it sustains, and against ones that go on pacing it when it is warm. The bound
// leaves room for a slow machine: the pace is 14 in a second.
func TestServersRestartUnderLoad(t *testing.T) {
	t.Run("servers", func(t *testing.T) { testRestartUnderLoad(t, 22, false) })
	t.Run("hosts", func(t *testing.T) { testRestartUnderLoad(t, 23, true) })
}

func testRestartUnderLoad(t *testing.T, network int, sidecarsToo bool) {
	is := is.New(t)
	const allowed, cold, slots = 26, 2 * time.Second, 8
	m := newMesh(t, network, slots, 10*time.Millisecond, "[cold]\noverage = 1.5\nslack = 8\n")
	for i := range m.Hosts {
		m.Hosts[i].Server.ServeHealth("/health", 0)
		m.RegisterServerIn(i, slots, "east")
	}
	m.Store.PutColdConfig(2, scenario.MeshDomain, scenario.MeshService, "/one/", "/health", cold, 12)
	l := &load{mesh: m, stop: make(chan struct{})}
	for i := range 8 {
		l.wg.Add(1)
		go l.run(i%2, i)
	}
	defer l.wg.Wait()
	defer close(l.stop)
	busy := func() bool {
		for _, h := range m.Hosts {
			if h.Server.MostInSecond(time.Now().Add(-time.Second), time.Now()) <= allowed {
				return false
			}
		}
		return true
	}
	eventually(t, "both servers get more than a cold one sustains", busy)
	for i, h := range m.Hosts {
		h.Server.Crash()
		if sidecarsToo {
			is.NoErr(m.Kill(i))
		}
	}
	started := time.Now()
	for i := range m.Hosts {
		is.NoErr(m.RestartServer(i, slots, 20*time.Millisecond))
		m.Hosts[i].Server.ServeHealth("/health", cold)
		m.RegisterServerIn(i, slots, "east")
		if sidecarsToo {
			is.NoErr(m.StartSidecar(i))
		}
	}
	eventually(t, "both servers serve again", func() bool { return m.AllRespond("callers", "/one/a", http.StatusOK) })
	eventually(t, "the servers are warm", func() bool { return time.Since(started) > cold })
	for _, h := range m.Hosts {
		is.True(h.Server.MostInSecond(started, started.Add(cold)) <= allowed)
		h.Server.ServeHealth("/health", 0)
	}
	eventually(t, "both servers get more than a cold one sustains again", busy)
}
