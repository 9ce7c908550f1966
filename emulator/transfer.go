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
	// exportPieces is the number of pieces in one message of an export.
	exportPieces = linkBurst
	// exportBlockBytes is the size of the placeholder data for these pieces.
	exportBlockBytes = 64
)

// Export transfers a prefill result over the link and then releases it.
func (e *Engine) Export(ctx context.Context, r *connect.Request[enginewire.ExportRequest], s *connect.ServerStream[enginewire.ExportResponse]) error {
	w, err := e.beginExport(r.Msg.GetHandle())
	if err != nil {
		return err
	}
	err = e.sendResult(ctx, w, identifier.DataCenter(r.Msg.GetDataCenter()), s.Send)
	e.endExport(w, err)
	return err
}

func (e *Engine) beginExport(handle string) (*workItem, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w, err := e.findResult(handle)
	if err != nil {
		return nil, err
	}
	w.exporting = true
	e.cancelExpiry(w)
	return w, nil
}

// findResult returns the prefill result of a handle. The caller must hold e.mu.
func (e *Engine) findResult(handle string) (*workItem, error) {
	w, ok := e.handles[handle]
	if ok && w.exporting {
		return nil, connect.NewError(connect.CodeAborted, fmt.Errorf("handle %q is being exported", handle))
	}
	if ok {
		return w, nil
	}
	if e.expired.contains(handle) {
		return nil, e.refuse(RefusalExpiredHandle, "handle %q expired", handle)
	}
	return nil, e.refuse(RefusalUnknownHandle, "handle %q is unknown", handle)
}

func (e *Engine) sendResult(ctx context.Context, w *workItem, to identifier.DataCenter, send func(*enginewire.ExportResponse) error) error {
	ctx, cancel := w.mergeContext(ctx)
	defer cancel()
	key := compiler.LinkKey{From: e.settings.DataCenter, To: to}
	block := make([]byte, exportBlockBytes)
	for remaining := e.settings.piecesFor(w.tokens); remaining > 0; remaining -= exportPieces {
		n := min(remaining, exportPieces)
		if err := e.transferOverLink(ctx, key, n); err != nil {
			return w.causeOr(err)
		}
		if err := send(&enginewire.ExportResponse{Block: block, Pieces: uint32(n)}); err != nil {
			return err
		}
	}
	return send(&enginewire.ExportResponse{Trailer: exportTrailer(w)})
}

func (e *Engine) transferOverLink(ctx context.Context, key compiler.LinkKey, pieces int) error {
	if e.faults.Load().StallExports {
		<-ctx.Done()
	}
	return e.deps.Links.transfer(ctx, key, pieces)
}

func exportTrailer(w *workItem) *enginewire.ExportTrailer {
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

// endExport releases an exported result. If the export failed, it restores the
// result's expiry.
func (e *Engine) endExport(w *workItem, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.exporting = false
	if e.items[w.attempt] != w {
		return
	}
	if err == nil {
		e.stats.Exported++
		e.remove(w)
		return
	}
	e.scheduleExpiry(w, max(0, time.Until(w.expiresAt)), "prefill result")
}

// Import reserves memory and a slot, then pulls a prefill result. It is aborted
// if the caller disconnects.
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
		ExpiresInMs: uint32(e.settings.ImportTTL.Milliseconds()),
	}), nil
}

// reserveImport reserves the resources of an import. local is true if this
// engine holds the result, so that no transfer is needed.
func (e *Engine) reserveImport(m *enginewire.ImportRequest) (w *workItem, local bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if strings.HasPrefix(m.GetHandle(), e.handlePrefix) || m.GetSourceAddress() == "" {
		w, err = e.takeLocal(m)
		return w, true, err
	}
	w = &workItem{
		attempt:  attemptFromWire(m.GetAttempt()),
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
		return nil, false, e.refuse(reason, "engine %q does not have a free slot and %d free pieces for an import", e.settings.Name, w.pieces)
	}
	w.slot = true
	e.register(w)
	e.recordAdmission(w, AdmissionImport)
	return w, false, nil
}

// takeLocal turns the engine's own prefill result into an import. The caller
// must hold e.mu.
func (e *Engine) takeLocal(m *enginewire.ImportRequest) (*workItem, error) {
	w, err := e.findResult(m.GetHandle())
	if err != nil {
		return nil, err
	}
	if w.attempt != attemptFromWire(m.GetAttempt()) {
		return nil, invalidArgument("handle %q belongs to attempt %s", w.handle, w.attempt)
	}
	if !e.role.Accepts(compiler.RoleDecode) {
		return nil, e.refuse(RefusalWrongRole, "engine %q has role %s", e.settings.Name, roleNames[e.role])
	}
	additional := max(0, max(int(m.GetPieces()), e.piecesForItem(w))-w.pieces)
	if reason := e.memory.reserve(additional, true); reason != "" {
		return nil, e.refuse(reason, "engine %q does not have a free slot and %d free pieces for an import", e.settings.Name, additional)
	}
	w.pieces += additional
	w.slot = true
	delete(e.handles, w.handle)
	e.markImported(w)
	return w, nil
}

// piecesForItem returns the number of pieces of w's KV cache including its
// complete output.
func (e *Engine) piecesForItem(w *workItem) int {
	return e.settings.piecesFor(w.tokens + w.maxTokens - w.generatedTokens)
}

// markImported starts the wait for w's decode stream. The caller must hold
// e.mu.
func (e *Engine) markImported(w *workItem) {
	w.phase = phaseImported
	e.stats.Imported++
	e.scheduleExpiry(w, e.settings.ImportTTL, "import")
}

// pull fetches the KV cache of w from the engine that computed it.
func (e *Engine) pull(ctx context.Context, w *workItem, m *enginewire.ImportRequest) error {
	ctx, cancel := w.mergeContext(ctx)
	defer cancel()
	return w.causeOr(e.receiveExport(ctx, w, m))
}

func (e *Engine) receiveExport(ctx context.Context, w *workItem, m *enginewire.ImportRequest) error {
	source := enginewireconnect.NewEngineServiceClient(e.deps.Client, "http://"+m.GetSourceAddress())
	stream, err := source.Export(ctx, connect.NewRequest(&enginewire.ExportRequest{
		Handle:     m.GetHandle(),
		DataCenter: string(e.settings.DataCenter),
	}))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }() // errors are reported by stream.Err
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

// acceptImport completes w with the data received from the prefill engine.
func (e *Engine) acceptImport(w *workItem, t *enginewire.ExportTrailer) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.items[w.attempt] != w {
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
	additional := max(0, e.piecesForItem(w)-w.pieces)
	if reason := e.memory.reserve(additional, false); reason != "" {
		return e.refuse(reason, "engine %q does not have %d additional free pieces for an import", e.settings.Name, additional)
	}
	w.pieces += additional
	e.markImported(w)
	return nil
}

func (e *Engine) failImport(w *workItem, cause error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abort(w, cause)
	return cause
}
