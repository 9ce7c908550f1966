package forwarder

import (
	"context"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/placer"
)

// relayPlainStream handles a streaming request to a plain service. It makes a
// single attempt.
func (e *exchange) relayPlainStream(ctx context.Context) {
	s := &stream{exchange: e}
	err := s.attemptPlain(ctx)
	if err != nil {
		s.giveUp(ctx, err)
	}
}

func (s *stream) attemptPlain(ctx context.Context) error {
	f := s.forwarder
	now := time.Now()
	at := f.deps.Placer.ChoosePlain(s.usableEndpoints(), s.exclude, now)
	if at == nil {
		return classifier.NotRun(classifier.ReasonNoEndpoint, f.retryAfter(s.service.Name, noEndpointRetryAfter), "service %q has no endpoint", s.service.Name)
	}
	s.sent++
	s.observation.addAttempt(at)
	f.deps.Placer.Begin(at, placer.Size{})
	watchdog := time.NewTimer(noTimeout)
	defer watchdog.Stop()
	err := func() error {
		response, err := f.deps.Endpoints.Forward(ctx, at, &s.call)
		if err != nil {
			return err
		}
		defer response.Close()
		if err := s.checkHead(response, at); err != nil {
			return err
		}
		return s.relay(ctx, response, at, watchdog)
	}()
	o := placer.Outcome{Verdict: placer.VerdictSuccess}
	if err != nil {
		o = engineOutcome(ctx, err, 0)
	}
	f.deps.Placer.End(at, placer.Size{})
	f.recordOutcome(at, o)
	return err
}
