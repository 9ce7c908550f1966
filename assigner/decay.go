package assigner

import (
	"math"
	"time"
)

// halfLives are the times in which a reported slowdown may lose half of its weight.
var halfLives = [...]time.Duration{20 * time.Millisecond, 80 * time.Millisecond, 320 * time.Millisecond, 1280 * time.Millisecond}

const (
	// initialHalfLife is the index of the half life that is used first.
	initialHalfLife = 1
	// errorWeight is the weight of a report in the moving averages of errors.
	errorWeight = 0.02
	// maxLearnedAge is the age from which a report isn't compared to the next one.
	maxLearnedAge = 2 * time.Second
)

// sample is a slowdown that was reported at a time. The zero value is none.
type sample struct {
	value float64
	at    time.Time
}

// decay predicts slowdowns from reports by their age. The zero value has learned
// nothing.
type decay struct {
	errors  [len(halfLives)]float64 // of each half life, on a logarithmic scale
	learned bool
}

// learn compares what an earlier report predicts at each half life to the next one.
func (d *decay) learn(earlier sample, value float64, now time.Time) {
	if earlier.value == 0 || now.Sub(earlier.at) > maxLearnedAge {
		return
	}
	d.learned = true
	for i, h := range halfLives {
		off := math.Log(earlier.after(now, h) / value)
		d.errors[i] += errorWeight * (off*off - d.errors[i])
	}
}

// halfLife returns the half life that has predicted best.
func (d *decay) halfLife() time.Duration {
	if !d.learned {
		return halfLives[initialHalfLife]
	}
	best := 0
	for i, e := range d.errors {
		if e < d.errors[best] {
			best = i
		}
	}
	return halfLives[best]
}

// predict returns the slowdown that is expected now; 1 without a report.
func (d *decay) predict(s sample, now time.Time) float64 {
	if s.value == 0 {
		return 1
	}
	return s.after(now, d.halfLife())
}

// after returns the slowdown as weighted by its age; it tends to 1 on a logarithmic scale.
func (s sample) after(now time.Time, halfLife time.Duration) float64 {
	return math.Pow(s.value, halved(now.Sub(s.at), halfLife))
}

// halved returns the weight of what has an age; negative ages count as none.
func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, age.Seconds()) / halfLife.Seconds())
}
