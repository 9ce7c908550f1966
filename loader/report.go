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

// Report holds the results of a load.
type Report struct {
	// MeasuredSeconds is the duration of the load without the warm-up.
	MeasuredSeconds float64 `json:"measured-seconds"`
	Seed            uint64  `json:"seed"`
	Rate            float64 `json:"rate,omitempty"`
	Concurrency     int     `json:"concurrency,omitempty"`
	// Compared reports whether answers were compared with the expected ones.
	// If not, Mismatched is always 0.
	Compared bool         `json:"answers-compared"`
	Kinds    []KindReport `json:"kinds"`
}

// KindReport holds the results of one kind of call.
type KindReport struct {
	Kind    string `json:"kind"`
	Service string `json:"service"`
	Sent    int    `json:"sent"`
	// Skipped counts calls that were not sent because MaxOutstanding was
	// reached.
	Skipped int `json:"skipped"`
	// Repeats counts the repeated attempts of calls that were not run.
	Repeats int `json:"repeats"`
	// Verdicts counts calls by "answered", "not-run", "may-have-run", "ran"
	// and, for calls canceled by the caller, "hung-up".
	Verdicts map[string]int `json:"verdicts"`
	// Reasons counts failures by reason.
	Reasons map[string]int `json:"reasons,omitempty"`
	// Messages holds the error messages of the first failures.
	Messages []string `json:"messages,omitempty"`
	// Mismatched counts answers that differ from the expected ones.
	Mismatched int `json:"mismatched"`
	// Good counts correctly answered calls that met both of their targets.
	Good             int     `json:"good"`
	GoodShare        float64 `json:"good-share"`
	GoodputPerSecond float64 `json:"goodput-per-second"`
	OfferedPerSecond float64 `json:"offered-per-second"`
	TokensPerSecond  float64 `json:"tokens-per-second"`
	// FirstToken, BetweenTokens and Whole are the latencies of answered calls;
	// Whole is the time to the complete answer.
	FirstToken    Percentiles `json:"first-token-ms"`
	BetweenTokens Percentiles `json:"between-tokens-ms"`
	Whole         Percentiles `json:"whole-ms"`
}

// Percentiles holds the percentiles of a latency, in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

func (t *stats) report(s Settings, lasted time.Duration) *Report {
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

func (n *kindStats) report(seconds float64) KindReport {
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
		FirstToken:    newPercentiles(n.first),
		BetweenTokens: newPercentiles(n.between),
		Whole:         newPercentiles(n.whole),
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

func newPercentiles(h *hdrhistogram.Histogram) Percentiles {
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

// Mismatched returns the number of wrong answers of all kinds.
func (r *Report) Mismatched() int {
	total := 0
	for _, k := range r.Kinds {
		total += k.Mismatched
	}
	return total
}

// columnGap is the number of spaces between table columns.
const columnGap = 2

var tableHeader = []string{
	"KIND", "SENT", "VERDICTS", "WRONG", "GOOD/S", "GOOD", "FIRST P50/P95/P99 MS",
	"BETWEEN P50/P95/P99 MS", "WHOLE P50/P95 MS", "TOKENS/S",
}

// WriteTable writes the report as a text table.
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
		formatCounts(k.Verdicts),
		wrong,
		fmt.Sprintf("%.2f", k.GoodputPerSecond),
		fmt.Sprintf("%.1f%%", 100*k.GoodShare),
		k.FirstToken.format(true),
		k.BetweenTokens.format(true),
		k.Whole.format(false),
		fmt.Sprintf("%.0f", k.TokensPerSecond),
	}
}

func (r *Report) writeFailures(w io.Writer) error {
	for _, k := range r.Kinds {
		if len(k.Reasons) == 0 && k.Skipped == 0 {
			continue
		}
		if _, err := fmt.Fprintf(w, "%s: skipped %d, failures: %s\n", k.Kind, k.Skipped, formatCounts(k.Reasons)); err != nil {
			return err
		}
	}
	return nil
}

func (p Percentiles) format(long bool) string {
	switch {
	case p.Count == 0:
		return "-"
	case long:
		return fmt.Sprintf("%.1f / %.1f / %.1f", p.P50, p.P95, p.P99)
	default:
		return fmt.Sprintf("%.1f / %.1f", p.P50, p.P95)
	}
}

func formatCounts(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}
