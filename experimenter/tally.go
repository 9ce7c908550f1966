package experimenter

import (
	"cmp"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// tally counts what happens in a run.
type tally struct {
	requests       []*request
	computed       float64 // prefill tokens
	wasted         float64
	prompt         float64 // tokens of prefilled prompts
	importRefusals int
	expired        int
	messages       int
	began          time.Duration
	cancels        int
}

func (t *tally) arrived(r *request) {
	t.requests = append(t.requests, r)
}

func (t *tally) prefilled(r *request, computed float64) {
	t.computed += computed
	t.prompt += float64(r.prompt)
}

// waste counts the prefill of an attempt that ends without an answer.
func (t *tally) waste(r *request) {
	t.wasted += r.computed
	r.computed = 0
}

// begin ends the warm-up: only what happens from now on counts.
func (t *tally) begin(now time.Duration) {
	requests := t.requests
	*t = tally{began: now}
	for _, r := range requests {
		if !r.over {
			t.requests = append(t.requests, r)
		}
	}
}

// sum gives the measured figures of a run.
func (t *tally) sum(duration time.Duration) Figures {
	f := Figures{Requests: len(t.requests)}
	var firsts, waits []float64
	for _, r := range t.requests {
		f.count(r)
		if r.first > 0 && r.kind.urgent {
			firsts = append(firsts, r.first.Seconds())
		}
		if r.first > 0 && !r.kind.urgent {
			waits = append(waits, r.first.Seconds())
		}
	}
	f.Goodput = float64(f.Good) / (duration - t.began).Seconds()
	f.GoodTokens /= (duration - t.began).Seconds()
	f.WastedPrefill = t.wasted / max(1, t.computed)
	f.HitShare = 1 - t.computed/max(1, t.prompt)
	f.UrgentFirstToken95 = percentile(firsts, 0.95)
	f.PatientFirstToken95 = percentile(waits, 0.95)
	f.ImportRefusals = t.importRefusals
	f.MessagesPerRequest = float64(t.messages) / float64(max(1, len(t.requests)))
	f.Cancels = t.cancels
	return f
}

func (f *Figures) count(r *request) {
	if r.kind.urgent && r.over {
		f.Urgent++
	}
	switch {
	case r.good():
		f.Good++
		f.GoodTokens += float64(r.prompt + r.output)
		if r.kind.urgent {
			f.UrgentGood++
		}
	case r.done:
		f.Late++
	case r.refused:
		f.Refused++
	case r.over:
		f.Failed++
	default:
		f.Unfinished++
	}
}

func percentile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(share*float64(len(values))))]
}

func sortedAttempts[V any](held map[identifier.Attempt]V) []identifier.Attempt {
	sorted := make([]identifier.Attempt, 0, len(held))
	for a := range held {
		sorted = append(sorted, a)
	}
	slices.SortFunc(sorted, func(a, b identifier.Attempt) int {
		return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Sequence, b.Sequence))
	})
	return sorted
}
