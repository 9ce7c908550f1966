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

// loadTable is the expected wait at the pools of all data centers, as their
// allocators' hosts told it last. It is never changed.
type loadTable struct {
	waits map[Key]waits
}

// waits are the expected waits at a pool.
type waits struct {
	urgent  time.Duration
	patient time.Duration
}

func (w waits) of(u compiler.Urgency) time.Duration {
	if u == compiler.UrgencyUrgent {
		return w.urgent
	}
	return w.patient
}

// readLoads gathers the load digests of a view. Of two hosts that report the
// same pool, as while it moves, the one that sorts last counts.
func readLoads(v *gossiper.View) *loadTable {
	t := &loadTable{waits: make(map[Key]waits)}
	for _, m := range v.Members() {
		var digest peerwire.LoadDigest
		if len(m.Digest) == 0 || m.State == gossiper.StateDead {
			continue
		}
		if _, err := digest.UnmarshalMsg(m.Digest); err != nil {
			continue // a later version's digest, which can be done without
		}
		for _, p := range digest.Pools {
			k := Key{Service: identifier.Service(p.Service), DataCenter: m.DataCenter}
			t.waits[k] = waits{
				urgent:  time.Duration(p.UrgentMs) * time.Millisecond,
				patient: time.Duration(p.PatientMs) * time.Millisecond,
			}
		}
	}
	return t
}

// Digest gives the load of the pools that this host allocates for its data
// center, as the other hosts read it; nil: there is none.
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
		return nil // the codec has no errors for these fields
	}
	return encoded
}

func (c *Coordinator) owns(k Key) bool {
	owner, ok := c.owner(k)
	return ok && owner.Incarnation == c.deps.Self
}

func (p *pool) expectedWaits() waits {
	p.mu.Lock()
	defer p.mu.Unlock()
	return waits{
		urgent:  p.decisions.ExpectedWait(compiler.UrgencyUrgent),
		patient: p.decisions.ExpectedWait(compiler.UrgencyPatient),
	}
}

// searchOrder gives the data centers with endpoints of s in the order in which
// they are asked: the own one first, unless much less of a wait is expected
// elsewhere, and the others in random order, so that homes with the same old
// digests don't all ask the same one.
func (c *Coordinator) searchOrder(s *compiler.Service, u compiler.Urgency) []identifier.DataCenter {
	order := dataCentersOf(s)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	own := slices.Index(order, c.deps.DataCenter)
	if own < 0 {
		return order
	}
	order[0], order[own] = order[own], order[0]
	if better := c.betterThanOwn(s, u, order); better > 0 {
		order[0], order[better] = order[better], order[0]
	}
	return order
}

// betterThanOwn gives the index of a data center where the expected wait is
// less than half of that in the first one; 0: there is none.
func (c *Coordinator) betterThanOwn(s *compiler.Service, u compiler.Urgency, order []identifier.DataCenter) int {
	t := c.loads.Load()
	if t == nil || c.deps.Options.SpillWait == 0 {
		return 0
	}
	own := c.ownWait(t, Key{Service: s.Name, DataCenter: order[0]}, u)
	if own < c.deps.Options.SpillWait {
		return 0
	}
	for i, dc := range order[1:] {
		if w, known := t.waits[Key{Service: s.Name, DataCenter: dc}]; known && 2*w.of(u) < own {
			return i + 1
		}
	}
	return 0
}

// ownWait gives the expected wait at a pool, first-hand where its allocator
// runs here.
func (c *Coordinator) ownWait(t *loadTable, k Key, u compiler.Urgency) time.Duration {
	if p := c.ownPool(k); p != nil && c.owns(k) {
		return p.expectedWaits().of(u)
	}
	return t.waits[k].of(u)
}

func dataCentersOf(s *compiler.Service) []identifier.DataCenter {
	var all []identifier.DataCenter
	for _, e := range s.Endpoints {
		if !slices.Contains(all, e.DataCenter) {
			all = append(all, e.DataCenter)
		}
	}
	return all
}
