package main

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch/operator"
	"github.com/jaypitch/jaypitch/scenario"
	"github.com/jaypitch/jaypitch/standin"
)

const (
	scenarioTimeout = 60 * time.Second
	scenarioTeam    = "[team]\nname = fairs\n\n[rank urgent]\norder = 1\n\n[service entry]\n\n[service ledger]\n\n[customer meadow]\n\n[customer hill]\n\n" +
		"[route filing]\nservice = entry\nrank = urgent\nidempotent = false\ncustomers = *\n\n[route charge]\nservice = ledger\nrank = urgent\ncustomers = *\n"
)

// runClient runs a client command against the node of a host. It returns the standard output and error, and the exit status.
func runClient(t *testing.T, h *scenario.Host, args ...string) (string, int) {
	t.Helper()
	var out, errs bytes.Buffer
	status := execute(context.Background(), append(args, "--node", h.OperatorAddress()), &out, &errs)
	return out.String() + errs.String(), status
}

// assertRun checks the exit status of a client command and that its output contains each of wants.
func assertRun(t *testing.T, h *scenario.Host, status int, wants []string, args ...string) {
	t.Helper()
	out, got := runClient(t, h, args...)
	if got != status {
		t.Fatalf("jaypitch %v returned exit status %d; want %d:\n%s", args, got, status, out)
	}
	for _, w := range wants {
		if !strings.Contains(out, w) {
			t.Fatalf("jaypitch %v printed\n%s\nwhich lacks %q", args, out, w)
		}
	}
}

// buildBinaries builds the jaypitch command and the stand-ins for the platform and the backend servers.
func buildBinaries(t *testing.T) scenario.Binaries {
	t.Helper()
	dir := t.TempDir()
	b := scenario.Binaries{Jaypitch: filepath.Join(dir, "jaypitch"), Standin: filepath.Join(dir, "standin")}
	for _, p := range [][2]string{{b.Jaypitch, "."}, {b.Standin, "../standin"}} {
		if out, err := exec.Command("go", "build", "-o", p[0], p[1]).CombinedOutput(); err != nil {
			t.Fatalf("building %s: %v: %s", p[1], err, out)
		}
	}
	return b
}

// hasRevisions checks whether a node has accepted one revision of teams/fairs and refused another; 0 means none refused.
func hasRevisions(revision, refused int64) func(s *operator.Status) bool {
	return func(s *operator.Status) bool {
		for _, d := range s.Documents {
			if d.Key == "teams/fairs" {
				return d.Revision == revision && d.RefusedRevision == refused
			}
		}
		return false
	}
}

// TestScenario runs the client commands against a fleet of four node processes: normal operation, a refused revision, a removed
// customer, an unresponsive host, a source that is down, draining and shutdown.
func TestScenario(t *testing.T) {
	is := is.New(t)
	f, err := scenario.NewFleet(t.TempDir(), buildBinaries(t), scenario.NodeOptions{})
	is.NoErr(err)
	defer f.Close()
	for _, h := range [][3]string{{"entry_1", "manila", "entry"}, {"entry_2", "cebu", "entry"}, {"ledger_1", "manila", "ledger"}, {"ledger_2", "cebu", "ledger"}} {
		f.Add(h[0], h[1], h[2], 4, 20)
	}
	is.NoErr(f.PublishHosts())
	is.NoErr(f.PublishTeam("fairs", []byte(scenarioTeam)))
	is.NoErr(f.StartAll())
	is.NoErr(f.AwaitReady(scenarioTimeout, "teams/fairs"))
	first, last := f.Hosts[0], f.Hosts[3]
	filing := scenario.RequestKind{Name: "filing", Path: "/fairs/filing/x?ms=1", Customer: "hill", Body: "entry", Target: time.Minute}
	load := func(k scenario.RequestKind, hosts ...*scenario.Host) scenario.Result {
		var addresses []string
		for _, h := range hosts {
			addresses = append(addresses, h.CallerAddress())
		}
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		return scenario.NewLoadGenerator(k, 40, addresses).Run(ctx)
	}

	t.Run("requests to any host succeed", func(t *testing.T) {
		r := load(filing, f.Hosts...)
		if r.Sent == 0 || r.Succeeded != r.Sent {
			t.Fatalf("%d of %d requests succeeded; codes: %v", r.Succeeded, r.Sent, r.Codes)
		}
	})
	t.Run("status, routes and burn", func(t *testing.T) {
		assertRun(t, first, 0, []string{"host entry_1", "confirmed true", "teams/fairs", "accepted"}, "status")
		assertRun(t, first, 0, []string{"fairs/filing", "in force", "hill,meadow"}, "routes")
		assertRun(t, first, 0, []string{"entry", "urgent", "99.0%"}, "burn")
		assertRun(t, first, 0, []string{`"rate"`}, "burn", "--output", "json")
		page := filepath.Join(t.TempDir(), "burn.html")
		assertRun(t, first, 0, nil, "burn", "--html", page)
		text, err := os.ReadFile(page)
		if err != nil || !bytes.Contains(text, []byte("<svg")) || bytes.Contains(text, []byte("<script src")) {
			t.Fatalf("the page has no embedded plot, or it loads a script: %v", err)
		}
	})
	t.Run("an invalid revision is refused and the previous one stays in force", func(t *testing.T) {
		is := is.New(t)
		is.NoErr(f.PublishTeam("fairs", []byte(strings.Replace(scenarioTeam, "order = 1", "order = first", 1))))
		is.NoErr(f.AwaitAll(scenarioTimeout, "the refusal", hasRevisions(1, 2)))
		assertRun(t, last, 0, []string{"revision 2 was refused", `203 wrong_type: file "teams/fairs" section "rank urgent" key "order"`}, "status")
	})
	t.Run("a removed customer is proven gone", func(t *testing.T) {
		is := is.New(t)
		assertRun(t, first, 1, []string{"present"}, "evidence", "--route", "fairs/filing", "--customer", "hill")
		file := filepath.Join(t.TempDir(), "fairs.ini")
		text := strings.Replace(scenarioTeam, "[customer hill]\n\n", "", 1)
		is.NoErr(os.WriteFile(file, []byte(text), 0o600))
		assertRun(t, first, 0, []string{"no problems"}, "check", file)
		assertRun(t, first, 1, []string{"-[customer hill]"}, "diff", file)
		is.NoErr(f.PublishTeam("fairs", []byte(text)))
		is.NoErr(f.AwaitAll(scenarioTimeout, "the new revision", hasRevisions(3, 0)))
		assertRun(t, first, 0, nil, "diff", file)
		assertRun(t, last, 0, []string{"gone", "4 hosts asked"}, "evidence", "--route", "fairs/filing", "--customer", "hill")
		assertRun(t, last, 0, []string{"gone"}, "evidence", "--team", "fairs", "--version", "3")
		r := load(filing, f.Hosts...)
		if r.Sent == 0 || r.Codes[101] != r.Sent {
			t.Fatalf("not all requests were refused with code 101: %v", r.Codes)
		}
		counts, err := first.ServerCounts()
		is.NoErr(err)
		is.Equal(counts.Duplicates, int64(0))
	})
	t.Run("an unresponsive host doesn't count as proof of absence", func(t *testing.T) {
		is := is.New(t)
		is.NoErr(last.Node().Pause())
		defer last.Node().Signal(syscall.SIGCONT)
		assertRun(t, first, 2, []string{"not proven", "400 host_silent", "ledger_2"}, "evidence", "--customer", "hill", "--timeout", "1s")
		last.Node().Signal(syscall.SIGCONT)
		is.NoErr(f.AwaitReady(scenarioTimeout, "teams/fairs"))
	})
	t.Run("requests succeed while the source is down", func(t *testing.T) {
		is := is.New(t)
		is.NoErr(f.SetFault(standin.Fault{Down: true}))
		is.NoErr(f.AwaitAll(scenarioTimeout, "any state", func(s *operator.Status) bool { return s.Ready }))
		filing.Customer = "meadow"
		r := load(filing, f.Hosts...)
		is.Equal(r.Succeeded, r.Sent)
		is.NoErr(f.SetFault(standin.Fault{}))
	})
	t.Run("a backend server drains and accepts requests again", func(t *testing.T) {
		is := is.New(t)
		assertRun(t, first, 0, []string{"takes no new work, and none is in progress"}, "drain")
		r := load(filing, f.Hosts...)
		is.Equal(r.Succeeded, r.Sent)
		assertRun(t, first, 0, []string{"operator"}, "status")
		assertRun(t, first, 0, []string{"takes new work"}, "drain", "--undo")
	})
	t.Run("a node exits with status 0 on SIGTERM", func(t *testing.T) {
		is := is.New(t)
		first.Node().Signal(syscall.SIGTERM)
		status, err := first.Node().Await(scenarioTimeout)
		is.NoErr(err)
		is.Equal(status, 0)
		assertRun(t, first, 2, []string{"411 operator"}, "status")
	})
}

// TestBadUse checks the result codes that invalid command lines and files are reported with.
func TestBadUse(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "node.ini")
	if err := os.WriteFile(bad, []byte("[node]\nhost = A\n[caller]\naddress = 127.0.0.1:1\n[peer]\naddress = 127.0.0.1:1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		args  []string
		wants []string
	}{
		{[]string{"check", bad}, []string{"207 bad_name", "205 missing_key", "206 duplicate", `section "peer" key "address"`}},
		{[]string{"node", "--settings", bad}, []string{"207 bad_name"}},
		{[]string{"check", "/nonexistent"}, []string{"211 unreadable"}},
		{[]string{"status", "--output", "xml"}, []string{"410 usage", "table and json"}},
		{[]string{"evidence"}, []string{"410 usage", "is needed"}},
		{[]string{"evidence", "--route", "filing"}, []string{"410 usage", "TEAM/ROUTE"}},
		{[]string{"where"}, []string{"410 usage", "PATH or --rule"}},
		{[]string{"where", "one"}, []string{"410 usage", "slash"}},
		{[]string{"where", "--rule", "r", "--host", "h"}, []string{"410 usage", "--host"}},
		{[]string{"unknown"}, []string{"410 usage"}},
	}
	for _, c := range cases {
		t.Run(strings.Join(c.args[:1], " "), func(t *testing.T) {
			var out, errs bytes.Buffer
			if status := execute(context.Background(), c.args, &out, &errs); status != exitFailed {
				t.Fatalf("exit status %d", status)
			}
			for _, w := range c.wants {
				if !strings.Contains(errs.String(), w) {
					t.Fatalf("printed %q, which lacks %q", errs.String(), w)
				}
			}
		})
	}
}
