package coordinator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/gossiper"
)

// pool returns this host's allocator of the pool and starts it if necessary.
func (c *Coordinator) pool(k Key) (*pool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pools[k]; ok {
		return p, nil
	}
	f := c.deps.Fleet()
	if f == nil || f.Services[k.Service] == nil || f.Services[k.Service].Kind != compiler.KindModel {
		return nil, classifier.NotRun(classifier.ReasonUnknownService, 0, "model service %q is not declared", k.Service)
	}
	p := newPool(k, &c.deps, &orphanCanceler{coordinator: c, key: k}, f)
	for _, e := range f.Services[k.Service].Endpoints {
		p.applyMark(c.deps.Members.View(), e)
	}
	c.pools[k] = p
	return p, nil
}

// ownPool returns the pool if this host runs an allocator of it, and nil otherwise.
func (c *Coordinator) ownPool(k Key) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pools[k]
}

// onViewChange starts the allocators of pools that this host now owns, releases
// those of pools that moved away, and ends the leases of dead homes.
func (c *Coordinator) onViewChange(v *gossiper.View) {
	for _, m := range v.Members() {
		if m.State == gossiper.StateDead {
			c.endLeases(m.Incarnation)
		}
	}
	c.loads.Store(newLoadTable(v))
	c.startOwnedPools(v)
	c.releaseMovedPools(v)
	c.updateMarks(v)
	c.renewAll()
}

// updateMarks stops new work for endpoints that are marked as leaving, and resumes
// it if a later revision declares that they serve again.
func (c *Coordinator) updateMarks(v *gossiper.View) {
	f := c.deps.Fleet()
	if f == nil {
		return
	}
	for _, p := range c.allPools() {
		s := f.Services[p.key.Service]
		if s == nil {
			continue
		}
		for _, e := range s.Endpoints {
			p.applyMark(v, e)
		}
	}
}

func (c *Coordinator) endLeases(home identifier.Incarnation) {
	for _, p := range c.allPools() {
		p.endLeases(home)
	}
}

// startOwnedPools starts the allocators of the pools that this host owns, so that
// attempts of dead homes are detected even if no slots are requested.
func (c *Coordinator) startOwnedPools(v *gossiper.View) {
	f := c.deps.Fleet()
	if f == nil || v == nil {
		return
	}
	for _, s := range f.Services {
		if s.Kind != compiler.KindModel || !servedIn(s, c.deps.DataCenter) {
			continue
		}
		k := Key{Service: s.Name, DataCenter: c.deps.DataCenter}
		owner, ok := v.Owner(k.DataCenter, k.Hash())
		if ok && owner.Incarnation == c.deps.Self {
			_, _ = c.pool(k) // can't fail: the service is declared
		}
	}
}

func servedIn(s *compiler.Service, dc identifier.DataCenter) bool {
	for _, e := range s.Endpoints {
		if e.DataCenter == dc {
			return true
		}
	}
	return false
}

// releaseMovedPools closes the allocators of pools that another reachable host now
// owns, once they have been idle for FallbackIdleTimeout. Slot requests that wait at
// them are redirected to the new owner at once.
func (c *Coordinator) releaseMovedPools(v *gossiper.View) {
	since := time.Now().Add(-c.deps.Options.FallbackIdleTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, p := range c.pools {
		owner, ok := v.Owner(k.DataCenter, k.Hash())
		if !ok || owner.Incarnation == c.deps.Self {
			continue
		}
		if p.idleSince(since) {
			p.close()
			delete(c.pools, k)
			continue
		}
		p.redirectWaiting()
	}
}

// redirectWaiting makes waiting slot requests retry at the pool's new owner.
func (p *pool) redirectWaiting() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rejectWaiting()
}
