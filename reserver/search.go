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
)

const (
	// reserveTimeout is the timeout of a reservation call, which takes an engine
	// one round trip.
	reserveTimeout = 150 * time.Millisecond
	// minReservationTTL is the lifetime of a reservation, unless the prefill, the
	// transfer of its result and the queues for both are expected to take longer.
	// reservationMargin is the ratio of the lifetime to that expected time.
	minReservationTTL = 1500 * time.Millisecond
	reservationMargin = 2
	// maxCandidates limits the engines tried per search.
	maxCandidates = 5
	// maxPrefillBacklog is the prefill time that may be queued at an engine. It is a
	// part of minReservationTTL, since the reservation at the decode engine has to
	// outlast it.
	maxPrefillBacklog = 2 * minReservationTTL / 5
	// maxUnmeasuredPrefillWork is the number of prompt tokens that may be queued at an
	// engine while their rate has not been measured.
	maxUnmeasuredPrefillWork identifier.Tokens = 24_000
)

// errNoCapacity is returned if no decode engine has capacity, errPrefillBacklog if
// all prefill engines have exceeded maxPrefillBacklog, errNoPermit if they get as many prompts
// as they take.
var (
	errNoPermit       = errors.New("no permit for a prefill engine is left")
	errNoCapacity     = errors.New("all decode engines are full")
	errPrefillBacklog = errors.New("all prefill engines have reached their backlog limit")
)

// search reserves capacity at a decode engine, trying the least loaded first.
func (q *serviceQueue) search(ctx context.Context, a *waiter) (Plan, error) {
	r := q.reserver
	s := r.deps.Registry.Snapshot()
	all := r.usableEngines(s.Endpoints(q.service))
	if countDecoders(all) == 0 {
		return Plan{}, r.noDecoder(s.Endpoints(q.service), q.service)
	}
	traits := engineConfig(s, q.service)
	if q.prefillBacklogged(all, a) {
		return Plan{}, errPrefillBacklog
	}
	for _, e := range q.candidates(r.deps.Limits.Within(all, 0), a, traits) {
		if r.deps.Limits.Acquire(ctx, e, a.Request, 0) != nil {
			continue
		}
		p, err := q.reservePlan(ctx, all, e, a, traits)
		if err == nil {
			return p, nil
		}
		r.deps.Limits.Drop(e, a.Request)
	}
	q.tryEarmark(all, a)
	return Plan{}, errNoCapacity
}

// prefillBacklogged reports whether the best prefill engine for the request
// exceeds maxPrefillBacklog.
func (q *serviceQueue) prefillBacklogged(all []*registrar.Endpoint, a *waiter) bool {
	p := q.reserver.deps.Placer
	now := time.Now()
	exclude := append(q.enginesInTransition(all, now), a.ExcludePrefill...)
	e := p.ChoosePrefill(all, placer.PrefillDemand{Prompt: a.Prompt, PreferredDataCenter: q.reserver.deps.DataCenter}, exclude, now)
	if e == nil || e.Stage != registrar.StagePrefill {
		return false // the decode engine runs the prefill
	}
	work := float64(p.AssignedTokens(e)) * p.Slowness(e, now)
	return work > float64(q.maxPrefillWork())
}

// maxPrefillWork returns the number of prompt tokens that a prefill engine may have
// to process before it gets further prompts.
func (q *serviceQueue) maxPrefillWork() identifier.Tokens {
	q.mu.Lock()
	defer q.mu.Unlock()
	rate, ok := q.model.PrefillRate()
	if !ok {
		rate, ok = q.model.BusyPrefillRate()
	}
	if !ok {
		return maxUnmeasuredPrefillWork
	}
	return identifier.Tokens(rate * maxPrefillBacklog.Seconds())
}

// candidates returns the engines that are expected to have capacity, least loaded
// first. Engines count only what requests occupy so far and accept further ones
// while those still grow, so no others are asked.
func (q *serviceQueue) candidates(all []*registrar.Endpoint, a *waiter, t *registrar.EngineConfig) []*registrar.Endpoint {
	now := time.Now()
	exclude := append(q.enginesInTransition(all, now), a.Exclude...)
	exclude = append(exclude, q.earmarkedForOthers(a)...)
	d := q.demand(a.PlacementRequest, t.Memory)
	d.MaxEngines = maxCandidates
	return q.reserver.deps.Placer.DecodeCandidates(all, exclude, d, now)
}

// engineConfig returns the declared traits of a service's engines, or zero traits
// if none are declared.
func engineConfig(s *registrar.Snapshot, name identifier.Service) *registrar.EngineConfig {
	if s.Declarations != nil {
		if service := s.Declarations.Services[name]; service != nil && service.Engine != nil {
			return service.Engine
		}
	}
	return &registrar.EngineConfig{}
}

// reservePlan chooses the prefill engine for a request and reserves capacity at the decode engine
// e.
func (q *serviceQueue) reservePlan(ctx context.Context, all []*registrar.Endpoint, e *registrar.Endpoint, a *waiter, t *registrar.EngineConfig) (Plan, error) {
	prefill, err := q.choosePrefill(ctx, all, e, a)
	if err != nil {
		return Plan{}, err
	}
	reservation, err := q.reserve(ctx, e, a, t)
	if err != nil {
		q.reserver.deps.Limits.Drop(prefill, a.Request)
		return Plan{}, err
	}
	return q.plan(e, prefill, reservation, a), nil
}

// choosePrefill chooses the prefill engine for a request that decodes at an engine, with a permit
// if it has named a limit. It returns nil if the decode engine runs the prefill, and an error if
// the prefill engines get as many prompts as they take.
func (q *serviceQueue) choosePrefill(ctx context.Context, all []*registrar.Endpoint, decode *registrar.Endpoint, a *waiter) (*registrar.Endpoint, error) {
	r := q.reserver
	now := time.Now()
	d := placer.PrefillDemand{Prompt: a.Prompt, PreferredDataCenter: decode.DataCenter}
	exclude := append(q.enginesInTransition(all, now), a.ExcludePrefill...)
	choose := func(among []*registrar.Endpoint, exclude []identifier.Endpoint) *registrar.Endpoint {
		e := r.deps.Placer.ChoosePrefill(among, d, exclude, now)
		if e == nil || e.Stage != registrar.StagePrefill {
			return nil
		}
		return e
	}
	if e := r.deps.Limits.Choose(ctx, all, exclude, a.Request, choose); e != nil {
		return e, nil
	}
	if choose(all, exclude) == nil { // with or without a permit
		return nil, nil
	}
	return nil, errNoPermit
}

// reserve makes a reservation at an engine. Engines that don't support
// reservations are assumed to have capacity.
func (q *serviceQueue) reserve(ctx context.Context, e *registrar.Endpoint, a *waiter, t *registrar.EngineConfig) (Reservation, error) {
	if t.ReservationLimit <= 0 {
		return "", nil
	}
	r := q.reserver
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reservation, err := r.deps.Engines.Reserve(ctx, e, a.Tokens, min(q.reservationTTL(a.Prompt), t.ReservationLimit))
	if err == nil {
		return reservation, nil
	}
	if classifier.Of(err).Reason == classifier.ReasonEndpointRefused {
		r.recordEndpointOutcome(e, placer.Outcome{Verdict: placer.VerdictAtCapacity})
		return "", err
	}
	if classifier.Of(err).Reason == classifier.ReasonEndpointExcluded {
		return "", err // nothing was sent
	}
	verdict := placer.VerdictResponseFailed
	if classifier.Of(err).Reason == classifier.ReasonHostUnreachable {
		verdict = placer.VerdictUnreachable
	}
	r.recordEndpointOutcome(e, placer.Outcome{Verdict: verdict})
	r.deps.Log.Info("reservation-failed",
		zap.String("request", string(a.Request)), zap.String("endpoint", string(e.Name)), zap.Error(err))
	return "", err
}

// reservationTTL returns the lifetime of a reservation for a prompt.
func (q *serviceQueue) reservationTTL(prompt identifier.Tokens) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	first, _ := q.model.FirstEvent(prompt) // 0 without measurements
	return max(minReservationTTL, reservationMargin*first.High())
}

// plan records the grant of a reservation.
func (q *serviceQueue) plan(e, prefill *registrar.Endpoint, reservation Reservation, a *waiter) Plan {
	r := q.reserver
	now := time.Now()
	g := &grant{
		origin: a.origin, originSeq: a.originSeq, service: q.service,
		reservation: reservation, reservedUntil: now.Add(q.reservationTTL(a.Prompt)),
		prefill: prefill, decode: e, prompt: a.Prompt, tokens: a.Tokens,
	}
	q.recordPlacement(a)
	id := r.addGrant(g)
	return Plan{Prefill: prefill, Decode: e, Reservation: reservation, request: a.Request, grant: id}
}
