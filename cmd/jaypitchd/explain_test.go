package main

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch/explain"
	"github.com/jaypitch/jaypitch/platform"
	"github.com/jaypitch/jaypitch/scenario"
	"github.com/jaypitch/jaypitch/standin"
)

// eventually polls until a condition holds. It fails after one minute, so that a test can't hang.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(time.Minute); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not true within a minute: %s", what)
}

// newMesh starts the sidecars of two hosts as processes, with further settings. Only the server of the second host is listed, so it gets all requests.
func newMesh(t *testing.T, network, slots int, serviceTime time.Duration, settings ...string) *scenario.Mesh {
	t.Helper()
	dir := t.TempDir()
	sidecarProgram := filepath.Join(dir, "jaypitchd")
	if out, err := exec.Command("go", "build", "-o", sidecarProgram, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	m, err := scenario.NewMesh(sidecarProgram, dir, network, "/one/")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	m.Settings = strings.Join(settings, "")
	for range 2 {
		if err := m.AddHost(slots, serviceTime); err != nil {
			t.Fatal(err)
		}
	}
	m.RegisterServer(1, slots)
	// Clients' requests to a sidecar that isn't ready are refused, and use up the lines that the test needs later.
	eventually(t, "every sidecar is ready", func() bool { return m.AllRespond("ready", platform.ReadyPath, http.StatusOK) })
	eventually(t, "every sidecar serves the rule", func() bool { return m.AllRespond("callers", "/one/a", http.StatusOK) })
	return m
}

// explainRequest explains a request from the log lines of some hosts, once they have logged the final line of the request.
func explainRequest(t *testing.T, id string, hosts ...*scenario.MeshHost) *explain.Explanation {
	t.Helper()
	var explanation *explain.Explanation
	eventually(t, "the final line of request "+id+" is logged", func() bool {
		text := ""
		for _, h := range hosts {
			text += h.Output()
		}
		lines, err := explain.Read(strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		s, e := explain.Explain(lines, id)
		explanation = s
		return e == nil && s.Cause != ""
	})
	return explanation
}

// TestExplainRefusalDuringOverload sends more requests than the server can process. Each refusal has to be explained both from the log
// lines of all sidecars and without those of the receiver.
func TestExplainRefusalDuringOverload(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 1, 1, 300*time.Millisecond)
	const burst = 12
	statuses := make(chan [2]string, burst)
	for i := range burst {
		go func() {
			id := fmt.Sprintf("burst-%d", i)
			status := m.Get(0, "callers", "/one/a", id, http.Header{platform.HeaderNames.TimeLeftMS: {"700"}})
			statuses <- [2]string{id, fmt.Sprint(status)}
		}()
	}
	var refused []string
	for range burst {
		if s := <-statuses; s[1] == "503" {
			refused = append(refused, s[0])
		}
	}
	is.True(len(refused) > 0)
	byReceiver := 0
	for _, id := range refused {
		all, senderOnly := explainRequest(t, id, m.Hosts...), explainRequest(t, id, m.Hosts[0])
		is.True(strings.Contains(all.Cause, "refused as not run"))
		is.True(strings.Contains(senderOnly.Cause, "refused as not run"))
		if strings.Contains(all.Cause, "sidecar host_1") {
			byReceiver++
			is.True(strings.Contains(senderOnly.Cause, "sidecar host_0: the sidecar of the server answered"))
		}
	}
	is.True(byReceiver > 0)
}

// TestExplainUnknownExecution kills the receiving sidecar while its server executes a request.
func TestExplainUnknownExecution(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 2, 4, 0)
	m.Hosts[1].Server.SetBehaviour(standin.Unresponsive)
	done := make(chan int)
	go func() { done <- m.Get(0, "callers", "/one/a", "lost", nil) }()
	eventually(t, "the server executes the request", func() bool { n, _ := m.Hosts[1].Server.Executions("lost"); return n == 1 })
	is.NoErr(m.Kill(1))
	status := <-done
	is.True(status == http.StatusBadGateway || status == http.StatusGatewayTimeout)
	s := explainRequest(t, "lost", m.Hosts...)
	is.True(strings.Contains(s.Cause, "may have run"))
	is.True(strings.Contains(s.Cause, "server_1"))
	is.True(len(s.Missing) > 0)
}

// TestExplainMissingRule removes a rule and explains the 404 response that follows.
func TestExplainMissingRule(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 3, 4, 0)
	m.Store.PutConfig(2, scenario.MeshDomain, scenario.MeshService, "/two/")
	n, id := 0, ""
	eventually(t, "the sidecar has removed the rule", func() bool {
		n++
		id = fmt.Sprintf("gone-%d", n)
		return m.Get(0, "callers", "/one/a", id, nil) == http.StatusNotFound
	})
	s := explainRequest(t, id, m.Hosts[0])
	is.True(strings.Contains(s.Cause, "version 2"))
}
