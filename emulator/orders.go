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

// maxOrders bounds the orders that an engine remembers.
const maxOrders = 4096

// AppliedOrder is an order that an engine got.
type AppliedOrder struct {
	Fence    identifier.Revision
	Role     string
	Models   []string
	Adapters []string
	Version  string
	At       time.Time
	// Refused orders had an old fencing number and had no effect.
	Refused bool
}

// weights names one model in one version.
type weights struct {
	model   identifier.Model
	version string
}

// orderState is what an engine was ordered to be, and what it has loaded.
type orderState struct {
	fence    identifier.Revision
	history  []AppliedOrder
	version  string
	models   []identifier.Model // that are to be loaded
	adapters []string
	loaded   []weights
}

func newOrderState(s EngineSettings) orderState {
	o := orderState{version: s.Version}
	if s.Model != "" {
		o.models = []identifier.Model{s.Model}
		o.loaded = []weights{{s.Model, s.Version}}
	}
	return o
}

// holds tells whether a model is loaded, in whatever version.
func (o *orderState) holds(m identifier.Model) bool {
	return slices.ContainsFunc(o.loaded, func(w weights) bool { return w.model == m })
}

func (o *orderState) modelNames() []string {
	names := make([]string, len(o.loaded))
	for i, w := range o.loaded {
		names[i] = string(w.model)
	}
	return names
}

// Order takes an order. Empty fields leave what they name as it is; adapters
// go with the models. The role changes at once, models take time to load.
func (e *Engine) Order(_ context.Context, r *connect.Request[enginewire.OrderRequest]) (*connect.Response[enginewire.OrderResponse], error) {
	m := r.Msg
	role, known := ParseRole(m.GetRole())
	if m.GetRole() != "" && !known {
		return nil, invalid("role %q is not prefill, decode or both", m.GetRole())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	fence := identifier.Revision(m.GetFence())
	stale := fence < e.orders.fence && e.settings.ChecksFence
	e.orders.remember(AppliedOrder{
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
	e.orders.take(m)
	e.wakeLoader()
	return connect.NewResponse(&enginewire.OrderResponse{Fence: uint64(e.orders.fence)}), nil
}

// remember enters an order into the history, whose oldest ones go first.
func (o *orderState) remember(a AppliedOrder) {
	if len(o.history) == maxOrders {
		o.history = slices.Delete(o.history, 0, maxOrders/4)
	}
	o.history = append(o.history, a)
}

func (o *orderState) take(m *enginewire.OrderRequest) {
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
	case e.ordered <- struct{}{}:
	default:
	}
}

// runLoader brings the loaded models to what was ordered.
func (e *Engine) runLoader(ctx context.Context) {
	for {
		next, ok := e.nextLoad()
		if !ok {
			select {
			case <-e.ordered:
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

// nextLoad unloads what is not wanted any more and gives what to load next.
func (e *Engine) nextLoad() (weights, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o := &e.orders
	o.loaded = slices.DeleteFunc(o.loaded, func(w weights) bool { return !slices.Contains(o.models, w.model) })
	for _, m := range o.models {
		if w := (weights{m, o.version}); !slices.Contains(o.loaded, w) {
			return w, true
		}
	}
	return weights{}, false
}

func (e *Engine) loadWeights(ctx context.Context, w weights) error {
	if e.deps.Weights != nil {
		return e.deps.Weights.Fetch(ctx, w.model, w.version)
	}
	return sleeper.Sleep(ctx, e.settings.LoadTime)
}

// finishLoad enters loaded weights in the place of another version's. After a
// failure the loader tries again, which the load time spaces out.
func (e *Engine) finishLoad(w weights, err error) {
	if err != nil {
		_ = sleeper.Sleep(e.group.Context(), e.settings.LoadTime) // an engine that stops ends the loader's loop
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	o := &e.orders
	o.loaded = slices.DeleteFunc(o.loaded, func(l weights) bool { return l.model == w.model })
	o.loaded = append(o.loaded, w)
	e.stats.Loads++
}
