package allocator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// firm returns the firm that a slot request is charged to.
func (p *Pool) firm(f identifier.Firm) identifier.Firm {
	if f == "" {
		return p.options.Firm
	}
	return f
}

// slotLimit returns the number of slots that a firm may hold.
func (p *Pool) slotLimit(f identifier.Firm, now time.Time) int {
	if f == p.options.Firm {
		return p.slots
	}
	share := 0.0
	for _, c := range p.options.Contracts {
		if c.Service == p.service.Name && c.Borrower == f && c.ActiveAt(now) {
			share += c.Share
		}
	}
	return int(share*float64(p.slots) + 0.5)
}

// belowSlotLimit returns a predicate for firms that may take another slot.
func (p *Pool) belowSlotLimit(now time.Time) func(identifier.Firm, bool) bool {
	return func(f identifier.Firm, _ bool) bool {
		return f == p.options.Firm || p.slotsUsed[f] < p.slotLimit(f, now)
	}
}

// refuseExpiredBorrowers refuses the waiting patient requests of firms whose
// contracts are no longer in force.
func (p *Pool) refuseExpiredBorrowers(now time.Time) {
	for _, f := range p.firms {
		if f == p.options.Firm || p.slotLimit(f, now) > 0 {
			continue
		}
		for e := p.queue.NewestPatient(f); e != nil; e = p.queue.NewestPatient(f) {
			p.queue.Remove(e.Key)
			p.refuse(e.Key, e.Value.Urgency, classifier.ReasonLimit)
		}
	}
}
