package reserver

import (
	"math"
	"time"
)

const (
	// readingWeight is the weight of one prefill in the means.
	readingWeight = 0.1
	// decodeStart passes from the end of a prefill to the first event.
	decodeStart = 50 * time.Millisecond
	// usualFirstEvent is the FirstEventTime of a usual prompt.
	usualFirstEvent = 350 * time.Millisecond
	// longestDelay bounds how much longer than usualFirstEvent a first event is
	// expected to take.
	longestDelay = 400 * time.Millisecond
)

// readingTime is how long prompts take of late, from the grant of room to the
// end of the prefill. The zero value has seen none.
type readingTime struct {
	mean, deviation float64 // seconds
}

func (r *readingTime) add(took time.Duration) {
	seconds := took.Seconds()
	if r.mean == 0 {
		r.mean = seconds
	}
	r.deviation += readingWeight * (math.Abs(seconds-r.mean) - r.deviation)
	r.mean += readingWeight * (seconds - r.mean)
}

// delay gives how much longer than usualFirstEvent the next first event should
// take: requests have to start so much earlier to be on time.
func (r *readingTime) delay() time.Duration {
	likely := time.Duration((r.mean + r.deviation) * float64(time.Second))
	return min(longestDelay, max(0, likely+decodeStart-usualFirstEvent))
}

// answerPace is how long answers take of late, as a part of what was expected of
// them. The zero value expects the expected.
type answerPace struct {
	seen  bool
	ratio float64
}

func (p *answerPace) add(took, expected time.Duration) {
	ratio := took.Seconds() / expected.Seconds()
	if !p.seen {
		p.seen, p.ratio = true, ratio
	}
	p.ratio += readingWeight * (ratio - p.ratio)
}

// takes gives how long an answer should take of which expected is expected.
func (p *answerPace) takes(expected time.Duration) time.Duration {
	if !p.seen {
		return expected
	}
	return time.Duration(p.ratio * float64(expected))
}
