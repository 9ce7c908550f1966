package charger

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/authenticator"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/lender"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	// Bounds of what is accepted from another host.
	maxEntries   = 4096
	maxNameBytes = 256
	maxUnits     = 1e15
)

// quotas are the limited customers of one version of the declarations.
type quotas struct {
	index      *authenticator.Index
	byCustomer map[identifier.Customer]authenticator.Quota
}

// declare puts the quotas of new declarations in force.
func (c *Charger) declare(s *registrar.Snapshot) {
	old := c.quotas.Load()
	if s.Declarations == nil || s.Declarations.Customers == old.index {
		return
	}
	fresh := &quotas{index: s.Declarations.Customers, byCustomer: map[identifier.Customer]authenticator.Quota{}}
	changed := 0
	if fresh.index != nil {
		for _, holder := range fresh.index.Customers() {
			if !holder.Quota.Limited() {
				continue
			}
			fresh.byCustomer[holder.Name] = holder.Quota
			if holder.Quota != old.byCustomer[holder.Name] {
				changed++
			}
		}
	}
	c.quotas.Store(fresh)
	if len(fresh.byCustomer) > 0 {
		c.timers.Do(c.startTimers)
	}
	c.deps.Log.Info("quotas-in-force", zap.Uint64("version", uint64(s.Declarations.Version)),
		zap.Int("customers", len(fresh.byCustomer)), zap.Int("changed", changed))
}

// lend lends units from this host's share of a quota; ready is false if it doesn't lend them.
func (c *Charger) lend(a lender.Ask, now time.Time) (l lender.Loan, ready bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lends {
		return lender.Loan{}, false
	}
	s, ok := c.share(a.Customer, now)
	if !ok {
		return lender.Loan{}, false
	}
	l = c.lender.Lend(a, s, now)
	c.counts.Lent += l.Amount
	return l, true
}

// share returns this host's share of a customer's quota; ok is false if it has none. c.mu must
// be held.
func (c *Charger) share(customer identifier.Customer, now time.Time) (s lender.Share, ok bool) {
	quota, ok := c.quotas.Load().byCustomer[customer]
	if !ok {
		return lender.Share{}, false
	}
	list, _ := c.granters.of(customer, c.deps, now)
	own := slices.ContainsFunc(list, func(m gossiper.Member) bool { return m.Host == c.deps.Host })
	return lender.ShareOf(quota, len(list)), own
}

// takeBack returns units to this host's share.
func (c *Charger) takeBack(customer identifier.Customer, amount float64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.share(customer, now); ok {
		c.lender.TakeBack(customer, s, amount, now)
		c.counts.TakenBack += amount
	}
}

// Registry registers handlers for messages from other hosts.
type Registry interface {
	Handle(kind peerwire.Kind, h messenger.Handler)
}

// Register registers the message handlers.
func (c *Charger) Register(to Registry) {
	to.Handle(peerwire.KindQuota, c.handleRequest)
	to.Handle(peerwire.KindQuotaReturn, c.handleReturn)
}

// handleRequest lends units to another host.
func (c *Charger) handleRequest(_ context.Context, _ messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	asks, err := decodeRequest(payload)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	reply := &peerwire.QuotaReply{}
	for _, a := range asks {
		l, ready := c.lend(a, now)
		reply.Loans = append(reply.Loans, peerwire.QuotaLoan{Ready: ready, Amount: l.Amount, Level: l.Level})
	}
	return reply, nil
}

// handleReturn takes back what another host hasn't used.
func (c *Charger) handleReturn(_ context.Context, from messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	m, err := decodeReturn(payload)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	fresh := c.unused.accepted.Accept(from.Incarnation, m.Sequence)
	c.mu.Unlock()
	if !fresh {
		return nil, nil
	}
	now := time.Now()
	for _, u := range m.Unused {
		c.takeBack(identifier.Customer(u.Customer), u.Amount, now)
	}
	return nil, nil
}

func encodeAsk(a lender.Ask) peerwire.QuotaAsk {
	return peerwire.QuotaAsk{Customer: string(a.Customer), Least: a.Least, Most: a.Most, Size: a.Size}
}

// decodeRequest converts a message to asks. It rejects what no host of this program sends.
func decodeRequest(payload []byte) ([]lender.Ask, error) {
	var m peerwire.QuotaRequest
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, malformed("%v", err)
	}
	if len(m.Asks) > maxEntries {
		return nil, malformed("%d asks", len(m.Asks))
	}
	var asks []lender.Ask
	for _, a := range m.Asks {
		if !isName(a.Customer) || !isAmount(a.Least) || !isAmount(a.Most) || !isAmount(a.Size) {
			return nil, malformed("ask for %d bytes of name, %v to %v units of %v", len(a.Customer), a.Least, a.Most, a.Size)
		}
		asks = append(asks, lender.Ask{Customer: identifier.Customer(a.Customer), Least: a.Least, Most: a.Most, Size: a.Size})
	}
	return asks, nil
}

// decodeLoan converts the answer to one ask. More than was asked for isn't lent by any host.
func decodeLoan(m *peerwire.QuotaReply, a lender.Ask) (l lender.Loan, ready bool, err error) {
	if len(m.Loans) != 1 {
		return lender.Loan{}, false, malformed("%d loans for one ask", len(m.Loans))
	}
	r := m.Loans[0]
	if !isAmount(r.Amount) || !isAmount(r.Level) || r.Amount > a.Most {
		return lender.Loan{}, false, malformed("loan of %v units, %v left", r.Amount, r.Level)
	}
	return lender.Loan{Amount: r.Amount, Level: r.Level}, r.Ready, nil
}

func decodeReturn(payload []byte) (*peerwire.QuotaReturn, error) {
	m := &peerwire.QuotaReturn{}
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, malformed("%v", err)
	}
	if len(m.Unused) > maxEntries {
		return nil, malformed("%d amounts", len(m.Unused))
	}
	for _, u := range m.Unused {
		if !isName(u.Customer) || !isAmount(u.Amount) {
			return nil, malformed("return for %d bytes of name, %v units", len(u.Customer), u.Amount)
		}
	}
	return m, nil
}

func isName(s string) bool {
	return s != "" && len(s) <= maxNameBytes
}

// isAmount reports whether an amount is a number of units; NaN isn't.
func isAmount(units float64) bool {
	return units >= 0 && units <= maxUnits && !math.IsNaN(units)
}

func malformed(format string, args ...any) error {
	return classifier.NotRun(classifier.ReasonBadRequest, 0, "malformed message on quotas: "+format, args...)
}
