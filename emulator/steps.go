package emulator

import (
	"context"
	"slices"
	"time"
)

// maxStepDelay is the maximum delay for which the step loop still catches up.
const maxStepDelay = 100 * time.Millisecond

// step is one iteration of the engine: one token for each request of a batch
// and one chunk of prefill tokens.
type step struct {
	batch    []*workItem
	prefills []prefillChunk
	duration time.Duration
}

// prefillChunk is the share of a step's prefill tokens assigned to one prefill.
type prefillChunk struct {
	item   *workItem
	tokens uint32
}

func (s *step) isEmpty() bool {
	return len(s.batch) == 0 && len(s.prefills) == 0
}

// runSteps is the engine's step loop.
func (e *Engine) runSteps(ctx context.Context) {
	stepTimer := time.NewTimer(time.Hour)
	defer stepTimer.Stop()
	var s step
	due := time.Now()
	for ctx.Err() == nil {
		e.planStep(&s)
		if s.isEmpty() {
			select {
			case <-e.stepSignal:
			case <-ctx.Done():
			}
			due = time.Now()
			continue
		}
		due = nextDue(due, time.Now(), s.duration)
		stepTimer.Reset(time.Until(due))
		select {
		case <-stepTimer.C:
		case <-ctx.Done():
			return
		}
		e.finishStep(&s)
	}
}

// nextDue returns the end of a step that follows one due at last. Small timer
// delays are compensated so that the average rate is kept.
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
	s.duration = time.Duration(float64(s.duration) * f.stepTimeFactor())
}

func (e *Engine) planBatch(batch []*workItem) []*workItem {
	for _, w := range e.items {
		if w.canDecode() {
			batch = append(batch, w)
		}
	}
	slices.SortFunc(batch, (*workItem).compare)
	return batch[:min(len(batch), e.settings.Batch)]
}

func (e *Engine) planPrefills(chunks []prefillChunk) []prefillChunk {
	for _, w := range e.items {
		if w.phase == phasePrefill {
			chunks = append(chunks, prefillChunk{item: w})
		}
	}
	slices.SortFunc(chunks, func(a, b prefillChunk) int { return a.item.compare(b.item) })
	remaining := uint32(e.settings.ChunkTokens)
	for i := range chunks {
		if remaining == 0 {
			return chunks[:i]
		}
		w := chunks[i].item
		chunks[i].tokens = min(remaining, w.tokens-w.cached-w.computed)
		remaining -= chunks[i].tokens
	}
	return chunks
}

// finishStep applies the results of a step.
func (e *Engine) finishStep(s *step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Steps++
	for _, w := range s.batch {
		if e.items[w.attempt] == w {
			e.produceToken(w)
		}
	}
	for _, p := range s.prefills {
		if e.items[p.item.attempt] == p.item {
			e.advancePrefill(p.item, p.tokens)
		}
	}
}

// produceToken produces one output token of w. The caller must hold e.mu.
func (e *Engine) produceToken(w *workItem) {
	w.produced++
	e.stats.OutputTokens++
	if w.produced == w.maxTokens {
		e.markFinished(w)
	}
	if w.stream != nil {
		w.stream.signal()
	}
}

// advancePrefill adds computed tokens to w's prefill. The caller must hold
// e.mu.
func (e *Engine) advancePrefill(w *workItem, tokens uint32) {
	w.computed += tokens
	e.stats.PrefillTokens += uint64(tokens)
	if w.cached+w.computed < w.tokens {
		return
	}
	w.phase = phasePrefilled
	w.expiresAt = time.Now().Add(e.settings.ResultTTL)
	e.handles[w.handle] = w
	e.cache.insert(w.model, w.prompt)
	e.scheduleExpiry(w, e.settings.ResultTTL, "prefill result")
	close(w.ready)
}

// decodeStepSeconds returns the duration of a decode step with the current
// batch. The caller must hold e.mu.
func (e *Engine) decodeStepSeconds() float64 {
	n := 0
	for _, w := range e.items {
		if w.canDecode() {
			n++
		}
	}
	d := e.settings.StepBase + time.Duration(max(n, 1))*e.settings.StepPerRequest
	return d.Seconds() * e.faults.Load().stepTimeFactor()
}
