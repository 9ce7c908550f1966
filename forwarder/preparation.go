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

// prepare places the request and runs its prefill.
func (s *stream) prepare(ctx context.Context, w reserver.PlacementRequest) (*preparation, error) {
	reservations := s.forwarder.deps.Reservations
	plan, err := reservations.Place(ctx, w)
	if err != nil {
		return nil, &hostRefusal{cause: err}
	}
	if s.observation.PlacementTime == 0 {
		s.observation.PlacementTime = time.Since(s.observation.Started)
	}
	p := &preparation{plan: plan}
	if err := s.obtainPrefill(ctx, p); err != nil {
		reservations.Release(plan)
		return nil, err
	}
	return p, nil
}

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

// replace starts to prepare another engine than the current one. It returns an
// error, without a goroutine, if the attempts or the retry budget don't allow it.
func (s *stream) replace(ctx context.Context, current *registrar.Endpoint) (*replacement, error) {
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
		p, err := s.prepare(ctx, w)
		r.ended <- replacementEnd{prepared: p, err: err}
	})
	return r, nil
}

var (
	errAttemptsUsed = classifier.NotRun(classifier.ReasonEndpointFailed, 0, "attempts of the request are used up")
	errBudgetUsed   = classifier.NotRun(classifier.ReasonEndpointFailed, 0, "retry budget is used up")
)

// abandon cancels a replacement, waits for its end and frees what it prepared.
func (s *stream) abandon(r *replacement) {
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
