package router

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// pointsPerEndpoint is how often an endpoint appears on the ring.
const pointsPerEndpoint = 32

// point is one appearance of an endpoint on the ring.
type point struct {
	hash     uint64
	endpoint int32
}

// Ring maps keys to endpoints by consistent hashing, so that an endpoint that
// comes or goes moves only its own keys. It is never changed.
type Ring struct {
	points []point
	// starts holds, for each value of the leading bits of a hash, the first
	// point at or after it; it makes a look-up independent of the ring's size.
	starts []int32
	shift  uint
}

// NewRing builds the ring of the named endpoints; the number of an endpoint
// is its place in the list.
func NewRing(endpoints []identifier.Endpoint) *Ring {
	r := &Ring{points: make([]point, 0, len(endpoints)*pointsPerEndpoint)}
	for i, name := range endpoints {
		base := xxhash.Sum64String(string(name))
		for n := range uint64(pointsPerEndpoint) {
			r.points = append(r.points, point{hash: mix(base + n), endpoint: int32(i)})
		}
	}
	slices.SortFunc(r.points, comparePoints)
	r.index()
	return r
}

func comparePoints(a, b point) int {
	switch {
	case a.hash < b.hash:
		return -1
	case a.hash > b.hash:
		return 1
	default:
		return int(a.endpoint - b.endpoint)
	}
}

func (r *Ring) index() {
	leading := bits.Len(uint(len(r.points)))
	r.shift = uint(64 - leading)
	r.starts = make([]int32, 1<<leading)
	next := 0
	for i := range r.starts {
		for next < len(r.points) && r.points[next].hash>>r.shift < uint64(i) {
			next++
		}
		r.starts[i] = int32(next)
	}
}

// Find gives the place on the ring of the first point at or after the key.
func (r *Ring) find(key uint64) int {
	if len(r.points) == 0 {
		return 0
	}
	place := int(r.starts[key>>r.shift])
	for place < len(r.points) && r.points[place].hash < key {
		place++
	}
	return place % len(r.points)
}

// mix spreads a number over all bits (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
