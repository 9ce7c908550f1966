package emulator

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// maxOrders bounds the length of an engine's order history.
const maxOrders = 4096

// ReceivedOrder is an order that an engine received, whether applied or
// refused.
type ReceivedOrder struct {
	Fence    identifier.Revision
	Role     string
	Models   []string
	Adapters []string
	Version  string
	At       time.Time
	// Refused is set if the order had an outdated fencing number and was not
	// applied.
	Refused bool
}

// modelVersion identifies the weights of a model in one version.
type modelVersion struct {
	model   identifier.Model
	version string
}

// orderState holds the desired configuration of an engine and the models it has
// loaded.
type orderState struct {
	fence    identifier.Revision
	history  []ReceivedOrder
	version  string
	models   []identifier.Model // desired models
	adapters []string
	loaded   []modelVersion
}

func newOrderState(s EngineSettings) orderState {
	o := orderState{version: s.Version}
	if s.Model != "" {
		o.models = []identifier.Model{s.Model}
		o.loaded = []modelVersion{{s.Model, s.Version}}
	}
	return o
}

// hasModel reports whether any version of a model is loaded.
func (o *orderState) hasModel(m identifier.Model) bool {
	return slices.ContainsFunc(o.loaded, func(w modelVersion) bool { return w.model == m })
}

func (o *orderState) modelNames() []string {
	names := make([]string, len(o.loaded))
	for i, w := range o.loaded {
		names[i] = string(w.model)
	}
	return names
}

// Order applies an order, which sets the engine's role, models, adapters and
// model version. Empty fields leave the corresponding setting unchanged; adapters
// are replaced together with the models. The role changes immediately, whereas
// loading models takes time.
func (e *Engine) Order(_ context.Context, r *connect.Request[enginewire.OrderRequest]) (*connect.Response[enginewire.OrderResponse], error) {
	m := r.Msg
	role, known := ParseRole(m.GetRole())
	if m.GetRole() != "" && !known {
		return nil, invalidArgument("role %q is not prefill, decode or both", m.GetRole())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	fence := identifier.Revision(m.GetFence())
	stale := fence < e.orders.fence && e.settings.ChecksFence
	e.orders.appendHistory(ReceivedOrder{
		Fence: fence, Role: m.GetRole(), Models: m.GetModels(), Adapters: m.GetAdapters(),
		Version: m.GetVersion(), At: time.Now(), Refused: stale,
	})
	if stale {
		return nil, e.refuse(RefusalStaleFence, "order has fencing number %d, engine %q has seen %d", fence, e.settings.Name, e.orders.fence)
	}
	e.orders.fence = max(e.orders.fence, fence)
	if known {
		e.role = role
	}
	e.orders.apply(m)
	e.wakeLoader()
	return connect.NewResponse(&enginewire.OrderResponse{Fence: uint64(e.orders.fence)}), nil
}

// appendHistory adds an order to the history and evicts the oldest entries if
// the history is full.
func (o *orderState) appendHistory(a ReceivedOrder) {
	if len(o.history) == maxOrders {
		o.history = slices.Delete(o.history, 0, maxOrders/4)
	}
	o.history = append(o.history, a)
}

func (o *orderState) apply(m *enginewire.OrderRequest) {
	if m.GetVersion() != "" {
		o.version = m.GetVersion()
	}
	if len(m.GetModels()) == 0 {
		return
	}
	o.models = nil
	for _, name := range m.GetModels() {
		o.models = append(o.models, identifier.Model(name))
	}
	o.adapters = slices.Clone(m.GetAdapters())
}

func (e *Engine) wakeLoader() {
	select {
	case e.loaderSignal <- struct{}{}:
	default:
	}
}

// runLoader reconciles the loaded models with the ordered ones.
func (e *Engine) runLoader(ctx context.Context) {
	for {
		next, ok := e.nextLoad()
		if !ok {
			select {
			case <-e.loaderSignal:
				continue
			case <-ctx.Done():
				return
			}
		}
		err := e.loadWeights(ctx, next)
		if ctx.Err() != nil {
			return
		}
		e.finishLoad(next, err)
	}
}

// nextLoad unloads models that are no longer ordered and returns the next one
// to load.
func (e *Engine) nextLoad() (modelVersion, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o := &e.orders
	o.loaded = slices.DeleteFunc(o.loaded, func(w modelVersion) bool { return !slices.Contains(o.models, w.model) })
	for _, m := range o.models {
		if w := (modelVersion{m, o.version}); !slices.Contains(o.loaded, w) {
			return w, true
		}
	}
	return modelVersion{}, false
}

func (e *Engine) loadWeights(ctx context.Context, w modelVersion) error {
	if e.deps.Weights != nil {
		return e.deps.Weights.Fetch(ctx, w.model, w.version)
	}
	return sleeper.Sleep(ctx, e.settings.LoadTime)
}

// finishLoad replaces the loaded version of a model. After a failure it waits
// for LoadTime, which limits the rate of retries.
func (e *Engine) finishLoad(w modelVersion, err error) {
	if err != nil {
		_ = sleeper.Sleep(e.group.Context(), e.settings.LoadTime) // fails only when the engine stops, which ends runLoader too
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	o := &e.orders
	o.loaded = slices.DeleteFunc(o.loaded, func(l modelVersion) bool { return l.model == w.model })
	o.loaded = append(o.loaded, w)
	e.stats.Loads++
}
