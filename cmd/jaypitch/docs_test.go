package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/spf13/cobra/doc"
	"go.uber.org/zap"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/ini"
	"github.com/jaypitch/jaypitch/logline"
	"github.com/jaypitch/jaypitch/node"
	"github.com/jaypitch/jaypitch/schema"
	"github.com/jaypitch/jaypitch/settings"
	"github.com/jaypitch/jaypitch/sidecar"
)

var update = flag.Bool("update", false, "rewrite the pages that are generated from the code")

const docsDir = "../../docs"

// assertPage checks that a page under docs equals the text generated from the code. With -update it writes the page first.
func assertPage(t *testing.T, name, want string) {
	t.Helper()
	file := filepath.Join(docsDir, name)
	if *update {
		if err := os.WriteFile(file, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Fatalf("docs/%s differs from the code; go test ./cmd/jaypitch -run Page -update rewrites it", name)
	}
}

func TestCodesPage(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Result codes\n\nA refusal carries its code and whether the server executed the request in the headers `Jaypitch-Code` and `Jaypitch-Ran` and in a JSON body. " +
		"`not_run` is sent only if it is certain that the server did not execute the request.\n\n| code | name | ran | HTTP status | meaning |\n|---|---|---|---|---|\n")
	for _, c := range jaypitch.Codes {
		ran, status := orDash(string(c.Execution)), "-"
		if c.Status != 0 {
			status = fmt.Sprint(c.Status)
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", c.Code, c.Name, ran, status, c.Help)
	}
	assertPage(t, "CODES.md", b.String())
}

func TestSettingsPage(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Settings\n\nAll settings are INI. `jaypitch check FILE` reports every problem of a file.\n")
	for _, m := range []struct {
		title string
		d     protoreflect.MessageDescriptor
	}{
		{"A node's settings file", (&schema.NodeSettings{}).ProtoReflect().Descriptor()},
		{"A team's settings", (&schema.TeamSettings{}).ProtoReflect().Descriptor()},
		{"A data centre's host list", (&schema.HostSettings{}).ProtoReflect().Descriptor()},
		{"A sidecar's settings file", (&schema.SidecarSettings{}).ProtoReflect().Descriptor()},
	} {
		fmt.Fprintf(&b, "\n## %s\n", m.title)
		for i := range m.d.Fields().Len() {
			writeSection(&b, m.d.Fields().Get(i))
		}
	}
	assertPage(t, "SETTINGS.md", b.String())
}

func writeSection(b *strings.Builder, section protoreflect.FieldDescriptor) {
	head := "[" + string(section.Name()) + "]"
	if section.IsList() {
		head = "[" + string(section.Name()) + " NAME]"
	}
	fmt.Fprintf(b, "\n### `%s`\n\n", head)
	fields := section.Message().Fields()
	if section.IsList() && fields.Len() == 1 {
		b.WriteString("The section has no keys.\n")
		return
	}
	b.WriteString("| key | default | meaning | allowed |\n|---|---|---|---|\n")
	for i := range fields.Len() {
		f := fields.Get(i)
		if section.IsList() && f.Name() == "name" {
			continue
		}
		rule := ini.RuleOf(f)
		fallback := orDash(rule.GetDefault())
		if rule.GetRequired() {
			fallback = "required"
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", ini.KeyOf(f), fallback, rule.GetHelp(), strings.TrimPrefix(ini.Allowed(f), "allowed is "))
	}
}

func TestMetricsPage(t *testing.T) {
	is := is.New(t)
	s, problems := settings.ParseNode("f", []byte("[node]\nhost = h\ndata_centre = d\nservice = s\n[caller]\naddress = 127.0.0.1:2\n[peer]\naddress = 127.0.0.1:3\n"+
		"[operator]\naddress = 127.0.0.1:4\n[platform]\naddress = 127.0.0.1:5\n[backend]\naddress = 127.0.0.1:6\n"))
	is.Equal(len(problems), 0)
	m := node.New(s, zap.NewNop()).Metrics()
	m.RecordRequest("service", "rank", jaypitch.CodeOK, time.Millisecond)
	families, err := m.Registry().Gather()
	is.NoErr(err)
	var b strings.Builder
	b.WriteString("# Metrics\n\nServed at `/metrics` of the operator listener, together with the metrics of the Go runtime and of the process. The unit is the last part of the name, seconds or bytes; without one the metric is a count. " +
		"`alerts.yml` has an alert for each requirement that must always be met.\n\n| name | type | labels | meaning |\n|---|---|---|---|\n")
	names := map[string]bool{}
	for _, f := range families {
		if !strings.HasPrefix(f.GetName(), "jaypitch_") {
			continue
		}
		names[f.GetName()] = true
		var labels []string
		for _, l := range f.GetMetric()[0].GetLabel() {
			labels = append(labels, l.GetName())
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", f.GetName(), strings.ToLower(f.GetType().String()), orDash(strings.Join(labels, ", ")), f.GetHelp())
	}
	writeSidecarMetrics(t, &b)
	assertPage(t, "METRICS.md", b.String())
	t.Run("alerts use existing metrics and are documented", func(t *testing.T) {
		is := is.New(t)
		alerts, err := os.ReadFile(filepath.Join(docsDir, "alerts.yml"))
		is.NoErr(err)
		operations, err := os.ReadFile(filepath.Join(docsDir, "OPERATIONS.md"))
		is.NoErr(err)
		for _, name := range regexp.MustCompile(`jaypitch_\w+`).FindAllString(string(alerts), -1) {
			is.True(names[name])
		}
		found := regexp.MustCompile(`alert: (\w+)`).FindAllStringSubmatch(string(alerts), -1)
		is.Equal(len(found), 9)
		for _, a := range found {
			is.True(strings.Contains(string(operations), "### "+a[1]+"\n"))
		}
	})
}

// writeSidecarMetrics adds the table of the metrics that a sidecar registers.
func writeSidecarMetrics(t *testing.T, b *strings.Builder) {
	t.Helper()
	is := is.New(t)
	s, problems := settings.ParseSidecar("f", []byte("[sidecar]\nhost = h\ndata_centre = d\nservice = s\nbackend = 127.0.0.1:1\n[listen]\ncallers = 127.0.0.1:2\n"+
		"peers = 127.0.0.1:3\nready = 127.0.0.1:4\nmetrics = 127.0.0.1:5\n[store]\naddress = 127.0.0.1:6\n"))
	is.Equal(len(problems), 0)
	noSource := func(string, func() time.Time, func(*jaypitch.Error)) jaypitch.MeshSource { return nil }
	c, err := sidecar.New(s, nil, sidecar.Platform{NewSource: noSource}, zap.NewNop(), func() int64 { return 0 })
	is.NoErr(err)
	b.WriteString("\n## Metrics of a sidecar\n\nServed at every path of the sidecar's metrics listener except `/evidence`, `/burn`, `/where` and `/status`.\n\n| name | labels | meaning |\n|---|---|---|\n")
	descriptions := make(chan *prometheus.Desc, 64)
	c.Registry().Describe(descriptions)
	close(descriptions)
	var rows []string
	for d := range descriptions {
		m := regexp.MustCompile(`fqName: "(\w+)", help: "([^"]*)".*variableLabels: {([^}]*)}`).FindStringSubmatch(d.String())
		is.Equal(len(m), 4)
		rows = append(rows, fmt.Sprintf("| %s | %s | %s |\n", m[1], orDash(m[3]), m[2]))
	}
	slices.Sort(rows)
	b.WriteString(strings.Join(rows, ""))
}

func TestLogsPage(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	b.WriteString("# Log lines of a sidecar\n\nJSON, one object per line, on standard output. Each line has `level`, `ts`, `msg` and `node`; times are in seconds. " +
		"Each kind of line is limited to 20 per second with a burst of 40. Failures take precedence over responses of backend servers. Once half of the burst is used, only lines of a sample of requests are written, chosen by request id and thus the same on every sidecar. " +
		"The number of lines left out is logged once a second. If the reader of the output is slow, lines are dropped; requests are not delayed.\n\n| msg | fields | when |\n|---|---|---|\n")
	for _, l := range logline.Kinds {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", l.Message, strings.Join(l.Fields, ", "), l.Help)
	}
	assertPage(t, "LOGS.md", b.String())
	code := sourceOf(t, "../../sidecar") + sourceOf(t, "../../logline")
	for _, l := range logline.Kinds {
		name := strings.ToUpper(l.Message[:1]) + l.Message[1:]
		is.True(strings.Contains(code, fmt.Sprintf("(%q", l.Message)) || strings.Contains(code, "logline."+name))
		for _, f := range l.Fields {
			is.True(strings.Contains(code, fmt.Sprintf("(%q,", f)) || f == "error" && strings.Contains(code, "zap.Error("))
		}
	}
	written := regexp.MustCompile(`log\.(?:Info|Warn|Error)\("([^"]+)"`).FindAllStringSubmatch(code, -1)
	is.True(len(written) > 10)
	for _, w := range written {
		is.True(slices.ContainsFunc(logline.Kinds, func(l logline.Kind) bool { return l.Message == w[1] }))
	}
}

// sourceOf returns the text of all Go files of a folder except its tests.
func sourceOf(t *testing.T, dir string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	for _, f := range files {
		if strings.HasSuffix(f, "_test.go") {
			continue
		}
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		b.Write(text)
	}
	return b.String()
}

func TestManPages(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	root := newRoot()
	root.DisableAutoGenTag = true
	date := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	is.NoErr(doc.GenManTree(root, &doc.GenManHeader{Title: "JAYPITCH", Section: "1", Date: &date, Source: "jaypitch"}, dir))
	entries, err := os.ReadDir(dir)
	is.NoErr(err)
	is.True(len(entries) >= 10)
	for _, e := range entries {
		text, err := os.ReadFile(filepath.Join(dir, e.Name()))
		is.NoErr(err)
		assertPage(t, filepath.Join("man", e.Name()), string(bytes.TrimSpace(text))+"\n")
	}
}
