package admitter

import (
	"math"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

const (
	// sizesPerOctave is how finely requests are told apart by their size.
	sizesPerOctave = 2
	// sizeWeight and allWeight are those of one request in the share of its
	// size and in that of all.
	sizeWeight = 0.1
	allWeight  = 0.05
	// fairShare is what part of the share of all requests each size should get.
	fairShare = 0.6
)

// size is a class of requests that take about the same memory.
type size int

func sizeOf(t identifier.Tokens) size {
	return size(math.Round(sizesPerOctave * math.Log2(float64(max(1, t)))))
}

// fairness holds which share of the requests of each size is given room. The
// zero value has seen none.
type fairness struct {
	all    share
	bySize map[size]*share
}

// share is the part of requests that were given room, as a moving mean. The
// zero value says that all were.
type share struct {
	refused float64
}

func (s *share) add(granted bool, weight float64) {
	refused := 1.0
	if granted {
		refused = 0
	}
	s.refused += weight * (refused - s.refused)
}

// add notes whether a request was given room.
func (f *fairness) add(t identifier.Tokens, granted bool) {
	f.all.add(granted, allWeight)
	if f.bySize == nil {
		f.bySize = map[size]*share{}
	}
	s := f.bySize[sizeOf(t)]
	if s == nil {
		s = &share{}
		f.bySize[sizeOf(t)] = s
	}
	s.add(granted, sizeWeight)
}

// underserved tells whether requests of this size get much less than all.
func (f *fairness) underserved(t identifier.Tokens) bool {
	s := f.bySize[sizeOf(t)]
	return s != nil && 1-s.refused < fairShare*(1-f.all.refused)
}

// share gives the part of the requests of this size that are given room.
func (f *fairness) share(t identifier.Tokens) float64 {
	if s := f.bySize[sizeOf(t)]; s != nil {
		return 1 - s.refused
	}
	return 1
}
