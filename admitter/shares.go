package admitter

import (
	"math"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

const (
	// shareHalfLife is the half-life of the work that counts against a customer.
	shareHalfLife = 5 * time.Second
	// maxSharedCustomers is the number of customers whose work is remembered.
	maxSharedCustomers = 4096
	// minSharedWork is the work, in mean requests, below which a customer is forgotten.
	minSharedWork = 0.05
)

// shares orders customers by the work that they were granted lately. Customers
// whose work differs by less than a factor of two go together, so that what one leaves
// unused is open to all others. The zero value is ready for use.
type shares struct {
	work map[identifier.Customer]float64 // in mean requests, as of updated
	// updated is when the work was last decayed.
	updated time.Time
}

// add adds the work of a grant, in mean requests.
func (s *shares) add(c identifier.Customer, work float64, now time.Time) {
	s.decay(now)
	if s.work == nil {
		s.work = map[identifier.Customer]float64{}
	}
	if _, ok := s.work[c]; ok || len(s.work) < maxSharedCustomers {
		s.work[c] += work
	}
}

// decay brings all customers' work up to date.
func (s *shares) decay(now time.Time) {
	elapsed := now.Sub(s.updated)
	if elapsed < shareHalfLife/10 {
		return
	}
	s.updated = now
	factor := math.Exp2(-elapsed.Seconds() / shareHalfLife.Seconds())
	for c, work := range s.work {
		s.work[c] = work * factor
		if s.work[c] < minSharedWork {
			delete(s.work, c)
		}
	}
}

// level returns the power of two of a customer's work. Customers of a lower level go
// first. Requests without a customer share as one.
func (s *shares) level(c identifier.Customer) int {
	return int(math.Log2(1 + s.work[c]))
}
