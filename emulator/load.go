package emulator

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// loadReports are the last two reports; the older one is told, so that it is
// at least one lag old.
type loadReports struct {
	current, told *enginewire.LoadResponse
	at, toldAt    time.Time
}

// startReports lets reports lag, if the settings say so.
func (e *Engine) startReports() {
	if e.settings.LoadLag <= 0 {
		return
	}
	e.renewReport(time.Now())
	e.renewReport(time.Now())
	e.timers.Every(e.settings.LoadLag, e.renewReport)
}

func (e *Engine) renewReport(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &e.reports
	r.told, r.toldAt = r.current, r.at
	r.current, r.at = e.report(), now
}

// Load reports the engine's load as it was a lag ago.
func (e *Engine) Load(context.Context, *connect.Request[enginewire.LoadRequest]) (*connect.Response[enginewire.LoadResponse], error) {
	if e.faults.Load().DropLoadReports {
		return nil, connect.NewError(connect.CodeUnavailable, errReset)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.LoadReports++
	if e.reports.told == nil {
		return connect.NewResponse(e.report()), nil
	}
	told := e.reports.told
	return connect.NewResponse(&enginewire.LoadResponse{
		Endpoint:               told.Endpoint,
		AgeMs:                  uint32(time.Since(e.reports.toldAt).Milliseconds()),
		Role:                   told.Role,
		Slots:                  told.Slots,
		SlotsUsed:              told.SlotsUsed,
		Pieces:                 told.Pieces,
		PiecesUsed:             told.PiecesUsed,
		PrefillBacklogTokens:   told.PrefillBacklogTokens,
		Attempts:               told.Attempts,
		Fence:                  told.Fence,
		Leaving:                told.Leaving,
		Models:                 told.Models,
		Adapters:               told.Adapters,
		DecodeStepSeconds:      told.DecodeStepSeconds,
		PrefillTokensPerSecond: told.PrefillTokensPerSecond,
		Version:                told.Version,
	}), nil
}

// report gives the load as it is. The mutex is held.
func (e *Engine) report() *enginewire.LoadResponse {
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
		DecodeStepSeconds:      e.stepSeconds(),
		PrefillTokensPerSecond: e.settings.PrefillRate / e.faults.Load().slowed(),
		Version:                e.orders.version,
	}
	for _, a := range e.heldAttempts() {
		m.Attempts = append(m.Attempts, wireAttempt(a))
	}
	for _, w := range e.works {
		if w.phase == phasePrefill {
			m.PrefillBacklogTokens += uint64(w.tokens - w.cached - w.computed)
		}
	}
	return m
}

// heldAttempts lists the attempts that hold memory or a slot, oldest first.
// The mutex is held.
func (e *Engine) heldAttempts() []identifier.Attempt {
	var held []*work
	for _, w := range e.works {
		if w.pieces > 0 || w.slot {
			held = append(held, w)
		}
	}
	slices.SortFunc(held, func(a, b *work) int { return int(a.order) - int(b.order) })
	attempts := make([]identifier.Attempt, len(held))
	for i, w := range held {
		attempts[i] = w.attempt
	}
	return attempts
}
