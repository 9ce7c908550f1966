package gossiper

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// View is what a host knows of membership at one time. It never changes; all
// slices that it gives are read-only.
type View struct {
	members       []Member // sorted by host
	live          map[identifier.DataCenter][]Member
	hashes        map[identifier.DataCenter][]uint64 // of the hosts in live
	byIncarnation map[identifier.Incarnation]Member
	leaving       map[identifier.Endpoint]Mark
	unreachable   map[identifier.DataCenter]bool
	superseded    bool
}

// Mark says since which revision of the declarations an endpoint is leaving,
// or serves again.
type Mark struct {
	Revision identifier.Revision
	Leaving  bool
}

// newView sorts members; gone are those that ByIncarnation still finds.
func newView(members, gone []Member, marks map[identifier.Endpoint]Mark, unreachable map[identifier.DataCenter]bool) *View {
	v := &View{
		members:       members,
		live:          map[identifier.DataCenter][]Member{},
		hashes:        map[identifier.DataCenter][]uint64{},
		byIncarnation: make(map[identifier.Incarnation]Member, len(members)+len(gone)),
		leaving:       marks,
		unreachable:   unreachable,
	}
	slices.SortFunc(v.members, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	for _, n := range gone {
		v.byIncarnation[n.Incarnation] = n
	}
	for _, n := range v.members {
		v.byIncarnation[n.Incarnation] = n
		if n.State == StateAlive || n.State == StateSuspect {
			v.live[n.DataCenter] = append(v.live[n.DataCenter], n)
			v.hashes[n.DataCenter] = append(v.hashes[n.DataCenter], xxhash.Sum64String(string(n.Host)))
		}
	}
	return v
}

// Members gives all members, the dead ones of late included, sorted by host.
func (v *View) Members() []Member {
	return v.members
}

// Live gives the members of dc that are alive or suspect, sorted by host. The
// viewing host is among them unless it leaves or was superseded.
func (v *View) Live(dc identifier.DataCenter) []Member {
	return v.live[dc]
}

// ByIncarnation finds a member, also one that died or was replaced of late.
func (v *View) ByIncarnation(i identifier.Incarnation) (Member, bool) {
	n, ok := v.byIncarnation[i]
	return n, ok
}

// ByHost finds the member called name.
func (v *View) ByHost(name identifier.Host) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.members, name, func(n Member, name identifier.Host) int {
		return cmp.Compare(n.Host, name)
	})
	if !ok {
		return Member{}, false
	}
	return v.members[i], true
}

// Owner gives the live member of dc that comes first in the rendezvous order
// of key; false: dc has none.
func (v *View) Owner(dc identifier.DataCenter, key uint64) (Member, bool) {
	live := v.live[dc]
	if len(live) == 0 {
		return Member{}, false
	}
	best, bestScore := 0, uint64(0)
	for i, h := range v.hashes[dc] {
		score := rendezvousScore(h, key)
		if i == 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return live[best], true
}

// FleetOwner gives the live host of all data centers that is highest in the
// order of rendezvous hashing for the key.
func (v *View) FleetOwner(key uint64) (best Member, ok bool) {
	highest := uint64(0)
	for dc, hashes := range v.hashes {
		for i, h := range hashes {
			if score := rendezvousScore(h, key); !ok || score > highest {
				best, highest, ok = v.live[dc][i], score, true
			}
		}
	}
	return best, ok
}

// Owners gives up to count live members of dc in the rendezvous order of key;
// the first is that of Owner.
func (v *View) Owners(dc identifier.DataCenter, key uint64, count int) []Member {
	live, hashes := v.live[dc], v.hashes[dc]
	order := make([]int, len(live))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(rendezvousScore(hashes[b], key), rendezvousScore(hashes[a], key))
	})
	owners := make([]Member, 0, min(count, len(order)))
	for _, i := range order[:min(count, len(order))] {
		owners = append(owners, live[i])
	}
	return owners
}

// rendezvousScore mixes a host's hash with a key, as the splitmix64 generator
// mixes its state.
func rendezvousScore(hostHash, key uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], hostHash)
	binary.LittleEndian.PutUint64(b[8:], key)
	return xxhash.Sum64(b[:])
}

// Leaving tells whether e is marked as leaving.
func (v *View) Leaving(e identifier.Endpoint) bool {
	return v.leaving[e].Leaving
}

// Mark gives the newest mark of e.
func (v *View) Mark(e identifier.Endpoint) (Mark, bool) {
	k, ok := v.leaving[e]
	return k, ok
}

// Marks gives the newest mark of each endpoint that has one. The map is
// read-only.
func (v *View) Marks() map[identifier.Endpoint]Mark {
	return v.leaving
}

// Reachable tells whether news came from dc within its lease. A host's own
// data center always counts as reachable.
func (v *View) Reachable(dc identifier.DataCenter) bool {
	return !v.unreachable[dc]
}

// Superseded tells whether another process has taken this host's name.
func (v *View) Superseded() bool {
	return v.superseded
}
