// Package reserver places requests on model engines before their prefill starts:
// it reserves a slot and memory at a decode engine and chooses the prefill engine
// with the smallest backlog.
//
// # Usage
//
//	r := reserver.New(reserver.Deps{...})
//	r.Register(messenger)
//	plan, err := r.Place(ctx, reserver.PlacementRequest{...})
//	r.RecordPrefillOutcome(plan, outcome)
//	r.RecordOutcome(plan, outcome)
//
// # The placing host
//
// All hosts of a fleet send a service's requests for placement to the same host,
// the placing host, which is selected by hashing. It knows the load that it has
// assigned to every engine, so that its first reservation attempt usually
// succeeds, and it keeps all waiting requests in one queue. Its state is soft: the
// reservation at the engine is authoritative and prevents two hosts from assigning
// the same capacity. A host that can't reach the placing host therefore places its
// requests locally for the time being, and a new placing host starts with empty
// state.
//
// The placing host also switches engines between stages where that raises the
// service's capacity (package stager). It does so only after it has been the placing
// host for longer than another host could still take itself for it, with a fencing
// token that it has claimed and told the other hosts (package fencer), and, if engines
// check no tokens, only while its knowledge of the store is current.
//
// # Measured engines
//
// The placing host measures its service's engines (package estimator) and passes
// the model on with its answers. A request is rejected for the time that it would
// take only if that was measured, and never before engines were searched for it:
// otherwise a wrong estimate that rejects all requests could not be corrected.
//
// Requests don't wait long for a placing host that has failed: it is pinged while
// an answer is outstanding.
//
// # Slots of plain services
//
// Where a plain service's endpoints have few slots for the number of hosts and share their
// machines with others, each host sees too little of their load. The service's placing
// host then grants their slots to the calls of all hosts (package assigner) and keeps the
// queue of those that wait:
//
//	if r.SharesSlots(service) {
//		slot, err := r.AcquireSlot(ctx, reserver.SlotRequest{...})
//		...
//		r.EndSlot(slot, outcome)
//	}
//
// A slot is a permission and nothing that endpoints know of: a host that reaches no
// placing host sends its calls without one.
package reserver

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/rationer"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/timer"
)

// Reservation identifies a reservation at an engine.
type Reservation string

// Engines makes and cancels reservations at engines.
type Engines interface {
	// Reserve reserves a slot and memory for tokens. The error of a refusal is
	// NotRun with classifier.ReasonEndpointRefused.
	Reserve(ctx context.Context, e *registrar.Endpoint, tokens identifier.Tokens, life time.Duration) (Reservation, error)
	// CancelReservation cancels an unused reservation.
	CancelReservation(ctx context.Context, e *registrar.Endpoint, r Reservation) error
}

// Exclusions knows the engines that asked for no calls from this host.
type Exclusions interface {
	// Usable returns the engines that may get new calls.
	Usable(all []*registrar.Endpoint) []*registrar.Endpoint
	// Staying returns the engines that are not known to be leaving.
	Staying(all []*registrar.Endpoint) []*registrar.Endpoint
	// RetryAfter returns the time after which a caller may return whose request
	// found none of the engines; if the exclusions don't tell, a random time
	// around d.
	RetryAfter(all []*registrar.Endpoint, d time.Duration) time.Duration
}

// Membership provides the current view of the fleet's hosts.
type Membership interface {
	View() *gossiper.View
	Subscribe(f func(*gossiper.View))
}

// Deps are the dependencies of a Reserver.
type Deps struct {
	Self identifier.Incarnation
	// DataCenter of this host.
	DataCenter identifier.DataCenter
	Registry   *registrar.Registrar
	Engines    Engines
	// Exclusions is optional; without it, no engines are excluded.
	Exclusions Exclusions
	// Limits keeps calls within the limits that engines name; nil for none.
	Limits  *rationer.Rationer
	Placer  *placer.Placer
	Members Membership
	Links   Links
	Timer   *timer.Service
	Group   *grouper.Group
	Log     *zap.Logger
	// Seed seeds the jitter of retry times.
	Seed uint64
	// Orders sends stage orders to engines if OrderOptions enables them.
	Orders       Orders
	OrderOptions OrderOptions
	// Knowledge returns how current this host's knowledge of the store is.
	Knowledge func() Knowledge
	// SharedSlots is the number of slots for each host below which the slots of a plain
	// service are granted by its placing host; 0 for none.
	SharedSlots float64
}

// PlacementRequest is a request for placement.
type PlacementRequest struct {
	// Entry needs only Arrived, Priority and what is known of Customer, Fingerprint and
	// Spent; the placing host sets the rest.
	admitter.Entry
	Service identifier.Service
	Request identifier.Request
	// PreferredDataCenter is the data center of the request's origin host, whose
	// engines are preferred.
	PreferredDataCenter identifier.DataCenter
	// Prompt is the length of the prompt, Tokens the memory to reserve, which
	// includes the prompt.
	Prompt, Tokens identifier.Tokens
	// OnTimeBy is when the first event has to arrive for the request to meet its
	// objective, FirstEventBy when the caller cancels without one. The response must
	// be complete by Deadline.
	OnTimeBy, FirstEventBy, Deadline time.Time
	// Exclude and ExcludePrefill are the engines not to use for decode and for
	// prefill.
	Exclude, ExcludePrefill []identifier.Endpoint
}

// Plan is the placement of a request.
type Plan struct {
	// Prefill is nil if the decode engine runs the prefill itself.
	Prefill     *registrar.Endpoint
	Decode      *registrar.Endpoint
	Reservation Reservation
	// Expected are the durations to expect at the engines.
	Expected Expectation

	// request is the request that the plan, and any permits for its engines, are for.
	request identifier.Request

	grant grantID
	// grantedBy is the address of the host that issued the grant; empty for this
	// host.
	grantedBy identifier.Address
}

// Reserver places requests. It is safe for concurrent use.
type Reserver struct {
	deps        Deps
	breaker     breaker
	outgoingSeq identifier.Sequence // numbers the calls to placing hosts
	slotPingers *pingers

	mu            sync.Mutex // acquired after serviceQueue.mu
	serviceQueues map[identifier.Service]*serviceQueue
	slotQueues    map[identifier.Service]*slotQueue
	grants        grants
}

// New returns a Reserver and registers its timers and its membership listener.
func New(d Deps) *Reserver {
	r := &Reserver{deps: d, serviceQueues: map[identifier.Service]*serviceQueue{}, slotQueues: map[identifier.Service]*slotQueue{}, grants: newGrants(d.Self)}
	r.slotPingers = newPingers(r, slotPingPeriod)
	d.Timer.Every(expiryPeriod, func(now time.Time) {
		r.expireGrants(now)
		r.expireSlots(now)
	})
	d.Timer.Every(rebalancePeriod, r.rebalance)
	d.Members.Subscribe(r.revokeDeadOrigins)
	return r
}

// Place waits until engines with enough capacity are found. Its error is always
// NotRun.
func (r *Reserver) Place(ctx context.Context, req PlacementRequest) (Plan, error) {
	req.PreferredDataCenter = r.deps.DataCenter
	if err := r.excludeUnusable(&req); err != nil {
		return Plan{}, err
	}
	if owner, ok := r.owner(req.Service); ok && !r.breaker.isOpen(owner.Incarnation, time.Now()) {
		plan, err := r.placeRemotely(ctx, owner, &req)
		if !isUnreachable(err) || ctx.Err() != nil {
			plan.Expected = r.serviceQueue(req.Service).expectation(req.Prompt)
			return plan, err
		}
		r.breaker.trip(owner.Incarnation, time.Now())
		r.deps.Log.Info("placing-host-unreachable",
			zap.String("request", string(req.Request)), zap.String("peer", string(owner.Host)), zap.Error(err))
	}
	plan, err := r.placeLocally(ctx, r.deps.Self, 0, &req)
	plan.Expected = r.serviceQueue(req.Service).expectation(req.Prompt)
	return plan, err
}

// placeLocally places a request on behalf of an origin host, which numbered it
// with originSeq.
func (r *Reserver) placeLocally(ctx context.Context, origin identifier.Incarnation, originSeq uint64, req *PlacementRequest) (Plan, error) {
	return r.serviceQueue(req.Service).place(ctx, origin, originSeq, req)
}

func (r *Reserver) serviceQueue(s identifier.Service) *serviceQueue {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.serviceQueues[s]
	if q == nil {
		q = newServiceQueue(r, s)
		r.serviceQueues[s] = q
	}
	return q
}

// Waiting returns the number of requests that wait for placement at this host.
func (r *Reserver) Waiting() int {
	n := 0
	for _, q := range r.allQueues() {
		n += q.waiting()
	}
	return n
}

// QueueStatus counts the requests of one priority and customer for a service.
type QueueStatus struct {
	Service  identifier.Service  `json:"service"`
	Priority int                 `json:"priority"`
	Customer identifier.Customer `json:"customer,omitempty"`
	admitter.Counts
}

// Queues returns what became of the requests for placement at this host.
func (r *Reserver) Queues() []QueueStatus {
	all := []QueueStatus{}
	for _, q := range r.allQueues() {
		all = append(all, q.statuses()...)
	}
	slices.SortFunc(all, func(a, b QueueStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Customer, b.Customer))
	})
	return all
}

func (r *Reserver) allQueues() []*serviceQueue {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.serviceQueues))
}

// RecordPrefillOutcome reports the outcome of a plan's prefill.
func (r *Reserver) RecordPrefillOutcome(p Plan, o placer.Outcome) {
	if p.Prefill == nil {
		return
	}
	r.recordEndpointOutcome(p.Prefill, o)
	r.endPlan(p, true, o)
}

// RecordOutcome reports the outcome of a plan.
func (r *Reserver) RecordOutcome(p Plan, o placer.Outcome) {
	r.recordEndpointOutcome(p.Decode, o)
	r.endPlan(p, false, o)
}

// recordEndpointOutcome reports the outcome at an engine to the placer.
func (r *Reserver) recordEndpointOutcome(e *registrar.Endpoint, o placer.Outcome) {
	if r.deps.Placer.RecordOutcome(e, o, time.Now()) {
		r.deps.Log.Info("endpoint-avoided", zap.String("endpoint", string(e.Name)), zap.String("service", string(e.Service)))
	}
}

// Release releases a plan that was not executed at its decode engine.
func (r *Reserver) Release(p Plan) {
	r.Cancel(p)
	r.RecordOutcome(p, placer.Outcome{Verdict: placer.VerdictNone})
}

// Cancel cancels a plan's reservation. The reservation may already be used or
// expired.
func (r *Reserver) Cancel(p Plan) {
	if p.Reservation == "" {
		return
	}
	r.deps.Group.Run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
		defer cancel()
		if err := r.deps.Engines.CancelReservation(ctx, p.Decode, p.Reservation); err != nil {
			r.deps.Log.Debug("reservation-not-canceled", zap.String("endpoint", string(p.Decode.Name)), zap.Error(err))
		}
	})
}
