package emulator

import (
	"context"
	"fmt"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// Prefill computes the KV cache of a prompt. It is aborted if the caller
// disconnects.
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
		return nil, e.abortForCaller(w, ctx.Err())
	}
}

// queuePrefill admits a prefill and reserves its memory.
func (e *Engine) queuePrefill(m *enginewire.PrefillRequest) (*workItem, error) {
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
		return nil, e.refuse(reason, "engine %q does not have %d free pieces for a prefill", e.settings.Name, pieces)
	}
	w.pieces = pieces
	// The last token is always computed because the first output token is
	// derived from it.
	w.cached = min(e.cache.lookup(w.model, w.prompt), w.tokens-1)
	e.stats.CachedTokens += uint64(w.cached)
	e.register(w)
	w.handle = fmt.Sprintf("%s-%d", e.handlePrefix, w.admissionNumber)
	e.recordAdmission(w, AdmissionPrefill)
	e.wakeStepLoop()
	return w, nil
}

// maxAnswerTokens bounds the length of an answer.
const maxAnswerTokens = 1 << 24

func checkPrefill(m *enginewire.PrefillRequest) error {
	switch {
	case m.GetMaxTokens() > maxAnswerTokens:
		return invalidArgument("max_tokens is %d, limit is %d", m.GetMaxTokens(), maxAnswerTokens)
	case m.GetGeneratedTokens() >= m.GetMaxTokens():
		return invalidArgument("generated_tokens %d must be less than max_tokens %d", m.GetGeneratedTokens(), m.GetMaxTokens())
	}
	return nil
}

func newPrefill(m *enginewire.PrefillRequest) *workItem {
	w := &workItem{
		attempt:         attemptFromWire(m.GetAttempt()),
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

// resumedSeed returns the seed of w's answer. As with a real engine, generated
// text that is not a prefix of the answer leads to a different answer.
func resumedSeed(w *workItem) Seed {
	seed := AnswerSeed(w.model, w.prompt)
	// Every token has at least one byte, so a shorter text cannot hold that
	// many tokens.
	if int(w.generatedTokens) > len(w.generatedText) {
		return AnswerSeed(w.model, w.prompt+w.generatedText)
	}
	if seed.Text(0, w.generatedTokens) == w.generatedText {
		return seed
	}
	return AnswerSeed(w.model, w.prompt+w.generatedText)
}

func (e *Engine) prefillResponse(w *workItem) *enginewire.PrefillResponse {
	return &enginewire.PrefillResponse{
		Handle:       w.handle,
		Tokens:       w.tokens,
		CachedTokens: w.cached,
		Pieces:       uint32(e.settings.piecesFor(w.tokens)),
		ExpiresInMs:  uint32(e.settings.ResultTTL.Milliseconds()),
	}
}

// abortForCaller aborts w after its caller disconnected.
func (e *Engine) abortForCaller(w *workItem, cause error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	err := connect.NewError(connect.CodeCanceled, fmt.Errorf("caller of attempt %s disconnected: %w", w.attempt, cause))
	e.abort(w, err)
	return err
}
