package coordinator

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// loadTable holds the expected waits at the pools of all data centers, as last
// reported by their owners. It is immutable.
type loadTable struct {
	waits map[Key]waitTimes
}

// waitTimes are the expected waits at a pool by urgency.
type waitTimes struct {
	urgent  time.Duration
	patient time.Duration
}

func (w waitTimes) forUrgency(u compiler.Urgency) time.Duration {
	if u == compiler.UrgencyUrgent {
		return w.urgent
	}
	return w.patient
}

// newLoadTable collects the load digests in a view. If two hosts report the same
// pool, as they may while its owner changes, the member that sorts last wins.
func newLoadTable(v *gossiper.View) *loadTable {
	t := &loadTable{waits: make(map[Key]waitTimes)}
	for _, m := range v.Members() {
		var digest peerwire.LoadDigest
		if len(m.Digest) == 0 || m.State == gossiper.StateDead {
			continue
		}
		if _, err := digest.UnmarshalMsg(m.Digest); err != nil {
			continue // digest of a later version; load data is optional
		}
		for _, p := range digest.Pools {
			k := Key{Service: identifier.Service(p.Service), DataCenter: m.DataCenter}
			t.waits[k] = waitTimes{
				urgent:  time.Duration(p.UrgentMs) * time.Millisecond,
				patient: time.Duration(p.PatientMs) * time.Millisecond,
			}
		}
	}
	return t
}

// Digest returns the encoded load of the pools that this host owns in its data
// center, for the other hosts, or nil if it owns none.
func (c *Coordinator) Digest() []byte {
	var digest peerwire.LoadDigest
	for _, p := range c.allPools() {
		if p.key.DataCenter != c.deps.DataCenter || !c.owns(p.key) {
			continue
		}
		w := p.expectedWaits()
		digest.Pools = append(digest.Pools, peerwire.PoolLoad{
			Service:   string(p.key.Service),
			UrgentMs:  milliseconds(w.urgent),
			PatientMs: milliseconds(w.patient),
		})
	}
	if len(digest.Pools) == 0 {
		return nil
	}
	slices.SortFunc(digest.Pools, func(a, b peerwire.PoolLoad) int { return strings.Compare(a.Service, b.Service) })
	encoded, err := digest.MarshalMsg(nil)
	if err != nil {
		return nil // unreachable: encoding these field types can't fail
	}
	return encoded
}

func (c *Coordinator) owns(k Key) bool {
	owner, ok := c.owner(k)
	return ok && owner.Incarnation == c.deps.Self
}

func (p *pool) expectedWaits() waitTimes {
	p.mu.Lock()
	defer p.mu.Unlock()
	return waitTimes{
		urgent:  p.allocator.ExpectedWait(compiler.UrgencyUrgent),
		patient: p.allocator.ExpectedWait(compiler.UrgencyPatient),
	}
}

// searchOrder returns the data centers with endpoints of s in the order in which to
// try them: this host's data center first, unless the expected wait is much shorter
// in another one, and the rest in random order, so that homes with the same outdated
// digests don't all choose the same data center.
func (c *Coordinator) searchOrder(s *compiler.Service, u compiler.Urgency) []identifier.DataCenter {
	order := dataCenters(s)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	own := slices.Index(order, c.deps.DataCenter)
	if own < 0 {
		return order
	}
	order[0], order[own] = order[own], order[0]
	if better := c.fasterDataCenter(s, u, order); better > 0 {
		order[0], order[better] = order[better], order[0]
	}
	return order
}

// fasterDataCenter returns the index of a data center whose expected wait is less
// than half of that in the first one, or 0 if there is none.
func (c *Coordinator) fasterDataCenter(s *compiler.Service, u compiler.Urgency, order []identifier.DataCenter) int {
	t := c.loads.Load()
	if t == nil || c.deps.Options.SpillWait == 0 {
		return 0
	}
	own := c.localWait(t, Key{Service: s.Name, DataCenter: order[0]}, u)
	if own < c.deps.Options.SpillWait {
		return 0
	}
	for i, dc := range order[1:] {
		if w, known := t.waits[Key{Service: s.Name, DataCenter: dc}]; known && 2*w.forUrgency(u) < own {
			return i + 1
		}
	}
	return 0
}

// localWait returns the expected wait at a pool: directly from the allocator if
// this host owns the pool, otherwise from the load table.
func (c *Coordinator) localWait(t *loadTable, k Key, u compiler.Urgency) time.Duration {
	if p := c.ownPool(k); p != nil && c.owns(k) {
		return p.expectedWaits().forUrgency(u)
	}
	return t.waits[k].forUrgency(u)
}

func dataCenters(s *compiler.Service) []identifier.DataCenter {
	var all []identifier.DataCenter
	for _, e := range s.Endpoints {
		if !slices.Contains(all, e.DataCenter) {
			all = append(all, e.DataCenter)
		}
	}
	return all
}
