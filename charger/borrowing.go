package charger

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/authenticator"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/lender"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// partAttempts is how often a request tries to borrow from several hosts: the first attempt
// tells how much each of them has.
const partAttempts = 2

// borrowing borrows the units for one request.
type borrowing struct {
	charger  *Charger
	customer *authenticator.Customer
	cost     float64
	share    lender.Share
	// fullest are the granting hosts in the order in which they are asked for the whole amount,
	// and granters in the order for parts; size is an equal part of the cost for each.
	fullest, granters []gossiper.Member
	size              float64
	// known is the number of known hosts.
	known int
	// answered is set once a granting host has answered, or is known to have too little.
	answered bool
	// parts are what was borrowed from several hosts.
	parts []lender.Return
}

// borrow obtains the units that are missing for a request, and spends them. A process that has
// just started waits for the granting hosts, which may have started with it.
func (c *Charger) borrow(ctx context.Context, customer *authenticator.Customer, cost float64) (retryAfter time.Duration, ok bool) {
	for {
		b := c.newBorrowing(customer, cost)
		if b.obtain(ctx) {
			return 0, true
		}
		if ctx.Err() != nil { // the caller has left, which says nothing about the other hosts
			return minRetryAfter, false
		}
		now := time.Now()
		if b.answered || now.Sub(c.started) >= maxStartWait {
			return b.conclude(now)
		}
		_ = sleeper.Sleep(ctx, unreadyTime) // ended early if the caller leaves
	}
}

// obtain borrows and spends the units that are missing, within maxWait. It keeps none if there are
// too few.
func (b *borrowing) obtain(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	if b.whole(ctx) {
		return true
	}
	for range partAttempts {
		if b.inParts(ctx) {
			return true
		}
	}
	b.giveBack()
	return false
}

func (c *Charger) newBorrowing(customer *authenticator.Customer, cost float64) *borrowing {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	all, known := c.granters.of(customer.Name, c.deps, now)
	share := lender.ShareOf(customer.Quota, len(all))
	return &borrowing{
		charger: c, customer: customer, cost: cost, known: known, share: share,
		size:     cost / float64(max(1, len(all))),
		fullest:  c.fullest(customer.Name, all, share, now),
		granters: c.askable(all, now),
	}
}

// whole borrows all that is missing from one host.
func (b *borrowing) whole(ctx context.Context) bool {
	for _, m := range b.fullest {
		o := b.offer(m)
		b.answered = b.answered || o.told
		if o.units < o.missing {
			continue
		}
		if b.ask(ctx, m, o.missing, o.missing+o.ahead) {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// inParts borrows what is missing from several hosts, if they have enough together. All requests
// ask in the same order, so that of two that compete one gets all its parts.
func (b *borrowing) inParts(ctx context.Context) bool {
	for _, m := range b.granters {
		if missing, sum := b.available(); ctx.Err() != nil || sum < missing {
			return false
		}
		o := b.offer(m)
		amount := min(o.missing, o.units)
		if amount > 0 && b.ask(ctx, m, amount, amount) {
			return true
		}
	}
	return false
}

// offer is what a host may lend for a request.
type offer struct {
	// missing is what the request needs, and ahead what to borrow beyond that.
	missing, ahead float64
	// units are what the host may have; told if it has said so lately.
	units float64
	told  bool
}

func (b *borrowing) offer(m gossiper.Member) offer {
	now, c := time.Now(), b.charger
	c.mu.Lock()
	defer c.mu.Unlock()
	o := offer{
		missing: c.borrower.Missing(b.customer.Name, b.cost, now),
		ahead:   c.borrower.Ahead(b.customer.Name, b.cost, now),
	}
	if !now.Before(c.bypassed[m.Host]) {
		o.units, o.told = c.borrower.Expect(b.customer.Name, m.Host, b.share, b.size, now)
	}
	return o
}

// available returns what is missing for the request, and what all hosts that answer may have.
func (b *borrowing) available() (missing, sum float64) {
	for _, m := range b.granters {
		o := b.offer(m)
		missing = o.missing
		sum += o.units
	}
	return missing, sum
}

// ask asks a granting host for units. It reports whether the request now has enough, and has
// spent them.
func (b *borrowing) ask(ctx context.Context, m gossiper.Member, least, most float64) bool {
	asked, c := time.Now(), b.charger
	a := lender.Ask{Customer: b.customer.Name, Least: least, Most: most, Size: b.size}
	var l lender.Loan
	var ready bool
	if m.Host == c.deps.Host {
		l, ready = c.lend(a, asked)
	} else {
		l, ready = c.askPeer(ctx, m, a)
	}
	if !ready {
		return false
	}
	b.answered = true
	return b.add(m.Host, l, asked)
}

// add adds a loan, and spends it if that is enough for the request.
func (b *borrowing) add(from identifier.Host, l lender.Loan, asked time.Time) bool {
	now, c := time.Now(), b.charger
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setAlone(false)
	late := c.borrower.Add(b.customer.Name, from, l, asked, now)
	c.unused.add(lender.Return{Granter: from, Customer: b.customer.Name, Amount: late})
	if l.Amount > 0 {
		b.parts = append(b.parts, lender.Return{Granter: from, Customer: b.customer.Name, Amount: l.Amount})
	}
	return c.borrower.Spend(b.customer.Name, b.cost, now)
}

// giveBack returns the parts of a request that got too few, at once, as others wait for them.
func (b *borrowing) giveBack() {
	if len(b.parts) == 0 {
		return
	}
	c := b.charger
	c.mu.Lock()
	for _, p := range b.parts {
		p.Amount = c.borrower.Remove(p.Customer, p.Granter, p.Amount)
		c.unused.add(p)
	}
	c.mu.Unlock()
	c.returnUnused(time.Now())
}

// conclude decides on a request for which too little could be borrowed: if no granting host
// answered, this host may admit it alone.
func (b *borrowing) conclude(now time.Time) (retryAfter time.Duration, ok bool) {
	c := b.charger
	c.mu.Lock()
	defer c.mu.Unlock()
	if !b.answered {
		return b.admitAlone(now)
	}
	available := 0.0
	for _, m := range b.granters {
		units, _ := c.borrower.Expect(b.customer.Name, m.Host, b.share, b.size, now)
		available += units
	}
	missing := c.borrower.Missing(b.customer.Name, b.cost, now) - available
	return b.refuse(waitFor(missing, b.share.Rate*float64(max(1, len(b.granters)))), now), false
}

// admitAlone admits a request without a granting host, within a small share of the quota. c.mu
// must be held.
func (b *borrowing) admitAlone(now time.Time) (retryAfter time.Duration, ok bool) {
	c, name := b.charger, b.customer.Name
	c.setAlone(true)
	if !c.deps.Hosts.Acquainted() { // how many hosts share the quota isn't known
		return b.refuse(unacquaintedRetryAfter, now), false
	}
	share := aloneShareOf(b.customer.Quota, b.known)
	l := c.alone.Lend(lender.Ask{Customer: name, Least: b.cost, Most: b.cost, Size: b.cost}, share, now)
	if l.Amount > 0 {
		c.borrower.RecordAlone(name, b.cost, now)
		return 0, true
	}
	return b.refuse(waitFor(b.cost-l.Level, share.Rate), now), false
}

// waitFor returns the time until the missing units are there, at least minRetryAfter.
func waitFor(missing, rate float64) time.Duration {
	return max(minRetryAfter, time.Duration(max(0, missing)/rate*float64(time.Second)))
}

// refuse refuses the request; its caller may return after wait or later. c.mu must be held.
func (b *borrowing) refuse(wait time.Duration, now time.Time) (retryAfter time.Duration) {
	leastRate := aloneShareOf(b.customer.Quota, b.known).Rate
	return b.charger.borrower.Refuse(b.customer.Name, b.cost, wait, leastRate, now)
}

// aloneShareOf returns what a host may use of a quota without any granting host.
func aloneShareOf(q authenticator.Quota, known int) lender.Share {
	part := aloneShare / float64(max(1, known))
	return lender.Share{Rate: part * q.Rate, Burst: part * q.Burst}
}

// setAlone records whether this host reaches granting hosts. c.mu must be held.
func (c *Charger) setAlone(alone bool) {
	if c.isAlone == alone {
		return
	}
	c.isAlone = alone
	if alone {
		c.deps.Log.Warn("quota-hosts-unreachable")
	} else {
		c.deps.Log.Info("quota-hosts-reached")
	}
}

// askPeer asks another host for units.
func (c *Charger) askPeer(ctx context.Context, m gossiper.Member, a lender.Ask) (l lender.Loan, ready bool) {
	asked := time.Now()
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request := &peerwire.QuotaRequest{Asks: []peerwire.QuotaAsk{encodeAsk(a)}}
	var reply peerwire.QuotaReply
	err := c.deps.Links.Call(call, m.Address, peerwire.KindQuota, request, &reply)
	if err == nil {
		l, ready, err = decodeLoan(&reply, a)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Asked++
	switch {
	case err != nil && ctx.Err() != nil && time.Since(asked) < askTimeout: // the request waits no longer
	case err != nil:
		c.counts.Unanswered++
		c.bypassed[m.Host] = time.Now().Add(bypassTime)
		c.silent[m.Host] = time.Now()
		c.deps.Log.Info("quota-host-unreachable", zap.String("customer", string(a.Customer)),
			zap.String("peer", string(m.Host)), zap.Error(err))
	case !ready:
		c.bypassed[m.Host] = time.Now().Add(unreadyTime)
	}
	if err == nil {
		delete(c.silent, m.Host)
	}
	return l, ready
}
