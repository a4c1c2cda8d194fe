package operator

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/jaypitch/jaypitch/burn"
)

// burnPageData is the data of burnTemplate.
type burnPageData struct {
	Burn  burn.Report
	Plots []template.HTML
}

const (
	barWidthPoints   = 14
	plotHeight       = 8 * vg.Centimeter
	minPlotWidth     = 12 * vg.Centimeter
	widthPerCategory = 3 * vg.Centimeter
)

var (
	windowColours = []color.Color{color.RGBA{R: 200, G: 80, B: 40, A: 255}, color.RGBA{R: 60, G: 110, B: 180, A: 255}}

	burnTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
		"percent": func(f float64) string { return fmt.Sprintf("%.0f%%", 100*f) },
		"minutes": func(us int64) int64 { return us / 60e6 },
	}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ccc}</style></head>
<body><h1>Service-level burn</h1>
<p>{{.Burn.HostsQueried}} hosts asked, {{len .Burn.Unresponsive}} did not respond. A burn rate of 1 uses up the error budget exactly.</p>
{{range .Plots}}<div>{{.}}</div>{{end}}
<table><tr><th>service</th><th>rank</th><th>window, min</th><th>good</th><th>bad</th><th>burn rate</th><th>budget left</th></tr>
{{range .Burn.Counts}}<tr><td>{{.Service}}</td><td>{{.Rank}}</td><td>{{minutes .WindowUS}}</td><td>{{.Good}}</td><td>{{.Bad}}</td><td>{{printf "%.2f" .Rate}}</td><td>{{percent .BudgetLeft}}</td></tr>
{{end}}</table></body></html>
`))
)

// WriteBurnPage writes a burn report as a self-contained HTML page with a table and a bar chart. It leaves out the chart if there are no counts.
func WriteBurnPage(w io.Writer, b *burn.Report) error {
	v := burnPageData{Burn: *b}
	if len(b.Counts) > 0 {
		svg, err := plotRates(b)
		if err != nil {
			return fmt.Errorf("plotting the burn rates: %w", err)
		}
		v.Plots = append(v.Plots, template.HTML(svg)) //nolint:gosec // made by the plot library
	}
	if err := burnTemplate.Execute(w, v); err != nil {
		return fmt.Errorf("writing the burn page: %w", err)
	}
	return nil
}

// plotRates returns an SVG bar chart of the burn rates, with one bar for each service, rank and window.
func plotRates(b *burn.Report) ([]byte, error) {
	p := plot.New()
	p.Title.Text = "Burn rate over the short and the long window"
	p.Y.Label.Text = "burn rate"
	short, long, names := ratesOf(b)
	for i, values := range []plotter.Values{short, long} {
		bars, err := plotter.NewBarChart(values, vg.Points(barWidthPoints))
		if err != nil {
			return nil, err
		}
		bars.Offset = vg.Points(float64(barWidthPoints) * (float64(i) - 0.5))
		bars.Color = windowColours[i]
		p.Add(bars)
		p.Legend.Add([]string{"short window", "long window"}[i], bars)
	}
	p.Legend.Top = true
	p.NominalX(names...)
	canvas := vgsvg.New(max(minPlotWidth, vg.Length(len(names))*widthPerCategory), plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return nil, err
	}
	svg := out.Bytes()
	return svg[max(0, bytes.Index(svg, []byte("<svg"))):], nil
}

// ratesOf returns the burn rates over the short and the long window, and the bars' labels in the form SERVICE/RANK.
func ratesOf(b *burn.Report) (short, long plotter.Values, names []string) {
	for _, c := range b.Counts {
		if c.WindowUS == burn.ShortWindow.Microseconds() {
			short = append(short, c.Rate)
			names = append(names, c.Service+"/"+c.Rank)
		} else {
			long = append(long, c.Rate)
		}
	}
	return short, long, names
}
