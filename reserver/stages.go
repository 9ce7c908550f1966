package reserver

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/estimator"
	"github.com/jackdawthread/jackdawthread/fencer"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/stager"
)

const (
	// rebalancePeriod is the interval between checks of the engines' stages.
	rebalancePeriod = 250 * time.Millisecond
	orderTimeout    = time.Second
	// unknownOrderBackoff is how long no orders are given after an engine didn't know an
	// order.
	unknownOrderBackoff = 30 * time.Second
	// maxKnowledgeAge is the age of a host's knowledge from which it doesn't order
	// engines that check no fencing tokens: another host, which knows a later
	// revision, may have taken over. It is longer than the store holds a watch open
	// without a change, and shorter than a lease. It grants no slots either to hosts that
	// know a later revision.
	maxKnowledgeAge = 2 * time.Second
)

var (
	// ErrOutranked reports that an engine has seen a higher fencing token.
	ErrOutranked = errors.New("engine has seen a higher fencing token")
	// ErrUnknownOrder reports that an engine has no such order.
	ErrUnknownOrder = errors.New("engine doesn't know the order")
)

// Orders sends stage orders to engines.
type Orders interface {
	// Order switches an engine to a stage. Its error is NotRun if the engine has provably
	// not accepted the order. The cause of a refusal is ErrOutranked or
	// ErrUnknownOrder, where that is known.
	Order(ctx context.Context, e *registrar.Endpoint, s registrar.Stage, c fencer.Claim) error
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
	claim := q.tenure.claim
	q.mu.Unlock()
	for _, o := range orders {
		r.deps.Group.Run(func(ctx context.Context) { q.order(ctx, o, claim) })
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

func (q *serviceQueue) order(ctx context.Context, o stager.Order, c fencer.Claim) {
	r := q.reserver
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := r.deps.Orders.Order(ctx, o.Engine, o.Stage, c)
	r.deps.Log.Info("stage-ordered",
		zap.String("endpoint", string(o.Engine.Name)),
		zap.String("service", string(q.service)),
		zap.Stringer("from", o.Engine.Stage),
		zap.Stringer("to", o.Stage),
		zap.Uint64("fence", uint64(c.Token)),
		zap.Error(err))
	q.settleOrder(o, c, err)
}

// settleOrder draws the conclusions from an order's outcome. An engine that may
// have accepted an order, or carries out another one, counts as in transition until it
// reports its stage.
func (q *serviceQueue) settleOrder(o stager.Order, c fencer.Claim, err error) {
	if err == nil || classifier.VerdictOf(err) != classifier.VerdictNotRun || classifier.Of(err).Reason == classifier.ReasonEndpointExcluded {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stager.Withdraw(o)
	switch {
	case errors.Is(err, ErrOutranked):
		q.tenure.lose(c, q.fencer)
	case errors.Is(err, ErrUnknownOrder):
		q.tenure.pausedUntil = time.Now().Add(unknownOrderBackoff)
	}
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
