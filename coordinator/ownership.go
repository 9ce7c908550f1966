package coordinator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/gossiper"
)

// pool gives this host's allocator of the pool and starts it if need be.
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
	p := newPool(k, &c.deps, &orphans{coordinator: c, key: k}, f)
	for _, e := range f.Services[k.Service].Endpoints {
		p.mark(c.deps.Members.View(), e)
	}
	c.pools[k] = p
	return p, nil
}

// ownPool gives the pool if this host runs an allocator of it, else nil.
func (c *Coordinator) ownPool(k Key) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pools[k]
}

// viewChanged takes over the pools that fall to this host now, gives up those
// that don't, and ends the leases of dead homes.
func (c *Coordinator) viewChanged(v *gossiper.View) {
	for _, m := range v.Members() {
		if m.State == gossiper.StateDead {
			c.homeDead(m.Incarnation)
		}
	}
	c.loads.Store(readLoads(v))
	c.claim(v)
	c.giveUp(v)
	c.markLeaving(v)
	c.renewAll()
}

// markLeaving keeps new work from endpoints that are leaving, and lets it come
// again where a later revision says that they serve.
func (c *Coordinator) markLeaving(v *gossiper.View) {
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
			p.mark(v, e)
		}
	}
}

func (c *Coordinator) homeDead(home identifier.Incarnation) {
	for _, p := range c.allPools() {
		p.homeDead(home)
	}
}

// claim starts the allocators of this host's pools, so that attempts without
// a living home are found even when nobody asks for slots.
func (c *Coordinator) claim(v *gossiper.View) {
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
			_, _ = c.pool(k) // the service is declared
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

// giveUp closes allocators that another reachable host runs now, once they
// have not been used for a while. What waits at them asks the other host.
func (c *Coordinator) giveUp(v *gossiper.View) {
	since := time.Now().Add(-c.deps.Options.FallbackLinger)
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
		p.moveOn()
	}
}

// moveOn sends those that wait to the pool's new allocator.
func (p *pool) moveOn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turnAway()
}
