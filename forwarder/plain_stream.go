package forwarder

import (
	"context"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/exchanger"
	"github.com/jackdawthread/jackdawthread/placer"
)

// relayPlainStream handles a streaming request to a plain service. It makes a
// single attempt.
func (e *exchange) relayPlainStream(ctx context.Context) {
	s := newStream(ctx, e)
	err := s.attemptPlain(ctx)
	s.stop()
	if err != nil {
		s.giveUp(ctx, err)
	}
}

func (s *stream) attemptPlain(ctx context.Context) error {
	f := s.forwarder
	at := f.deps.Placer.ChoosePlain(s.usableEndpoints(), s.exclude, time.Now())
	if at == nil {
		return classifier.NotRun(classifier.ReasonNoEndpoint, f.retryAfter(s.service.Name, noEndpointRetryAfter), "service %q has no endpoint", s.service.Name)
	}
	s.sent++
	s.observation.addAttempt(at)
	f.deps.Placer.Begin(at, placer.Size{})
	c := s.callEndpoint(ctx, at, func(ctx context.Context) (*exchanger.Response, error) {
		return f.deps.Endpoints.Forward(ctx, at, &s.call)
	})
	_, err := s.follow(ctx, &decoding{call: c}, newMover(false, c.started, noTimeout))
	o := placer.Outcome{Verdict: placer.VerdictSuccess}
	if err != nil {
		o = engineOutcome(ctx, err, 0)
	}
	f.deps.Placer.End(at, placer.Size{})
	f.recordOutcome(at, o)
	return err
}
