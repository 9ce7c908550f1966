package reporter

import (
	"bytes"
	"html/template"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Dimensions of a plot and its bars.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	barWidth   = 8 * vg.Millimeter
)

var pageTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"length": formatLength,
	"time":   func(t time.Time) string { return t.UTC().Format(time.RFC3339) },
}).Parse(`<!DOCTYPE html>
<html lang="en">
<head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; }
th, td { border: 1px solid #bbb; padding: 0.3em 0.6em; text-align: right; }
.fast-burn { background: #f6b0a8; } .slow-burn { background: #fbe3a6; }
</style></head>
<body>
<h1>Service-level burn</h1>
<p>As of {{time .Now}}. At a burn rate of 1 the error budget is used up exactly over its period.</p>
{{range .Services}}<h2>{{.Name}}</h2>
<table><tr><th>target</th><th>objective</th>{{range $.Lengths}}<th>{{length .}}</th>{{end}}<th>level</th></tr>
{{range .Rows}}<tr class="{{.Level}}"><td>{{.Target}}</td><td>{{(index .Windows 0).Objective}}</td>
{{- range .Windows}}<td title="{{.Good}} of {{.Total}} good">{{printf "%.2f" .BurnRate}}</td>{{end}}<td>{{.Level}}</td></tr>
{{end}}</table>
{{.Plot}}
{{else}}<p>No service has a target.</p>
{{end}}</body></html>
`))

// pageData is the input of pageTemplate.
type pageData struct {
	Now      time.Time
	Lengths  []time.Duration
	Services []pageService
}

type pageService struct {
	Name identifier.Service
	Rows []Row
	// Plot is an SVG element. It is safe to embed because vgsvg escapes text.
	Plot template.HTML
}

// WriteHTML writes the windows as an HTML page with one inline SVG plot per
// service.
func WriteHTML(w io.Writer, windows []Window, now time.Time) error {
	data := pageData{Now: now, Lengths: WindowLengths}
	for _, r := range Rows(windows) {
		last := len(data.Services) - 1
		if last < 0 || data.Services[last].Name != r.Service {
			data.Services = append(data.Services, pageService{Name: r.Service})
			last++
		}
		data.Services[last].Rows = append(data.Services[last].Rows, r)
	}
	for i := range data.Services {
		svg, err := plotBurnRates(data.Services[i].Rows)
		if err != nil {
			return eris.Wrapf(err, "plot burn of service %q", data.Services[i].Name)
		}
		data.Services[i].Plot = svg
	}
	return eris.Wrap(pageTemplate.Execute(w, data), "write burn page")
}

// plotBurnRates returns a bar chart of burn rate by window length, with one
// color per target.
func plotBurnRates(rows []Row) (template.HTML, error) {
	p := plot.New()
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	p.Legend.Top = true
	names := make([]string, len(WindowLengths))
	for i, length := range WindowLengths {
		names[i] = formatLength(length)
	}
	p.NominalX(names...)
	for i, r := range rows {
		bars, err := plotter.NewBarChart(r.burnRates(), barWidth)
		if err != nil {
			return "", eris.Wrap(err, "draw bars")
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * vg.Length(2*i-len(rows)+1) / 2
		p.Add(bars)
		p.Legend.Add(r.Target, bars)
	}
	return renderSVG(p)
}

// burnRates returns the burn rate for each element of Lengths.
func (r Row) burnRates() plotter.Values {
	values := make(plotter.Values, len(WindowLengths))
	for i, length := range WindowLengths {
		for _, w := range r.Windows {
			if w.Length == length {
				values[i] = w.BurnRate()
			}
		}
	}
	return values
}

func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var buffer bytes.Buffer
	if _, err := canvas.WriteTo(&buffer); err != nil {
		return "", eris.Wrap(err, "write plot")
	}
	svg := buffer.Bytes()
	if start := bytes.Index(svg, []byte("<svg")); start > 0 {
		svg = svg[start:] // strip the XML declaration, which is invalid inside HTML
	}
	return template.HTML(svg), nil
}
