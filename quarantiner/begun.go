package quarantiner

import (
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// BegunCount tells how many answers to requests with a trait have begun.
type BegunCount struct {
	Trait identifier.Trait
	Phase Phase
	Count int
}

// TakeBegun returns the begun answers at this host that other hosts should know of,
// which are those that may decide whether a trait is quarantined.
func (q *Quarantiner) TakeBegun() []BegunCount {
	var news []BegunCount
	for k, s := range q.suspicions {
		if len(news) == maxBegunNews {
			break
		}
		if s.untold == 0 || !q.mayMatter(k, s) {
			continue
		}
		news = append(news, BegunCount{Trait: k.trait, Phase: k.phase, Count: s.untold})
		s.untold = 0
	}
	return news
}

// mayMatter reports whether further begun answers may decide whether a suspect is
// quarantined.
func (q *Quarantiner) mayMatter(k suspect, s *suspicion) bool {
	ends := q.endsUnder[k]
	return ends > 0 && s.begun-s.untold < ends+enoughBegun
}

// AddBegun records begun answers that another host has told of, and reports whether
// they may matter.
func (q *Quarantiner) AddBegun(c BegunCount) bool {
	k := suspectOf(c.Trait, c.Phase)
	s := q.suspicions[k]
	if s == nil || c.Count <= 0 {
		return false
	}
	matters := q.mayMatter(k, s)
	s.begun += min(c.Count, MaxBegun)
	q.undecided = true
	return matters
}
