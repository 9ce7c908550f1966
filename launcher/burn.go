package launcher

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/dispatcher"
	"github.com/jackdawthread/jackdawthread/reporter"
	"github.com/jackdawthread/jackdawthread/wire/operatorwire"
)

// Burn implements server.Inspected.
func (h *Host) Burn(now time.Time) []*operatorwire.BurnWindow {
	return reporter.ToWire(h.reporter.Windows(now))
}

func (h *Host) recordBurn(o dispatcher.Observation) {
	h.reporter.Record(reporter.Sample{
		Service:       o.Service.Name,
		Outcome:       burnOutcome(o.Err),
		FirstToken:    o.FirstToken,
		BetweenTokens: o.BetweenTokens,
	}, time.Now())
}

// burnOutcome says whose fault a failure is.
func burnOutcome(err error) reporter.Outcome {
	f := classifier.Of(err)
	if f == nil {
		return reporter.OutcomeAnswered
	}
	switch f.Reason {
	case classifier.ReasonCanceled, classifier.ReasonTakenOver:
		return reporter.OutcomeCanceled
	case classifier.ReasonLimit, classifier.ReasonBadRequest, classifier.ReasonTooLarge:
		return reporter.OutcomeInvalid
	case classifier.ReasonQueueFull, classifier.ReasonNoEndpoint:
		return reporter.OutcomeRefused
	default:
		return reporter.OutcomeFailed
	}
}

// objectives gives what the services have to meet.
func objectives(f *compiler.Fleet) map[identifier.Service]reporter.Objective {
	all := make(map[identifier.Service]reporter.Objective, len(f.Services))
	for name, s := range f.Services {
		all[name] = reporter.Objective{FirstToken: s.FirstToken, BetweenTokens: s.BetweenTokens, Share: s.Objective}
	}
	return all
}
