package identifier

import "cmp"

// Era numbers the times between two restores of the configuration store from an
// older copy. Revisions start again at the copy's in each era. 0 is the era of
// stores that don't state theirs, and comes before any other.
type Era uint64

// Position is a point in the history of the configuration store. The zero value
// means none.
type Position struct {
	Era      Era
	Revision Revision
}

// Compare orders positions by era, then by revision. It returns -1, 0 or 1.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p comes before q.
func (p Position) Before(q Position) bool {
	return p.Compare(q) < 0
}

// IsZero reports whether p is the zero value.
func (p Position) IsZero() bool {
	return p == Position{}
}
