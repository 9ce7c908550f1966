// Package loader is a load generator. It calls a running system through the
// caller API and reports calls by verdict, latency percentiles and goodput, the
// rate of calls that met both of their latency targets.
//
// # Usage
//
// Open-loop load at a fixed rate, with Poisson arrivals determined by the seed:
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
// Closed-loop load uses Concurrency instead of Rate: each of that many callers
// sends its next call when the previous one has ended.
//
// Each answer is compared byte for byte with the one from [ExpectedAnswers].
// Latencies are measured from a call's planned arrival to avoid coordinated
// omission: otherwise a system that falls behind would also delay the measurement.
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

// DefaultMaxOutstanding is the default limit of calls in flight at a fixed rate.
const DefaultMaxOutstanding = 20_000

// Settings configures a load.
type Settings struct {
	// Mix holds the kinds of calls.
	Mix []Kind
	// Rate is the open-loop rate in calls per second; 0 if Concurrency is
	// set.
	Rate float64
	// Concurrency is the constant number of calls in flight in a closed loop.
	Concurrency int
	// Duration is the time during which calls are sent, including the
	// warm-up. Calls in flight at its end are awaited.
	Duration time.Duration
	// Warmup is the initial time whose calls are not reported.
	Warmup time.Duration
	// Seed determines the calls and, at a fixed rate, their arrivals.
	Seed uint64
	// MaxOutstanding limits the calls in flight at a fixed rate; calls above
	// the limit are counted as skipped and not sent. 0 means
	// DefaultMaxOutstanding.
	MaxOutstanding int
	// Repeats limits how often a caller repeats a call that was not run,
	// waiting for the given retry-after plus jitter each time.
	Repeats int
	// CancelShare is the share of calls to model services, between 0 and 1, that
	// the caller cancels.
	CancelShare float64
	// CancelWithin is the upper bound of the random time after which such a
	// call is canceled.
	CancelWithin time.Duration
}

// ExpectedAnswers computes the answers that calls are expected to return.
type ExpectedAnswers interface {
	// Text returns the expected answer of a model service.
	Text(service, prompt string, tokens uint32) string
	// Payload returns the expected answer of a plain service.
	Payload(service string, payload []byte) []byte
}

func (s *Settings) validate() error {
	switch {
	case len(s.Mix) == 0:
		return errors.New("mix contains no kinds of calls")
	case (s.Rate > 0) == (s.Concurrency > 0):
		return fmt.Errorf("exactly one of rate and concurrency must be positive, got rate %v and concurrency %d", s.Rate, s.Concurrency)
	case s.CancelShare > 0 && s.CancelWithin <= 0:
		return fmt.Errorf("upper bound of the time until a cancellation must be positive, got %s", s.CancelWithin)
	case s.Duration <= s.Warmup:
		return fmt.Errorf("duration %s must exceed the warm-up of %s", s.Duration, s.Warmup)
	}
	return nil
}

// run holds the state of a running load.
type run struct {
	settings Settings
	caller   Caller
	answers  ExpectedAnswers
	planner  *planner
	stats    *stats
	start    time.Time
	sent     atomic.Int64
	inFlight atomic.Int64
}

// Run generates load and returns a report on it. If a is nil, answers are not
// compared. Run returns early if ctx is done.
func Run(ctx context.Context, s Settings, c Caller, a ExpectedAnswers) (*Report, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	if s.MaxOutstanding == 0 {
		s.MaxOutstanding = DefaultMaxOutstanding
	}
	p, err := newPlanner(s.Mix, s.Seed)
	if err != nil {
		return nil, err
	}
	r := &run{settings: s, caller: c, answers: a, planner: p, stats: newStats(s.Mix), start: time.Now()}
	if s.Rate > 0 {
		r.sendAtRate(ctx)
	} else {
		r.sendConcurrently(ctx)
	}
	report := r.stats.report(s, min(s.Duration, time.Since(r.start)))
	report.Compared = a != nil
	return report, nil
}

// sendAtRate sends calls in an open loop, regardless of whether earlier ones
// have ended.
func (r *run) sendAtRate(ctx context.Context) {
	arrivals := rand.New(rand.NewPCG(r.settings.Seed, arrivalStream))
	g := grouper.New(ctx)
	offset := time.Duration(0)
	for i := uint64(0); ; i++ {
		offset += time.Duration(arrivals.ExpFloat64() / r.settings.Rate * float64(time.Second))
		if offset >= r.settings.Duration || !sleepUntil(ctx, r.start.Add(offset)) {
			break
		}
		call := r.planner.call(i)
		call.Arrival = r.start.Add(offset)
		if r.inFlight.Load() >= int64(r.settings.MaxOutstanding) {
			r.stats.recordSkipped(call, r.afterWarmup(call))
			continue
		}
		r.inFlight.Add(1)
		g.Run(func(ctx context.Context) {
			defer r.inFlight.Add(-1)
			r.do(ctx, call)
		})
	}
	_ = g.Wait() // members return no errors
}

// sendConcurrently sends calls in a closed loop, a new one whenever one ends.
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
	_ = g.Wait() // members return no errors
}

// afterWarmup reports whether a call arrived after the warm-up.
func (r *run) afterWarmup(c Call) bool {
	return c.Arrival.Sub(r.start) >= r.settings.Warmup
}

// do makes a call, repeats it if allowed, and records the outcome.
func (r *run) do(ctx context.Context, c Call) {
	jitter := rand.New(rand.NewPCG(r.settings.Seed, c.Index))
	if !c.Kind.Plain && jitter.Float64() < r.settings.CancelShare {
		r.doWithCancellation(ctx, c, time.Duration(jitter.Float64()*float64(r.settings.CancelWithin)))
		return
	}
	o := r.attempt(ctx, c)
	for n := 0; n < r.settings.Repeats && o.repeatable(); n++ {
		wait := time.Duration(float64(o.failure.RetryAfter) * (1 + jitter.Float64()/2))
		if !sleepUntil(ctx, time.Now().Add(wait)) {
			break
		}
		o = r.attempt(ctx, c)
		o.repeats = n + 1
	}
	if r.afterWarmup(c) {
		r.stats.recordOutcome(o)
	}
}

// doWithCancellation makes a call that the caller cancels after the given time.
// Unless the call is answered before that, its verdict is verdictHungUp.
func (r *run) doWithCancellation(ctx context.Context, c Call, after time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, after)
	defer cancel()
	o := r.attempt(ctx, c)
	if o.failure != nil {
		o.failure = &Failure{Verdict: verdictHungUp}
	}
	if r.afterWarmup(c) {
		r.stats.recordOutcome(o)
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

// sleepUntil waits until t. It returns false if ctx is done first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
