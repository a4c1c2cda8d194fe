// Package timeline renders the log lines of sidecars as a self-contained HTML page: charts of request results and
// configuration versions over time, and a table of state changes. It uses no clock or sockets.
package timeline

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"html/template"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // draws SVG

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/explain"
	"github.com/jaypitch/jaypitch/logline"
)

// page is the data of pageTemplate.
type page struct {
	From, To   string
	Nodes      int
	Lines      int
	Suppressed int64
	Charts     []chart
	Changes    []explain.Line
}

type chart struct {
	Title  string
	Source template.URL
}

// seriesByName holds the points of each line of a chart.
type seriesByName map[string]plotter.XYs

const (
	width  = 28 * vg.Centimeter
	height = 9 * vg.Centimeter
	// maxChanges is how many state changes the page lists.
	maxChanges = 500
)

var (
	// changeMessages are the messages of log lines about a change of a sidecar's state or configuration.
	changeMessages = map[string]bool{"started": true, "stopping": true, "stopped": true, "store lost": true, "store regained": true, "paused": true,
		"sidecar taken for dead": true, "version in force": true, "server": true, "settings reloaded": true, "entry refused": true}

	pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>jaypitch timeline</title>
<style>body{font:14px sans-serif;margin:2em}img{display:block;max-width:100%}td,th{text-align:left;padding:0 1em 0 0}</style></head><body>
<h1>{{.From}} to {{.To}}</h1>
<p>{{.Lines}} lines of {{.Nodes}} sidecars; {{.Suppressed}} more were suppressed by the log budget. Requests with a response are a sample by ID; failed requests are not sampled.</p>
{{range .Charts}}<h2>{{.Title}}</h2><img alt="{{.Title}}" src="{{.Source}}">{{end}}
<h2>Changes</h2><table><tr><th>time</th><th>sidecar</th><th>change</th><th></th></tr>
{{range .Changes}}<tr><td>{{.At.Format "15:04:05.000"}}</td><td>{{.Node}}</td><td>{{.Message}}</td><td>{{.Summary}}</td></tr>
{{end}}</table></body></html>
`))
)

// Write renders the lines as a page. If there are none, the error has CodeNoLines.
func Write(w io.Writer, lines []explain.Line) error {
	if len(lines) == 0 {
		return jaypitch.Errorf(jaypitch.CodeNoLines, "the input has no log lines of sidecars")
	}
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b explain.Line) int { return a.At.Compare(b.At) })
	from := lines[0].At
	p := page{From: from.Format(time.RFC3339), To: lines[len(lines)-1].At.Format(time.RFC3339), Lines: len(lines)}
	nodes := map[string]bool{}
	for _, l := range lines {
		nodes[l.Node] = true
		if l.Message == "lines left out" {
			p.Suppressed += l.SuppressedLines
		}
		if changeMessages[l.Message] && len(p.Changes) < maxChanges {
			p.Changes = append(p.Changes, l)
		}
	}
	p.Nodes = len(nodes)
	for _, d := range []struct {
		title, unit string
		points      seriesByName
	}{
		{"Logged requests per second by result code", "lines per second", resultCounts(lines, from)},
		{"Configuration version by sidecar", "version", versionHistory(lines, from)},
	} {
		c, err := draw(d.title, d.unit, d.points)
		if err != nil {
			return err
		}
		p.Charts = append(p.Charts, c)
	}
	return pageTemplate.Execute(w, p)
}

// resultCounts returns the number of completed requests in each second, by the name of their result code.
func resultCounts(lines []explain.Line, from time.Time) seriesByName {
	counts := map[string]map[int]int{}
	last := 0
	for _, l := range lines {
		second := int(l.At.Sub(from) / time.Second)
		last = max(last, second)
		if l.Message != logline.Answered && l.Message != logline.Failed {
			continue
		}
		name := jaypitch.Code(l.Code).Info().Name
		if l.Code == int(jaypitch.CodeOK) && l.Status >= http.StatusInternalServerError {
			name = "failed by the server"
		}
		if counts[name] == nil {
			counts[name] = map[int]int{}
		}
		counts[name][second]++
	}
	out := seriesByName{}
	for name, bySecond := range counts {
		for s := range last + 1 {
			out[name] = append(out[name], plotter.XY{X: float64(s), Y: float64(bySecond[s])})
		}
	}
	return out
}

// versionHistory returns the configuration version over time, by sidecar.
func versionHistory(lines []explain.Line, from time.Time) seriesByName {
	out := seriesByName{}
	for _, l := range lines {
		if l.Message == "version in force" {
			out[l.Node] = append(out[l.Node], plotter.XY{X: l.At.Sub(from).Seconds(), Y: float64(l.Version)})
		}
	}
	return out
}

// draw renders the series as an SVG chart.
func draw(title, unit string, s seriesByName) (chart, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds", unit
	p.Legend.Top = true
	for i, name := range slices.Sorted(maps.Keys(s)) {
		l, err := plotter.NewLine(s[name])
		if err != nil {
			return chart{}, fmt.Errorf("drawing series %q of chart %q: %w", name, title, err)
		}
		l.Color, l.StepStyle = plotutil.Color(i), plotter.PostStep
		p.Add(l)
		p.Legend.Add(name, l)
	}
	canvas, err := p.WriterTo(width, height, "svg")
	if err != nil {
		return chart{}, fmt.Errorf("drawing chart %q: %w", title, err)
	}
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return chart{}, fmt.Errorf("drawing chart %q: %w", title, err)
	}
	return chart{Title: title, Source: template.URL("data:image/svg+xml;base64," + base64.StdEncoding.EncodeToString(b.Bytes()))}, nil
}
