package reporter_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/reporter"
)

const desk = identifier.Service("dealer-desk")

var (
	start     = time.Date(2026, 12, 1, 5, 0, 30, 0, time.UTC)
	objective = reporter.Objective{
		FirstToken:    1600 * time.Millisecond,
		BetweenTokens: 47 * time.Millisecond,
		Share:         0.95,
	}
)

func newReporter() *reporter.Reporter {
	r := reporter.New()
	r.Configure(map[identifier.Service]reporter.Objective{desk: objective})
	return r
}

func find(t *testing.T, windows []reporter.Window, target string, length time.Duration) reporter.Window {
	t.Helper()
	for _, w := range windows {
		if w.Target == target && w.Length == length {
			return w
		}
	}
	t.Fatalf("no window of %s for target %s", length, target)
	return reporter.Window{}
}

func assertCounts(t *testing.T, w reporter.Window, good, total uint64) {
	t.Helper()
	is := is.New(t)
	is.Equal(w.Good, good)
	is.Equal(w.Total, total)
}

func TestRecord(t *testing.T) {
	r := newReporter()
	fast, slow := time.Second, 2*time.Second
	for _, s := range []reporter.Sample{
		{Outcome: reporter.OutcomeAnswered, FirstToken: fast, BetweenTokens: 47 * time.Millisecond},
		{Outcome: reporter.OutcomeAnswered, FirstToken: slow, BetweenTokens: 48 * time.Millisecond},
		{Outcome: reporter.OutcomeRefused},
		{Outcome: reporter.OutcomeFailed, FirstToken: fast},
		{Outcome: reporter.OutcomeCanceled, FirstToken: fast},
		{Outcome: reporter.OutcomeInvalid, FirstToken: fast},
	} {
		s.Service = desk
		r.Record(s, start)
	}
	windows := r.Windows(start)
	assertCounts(t, find(t, windows, "first-token", time.Hour), 3, 4)
	assertCounts(t, find(t, windows, "between-tokens", time.Hour), 1, 2)
	assertCounts(t, find(t, windows, "availability", time.Hour), 2, 4)
	assertCounts(t, find(t, windows, "completion", time.Hour), 2, 3)
	r.Record(reporter.Sample{Service: "other"}, start)
	is.New(t).Equal(r.Unknown(), uint64(1))
}

func TestWindowsExpireSamples(t *testing.T) {
	r := newReporter()
	refusedSample := reporter.Sample{Service: desk, Outcome: reporter.OutcomeRefused}
	r.Record(refusedSample, start)
	for _, length := range reporter.WindowLengths {
		inside := r.Windows(start.Add(length - time.Minute))
		assertCounts(t, find(t, inside, "availability", length), 0, 1)
		outside := r.Windows(start.Add(length))
		assertCounts(t, find(t, outside, "availability", length), 0, 0)
	}
	day := start.Add(24 * time.Hour)
	r.Record(refusedSample, day)
	r.Record(refusedSample, start) // dropped, since a later minute uses its slot
	assertCounts(t, find(t, r.Windows(day), "availability", 24*time.Hour), 0, 1)
}

func TestBurnRate(t *testing.T) {
	is := is.New(t)
	is.Equal(reporter.Window{Objective: 0.5, Good: 3, Total: 4}.BurnRate(), 0.5)
	is.Equal(reporter.Window{Objective: 0.5}.BurnRate(), 0.0)
	is.Equal(reporter.Window{Objective: 1, Good: 3, Total: 4}.BurnRate(), reporter.MaxBurnRate)
	is.Equal(reporter.Window{Objective: 1, Good: 4, Total: 4}.BurnRate(), 0.0)
}

func TestLevel(t *testing.T) {
	row := func(now time.Time) reporter.Row {
		r := newReporter()
		r.Record(reporter.Sample{Service: desk, Outcome: reporter.OutcomeRefused}, start)
		return reporter.Rows(r.Windows(now))[0] // sorted by target: availability comes first
	}
	is := is.New(t)
	is.Equal(row(start).Level(), reporter.LevelFastBurn)
	is.Equal(row(start.Add(10*time.Minute)).Level(), reporter.LevelSlowBurn)
	is.Equal(row(start.Add(time.Hour)).Level(), reporter.LevelOK)
}

func TestConfigureKeepsCounts(t *testing.T) {
	r := newReporter()
	r.Record(reporter.Sample{Service: desk, Outcome: reporter.OutcomeAnswered}, start)
	r.Configure(map[identifier.Service]reporter.Objective{desk: {Share: 0.9}, "note-writer": {}})
	windows := r.Windows(start)
	assertCounts(t, find(t, windows, "availability", time.Hour), 1, 1)
	is.New(t).Equal(len(windows), 2*2*len(reporter.WindowLengths))
}

func TestMergeAndWire(t *testing.T) {
	is := is.New(t)
	r := newReporter()
	r.Record(reporter.Sample{Service: desk, Outcome: reporter.OutcomeAnswered, FirstToken: time.Second}, start)
	windows := r.Windows(start)
	decoded := reporter.FromWire(reporter.ToWire(windows))
	is.Equal(decoded, windows)
	merged := reporter.Merge(windows, decoded)
	is.Equal(len(merged), len(windows))
	assertCounts(t, find(t, merged, "first-token", time.Hour), 2, 2)
}

func TestConcurrentRecord(t *testing.T) {
	const goroutines, samples = 8, 1400
	r := newReporter()
	g := grouper.New(t.Context())
	for range goroutines {
		g.Go(func(context.Context) error {
			for n := range samples {
				now := start.Add(time.Duration(n) * time.Minute)
				r.Record(reporter.Sample{Service: desk, Outcome: reporter.OutcomeAnswered}, now)
			}
			return nil
		})
	}
	is.New(t).NoErr(g.Wait())
	end := start.Add(samples * time.Minute)
	assertCounts(t, find(t, r.Windows(end), "availability", 24*time.Hour), goroutines*samples, goroutines*samples)
}

func TestWriters(t *testing.T) {
	const hostile = `<script>alert("x")</script>`
	windows := []reporter.Window{
		{Service: hostile, Target: hostile, Length: time.Hour, Good: 1, Total: 2, Objective: 0.9},
		{Service: desk, Target: "first-token", Length: time.Hour, Good: 1, Total: 4, Objective: 0.95},
	}
	t.Run("html", func(t *testing.T) {
		is := is.New(t)
		var page bytes.Buffer
		is.NoErr(reporter.WriteHTML(&page, windows, start))
		is.True(!strings.Contains(page.String(), "<script"))
		is.Equal(strings.Count(page.String(), "<svg"), 2)
		is.True(strings.Contains(page.String(), ">15.00<"))
	})
	t.Run("html without services", func(t *testing.T) {
		is := is.New(t)
		var page bytes.Buffer
		is.NoErr(reporter.WriteHTML(&page, nil, start))
		is.True(strings.Contains(page.String(), "No service"))
	})
	t.Run("json", func(t *testing.T) {
		is := is.New(t)
		var text bytes.Buffer
		is.NoErr(reporter.WriteJSON(&text, windows))
		var list []map[string]any
		is.NoErr(json.Unmarshal(text.Bytes(), &list))
		is.Equal(len(list), 2)
		is.Equal(list[1]["service"], string(desk))
		is.Equal(list[1]["window-ms"], 3600000.0)
	})
}

func BenchmarkRecord(b *testing.B) {
	r := newReporter()
	sample := reporter.Sample{Service: desk, Outcome: reporter.OutcomeAnswered, FirstToken: time.Second, BetweenTokens: time.Millisecond}
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			r.Record(sample, start)
		}
	})
}
