package loader

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Recorded latencies are clamped to 1 microsecond to 1 hour.
	minLatencyMicros = 1
	maxLatencyMicros = int64(time.Hour / time.Microsecond)
	// maxMessages limits the error messages kept per kind.
	maxMessages = 10
	// histogramDigits is the number of significant digits of the histograms.
	histogramDigits = 3
)

// outcome holds the result and timings of a call.
type outcome struct {
	call    Call
	failure *Failure
	matches bool
	repeats int
	first   time.Time // arrival of the first message with tokens
	last    time.Time // arrival of the last one
	tokens  uint32
	gaps    []tokenGap
	ended   time.Time
}

// tokenGap is the time per token between a message and the previous one.
type tokenGap struct {
	perToken time.Duration
	tokens   uint32
}

// observe records the arrival of a message with tokens.
func (o *outcome) observe(tokens uint32) {
	now := time.Now()
	if o.first.IsZero() {
		o.first = now
	} else {
		o.gaps = append(o.gaps, tokenGap{now.Sub(o.last) / time.Duration(tokens), tokens})
	}
	o.last = now
	o.tokens += tokens
}

func (o *outcome) verdict() string {
	if o.failure == nil {
		return verdictAnswered
	}
	return o.failure.Verdict
}

func (o *outcome) repeatable() bool {
	return o.failure != nil && o.failure.Verdict == verdictNotRun && o.failure.RetryAfter > 0
}

// meanTimeBetweenTokens returns 0 for fewer than two tokens.
func (o *outcome) meanTimeBetweenTokens() time.Duration {
	if o.tokens < 2 {
		return 0
	}
	return o.last.Sub(o.first) / time.Duration(o.tokens-1)
}

// good reports whether the call was answered correctly and met both targets.
func (o *outcome) good() bool {
	k := o.call.Kind
	if o.failure != nil || !o.matches {
		return false
	}
	if k.FirstToken > 0 && o.first.Sub(o.call.Arrival) > k.FirstToken {
		return false
	}
	return k.BetweenTokens == 0 || o.meanTimeBetweenTokens() <= k.BetweenTokens
}

// kindStats aggregates the outcomes of one kind of call.
type kindStats struct {
	kind       *Kind
	sent       int
	skipped    int
	repeats    int
	verdicts   map[string]int
	reasons    map[string]int
	messages   []string
	mismatched int
	good       int
	tokens     uint64
	first      *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	whole      *hdrhistogram.Histogram
}

// stats aggregates outcomes. It is safe for concurrent use.
type stats struct {
	mu    sync.Mutex
	kinds []*kindStats
}

func newStats(mix []Kind) *stats {
	t := &stats{}
	for i := range mix {
		t.kinds = append(t.kinds, &kindStats{
			kind:     &mix[i],
			verdicts: make(map[string]int),
			reasons:  make(map[string]int),
			first:    newHistogram(),
			between:  newHistogram(),
			whole:    newHistogram(),
		})
	}
	return t
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, histogramDigits)
}

func (t *stats) forKind(k *Kind) *kindStats {
	for _, n := range t.kinds {
		if n.kind == k {
			return n
		}
	}
	return nil
}

// recordSkipped counts a call that was not sent because MaxOutstanding was
// reached.
func (t *stats) recordSkipped(c Call, reported bool) {
	if !reported {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forKind(c.Kind).skipped++
}

func (t *stats) recordOutcome(o *outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.forKind(o.call.Kind)
	n.sent++
	n.repeats += o.repeats
	n.tokens += uint64(o.tokens)
	n.verdicts[o.verdict()]++
	if o.verdict() == verdictHungUp {
		return
	}
	if o.failure != nil {
		n.reasons[o.failure.Reason]++
		if len(n.messages) < maxMessages {
			n.messages = append(n.messages, o.failure.Message)
		}
		return
	}
	if !o.matches {
		n.mismatched++
	}
	if o.good() {
		n.good++
	}
	n.recordLatencies(o)
}

func (n *kindStats) recordLatencies(o *outcome) {
	recordLatency(n.whole, o.ended.Sub(o.call.Arrival), 1)
	if o.first.IsZero() {
		return
	}
	recordLatency(n.first, o.first.Sub(o.call.Arrival), 1)
	for _, g := range o.gaps {
		recordLatency(n.between, g.perToken, int64(g.tokens))
	}
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration, count int64) {
	micros := min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros)
	_ = h.RecordValues(micros, count) // never fails, because the value is clamped
}
