package soak

import (
	"fmt"
	"html/template"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"
)

// Report is the result of a run.
type Report struct {
	Seed      uint64
	Processes int
	Length    time.Duration
	// Dir is the folder with the logs.
	Dir       string
	Requests  int
	Statuses  []Count
	Faults    []Count
	Promises  []PromiseCount
	MemoryMiB float64
	// Stalls is how often this process didn't run for so long that rates couldn't be checked.
	Stalls   int
	Failures []Failure
}

// Count is a number by name.
type Count struct {
	Name string
	N    int
}

// PromiseCount is the number of checks and failures of a promise.
type PromiseCount struct {
	Promise          Promise
	Checks, Failures int
}

const (
	textFormat = "seed %d, %d processes, %s, %d requests, largest memory %.1f MiB, %d stalls of the observer, logs in %s\n"
	page       = `<!DOCTYPE html>
<meta charset="utf-8"><title>Soak test, seed {{.Seed}}</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse;margin-bottom:1em}td,th{border:1px solid #bbb;padding:.2em .6em;text-align:left}td.n{text-align:right}tr.failed{background:#fdd}</style>
<h1>Soak test, seed {{.Seed}}: {{if .Failures}}failed{{else}}passed{{end}}</h1>
<p>{{.Processes}} processes, faults for {{.Length}}, {{.Requests}} requests, largest memory {{printf "%.1f" .MemoryMiB}} MiB, {{.Stalls}} stalls of the observer, logs in {{.Dir}}.</p>
<table><tr><th>promise<th>checks<th>failures{{range .Promises}}<tr{{if .Failures}} class="failed"{{end}}><td>{{.Promise}}<td class="n">{{.Checks}}<td class="n">{{.Failures}}{{end}}</table>
<table><tr><th>fault<th>times{{range .Faults}}<tr><td>{{.Name}}<td class="n">{{.N}}{{end}}</table>
<table><tr><th>status<th>requests{{range .Statuses}}<tr><td>{{.Name}}<td class="n">{{.N}}{{end}}</table>
{{range .Failures}}<h2>{{.Promise}} {{.ID}}</h2><p>{{.At.Format "15:04:05.000"}} {{.Detail}}</p><pre>{{.Explanation}}</pre>{{end}}
`
)

var pageTemplate = template.Must(template.New("page").Parse(page))

// report returns the result of the run.
func (r *session) report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.checker
	c.Settle(time.Now())
	out := &Report{Seed: r.config.Seed, Processes: r.config.Processes, Length: r.config.Length, Dir: r.config.Dir, Requests: len(c.requests),
		MemoryMiB: float64(c.peakMemory) / mebibyte, Stalls: r.stalls, Failures: c.failures}
	for _, s := range slices.Sorted(maps.Keys(c.statuses)) {
		out.Statuses = append(out.Statuses, Count{fmt.Sprint(s), c.statuses[s]})
	}
	for _, k := range slices.Sorted(maps.Keys(r.faults)) {
		out.Faults = append(out.Faults, Count{string(k), r.faults[k]})
	}
	for _, p := range Promises {
		out.Promises = append(out.Promises, PromiseCount{Promise: p, Checks: c.checks[p], Failures: c.broken[p]})
	}
	r.explainAll(out.Failures)
	return out
}

// Write writes the report as tables.
func (r *Report) Write(w io.Writer) error {
	fmt.Fprintf(w, textFormat, r.Seed, r.Processes, r.Length, r.Requests, r.MemoryMiB, r.Stalls, r.Dir)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "PROMISE\tCHECKS\tFAILURES")
	for _, p := range r.Promises {
		fmt.Fprintf(t, "%s\t%d\t%d\n", p.Promise, p.Checks, p.Failures)
	}
	fmt.Fprintln(t, "FAULT\tTIMES\t")
	for _, f := range r.Faults {
		fmt.Fprintf(t, "%s\t%d\t\n", f.Name, f.N)
	}
	fmt.Fprintln(t, "STATUS\tREQUESTS\t")
	for _, s := range r.Statuses {
		fmt.Fprintf(t, "%s\t%d\t\n", s.Name, s.N)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, f := range r.Failures {
		fmt.Fprintf(w, "\nFAILED %s: request %q at %s: %s\nseed %d, logs in %s\n%s\n", f.Promise, f.ID, f.At.Format("15:04:05.000"), f.Detail, r.Seed, r.Dir, f.Explanation)
	}
	return nil
}

// WritePage writes the report as an HTML page in the folder with the logs.
func (r *Report) WritePage() error {
	f, err := os.Create(filepath.Join(r.Dir, "report.html"))
	if err != nil {
		return err
	}
	defer f.Close()
	return pageTemplate.Execute(f, r)
}
