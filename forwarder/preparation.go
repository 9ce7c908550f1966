package forwarder

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/reserver"
)

// preparation is a decode engine with reserved capacity for the request and, unless
// the engine has to perform the prefill itself, the prefill's result.
type preparation struct {
	plan reserver.Plan
	// result is nil if the decode engine performs the prefill; else prefilledBy
	// holds it since prefilledAt.
	result      *PrefillResult
	prefilledBy *registrar.Endpoint
	prefilledAt time.Time
}

// reservation reserves engines for a request.
type reservation func(ctx context.Context, w reserver.PlacementRequest) (reserver.Plan, error)

// prepareEngine places the request and runs its prefill. If the decode engine has begun to
// leave, was restarted or was ordered to another stage meanwhile, the request is placed
// again, with the same result as long as it lasts.
func (s *stream) prepareEngine(ctx context.Context, w reserver.PlacementRequest, reserve reservation) (*preparation, error) {
	reservations := s.forwarder.deps.Reservations
	p := &preparation{}
	for {
		plan, err := reserve(ctx, w)
		if err != nil {
			s.discard(p)
			return nil, &hostRefusal{cause: err}
		}
		p.plan = plan
		if s.observation.PlacementTime == 0 {
			s.observation.PlacementTime = time.Since(s.observation.Started)
		}
		if err := s.ensurePrefill(ctx, p); err != nil {
			reservations.Release(plan)
			return nil, err
		}
		if s.usable(plan.Decode) && s.forwarder.deps.Limits.Renew(ctx, plan.Decode, s.call.ID, s.permitWait()) == nil {
			return p, nil
		}
		s.logDecision("placement-outdated", plan.Decode, nil, zap.Bool("prefilled", p.result != nil))
		reservations.Release(plan)
		w.Exclude = append(slices.Clip(w.Exclude), plan.Decode.Name)
		w.ExcludePrefill = s.excludedPrefills
		w.Priority = -1 // a prefill's result lasts for a short time only
		w.FirstEventBy = w.Deadline
		if p.result != nil {
			reserve = reservations.Place // the request was taken with its prefill
		}
	}
}

// ensurePrefill runs the prefill unless its result is still held.
func (s *stream) ensurePrefill(ctx context.Context, p *preparation) error {
	if p.result != nil && time.Since(p.prefilledAt) < s.resultLifetime() {
		s.forwarder.deps.Reservations.RecordPrefillOutcome(p.plan, unusedOutcome)
		return nil
	}
	s.discard(p)
	p.result = nil
	return s.obtainPrefill(ctx, p)
}

// resultLifetime returns how long after a prefill its result can be fetched for
// certain.
func (s *stream) resultLifetime() time.Duration {
	return time.Duration(certainLifetimeShare * float64(s.service.Engine.ResultTTL))
}

// certainLifetimeShare is the share of the lifetime of a prefill's result in which a
// decode call that is sent reaches its engine and fetches the result in time.
const certainLifetimeShare = 0.6

// release frees what was prepared for a decode that won't be sent.
func (s *stream) release(p *preparation) {
	s.forwarder.deps.Reservations.Release(p.plan)
	s.discard(p)
}

// discard frees a prefill's result that won't be fetched.
func (s *stream) discard(p *preparation) {
	if p.result == nil {
		return
	}
	f, at, result := s.forwarder, p.prefilledBy, *p.result
	f.deps.Group.Run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, discardTimeout)
		defer cancel()
		if err := f.deps.Engines.Discard(ctx, at, result); err != nil {
			f.deps.Log.Debug("prefill-not-discarded", zap.String("endpoint", string(at.Name)), zap.Error(err))
		}
	})
}

// discardTimeout is the timeout of the call that frees a prefill's result. The
// engine frees it by itself soon after.
const discardTimeout = 300 * time.Millisecond

// replacement is a preparation under way while the request's engine is silent.
type replacement struct {
	cancel context.CancelFunc
	ended  chan replacementEnd
}

// replacementEnd is the outcome of a replacement; prepared is nil if err isn't.
type replacementEnd struct {
	prepared *preparation
	err      error
}

// endings returns the channel of the replacement's end; nil, which never delivers, for a
// nil replacement.
func (r *replacement) endings() <-chan replacementEnd {
	if r == nil {
		return nil
	}
	return r.ended
}

// replace starts to prepare another engine than the current one. It returns an
// error, without a goroutine, if the attempts or the retry budget don't allow it.
func (s *stream) replace(ctx context.Context, current *registrar.Endpoint) (*replacement, error) {
	if s.withoutID {
		return nil, errWithoutID
	}
	if s.sent >= max(1, s.route.Attempts) {
		return nil, errAttemptsUsed
	}
	if s.placements >= maxPlacements {
		return nil, errAttemptsUsed
	}
	if !s.forwarder.deps.Budget.Take(s.service.Name) {
		return nil, errBudgetUsed
	}
	r := &replacement{ended: make(chan replacementEnd, 1)}
	ctx, r.cancel = context.WithCancel(ctx)
	w := s.placementRequest()
	w.Exclude = append(slices.Clip(w.Exclude), current.Name)
	s.group.Run(func(context.Context) {
		p, err := s.prepareEngine(ctx, w, s.forwarder.deps.Reservations.Place)
		r.ended <- replacementEnd{prepared: p, err: err}
	})
	return r, nil
}

var (
	errAttemptsUsed = classifier.NotRun(classifier.ReasonEndpointFailed, 0, "attempts of the request are used up")
	errWithoutID    = classifier.NotRun(classifier.ReasonEndpointFailed, 0, "an event without an id was forwarded, after which no engine can go on")
	errBudgetUsed   = classifier.NotRun(classifier.ReasonEndpointFailed, 0, "retry budget is used up")
)

// cancelReplacement cancels a replacement, waits for its end and frees what it prepared.
func (s *stream) cancelReplacement(r *replacement) {
	if r == nil {
		return
	}
	r.cancel()
	end := <-r.ended
	s.settle(end)
}

// settle frees what a replacement that isn't used has prepared, and returns the
// retry token of its decode.
func (s *stream) settle(end replacementEnd) {
	s.forwarder.deps.Budget.Return(s.service.Name)
	if end.err == nil {
		s.release(end.prepared)
	}
}
