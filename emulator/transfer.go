package emulator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
	"github.com/jackdawthread/jackdawthread/wire/enginewire/enginewireconnect"
)

const (
	// exportPieces is how many pieces one message of an export carries.
	exportPieces = linkBurst
	// exportBlockBytes is what stands for these pieces on the wire.
	exportBlockBytes = 64
)

// Export sends a prefill's result over the link and then frees it.
func (e *Engine) Export(ctx context.Context, r *connect.Request[enginewire.ExportRequest], s *connect.ServerStream[enginewire.ExportResponse]) error {
	w, err := e.beginExport(r.Msg.GetHandle())
	if err != nil {
		return err
	}
	err = e.sendCache(ctx, w, identifier.DataCenter(r.Msg.GetDataCenter()), s.Send)
	e.endExport(w, err)
	return err
}

func (e *Engine) beginExport(handle string) (*work, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w, err := e.result(handle)
	if err != nil {
		return nil, err
	}
	w.exporting = true
	e.stopExpiry(w)
	return w, nil
}

// result finds the prefill result that a handle names. The mutex is held.
func (e *Engine) result(handle string) (*work, error) {
	w, ok := e.handles[handle]
	if ok && w.exporting {
		return nil, connect.NewError(connect.CodeAborted, fmt.Errorf("handle %q is being exported", handle))
	}
	if ok {
		return w, nil
	}
	if e.expired.has(handle) {
		return nil, e.refuse(RefusalExpiredHandle, "handle %q expired", handle)
	}
	return nil, e.refuse(RefusalUnknownHandle, "handle %q is unknown", handle)
}

func (e *Engine) sendCache(ctx context.Context, w *work, to identifier.DataCenter, send func(*enginewire.ExportResponse) error) error {
	ctx, cancel := w.join(ctx)
	defer cancel()
	key := compiler.LinkKey{From: e.settings.DataCenter, To: to}
	block := make([]byte, exportBlockBytes)
	for left := e.settings.piecesFor(w.tokens); left > 0; left -= exportPieces {
		n := min(left, exportPieces)
		if err := e.crossLink(ctx, key, n); err != nil {
			return w.cause(err)
		}
		if err := send(&enginewire.ExportResponse{Block: block, Pieces: uint32(n)}); err != nil {
			return err
		}
	}
	return send(&enginewire.ExportResponse{Trailer: trailerOf(w)})
}

func (e *Engine) crossLink(ctx context.Context, key compiler.LinkKey, pieces int) error {
	if e.faults.Load().StallExports {
		<-ctx.Done()
	}
	return e.deps.Links.cross(ctx, key, pieces)
}

func trailerOf(w *work) *enginewire.ExportTrailer {
	return &enginewire.ExportTrailer{
		Model:           w.model,
		Prompt:          w.prompt,
		GeneratedText:   w.generatedText,
		GeneratedTokens: w.generatedTokens,
		MaxTokens:       w.maxTokens,
		Tokens:          w.tokens,
		ComputedTokens:  w.computed,
	}
}

// endExport frees a result that was sent, and lets one that was not expire.
func (e *Engine) endExport(w *work, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.exporting = false
	if e.works[w.attempt] != w {
		return
	}
	if err == nil {
		e.stats.Exported++
		e.release(w)
		return
	}
	e.expire(w, max(0, time.Until(w.expiresAt)), "prefill result")
}

// Import reserves memory and a slot, then pulls a prefill's result. A caller
// that goes away ends it.
func (e *Engine) Import(ctx context.Context, r *connect.Request[enginewire.ImportRequest]) (*connect.Response[enginewire.ImportResponse], error) {
	w, local, err := e.reserveImport(r.Msg)
	if err != nil {
		return nil, err
	}
	if !local {
		err = e.pull(ctx, w, r.Msg)
	}
	if err != nil {
		return nil, e.failImport(w, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return connect.NewResponse(&enginewire.ImportResponse{
		Pieces:      uint32(w.pieces),
		ExpiresInMs: uint32(e.settings.ImportKeep.Milliseconds()),
	}), nil
}

// reserveImport makes room for an import. It gives true if the result was the
// engine's own, so that nothing is left to pull.
func (e *Engine) reserveImport(m *enginewire.ImportRequest) (w *work, local bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if strings.HasPrefix(m.GetHandle(), e.prefix) || m.GetSourceAddress() == "" {
		w, err = e.takeLocal(m)
		return w, true, err
	}
	w = &work{
		attempt:  attemptOf(m.GetAttempt()),
		phase:    phaseImporting,
		priority: m.GetPriority(),
		model:    m.GetModel(),
		handle:   m.GetHandle(),
		pieces:   int(m.GetPieces()),
	}
	if err := e.admit(w.attempt, w.model, compiler.RoleDecode); err != nil {
		return nil, false, err
	}
	if reason := e.memory.reserve(w.pieces, true); reason != "" {
		return nil, false, e.refuse(reason, "engine %q has no slot and %d pieces for an import", e.settings.Name, w.pieces)
	}
	w.slot = true
	e.hold(w)
	e.record(w, AdmissionImport)
	return w, false, nil
}

// takeLocal turns the engine's own prefill result into an import. The mutex
// is held.
func (e *Engine) takeLocal(m *enginewire.ImportRequest) (*work, error) {
	w, err := e.result(m.GetHandle())
	if err != nil {
		return nil, err
	}
	if w.attempt != attemptOf(m.GetAttempt()) {
		return nil, invalid("handle %q belongs to attempt %s", w.handle, w.attempt)
	}
	if !e.role.Takes(compiler.RoleDecode) {
		return nil, e.refuse(RefusalWrongRole, "engine %q has role %s", e.settings.Name, roleNames[e.role])
	}
	more := max(0, max(int(m.GetPieces()), e.piecesOf(w))-w.pieces)
	if reason := e.memory.reserve(more, true); reason != "" {
		return nil, e.refuse(reason, "engine %q has no slot and %d pieces for an import", e.settings.Name, more)
	}
	w.pieces += more
	w.slot = true
	delete(e.handles, w.handle)
	e.imported(w)
	return w, nil
}

// piecesOf gives the pieces of w's cache and whole output.
func (e *Engine) piecesOf(w *work) int {
	return e.settings.piecesFor(w.tokens + w.maxTokens - w.generatedTokens)
}

// imported lets w wait for its decode stream. The mutex is held.
func (e *Engine) imported(w *work) {
	w.phase = phaseImported
	e.stats.Imported++
	e.expire(w, e.settings.ImportKeep, "import")
}

// pull fetches the cache of w from the engine that computed it.
func (e *Engine) pull(ctx context.Context, w *work, m *enginewire.ImportRequest) error {
	ctx, cancel := w.join(ctx)
	defer cancel()
	return w.cause(e.fetch(ctx, w, m))
}

func (e *Engine) fetch(ctx context.Context, w *work, m *enginewire.ImportRequest) error {
	source := enginewireconnect.NewEngineServiceClient(e.deps.Client, "http://"+m.GetSourceAddress())
	stream, err := source.Export(ctx, connect.NewRequest(&enginewire.ExportRequest{
		Handle:     m.GetHandle(),
		DataCenter: string(e.settings.DataCenter),
	}))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }() // the stream has its error already
	var trailer *enginewire.ExportTrailer
	for stream.Receive() {
		trailer = stream.Msg().GetTrailer()
	}
	if err := stream.Err(); err != nil {
		return err
	}
	if trailer == nil {
		return connect.NewError(connect.CodeDataLoss, fmt.Errorf("export of handle %q ended without a trailer", w.handle))
	}
	return e.acceptImport(w, trailer)
}

// acceptImport completes w by what the prefill engine sent.
func (e *Engine) acceptImport(w *work, t *enginewire.ExportTrailer) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.works[w.attempt] != w {
		return context.Cause(w.ctx)
	}
	w.prompt = t.GetPrompt()
	w.generatedText = t.GetGeneratedText()
	w.generatedTokens = t.GetGeneratedTokens()
	w.maxTokens = t.GetMaxTokens()
	w.tokens = t.GetTokens()
	w.computed = t.GetComputedTokens()
	w.produced = w.generatedTokens
	w.seed = resumedSeed(w)
	more := max(0, e.piecesOf(w)-w.pieces)
	if reason := e.memory.reserve(more, false); reason != "" {
		return e.refuse(reason, "engine %q has no %d more pieces for an import", e.settings.Name, more)
	}
	w.pieces += more
	e.imported(w)
	return nil
}

func (e *Engine) failImport(w *work, cause error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drop(w, cause)
	return cause
}
