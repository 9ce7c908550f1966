// Package hoster builds, starts and stops a host that forwards plain HTTP
// calls: its listeners, its request path, and the replication of its
// configuration. It is the daemon for platforms whose callers don't use the
// interface of package launcher's host.
//
// # Usage
//
//	settings, err := hoster.LoadSettings(path)
//	h, err := hoster.Start(ctx, settings, hoster.Deps{Platform: adapter, Log: log})
//	...
//	h.Stop(ctx)
//
// The host is ready once it has declarations and endpoints. Stop interrupts no
// request: the host reports that it isn't ready, serves new requests until the
// load balancer stops sending them, and waits for running ones.
package hoster

import (
	"context"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/acceptor"
	"github.com/jackdawthread/jackdawthread/budgeter"
	"github.com/jackdawthread/jackdawthread/charger"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/distributor"
	"github.com/jackdawthread/jackdawthread/exchanger"
	"github.com/jackdawthread/jackdawthread/forwarder"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/interceptor"
	"github.com/jackdawthread/jackdawthread/isolator"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/quarantiner"
	"github.com/jackdawthread/jackdawthread/rationer"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/replicator"
	"github.com/jackdawthread/jackdawthread/reserver"
	"github.com/jackdawthread/jackdawthread/timer"
)

// Platform is the environment in which a host runs: its configuration store,
// its endpoints and its callers' headers.
type Platform interface {
	replicator.Store
	forwarder.Endpoints
	forwarder.Engines
	reserver.Engines
	reserver.Orders
	forwarder.Dialect
	// Read parses a store item as declarations or as an endpoint; both are nil
	// for other keys.
	Read(i replicator.Item) (*registrar.Declarations, *registrar.Endpoint, error)
	// Intercept makes the platform check each call to an endpoint with i and r right
	// before it is sent, and pass on to them what responses say about further calls. It is
	// called once, before any call.
	Intercept(i *interceptor.Interceptor, r *rationer.Rationer)
	// Exchanger returns the client that holds the connections to endpoints.
	Exchanger() *exchanger.Exchanger
}

// Deps are the dependencies of a Host.
type Deps struct {
	Platform Platform
	Log      *zap.Logger
}

// Host is a running forwarding host.
type Host struct {
	settings    *Settings
	deps        Deps
	incarnation identifier.Incarnation
	log         *zap.Logger
	group       *grouper.Group
	stopping    atomic.Bool
	ready       atomic.Bool

	timer      *timer.Service
	registry   *registrar.Registrar
	items      itemCache
	messenger  *messenger.Messenger
	gossiper   *gossiper.Gossiper
	replicator atomic.Pointer[replicator.Replicator]
	// distributor exchanges the store's large values with peers.
	distributor *distributor.Distributor
	placer      *placer.Placer
	// interceptor excludes endpoints that asked for no calls.
	interceptor *interceptor.Interceptor
	// rationer keeps calls within the limits that endpoints name.
	rationer *rationer.Rationer
	// charger keeps customers within their quotas.
	charger *charger.Charger
	// isolator keeps requests that end engines away from them.
	isolator  *isolator.Isolator
	reserver  *reserver.Reserver
	forwarder *forwarder.Forwarder
	budgets   *budgets
	metrics   *metrics
	acceptor  *acceptor.Acceptor
	// memory accounts for what callers and endpoints make the host hold.
	memory *budgeter.Budgeter

	callers   *http.Server
	addresses Addresses
}

// Addresses are the addresses on which a host listens.
type Addresses struct {
	Callers, Readiness, Peers, Metrics identifier.Address
}

// Addresses returns the addresses that the host is bound to.
func (h *Host) Addresses() Addresses {
	return h.addresses
}

const (
	// sweepPeriod is the time between two cleanups of stale connections.
	sweepPeriod = time.Second
	// avoidedProbePeriod is the time between two checks for avoided endpoints that
	// are due for a probe.
	avoidedProbePeriod = 100 * time.Millisecond
)

// Start builds and starts a host.
func Start(ctx context.Context, s *Settings, d Deps) (*Host, error) {
	h := &Host{
		settings:    s,
		deps:        d,
		incarnation: identifier.NewIncarnation(),
		log:         d.Log.With(zap.String("host", string(s.Host))),
		group:       grouper.New(ctx),
		registry:    registrar.New(),
		items:       itemCache{},
		metrics:     newMetrics(),
		memory:      budgeter.New(s.Limits.memory()),
	}
	l, err := h.listen(ctx)
	if err != nil {
		h.group.Stop()
		return nil, err
	}
	h.addresses = Addresses{
		Callers:   addressOf(l.callers),
		Readiness: addressOf(l.readiness),
		Peers:     addressOf(l.peers),
		Metrics:   addressOf(l.metrics),
	}
	h.buildComponents()
	h.serve(l)
	h.log.Info("host-started",
		zap.Stringer("incarnation", h.incarnation),
		zap.String("data-center", string(s.DataCenter)),
		zap.String("callers", string(h.addresses.Callers)),
		zap.String("peers", string(h.addresses.Peers)))
	return h, nil
}

// Ready reports whether the host has data to serve from and isn't stopping.
func (h *Host) Ready() bool {
	s := h.registry.Snapshot()
	return !h.stopping.Load() && s.Declarations != nil && s.Count() > 0
}

// sweep closes stale connections and drops the placer's state of removed
// endpoints.
func (h *Host) sweep(now time.Time) {
	s := h.registry.Snapshot()
	addresses := map[identifier.Address]bool{}
	s.ForEach(func(e *registrar.Endpoint) { addresses[e.Address] = true })
	h.deps.Platform.Exchanger().CloseIdle(now, func(a identifier.Address) bool { return addresses[a] })
	h.placer.Forget(func(name identifier.Endpoint) bool { return s.Endpoint(name) != nil })
}

// probeAvoided checks whether avoided endpoints can be reached again.
func (h *Host) probeAvoided(now time.Time) {
	s := h.registry.Snapshot()
	registered := func(name identifier.Endpoint) bool {
		e := s.Endpoint(name)
		return e != nil && h.interceptor.Allows(e)
	}
	for _, name := range h.placer.DueProbes(registered, now) {
		e := s.Endpoint(name)
		h.group.Run(func(ctx context.Context) {
			err := h.deps.Platform.Exchanger().Probe(ctx, e.Address)
			h.placer.RecordProbe(e, err == nil, time.Now())
			h.log.Info("endpoint-probed", zap.String("endpoint", string(e.Name)), zap.Bool("reached", err == nil))
		})
	}
}

// registered reports whether the engine's incarnation is the one registered under its name.
func (h *Host) registered(e isolator.Engine) bool {
	r := h.registry.Snapshot().Endpoint(e.Name)
	return r != nil && r.StartID == e.StartID && r.Address == e.Address
}

// alternatives returns the registered endpoints that may get the same calls as e. A plain endpoint
// has no stage.
func (h *Host) alternatives(e isolator.Engine, p quarantiner.Phase) []isolator.Engine {
	var all []isolator.Engine
	for _, r := range h.registry.Snapshot().Endpoints(e.Service) {
		prefills := r.Stage == registrar.StagePrefill
		if prefills == (p == quarantiner.PhasePrefill) {
			all = append(all, forwarder.EngineOf(r))
		}
	}
	return all
}

// knowledge returns how current this host's copy of the store is.
func (h *Host) knowledge() reserver.Knowledge {
	r := h.replicator.Load()
	if r == nil { // the host is starting
		return reserver.Knowledge{Age: math.MaxInt64}
	}
	return reserver.Knowledge{Position: r.Replica().Position(), Age: r.Age()}
}

// unconfirmedAfter is the age of the store's confirmation from which the declarations may be
// outdated.
const unconfirmedAfter = 2 * time.Second

// currency returns how current the declarations are.
func (h *Host) currency() forwarder.Currency {
	r := h.replicator.Load()
	switch {
	case r.Pending():
		return forwarder.CurrencyArriving
	case r.Age() >= unconfirmedAfter:
		return forwarder.CurrencyUnconfirmed
	default:
		return forwarder.CurrencyConfirmed
	}
}

// Endpoints returns the number of registered endpoints.
func (h *Host) Endpoints() int {
	return h.registry.Snapshot().Count()
}

// Version returns the version of the declarations in force; 0 if there are none.
func (h *Host) Version() identifier.Revision {
	d := h.registry.Snapshot().Declarations
	if d == nil {
		return 0
	}
	return d.Version
}

// Waiting returns the number of requests that wait for capacity.
func (h *Host) Waiting() int {
	return h.reserver.Waiting()
}

// Running returns the number of requests without a final answer.
func (h *Host) Running() int64 {
	return h.forwarder.Running()
}
