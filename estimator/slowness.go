package estimator

import (
	"math"
	"time"
)

const (
	// slownessWeight is the weight of a call in an engine's slowness.
	slownessWeight = 0.3
	// slownessHalfLife is the time in which the slowness of an engine that completes no
	// calls halves on a logarithmic scale, so that it gets calls and is measured again.
	slownessHalfLife = 10 * time.Second
	// minSlowness is the least ratio that counts: queues and the load of an engine
	// explain lower ones.
	minSlowness = 3
	// maxSlownessSample limits the ratio that is taken from a call, and its inverse.
	maxSlownessSample = 32
)

// Slowness is how many times as long as expected an engine takes for its calls. The
// zero value has no samples.
type Slowness struct {
	log        float64 // natural logarithm of the ratio
	recordedAt time.Time
}

// Record adds a call that took ratio times as long as expected.
func (s *Slowness) Record(ratio float64, now time.Time) {
	sample := math.Log(max(1.0/maxSlownessSample, min(maxSlownessSample, ratio)))
	old := s.logAt(now)
	s.log = old + slownessWeight*(sample-old)
	s.recordedAt = now
}

// RecordAtLeast adds a call that was given up after ratio times as long as expected.
func (s *Slowness) RecordAtLeast(ratio float64, now time.Time) {
	if math.Log(ratio) > s.logAt(now) {
		s.Record(ratio, now)
	}
}

// At returns the ratio that is expected of a call. It is 1 for engines that aren't much
// slower than others, or have no samples.
func (s *Slowness) At(now time.Time) float64 {
	ratio := math.Exp(s.logAt(now))
	if ratio < minSlowness {
		return 1
	}
	return ratio
}

func (s *Slowness) logAt(now time.Time) float64 {
	age := now.Sub(s.recordedAt)
	return s.log * math.Exp2(-age.Seconds()/slownessHalfLife.Seconds())
}
