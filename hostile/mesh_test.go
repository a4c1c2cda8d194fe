package hostile

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch/platform"
	"github.com/jaypitch/jaypitch/scenario"
	"github.com/jaypitch/jaypitch/standin"
)

// watchedMesh is a mesh whose processes are checked against their bounds.
type watchedMesh struct {
	*scenario.Mesh
	memoryMB []int
	watches  []*descriptorWatch
}

// descriptorWatch samples the open descriptors of a process.
type descriptorWatch struct {
	pid  int
	peak atomic.Int64
	stop chan struct{}
	done chan struct{}
}

const (
	// memoryMB and maxFiles are the limits of a process under test. They are below those of the platform, so that a small load exceeds them.
	memoryMB = 64
	maxFiles = 400
	// memoryShare is the share of memory_mb that a process may hold at its peak.
	memoryShare = 0.8
	mebibyte    = 1 << 20
	slots       = 12
	rulePrefix  = "/one/"
	// firstNetwork is the network of the first mesh; those below are used by the tests of other packages, which run at the same time.
	firstNetwork   = 16
	sampleInterval = 10 * time.Millisecond
)

var (
	program     string
	nextNetwork atomic.Int64
)

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "hostile")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "jaypitchd")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/jaypitchd").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v: %s", err, out)
		return 1
	}
	return m.Run()
}

// newMesh starts one host for each amount of memory. Only the server of the first host is listed, so it gets all requests.
func newMesh(t *testing.T, serviceTime time.Duration, memory ...int) *watchedMesh {
	t.Helper()
	m, err := scenario.NewMesh(program, t.TempDir(), firstNetwork+int(nextNetwork.Add(1)), rulePrefix)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	// The limits are those of the platform's configuration.
	m.Store.SetClientLimits(standin.ClientLimits{HeadBytes: 16384, BodyBytes: 67108864, HeadS: 3, IdleS: 15})
	m.Store.PutConfig(2, scenario.MeshDomain, scenario.MeshService, rulePrefix)
	w := &watchedMesh{Mesh: m, memoryMB: memory}
	for i, mb := range memory {
		m.SidecarSettings = fmt.Sprintf("memory_mb = %d\nmax_files = %d", mb, maxFiles)
		if err := m.AddHost(slots, serviceTime); err != nil {
			t.Fatal(err)
		}
		d := &descriptorWatch{pid: m.Hosts[i].PID(), stop: make(chan struct{}), done: make(chan struct{})}
		go d.run()
		w.watches = append(w.watches, d)
		t.Cleanup(d.end)
	}
	m.RegisterServer(0, slots)
	eventually(t, "every sidecar is ready", func() bool { return m.AllRespond("ready", platform.ReadyPath, http.StatusOK) })
	eventually(t, "every sidecar serves the rule", func() bool { return m.AllRespond("callers", rulePrefix+"a", http.StatusOK) })
	return w
}

// eventually polls until a condition holds. It fails after one minute, so that a test can't hang.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(time.Minute); time.Now().Before(limit); time.Sleep(sampleInterval) {
		if holds() {
			return
		}
	}
	t.Fatalf("not true within a minute: %s", what)
}

// assertWithinBounds checks that the processes live and stayed within their bounds, and that each answers an ordinary request.
func (w *watchedMesh) assertWithinBounds(t *testing.T) {
	t.Helper()
	for i, h := range w.Hosts {
		// VmHWM is the peak that the kernel records, so no peak is missed between two samples. It includes the pages of the program's file and is
		// therefore stricter than the anonymous memory alone.
		peak, bound := status(h.PID(), "VmHWM")<<10, int(memoryShare*float64(w.memoryMB[i]))*mebibyte
		files := int(w.watches[i].peak.Load())
		t.Logf("%s: memory %.1f MiB of %.1f, descriptors %d of %d", h.IP, float64(peak)/mebibyte, float64(bound)/mebibyte, files, maxFiles)
		if peak == 0 {
			t.Errorf("the process of host %d has ended: %s", i, lastLines(h.Output()))
			continue
		}
		if peak > bound {
			t.Errorf("host %d: memory %d bytes exceeds the bound of %d", i, peak, bound)
		}
		if files > maxFiles {
			t.Errorf("host %d: %d descriptors exceed the bound of %d", i, files, maxFiles)
		}
	}
	if t.Failed() {
		return
	}
	eventually(t, "every sidecar answers an ordinary request", func() bool { return w.AllRespond("callers", rulePrefix+"a", http.StatusOK) })
	eventually(t, "every sidecar is ready", func() bool { return w.AllRespond("ready", platform.ReadyPath, http.StatusOK) })
}

// eachListener runs a client load against each of some listeners of a host, each time with new processes.
func eachListener(t *testing.T, load func(t *testing.T, address, listener string), listeners ...string) {
	t.Helper()
	for _, l := range listeners {
		t.Run(l, func(t *testing.T) {
			w := newMesh(t, 0, memoryMB)
			load(t, w.Address(0, l), l)
			w.assertWithinBounds(t)
		})
	}
}

func (d *descriptorWatch) run() {
	defer close(d.done)
	for {
		select {
		case <-d.stop:
			return
		case <-time.After(sampleInterval):
		}
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.pid))
		if err == nil {
			d.peak.Store(max(d.peak.Load(), int64(len(entries))))
		}
	}
}

func (d *descriptorWatch) end() {
	close(d.stop)
	<-d.done
}

// status returns a number of /proc/PID/status; zero if the process has ended.
func status(pid int, name string) int {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		if rest, ok := strings.CutPrefix(s.Text(), name+":"); ok {
			n := 0
			if _, err := fmt.Sscan(rest, &n); err == nil {
				return n
			}
		}
	}
	return 0
}

func lastLines(text string) string {
	const shown = 600
	return text[max(0, len(text)-shown):]
}

// TestIdleProcess is the reference for the memory bounds: a process without load.
func TestIdleProcess(t *testing.T) {
	is := is.New(t)
	w := newMesh(t, 0, memoryMB)
	is.Equal(len(w.Hosts), 1)
	w.assertWithinBounds(t)
}
