package router

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// virtualNodesPerEndpoint is the number of virtual nodes of each endpoint.
const virtualNodesPerEndpoint = 32

// virtualNode is one position of an endpoint on the ring.
type virtualNode struct {
	hash     uint64
	endpoint int32
}

// Ring maps keys to endpoints by consistent hashing, so that adding or removing
// an endpoint moves only the keys of that endpoint. A Ring is immutable.
type Ring struct {
	nodes []virtualNode
	// firstByPrefix holds, for each value of a hash's leading bits, the index of
	// the first node at or after it. It makes the expected time of a lookup
	// independent of the ring's size.
	firstByPrefix []int32
	shift         uint
}

// NewRing returns the ring of the named endpoints. The number of an endpoint is
// its index in the list.
func NewRing(endpoints []identifier.Endpoint) *Ring {
	r := &Ring{nodes: make([]virtualNode, 0, len(endpoints)*virtualNodesPerEndpoint)}
	for i, name := range endpoints {
		base := xxhash.Sum64String(string(name))
		for n := range uint64(virtualNodesPerEndpoint) {
			r.nodes = append(r.nodes, virtualNode{hash: splitMix64(base + n), endpoint: int32(i)})
		}
	}
	slices.SortFunc(r.nodes, compareNodes)
	r.buildIndex()
	return r
}

func compareNodes(a, b virtualNode) int {
	switch {
	case a.hash < b.hash:
		return -1
	case a.hash > b.hash:
		return 1
	default:
		return int(a.endpoint - b.endpoint)
	}
}

// buildIndex sets firstByPrefix. It uses enough leading bits for more prefixes
// than there are nodes.
func (r *Ring) buildIndex() {
	prefixBits := bits.Len(uint(len(r.nodes)))
	r.shift = uint(64 - prefixBits)
	r.firstByPrefix = make([]int32, 1<<prefixBits)
	next := 0
	for i := range r.firstByPrefix {
		for next < len(r.nodes) && r.nodes[next].hash>>r.shift < uint64(i) {
			next++
		}
		r.firstByPrefix[i] = int32(next)
	}
}

// successor returns the index of the first node at or after the key, wrapping
// around at the end of the ring.
func (r *Ring) successor(key uint64) int {
	if len(r.nodes) == 0 {
		return 0
	}
	position := int(r.firstByPrefix[key>>r.shift])
	for position < len(r.nodes) && r.nodes[position].hash < key {
		position++
	}
	return position % len(r.nodes)
}

// splitMix64 returns the SplitMix64 output for the state x, in which every bit
// of x affects all bits.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
