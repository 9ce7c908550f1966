package reserver

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/estimator"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/stager"
)

const (
	// rebalancePeriod is the interval between checks of the engines' stages.
	rebalancePeriod = 250 * time.Millisecond
	orderTimeout    = time.Second
	// refusedOrderBackoff is how long no orders are given after an order failed. An
	// engine refuses an order if another host has used a higher fencing token.
	refusedOrderBackoff = 30 * time.Second
	// fencesPerRevision is the number of fencing tokens for each revision of the
	// store. Hosts hash their names into this range, so that two hosts are unlikely to
	// use the same token.
	fencesPerRevision = 1000
	// fencesPerEra is the number of fencing tokens for each era of the store. A
	// store that is restored may lose ten million revisions until tokens are used
	// again.
	fencesPerEra = 10_000_000 * fencesPerRevision
	// fenceBase makes fencing tokens exceed those of earlier versions, which were
	// a thousand times the Unix time in milliseconds.
	fenceBase = 2_000_000_000_000_000
	// maxKnowledgeAge is the age of a host's knowledge from which it doesn't order
	// engines that check no fencing tokens: another host, which knows a later
	// revision, may have taken over. It is longer than the store holds a watch open
	// without a change, and shorter than a lease. It grants no slots either to hosts that
	// know a later revision.
	maxKnowledgeAge = 2 * time.Second
)

// Fence is the fencing token of an order.
type Fence uint64

// Orders sends stage orders to engines.
type Orders interface {
	// Order switches an engine to a stage. The error of a refusal is NotRun with
	// classifier.ReasonEndpointRefused.
	Order(ctx context.Context, e *registrar.Endpoint, s registrar.Stage, holder identifier.Host, f Fence) error
}

// Knowledge states how current a host's knowledge of the store is.
type Knowledge struct {
	Position identifier.Position
	// Age is the time since the store confirmed that position.
	Age time.Duration
}

// OrderOptions configures stage orders.
type OrderOptions struct {
	// Enabled allows orders.
	Enabled bool
	// Fenced is set if engines check fencing tokens. Without that, a host gives orders
	// only while its knowledge is current.
	Fenced bool
	// Holder is this host's name.
	Holder identifier.Host
	// Lease is how long a former placing host may still give orders.
	Lease time.Duration
}

// tenure is the state of this host as a service's placing host.
type tenure struct {
	since       time.Time // start of the tenure; zero if there is none
	pausedUntil time.Time // no orders before this time
	lastFence   Fence
	maxMembers  int
}

// rebalance switches engines between stages where that raises the capacity of a
// service that this host places.
func (r *Reserver) rebalance(now time.Time) {
	if !r.deps.OrderOptions.Enabled {
		return
	}
	declared := r.deps.Registry.Snapshot().Declarations
	if declared == nil {
		return
	}
	for name, s := range declared.Services {
		if s.Engine != nil {
			r.serviceQueue(name).rebalance(now)
		}
	}
}

func (q *serviceQueue) rebalance(now time.Time) {
	r := q.reserver
	s := r.deps.Registry.Snapshot()
	q.mu.Lock()
	known := r.deps.Knowledge()
	if !q.mayOrder(now) || !r.deps.OrderOptions.Fenced && known.Age > maxKnowledgeAge {
		q.mu.Unlock()
		return
	}
	w := stager.Workload{Model: q.model, Running: r.runningUse(q.service, now), Memory: engineConfig(s, q.service).Memory}
	orders := q.stager.NextOrders(r.stayingEngines(s.Endpoints(q.service)), w, now)
	fences := make([]Fence, len(orders))
	for i := range fences {
		fences[i] = q.tenure.nextFence(r.deps.OrderOptions.Holder, known.Position)
	}
	q.mu.Unlock()
	for i, o := range orders {
		r.deps.Group.Run(func(ctx context.Context) { q.order(ctx, o, fences[i]) })
	}
}

// runningUse returns what the running requests of a service have occupied.
func (r *Reserver) runningUse(s identifier.Service, now time.Time) estimator.Running {
	r.mu.Lock()
	defer r.mu.Unlock()
	var u estimator.Running
	for _, g := range r.grants.all {
		if g.service == s {
			u.Count++
			u.TokenSeconds += float64(g.tokens) * now.Sub(g.grantedAt).Seconds()
		}
	}
	return u
}

// mayOrder reports whether this host may give orders. It must have been the
// placing host for longer than any other host could still take itself for it, and
// see a majority of the hosts. q.mu must be held.
func (q *serviceQueue) mayOrder(now time.Time) bool {
	r := q.reserver
	v := r.deps.Members.View()
	_, other := r.owner(q.service)
	alive := 0
	for _, m := range v.Members() {
		if m.State == gossiper.StateAlive {
			alive++
		}
	}
	q.tenure.maxMembers = max(q.tenure.maxMembers, len(v.Members()))
	if other || 2*alive <= q.tenure.maxMembers {
		q.tenure.since = time.Time{}
		return false
	}
	if q.tenure.since.IsZero() {
		q.tenure.since = now
	}
	return now.Sub(q.tenure.since) > 2*r.deps.OrderOptions.Lease && !now.Before(q.tenure.pausedUntil)
}

// nextFence returns a fencing token higher than all that this host has used, and
// than those of hosts that knew an earlier position. Positions are the same for all
// hosts, unlike their clocks.
func (h *tenure) nextFence(holder identifier.Host, known identifier.Position) Fence {
	first := fenceBase + uint64(known.Era)*fencesPerEra + uint64(known.Revision)*fencesPerRevision
	f := Fence(first + xxhash.Sum64String(string(holder))%fencesPerRevision)
	if f <= h.lastFence {
		f = h.lastFence + fencesPerRevision
	}
	h.lastFence = f
	return f
}

func (q *serviceQueue) order(ctx context.Context, o stager.Order, f Fence) {
	r := q.reserver
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := r.deps.Orders.Order(ctx, o.Engine, o.Stage, r.deps.OrderOptions.Holder, f)
	r.deps.Log.Info("stage-ordered",
		zap.String("endpoint", string(o.Engine.Name)),
		zap.String("service", string(q.service)),
		zap.Stringer("from", o.Engine.Stage),
		zap.Stringer("to", o.Stage),
		zap.Uint64("fence", uint64(f)),
		zap.Error(err))
	if err == nil || classifier.Of(err).Reason == classifier.ReasonEndpointExcluded {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tenure.pausedUntil = time.Now().Add(refusedOrderBackoff)
}

// enginesInTransition returns the engines that have been ordered to another stage
// and haven't switched yet.
func (q *serviceQueue) enginesInTransition(all []*registrar.Endpoint, now time.Time) []identifier.Endpoint {
	q.mu.Lock()
	defer q.mu.Unlock()
	var names []identifier.Endpoint
	for _, e := range all {
		if q.stager.InTransition(e, now) {
			names = append(names, e.Name)
		}
	}
	return names
}
