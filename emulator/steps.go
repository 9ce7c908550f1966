package emulator

import (
	"context"
	"slices"
	"time"
)

// maxStepDelay is how far the step loop may be behind and still catch up.
const maxStepDelay = 100 * time.Millisecond

// step is what an engine does at once: one token for each request of a batch
// and a chunk of prefill.
type step struct {
	batch    []*work
	prefills []prefillPart
	duration time.Duration
}

// prefillPart is the share of a step's chunk that one prefill gets.
type prefillPart struct {
	work   *work
	tokens uint32
}

func (s *step) isEmpty() bool {
	return len(s.batch) == 0 && len(s.prefills) == 0
}

// runSteps is the engine's step loop.
func (e *Engine) runSteps(ctx context.Context) {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	var s step
	due := time.Now()
	for ctx.Err() == nil {
		e.planStep(&s)
		if s.isEmpty() {
			select {
			case <-e.changed:
			case <-ctx.Done():
			}
			due = time.Now()
			continue
		}
		due = nextDue(due, time.Now(), s.duration)
		alarm.Reset(time.Until(due))
		select {
		case <-alarm.C:
		case <-ctx.Done():
			return
		}
		e.finishStep(&s)
	}
}

// nextDue gives the end of a step that follows one due at last. Small delays
// of the clock are made up for, so that the rate holds.
func nextDue(last, now time.Time, d time.Duration) time.Time {
	if now.Sub(last) > maxStepDelay {
		last = now
	}
	return last.Add(d)
}

// planStep fills s with the next step.
func (e *Engine) planStep(s *step) {
	s.batch, s.prefills, s.duration = s.batch[:0], s.prefills[:0], 0
	f := e.faults.Load()
	if f.Stall {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.batch = e.planBatch(s.batch)
	s.prefills = e.planPrefills(s.prefills)
	if n := len(s.batch); n > 0 {
		s.duration = e.settings.StepBase + time.Duration(n)*e.settings.StepPerRequest
	}
	tokens := uint32(0)
	for _, p := range s.prefills {
		tokens += p.tokens
	}
	s.duration += time.Duration(float64(tokens) / e.settings.PrefillRate * float64(time.Second))
	s.duration = time.Duration(float64(s.duration) * f.slowed())
}

func (e *Engine) planBatch(batch []*work) []*work {
	for _, w := range e.works {
		if w.inBatch() {
			batch = append(batch, w)
		}
	}
	slices.SortFunc(batch, (*work).before)
	return batch[:min(len(batch), e.settings.Batch)]
}

func (e *Engine) planPrefills(parts []prefillPart) []prefillPart {
	for _, w := range e.works {
		if w.phase == phasePrefill {
			parts = append(parts, prefillPart{work: w})
		}
	}
	slices.SortFunc(parts, func(a, b prefillPart) int { return a.work.before(b.work) })
	room := uint32(e.settings.ChunkTokens)
	for i := range parts {
		if room == 0 {
			return parts[:i]
		}
		w := parts[i].work
		parts[i].tokens = min(room, w.tokens-w.cached-w.computed)
		room -= parts[i].tokens
	}
	return parts
}

// finishStep enters what a step gave into the books.
func (e *Engine) finishStep(s *step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Steps++
	for _, w := range s.batch {
		if e.works[w.attempt] == w {
			e.produce(w)
		}
	}
	for _, p := range s.prefills {
		if e.works[p.work.attempt] == p.work {
			e.compute(p.work, p.tokens)
		}
	}
}

// produce gives w one output token. The mutex is held.
func (e *Engine) produce(w *work) {
	w.produced++
	e.stats.OutputTokens++
	if w.produced == w.maxTokens {
		e.finish(w)
	}
	if w.stream != nil {
		w.stream.signal()
	}
}

// compute enters tokens of w's prefill. The mutex is held.
func (e *Engine) compute(w *work, tokens uint32) {
	w.computed += tokens
	e.stats.PrefillTokens += uint64(tokens)
	if w.cached+w.computed < w.tokens {
		return
	}
	w.phase = phasePrefilled
	w.expiresAt = time.Now().Add(e.settings.ResultKeep)
	e.handles[w.handle] = w
	e.cache.insert(w.model, w.prompt)
	e.expire(w, e.settings.ResultKeep, "prefill result")
	close(w.ready)
}

// stepSeconds is the time of a decode step at the present batch. The mutex is
// held.
func (e *Engine) stepSeconds() float64 {
	n := 0
	for _, w := range e.works {
		if w.inBatch() {
			n++
		}
	}
	d := e.settings.StepBase + time.Duration(max(n, 1))*e.settings.StepPerRequest
	return d.Seconds() * e.faults.Load().slowed()
}
