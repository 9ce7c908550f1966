package admitter

import (
	"math"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

const (
	// sizesPerOctave is the number of size classes per doubling of memory.
	sizesPerOctave = 2
	// sizeClassWeight and overallWeight are the weights of one request in the
	// moving averages of its size class and of all requests.
	sizeClassWeight = 0.1
	overallWeight   = 0.05
	// minRelativeGrantRate is the grant rate, relative to the overall one, below
	// which a size class counts as underserved.
	minRelativeGrantRate = 0.6
)

// sizeClass groups requests that need about the same amount of memory, on a
// logarithmic scale.
type sizeClass int

func sizeClassOf(t identifier.Tokens) sizeClass {
	return sizeClass(math.Round(sizesPerOctave * math.Log2(float64(max(1, t)))))
}

// fairness tracks the grant rate of each size class. The zero value is ready for
// use.
type fairness struct {
	overall grantRate
	bySize  map[sizeClass]*grantRate
}

// grantRate is a moving average of the share of requests that were granted. It
// stores the refused share, so that the zero value is a rate of 1.
type grantRate struct {
	refusedShare float64
}

func (s *grantRate) add(granted bool, weight float64) {
	refused := 1.0
	if granted {
		refused = 0
	}
	s.refusedShare += weight * (refused - s.refusedShare)
}

// add records whether a request of t tokens was granted.
func (f *fairness) add(t identifier.Tokens, granted bool) {
	f.overall.add(granted, overallWeight)
	if f.bySize == nil {
		f.bySize = map[sizeClass]*grantRate{}
	}
	s := f.bySize[sizeClassOf(t)]
	if s == nil {
		s = &grantRate{}
		f.bySize[sizeClassOf(t)] = s
	}
	s.add(granted, sizeClassWeight)
}

// underserved reports whether the grant rate of t's size class is far below the
// overall rate.
func (f *fairness) underserved(t identifier.Tokens) bool {
	s := f.bySize[sizeClassOf(t)]
	return s != nil && 1-s.refusedShare < minRelativeGrantRate*(1-f.overall.refusedShare)
}

// grantRateOf returns the grant rate of t's size class, 1 if it has no samples.
func (f *fairness) grantRateOf(t identifier.Tokens) float64 {
	if s := f.bySize[sizeClassOf(t)]; s != nil {
		return 1 - s.refusedShare
	}
	return 1
}
