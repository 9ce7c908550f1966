package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Verdict is the quarantine of a trait.
type Verdict struct {
	Trait identifier.Trait
	Phase Phase
	// Since is when the trait was quarantined, and LastSeen when a host last saw a
	// request with it.
	Since, LastSeen time.Time
	// Ends, Requests and Begun are the evidence: engines that ended, requests that were
	// part of that, and answers that had begun nevertheless.
	Ends, Requests, Begun int
}

// record is a verdict and whether it has lapsed.
type record struct {
	Verdict
	lapsed bool
}

// active reports whether the quarantine is in force.
func (r *record) active(now time.Time) bool {
	return !r.lapsed && now.Sub(r.LastSeen) < QuietTime
}

// Decide returns the verdicts that the evidence supports now and that are new.
func (q *Quarantiner) Decide(now time.Time) []Verdict {
	if !q.undecided {
		return nil
	}
	q.undecided = false
	var decided []Verdict
	for {
		v, ok := q.strongest(now)
		if !ok {
			q.updateTrials(now)
			return decided
		}
		q.verdicts[v.Trait] = &record{Verdict: v}
		decided = append(decided, v)
		q.boundVerdicts()
	}
}

// candidate is a verdict that could be made.
type candidate struct {
	suspect
	evidence *evidence
	begun    int
}

// excess is by how many the ends exceed the begun answers.
func (c *candidate) excess() int {
	return len(c.evidence.ends) - c.begun
}

// stronger reports whether c goes before o. The order doesn't depend on anything but the
// evidence, so that all hosts decide the same.
func (c *candidate) stronger(o *candidate) bool {
	order := cmp.Or(
		cmp.Compare(c.excess(), o.excess()),
		cmp.Compare(c.evidence.depth(), o.evidence.depth()),
		cmp.Compare(o.trait, c.trait),
		cmp.Compare(o.phase, c.phase),
	)
	return order > 0
}

// strongest returns the verdict with the most evidence of those that are due. If one is
// not due yet, the decision remains open.
func (q *Quarantiner) strongest(now time.Time) (v Verdict, ok bool) {
	ends := q.unexplained(now)
	all := collect(ends)
	var best *candidate
	for k, e := range all {
		s := q.suspicions[k]
		if s == nil {
			continue
		}
		c := &candidate{suspect: k, evidence: e, begun: s.begun}
		if !q.sufficient(c, ends, all, now) {
			continue
		}
		if now.Sub(s.since) < SettleTime {
			q.undecided = true
			continue
		}
		if best == nil || c.stronger(best) {
			best = c
		}
	}
	if best == nil {
		return Verdict{}, false
	}
	return Verdict{
		Trait: best.trait, Phase: best.phase, Since: now, LastSeen: now,
		Ends: len(best.evidence.ends), Requests: len(best.evidence.requests), Begun: best.begun,
	}, true
}

// sufficient reports whether the evidence suffices for a verdict that is not in force.
func (q *Quarantiner) sufficient(c *candidate, ends []*End, all map[suspect]*evidence, now time.Time) bool {
	old := q.verdicts[c.trait]
	if old != nil {
		return !old.active(now) && c.excess() > 0
	}
	if c.excess() < minEnds || !IsRequest(c.trait) && len(c.evidence.requests) < minRequests {
		return false
	}
	others := ends
	if IsRequest(c.trait) {
		others = q.withoutRepeats(ends, all, c.trait)
	}
	return c.excess() >= minEnds+countOthers(others, c.suspect)/othersPerEnd
}

// withoutRepeats returns the ends under a request, and those others that no request explains under
// which several endpoints have ended.
func (q *Quarantiner) withoutRepeats(ends []*End, all map[suspect]*evidence, t identifier.Trait) []*End {
	repeated := func(k suspect) bool {
		s := q.suspicions[k]
		return s != nil && len(all[k].ends)-s.begun >= minRepeatedEnds
	}
	var left []*End
	for _, e := range ends {
		if hasTrait(e, t) || !slices.ContainsFunc(slices.Collect(e.requests()), repeated) {
			left = append(left, e)
		}
	}
	return left
}

// minRepeatedEnds is the excess of ends from which on a request explains them.
const minRepeatedEnds = 2

// Merge takes over another host's verdict, and reports whether the trait was not
// quarantined here.
func (q *Quarantiner) Merge(v Verdict, now time.Time) bool {
	if now.Sub(v.LastSeen) >= QuietTime {
		return false
	}
	old := q.verdicts[v.Trait]
	if old == nil || !old.active(now) {
		q.verdicts[v.Trait] = &record{Verdict: v}
		q.undecided = true
		q.boundVerdicts()
		return true
	}
	if v.LastSeen.After(old.LastSeen) {
		old.LastSeen = v.LastSeen
	}
	if v.Since.Before(old.Since) {
		old.Since = v.Since
	}
	old.Ends = max(old.Ends, v.Ends)
	old.Requests = max(old.Requests, v.Requests)
	return false
}

// boundVerdicts removes the verdict whose trait was seen least recently if there are
// too many.
func (q *Quarantiner) boundVerdicts() {
	if len(q.verdicts) <= maxVerdicts {
		return
	}
	var oldest *record
	for _, v := range q.verdicts {
		if oldest == nil || v.LastSeen.Before(oldest.LastSeen) {
			oldest = v
		}
	}
	delete(q.verdicts, oldest.Trait)
}

// Verdicts returns the quarantines in force, in the order of their traits.
func (q *Quarantiner) Verdicts(now time.Time) []Verdict {
	var all []Verdict
	for _, v := range q.verdicts {
		if v.active(now) {
			all = append(all, v.Verdict)
		}
	}
	slices.SortFunc(all, func(a, b Verdict) int { return cmp.Compare(a.Trait, b.Trait) })
	return all
}
