package gossiper

import (
	"cmp"
	"slices"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// bridgeKey is the key of the rendezvous order that chooses bridges; the keys
// of the rings count from 0.
const bridgeKey = 1 << 32

// topology says whom this host probes. All hosts derive it from their views,
// so hosts with equal views agree on it.
type topology struct {
	stale bool
	// targets are the hosts of the own data center that this host probes: its
	// successor on each of Monitors rings, whose orders are independent.
	targets []*record
	// bridges of each data center are first in its rendezvous order.
	bridges map[identifier.DataCenter][]*record
	// cross are the bridges of the other data centers, when this host is a
	// bridge.
	cross []*record

	nextTarget, nextCross int
}

func (m *Machine) refreshTopology() {
	t := &m.topology
	if !t.stale {
		return
	}
	t.stale = false
	byDataCenter := map[identifier.DataCenter][]*record{}
	for _, r := range m.order {
		if !r.dead() {
			byDataCenter[r.DataCenter] = append(byDataCenter[r.DataCenter], r)
		}
	}
	own := m.self.DataCenter
	t.targets = ringSuccessors(m.self, byDataCenter[own], m.options.Monitors)
	t.bridges = map[identifier.DataCenter][]*record{}
	for dc, records := range byDataCenter {
		t.bridges[dc] = chooseBridges(records, m.options.Bridges)
	}
	t.cross = t.cross[:0]
	if !slices.Contains(t.bridges[own], m.self) {
		return
	}
	for dc, records := range t.bridges {
		if dc != own {
			t.cross = append(t.cross, records...)
		}
	}
	slices.SortFunc(t.cross, func(a, b *record) int { return cmp.Compare(a.Host, b.Host) })
}

// ringSuccessors gives the distinct successors of self on each ring, without
// self.
func ringSuccessors(self *record, records []*record, rings int) []*record {
	var successors []*record
	for ring := range rings {
		next := ringSuccessor(self, records, uint64(ring), successors)
		if next != nil {
			successors = append(successors, next)
		}
	}
	return successors
}

// ringSuccessor gives the first host after self on the ring that isn't in
// skip.
func ringSuccessor(self *record, records []*record, ring uint64, skip []*record) *record {
	start := rendezvousScore(self.hash, ring)
	var best *record
	var bestDistance uint64
	for _, r := range records {
		if r == self || slices.Contains(skip, r) {
			continue
		}
		distance := rendezvousScore(r.hash, ring) - start // wraps around
		if best == nil || distance < bestDistance {
			best, bestDistance = r, distance
		}
	}
	return best
}

// chooseBridges gives the first count hosts in the rendezvous order, those
// that don't leave before those that do.
func chooseBridges(records []*record, count int) []*record {
	var chosen []*record
	for range min(count, len(records)) {
		var best *record
		for _, r := range records {
			if !slices.Contains(chosen, r) && (best == nil || betterBridge(r, best)) {
				best = r
			}
		}
		chosen = append(chosen, best)
	}
	return chosen
}

func betterBridge(a, b *record) bool {
	if a.counted() != b.counted() {
		return a.counted()
	}
	return rendezvousScore(a.hash, bridgeKey) > rendezvousScore(b.hash, bridgeKey)
}

func (m *Machine) isBridge(r *record) bool {
	return slices.Contains(m.topology.bridges[r.DataCenter], r)
}
