// Package loader drives a running system through the callers' interface and
// reports how it did: calls by verdict, latencies, and goodput, the calls that
// met both of their latency targets.
//
// # Usage
//
// At a set rate, with the arrivals of a Poisson process that follows from the
// seed:
//
//	report, err := loader.Run(ctx, loader.Settings{
//		Mix:      loader.TamsuiMix(),
//		Rate:     20,
//		Duration: time.Minute,
//		Warmup:   5 * time.Second,
//		Seed:     1,
//	}, loader.NewConnectCaller(client, "http://127.0.0.1:7000", "http://127.0.0.1:7010"), answers)
//	err = report.WriteTable(os.Stdout)
//
// With Concurrency in place of Rate, so many callers each send a call once
// their last one has ended.
//
// Each answer is compared byte for byte with what [Answers] expects. Latencies
// count from a call's planned arrival, so that a system that falls behind
// can't hide it.
package loader

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jackdawthread/jackdawthread/common/grouper"
)

// DefaultMaxOutstanding bounds the calls under way at a set rate.
const DefaultMaxOutstanding = 20_000

// Settings says what load to make.
type Settings struct {
	// Mix of the calls.
	Mix []Kind
	// Rate in calls a second; 0: Concurrency holds.
	Rate float64
	// Concurrency is the number of calls under way all the time.
	Concurrency int
	// Duration in which calls are sent, the warm-up included. Calls under
	// way at its end are awaited.
	Duration time.Duration
	// Warmup is the time at the start whose calls are not reported.
	Warmup time.Duration
	// Seed fixes the calls and, at a set rate, their arrivals.
	Seed uint64
	// MaxOutstanding bounds the calls under way at a set rate; calls above
	// it are not sent, but counted. 0: DefaultMaxOutstanding.
	MaxOutstanding int
	// Repeats is how often a caller repeats a call that was not run, each
	// time after the retry-after that it was told.
	Repeats int
	// HangUps is the share of calls to model services, between 0 and 1, whose
	// caller goes away before HangUpWithin has passed.
	HangUps      float64
	HangUpWithin time.Duration
}

// Answers gives what a right answer is.
type Answers interface {
	// Text is a model service's answer.
	Text(service, prompt string, tokens uint32) string
	// Payload is a plain service's answer.
	Payload(service string, payload []byte) []byte
}

func (s *Settings) check() error {
	switch {
	case len(s.Mix) == 0:
		return errors.New("mix has no kinds of calls")
	case (s.Rate > 0) == (s.Concurrency > 0):
		return fmt.Errorf("either rate or concurrency must be above 0, not rate %v and concurrency %d", s.Rate, s.Concurrency)
	case s.HangUps > 0 && s.HangUpWithin <= 0:
		return fmt.Errorf("hang-ups need a time above 0, not %s", s.HangUpWithin)
	case s.Duration <= s.Warmup:
		return fmt.Errorf("duration %s is not longer than the warm-up %s", s.Duration, s.Warmup)
	}
	return nil
}

// run is one load under way.
type run struct {
	settings Settings
	caller   Caller
	answers  Answers
	planner  *planner
	tally    *tally
	start    time.Time
	sent     atomic.Int64
	underway atomic.Int64
}

// Run makes load and reports on it. Without a, answers are not compared. It
// ends early if ctx does.
func Run(ctx context.Context, s Settings, c Caller, a Answers) (*Report, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	if s.MaxOutstanding == 0 {
		s.MaxOutstanding = DefaultMaxOutstanding
	}
	p, err := newPlanner(s.Mix, s.Seed)
	if err != nil {
		return nil, err
	}
	r := &run{settings: s, caller: c, answers: a, planner: p, tally: newTally(s.Mix), start: time.Now()}
	if s.Rate > 0 {
		r.sendAtRate(ctx)
	} else {
		r.sendConcurrently(ctx)
	}
	report := r.tally.report(s, min(s.Duration, time.Since(r.start)))
	report.Compared = a != nil
	return report, nil
}

// sendAtRate sends calls whether or not earlier ones have ended.
func (r *run) sendAtRate(ctx context.Context) {
	arrivals := rand.New(rand.NewPCG(r.settings.Seed, arrivalStream))
	g := grouper.New(ctx)
	at := time.Duration(0)
	for i := uint64(0); ; i++ {
		at += time.Duration(arrivals.ExpFloat64() / r.settings.Rate * float64(time.Second))
		if at >= r.settings.Duration || !sleepUntil(ctx, r.start.Add(at)) {
			break
		}
		call := r.planner.call(i)
		call.Arrival = r.start.Add(at)
		if r.underway.Load() >= int64(r.settings.MaxOutstanding) {
			r.tally.skip(call, r.reported(call))
			continue
		}
		r.underway.Add(1)
		g.Run(func(ctx context.Context) {
			defer r.underway.Add(-1)
			r.do(ctx, call)
		})
	}
	_ = g.Wait() // no member gives an error
}

// sendConcurrently sends a call whenever one has ended.
func (r *run) sendConcurrently(ctx context.Context) {
	g := grouper.New(ctx)
	for range r.settings.Concurrency {
		g.Run(func(ctx context.Context) {
			for ctx.Err() == nil && time.Since(r.start) < r.settings.Duration {
				call := r.planner.call(uint64(r.sent.Add(1) - 1))
				call.Arrival = time.Now()
				r.do(ctx, call)
			}
		})
	}
	_ = g.Wait() // no member gives an error
}

// reported tells whether a call came after the warm-up.
func (r *run) reported(c Call) bool {
	return c.Arrival.Sub(r.start) >= r.settings.Warmup
}

// do makes one call, repeats it while it may, and enters the outcome.
func (r *run) do(ctx context.Context, c Call) {
	jitter := rand.New(rand.NewPCG(r.settings.Seed, c.Index))
	if !c.Kind.Plain && jitter.Float64() < r.settings.HangUps {
		r.hangUp(ctx, c, time.Duration(jitter.Float64()*float64(r.settings.HangUpWithin)))
		return
	}
	o := r.attempt(ctx, c)
	for n := 0; n < r.settings.Repeats && o.mayRepeat(); n++ {
		wait := time.Duration(float64(o.failure.RetryAfter) * (1 + jitter.Float64()/2))
		if !sleepUntil(ctx, time.Now().Add(wait)) {
			break
		}
		o = r.attempt(ctx, c)
		o.repeats = n + 1
	}
	if r.reported(c) {
		r.tally.enter(o)
	}
}

// hangUp makes a call whose caller goes away after a while. What it got until
// then is of no interest, unless the answer was whole.
func (r *run) hangUp(ctx context.Context, c Call, after time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, after)
	defer cancel()
	o := r.attempt(ctx, c)
	if o.failure != nil {
		o.failure = &Failure{Verdict: verdictHungUp}
	}
	if r.reported(c) {
		r.tally.enter(o)
	}
}

func (r *run) attempt(ctx context.Context, c Call) *outcome {
	ctx, cancel := context.WithTimeout(ctx, c.Kind.Deadline)
	defer cancel()
	o := &outcome{call: c}
	answer, failure := r.caller.Do(ctx, c, o.observe)
	o.ended = time.Now()
	o.failure = failure
	if failure == nil {
		o.matches = r.matches(c, answer)
	}
	return o
}

func (r *run) matches(c Call, a Answer) bool {
	if r.answers == nil {
		return true
	}
	if c.Kind.Plain {
		return string(a.Payload) == string(r.answers.Payload(c.Kind.Service, c.Payload))
	}
	return a.Text == r.answers.Text(c.Kind.Service, c.Prompt, c.MaxTokens)
}

// sleepUntil gives false if ctx ended first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	alarm := time.NewTimer(d)
	defer alarm.Stop()
	select {
	case <-alarm.C:
		return true
	case <-ctx.Done():
		return false
	}
}
