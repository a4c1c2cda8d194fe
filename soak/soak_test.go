package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch/standin"
)

// progress writes the progress of a run to the log of a test.
type progress struct {
	t *testing.T
}

// testSlack is longer than that of a run by hand, as other tests use the machine at the same time.
const testSlack = 4 * time.Second

func (p progress) Write(text []byte) (int, error) {
	p.t.Log(strings.TrimSuffix(string(text), "\n"))
	return len(text), nil
}

// buildSidecar builds the sidecar's program. It has no race detector, whose memory would exceed the bound.
func buildSidecar(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "jaypitchd")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/jaypitchd").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// TestShortRun is a short version of the soak test. It guards against broken promises under overlapping faults.
func TestShortRun(t *testing.T) {
	is := is.New(t)
	r, err := Run(context.Background(), Config{Program: buildSidecar(t), Dir: t.TempDir(), Seed: 3, Processes: 6, Length: 15 * time.Second, Network: 201, Slack: testSlack, Progress: progress{t}})
	is.NoErr(err)
	is.NoErr(r.Write(progress{t}))
	is.Equal(len(r.Failures), 0)
}

// TestPlantedServers runs with servers that misbehave in ways that no sidecar can notice. It guards against a run that doesn't notice either.
func TestPlantedServers(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	r, err := Run(context.Background(), Config{Program: buildSidecar(t), Dir: dir, Seed: 1, Processes: 3, Length: 3 * time.Second, Network: 202, Slack: testSlack, Progress: progress{t},
		Planted: map[int]standin.Behaviour{0: standin.FalseRefusal, 1: standin.FalseBody}})
	is.NoErr(err)
	found := map[Promise]bool{}
	for _, f := range r.Failures {
		found[f.Promise] = true
		is.True(strings.Contains(f.Explanation, f.ID) || f.Explanation != "")
	}
	is.True(found[TruthfulRefusal])
	is.True(found[OwnResponse])
	is.NoErr(r.WritePage())
	text, err := os.ReadFile(filepath.Join(dir, "report.html"))
	is.NoErr(err)
	is.True(strings.Contains(string(text), "Soak test, seed 1: failed"))
	for i := range 3 {
		_, err := os.Stat(filepath.Join(dir, fmt.Sprintf("sidecar_%d.log", i)))
		is.NoErr(err)
	}
}

// TestInterrupt ends the context of a run. It guards against processes that are left behind.
func TestInterrupt(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	program := buildSidecar(t)
	_, err := Run(ctx, Config{Program: program, Dir: t.TempDir(), Seed: 1, Processes: 2, Length: time.Minute, Network: 203, Slack: testSlack, Progress: progress{t}})
	is.True(err != nil)
	links, err := filepath.Glob("/proc/[0-9]*/exe")
	is.NoErr(err)
	for _, l := range links {
		target, _ := os.Readlink(l)
		is.True(target != program)
	}
}
