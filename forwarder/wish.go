package forwarder

import (
	"time"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/reserver"
)

// Callers leave a stream when no event has come for the longest of these: a
// fixed time, some times the objective, some times the longest pause that is
// aimed for.
const (
	leastPatience     = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
)

// wish says what room the request needs, and by when.
func (s *stream) wish() reserver.Wish {
	started := s.observation.Started
	w := reserver.Wish{
		Wish: admitter.Wish{
			Arrived:  started,
			Priority: s.route.Priority,
			OnTimeBy: started.Add(s.route.Objective - reserver.FirstEventTime(s.call.Prompt)),
			StartBy:  s.startBy(),
		},
		Service:        s.service.Name,
		Request:        s.call.ID,
		Prompt:         s.call.Prompt,
		Tokens:         s.room(),
		Exclude:        s.exclude,
		ExcludePrefill: s.unfitPrefills,
	}
	if s.begun { // its caller waits for the next event
		w.OnTimeBy = s.call.Deadline
		w.Priority = -1
		w.StartBy = s.call.Deadline
	}
	return w
}

// startBy is when the request has to start: in time for the whole answer before
// its deadline, and for the first event before its caller leaves.
func (s *stream) startBy() time.Time {
	leaves := s.observation.Started.Add(s.patience() - reserver.FirstEventTime(s.call.Prompt))
	whole := s.call.Deadline.Add(-s.answerTime())
	if leaves.Before(whole) {
		return leaves
	}
	return whole
}

// patience is how long the caller waits for an event before it leaves.
func (s *stream) patience() time.Duration {
	return max(leastPatience, objectivePatience*s.route.Objective, gapPatience*s.route.GapObjective)
}

// answerTime is what the whole answer takes, as a rule.
func (s *stream) answerTime() time.Duration {
	return reserver.FirstEventTime(s.call.Prompt) + time.Duration(s.output())*reserver.TokenTime
}

// output gives the tokens of output that are to be expected.
func (s *stream) output() identifier.Tokens {
	d := &s.call.Demand
	if d.Expected > 0 {
		return min(d.Longest, d.Expected)
	}
	return d.Longest / 2
}

// room gives the tokens that the request takes at a decode engine: those that
// are sure and the output that is to be expected.
func (s *stream) room() identifier.Tokens {
	return s.call.Prompt + s.output()
}
