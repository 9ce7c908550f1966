package quarantiner

import (
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// evidence is what speaks against a suspect.
type evidence struct {
	// ends has one report for each end: an engine may have run a request in both phases.
	ends     []*End
	requests map[identifier.Request]bool
	// position is the sum of the suspect's positions in the prompts of its calls,
	// and calls their number.
	position, calls int
}

// depth returns the suspect's mean position in prompts.
func (e *evidence) depth() float64 {
	return float64(e.position) / float64(max(1, e.calls))
}

// unexplained returns the ends that no quarantined trait explains.
func (q *Quarantiner) unexplained(now time.Time) []*End {
	open := make([]*End, 0, len(q.ends))
	for _, e := range q.ends {
		if !q.explained(e, now) {
			open = append(open, e)
		}
	}
	return open
}

// collect returns the evidence of the ends against each suspect.
func collect(ends []*End) map[suspect]*evidence {
	all := map[suspect]*evidence{}
	for _, e := range ends {
		addEvidence(all, e)
	}
	return all
}

// explained reports whether a call that was part of the end has a trait that is
// quarantined, or was.
func (q *Quarantiner) explained(e *End, now time.Time) bool {
	for _, c := range e.Calls {
		for _, g := range c.Traits {
			v := q.verdicts[g]
			if v == nil || v.Phase != suspectOf(g, e.Phase).phase {
				continue
			}
			if v.active(now) || e.At.Before(v.LastSeen) {
				return true
			}
		}
	}
	return false
}

// addEnd adds a report of an end unless there is another one of it.
func (e *evidence) addEnd(n *End) {
	if !slices.ContainsFunc(e.ends, n.sameIncarnation) {
		e.ends = append(e.ends, n)
	}
}

// addEvidence adds an end to the evidence against the traits of its calls.
func addEvidence(all map[suspect]*evidence, e *End) {
	counted := map[identifier.Trait]bool{}
	for _, c := range e.Calls {
		for n, g := range c.Traits {
			k := suspectOf(g, e.Phase)
			v := all[k]
			if v == nil {
				v = &evidence{requests: map[identifier.Request]bool{}}
				all[k] = v
			}
			if !counted[g] {
				counted[g] = true
				v.addEnd(e)
			}
			v.requests[c.Request] = true
			v.position += n
			v.calls++
		}
	}
}

// countOthers counts the ends without the suspect that happened together with one that
// has it.
func countOthers(ends []*End, k suspect) int {
	var with, without []time.Time
	for _, e := range ends {
		if suspectOf(k.trait, e.Phase) == k && hasTrait(e, k.trait) {
			with = append(with, e.At)
		} else {
			without = append(without, e.At)
		}
	}
	n := 0
	for _, at := range without {
		if slices.ContainsFunc(with, func(w time.Time) bool { return at.Sub(w).Abs() <= togetherTime }) {
			n++
		}
	}
	return n
}

func hasTrait(e *End, g identifier.Trait) bool {
	return slices.ContainsFunc(e.Calls, func(c Call) bool { return slices.Contains(c.Traits, g) })
}
