package forwarder

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/isolator"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/quarantiner"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/reserver"
)

const (
	// minPrefillPatience is the lower limit of the time after which a prefill is
	// overdue, which otherwise is prefillPatienceFactor times the expected duration.
	minPrefillPatience    = 1500 * time.Millisecond
	prefillPatienceFactor = 2
	// unmeasuredPrefillShare is the share of callerEventTimeout that is the patience
	// for a prefill whose expected duration is unknown.
	unmeasuredPrefillShare = 0.5
)

// unusedOutcome is the outcome of a call that was not made or not completed.
var unusedOutcome = placer.Outcome{Verdict: placer.VerdictNone}

// prefillAccount counts a request's prefill calls that reached an engine. The first
// that an engine accepts is free, all others count against the retry budget, those that
// were refused too. The calls so far are therefore charged before another one is sent.
type prefillAccount struct {
	arrived, charged int
}

// pay charges the retry budget for the prefill calls so far. It reports whether a
// further prefill may be sent, or a decode without the result of one.
func (s *stream) pay() bool {
	a := &s.prefills
	for a.charged < a.arrived {
		if !s.forwarder.deps.Budget.Take(s.service.Name) {
			return false
		}
		a.charged++
	}
	return true
}

// payAhead charges the retry budget for a prefill that the engine will probably refuse.
// It reports whether the prefill may be sent.
func (s *stream) payAhead(e *registrar.Endpoint) bool {
	f := s.forwarder
	if !f.deps.Placer.LikelyRefuses(e, time.Now()) {
		return true
	}
	if !f.deps.Budget.Take(s.service.Name) {
		s.logDecision("prefill-skipped", e, nil)
		return false
	}
	s.prefills.charged++
	return true
}

// refund returns what was charged for the one prefill that was accepted.
func (s *stream) refund() {
	a := &s.prefills
	for a.charged >= a.arrived && a.charged > 0 {
		s.forwarder.deps.Budget.Return(s.service.Name)
		a.charged--
	}
}

// prefillCall is a prefill at one engine.
type prefillCall struct {
	at    *registrar.Endpoint
	began time.Time
	// report reports the call's outcome.
	report func(placer.Outcome)
}

// prefillEnd is the end of a prefillCall.
type prefillEnd struct {
	result PrefillResult
	err    error
	// engineLost is set if the engine may have ended.
	engineLost bool
}

// obtainPrefill runs the prefill on the plan's prefill engine, or on another one if
// that fails. Without a result, the decode engine has to perform the prefill, since no
// prefill engine is left or likely to accept it, or since the prefill is overdue.
func (s *stream) obtainPrefill(ctx context.Context, p *preparation) error {
	c := s.plannedPrefill(p.plan)
	for {
		if !s.pay() {
			s.skip(c)
			return &hostRefusal{cause: classifier.NotRun(classifier.ReasonEndpointRefused,
				classifier.Jitter(overloadedRetryAfter), "prefill failed and the retry budget is used up")}
		}
		if c == nil {
			c = s.unplannedPrefill(ctx, p.plan)
		}
		if c == nil {
			return nil
		}
		if !s.payAhead(c.at) {
			s.skip(c)
			return nil
		}
		end, ended := s.runPrefill(ctx, c, p.plan.Expected)
		switch {
		case !ended:
			return nil
		case end.err == nil:
			s.observation.Prefill = time.Since(c.began)
			p.result, p.prefilledBy, p.prefilledAt = &end.result, c.at, time.Now()
			return nil
		case ctx.Err() != nil:
			return contextError(ctx, classifier.VerdictNotRun)
		case quarantined(end.err):
			return &hostRefusal{cause: end.err}
		case s.enginesLost >= maxEnginesLost:
			return &hostRefusal{cause: classifier.NotRun(classifier.ReasonEndpointFailed,
				classifier.Jitter(overloadedRetryAfter), "%d engines broke the request off: %w", s.enginesLost, end.err)}
		}
		s.excludedPrefills = append(s.excludedPrefills, c.at.Name)
		c = nil
	}
}

// plannedPrefill returns the call to the plan's prefill engine, or nil if there is none
// or it has left meanwhile.
func (s *stream) plannedPrefill(p reserver.Plan) *prefillCall {
	if p.Prefill == nil {
		return nil
	}
	c := &prefillCall{at: p.Prefill, report: func(o placer.Outcome) {
		s.forwarder.deps.Reservations.RecordPrefillOutcome(p, o)
	}}
	if !s.usable(c.at) {
		s.skip(c)
		return nil
	}
	return c
}

// skip reports that a call, if there is one, is not made.
func (s *stream) skip(c *prefillCall) {
	if c != nil {
		c.report(unusedOutcome)
	}
}

// unplannedPrefill returns the call to an engine that the plan doesn't name, or nil if
// none is left.
func (s *stream) unplannedPrefill(ctx context.Context, p reserver.Plan) *prefillCall {
	f := s.forwarder
	e := s.choosePrefill(ctx, placer.PrefillDemand{Prompt: s.call.Prompt, PreferredDataCenter: p.Decode.DataCenter})
	if e == nil {
		return nil
	}
	size := placer.Size{Tokens: s.call.Prompt}
	f.deps.Placer.Begin(e, size)
	return &prefillCall{at: e, report: func(o placer.Outcome) {
		f.deps.Placer.End(e, size)
		f.recordOutcome(e, o)
	}}
}

// choosePrefill chooses a prefill engine, with a permit if it has named a limit. It returns nil
// if there is none.
func (s *stream) choosePrefill(ctx context.Context, d placer.PrefillDemand) *registrar.Endpoint {
	f := s.forwarder
	return f.deps.Limits.Choose(ctx, s.usableEndpoints(), s.excludedPrefills, s.call.ID, func(among []*registrar.Endpoint, exclude []identifier.Endpoint) *registrar.Endpoint {
		e := f.deps.Placer.ChoosePrefill(among, d, exclude, time.Now())
		if e == nil || e.Stage != registrar.StagePrefill {
			return nil
		}
		return e
	})
}

// runPrefill calls a prefill engine. An engine that is silent for longer than expected
// may be sound, so the call goes on unless the decode engine may perform the prefill
// instead; it returns false then.
func (s *stream) runPrefill(ctx context.Context, c *prefillCall, expected reserver.Expectation) (end prefillEnd, ended bool) {
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	c.began = time.Now()
	s.observation.addAttempt(c.at)
	s.prefills.arrived++
	ends := make(chan prefillEnd, 1)
	s.group.Run(func(context.Context) {
		ends <- s.callPrefill(call, c.at)
	})
	patience := time.NewTimer(s.prefillPatience(expected))
	defer patience.Stop()
	for {
		select {
		case end := <-ends:
			s.recordPrefill(ctx, c, end.err)
			s.countLost(end.engineLost)
			return end, true
		case <-patience.C:
			if !s.pay() {
				patience.Reset(s.prefillPatience(expected))
				continue
			}
			s.logDecision("prefill-overdue", c.at, nil,
				zap.Duration("silence", time.Since(c.began)), zap.Duration("expected", expected.Prefill))
			cancel()
			if end := <-ends; end.err == nil {
				s.recordPrefill(ctx, c, nil)
				return end, true
			}
			c.report(placer.Outcome{Verdict: placer.VerdictResponseFailed})
			return prefillEnd{}, false
		}
	}
}

// callPrefill sends a prefill unless the request is quarantined.
func (s *stream) callPrefill(ctx context.Context, at *registrar.Endpoint) prefillEnd {
	c, err := s.enter(ctx, at, quarantiner.PhasePrefill)
	if err != nil {
		return prefillEnd{err: err}
	}
	result, err := s.forwarder.deps.Engines.Prefill(ctx, at, &s.call)
	if err == nil {
		c.Prefilled()
		return prefillEnd{result: result}
	}
	c.Settle(ctx, err)
	return prefillEnd{err: err, engineLost: ctx.Err() == nil && isolator.BrokenOff(err)}
}

// recordPrefill records the end of a prefill call.
func (s *stream) recordPrefill(ctx context.Context, c *prefillCall, err error) {
	took := time.Since(c.began)
	c.report(engineOutcome(ctx, err, took))
	if err == nil {
		s.refund()
	}
	if err == nil || ctx.Err() != nil {
		return
	}
	if !reachedEngine(err) {
		s.prefills.arrived--
	}
	s.logDecision("prefill-failed", c.at, err, zap.Duration("took", took))
}

// reachedEngine reports whether a prefill call that failed may have reached its engine.
func reachedEngine(err error) bool {
	switch classifier.Of(err).Reason {
	case classifier.ReasonHostUnreachable, classifier.ReasonEndpointExcluded, classifier.ReasonQuarantined:
		return false
	default:
		return true
	}
}

// recordFailedFetch records that a decode engine could not fetch a prefill's result,
// and excludes the prefill engine from further attempts of the request.
func (s *stream) recordFailedFetch(e *registrar.Endpoint) {
	s.excludedPrefills = append(s.excludedPrefills, e.Name)
	s.forwarder.recordOutcome(e, placer.Outcome{Verdict: placer.VerdictServerError})
	s.logDecision("prefill-not-fetched", e, nil)
}

// prefillPatience returns the time after which a prefill is overdue.
func (s *stream) prefillPatience(expected reserver.Expectation) time.Duration {
	if expected.Prefill <= 0 {
		return time.Duration(unmeasuredPrefillShare * float64(s.callerEventTimeout()))
	}
	return max(minPrefillPatience, prefillPatienceFactor*expected.Prefill)
}
