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

// Pool is the allocator of one service in one data center.
type Pool struct {
	service    *compiler.Service
	dataCenter identifier.DataCenter
	options    Options
	random     *rand.Rand

	endpoints []*endpoint
	byName    map[identifier.Endpoint]*endpoint
	// prefillTable orders the usable prefill engines by the time at which they
	// are expected to be idle, decodeTable the usable decode engines by
	// utilization.
	prefillTable  *router.Table
	decodeTable   *router.Table
	prefillPolicy router.Policy
	prefixCache   *router.PrefixAffinity

	// recheck lists the endpoints that are unusable for a limited time. Each
	// tick checks them again.
	recheck          []*endpoint
	staleCount       int // endpoints with old reports
	endpointsVersion int // version of the endpoint list
	staleCursor      int // index of the endpoint whose report age was checked last

	queue    *scheduler.Queue[identifier.Attempt, *pendingRequest]
	grants   map[identifier.Attempt]*grant
	homes    map[identifier.Incarnation]*home
	released releasedSet
	link     linkBudget
	// unbound holds the grants without a decode engine, ordered by the
	// expected end of their prefill.
	unbound        []*grant
	completions    completions
	drain          drainRate
	meanRate       float64 // prefill tokens per second, 0: unknown
	meanStep       float64 // seconds, 0: unknown
	capacity       capacity
	slots          int               // total of the decode engines
	tokensPerPiece identifier.Tokens // of the decode engines
	slotsUsed      map[identifier.Firm]int
	firms          []identifier.Firm // keys of slotsUsed, in order of appearance
	startedAt      time.Time         // time of the first event
	lastEvent      time.Time

	actions []Action
}

// New returns an empty pool. seed initializes its random number generator.
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
		queue:      scheduler.New[identifier.Attempt, *pendingRequest](scheduler.Policy{}),
		grants:     map[identifier.Attempt]*grant{},
		homes:      map[identifier.Incarnation]*home{},
		slotsUsed:  map[identifier.Firm]int{},
		released:   newReleasedSet(),
	}
	p.applyService(service, links)
	return p
}

// Configure applies a new revision of the declarations. Grants at endpoints
// that are no longer declared remain until they end.
func (p *Pool) Configure(service *compiler.Service, links map[compiler.LinkKey]*compiler.Link, now time.Time) []Action {
	p.beginEvent(now)
	p.applyService(service, links)
	for _, e := range p.endpoints {
		p.refresh(e, now)
	}
	return p.serve(now)
}

// SetContracts replaces the contracts that lend slots to other firms.
func (p *Pool) SetContracts(contracts []*compiler.Contract, now time.Time) []Action {
	p.beginEvent(now)
	p.options.Contracts = contracts
	return p.serve(now)
}

// applyService applies the declarations of the service and its links.
func (p *Pool) applyService(service *compiler.Service, links map[compiler.LinkKey]*compiler.Link) {
	p.service = service
	p.queue.SetPolicy(scheduler.Policy{
		FloorShare: service.FloorShare,
		AgedShare:  p.options.AgedShare,
		AgeLimit:   service.AgeLimit,
	})
	p.link.configure(links[compiler.LinkKey{From: p.dataCenter, To: p.dataCenter}], p.options.ResultTTL)
	p.rebuildEndpoints()
}

// rebuildEndpoints rebuilds the endpoint list from the declarations and keeps
// the state of endpoints that are still declared.
func (p *Pool) rebuildEndpoints() {
	known := p.byName
	p.byName = map[identifier.Endpoint]*endpoint{}
	p.endpoints = nil
	p.slots, p.staleCount = 0, 0
	p.endpointsVersion++
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
		e.configure(declared, int32(len(p.endpoints)), p.options)
		p.addEndpoint(e)
		names = append(names, declared.Name)
	}
	p.keepRemoved(known, &names, moved)
	p.updateCapacity()
	p.prefillTable = router.NewTable(len(p.endpoints))
	p.decodeTable = router.NewTable(len(p.endpoints))
	p.renumberCache(names, moved)
}

// renumberCache keeps the known prefix cache contents of the endpoints that
// remain. moved maps their old indexes to the new ones.
func (p *Pool) renumberCache(names []identifier.Endpoint, moved map[int32]int32) {
	if p.prefixCache == nil {
		p.prefixCache = router.NewPrefixAffinity(names, p.options.Affinity)
	} else {
		p.prefixCache.SetEndpoints(names, moved)
	}
	p.prefillPolicy = p.options.Prefill
	if p.prefillPolicy == nil {
		p.prefillPolicy = p.prefixCache
	}
}

// keepRemoved keeps endpoints that are no longer declared but hold grants.
func (p *Pool) keepRemoved(known map[identifier.Endpoint]*endpoint, names *[]identifier.Endpoint, moved map[int32]int32) {
	for _, e := range sortedEndpoints(known) {
		if len(e.allocations) == 0 {
			continue
		}
		e.leaving = true
		moved[e.index] = int32(len(p.endpoints))
		e.index = int32(len(p.endpoints))
		p.addEndpoint(e)
		*names = append(*names, e.name)
	}
}

func (p *Pool) addEndpoint(e *endpoint) {
	p.endpoints = append(p.endpoints, e)
	p.byName[e.name] = e
	e.stale = false
	if e.decodes {
		p.slots += e.slots
		p.tokensPerPiece = e.tokensPerPiece
	}
}

// Ask queues an attempt, or refuses it if it can't be served in time.
func (p *Pool) Ask(a SlotRequest, now time.Time) []Action {
	p.beginEvent(now)
	if p.grants[a.Attempt] != nil || p.queue.Has(a.Attempt) {
		return nil // a duplicate; the first request gets the answer
	}
	if p.released.has(a.Attempt) { // the release overtook the slot request
		p.refuse(a.Attempt, a.Urgency, classifier.ReasonCanceled)
		return p.serve(now)
	}
	p.trackFirm(p.firm(a.Firm))
	pending := p.newPendingRequest(a, now)
	if reason, ok := p.checkAdmission(pending, now); !ok {
		p.refuse(a.Attempt, a.Urgency, reason)
		return p.serve(now)
	}
	p.queue.Push(entry{
		Key:    a.Attempt,
		Value:  pending,
		Urgent: a.Urgency == compiler.UrgencyUrgent,
		Firm:   p.firm(a.Firm),
		Cost:   pending.decodeTime.Seconds(),
		Expiry: pending.latestStart(),
	}, now)
	return p.serve(now)
}

// AdvancePhase records that a granted attempt reached a phase.
func (p *Pool) AdvancePhase(a identifier.Attempt, phase Phase, now time.Time) []Action {
	p.beginEvent(now)
	if g := p.grants[a]; g != nil {
		p.advance(g, phase, now)
	}
	return p.serve(now)
}

// Release ends a granted or waiting attempt. No further actions follow for a
// waiting attempt.
func (p *Pool) Release(a identifier.Attempt, outcome Outcome, now time.Time) []Action {
	p.beginEvent(now)
	if _, ok := p.queue.Remove(a); ok {
		return p.serve(now)
	}
	p.recordOutcome(a, outcome, now)
	if g := p.grants[a]; g != nil {
		p.endGrant(g, now)
	}
	p.released.add(a, now)
	return p.serve(now)
}

// Tick runs the time-based work: it expires leases, rechecks endpoints and
// serves the queue.
func (p *Pool) Tick(now time.Time) []Action {
	p.beginEvent(now)
	p.expireHomes(now)
	p.released.expire(now.Add(-p.options.Lease))
	p.recheckUnusable(now)
	p.refreshStale(now)
	return p.serve(now)
}

// beginEvent starts the handling of one event.
func (p *Pool) beginEvent(now time.Time) {
	p.actions = nil
	p.lastEvent = now
	if p.startedAt.IsZero() {
		p.startedAt = now
		for _, e := range p.endpoints {
			p.refresh(e, now)
		}
	}
}
