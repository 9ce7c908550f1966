package gossiper

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// scoredMember is a member with its rendezvous score for a key.
type scoredMember struct {
	Member
	score uint64
}

// Spread returns up to count members in the rendezvous order of key, spread over data centers:
// the first of dc, then the first of each other data center, then the rest. It depends on the
// names of the members only, not on their states.
func Spread(members []Member, dc identifier.DataCenter, key uint64, count int) []Member {
	used := map[identifier.DataCenter]bool{}
	var first, others, rest []Member
	for _, n := range byScore(members, key) {
		switch {
		case used[n.DataCenter]:
			rest = append(rest, n.Member)
		case n.DataCenter == dc:
			first = append(first, n.Member)
		default:
			others = append(others, n.Member)
		}
		used[n.DataCenter] = true
	}
	all := slices.Concat(first, others, rest)
	return all[:min(count, len(all))]
}

// SpreadEvenly returns up to count members in the rendezvous order of key, spread over data
// centers in rounds: the first of each data center, then the second of each, and so on. It depends
// on the names of the members only, not on their states.
func SpreadEvenly(members []Member, key uint64, count int) []Member {
	used := map[identifier.DataCenter]int{}
	var rounds [][]Member
	for _, n := range byScore(members, key) {
		round := used[n.DataCenter]
		used[n.DataCenter]++
		if round == len(rounds) {
			rounds = append(rounds, nil)
		}
		rounds[round] = append(rounds[round], n.Member)
	}
	all := slices.Concat(rounds...)
	return all[:min(count, len(all))]
}

// byScore returns the members in the rendezvous order of key.
func byScore(members []Member, key uint64) []scoredMember {
	all := make([]scoredMember, 0, len(members))
	for _, n := range members {
		all = append(all, scoredMember{Member: n, score: rendezvousScore(xxhash.Sum64String(string(n.Host)), key)})
	}
	slices.SortFunc(all, func(a, b scoredMember) int { return cmp.Compare(b.score, a.score) })
	return all
}
