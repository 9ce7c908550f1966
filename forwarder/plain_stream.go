package forwarder

import (
	"context"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/placer"
)

// relayPlainStream serves an event stream of a plain service.
func (e *exchange) relayPlainStream(ctx context.Context) {
	s := &stream{exchange: e}
	err := s.streamOnce(ctx)
	if err != nil {
		s.giveUp(ctx, err)
	}
}

func (s *stream) streamOnce(ctx context.Context) error {
	f := s.forwarder
	now := time.Now()
	at := f.deps.Placer.ChoosePlain(s.current(), s.exclude, now)
	if at == nil {
		return classifier.NotRun(classifier.ReasonNoEndpoint, classifier.Spread(absentRetryAfter), "service %q has no endpoint", s.service.Name)
	}
	s.sent++
	s.observation.at(at)
	f.deps.Placer.Begin(at, 0)
	watchdog := time.NewTimer(never)
	defer watchdog.Stop()
	err := func() error {
		response, err := f.deps.Endpoints.Forward(ctx, at, &s.call)
		if err != nil {
			return err
		}
		defer response.Close()
		if err := s.head(response, at); err != nil {
			return err
		}
		return s.relay(ctx, response, at, watchdog)
	}()
	o := placer.Outcome{Verdict: placer.VerdictSound}
	if err != nil {
		o = outcomeOf(ctx, err, 0)
	}
	f.deps.Placer.End(at, 0)
	f.judge(at, o)
	return err
}
