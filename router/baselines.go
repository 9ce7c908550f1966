package router

import (
	"math/rand/v2"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// ignorePlacements is embedded by policies that don't use past placements.
type ignorePlacements struct{}

// RecordPlacement implements Policy.
func (ignorePlacements) RecordPlacement([]identifier.BlockHash, int32, time.Time) {}

// RoundRobin picks the available endpoints in turn.
type RoundRobin struct {
	ignorePlacements
	next int32
}

// Pick implements Policy.
func (p *RoundRobin) Pick(t *Table, q Query, _ time.Time) (endpoint int32, cachedBlocks int, ok bool) {
	count := int32(len(t.positions))
	for range count {
		chosen := p.next % count
		p.next = (chosen + 1) % count
		if t.Has(chosen) && !q.excludes(chosen) {
			return chosen, 0, true
		}
	}
	return 0, 0, false
}

// LeastLoad picks the endpoint with the lowest load in the table.
type LeastLoad struct{ ignorePlacements }

// Pick implements Policy.
func (LeastLoad) Pick(t *Table, q Query, _ time.Time) (endpoint int32, cachedBlocks int, ok bool) {
	best, found := int32(0), false
	for position := range t.Len() {
		e := t.At(position)
		if q.excludes(e) {
			continue
		}
		if !found || t.Load(e) < t.Load(best) {
			best, found = e, true
		}
		if position == 0 {
			break // the head of the heap has the lowest load
		}
	}
	return best, 0, found
}

// PowerOfTwo picks the less loaded of two random endpoints.
type PowerOfTwo struct {
	ignorePlacements
	random *rand.Rand
}

// NewPowerOfTwo returns a policy whose random choices are determined by seed.
func NewPowerOfTwo(seed uint64) *PowerOfTwo {
	return &PowerOfTwo{random: rand.New(rand.NewPCG(seed, 0))}
}

// Pick implements Policy.
func (p *PowerOfTwo) Pick(t *Table, q Query, _ time.Time) (endpoint int32, cachedBlocks int, ok bool) {
	best, found := int32(0), false
	for range 2 + len(q.Exclude) {
		if t.Len() == 0 {
			break
		}
		e := t.At(p.random.IntN(t.Len()))
		if q.excludes(e) {
			continue
		}
		if !found || t.Load(e) < t.Load(best) {
			best, found = e, true
		}
	}
	return best, 0, found
}
