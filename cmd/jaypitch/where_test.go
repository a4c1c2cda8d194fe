package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/outbound"
	"github.com/jaypitch/jaypitch/route"
)

// TestWhereCommand guards against a table that hides why a request would be refused, and against output that isn't the sidecar's report.
func TestWhereCommand(t *testing.T) {
	report := outbound.WhereReport{Version: 7, Rule: "r", Destinations: []outbound.WhereDestination{{Service: "x", Share: 0.25, Code: jaypitch.CodeOverloaded, Reason: "full", RetryAfterMS: 80,
		Candidates: []route.Candidate{{Server: "i-1", DataCentre: "here", Skipped: "it refuses everything", RetryAfterMS: 300, CostMS: 61.5}}}}}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/where" || r.URL.Query().Get("path") != "/one/" || r.URL.Query().Get("host") != "h" {
			w.WriteHeader(http.StatusTeapot)
			return
		}
		_ = json.NewEncoder(w).Encode(report)
	}))
	defer s.Close()
	run := func(args ...string) (int, string) {
		var out bytes.Buffer
		status := execute(context.Background(), append([]string{"where", "--node", strings.TrimPrefix(s.URL, "http://"), "--host", "h"}, args...), &out, &out)
		return status, out.String()
	}
	is := is.New(t)
	status, text := run("/one/")
	is.Equal(status, exitOK)
	for _, want := range []string{"rule r of version 7", "service x: 25%", "105 overloaded, full; Retry-After from 0.080 s", "61.5", "it refuses everything, for 300 ms"} {
		is.True(strings.Contains(text, want))
	}
	status, text = run("--json", "/one/")
	is.Equal(status, exitOK)
	var got outbound.WhereReport
	is.NoErr(json.Unmarshal([]byte(text), &got))
	is.Equal(got, report)
	status, text = run("/two/")
	is.Equal(status, exitFailed)
	is.True(strings.Contains(text, "411 operator"))
}
