package forwarder

import (
	"context"

	"github.com/jackdawthread/jackdawthread/exchanger"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/quarantiner"
	"github.com/jackdawthread/jackdawthread/reserver"
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
	to, refusal := s.choosePlain(ctx)
	if refusal != nil {
		return refusal
	}
	at := to.Endpoint
	defer f.deps.Limits.Drop(at, s.call.ID)
	s.sent++
	s.observation.addAttempt(at)
	f.deps.Placer.Begin(at, placer.Size{})
	d := &decoding{}
	d.call = s.callEndpoint(ctx, at, func(ctx context.Context) (*exchanger.Response, error) {
		c, err := s.enter(ctx, at, quarantiner.PhaseDecode)
		if err != nil {
			return nil, err
		}
		d.isolation = c
		return f.deps.Endpoints.Forward(ctx, at, &s.call)
	})
	_, err := s.follow(ctx, d, newMover(false, d.call.started, noTimeout))
	d.isolation.Settle(ctx, err)
	o := placer.Outcome{Verdict: placer.VerdictSuccess}
	if err != nil {
		o = engineOutcome(ctx, err, 0)
	}
	f.deps.Placer.End(at, placer.Size{})
	f.recordOutcome(at, o)
	f.endSlot(to.slot, reserver.SlotOutcome{Outcome: placer.Outcome{Verdict: o.Verdict}})
	return err
}
