package gossiper

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// View is an immutable snapshot of the membership known to a host. The slices
// that it returns are read-only.
type View struct {
	members       []Member // sorted by host
	live          map[identifier.DataCenter][]Member
	hashes        map[identifier.DataCenter][]uint64 // of the host names in live
	byIncarnation map[identifier.Incarnation]Member
	marks         map[identifier.Endpoint]Mark
	unreachable   map[identifier.DataCenter]bool
	superseded    bool
}

// Mark records that an endpoint is leaving, or serving again, as of a revision
// of the declarations, or, if Source is set, as of the start of the endpoint that
// Revision identifies.
type Mark struct {
	Revision identifier.Revision
	Leaving  bool
	// Source is the host to which the endpoint itself announced that it is
	// leaving, at the time At.
	Source identifier.Host
	At     time.Time
}

// newView builds a view of members, which it sorts. Departed processes are found
// by ByIncarnation only.
func newView(members, departed []Member, marks map[identifier.Endpoint]Mark, unreachable map[identifier.DataCenter]bool) *View {
	v := &View{
		members:       members,
		live:          map[identifier.DataCenter][]Member{},
		hashes:        map[identifier.DataCenter][]uint64{},
		byIncarnation: make(map[identifier.Incarnation]Member, len(members)+len(departed)),
		marks:         marks,
		unreachable:   unreachable,
	}
	slices.SortFunc(v.members, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	for _, n := range departed {
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

// Members returns all members, including those that died recently, sorted by
// host.
func (v *View) Members() []Member {
	return v.members
}

// Live returns the members of dc that are alive or suspect, sorted by host. They
// include the viewing host unless it is leaving or superseded.
func (v *View) Live(dc identifier.DataCenter) []Member {
	return v.live[dc]
}

// ByIncarnation returns the member with the given incarnation, which may have
// died or been replaced recently.
func (v *View) ByIncarnation(i identifier.Incarnation) (Member, bool) {
	n, ok := v.byIncarnation[i]
	return n, ok
}

// ByHost returns the member with the given host name.
func (v *View) ByHost(name identifier.Host) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.members, name, func(n Member, name identifier.Host) int {
		return cmp.Compare(n.Host, name)
	})
	if !ok {
		return Member{}, false
	}
	return v.members[i], true
}

// RandomPeer returns a random member that is not dead, other than self.
func (v *View) RandomPeer(self identifier.Incarnation) (Member, bool) {
	var chosen Member
	count := 0
	for _, m := range v.members {
		if m.Incarnation == self || m.State == StateDead {
			continue
		}
		count++
		if rand.N(count) == 0 {
			chosen = m
		}
	}
	return chosen, count > 0
}

// Owner returns the live member of dc with the highest rendezvous score for key.
// It returns false if dc has no live members.
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

// FleetOwner returns the live member of all data centers with the highest
// rendezvous score for key.
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

// Owners returns up to count live members of dc in the rendezvous order of key.
// The first is the one that Owner returns.
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

// rendezvousScore hashes a host's hash together with a key. The host with the
// highest score owns the key.
func rendezvousScore(hostHash, key uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], hostHash)
	binary.LittleEndian.PutUint64(b[8:], key)
	return xxhash.Sum64(b[:])
}

// Leaving reports whether e is marked as leaving.
func (v *View) Leaving(e identifier.Endpoint) bool {
	return v.marks[e].Leaving
}

// Mark returns the newest mark of e.
func (v *View) Mark(e identifier.Endpoint) (Mark, bool) {
	k, ok := v.marks[e]
	return k, ok
}

// Marks returns the newest mark of each endpoint that has one. The map is
// read-only.
func (v *View) Marks() map[identifier.Endpoint]Mark {
	return v.marks
}

// Reachable reports whether news from dc has arrived within its lease. A host's
// own data center is always reachable.
func (v *View) Reachable(dc identifier.DataCenter) bool {
	return !v.unreachable[dc]
}

// Superseded reports whether another process has taken this host's name.
func (v *View) Superseded() bool {
	return v.superseded
}
