// Package reserver finds room for requests at model engines before their
// prompts are read: a decode engine that has reserved slot and memory, and the
// prefill engine that will have read the prompt first.
//
// # Usage
//
//	r := reserver.New(reserver.Deps{...})
//	r.Register(messenger)
//	plan, err := r.Place(ctx, reserver.Wish{...})
//	r.PrefillEnded(plan, outcome)
//	r.Ended(plan, outcome)
//
// # Where requests wait
//
// All hosts of a fleet have the requests to a service placed by one of them,
// the first in the order of hashing. It knows what every engine has been
// given, so that it finds room at the first try, and all that wait stand in
// one queue. It holds soft state only: the engine's own reservation is what
// counts, and keeps two hosts from giving the same room. So a host that can't
// reach the placing host places its requests by itself, for as long as that
// lasts, and a new placing host starts with nothing.
//
// The placing host also sees what the engines are needed for, and orders some of
// them to another stage where that raises the service's capacity (package
// stager). It does so only where engines check fencing tokens, after it has
// been the placing host for longer than another one could think the same.
//
// No request waits long for a host that is gone: while an answer is
// outstanding, the placing host is asked for a sign of life.
package reserver

import (
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
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/stager"
	"github.com/jackdawthread/jackdawthread/timer"
)

// Times that requests take as a rule, until they have been measured.
const (
	// firstEventBase passes from the start of a prefill to the first event,
	// beside the time that reading the prompt takes.
	firstEventBase = 225 * time.Millisecond
	// TokenTime is what one token of output takes at a full engine.
	TokenTime = 7 * time.Millisecond
)

// FirstEventTime passes from the start of a prompt's prefill to the first event.
func FirstEventTime(prompt identifier.Tokens) time.Duration {
	return firstEventBase + time.Duration(float64(prompt)/stager.AssumedRate*float64(time.Second))
}

// answerTime is what a whole answer takes.
func answerTime(prompt, tokens identifier.Tokens) time.Duration {
	output := tokens - min(tokens, prompt)
	return FirstEventTime(prompt) + time.Duration(output)*TokenTime
}

// Reservation names reserved room at an engine.
type Reservation string

// Engines reserve room.
type Engines interface {
	// Reserve reserves a slot and memory for tokens. A refusal is NotRun with
	// classifier.ReasonEndpointRefused.
	Reserve(ctx context.Context, e *registrar.Endpoint, tokens identifier.Tokens, life time.Duration) (Reservation, error)
	// CancelReservation gives up one that was not used.
	CancelReservation(ctx context.Context, e *registrar.Endpoint, r Reservation) error
}

// Membership knows the live hosts.
type Membership interface {
	View() *gossiper.View
	Subscribe(f func(*gossiper.View))
}

// Deps is what a Reserver works with.
type Deps struct {
	Self identifier.Incarnation
	// DataCenter of this host.
	DataCenter identifier.DataCenter
	Registry   *registrar.Registrar
	Engines    Engines
	Placer     *placer.Placer
	Members    Membership
	Links      Links
	Timer      *timer.Service
	Group      *grouper.Group
	Log        *zap.Logger
	// Seed starts the random choices.
	Seed uint64
	// Orders changes engines' stages, as OrderOptions allow.
	Orders       Orders
	OrderOptions OrderOptions
}

// Wish is a request that needs room.
type Wish struct {
	admitter.Wish
	Service identifier.Service
	Request identifier.Request
	// Near is the data centre of the request's home.
	Near identifier.DataCenter
	// Prompt and Tokens count the prompt, and all that is to be reserved.
	Prompt, Tokens identifier.Tokens
	// Exclude and ExcludePrefill are engines to keep away from.
	Exclude, ExcludePrefill []identifier.Endpoint
}

// Plan is where a request is to be served.
type Plan struct {
	// Prefill is nil if the decode engine has to read the prompt.
	Prefill     *registrar.Endpoint
	Decode      *registrar.Endpoint
	Reservation Reservation

	grant grantID
	// by is the host that gave the room; zero: this one.
	by identifier.Address
}

// Reserver places requests. It is safe for use by several goroutines.
type Reserver struct {
	deps    Deps
	breaker breaker
	asks    identifier.Sequence // of other hosts

	mu     sync.Mutex // taken last
	desks  map[identifier.Service]*desk
	grants grants
}

// New gives a Reserver; it needs no start.
func New(d Deps) *Reserver {
	r := &Reserver{deps: d, desks: map[identifier.Service]*desk{}, grants: newGrants()}
	d.Timer.Every(expiryPeriod, func(now time.Time) { r.expire(now) })
	d.Timer.Every(stagePeriod, r.restage)
	d.Members.Subscribe(r.dropDead)
	return r
}

// Place waits for room. Its error is NotRun.
func (r *Reserver) Place(ctx context.Context, w Wish) (Plan, error) {
	w.Near = r.deps.DataCenter
	if owner, ok := r.owner(w.Service); ok && !r.breaker.open(owner.Incarnation, time.Now()) {
		plan, err := r.placeThere(ctx, owner, &w)
		if !unreachable(err) || ctx.Err() != nil {
			return plan, err
		}
		r.breaker.trip(owner.Incarnation, time.Now())
		r.deps.Log.Info("placing-host-lost",
			zap.String("request", string(w.Request)), zap.String("peer", string(owner.Host)), zap.Error(err))
	}
	return r.placeHere(ctx, r.deps.Self, 0, &w)
}

// placeHere places a request of a home, which numbered its ask.
func (r *Reserver) placeHere(ctx context.Context, home identifier.Incarnation, ask uint64, w *Wish) (Plan, error) {
	return r.desk(w.Service).place(ctx, home, ask, w)
}

func (r *Reserver) desk(s identifier.Service) *desk {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.desks[s]
	if d == nil {
		d = newDesk(r, s)
		r.desks[s] = d
	}
	return d
}

// Waiting counts the requests that wait for room here.
func (r *Reserver) Waiting() int {
	r.mu.Lock()
	desks := slices.Collect(maps.Values(r.desks))
	r.mu.Unlock()
	n := 0
	for _, d := range desks {
		n += d.waiting()
	}
	return n
}

// PrefillEnded tells what became of the prompt's part of a plan.
func (r *Reserver) PrefillEnded(p Plan, o placer.Outcome) {
	if p.Prefill == nil {
		return
	}
	r.judge(p.Prefill, o)
	r.end(p, true, o.Verdict)
}

// Ended tells what became of a plan.
func (r *Reserver) Ended(p Plan, o placer.Outcome) {
	r.judge(p.Decode, o)
	r.end(p, false, o.Verdict)
}

// judge tells the placer how a part of a plan ended.
func (r *Reserver) judge(e *registrar.Endpoint, o placer.Outcome) {
	if r.deps.Placer.Judge(e, o, time.Now()) {
		r.deps.Log.Info("endpoint-avoided", zap.String("endpoint", string(e.Name)), zap.String("service", string(e.Service)))
	}
}

// GiveBack gives back a plan that was not carried out at its decode engine.
func (r *Reserver) GiveBack(p Plan) {
	r.Cancel(p)
	r.Ended(p, placer.Outcome{Verdict: placer.VerdictNone})
}

// Cancel gives up a plan's reservation, which its engine may have used or let
// lapse already.
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
