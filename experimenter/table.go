package experimenter

import (
	"fmt"
	"slices"

	"github.com/jedib0t/go-pretty/v6/table"
)

// summary holds the median and the range of a metric over all seeds.
type summary struct {
	Median, Min, Max float64
}

func (p *Point) summarize(metric func(*Metrics) float64) summary {
	values := make([]float64, 0, len(p.Runs))
	for i := range p.Runs {
		values = append(values, metric(&p.Runs[i]))
	}
	slices.Sort(values)
	return summary{Median: values[len(values)/2], Min: values[0], Max: values[len(values)-1]}
}

func goodput(m *Metrics) float64 { return m.Goodput }

func wastedPrefill(m *Metrics) float64 { return m.WastedPrefill }

func urgentGoodShare(m *Metrics) float64 {
	return float64(m.UrgentGood) / float64(max(1, m.Urgent))
}

// Table formats the medians over all seeds as a Markdown table, with the range
// of goodput and wasted prefill.
func (r Result) Table() string {
	rows := make([][]string, 0, len(r.Points))
	for i := range r.Points {
		rows = append(rows, r.Points[i].row())
	}
	return markdownTable([]string{
		"mix", "policy", "load", "goodput /s", "good tokens /s", "wasted prefill", "urgent in target", "urgent first token p95 s",
		"patient first token p95 s", "hit share", "refused", "failed", "messages per request",
	}, rows)
}

// markdownTable formats a Markdown table.
func markdownTable(header []string, rows [][]string) string {
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
	median := func(metric func(*Metrics) float64) float64 { return p.summarize(metric).Median }
	goodputSummary, wastedSummary := p.summarize(goodput), p.summarize(wastedPrefill)
	return []string{
		p.Mix, p.Policy, fmt.Sprintf("%.1f", p.Load),
		fmt.Sprintf("%.2f (%.2f-%.2f)", goodputSummary.Median, goodputSummary.Min, goodputSummary.Max),
		fmt.Sprintf("%.0f", median(func(m *Metrics) float64 { return m.GoodTokens })),
		fmt.Sprintf("%.2f%% (%.2f-%.2f)", 100*wastedSummary.Median, 100*wastedSummary.Min, 100*wastedSummary.Max),
		fmt.Sprintf("%.1f%%", 100*median(urgentGoodShare)),
		fmt.Sprintf("%.2f", median(func(m *Metrics) float64 { return m.UrgentFirstToken95 })),
		fmt.Sprintf("%.2f", median(func(m *Metrics) float64 { return m.PatientFirstToken95 })),
		fmt.Sprintf("%.1f%%", 100*median(func(m *Metrics) float64 { return m.HitShare })),
		fmt.Sprintf("%.0f", median(func(m *Metrics) float64 { return float64(m.Refused) })),
		fmt.Sprintf("%.0f", median(func(m *Metrics) float64 { return float64(m.Failed) })),
		fmt.Sprintf("%.1f", median(func(m *Metrics) float64 { return m.MessagesPerRequest })),
	}
}
