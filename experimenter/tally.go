package experimenter

import (
	"cmp"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// tally collects the requests and counters of a run.
type tally struct {
	requests       []*request
	computedTokens float64 // prefill tokens
	wastedTokens   float64
	promptTokens   float64 // tokens of prefilled prompts
	importRefusals int
	expired        int
	messages       int
	measuredFrom   time.Duration
	cancels        int
}

func (t *tally) addRequest(r *request) {
	t.requests = append(t.requests, r)
}

func (t *tally) addPrefill(r *request, computed float64) {
	t.computedTokens += computed
	t.promptTokens += float64(r.prompt)
}

// addWaste counts the prefill of an attempt that ended without a response.
func (t *tally) addWaste(r *request) {
	t.wastedTokens += r.computedTokens
	r.computedTokens = 0
}

// endWarmUp resets the counters and keeps only the requests still in progress, so
// that the metrics exclude the warm-up.
func (t *tally) endWarmUp(now time.Duration) {
	requests := t.requests
	*t = tally{measuredFrom: now}
	for _, r := range requests {
		if !r.ended {
			t.requests = append(t.requests, r)
		}
	}
}

// metrics computes the metrics of a run.
func (t *tally) metrics(duration time.Duration) Metrics {
	m := Metrics{Requests: len(t.requests)}
	var urgentTimes, patientTimes []float64
	for _, r := range t.requests {
		m.count(r)
		if r.timeToFirstToken > 0 && r.kind.urgent {
			urgentTimes = append(urgentTimes, r.timeToFirstToken.Seconds())
		}
		if r.timeToFirstToken > 0 && !r.kind.urgent {
			patientTimes = append(patientTimes, r.timeToFirstToken.Seconds())
		}
	}
	m.Goodput = float64(m.Good) / (duration - t.measuredFrom).Seconds()
	m.GoodTokens /= (duration - t.measuredFrom).Seconds()
	m.WastedPrefill = t.wastedTokens / max(1, t.computedTokens)
	m.HitShare = 1 - t.computedTokens/max(1, t.promptTokens)
	m.UrgentFirstToken95 = percentile(urgentTimes, 0.95)
	m.PatientFirstToken95 = percentile(patientTimes, 0.95)
	m.ImportRefusals = t.importRefusals
	m.MessagesPerRequest = float64(t.messages) / float64(max(1, len(t.requests)))
	m.Cancels = t.cancels
	return m
}

func (m *Metrics) count(r *request) {
	if r.kind.urgent && r.ended {
		m.Urgent++
	}
	switch {
	case r.meetsTargets():
		m.Good++
		m.GoodTokens += float64(r.prompt + r.output)
		if r.kind.urgent {
			m.UrgentGood++
		}
	case r.succeeded:
		m.Late++
	case r.refused:
		m.Refused++
	case r.ended:
		m.Failed++
	default:
		m.Unfinished++
	}
}

func percentile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(share*float64(len(values))))]
}

func sortedAttempts[V any](attempts map[identifier.Attempt]V) []identifier.Attempt {
	sorted := make([]identifier.Attempt, 0, len(attempts))
	for a := range attempts {
		sorted = append(sorted, a)
	}
	slices.SortFunc(sorted, func(a, b identifier.Attempt) int {
		return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Sequence, b.Sequence))
	})
	return sorted
}
