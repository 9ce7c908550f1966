// Package estimator learns how fast the model engines of a service are from the
// requests that they complete, and estimates how long further ones will take. It
// does no I/O, reads no clock and starts no goroutines.
//
// # Usage
//
//	m := estimator.New()
//	m.RecordPlacement(5000)
//	m.RecordPrefill(estimator.Prefill{Prompt: 5000, Work: 5000, Delay: sinceGrant})
//	m.RecordResponse(estimator.Response{Prompt: 5000, Output: 640, FirstEvent: first, Took: took})
//	if e, ok := m.FirstEvent(prompt); ok { /* e.Mean, e.High() */ }
//
// # Unknown engines
//
// Engines differ by orders of magnitude in the time of an output token alone, so
// there are no default speeds: an estimate is missing until [MinSamples] requests
// have been measured, and callers must then decide without it. In particular they
// must not reject a request for a time that nobody has measured, since a rejected
// request is never measured either.
//
// # Queueing
//
// The prefill rate of an engine results from prefills that had their engine to
// themselves. What the others took beyond that is the queueing time, which is
// estimated separately, as it changes with the load. Failed and canceled calls
// must not be recorded: their durations say nothing about the engine.
package estimator

import (
	"math"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// minMemoryUseSamples is the number of responses from which the mean of their memory
// use is representative: short responses, which occupy less, are the first to
// complete.
const minMemoryUseSamples = 50

// Prefill is a completed prefill.
type Prefill struct {
	Prompt identifier.Tokens
	// Work is the length of all prompts that the engine had to process at the time of
	// the decision, including this one.
	Work identifier.Tokens
	// Delay is the time from the decision to run the prefill to its end. It
	// includes the call and queueing at the engine.
	Delay time.Duration
}

// exclusive reports whether the engine had no other prompts.
func (p *Prefill) exclusive() bool {
	return p.Work <= p.Prompt
}

// Response is a completed response.
type Response struct {
	// Prompt is the prompt's length, Output the number of output tokens that was
	// expected when the request was placed.
	Prompt, Output identifier.Tokens
	// Occupied is how long the request occupied its decode engine's memory,
	// including the reservation before it.
	Occupied time.Duration
	// FirstEvent is the time from the call of the decode engine to the first event,
	// Took that to the end of the response; 0 means unknown.
	FirstEvent, Took time.Duration
	// EventInterval is the mean time between two events; 0 means unknown.
	EventInterval time.Duration
}

// Estimate is an expected duration.
type Estimate struct {
	Mean, Deviation time.Duration
}

// High returns a duration that most requests don't exceed.
func (e Estimate) High() time.Duration {
	return e.Mean + e.Deviation
}

// Model holds the measurements of one service. The zero value has none. It is not
// safe for concurrent use.
type Model struct {
	// Prefills is the time of exclusive prefills in seconds over the prompt length.
	Prefills Regression
	// Queueing is the time in seconds that prefills took beyond that of an exclusive
	// one.
	Queueing Average
	// PromptTokens is the length of prompts.
	PromptTokens Average
	// BusyPrefills is the time of all prefills in seconds over Prefill.Work.
	BusyPrefills Regression
	// FirstEvents is the time in seconds from the call of the decode engine to the
	// first event.
	FirstEvents Average
	// OutputTokens is the expected number of output tokens, OutputTimes the time in
	// seconds that they took after the first event. Their ratio is steadier than the
	// mean of ratios, as expected numbers are often far off.
	OutputTokens, OutputTimes Average
	// OutputDeviations is the absolute difference in seconds between output times and
	// the expected ones, MeasuredOutputTimes those output times. The ratio of their
	// means is steadier than the mean of ratios: some outputs take next to no time.
	OutputDeviations, MeasuredOutputTimes Average
	// EventIntervals is the mean time in seconds between two events of a response.
	EventIntervals Average
	// MemoryUse is the product of the tokens that a request occupied at its decode
	// engine and the seconds for which it did.
	MemoryUse Average
}

// New returns a model without measurements.
func New() *Model {
	return &Model{}
}

// Known reports whether the model has enough samples for all of its estimates.
func (m *Model) Known() bool {
	return m.Queueing.Known() && m.FirstEvents.Known() && m.OutputTimes.Known()
}

// Samples returns the number of completed responses that were recorded.
func (m *Model) Samples() int {
	return m.MemoryUse.Count
}

// RecordPlacement records that a request was placed on engines.
func (m *Model) RecordPlacement(prompt identifier.Tokens) {
	m.PromptTokens.add(float64(prompt), longWindow)
}

// RecordPrefill records a successful prefill.
func (m *Model) RecordPrefill(p Prefill) {
	if p.exclusive() {
		m.Prefills.add(float64(p.Prompt), p.Delay.Seconds())
	}
	m.BusyPrefills.add(float64(p.Work), p.Delay.Seconds())
	m.Queueing.add(p.Delay.Seconds()-m.exclusivePrefill(p.Prompt), shortWindow)
}

// RecordResponse records a complete response.
func (m *Model) RecordResponse(r Response) {
	m.MemoryUse.add(float64(r.Prompt+r.Output)*r.Occupied.Seconds(), longWindow)
	if r.EventInterval > 0 {
		m.EventIntervals.add(r.EventInterval.Seconds(), longWindow)
	}
	if r.FirstEvent <= 0 || r.Took < r.FirstEvent {
		return
	}
	m.FirstEvents.add(r.FirstEvent.Seconds(), shortWindow)
	outputTime := (r.Took - r.FirstEvent).Seconds()
	if m.OutputTimes.Known() {
		expected := m.TimePerToken() * float64(r.Output)
		m.OutputDeviations.add(math.Abs(outputTime-expected), longWindow)
		m.MeasuredOutputTimes.add(outputTime, longWindow)
	}
	m.OutputTokens.add(float64(r.Output), shortWindow)
	m.OutputTimes.add(outputTime, shortWindow)
}

// exclusivePrefill returns the expected time in seconds of a prefill that has its
// engine to itself. While the effect of the prompt's length is unknown, it is the
// mean of such prefills.
func (m *Model) exclusivePrefill(prompt identifier.Tokens) float64 {
	slope, ok := m.Prefills.slope()
	if !ok {
		return m.Prefills.Y
	}
	return max(0, m.Prefills.Y+slope*(float64(prompt)-m.Prefills.X))
}

// PrefillRate returns the prefill rate of an engine in prompt tokens per second. It
// is false while there is no reliable measurement.
func (m *Model) PrefillRate() (float64, bool) {
	slope, ok := m.Prefills.slope()
	if !ok {
		return 0, false
	}
	return 1 / slope, true
}

// BusyPrefillRate returns a rough estimate of PrefillRate for engines that seldom
// have a single prompt: the rate at which they work off their backlog. It is false
// while there is no reliable measurement.
func (m *Model) BusyPrefillRate() (float64, bool) {
	slope, ok := m.BusyPrefills.slope()
	if !ok {
		return 0, false
	}
	return 1 / slope, true
}

// PrefillRatio returns how many times as long as an average engine one took, or has
// taken so far, for the prompts that it had to process. It is false without enough
// samples.
func (m *Model) PrefillRatio(p Prefill) (float64, bool) {
	b := &m.BusyPrefills
	if b.Count < MinSamples || b.Y <= 0 {
		return 0, false
	}
	expected := b.Y
	if slope, ok := b.slope(); ok {
		expected = max(expected*minPrefillShare, b.Y+slope*(float64(p.Work)-b.X))
	}
	return p.Delay.Seconds() / expected, true
}

// minPrefillShare is the least time that is expected of a prefill, as a share of the
// mean.
const minPrefillShare = 0.1

// EventRatio returns how many times as long as on average an engine took from one event
// to the next. It is false without enough samples.
func (m *Model) EventRatio(interval time.Duration) (float64, bool) {
	if !m.EventIntervals.Known() || interval <= 0 {
		return 0, false
	}
	return interval.Seconds() / m.EventIntervals.Mean, true
}

// MaxSlowness returns the slowness of a decode engine from which a response is not
// complete within the time left. Its first event is expected as usual. It is false
// without enough samples.
func (m *Model) MaxSlowness(prompt, output identifier.Tokens, left time.Duration) (float64, bool) {
	first, ok := m.FirstEvent(prompt)
	outputTime := m.TimePerToken() * float64(output)
	if !ok || !m.OutputTimes.Known() || outputTime <= 0 {
		return 0, false
	}
	return (left - first.Mean).Seconds() / outputTime, true
}

// Prefill returns the expected time from the decision to run a prefill to its end,
// with queueing as in the last samples. It is false without enough samples.
func (m *Model) Prefill(prompt identifier.Tokens) (Estimate, bool) {
	mean := max(0, m.exclusivePrefill(prompt)+m.Queueing.Mean)
	return Estimate{Mean: seconds(mean), Deviation: seconds(m.Queueing.Deviation)}, m.Queueing.Known()
}

// FirstEvent returns the expected time from the decision to run a prefill to the
// first event of the response. It is false without enough samples.
func (m *Model) FirstEvent(prompt identifier.Tokens) (Estimate, bool) {
	prefill, ok := m.Prefill(prompt)
	return Estimate{
		Mean:      prefill.Mean + seconds(m.FirstEvents.Mean),
		Deviation: prefill.Deviation + seconds(m.FirstEvents.Deviation),
	}, ok && m.FirstEvents.Known()
}

// Response returns the expected time from the decision to run a prefill to the end
// of the response. It is false without enough samples.
func (m *Model) Response(prompt, output identifier.Tokens) (time.Duration, bool) {
	first, ok := m.FirstEvent(prompt)
	return first.Mean + seconds(m.TimePerToken()*float64(output)), ok && m.OutputTimes.Known()
}

// OutputSpread returns the standard deviation of the length of outputs, as a share of
// the expected length. It is false without enough samples.
func (m *Model) OutputSpread() (float64, bool) {
	if !m.OutputDeviations.Known() || m.MeasuredOutputTimes.Mean <= 0 {
		return 0, false
	}
	return deviationRatio * m.OutputDeviations.Mean / m.MeasuredOutputTimes.Mean, true
}

// deviationRatio is the ratio of the standard deviation to the mean absolute
// deviation of a normal distribution.
const deviationRatio = 1.25

// TimePerToken returns the time in seconds per expected output token, or 0 without
// samples.
func (m *Model) TimePerToken() float64 {
	if m.OutputTokens.Mean <= 0 {
		return 0
	}
	return m.OutputTimes.Mean / m.OutputTokens.Mean
}

// Running is what the requests that are still running have occupied so far.
type Running struct {
	Count int
	// TokenSeconds is the sum of the products of their tokens and the seconds for
	// which they have occupied them.
	TokenSeconds float64
}

// TokenSeconds returns the expected product of the tokens that a request occupies at
// its decode engine and the seconds for which it does. It is false without enough
// samples.
func (m *Model) TokenSeconds(r Running) (float64, bool) {
	if m.MemoryUse.Count >= minMemoryUseSamples {
		return m.MemoryUse.Mean, true
	}
	if !m.MemoryUse.Known() {
		return 0, false
	}
	// What all requests have occupied so far is too much for the completed ones, and
	// too little for all of them. The truth is between the two.
	completed := float64(m.MemoryUse.Count)
	total := completed*m.MemoryUse.Mean + r.TokenSeconds
	return total / math.Sqrt(completed*(completed+float64(r.Count))), true
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
