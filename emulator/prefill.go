package emulator

import (
	"context"
	"fmt"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// Prefill computes the KV cache of a prompt. A caller that goes away ends it.
func (e *Engine) Prefill(ctx context.Context, r *connect.Request[enginewire.PrefillRequest]) (*connect.Response[enginewire.PrefillResponse], error) {
	w, err := e.queuePrefill(r.Msg)
	if err != nil {
		return nil, err
	}
	select {
	case <-w.ready:
		return connect.NewResponse(e.prefillResponse(w)), nil
	case <-w.ctx.Done():
		return nil, context.Cause(w.ctx)
	case <-ctx.Done():
		return nil, e.abandon(w, ctx.Err())
	}
}

// queuePrefill admits a prefill and reserves its memory.
func (e *Engine) queuePrefill(m *enginewire.PrefillRequest) (*work, error) {
	if err := checkPrefill(m); err != nil {
		return nil, err
	}
	w := newPrefill(m)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admit(w.attempt, w.model, compiler.RolePrefill); err != nil {
		return nil, err
	}
	pieces := e.settings.piecesFor(w.tokens)
	if reason := e.memory.reserve(pieces, false); reason != "" {
		return nil, e.refuse(reason, "engine %q has no %d pieces for a prefill", e.settings.Name, pieces)
	}
	w.pieces = pieces
	// The last token is computed in any case: its output comes from it.
	w.cached = min(e.cache.lookup(w.model, w.prompt), w.tokens-1)
	e.stats.CachedTokens += uint64(w.cached)
	e.hold(w)
	w.handle = fmt.Sprintf("%s-%d", e.prefix, w.order)
	e.record(w, AdmissionPrefill)
	e.wake()
	return w, nil
}

// maxAnswerTokens bounds an answer's length.
const maxAnswerTokens = 1 << 24

func checkPrefill(m *enginewire.PrefillRequest) error {
	switch {
	case m.GetMaxTokens() > maxAnswerTokens:
		return invalid("max_tokens is %d, limit is %d", m.GetMaxTokens(), maxAnswerTokens)
	case m.GetGeneratedTokens() >= m.GetMaxTokens():
		return invalid("%d generated tokens leave nothing of max_tokens %d", m.GetGeneratedTokens(), m.GetMaxTokens())
	}
	return nil
}

func newPrefill(m *enginewire.PrefillRequest) *work {
	w := &work{
		attempt:         attemptOf(m.GetAttempt()),
		phase:           phasePrefill,
		priority:        m.GetPriority(),
		model:           m.GetModel(),
		prompt:          m.GetPrompt(),
		generatedText:   m.GetGeneratedText(),
		generatedTokens: m.GetGeneratedTokens(),
		maxTokens:       m.GetMaxTokens(),
		produced:        m.GetGeneratedTokens(),
		ready:           make(chan struct{}),
	}
	w.tokens = max(1, uint32(CountTokens(w.prompt))+w.generatedTokens)
	w.seed = resumedSeed(w)
	return w
}

// resumedSeed gives the seed of w's answer. Generated text that is not the
// answer's start leads to another answer, as at a real engine.
func resumedSeed(w *work) Seed {
	seed := AnswerSeed(w.model, w.prompt)
	// No token is empty, so that a text has at least as many bytes.
	if int(w.generatedTokens) > len(w.generatedText) {
		return AnswerSeed(w.model, w.prompt+w.generatedText)
	}
	if seed.Text(0, w.generatedTokens) == w.generatedText {
		return seed
	}
	return AnswerSeed(w.model, w.prompt+w.generatedText)
}

func (e *Engine) prefillResponse(w *work) *enginewire.PrefillResponse {
	return &enginewire.PrefillResponse{
		Handle:       w.handle,
		Tokens:       w.tokens,
		CachedTokens: w.cached,
		Pieces:       uint32(e.settings.piecesFor(w.tokens)),
		ExpiresInMs:  uint32(e.settings.ResultKeep.Milliseconds()),
	}
}

// abandon drops w after its caller went away.
func (e *Engine) abandon(w *work, cause error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	err := connect.NewError(connect.CodeCanceled, fmt.Errorf("caller of attempt %s went away: %w", w.attempt, cause))
	e.drop(w, err)
	return err
}
