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

// WeightSource provides model weights to engines.
type WeightSource interface {
	// Fetch returns once the weights have been transferred.
	Fetch(ctx context.Context, model identifier.Model, version string) error
}

// EngineDeps holds the dependencies of an engine. All fields are optional.
type EngineDeps struct {
	// Links carry exports between data centers. If nil, transfers are
	// unlimited.
	Links *Links
	// Weights is the source from which models are loaded. If nil, loading a
	// model takes LoadTime.
	Weights WeightSource
	// Client is used for imports. If nil, the engine uses a client that speaks
	// HTTP/2 without TLS.
	Client connect.HTTPClient
}

// Engine emulates a model engine with continuous batching. Create it with
// NewEngine. It implements enginewireconnect.EngineServiceHandler.
type Engine struct {
	settings     EngineSettings
	deps         EngineDeps
	group        *grouper.Group
	timers       *timer.Service
	faults       atomic.Pointer[Faults]
	stepSignal   chan struct{} // capacity 1: wakes the step loop
	loaderSignal chan struct{} // capacity 1: wakes the loader

	mu                  sync.Mutex
	items               map[identifier.Attempt]*workItem
	handles             map[string]*workItem
	expired             expiredHandles
	memory              memory
	role                compiler.Role
	leaving             bool
	orders              orderState
	cache               *prefixCache
	events              *eventLog
	reports             loadReports
	stats               Stats
	admissions          []Admission
	lastAdmissionNumber uint64
	handlePrefix        string // of handles, unique per engine instance
}

var _ enginewireconnect.EngineServiceHandler = (*Engine)(nil)

// NewEngine starts an engine that runs until ctx is canceled or Close is
// called.
func NewEngine(ctx context.Context, s EngineSettings, d EngineDeps) *Engine {
	s = s.withDefaults()
	group := grouper.New(ctx)
	if d.Client == nil {
		client := NewHTTPClient()
		d.Client = client
		context.AfterFunc(group.Context(), client.CloseIdleConnections)
	}
	e := &Engine{
		settings:     s,
		deps:         d,
		group:        group,
		timers:       timer.New(group),
		stepSignal:   make(chan struct{}, 1),
		loaderSignal: make(chan struct{}, 1),
		items:        make(map[identifier.Attempt]*workItem),
		handles:      make(map[string]*workItem),
		memory:       memory{pieces: s.Pieces, slots: s.Slots},
		role:         s.Role,
		leaving:      s.Leaving,
		orders:       newOrderState(s),
		events:       newEventLog(s, rand.New(rand.NewPCG(s.Seed, 0))),
		handlePrefix: fmt.Sprintf("%s-%s", s.Name, identifier.NewIncarnation()),
	}
	e.stats.Refusals = make(map[Refusal]int)
	e.cache = newPrefixCache(s.CacheBlocks, e.events.add)
	e.faults.Store(&Faults{})
	e.startReports()
	group.Run(e.runSteps)
	group.Run(e.runLoader)
	return e
}

// Close stops the engine and discards its state.
func (e *Engine) Close() {
	e.group.Stop()
	_ = e.group.Wait() // no goroutine of the group returns an error
}

// Name returns the engine's name.
func (e *Engine) Name() identifier.Endpoint {
	return e.settings.Name
}

// Handler returns the HTTP handler of the engine's RPC service.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(enginewireconnect.NewEngineServiceHandler(e, handlerOptions()))
	return mux
}

// SetLeaving sets whether the engine refuses new prefills and imports. Work
// that was admitted before is completed.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
	e.stats.LastRequestWhileLeaving = time.Time{}
}

// Cancel releases all resources that the engine holds for an attempt.
func (e *Engine) Cancel(_ context.Context, r *connect.Request[enginewire.CancelRequest]) (*connect.Response[enginewire.CancelResponse], error) {
	if e.faults.Load().DropCancels {
		return nil, connect.NewError(connect.CodeUnavailable, errReset)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w, ok := e.items[attemptFromWire(r.Msg.GetAttempt())]
	if ok {
		e.abort(w, connect.NewError(connect.CodeCanceled, fmt.Errorf("attempt %s was canceled", w.attempt)))
		e.stats.Canceled++
	}
	return connect.NewResponse(&enginewire.CancelResponse{Held: ok}), nil
}

// wakeStepLoop signals the step loop that work may be available.
func (e *Engine) wakeStepLoop() {
	select {
	case e.stepSignal <- struct{}{}:
	default:
	}
}

// admit checks the preconditions common to all new work. The caller must hold
// e.mu.
func (e *Engine) admit(a identifier.Attempt, model string, r compiler.Role) error {
	if a.IsZero() {
		return invalidArgument("request has no attempt")
	}
	if _, ok := e.items[a]; ok {
		return connect.NewError(connect.CodeAlreadyExists, fmt.Errorf("attempt %s already exists", a))
	}
	if e.leaving {
		e.stats.LastRequestWhileLeaving = time.Now()
		return e.refuse(RefusalLeaving, "engine %q is leaving", e.settings.Name)
	}
	if !e.role.Accepts(r) {
		return e.refuse(RefusalWrongRole, "engine %q has role %s", e.settings.Name, roleNames[e.role])
	}
	if !e.orders.hasModel(identifier.Model(model)) {
		return e.refuse(RefusalUnknownModel, "engine %q does not hold model %q", e.settings.Name, model)
	}
	if e.faults.Load().RefuseAll {
		return e.refuse(RefusalSlotsFull, "engine %q refuses all requests because of an injected fault", e.settings.Name)
	}
	return nil
}

// refuse counts a refusal and returns its error. The caller must hold e.mu.
func (e *Engine) refuse(r Refusal, format string, args ...any) error {
	e.stats.Refusals[r]++
	return refusalError(r, format, args...)
}

// register adds w to the attempts that the engine holds. The caller must hold
// e.mu.
func (e *Engine) register(w *workItem) {
	e.lastAdmissionNumber++
	w.admissionNumber = e.lastAdmissionNumber
	w.ctx, w.cancel = context.WithCancelCause(e.group.Context())
	e.items[w.attempt] = w
}

// remove deletes w from the engine's indexes and releases its memory. The
// caller must hold e.mu.
func (e *Engine) remove(w *workItem) {
	if e.items[w.attempt] == w {
		delete(e.items, w.attempt)
	}
	if e.handles[w.handle] == w {
		delete(e.handles, w.handle)
	}
	e.releaseMemory(w)
	e.cancelExpiry(w)
}

// releaseMemory returns w's pieces and slot to the engine. The caller must hold
// e.mu.
func (e *Engine) releaseMemory(w *workItem) {
	e.memory.release(w.pieces, w.slot)
	w.pieces, w.slot = 0, false
	e.wakeStepLoop()
}

// abort removes w and cancels its context with cause. The caller must hold
// e.mu.
func (e *Engine) abort(w *workItem, cause error) {
	if e.items[w.attempt] != w {
		return
	}
	e.stats.DiscardedTokens += uint64(w.discardedTokens())
	e.remove(w)
	w.cancel(cause)
}

// scheduleExpiry aborts w after d unless cancelExpiry is called first. The
// caller must hold e.mu.
func (e *Engine) scheduleExpiry(w *workItem, d time.Duration, subject string) {
	e.cancelExpiry(w)
	var subscription *timer.Subscription
	subscription = e.timers.After(d, func(time.Time) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if w.expiry != subscription {
			return
		}
		e.stats.Expired++
		e.expired.add(w.handle)
		e.abort(w, connect.NewError(connect.CodeDeadlineExceeded, fmt.Errorf("%s of attempt %s expired", subject, w.attempt)))
	})
	w.expiry = subscription
}

func (e *Engine) cancelExpiry(w *workItem) {
	if w.expiry != nil {
		w.expiry.Cancel()
		w.expiry = nil
	}
}
