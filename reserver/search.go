package reserver

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/stager"
)

const (
	// reserveTimeout bounds a reservation; an engine answers in a round trip.
	reserveTimeout = 150 * time.Millisecond
	// reservationLife is how long room is reserved: for the prefill, its
	// transfer and the queue before both.
	reservationLife = 1500 * time.Millisecond
	// maxCandidates bounds the engines that one search asks, and
	// maxFullCandidates those of them that shouldn't have room.
	maxCandidates     = 5
	maxFullCandidates = 2
	// prefillDepth is how much prefill may wait at an engine.
	prefillDepth = 600 * time.Millisecond
)

// errFull says that no engine has room now, errPrefillsFull that prompts wait at
// all prefill engines.
var (
	errFull         = errors.New("all engines are full")
	errPrefillsFull = errors.New("prompts wait at all prefill engines")
)

// search looks for an engine with room, the emptiest first.
func (d *desk) search(ctx context.Context, a *waiter) (Plan, error) {
	r := d.reserver
	s := r.deps.Registry.Snapshot()
	all := s.Endpoints(d.service)
	if decoding(all) == 0 {
		return Plan{}, classifier.NotRun(classifier.ReasonNoEndpoint, classifier.Spread(absentRetryAfter), "service %q has no engine that decodes", d.service)
	}
	traits := traitsOf(s, d.service)
	if d.prefillsFull(all, a) {
		return Plan{}, errPrefillsFull
	}
	for _, e := range d.candidates(all, a, traits) {
		reservation, err := d.reserve(ctx, e, a, traits)
		if err != nil {
			continue
		}
		return d.plan(all, e, reservation, a), nil
	}
	d.earmark(all, a)
	return Plan{}, errFull
}

// prefillsFull tells whether too much prefill waits at the engine that would
// have read the request's prompt first.
func (d *desk) prefillsFull(all []*registrar.Endpoint, a *waiter) bool {
	p := d.reserver.deps.Placer
	now := time.Now()
	exclude := append(d.changing(all, now), a.ExcludePrefill...)
	e := p.Prefill(all, d.reserver.deps.DataCenter, exclude, now)
	if e == nil || e.Stage != registrar.StagePrefill {
		return false // the decode engine reads it
	}
	d.mu.Lock()
	rate, ok := d.stager.PrefillRate()
	d.mu.Unlock()
	if !ok {
		rate = stager.AssumedRate
	}
	return float64(p.Tokens(e)) > rate*prefillDepth.Seconds()
}

// candidates gives the engines that should have room, or else the emptiest
// ones: what is known of them may be wrong.
func (d *desk) candidates(all []*registrar.Endpoint, a *waiter, t *registrar.EngineTraits) []*registrar.Endpoint {
	p := d.reserver.deps.Placer
	now := time.Now()
	exclude := append(d.changing(all, now), a.Exclude...)
	exclude = append(exclude, d.keptForOthers(a)...)
	list := p.Decodes(all, exclude, placer.Room{Tokens: a.Tokens, Memory: t.Memory, Near: a.Near, Most: maxCandidates}, now)
	if len(list) > 0 {
		return list
	}
	return p.Decodes(all, exclude, placer.Room{Near: a.Near, Most: maxFullCandidates}, now)
}

// traitsOf gives what a service's engines do; zero traits if that isn't known.
func traitsOf(s *registrar.Snapshot, name identifier.Service) *registrar.EngineTraits {
	if s.Declarations != nil {
		if service := s.Declarations.Services[name]; service != nil && service.Engine != nil {
			return service.Engine
		}
	}
	return &registrar.EngineTraits{}
}

// reserve reserves room at one engine. Engines that take no reservations are
// believed to have it.
func (d *desk) reserve(ctx context.Context, e *registrar.Endpoint, a *waiter, t *registrar.EngineTraits) (Reservation, error) {
	if t.ReservationLimit <= 0 {
		return "", nil
	}
	r := d.reserver
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reservation, err := r.deps.Engines.Reserve(ctx, e, a.Tokens, min(reservationLife, t.ReservationLimit))
	if err == nil {
		return reservation, nil
	}
	if classifier.Of(err).Reason == classifier.ReasonEndpointRefused {
		r.judge(e, placer.Outcome{Verdict: placer.VerdictFull})
		return "", err
	}
	verdict := placer.VerdictBroken
	if classifier.Of(err).Reason == classifier.ReasonHostUnreachable {
		verdict = placer.VerdictUnreachable
	}
	r.judge(e, placer.Outcome{Verdict: verdict})
	r.deps.Log.Info("reservation-failed",
		zap.String("request", string(a.Request)), zap.String("endpoint", string(e.Name)), zap.Error(err))
	return "", err
}

// plan counts the room as taken and chooses the prefill engine.
func (d *desk) plan(all []*registrar.Endpoint, e *registrar.Endpoint, reservation Reservation, a *waiter) Plan {
	r := d.reserver
	now := time.Now()
	exclude := append(d.changing(all, now), a.ExcludePrefill...)
	prefill := r.deps.Placer.Prefill(all, e.DataCenter, exclude, now)
	if prefill != nil && prefill.Stage != registrar.StagePrefill {
		prefill = nil
	}
	g := &grant{
		home: a.home, ask: a.ask, service: d.service, reservation: reservation,
		prefill: prefill, decode: e, prompt: a.Prompt, tokens: a.Tokens,
	}
	d.expect(g)
	id := r.give(g)
	return Plan{Prefill: prefill, Decode: e, Reservation: reservation, grant: id}
}
