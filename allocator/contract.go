package allocator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// firm gives the firm that an ask counts for.
func (p *Pool) firm(f identifier.Firm) identifier.Firm {
	if f == "" {
		return p.options.Firm
	}
	return f
}

// lent gives the slots that a firm may hold.
func (p *Pool) lent(f identifier.Firm, now time.Time) int {
	if f == p.options.Firm {
		return p.slots
	}
	share := 0.0
	for _, c := range p.options.Contracts {
		if c.Service == p.service.Name && c.Borrower == f && c.InForce(now) {
			share += c.Share
		}
	}
	return int(share*float64(p.slots) + 0.5)
}

// lends gives the test whether a firm may take another slot.
func (p *Pool) lends(now time.Time) func(identifier.Firm, bool) bool {
	return func(f identifier.Firm, _ bool) bool {
		return f == p.options.Firm || p.used[f] < p.lent(f, now)
	}
}

// takeBack refuses the waiting patient requests of firms that are lent
// nothing any more.
func (p *Pool) takeBack(now time.Time) {
	for _, f := range p.firms {
		if f == p.options.Firm || p.lent(f, now) > 0 {
			continue
		}
		for e := p.queue.NewestPatient(f); e != nil; e = p.queue.NewestPatient(f) {
			p.queue.Remove(e.Key)
			p.refuse(e.Key, e.Value.Urgency, classifier.ReasonLimit)
		}
	}
}
