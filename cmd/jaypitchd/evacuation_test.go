package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/platform"
	"github.com/jaypitch/jaypitch/scenario"
)

// TestEvacuationDuringPause evacuates a data centre while one of its sidecars, and then a sender elsewhere, is stopped with SIGSTOP. Requests that
// arrive at the stopped one wait in its sockets. It guards against a process that resumes and sends them to a server there before it has heard of the
// evacuation.
func TestEvacuationDuringPause(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	sidecarProgram := filepath.Join(dir, "jaypitchd")
	if out, err := exec.Command("go", "build", "-o", sidecarProgram, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	m, err := scenario.NewMesh(sidecarProgram, dir, 21, "/one/")
	is.NoErr(err)
	t.Cleanup(m.Close)
	for i := range 4 {
		is.NoErr(m.AddHost(8, 0))
		m.RegisterServerIn(i, 8, []string{"east", "west"}[i%2])
	}
	eventually(t, "every sidecar is ready", func() bool { return m.AllRespond("ready", platform.ReadyPath, http.StatusOK) })
	eventually(t, "every sidecar serves the rule", func() bool { return m.AllRespond("callers", "/one/a", http.StatusOK) })
	executionsInEast := func() int {
		_, first := m.Hosts[0].Server.Executions("")
		_, second := m.Hosts[2].Server.Executions("")
		return first + second
	}
	evacuated := func(want int, hosts ...int) func() bool {
		return func() bool {
			for _, i := range hosts {
				if evidenceHosts(m, i, "east") != want {
					return false
				}
			}
			return true
		}
	}
	is.NoErr(m.Pause(0))
	is.NoErr(m.Pause(1))
	m.Store.Evacuate("east")
	// The requests that wait at the paused sidecars are sent after the evacuation.
	eventually(t, "the other sidecars know of the evacuation", evacuated(2, 2, 3))
	before := executionsInEast()
	done := make(chan int, 20)
	for i := range cap(done) {
		go func() { done <- m.Get(i%2, "callers", "/one/a", fmt.Sprintf("paused-%d", i), nil) }()
	}
	// The pause has to be longer than that of a process without processor time.
	time.Sleep(2 * time.Second)
	is.NoErr(m.Resume(0))
	is.NoErr(m.Resume(1))
	for range cap(done) {
		status := <-done
		is.True(status == http.StatusOK || status == http.StatusServiceUnavailable)
	}
	eventually(t, "all sidecars know of the evacuation", evacuated(4, 0, 1, 2, 3))
	eventually(t, "clients of every host are served by servers elsewhere", func() bool { return m.AllRespond("callers", "/one/a", http.StatusOK) })
	is.Equal(executionsInEast(), before)
	m.Store.EndEvacuation("east")
	eventually(t, "the data centre is in use again", func() bool {
		return m.AllRespond("callers", "/one/a", http.StatusOK) && executionsInEast() > before
	})
}

// evidenceHosts returns how many hosts report that a data centre is evacuated and without requests, by the evidence that a host's sidecar collects.
func evidenceHosts(m *scenario.Mesh, i int, dataCentre string) int {
	var r evidence.Report
	if json.Unmarshal(m.GetBody(i, "metrics", "/evidence?timeout=1s&data_centre="+dataCentre), &r) != nil {
		return -1
	}
	n := 0
	for _, g := range r.Groups {
		if !g.Enforced && g.Confirmed {
			n += g.Hosts
		}
	}
	return n
}
