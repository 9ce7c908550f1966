package reserver

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/stager"
)

const (
	// stagePeriod is the time between two looks at the engines' stages.
	stagePeriod  = 250 * time.Millisecond
	orderTimeout = time.Second
	// refusedPause is how long nothing is ordered after an engine refused an
	// order, as it does when another host has used a higher fencing token.
	refusedPause = 30 * time.Second
	// fenceHosts is how many fencing tokens there are for each millisecond, so
	// that no two hosts use the same one.
	fenceHosts = 1000
)

// Fence is a fencing token of an order.
type Fence uint64

// Orders changes what engines do.
type Orders interface {
	// Order has an engine take a stage. A refusal is NotRun with
	// classifier.ReasonEndpointRefused.
	Order(ctx context.Context, e *registrar.Endpoint, s registrar.Stage, holder identifier.Host, f Fence) error
}

// OrderOptions say whether and when this host gives orders.
type OrderOptions struct {
	// Enabled is set where engines check fencing tokens.
	Enabled bool
	// Holder is this host's name.
	Holder identifier.Host
	// Lease is the time for which another host may still take itself for the
	// one that orders.
	Lease time.Duration
}

// holding is since when this host is the one that places a service's requests,
// before which hosts.
type holding struct {
	since   time.Time
	paused  time.Time // nothing is ordered before
	last    Fence
	members int
}

// restage orders engines to another stage where that raises the capacity of a
// service whose requests this host places.
func (r *Reserver) restage(now time.Time) {
	if !r.deps.OrderOptions.Enabled {
		return
	}
	declared := r.deps.Registry.Snapshot().Declarations
	if declared == nil {
		return
	}
	for name, s := range declared.Services {
		if s.Engine != nil {
			r.desk(name).restage(now)
		}
	}
}

func (d *desk) restage(now time.Time) {
	r := d.reserver
	s := r.deps.Registry.Snapshot()
	d.mu.Lock()
	if !d.holds(now) {
		d.mu.Unlock()
		return
	}
	orders := d.stager.Next(s.Endpoints(d.service), traitsOf(s, d.service).Memory, now)
	fences := make([]Fence, len(orders))
	for i := range fences {
		fences[i] = d.holding.next(r.deps.OrderOptions.Holder, now)
	}
	d.mu.Unlock()
	for i, o := range orders {
		r.deps.Group.Run(func(ctx context.Context) { d.order(ctx, o, fences[i]) })
	}
}

// holds tells whether this host may order: it has placed the service's
// requests for longer than another host could take itself for the one that
// does, and sees most of the hosts; d.mu is held.
func (d *desk) holds(now time.Time) bool {
	r := d.reserver
	v := r.deps.Members.View()
	_, other := r.owner(d.service)
	alive := 0
	for _, m := range v.Members() {
		if m.State == gossiper.StateAlive {
			alive++
		}
	}
	d.holding.members = max(d.holding.members, len(v.Members()))
	if other || 2*alive <= d.holding.members {
		d.holding.since = time.Time{}
		return false
	}
	if d.holding.since.IsZero() {
		d.holding.since = now
	}
	return now.Sub(d.holding.since) > 2*r.deps.OrderOptions.Lease && !now.Before(d.holding.paused)
}

// next gives a fencing token above all that this host has used.
func (h *holding) next(holder identifier.Host, now time.Time) Fence {
	f := Fence(uint64(now.UnixMilli())*fenceHosts + xxhash.Sum64String(string(holder))%fenceHosts)
	if f <= h.last {
		f = h.last + fenceHosts
	}
	h.last = f
	return f
}

func (d *desk) order(ctx context.Context, o stager.Order, f Fence) {
	r := d.reserver
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := r.deps.Orders.Order(ctx, o.Engine, o.Stage, r.deps.OrderOptions.Holder, f)
	r.deps.Log.Info("stage-ordered",
		zap.String("endpoint", string(o.Engine.Name)),
		zap.String("service", string(d.service)),
		zap.Stringer("from", o.Engine.Stage),
		zap.Stringer("to", o.Stage),
		zap.Uint64("fence", uint64(f)),
		zap.Error(err))
	if err == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holding.paused = time.Now().Add(refusedPause)
}

// changing leaves out engines that were ordered to take another stage.
func (d *desk) changing(all []*registrar.Endpoint, now time.Time) []identifier.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []identifier.Endpoint
	for _, e := range all {
		if d.stager.Changing(e, now) {
			names = append(names, e.Name)
		}
	}
	return names
}

// expect notes a grant's expected time.
func (d *desk) expect(g *grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stager.Expected(g.prompt, g.tokens, answerTime(g.prompt, g.tokens))
}

// learn takes a grant's times in.
func (d *desk) learn(g *grant, prefill bool, v placer.Verdict, now time.Time) {
	if v != placer.VerdictSound {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	took := now.Sub(g.given)
	if !prefill {
		d.stager.Answered(g.tokens, took)
		d.answers.add(took, answerTime(g.prompt, g.tokens))
		return
	}
	d.reading.add(took)
	if g.alone {
		d.stager.Prefilled(g.prompt, took)
	}
}
