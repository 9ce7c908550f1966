package forwarder

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/reserver"
)

// A caller is assumed to cancel a stream if no event arrives for the longest of
// a fixed time, a multiple of the route's objective and a multiple of its gap
// objective.
const (
	minEventTimeout        = 2 * time.Second
	objectiveTimeoutFactor = 4
	gapTimeoutFactor       = 8
)

// placementRequest returns the capacity that the request needs, and its
// deadlines.
func (s *stream) placementRequest() reserver.PlacementRequest {
	started := s.observation.Started
	w := reserver.PlacementRequest{
		Entry:          s.queueEntry(),
		Service:        s.service.Name,
		Request:        s.call.ID,
		Prompt:         s.call.Prompt,
		Tokens:         s.requiredTokens(),
		OnTimeBy:       started.Add(s.route.Objective),
		FirstEventBy:   started.Add(s.callerEventTimeout()),
		Deadline:       s.call.Deadline,
		Exclude:        s.exclude,
		ExcludePrefill: s.excludedPrefills,
	}
	if s.headWritten { // the caller is waiting for the next event
		w.Priority = -1
		w.OnTimeBy = s.call.Deadline
		w.FirstEventBy = s.call.Deadline
	}
	return w
}

// queueEntry returns what the request's place in the queue depends on.
func (s *stream) queueEntry() admitter.Entry {
	e := admitter.Entry{
		Arrived:     s.observation.Started,
		Priority:    s.call.Priority,
		Spent:       s.observation.Prefill,
		Fingerprint: xxhash.Sum64String(string(s.observation.Fingerprints.Caller)),
	}
	if c := s.call.Customer; c != nil {
		e.Customer = c.Name
	}
	return e
}

// callerEventTimeout is the assumed time that the caller waits for an event before
// it cancels the request.
func (s *stream) callerEventTimeout() time.Duration {
	return max(minEventTimeout, objectiveTimeoutFactor*s.route.Objective, gapTimeoutFactor*s.route.GapObjective)
}

// expectedOutput returns the expected number of output tokens. Without an
// estimate, half of the maximum is assumed.
func (s *stream) expectedOutput() identifier.Tokens {
	d := &s.call.RequestParameters
	if d.ExpectedOutput > 0 {
		return min(d.MaxOutput, d.ExpectedOutput)
	}
	return d.MaxOutput / 2
}

// requiredTokens returns the tokens that the request occupies on a decode engine:
// the prompt and the expected output.
func (s *stream) requiredTokens() identifier.Tokens {
	return s.call.Prompt + s.expectedOutput()
}
