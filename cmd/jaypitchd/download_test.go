package main

import (
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch/platform"
	"github.com/jaypitch/jaypitch/scenario"
	"github.com/jaypitch/jaypitch/standin"
)

// TestDownloadsOnFullLink sends more downloads at once than the link of the only server's host carries within their target. It guards against
// truncated downloads that look complete, against slots and places on the link that stay in use, and against a sidecar that is taken for dead because its
// link is full.
func TestDownloadsOnFullLink(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	sidecarProgram := filepath.Join(dir, "jaypitchd")
	if out, err := exec.Command("go", "build", "-o", sidecarProgram, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	m, err := scenario.NewMesh(sidecarProgram, dir, 7, "/one/")
	is.NoErr(err)
	t.Cleanup(m.Close)
	m.Store.PutDownloadConfig(2, scenario.MeshDomain, scenario.MeshService, "/one/")
	m.SidecarSettings = "link_mbps = 16"
	for range 2 {
		is.NoErr(m.AddHost(40, 0))
	}
	m.RegisterServer(1, 40)
	m.Hosts[1].Server.SetBehaviour(standin.Large)
	eventually(t, "every sidecar is ready", func() bool { return m.AllRespond("ready", platform.ReadyPath, http.StatusOK) })
	eventually(t, "every sidecar serves the rule", func() bool { return m.AllRespond("callers", "/one/a", http.StatusOK) })

	statuses := make([]int, 60)
	var wg sync.WaitGroup
	for i := range statuses {
		wg.Add(1)
		go func() {
			defer wg.Done()
			statuses[i] = m.Get(0, "callers", "/one/a", fmt.Sprintf("download-%d", i), nil)
		}()
	}
	wg.Wait()
	count := map[int]int{}
	for i, status := range statuses {
		count[status]++
		times, _ := m.Hosts[1].Server.Executions(fmt.Sprintf("download-%d", i))
		is.True(status != http.StatusOK || times > 0)
		is.True(status != http.StatusServiceUnavailable || times == 0)
	}
	t.Logf("statuses: %v", count)
	is.True(count[http.StatusOK] > 0)
	is.True(count[http.StatusServiceUnavailable] > 0)
	for i := range m.Hosts {
		eventually(t, "no slot and no place on the link is in use", func() bool {
			text := readMetrics(t, m, i)
			return strings.Contains(text, "slots_running 0") && strings.Contains(text, `link_transfers{direction="in"} 0`) && strings.Contains(text, `link_transfers{direction="out"} 0`)
		})
		is.True(!strings.Contains(m.Hosts[i].Output(), "taken for dead"))
	}
}

// readMetrics returns the metrics of a host's sidecar.
func readMetrics(t *testing.T, m *scenario.Mesh, i int) string {
	t.Helper()
	is := is.New(t)
	r, err := http.Get(m.URL(i, "metrics"))
	is.NoErr(err)
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	is.NoErr(err)
	return string(text)
}
