package allocator

import (
	"math/rand/v2"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/router"
	"github.com/jackdawthread/jackdawthread/scheduler"
)

// Pool is the allocator of one service in one data centre.
type Pool struct {
	service    *compiler.Service
	dataCenter identifier.DataCenter
	options    Options
	random     *rand.Rand

	endpoints []*endpoint
	byName    map[identifier.Endpoint]*endpoint
	// prefill holds the seconds of prefill that wait at each prefill engine;
	// decode the share of each decode engine's slots that is taken.
	prefill *router.Table
	decode  *router.Table
	choice  router.Policy
	cache   *router.PrefixAffinity

	heldBack  []*endpoint
	stale     int // endpoints with old reports
	installed int // counts the lists of endpoints
	staleTurn int // the endpoint that was looked at last

	queue    *scheduler.Queue[identifier.Attempt, *wish]
	grants   map[identifier.Attempt]*grant
	homes    map[identifier.Incarnation]*home
	released releasedSet
	link     linkRoom
	// promised are the grants without a decode engine, the first ready first.
	promised  []*grant
	freed     completions
	drain     drainRate
	meanRate  float64 // prefill tokens a second, 0: unknown
	meanStep  float64
	room      room
	slots     int
	perPiece  identifier.Tokens
	used      map[identifier.Firm]int
	firms     []identifier.Firm // keys of used, in order of appearance
	born      time.Time
	lastEvent time.Time

	actions []Action
}

// New gives an empty pool; the seed decides all its random draws.
func New(
	service *compiler.Service,
	dataCenter identifier.DataCenter,
	links map[compiler.LinkKey]*compiler.Link,
	options Options,
	seed uint64,
) *Pool {
	p := &Pool{
		dataCenter: dataCenter,
		options:    options.withDefaults(),
		random:     rand.New(rand.NewPCG(seed, seed)),
		byName:     map[identifier.Endpoint]*endpoint{},
		queue:      scheduler.New[identifier.Attempt, *wish](scheduler.Policy{}),
		grants:     map[identifier.Attempt]*grant{},
		homes:      map[identifier.Incarnation]*home{},
		used:       map[identifier.Firm]int{},
		released:   newReleasedSet(),
	}
	p.install(service, links)
	return p
}

// Configure puts a new revision of the declarations in force. Grants at
// endpoints that it doesn't declare stay until they end.
func (p *Pool) Configure(service *compiler.Service, links map[compiler.LinkKey]*compiler.Link, now time.Time) []Action {
	p.start(now)
	p.install(service, links)
	for _, e := range p.endpoints {
		p.refresh(e, now)
	}
	return p.serve(now)
}

// SetContracts replaces the contracts on lending.
func (p *Pool) SetContracts(contracts []*compiler.Contract, now time.Time) []Action {
	p.start(now)
	p.options.Contracts = contracts
	return p.serve(now)
}

func (p *Pool) install(service *compiler.Service, links map[compiler.LinkKey]*compiler.Link) {
	p.service = service
	p.queue.SetPolicy(scheduler.Policy{
		FloorShare: service.FloorShare,
		AgedShare:  p.options.AgedShare,
		AgeLimit:   service.AgeLimit,
	})
	p.link.configure(links[compiler.LinkKey{From: p.dataCenter, To: p.dataCenter}], p.options.ResultLife)
	p.installEndpoints()
}

func (p *Pool) installEndpoints() {
	known := p.byName
	p.byName = map[identifier.Endpoint]*endpoint{}
	p.endpoints = nil
	p.slots, p.stale = 0, 0
	p.installed++
	var names []identifier.Endpoint
	moved := map[int32]int32{}
	for _, declared := range p.service.Endpoints {
		if declared.DataCenter != p.dataCenter {
			continue
		}
		e := known[declared.Name]
		if e != nil {
			moved[e.index] = int32(len(p.endpoints))
		}
		delete(known, declared.Name)
		if e == nil {
			e = &endpoint{}
		}
		e.declare(declared, int32(len(p.endpoints)), p.options)
		p.add(e)
		names = append(names, declared.Name)
	}
	p.keepRemoved(known, &names, moved)
	p.sumUp()
	p.prefill = router.NewTable(len(p.endpoints))
	p.decode = router.NewTable(len(p.endpoints))
	p.installCache(names, moved)
}

// installCache keeps what is known of the caches of endpoints that stay.
func (p *Pool) installCache(names []identifier.Endpoint, moved map[int32]int32) {
	if p.cache == nil {
		p.cache = router.NewPrefixAffinity(names, p.options.Affinity)
	} else {
		p.cache.Renumber(names, moved)
	}
	p.choice = p.options.Prefill
	if p.choice == nil {
		p.choice = p.cache
	}
}

// keepRemoved keeps endpoints that are declared no more but hold grants.
func (p *Pool) keepRemoved(known map[identifier.Endpoint]*endpoint, names *[]identifier.Endpoint, moved map[int32]int32) {
	for _, e := range sortedEndpoints(known) {
		if len(e.holds) == 0 {
			continue
		}
		e.leaving = true
		moved[e.index] = int32(len(p.endpoints))
		e.index = int32(len(p.endpoints))
		p.add(e)
		*names = append(*names, e.name)
	}
}

func (p *Pool) add(e *endpoint) {
	p.endpoints = append(p.endpoints, e)
	p.byName[e.name] = e
	e.stale = false
	if e.decodes {
		p.slots += e.slots
		p.perPiece = e.perPiece
	}
}

// Ask queues an attempt, or refuses it when it can't be served in time.
func (p *Pool) Ask(a Ask, now time.Time) []Action {
	p.start(now)
	if p.grants[a.Attempt] != nil || p.queue.Has(a.Attempt) {
		return nil // a resent ask is answered by the first one
	}
	if p.released.has(a.Attempt) { // its withdrawal came first
		p.refuse(a.Attempt, a.Urgency, classifier.ReasonCanceled)
		return p.serve(now)
	}
	p.meet(p.firm(a.Firm))
	w := p.newWish(a, now)
	if reason, ok := p.early(w, now); !ok {
		p.refuse(a.Attempt, a.Urgency, reason)
		return p.serve(now)
	}
	p.queue.Push(entry{
		Key:    a.Attempt,
		Value:  w,
		Urgent: a.Urgency == compiler.UrgencyUrgent,
		Firm:   p.firm(a.Firm),
		Cost:   w.run.Seconds(),
		Expiry: w.startBy(),
	}, now)
	return p.serve(now)
}

// Started notes how far a granted attempt has come.
func (p *Pool) Started(a identifier.Attempt, phase Phase, now time.Time) []Action {
	p.start(now)
	if g := p.grants[a]; g != nil {
		p.advance(g, phase, now)
	}
	return p.serve(now)
}

// Release ends a granted or waiting attempt. For a waiting one it is the end:
// no action on it follows.
func (p *Pool) Release(a identifier.Attempt, outcome Outcome, now time.Time) []Action {
	p.start(now)
	if _, ok := p.queue.Remove(a); ok {
		return p.serve(now)
	}
	p.judge(a, outcome, now)
	if g := p.grants[a]; g != nil {
		p.drop(g, now)
	}
	p.released.add(a, now)
	return p.serve(now)
}

// Tick does what has become due.
func (p *Pool) Tick(now time.Time) []Action {
	p.start(now)
	p.expireHomes(now)
	p.released.expire(now.Add(-p.options.Lease))
	p.refreshHeldBack(now)
	p.refreshStale(now)
	return p.serve(now)
}

// start opens the handling of one event.
func (p *Pool) start(now time.Time) {
	p.actions = nil
	p.lastEvent = now
	if p.born.IsZero() {
		p.born = now
		for _, e := range p.endpoints {
			p.refresh(e, now)
		}
	}
}
