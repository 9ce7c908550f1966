package checker

import (
	"fmt"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// EngineMemory is the memory that an engine holds when the system is quiescent.
type EngineMemory struct {
	Endpoint identifier.Endpoint
	Pieces   int
	Attempts []identifier.Attempt
}

// CheckMemory returns a violation for each attempt that holds engine memory but is
// not active, and for each engine that holds memory without any attempt.
func CheckMemory(engines []EngineMemory, active []identifier.Attempt) []Violation {
	var violations []Violation
	for _, m := range engines {
		for _, a := range m.Attempts {
			if !slices.Contains(active, a) {
				violations = append(violations, Violation{PromiseNoOrphanedMemory, string(m.Endpoint), fmt.Sprintf("holds attempt %s, whose caller is gone", a)})
			}
		}
		if m.Pieces > 0 && len(m.Attempts) == 0 {
			violations = append(violations, Violation{PromiseNoOrphanedMemory, string(m.Endpoint), fmt.Sprintf("holds %d pieces without an attempt", m.Pieces)})
		}
	}
	return violations
}

// Admission is new work that an endpoint admitted.
type Admission struct {
	Endpoint identifier.Endpoint
	At       time.Time
}

// Leave is a period in which an endpoint leaves, from At until it serves again at
// Returned. Returned is zero if it doesn't serve again.
type Leave struct {
	Endpoint identifier.Endpoint
	At       time.Time
	Returned time.Time
}

// CheckLeaving returns a violation for each admission at a leaving endpoint that
// comes more than bound after it began to leave.
func CheckLeaving(admissions []Admission, leaves []Leave, bound time.Duration) []Violation {
	var violations []Violation
	for _, l := range leaves {
		for _, a := range admissions {
			if a.Endpoint == l.Endpoint && l.forbidsAdmission(a.At, bound) {
				violations = append(violations, Violation{PromiseNoWorkForLeaving, string(l.Endpoint), fmt.Sprintf("got work %s after it began to leave, want at most %s", a.At.Sub(l.At), bound)})
			}
		}
	}
	return violations
}

func (l Leave) forbidsAdmission(at time.Time, bound time.Duration) bool {
	returned := !l.Returned.IsZero() && !at.Before(l.Returned)
	return at.After(l.At.Add(bound)) && !returned
}

// RevisionRecord is the revision that a host had in force at a time.
type RevisionRecord struct {
	Host     identifier.Host
	Revision identifier.Revision
	At       time.Time
}

// CheckRevisions returns a violation for each time that a host's revision
// decreased. Records are compared across restarts, because a host keeps its name.
// Omit the records of a host that restarted while it could reach no peer with a
// newer revision.
func CheckRevisions(records []RevisionRecord) []Violation {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b RevisionRecord) int { return a.At.Compare(b.At) })
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
