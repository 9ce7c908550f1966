package experimenter

import (
	"fmt"
	"slices"

	"github.com/jedib0t/go-pretty/v6/table"
)

// spread is the median and the range of a figure over seeds.
type spread struct {
	Median, Least, Most float64
}

func (p *Point) spread(of func(*Figures) float64) spread {
	values := make([]float64, 0, len(p.Runs))
	for i := range p.Runs {
		values = append(values, of(&p.Runs[i]))
	}
	slices.Sort(values)
	return spread{Median: values[len(values)/2], Least: values[0], Most: values[len(values)-1]}
}

func goodput(f *Figures) float64 { return f.Goodput }

func wastedPrefill(f *Figures) float64 { return f.WastedPrefill }

func urgentGood(f *Figures) float64 {
	return float64(f.UrgentGood) / float64(max(1, f.Urgent))
}

// Table gives the medians over seeds as a Markdown table, with the range of
// goodput and wasted prefill.
func (r Result) Table() string {
	rows := make([][]string, 0, len(r.Points))
	for i := range r.Points {
		rows = append(rows, r.Points[i].row())
	}
	return markdown([]string{
		"mix", "policy", "load", "goodput /s", "good tokens /s", "wasted prefill", "urgent in target", "urgent first token p95 s",
		"patient first token p95 s", "hit share", "refused", "failed", "messages per request",
	}, rows)
}

// markdown gives a Markdown table.
func markdown(header []string, rows [][]string) string {
	t := table.NewWriter()
	t.AppendHeader(tableRow(header))
	for _, row := range rows {
		t.AppendRow(tableRow(row))
	}
	return t.RenderMarkdown() + "\n"
}

func tableRow(cells []string) table.Row {
	row := make(table.Row, 0, len(cells))
	for _, cell := range cells {
		row = append(row, cell)
	}
	return row
}

func (p *Point) row() []string {
	median := func(of func(*Figures) float64) float64 { return p.spread(of).Median }
	good, wasted := p.spread(goodput), p.spread(wastedPrefill)
	return []string{
		p.Mix, p.Policy, fmt.Sprintf("%.1f", p.Load),
		fmt.Sprintf("%.2f (%.2f-%.2f)", good.Median, good.Least, good.Most),
		fmt.Sprintf("%.0f", median(func(f *Figures) float64 { return f.GoodTokens })),
		fmt.Sprintf("%.2f%% (%.2f-%.2f)", 100*wasted.Median, 100*wasted.Least, 100*wasted.Most),
		fmt.Sprintf("%.1f%%", 100*median(urgentGood)),
		fmt.Sprintf("%.2f", median(func(f *Figures) float64 { return f.UrgentFirstToken95 })),
		fmt.Sprintf("%.2f", median(func(f *Figures) float64 { return f.PatientFirstToken95 })),
		fmt.Sprintf("%.1f%%", 100*median(func(f *Figures) float64 { return f.HitShare })),
		fmt.Sprintf("%.0f", median(func(f *Figures) float64 { return float64(f.Refused) })),
		fmt.Sprintf("%.0f", median(func(f *Figures) float64 { return float64(f.Failed) })),
		fmt.Sprintf("%.1f", median(func(f *Figures) float64 { return f.MessagesPerRequest })),
	}
}
