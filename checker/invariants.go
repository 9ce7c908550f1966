package checker

import (
	"fmt"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Memory is what one engine holds at a time of quiescence.
type Memory struct {
	Endpoint identifier.Endpoint
	Pieces   int
	Attempts []identifier.Attempt
}

// CheckMemory gives a violation for each engine that holds memory of an
// attempt that is not living, or memory of no attempt at all.
func CheckMemory(engines []Memory, living []identifier.Attempt) []Violation {
	var violations []Violation
	for _, m := range engines {
		for _, a := range m.Attempts {
			if !slices.Contains(living, a) {
				violations = append(violations, Violation{PromiseMemory, string(m.Endpoint), fmt.Sprintf("holds attempt %s, whose caller is gone", a)})
			}
		}
		if m.Pieces > 0 && len(m.Attempts) == 0 {
			violations = append(violations, Violation{PromiseMemory, string(m.Endpoint), fmt.Sprintf("holds %d pieces of no attempt", m.Pieces)})
		}
	}
	return violations
}

// Admission is new work that an endpoint was offered.
type Admission struct {
	Endpoint identifier.Endpoint
	At       time.Time
}

// Leave is the time from which an endpoint leaves. Returned is when it serves
// again; zero: it doesn't.
type Leave struct {
	Endpoint identifier.Endpoint
	At       time.Time
	Returned time.Time
}

// CheckLeaving gives a violation for each admission later than bound after
// the endpoint began to leave.
func CheckLeaving(admissions []Admission, leaves []Leave, bound time.Duration) []Violation {
	var violations []Violation
	for _, l := range leaves {
		for _, a := range admissions {
			if a.Endpoint == l.Endpoint && l.forbids(a.At, bound) {
				violations = append(violations, Violation{PromiseLeaving, string(l.Endpoint), fmt.Sprintf("got work %s after it began to leave, want at most %s", a.At.Sub(l.At), bound)})
			}
		}
	}
	return violations
}

func (l Leave) forbids(at time.Time, bound time.Duration) bool {
	back := !l.Returned.IsZero() && !at.Before(l.Returned)
	return at.After(l.At.Add(bound)) && !back
}

// InForce is a revision that a host had in force at a time.
type InForce struct {
	Host     identifier.Host
	Revision identifier.Revision
	At       time.Time
}

// CheckRevisions gives a violation for each time a host's revision went back.
// A host that restarts keeps its name, so its revisions are compared over the
// restart; leave out the records of a host that no peer could tell better.
func CheckRevisions(records []InForce) []Violation {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b InForce) int { return a.At.Compare(b.At) })
	highest := make(map[identifier.Host]identifier.Revision)
	var violations []Violation
	for _, r := range sorted {
		if r.Revision < highest[r.Host] {
			violations = append(violations, Violation{PromiseRevisions, string(r.Host), fmt.Sprintf("went from revision %d to %d", highest[r.Host], r.Revision)})
		}
		highest[r.Host] = max(highest[r.Host], r.Revision)
	}
	return violations
}
