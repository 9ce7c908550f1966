package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/timer"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// LoadObservation is a load report of an endpoint. Load is nil if the endpoint
// could not be reached.
type LoadObservation struct {
	Endpoint *compiler.Endpoint
	Load     *enginewire.LoadResponse
}

// probe periodically fetches the load report and cache events of one endpoint.
type probe struct {
	pool         *pool
	endpoint     *compiler.Endpoint
	subscription *timer.Subscription
	inFlight     atomic.Bool
	lastSequence uint64 // accessed only by the one fetch in flight
}

// updateProbes starts and stops probes so that exactly the service's endpoints in
// the pool's data center are probed.
func (p *pool) updateProbes(s *compiler.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	wanted := make(map[identifier.Endpoint]bool)
	for _, e := range s.Endpoints {
		if e.DataCenter != p.key.DataCenter {
			continue
		}
		wanted[e.Name] = true
		if old, ok := p.probes[e.Name]; ok && old.endpoint.Address == e.Address {
			continue
		}
		p.startProbe(e)
	}
	for name, r := range p.probes {
		if !wanted[name] {
			r.stop()
			delete(p.probes, name)
		}
	}
}

// startProbe starts a probe of e and stops any previous one. The caller holds p.mu.
func (p *pool) startProbe(e *compiler.Endpoint) {
	if old, ok := p.probes[e.Name]; ok {
		old.stop()
	}
	r := &probe{pool: p, endpoint: e}
	p.probes[e.Name] = r
	r.subscription = p.deps.Timer.Every(p.deps.Options.ProbePeriod, func(time.Time) { r.fetchAsync() })
	r.fetchAsync()
}

func (r *probe) stop() {
	r.subscription.Cancel()
}

// fetchAsync fetches once in the background, unless a fetch is already in flight.
func (r *probe) fetchAsync() {
	if !r.inFlight.CompareAndSwap(false, true) {
		return
	}
	r.pool.deps.Group.Run(func(ctx context.Context) {
		defer r.inFlight.Store(false)
		ctx, cancel := context.WithTimeout(ctx, r.pool.deps.Options.ProbeTimeout)
		defer cancel()
		r.fetch(ctx)
	})
}

func (r *probe) fetch(ctx context.Context) {
	engine := r.pool.deps.Engines.Engine(r.endpoint.Address)
	load, err := engine.Load(ctx, connect.NewRequest(&enginewire.LoadRequest{}))
	if err != nil {
		if ctx.Err() == context.Canceled {
			return
		}
		r.observe(nil)
		r.pool.report(r.endpoint.Name, allocator.Report{Unreachable: true})
		return
	}
	r.observe(load.Msg)
	r.pool.report(r.endpoint.Name, decodeReport(load.Msg))
	r.fetchEvents(ctx)
}

func (r *probe) observe(load *enginewire.LoadResponse) {
	if r.pool.deps.Observe != nil {
		r.pool.deps.Observe(LoadObservation{Endpoint: r.endpoint, Load: load})
	}
}

func (r *probe) fetchEvents(ctx context.Context) {
	engine := r.pool.deps.Engines.Engine(r.endpoint.Address)
	response, err := engine.CacheEvents(ctx, connect.NewRequest(&enginewire.CacheEventsRequest{After: r.lastSequence}))
	if err != nil || len(response.Msg.GetEvents()) == 0 {
		return
	}
	events := make([]allocator.CacheEvent, 0, len(response.Msg.GetEvents()))
	for _, e := range response.Msg.GetEvents() {
		r.lastSequence = max(r.lastSequence, e.GetSequence())
		events = append(events, allocator.CacheEvent{
			Sequence: e.GetSequence(),
			Block:    identifier.BlockHash(e.GetBlock()),
			Evicted:  e.GetEvicted(),
		})
	}
	r.pool.cacheEvents(r.endpoint.Name, events)
}

func decodeReport(m *enginewire.LoadResponse) allocator.Report {
	r := allocator.Report{
		Age:         time.Duration(m.GetAgeMs()) * time.Millisecond,
		Slots:       int(m.GetSlots()),
		SlotsUsed:   int(m.GetSlotsUsed()),
		Pieces:      identifier.Pieces(m.GetPieces()),
		PiecesUsed:  identifier.Pieces(m.GetPiecesUsed()),
		Backlog:     m.GetPrefillBacklogTokens(),
		StepTime:    time.Duration(m.GetDecodeStepSeconds() * float64(time.Second)),
		PrefillRate: m.GetPrefillTokensPerSecond(),
		Leaving:     m.GetLeaving(),
	}
	for _, a := range m.GetAttempts() {
		r.Attempts = append(r.Attempts, identifier.Attempt{
			Incarnation: identifier.Incarnation(a.GetIncarnation()),
			Sequence:    a.GetSequence(),
		})
	}
	return r
}
