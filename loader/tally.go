package loader

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Latencies from a microsecond to an hour are recorded.
	lowestMicros  = 1
	highestMicros = int64(time.Hour / time.Microsecond)
	// maxMessages bounds the failures whose messages are kept for each kind.
	maxMessages = 10
	// histogramDigits is the number of significant digits kept.
	histogramDigits = 3
)

// outcome is how one call went.
type outcome struct {
	call    Call
	failure *Failure
	matches bool
	repeats int
	first   time.Time // arrival of the first message of tokens
	last    time.Time // arrival of the last one
	tokens  uint32
	gaps    []gap
	ended   time.Time
}

// gap is the time per token of a message behind another.
type gap struct {
	perToken time.Duration
	tokens   uint32
}

// observe notes a message of tokens.
func (o *outcome) observe(tokens uint32) {
	now := time.Now()
	if o.first.IsZero() {
		o.first = now
	} else {
		o.gaps = append(o.gaps, gap{now.Sub(o.last) / time.Duration(tokens), tokens})
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

func (o *outcome) mayRepeat() bool {
	return o.failure != nil && o.failure.Verdict == verdictNotRun && o.failure.RetryAfter > 0
}

// meanGap is the mean time between the answer's tokens.
func (o *outcome) meanGap() time.Duration {
	if o.tokens < 2 {
		return 0
	}
	return o.last.Sub(o.first) / time.Duration(o.tokens-1)
}

// good tells whether the call was answered rightly within both targets.
func (o *outcome) good() bool {
	k := o.call.Kind
	if o.failure != nil || !o.matches {
		return false
	}
	if k.FirstToken > 0 && o.first.Sub(o.call.Arrival) > k.FirstToken {
		return false
	}
	return k.BetweenTokens == 0 || o.meanGap() <= k.BetweenTokens
}

// kindTally adds up the outcomes of one kind.
type kindTally struct {
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

// tally adds up outcomes. It is safe for use by several goroutines.
type tally struct {
	mu    sync.Mutex
	kinds []*kindTally
}

func newTally(mix []Kind) *tally {
	t := &tally{}
	for i := range mix {
		t.kinds = append(t.kinds, &kindTally{
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
	return hdrhistogram.New(lowestMicros, highestMicros, histogramDigits)
}

func (t *tally) of(k *Kind) *kindTally {
	for _, n := range t.kinds {
		if n.kind == k {
			return n
		}
	}
	return nil
}

// skip notes a call that was not sent, since too many were under way.
func (t *tally) skip(c Call, reported bool) {
	if !reported {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(c.Kind).skipped++
}

func (t *tally) enter(o *outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.of(o.call.Kind)
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
	n.enterLatencies(o)
}

func (n *kindTally) enterLatencies(o *outcome) {
	record(n.whole, o.ended.Sub(o.call.Arrival), 1)
	if o.first.IsZero() {
		return
	}
	record(n.first, o.first.Sub(o.call.Arrival), 1)
	for _, g := range o.gaps {
		record(n.between, g.perToken, int64(g.tokens))
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration, count int64) {
	micros := min(max(d.Microseconds(), lowestMicros), highestMicros)
	_ = h.RecordValues(micros, count) // the value is within the bounds
}
