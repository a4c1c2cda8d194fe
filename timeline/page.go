// Package timeline draws the log lines of sidecars as one page without anything from outside: requests by outcome,
// versions in force, and marked changes over time. It has no clock and no socket.
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

// page is what the template shows.
type page struct {
	From, To string
	Nodes    int
	Lines    int
	Left     int64
	Plots    []picture
	Changes  []explain.Line
}

type picture struct {
	Title  string
	Source template.URL
}

// series are the points of each name.
type series map[string]plotter.XYs

const (
	width  = 28 * vg.Centimeter
	height = 9 * vg.Centimeter
	// maxChanges bounds the marked changes that the page lists.
	maxChanges = 500
)

var (
	// changes are the messages that mark a change of what sidecars believe or of their life.
	changes = map[string]bool{"started": true, "stopping": true, "stopped": true, "store lost": true, "store regained": true, "paused": true,
		"sidecar taken for dead": true, "version in force": true, "server": true, "settings reloaded": true, "entry refused": true}

	html = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>jaypitch timeline</title>
<style>body{font:14px sans-serif;margin:2em}img{display:block;max-width:100%}td,th{text-align:left;padding:0 1em 0 0}</style></head><body>
<h1>{{.From}} to {{.To}}</h1>
<p>{{.Lines}} lines of {{.Nodes}} sidecars; {{.Left}} more were left out for want of budget. Answered requests are a sample by id, failed ones are not.</p>
{{range .Plots}}<h2>{{.Title}}</h2><img alt="{{.Title}}" src="{{.Source}}">{{end}}
<h2>Changes</h2><table><tr><th>time</th><th>sidecar</th><th>what</th><th></th></tr>
{{range .Changes}}<tr><td>{{.At.Format "15:04:05.000"}}</td><td>{{.Node}}</td><td>{{.Message}}</td><td>{{.Summary}}</td></tr>
{{end}}</table></body></html>
`))
)

// Write draws the lines as a page.
func Write(w io.Writer, lines []explain.Line) error {
	if len(lines) == 0 {
		return jaypitch.Errorf(jaypitch.CodeNoLines, "there are no log lines of sidecars")
	}
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b explain.Line) int { return a.At.Compare(b.At) })
	from := lines[0].At
	p := page{From: from.Format(time.RFC3339), To: lines[len(lines)-1].At.Format(time.RFC3339), Lines: len(lines)}
	nodes := map[string]bool{}
	for _, l := range lines {
		nodes[l.Node] = true
		if l.Message == "lines left out" {
			p.Left += l.SuppressedLines
		}
		if changes[l.Message] && len(p.Changes) < maxChanges {
			p.Changes = append(p.Changes, l)
		}
	}
	p.Nodes = len(nodes)
	for _, d := range []struct {
		title, unit string
		points      series
	}{
		{"Requests in the log by result code, a second", "lines a second", outcomes(lines, from)},
		{"Version in force by sidecar", "version", versions(lines, from)},
	} {
		picture, err := draw(d.title, d.unit, d.points)
		if err != nil {
			return err
		}
		p.Plots = append(p.Plots, picture)
	}
	return html.Execute(w, p)
}

// outcomes counts the ends of requests by second and result code.
func outcomes(lines []explain.Line, from time.Time) series {
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
	out := series{}
	for name, of := range counts {
		for s := range last + 1 {
			out[name] = append(out[name], plotter.XY{X: float64(s), Y: float64(of[s])})
		}
	}
	return out
}

// versions follows the version in force at each sidecar.
func versions(lines []explain.Line, from time.Time) series {
	out := series{}
	for _, l := range lines {
		if l.Message == "version in force" {
			out[l.Node] = append(out[l.Node], plotter.XY{X: l.At.Sub(from).Seconds(), Y: float64(l.Version)})
		}
	}
	return out
}

// draw makes an SVG of the series.
func draw(title, unit string, s series) (picture, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds", unit
	p.Legend.Top = true
	for i, name := range slices.Sorted(maps.Keys(s)) {
		l, err := plotter.NewLine(s[name])
		if err != nil {
			return picture{}, fmt.Errorf("drawing %q of %q: %w", name, title, err)
		}
		l.Color, l.StepStyle = plotutil.Color(i), plotter.PostStep
		p.Add(l)
		p.Legend.Add(name, l)
	}
	canvas, err := p.WriterTo(width, height, "svg")
	if err != nil {
		return picture{}, fmt.Errorf("drawing %q: %w", title, err)
	}
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return picture{}, fmt.Errorf("drawing %q: %w", title, err)
	}
	return picture{Title: title, Source: template.URL("data:image/svg+xml;base64," + base64.StdEncoding.EncodeToString(b.Bytes()))}, nil
}
