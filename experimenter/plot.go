package experimenter

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth     = 16 * vg.Centimeter
	plotHeight    = 10 * vg.Centimeter
	directoryMode = 0o755
)

// Plot writes SVG plots of goodput and of wasted prefill over load, one of each
// per mix, to a directory.
func (r Result) Plot(path string) error {
	if err := os.MkdirAll(path, directoryMode); err != nil {
		return eris.Wrapf(err, "failed to create directory %q", path)
	}
	for _, m := range r.mixes() {
		name := filepath.Join(path, m+"-goodput.svg")
		if err := r.plot(name, m, "goodput, requests/s", goodput, 1); err != nil {
			return err
		}
		name = filepath.Join(path, m+"-wasted-prefill.svg")
		if err := r.plot(name, m, "wasted prefill, %", wastedPrefill, 100); err != nil {
			return err
		}
	}
	return nil
}

func (r Result) mixes() []string {
	var names []string
	for i := range r.Points {
		if len(names) == 0 || names[len(names)-1] != r.Points[i].Mix {
			names = append(names, r.Points[i].Mix)
		}
	}
	return names
}

func (r Result) plot(file, mix, label string, metric func(*Metrics) float64, factor float64) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: median over seeds", mix)
	p.X.Label.Text = "load, multiples of capacity"
	p.Y.Label.Text = label
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	if err := plotutil.AddLinePoints(p, r.plotLines(mix, metric, factor)...); err != nil {
		return eris.Wrapf(err, "failed to create plot %q", file)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return eris.Wrapf(err, "failed to write plot %q", file)
	}
	return nil
}

// plotLines returns alternating policy names and data points, as
// plotutil.AddLinePoints expects them.
func (r Result) plotLines(mix string, metric func(*Metrics) float64, factor float64) []any {
	var lines []any
	var current plotter.XYs
	flush := func(policy string) {
		lines = append(lines, policy, current)
		current = nil
	}
	for i := range r.Points {
		p := &r.Points[i]
		if p.Mix != mix {
			continue
		}
		current = append(current, plotter.XY{X: p.Load, Y: factor * p.summarize(metric).Median})
		last := i == len(r.Points)-1 || r.Points[i+1].Policy != p.Policy || r.Points[i+1].Mix != mix
		if last {
			flush(p.Policy)
		}
	}
	return lines
}
