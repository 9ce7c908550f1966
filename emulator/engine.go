package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/timer"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
	"github.com/jackdawthread/jackdawthread/wire/enginewire/enginewireconnect"
)

// WeightSource gives a model's weights to an engine that loads it.
type WeightSource interface {
	// Fetch returns once the weights have arrived.
	Fetch(ctx context.Context, model identifier.Model, version string) error
}

// EngineDeps are an engine's surroundings; all may be left out.
type EngineDeps struct {
	// Links that exports cross; nil: without limit.
	Links *Links
	// Weights that models are loaded from; nil: loading takes LoadTime.
	Weights WeightSource
	// Client for imports; nil: one that speaks HTTP/2 without TLS.
	Client connect.HTTPClient
}

// Engine is a model engine with continuous batching. Create it with
// NewEngine. It implements enginewireconnect.EngineServiceHandler.
type Engine struct {
	settings EngineSettings
	deps     EngineDeps
	group    *grouper.Group
	timers   *timer.Service
	faults   atomic.Pointer[Faults]
	changed  chan struct{} // holds one signal: the step loop has work
	ordered  chan struct{} // holds one signal: the loader has work

	mu        sync.Mutex
	works     map[identifier.Attempt]*work
	handles   map[string]*work
	expired   expiredHandles
	memory    memory
	role      compiler.Role
	leaving   bool
	orders    orderState
	cache     *prefixCache
	events    *eventLog
	reports   loadReports
	stats     Stats
	admitted  []Admission
	nextOrder uint64
	prefix    string // of handles, unique for each engine
}

var _ enginewireconnect.EngineServiceHandler = (*Engine)(nil)

// NewEngine starts an engine. It runs until ctx ends or Close is called.
func NewEngine(ctx context.Context, s EngineSettings, d EngineDeps) *Engine {
	s = s.complete()
	group := grouper.New(ctx)
	if d.Client == nil {
		own := NewHTTPClient()
		d.Client = own
		context.AfterFunc(group.Context(), own.CloseIdleConnections)
	}
	e := &Engine{
		settings: s,
		deps:     d,
		group:    group,
		timers:   timer.New(group),
		changed:  make(chan struct{}, 1),
		ordered:  make(chan struct{}, 1),
		works:    make(map[identifier.Attempt]*work),
		handles:  make(map[string]*work),
		memory:   memory{pieces: s.Pieces, slots: s.Slots},
		role:     s.Role,
		leaving:  s.Leaving,
		orders:   newOrderState(s),
		events:   newEventLog(s, rand.New(rand.NewPCG(s.Seed, 0))),
		prefix:   fmt.Sprintf("%s-%s", s.Name, identifier.NewIncarnation()),
	}
	e.stats.Refusals = make(map[Refusal]int)
	e.cache = newPrefixCache(s.CacheBlocks, e.events.add)
	e.faults.Store(&Faults{})
	e.startReports()
	group.Run(e.runSteps)
	group.Run(e.runLoader)
	return e
}

// Close stops the engine; what it holds is lost.
func (e *Engine) Close() {
	e.group.Stop()
	_ = e.group.Wait() // no member gives an error
}

// Name is the engine's name.
func (e *Engine) Name() identifier.Endpoint {
	return e.settings.Name
}

// Handler serves the engine over HTTP.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(enginewireconnect.NewEngineServiceHandler(e, handlerOptions()))
	return mux
}

// SetLeaving makes the engine refuse new prefills and imports, or take them
// again. What runs is finished.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
	e.stats.LastOfferLeaving = time.Time{}
}

// Cancel frees all that the engine holds of an attempt.
func (e *Engine) Cancel(_ context.Context, r *connect.Request[enginewire.CancelRequest]) (*connect.Response[enginewire.CancelResponse], error) {
	if e.faults.Load().DropCancels {
		return nil, connect.NewError(connect.CodeUnavailable, errReset)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w, ok := e.works[attemptOf(r.Msg.GetAttempt())]
	if ok {
		e.drop(w, connect.NewError(connect.CodeCanceled, fmt.Errorf("attempt %s was canceled", w.attempt)))
		e.stats.Canceled++
	}
	return connect.NewResponse(&enginewire.CancelResponse{Held: ok}), nil
}

// wake tells the step loop that there may be work.
func (e *Engine) wake() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// admit checks what all new work has to meet. The mutex is held.
func (e *Engine) admit(a identifier.Attempt, model string, r compiler.Role) error {
	if a.IsZero() {
		return invalid("request names no attempt")
	}
	if _, ok := e.works[a]; ok {
		return connect.NewError(connect.CodeAlreadyExists, fmt.Errorf("attempt %s is already here", a))
	}
	if e.leaving {
		e.stats.LastOfferLeaving = time.Now()
		return e.refuse(RefusalLeaving, "engine %q is leaving", e.settings.Name)
	}
	if !e.role.Takes(r) {
		return e.refuse(RefusalWrongRole, "engine %q has role %s", e.settings.Name, roleNames[e.role])
	}
	if !e.orders.holds(identifier.Model(model)) {
		return e.refuse(RefusalUnknownModel, "engine %q does not hold model %q", e.settings.Name, model)
	}
	if e.faults.Load().RefuseAll {
		return e.refuse(RefusalSlotsFull, "engine %q refuses all by a fault", e.settings.Name)
	}
	return nil
}

// refuse counts a refusal. The mutex is held.
func (e *Engine) refuse(r Refusal, format string, args ...any) error {
	e.stats.Refusals[r]++
	return refusalError(r, format, args...)
}

// hold enters w into the engine's books. The mutex is held.
func (e *Engine) hold(w *work) {
	e.nextOrder++
	w.order = e.nextOrder
	w.ctx, w.cancel = context.WithCancelCause(e.group.Context())
	e.works[w.attempt] = w
}

// release takes w out of the books and frees its memory. The mutex is held.
func (e *Engine) release(w *work) {
	if e.works[w.attempt] == w {
		delete(e.works, w.attempt)
	}
	if e.handles[w.handle] == w {
		delete(e.handles, w.handle)
	}
	e.free(w)
	e.stopExpiry(w)
}

// free gives back w's pieces and slot. The mutex is held.
func (e *Engine) free(w *work) {
	e.memory.release(w.pieces, w.slot)
	w.pieces, w.slot = 0, false
	e.wake()
}

// drop gives an attempt up for a cause. The mutex is held.
func (e *Engine) drop(w *work, cause error) {
	if e.works[w.attempt] != w {
		return
	}
	e.stats.DiscardedTokens += uint64(w.wasted())
	e.release(w)
	w.cancel(cause)
}

// expire drops w after d unless stopExpiry comes first. The mutex is held.
func (e *Engine) expire(w *work, d time.Duration, what string) {
	e.stopExpiry(w)
	var own *timer.Subscription
	own = e.timers.After(d, func(time.Time) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if w.expiry != own {
			return
		}
		e.stats.Expired++
		e.expired.add(w.handle)
		e.drop(w, connect.NewError(connect.CodeDeadlineExceeded, fmt.Errorf("%s of attempt %s expired", what, w.attempt)))
	})
	w.expiry = own
}

func (e *Engine) stopExpiry(w *work) {
	if w.expiry != nil {
		w.expiry.Cancel()
		w.expiry = nil
	}
}
