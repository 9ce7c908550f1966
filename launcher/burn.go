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

func (h *Host) recordSample(o dispatcher.Observation) {
	h.reporter.Record(reporter.Sample{
		Service:       o.Service.Name,
		Outcome:       classifyOutcome(o.Err),
		FirstToken:    o.FirstToken,
		BetweenTokens: o.BetweenTokens,
	}, time.Now())
}

// classifyOutcome maps the error of a request to the outcome that the burn rate
// counts.
func classifyOutcome(err error) reporter.Outcome {
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

// objectives returns the objective of each service in f.
func objectives(f *compiler.Fleet) map[identifier.Service]reporter.Objective {
	byService := make(map[identifier.Service]reporter.Objective, len(f.Services))
	for name, s := range f.Services {
		byService[name] = reporter.Objective{FirstToken: s.FirstToken, BetweenTokens: s.BetweenTokens, Share: s.Objective}
	}
	return byService
}
