package gossiper

import (
	"cmp"
	"slices"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// bridgeKey is the rendezvous hashing key for the choice of bridges. The rings
// use keys from 0.
const bridgeKey = 1 << 32

// topology determines which hosts this host probes. It depends only on the
// membership table, so hosts with equal tables agree on it.
type topology struct {
	stale bool
	// probeTargets are the hosts of the local data center that this host probes:
	// its successors on as many independent hash rings as Options.Monitors.
	probeTargets []*record
	// bridges are the first hosts in the rendezvous order of each data center.
	bridges map[identifier.DataCenter][]*record
	// remoteBridges are the bridges of the other data centers if this host is a
	// bridge, else empty.
	remoteBridges []*record

	nextTarget, nextRemoteBridge int
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
	t.probeTargets = ringSuccessors(m.self, byDataCenter[own], m.options.Monitors)
	t.bridges = map[identifier.DataCenter][]*record{}
	for dc, records := range byDataCenter {
		t.bridges[dc] = chooseBridges(records, m.options.Bridges)
	}
	t.remoteBridges = t.remoteBridges[:0]
	if !slices.Contains(t.bridges[own], m.self) {
		return
	}
	for dc, records := range t.bridges {
		if dc != own {
			t.remoteBridges = append(t.remoteBridges, records...)
		}
	}
	slices.SortFunc(t.remoteBridges, func(a, b *record) int { return cmp.Compare(a.Host, b.Host) })
}

// ringSuccessors returns distinct successors of self, one for each ring while
// there are enough hosts.
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

// ringSuccessor returns the first host after self on the ring that isn't in
// skip, or nil.
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

// chooseBridges returns the first count hosts in the rendezvous order, with
// leaving hosts after all others.
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
	if a.live() != b.live() {
		return a.live()
	}
	return rendezvousScore(a.hash, bridgeKey) > rendezvousScore(b.hash, bridgeKey)
}

func (m *Machine) isBridge(r *record) bool {
	return slices.Contains(m.topology.bridges[r.DataCenter], r)
}
