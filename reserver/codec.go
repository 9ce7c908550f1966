package reserver

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/estimator"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// encodeRequest converts a request to a message. Times become durations from now,
// since the hosts' clocks differ.
func encodeRequest(req *PlacementRequest, now time.Time) *peerwire.ReservationRequest {
	return &peerwire.ReservationRequest{
		Service:        string(req.Service),
		Request:        string(req.Request),
		Prompt:         uint32(req.Prompt),
		Tokens:         uint32(req.Tokens),
		AgeMs:          now.Sub(req.Arrived).Milliseconds(),
		OnTimeMs:       req.OnTimeBy.Sub(now).Milliseconds(),
		FirstEventMs:   earliest(req.FirstEventBy, req.Deadline).Sub(now).Milliseconds(),
		DeadlineMs:     req.Deadline.Sub(now).Milliseconds(),
		Priority:       req.Priority,
		Customer:       string(req.Customer),
		Fingerprint:    req.Fingerprint,
		SpentUs:        req.Spent.Microseconds(),
		Exclude:        endpointStrings(req.Exclude),
		ExcludePrefill: endpointStrings(req.ExcludePrefill),
	}
}

func decodeRequest(m *peerwire.ReservationRequest, now time.Time) *PlacementRequest {
	req := &PlacementRequest{
		Service:        identifier.Service(m.Service),
		Request:        identifier.Request(m.Request),
		Prompt:         identifier.Tokens(m.Prompt),
		Tokens:         identifier.Tokens(m.Tokens),
		Exclude:        endpointNames(m.Exclude),
		ExcludePrefill: endpointNames(m.ExcludePrefill),
	}
	req.Arrived = now.Add(-time.Duration(m.AgeMs) * time.Millisecond)
	req.OnTimeBy = now.Add(time.Duration(m.OnTimeMs) * time.Millisecond)
	req.FirstEventBy = now.Add(time.Duration(m.FirstEventMs) * time.Millisecond)
	req.Deadline = now.Add(time.Duration(m.DeadlineMs) * time.Millisecond)
	if m.DeadlineMs == 0 {
		req.Deadline = req.FirstEventBy
	}
	req.Priority = m.Priority
	req.Customer = identifier.Customer(m.Customer)
	req.Fingerprint = m.Fingerprint
	req.Spent = time.Duration(m.SpentUs) * time.Microsecond
	return req
}

func endpointStrings(names []identifier.Endpoint) []string {
	all := make([]string, len(names))
	for i, n := range names {
		all[i] = string(n)
	}
	return all
}

func endpointNames(all []string) []identifier.Endpoint {
	names := make([]identifier.Endpoint, len(all))
	for i, n := range all {
		names[i] = identifier.Endpoint(n)
	}
	return names
}

func encodeModel(m *estimator.Model) *peerwire.EngineModel {
	return &peerwire.EngineModel{
		Prefills:            peerwire.SampleRegression(m.Prefills),
		BusyPrefills:        peerwire.SampleRegression(m.BusyPrefills),
		Queueing:            peerwire.SampleAverage(m.Queueing),
		PromptTokens:        peerwire.SampleAverage(m.PromptTokens),
		FirstEvents:         peerwire.SampleAverage(m.FirstEvents),
		OutputTokens:        peerwire.SampleAverage(m.OutputTokens),
		OutputTimes:         peerwire.SampleAverage(m.OutputTimes),
		OutputDeviations:    peerwire.SampleAverage(m.OutputDeviations),
		MeasuredOutputTimes: peerwire.SampleAverage(m.MeasuredOutputTimes),
		EventIntervals:      peerwire.SampleAverage(m.EventIntervals),
		MemoryUse:           peerwire.SampleAverage(m.MemoryUse),
	}
}

func decodeModel(m *peerwire.EngineModel) *estimator.Model {
	return &estimator.Model{
		Prefills:            estimator.Regression(m.Prefills),
		BusyPrefills:        estimator.Regression(m.BusyPrefills),
		Queueing:            estimator.Average(m.Queueing),
		PromptTokens:        estimator.Average(m.PromptTokens),
		FirstEvents:         estimator.Average(m.FirstEvents),
		OutputTokens:        estimator.Average(m.OutputTokens),
		OutputTimes:         estimator.Average(m.OutputTimes),
		OutputDeviations:    estimator.Average(m.OutputDeviations),
		MeasuredOutputTimes: estimator.Average(m.MeasuredOutputTimes),
		EventIntervals:      estimator.Average(m.EventIntervals),
		MemoryUse:           estimator.Average(m.MemoryUse),
	}
}
