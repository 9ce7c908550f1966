package reserver

import (
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/estimator"
	"github.com/jackdawthread/jackdawthread/placer"
)

const (
	// maxLeadShare is the largest share of a request's objective by which its latest
	// on-time start precedes the objective. When prefill engines are overloaded,
	// every request would otherwise count as late on arrival, and the on-time ones
	// would lose their precedence.
	maxLeadShare = 0.8
	// unmeasuredWaitShare is the share of a request's time until it must start that it
	// may wait for capacity while the engines have not been measured.
	unmeasuredWaitShare = 0.5
)

// Expectation holds the durations to expect at the engines of a plan. They are 0
// while the engines have not been measured.
type Expectation struct {
	// Prefill is a time that most prefills don't exceed, FirstEvent the same from the
	// call of the decode engine to the first event.
	Prefill, FirstEvent time.Duration
}

// ModelStatus is a summary of the model of a service's engines that a host uses,
// for operators. Durations that are unknown are 0.
type ModelStatus struct {
	// Samples is the number of completed responses in the model, and AgeMs the time
	// since it last changed.
	Samples int   `json:"samples"`
	AgeMs   int64 `json:"age-ms"`
	// Known reports whether there are enough samples to use the durations.
	Known bool `json:"known"`
	// PrefillTokensPerSecond is the prefill rate of an engine; 0 means unknown.
	PrefillTokensPerSecond float64 `json:"prefill-tokens-per-second"`
	// QueueingMs is the time that prefills take beyond that of one which has its
	// engine to itself, FirstEventMs the time from the call of a decode engine to the
	// first event, and OutputTokenUs that of an expected output token.
	QueueingMs    float64 `json:"queueing-ms"`
	FirstEventMs  float64 `json:"first-event-ms"`
	OutputTokenUs float64 `json:"output-token-us"`
}

// Models returns the models of all services that this host has placed requests of.
func (r *Reserver) Models() map[identifier.Service]ModelStatus {
	now := time.Now()
	all := map[identifier.Service]ModelStatus{}
	for _, q := range r.allQueues() {
		if s := q.modelStatus(now); s.Samples > 0 {
			all[q.service] = s
		}
	}
	return all
}

func (q *serviceQueue) modelStatus(now time.Time) ModelStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	m := q.model
	rate, _ := m.PrefillRate() // 0 if unknown
	return ModelStatus{
		Samples:                m.Samples(),
		AgeMs:                  now.Sub(q.modelChanged).Milliseconds(),
		Known:                  m.Known(),
		PrefillTokensPerSecond: rate,
		QueueingMs:             m.Queueing.Mean * 1e3,
		FirstEventMs:           m.FirstEvents.Mean * 1e3,
		OutputTokenUs:          m.TimePerToken() * 1e6,
	}
}

// expectation returns the durations to expect for a prompt.
func (q *serviceQueue) expectation(prompt identifier.Tokens) Expectation {
	q.mu.Lock()
	defer q.mu.Unlock()
	prefill, ok := q.model.Prefill(prompt)
	first, firstOK := q.model.FirstEvent(prompt)
	if !ok || !firstOK {
		return Expectation{}
	}
	return Expectation{Prefill: prefill.High(), FirstEvent: first.High() - prefill.High()}
}

// setStartTimes sets the latest times at which a request may start. Durations that
// have not been measured are left out. q.mu must be held.
func (q *serviceQueue) setStartTimes(req *PlacementRequest) {
	first, ok := q.model.FirstEvent(req.Prompt)
	if !ok {
		req.LatestOnTimeStart = req.OnTimeBy
		left := earliest(req.FirstEventBy, req.Deadline).Sub(req.Arrived)
		req.LatestStart = req.Arrived.Add(time.Duration(unmeasuredWaitShare * float64(left)))
		return
	}
	objective := req.OnTimeBy.Sub(req.Arrived)
	lead := min(first.High(), time.Duration(maxLeadShare*float64(objective)))
	req.LatestOnTimeStart = req.OnTimeBy.Add(-lead)
	req.LatestStart = req.FirstEventBy.Add(-first.Mean)
	if response, ok := q.model.Response(req.Prompt, req.output()); ok {
		req.LatestStart = earliest(req.LatestStart, req.Deadline.Add(-response))
	}
}

// work returns the engines' time that a request is expected to take: that of its
// response, by its share of an engine's memory; 0 if unknown. q.mu must be held.
func (q *serviceQueue) work(req *PlacementRequest) time.Duration {
	response, ok := q.model.Response(req.Prompt, req.output())
	memory := engineConfig(q.reserver.deps.Registry.Snapshot(), q.service).Memory
	if !ok || memory <= 0 {
		return 0
	}
	return time.Duration(float64(response) * float64(req.Tokens) / float64(memory))
}

// unconditional returns the request's queue entry without the estimates that could
// reject it.
func (r *PlacementRequest) unconditional() admitter.Entry {
	e := r.Entry
	e.LatestStart = earliest(r.FirstEventBy, r.Deadline)
	return e
}

// output returns the expected number of output tokens.
func (r *PlacementRequest) output() identifier.Tokens {
	return outputTokens(r.Prompt, r.Tokens)
}

// outputTokens returns the output tokens of a request that occupies tokens in
// total.
func outputTokens(prompt, tokens identifier.Tokens) identifier.Tokens {
	return tokens - min(tokens, prompt)
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// demand returns the capacity that a request needs at a decode engine with the given
// memory.
func (q *serviceQueue) demand(req *PlacementRequest, memory identifier.Tokens) placer.CapacityDemand {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.demandLocked(req, memory)
}

// demandLocked is demand if q.mu is held.
func (q *serviceQueue) demandLocked(req *PlacementRequest, memory identifier.Tokens) placer.CapacityDemand {
	spread, ok := q.model.OutputSpread()
	if !ok {
		spread = 0
	}
	maxSlowness, _ := q.model.MaxSlowness(req.Prompt, req.output(), time.Until(req.Deadline)) // 0 if unknown
	return placer.CapacityDemand{
		Size:                placer.Size{Tokens: req.Tokens, Output: req.output()},
		Memory:              memory,
		OutputSpread:        spread,
		MaxSlowness:         maxSlowness,
		PreferredDataCenter: req.PreferredDataCenter,
	}
}

// recordPlacement adds a request that was placed to the model.
func (q *serviceQueue) recordPlacement(a *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.model.RecordPlacement(a.Prompt)
}

// recordMeasured adds the measurements of a successful part of a grant to the
// model.
func (q *serviceQueue) recordMeasured(g *grant, prefill bool, o placer.Outcome, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.modelChanged = now
	took := now.Sub(g.grantedAt)
	if prefill {
		q.model.RecordPrefill(estimator.Prefill{Prompt: g.prompt, Work: g.prefillWork, Delay: took})
		return
	}
	q.model.RecordResponse(estimator.Response{
		Prompt: g.prompt, Output: outputTokens(g.prompt, g.tokens),
		Occupied: took, FirstEvent: o.FirstEvent, Took: o.Latency, EventInterval: o.EventInterval,
	})
}

// recordSlowness compares the time that a part of a grant took with the model. A part
// that failed tells how fast the engine is as far as it got.
func (q *serviceQueue) recordSlowness(g *grant, prefill bool, o placer.Outcome, now time.Time) {
	e := g.decode
	if prefill {
		e = g.prefill
	}
	if e == nil {
		return
	}
	p := q.reserver.deps.Placer
	ratio, known := q.slownessRatio(g, prefill, o, now)
	before := p.Slowness(e, now)
	switch {
	case !known:
		return
	case prefill && o.Verdict == placer.VerdictResponseFailed:
		p.RecordMinSlowness(e, ratio, now)
	case !prefill || o.Verdict == placer.VerdictSuccess:
		p.RecordSlowness(e, ratio, now)
	}
	if after := p.Slowness(e, now); (before > 1) != (after > 1) {
		q.reserver.deps.Log.Info("engine-slowness-changed",
			zap.String("endpoint", string(e.Name)), zap.String("service", string(q.service)),
			zap.Stringer("stage", e.Stage), zap.Float64("from", before), zap.Float64("to", after))
	}
}

// slownessRatio returns how many times as long as expected a part of a grant took. It is
// false if that is unknown.
func (q *serviceQueue) slownessRatio(g *grant, prefill bool, o placer.Outcome, now time.Time) (float64, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !prefill {
		return q.model.EventRatio(o.EventInterval)
	}
	return q.model.PrefillRatio(estimator.Prefill{Prompt: g.prompt, Work: g.prefillWork, Delay: now.Sub(g.grantedAt)})
}

// modelFields returns the estimates for a request, for its log line. q.mu must be
// held.
func (q *serviceQueue) modelFields(req *PlacementRequest) []zap.Field {
	fields := []zap.Field{zap.Int("samples", q.model.Samples())}
	if first, ok := q.model.FirstEvent(req.Prompt); ok {
		fields = append(fields, zap.Duration("expected-first-event", first.Mean))
	}
	if response, ok := q.model.Response(req.Prompt, req.output()); ok {
		fields = append(fields, zap.Duration("expected-response", response))
	}
	if spread, ok := q.model.OutputSpread(); ok {
		fields = append(fields, zap.Float64("output-spread", spread))
	}
	return fields
}
