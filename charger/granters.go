package charger

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/lender"
)

// choiceTime is how long a choice of granting hosts is used while the view is the same. Which
// hosts are known depends on the time too.
const choiceTime = time.Second

// granters remembers the granting hosts of customers.
type granters struct {
	view  *gossiper.View
	at    time.Time
	known []gossiper.Member
	// changedAt is when other hosts became known, or hosts unknown.
	changedAt time.Time
	chosen    map[identifier.Customer][]gossiper.Member
}

// of returns a customer's granting hosts, live or not, and the number of known hosts.
func (g *granters) of(c identifier.Customer, d Deps, now time.Time) (list []gossiper.Member, known int) {
	if g.view != d.Members.View() || now.Sub(g.at) >= choiceTime {
		g.refresh(d, now)
	}
	list, ok := g.chosen[c]
	if !ok {
		key := xxhash.Sum64String("quota\x00" + string(c))
		list = gossiper.SpreadEvenly(g.known, key, lender.Granters)
		g.chosen[c] = list
	}
	return list, len(g.known)
}

// refresh takes over which hosts are known.
func (g *granters) refresh(d Deps, now time.Time) {
	known := d.Hosts.KnownHosts(now)
	if !sameHosts(known, g.known) {
		g.changedAt = now
	}
	g.view, g.at, g.known = d.Members.View(), now, known
	g.chosen = map[identifier.Customer][]gossiper.Member{}
}

func sameHosts(a, b []gossiper.Member) bool {
	if len(a) != len(b) {
		return false
	}
	names := map[identifier.Host]bool{}
	for _, m := range a {
		names[m.Host] = true
	}
	return !slices.ContainsFunc(b, func(m gossiper.Member) bool { return !names[m.Host] })
}

func isLive(m gossiper.Member) bool {
	return m.State == gossiper.StateAlive || m.State == gossiper.StateSuspect
}

// deadDistance is the distance of a host that is taken for dead.
const deadDistance = 3

// distance orders granting hosts: this one, those in its data center, the others, and last
// those that are taken for dead.
func (c *Charger) distance(m gossiper.Member) int {
	switch {
	case m.Host == c.deps.Host:
		return 0
	case !isLive(m):
		return deadDistance
	case m.DataCenter == c.deps.DataCenter:
		return 1
	default:
		return 2
	}
}

// doubt is 1 for a host that may not answer, as it is taken for dead or didn't lately; otherwise
// 0. c.mu must be held.
func (c *Charger) doubt(m gossiper.Member, now time.Time) int {
	at, silent := c.silent[m.Host]
	if m.Host != c.deps.Host && (!isLive(m) || silent && now.Sub(at) < silentTime) {
		return 1
	}
	return 0
}

// askable returns granting hosts without those that are bypassed, and those in doubt last. c.mu
// must be held.
func (c *Charger) askable(all []gossiper.Member, now time.Time) []gossiper.Member {
	var list []gossiper.Member
	for _, m := range all {
		if !now.Before(c.bypassed[m.Host]) {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b gossiper.Member) int { return cmp.Compare(c.doubt(a, now), c.doubt(b, now)) })
	return list
}

// fullest returns the granting hosts that may be asked: first those that have most left, as full
// buckets waste what they are filled with, and of these the nearest. c.mu must be held.
func (c *Charger) fullest(customer identifier.Customer, all []gossiper.Member, s lender.Share, now time.Time) []gossiper.Member {
	list := c.askable(all, now)
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	slices.SortStableFunc(list, func(a, b gossiper.Member) int {
		if doubt := cmp.Compare(c.doubt(a, now), c.doubt(b, now)); doubt != 0 {
			return doubt
		}
		left := func(m gossiper.Member) float64 { return c.borrower.Estimate(customer, m.Host, s, now) }
		return cmp.Or(cmp.Compare(left(b), left(a)), cmp.Compare(c.distance(a), c.distance(b)))
	})
	return list
}
