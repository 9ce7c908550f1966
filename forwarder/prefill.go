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

// prefillSilence bounds the wait for a prefill.
const prefillSilence = 1500 * time.Millisecond

// readPrompt has the prompt read by the plan's prefill engine, or by another
// one where that fails; nil: the decode engine has to read it, since no
// prefill engine is left or the budget allows no other one.
func (s *stream) readPrompt(ctx context.Context, p reserver.Plan) (*PrefillResult, error) {
	rooms, choice := s.forwarder.deps.Rooms, s.forwarder.deps.Placer
	if p.Prefill != nil {
		result, o, err := s.prefill(ctx, p.Prefill)
		rooms.PrefillEnded(p, o)
		if result != nil || err != nil || !s.prefillsLeft {
			return result, err
		}
	}
	for {
		e := choice.Prefill(s.current(), p.Decode.DataCenter, s.unfitPrefills, time.Now())
		if e == nil || e.Stage != registrar.StagePrefill {
			return nil, nil
		}
		choice.Begin(e, s.call.Prompt)
		result, o, err := s.prefill(ctx, e)
		choice.End(e, s.call.Prompt)
		s.forwarder.judge(e, o)
		if result != nil || err != nil || !s.prefillsLeft {
			return result, err
		}
	}
}

// prefill has the prompt read by one engine; nil: that failed.
func (s *stream) prefill(ctx context.Context, e *registrar.Endpoint) (*PrefillResult, placer.Outcome, error) {
	if s.prefillsLeft = s.mayPrefill(); !s.prefillsLeft {
		return nil, placer.Outcome{Verdict: placer.VerdictNone}, nil
	}
	began := time.Now()
	s.observation.at(e)
	result, err := s.prefillAt(ctx, e)
	took := time.Since(began)
	o := outcomeOf(ctx, err, took)
	if err == nil {
		s.observation.Prefill = took
		s.prefills++
		s.prefilledAt = e
		return &result, o, nil
	}
	if ctx.Err() != nil {
		return nil, o, ended(ctx, classifier.VerdictNotRun)
	}
	if classifier.Of(err).Reason != classifier.ReasonHostUnreachable {
		// What arrived and was of no use is a repeat, whatever follows.
		s.prefillsLeft = s.forwarder.deps.Budget.Take(s.service.Name)
	}
	s.note("prefill-failed", e, err, zap.Duration("took", took))
	s.unfitPrefills = append(s.unfitPrefills, e.Name)
	return nil, o, nil
}

// mayPrefill tells whether one more prefill may be sent: the first one that an
// engine carries out is free.
func (s *stream) mayPrefill() bool {
	return s.prefills == 0 || s.forwarder.deps.Budget.Take(s.service.Name)
}

// notFetched notes that a decode engine could not fetch a prefill's result, so
// that the request keeps away from where it was.
func (s *stream) notFetched() {
	if s.prefilledAt == nil {
		return
	}
	s.unfitPrefills = append(s.unfitPrefills, s.prefilledAt.Name)
	s.forwarder.judge(s.prefilledAt, placer.Outcome{Verdict: placer.VerdictServerError})
	s.note("prefill-not-fetched", s.prefilledAt, nil)
}

func (s *stream) prefillAt(ctx context.Context, e *registrar.Endpoint) (PrefillResult, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, prefillSilence, errSilent)
	defer cancel()
	return s.forwarder.deps.Engines.Prefill(ctx, e, &s.call)
}

var errSilent = errors.New("the engine has gone silent")
