package estimator

import "math"

const (
	// MinSamples is the number of samples from which a statistic is used.
	MinSamples = 10
	// shortWindow and longWindow are approximate numbers of recent samples in a
	// statistic: short for what changes with the load, long for what has to be told
	// from noise.
	shortWindow = 10
	longWindow  = 150
	// maxSlopeError is the largest relative standard error at which a slope is
	// used.
	maxSlopeError = 0.2
)

// Average is a moving average and the mean absolute deviation from it. All
// samples have the same weight at first, and decaying ones later. The zero value
// has no samples.
type Average struct {
	Count           int
	Mean, Deviation float64
}

func (a *Average) add(v float64, window int) {
	a.Count++
	weight := 1 / float64(min(a.Count, window))
	if a.Count > 1 {
		a.Deviation += weight * (math.Abs(v-a.Mean) - a.Deviation)
	}
	a.Mean += weight * (v - a.Mean)
}

// Known reports whether there are enough samples.
func (a *Average) Known() bool {
	return a.Count >= MinSamples
}

// Regression is a linear regression of y over x. The zero value has no samples.
type Regression struct {
	Count            int
	X, Y, XX, XY, YY float64 // means of the samples and of their products
}

func (r *Regression) add(x, y float64) {
	r.Count++
	w := 1 / float64(min(r.Count, longWindow))
	r.X += w * (x - r.X)
	r.Y += w * (y - r.Y)
	r.XX += w * (x*x - r.XX)
	r.XY += w * (x*y - r.XY)
	r.YY += w * (y*y - r.YY)
}

// slope returns the slope of the fitted line. It is false if the relative
// standard error exceeds maxSlopeError or there are too few samples.
func (r *Regression) slope() (float64, bool) {
	xx, yy, xy := r.XX-r.X*r.X, r.YY-r.Y*r.Y, r.XY-r.X*r.Y
	if r.Count < MinSamples || xx <= 0 || yy <= 0 || xy <= 0 {
		return 0, false
	}
	explained := min(1, xy*xy/(xx*yy)) // coefficient of determination
	points := float64(min(r.Count, longWindow) - 2)
	relativeError := math.Sqrt((1 - explained) / explained / points)
	return xy / xx, relativeError <= maxSlopeError
}
