package admitter

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// maxCountedGroups is the number of priorities and customers that are counted apart.
const maxCountedGroups = 64

// Group is what requests are counted by.
type Group struct {
	Priority int
	// Customer is empty for requests without one, and for those of customers beyond the
	// first ones.
	Customer identifier.Customer
}

// Counts are the numbers of requests of a group.
type Counts struct {
	Waiting int `json:"waiting"`
	// Granted counts the requests that got capacity, ServedLate those of them that did so
	// too late for their objective.
	Granted    uint64 `json:"granted"`
	ServedLate uint64 `json:"served-late"`
	// Refused counts all rejections, Displaced those in favor of more urgent requests, and
	// RefusedAgain those of callers that had returned after a rejection.
	Refused      uint64 `json:"refused"`
	Displaced    uint64 `json:"displaced"`
	RefusedAgain uint64 `json:"refused-again"`
}

// statistics counts what became of requests. The zero value is ready for use.
type statistics struct {
	groups map[Group]*Counts
}

// group returns the group that a request is counted in.
func (s *statistics) group(e *Entry) Group {
	g := Group{Priority: e.Priority, Customer: e.Customer}
	if s.groups[g] == nil && len(s.groups) >= maxCountedGroups {
		g.Customer = ""
	}
	if s.groups[g] == nil && len(s.groups) >= 2*maxCountedGroups {
		g = Group{}
	}
	return g
}

func (s *statistics) of(e *Entry) *Counts {
	if s.groups == nil {
		s.groups = map[Group]*Counts{}
	}
	g := s.group(e)
	if s.groups[g] == nil {
		s.groups[g] = &Counts{}
	}
	return s.groups[g]
}

func (s *statistics) grant(e *Entry, now time.Time) {
	c := s.of(e)
	c.Granted++
	if e.late(now) {
		c.ServedLate++
	}
}

func (s *statistics) reject(e *Entry) {
	c := s.of(e)
	c.Refused++
	if e.Returning {
		c.RefusedAgain++
	}
}

func (s *statistics) displace(r *Rejection) {
	if r.DisplacedBy != 0 {
		s.of(&r.Entry).Displaced++
	}
}

// Statistics returns the numbers of requests by group.
func (q *Queue) Statistics() map[Group]Counts {
	all := make(map[Group]Counts, len(q.statistics.groups))
	for g, c := range q.statistics.groups {
		all[g] = *c
	}
	for i := range q.waiting {
		g := q.statistics.group(&q.waiting[i])
		c := all[g]
		c.Waiting++
		all[g] = c
	}
	return all
}
