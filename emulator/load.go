package emulator

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// loadReports holds the last two load reports. Callers receive the older one,
// so a report is at least LoadLag old.
type loadReports struct {
	current, published     *enginewire.LoadResponse
	currentAt, publishedAt time.Time
}

// startReports starts delayed load reporting if LoadLag is set.
func (e *Engine) startReports() {
	if e.settings.LoadLag <= 0 {
		return
	}
	e.updateReport(time.Now())
	e.updateReport(time.Now())
	e.timers.Every(e.settings.LoadLag, e.updateReport)
}

func (e *Engine) updateReport(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &e.reports
	r.published, r.publishedAt = r.current, r.currentAt
	r.current, r.currentAt = e.buildLoadReport(), now
}

// Load returns the engine's load, delayed by LoadLag.
func (e *Engine) Load(context.Context, *connect.Request[enginewire.LoadRequest]) (*connect.Response[enginewire.LoadResponse], error) {
	if e.faults.Load().DropLoadReports {
		return nil, connect.NewError(connect.CodeUnavailable, errReset)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.LoadReports++
	if e.reports.published == nil {
		return connect.NewResponse(e.buildLoadReport()), nil
	}
	published := e.reports.published
	return connect.NewResponse(&enginewire.LoadResponse{
		Endpoint:               published.Endpoint,
		AgeMs:                  uint32(time.Since(e.reports.publishedAt).Milliseconds()),
		Role:                   published.Role,
		Slots:                  published.Slots,
		SlotsUsed:              published.SlotsUsed,
		Pieces:                 published.Pieces,
		PiecesUsed:             published.PiecesUsed,
		PrefillBacklogTokens:   published.PrefillBacklogTokens,
		Attempts:               published.Attempts,
		Fence:                  published.Fence,
		Leaving:                published.Leaving,
		Models:                 published.Models,
		Adapters:               published.Adapters,
		DecodeStepSeconds:      published.DecodeStepSeconds,
		PrefillTokensPerSecond: published.PrefillTokensPerSecond,
		Version:                published.Version,
	}), nil
}

// buildLoadReport returns the current load. The caller must hold e.mu.
func (e *Engine) buildLoadReport() *enginewire.LoadResponse {
	m := &enginewire.LoadResponse{
		Endpoint:               string(e.settings.Name),
		Role:                   roleNames[e.role],
		Slots:                  uint32(e.memory.slots),
		SlotsUsed:              uint32(e.memory.slotsUsed),
		Pieces:                 uint32(e.memory.pieces),
		PiecesUsed:             uint32(e.memory.piecesUsed),
		Fence:                  uint64(e.orders.fence),
		Leaving:                e.leaving,
		Models:                 e.orders.modelNames(),
		Adapters:               slices.Clone(e.orders.adapters),
		DecodeStepSeconds:      e.decodeStepSeconds(),
		PrefillTokensPerSecond: e.settings.PrefillRate / e.faults.Load().stepTimeFactor(),
		Version:                e.orders.version,
	}
	for _, a := range e.heldAttempts() {
		m.Attempts = append(m.Attempts, attemptToWire(a))
	}
	for _, w := range e.items {
		if w.phase == phasePrefill {
			m.PrefillBacklogTokens += uint64(w.tokens - w.cached - w.computed)
		}
	}
	return m
}

// heldAttempts returns the attempts that hold memory or a slot, oldest first.
// The caller must hold e.mu.
func (e *Engine) heldAttempts() []identifier.Attempt {
	var held []*workItem
	for _, w := range e.items {
		if w.pieces > 0 || w.slot {
			held = append(held, w)
		}
	}
	slices.SortFunc(held, func(a, b *workItem) int { return int(a.admissionNumber) - int(b.admissionNumber) })
	attempts := make([]identifier.Attempt, len(held))
	for i, w := range held {
		attempts[i] = w.attempt
	}
	return attempts
}
