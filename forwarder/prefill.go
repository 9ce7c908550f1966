package forwarder

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/reserver"
)

const (
	// minPrefillTimeout is the lower limit of the timeout of a prefill call, which
	// otherwise is prefillTimeoutFactor times the expected duration.
	minPrefillTimeout    = 1500 * time.Millisecond
	prefillTimeoutFactor = 2
	// unmeasuredPrefillShare is the share of callerEventTimeout that is the timeout of
	// a prefill whose expected duration is unknown.
	unmeasuredPrefillShare = 0.5
)

// obtainPrefill runs the prefill on the plan's prefill engine, or on another one if
// that fails. A nil result means that the decode engine has to perform the
// prefill, since no prefill engine is left or the retry budget is exhausted.
func (s *stream) obtainPrefill(ctx context.Context, p reserver.Plan) (*PrefillResult, error) {
	reservations, endpoints := s.forwarder.deps.Reservations, s.forwarder.deps.Placer
	if p.Prefill != nil {
		result, o, err := s.tryPrefill(ctx, p.Prefill, p.Expected)
		reservations.RecordPrefillOutcome(p, o)
		if result != nil || err != nil || !s.prefillAllowed {
			return result, err
		}
	}
	for {
		e := endpoints.ChoosePrefill(s.usableEndpoints(), p.Decode.DataCenter, s.excludedPrefills, time.Now())
		if e == nil || e.Stage != registrar.StagePrefill {
			return nil, nil
		}
		size := placer.Size{Tokens: s.call.Prompt}
		endpoints.Begin(e, size)
		result, o, err := s.tryPrefill(ctx, e, p.Expected)
		endpoints.End(e, size)
		s.forwarder.recordOutcome(e, o)
		if result != nil || err != nil || !s.prefillAllowed {
			return result, err
		}
	}
}

// tryPrefill runs the prefill on one engine. A nil result without an error means
// that it failed or that the retry budget is exhausted.
func (s *stream) tryPrefill(ctx context.Context, e *registrar.Endpoint, expected reserver.Expectation) (*PrefillResult, placer.Outcome, error) {
	if s.prefillAllowed = s.mayPrefill(); !s.prefillAllowed {
		return nil, placer.Outcome{Verdict: placer.VerdictNone}, nil
	}
	began := time.Now()
	s.observation.addAttempt(e)
	result, err := s.callPrefill(ctx, e, expected)
	took := time.Since(began)
	o := engineOutcome(ctx, err, took)
	if err == nil {
		s.observation.Prefill = took
		s.completedPrefills++
		s.prefillEndpoint = e
		return &result, o, nil
	}
	if ctx.Err() != nil {
		return nil, o, contextError(ctx, classifier.VerdictNotRun)
	}
	if r := classifier.Of(err).Reason; r != classifier.ReasonHostUnreachable && r != classifier.ReasonEndpointExcluded {
		// A failed prefill that reached its engine counts against the budget,
		// whatever follows.
		s.prefillAllowed = s.forwarder.deps.Budget.Take(s.service.Name)
	}
	s.logDecision("prefill-failed", e, err, zap.Duration("took", took))
	s.excludedPrefills = append(s.excludedPrefills, e.Name)
	return nil, o, nil
}

// mayPrefill reports whether another prefill may be sent. It charges the retry
// budget only if an earlier prefill has succeeded.
func (s *stream) mayPrefill() bool {
	return s.completedPrefills == 0 || s.forwarder.deps.Budget.Take(s.service.Name)
}

// recordFailedFetch records that a decode engine could not fetch a prefill's result,
// and excludes the prefill engine from further attempts of the request.
func (s *stream) recordFailedFetch() {
	if s.prefillEndpoint == nil {
		return
	}
	s.excludedPrefills = append(s.excludedPrefills, s.prefillEndpoint.Name)
	s.forwarder.recordOutcome(s.prefillEndpoint, placer.Outcome{Verdict: placer.VerdictServerError})
	s.logDecision("prefill-not-fetched", s.prefillEndpoint, nil)
}

func (s *stream) callPrefill(ctx context.Context, e *registrar.Endpoint, expected reserver.Expectation) (PrefillResult, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, s.prefillTimeout(expected), errStalled)
	defer cancel()
	return s.forwarder.deps.Engines.Prefill(ctx, e, &s.call)
}

// prefillTimeout returns the timeout of a prefill call.
func (s *stream) prefillTimeout(expected reserver.Expectation) time.Duration {
	if expected.Prefill <= 0 {
		return time.Duration(unmeasuredPrefillShare * float64(s.callerEventTimeout()))
	}
	return max(minPrefillTimeout, prefillTimeoutFactor*expected.Prefill)
}

var errStalled = errors.New("engine sent no data within the timeout")
