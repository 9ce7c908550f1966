package reserver

import (
	"math"
	"time"
)

const (
	// latencyWeight is the weight of one sample in the moving averages.
	latencyWeight = 0.1
	// decodeStartup is the time from the end of a prefill to the first event.
	decodeStartup = 50 * time.Millisecond
	// typicalFirstEvent is the ExpectedTimeToFirstEvent of a typical prompt.
	typicalFirstEvent = 350 * time.Millisecond
	// maxExcess caps prefillLatency.excess.
	maxExcess = 400 * time.Millisecond
)

// prefillLatency is a moving average of the time from a grant to the end of its
// prefill. The zero value has no samples.
type prefillLatency struct {
	mean, deviation float64 // seconds
}

func (r *prefillLatency) add(took time.Duration) {
	seconds := took.Seconds()
	if r.mean == 0 {
		r.mean = seconds
	}
	r.deviation += latencyWeight * (math.Abs(seconds-r.mean) - r.deviation)
	r.mean += latencyWeight * (seconds - r.mean)
}

// excess returns how much longer than typicalFirstEvent the next first event is
// expected to take. Requests have to start that much earlier to be on time.
func (r *prefillLatency) excess() time.Duration {
	likely := time.Duration((r.mean + r.deviation) * float64(time.Second))
	return min(maxExcess, max(0, likely+decodeStartup-typicalFirstEvent))
}

// responsePace is a moving average of the ratio of actual to expected response
// times. The zero value has a ratio of 1.
type responsePace struct {
	seen  bool
	ratio float64
}

func (p *responsePace) add(took, expected time.Duration) {
	ratio := took.Seconds() / expected.Seconds()
	if !p.seen {
		p.seen, p.ratio = true, ratio
	}
	p.ratio += latencyWeight * (ratio - p.ratio)
}

// estimate scales an expected response time by the measured ratio.
func (p *responsePace) estimate(expected time.Duration) time.Duration {
	if !p.seen {
		return expected
	}
	return time.Duration(p.ratio * float64(expected))
}
