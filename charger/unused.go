package charger

import (
	"context"
	"time"

	"github.com/jackdawthread/jackdawthread/common/deduper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/lender"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// returnTimeout limits the queueing time of a return.
const returnTimeout = time.Second

// unused collects what goes back to granting hosts.
type unused struct {
	amounts map[identifier.Host]map[identifier.Customer]float64
	// sequence numbers the returns of this process, and accepted knows those that other
	// processes have sent to this host.
	sequence uint64
	accepted *deduper.Deduper
}

func newUnused() unused {
	return unused{
		amounts:  map[identifier.Host]map[identifier.Customer]float64{},
		accepted: deduper.New(),
	}
}

func (u *unused) add(r lender.Return) {
	if r.Amount <= 0 {
		return
	}
	if u.amounts[r.Granter] == nil {
		u.amounts[r.Granter] = map[identifier.Customer]float64{}
	}
	u.amounts[r.Granter][r.Customer] += r.Amount
}

// take removes what goes back to each granting host, as messages of at most maxEntries amounts.
func (u *unused) take() map[identifier.Host]*peerwire.QuotaReturn {
	all := map[identifier.Host]*peerwire.QuotaReturn{}
	for h, amounts := range u.amounts {
		u.sequence++
		m := &peerwire.QuotaReturn{Sequence: u.sequence}
		for c, amount := range amounts {
			if len(m.Unused) == maxEntries {
				break
			}
			m.Unused = append(m.Unused, peerwire.QuotaUnused{Customer: string(c), Amount: amount})
			delete(amounts, c)
		}
		if len(amounts) == 0 {
			delete(u.amounts, h)
		}
		all[h] = m
	}
	return all
}

// prune forgets the processes that the view no longer has.
func (u *unused) prune(v *gossiper.View) {
	u.accepted.Prune(func(i identifier.Incarnation) bool {
		_, ok := v.ByIncarnation(i)
		return ok
	})
}

// returnUnused sends what is not used back to the granting hosts.
func (c *Charger) returnUnused(now time.Time) {
	c.mu.Lock()
	for _, r := range c.borrower.Expire(now) {
		c.unused.add(r)
	}
	all := c.unused.take()
	c.mu.Unlock()
	for h, m := range all {
		c.sendBack(h, m, now)
	}
}

func (c *Charger) sendBack(to identifier.Host, m *peerwire.QuotaReturn, now time.Time) {
	if to == c.deps.Host {
		for _, u := range m.Unused {
			c.takeBack(identifier.Customer(u.Customer), u.Amount, now)
		}
		return
	}
	peer, ok := c.deps.Members.View().ByHost(to)
	if !ok {
		return
	}
	c.deps.Group.Run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, returnTimeout)
		defer cancel()
		// If the message is lost, so are the units.
		_ = c.deps.Links.Send(ctx, peer.Address, peerwire.KindQuotaReturn, m)
	})
}
