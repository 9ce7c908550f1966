package loader

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report tells how a system did under load.
type Report struct {
	// MeasuredSeconds is the time in which reported calls were sent.
	MeasuredSeconds float64 `json:"measured-seconds"`
	Seed            uint64  `json:"seed"`
	Rate            float64 `json:"rate,omitempty"`
	Concurrency     int     `json:"concurrency,omitempty"`
	// Compared tells whether answers were compared with what they had to be;
	// if not, Mismatched is always 0.
	Compared bool         `json:"answers-compared"`
	Kinds    []KindReport `json:"kinds"`
}

// KindReport is a report on one kind of call.
type KindReport struct {
	Kind    string `json:"kind"`
	Service string `json:"service"`
	// Sent calls, and those left out since too many were under way.
	Sent    int `json:"sent"`
	Skipped int `json:"skipped"`
	// Repeats that callers made after a call was not run.
	Repeats int `json:"repeats"`
	// Verdicts counts calls by "answered", "not-run", "may-have-run", "ran"
	// and "hung-up" for those whose caller went away.
	Verdicts map[string]int `json:"verdicts"`
	// Reasons counts the failures by reason.
	Reasons map[string]int `json:"reasons,omitempty"`
	// Messages are those of the first failures, for people.
	Messages []string `json:"messages,omitempty"`
	// Mismatched answers differ from what they had to be.
	Mismatched int `json:"mismatched"`
	// Good calls met both of their targets.
	Good             int     `json:"good"`
	GoodShare        float64 `json:"good-share"`
	GoodputPerSecond float64 `json:"goodput-per-second"`
	OfferedPerSecond float64 `json:"offered-per-second"`
	TokensPerSecond  float64 `json:"tokens-per-second"`
	// Latencies of answered calls, in milliseconds.
	FirstToken    Percentiles `json:"first-token-ms"`
	BetweenTokens Percentiles `json:"between-tokens-ms"`
	Whole         Percentiles `json:"whole-ms"`
}

// Percentiles of a latency, in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

func (t *tally) report(s Settings, lasted time.Duration) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Report{
		MeasuredSeconds: max(0, lasted-s.Warmup).Seconds(),
		Seed:            s.Seed,
		Rate:            s.Rate,
		Concurrency:     s.Concurrency,
	}
	for _, n := range t.kinds {
		r.Kinds = append(r.Kinds, n.report(r.MeasuredSeconds))
	}
	return r
}

func (n *kindTally) report(seconds float64) KindReport {
	r := KindReport{
		Kind:          n.kind.Name,
		Service:       n.kind.Service,
		Sent:          n.sent,
		Skipped:       n.skipped,
		Repeats:       n.repeats,
		Verdicts:      n.verdicts,
		Reasons:       n.reasons,
		Messages:      n.messages,
		Mismatched:    n.mismatched,
		Good:          n.good,
		FirstToken:    percentilesOf(n.first),
		BetweenTokens: percentilesOf(n.between),
		Whole:         percentilesOf(n.whole),
	}
	offered := n.sent + n.skipped
	if offered > 0 {
		r.GoodShare = float64(n.good) / float64(offered)
	}
	if seconds > 0 {
		r.GoodputPerSecond = float64(n.good) / seconds
		r.OfferedPerSecond = float64(offered) / seconds
		r.TokensPerSecond = float64(n.tokens) / seconds
	}
	return r
}

func percentilesOf(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return millis(h.ValueAtQuantile(q)) }
	return Percentiles{
		Count: h.TotalCount(),
		P50:   at(50), P90: at(90), P95: at(95), P99: at(99),
		Max: millis(h.Max()),
	}
}

func millis(micros int64) float64 {
	return float64(micros) / 1000
}

// Mismatched counts the answers of all kinds that were wrong.
func (r *Report) Mismatched() int {
	total := 0
	for _, k := range r.Kinds {
		total += k.Mismatched
	}
	return total
}

// columnGap is the space between a table's columns.
const columnGap = 2

// tableHeader names the columns of the table.
var tableHeader = []string{
	"KIND", "SENT", "VERDICTS", "WRONG", "GOOD/S", "GOOD", "FIRST P50/P95/P99 MS",
	"BETWEEN P50/P95/P99 MS", "WHOLE P50/P95 MS", "TOKENS/S",
}

// WriteTable writes the report as a table for people.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	rows := [][]string{tableHeader}
	for i := range r.Kinds {
		rows = append(rows, r.Kinds[i].row(r.Compared))
	}
	for _, row := range rows {
		if _, err := fmt.Fprintln(t, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return r.writeFailures(w)
}

func (k *KindReport) row(compared bool) []string {
	wrong := "not compared"
	if compared {
		wrong = fmt.Sprint(k.Mismatched)
	}
	return []string{
		k.Kind,
		fmt.Sprint(k.Sent),
		countsText(k.Verdicts),
		wrong,
		fmt.Sprintf("%.2f", k.GoodputPerSecond),
		fmt.Sprintf("%.1f%%", 100*k.GoodShare),
		k.FirstToken.text(true),
		k.BetweenTokens.text(true),
		k.Whole.text(false),
		fmt.Sprintf("%.0f", k.TokensPerSecond),
	}
}

func (r *Report) writeFailures(w io.Writer) error {
	for _, k := range r.Kinds {
		if len(k.Reasons) == 0 && k.Skipped == 0 {
			continue
		}
		if _, err := fmt.Fprintf(w, "%s: skipped %d, failures: %s\n", k.Kind, k.Skipped, countsText(k.Reasons)); err != nil {
			return err
		}
	}
	return nil
}

func (p Percentiles) text(long bool) string {
	switch {
	case p.Count == 0:
		return "-"
	case long:
		return fmt.Sprintf("%.1f / %.1f / %.1f", p.P50, p.P95, p.P99)
	default:
		return fmt.Sprintf("%.1f / %.1f", p.P50, p.P95)
	}
}

func countsText(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}
