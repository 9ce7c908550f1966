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
	"errors"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/acceptor"
	"github.com/jackdawthread/jackdawthread/budgeter"
	"github.com/jackdawthread/jackdawthread/charger"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/socket"
	"github.com/jackdawthread/jackdawthread/exchanger"
	"github.com/jackdawthread/jackdawthread/forwarder"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/interceptor"
	"github.com/jackdawthread/jackdawthread/isolator"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
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
	placer     *placer.Placer
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
	// requestHeadTimeout bounds the time to read the headers of a request for
	// readiness or metrics.
	requestHeadTimeout = 10 * time.Second
	// defaultHeaderBytes bounds the size of a request's headers; the limits of
	// declarations are lower.
	defaultHeaderBytes = 64 << 10
	// operatorsHeadBytes bounds the size of the headers of a request for readiness or
	// metrics.
	operatorsHeadBytes = 4 << 10
	// Timing of the membership protocol between hosts.
	probePeriod      = time.Second
	probeTimeout     = 500 * time.Millisecond
	suspicionTimeout = 2 * time.Second
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

// listeners are the host's open listeners; metrics may be nil.
type listeners struct {
	callers, readiness, peers, metrics net.Listener
}

// listen opens all listeners or none.
func (h *Host) listen(ctx context.Context) (*listeners, error) {
	l := &listeners{}
	var opened []net.Listener
	for _, open := range []struct {
		address identifier.Address
		target  *net.Listener
	}{
		{h.settings.Listeners.Peers, &l.peers},
		{h.settings.Listeners.Readiness, &l.readiness},
		{h.settings.Listeners.Callers, &l.callers},
		{h.settings.Listeners.Metrics, &l.metrics},
	} {
		if open.address == "" {
			continue
		}
		ln, err := socket.Listen(ctx, string(open.address))
		if err != nil {
			for _, other := range opened {
				_ = other.Close()
			}
			return nil, eris.Wrapf(err, "host %q could not listen", h.settings.Host)
		}
		*open.target = ln
		opened = append(opened, ln)
	}
	return l, nil
}

func addressOf(ln net.Listener) identifier.Address {
	if ln == nil {
		return ""
	}
	return identifier.Address(ln.Addr().String())
}

// buildComponents creates the host's components in the order of their
// dependencies.
func (h *Host) buildComponents() {
	s := h.settings
	h.timer = timer.New(h.group)
	dialer := socket.Dialer(probeTimeout)
	h.messenger = messenger.New(
		messenger.Peer{Host: s.Host, Incarnation: h.incarnation, DataCenter: s.DataCenter},
		messenger.Options{
			KeepAlive: probePeriod,
			Dial: func(ctx context.Context, to identifier.Address) (net.Conn, error) {
				return dialer.DialContext(ctx, "tcp", string(to))
			},
			Logger: h.log,
		}, h.group)
	h.gossiper = gossiper.New(gossiper.Member{
		Host:        s.Host,
		Incarnation: h.incarnation,
		DataCenter:  s.DataCenter,
		Address:     h.addresses.Peers,
	}, gossiper.Options{
		ProbePeriod:      probePeriod,
		ProbeTimeout:     probeTimeout,
		SuspicionTimeout: suspicionTimeout,
		SeedPeriod:       seedPeriod,
		Logger:           h.log,
	}, h.messenger, h.timer, h.group)
	h.gossiper.Seed(s.Seeds)
	h.interceptor = interceptor.New(interceptor.Deps{Registry: h.registry, Gossip: h.gossiper, Timer: h.timer, Log: h.log})
	h.rationer = rationer.New(rationer.Deps{
		Self:     h.incarnation,
		Host:     s.Host,
		Registry: h.registry,
		Members:  h.gossiper,
		Links:    h.messenger,
		Timer:    h.timer,
		Group:    h.group,
		Log:      h.log,
		Seeded:   len(s.Seeds) > 0,
	})
	h.rationer.Register(h.messenger)
	h.deps.Platform.Intercept(h.interceptor, h.rationer)
	h.charger = charger.New(charger.Deps{
		Host:       s.Host,
		DataCenter: s.DataCenter,
		Registry:   h.registry,
		Hosts:      h.rationer,
		Members:    h.gossiper,
		Links:      h.messenger,
		Timer:      h.timer,
		Group:      h.group,
		Log:        h.log,
	})
	h.charger.Register(h.messenger)
	h.deps.Platform.Exchanger().ShareMemory(h.memory)
	h.isolator = isolator.New(isolator.Deps{
		Self:         h.incarnation,
		Members:      h.gossiper,
		Links:        h.messenger,
		Connect:      h.deps.Platform.Exchanger().Probe,
		Idle:         h.deps.Platform.Exchanger().Idle,
		Registered:   h.registered,
		Alternatives: h.alternatives,
		Timer:        h.timer,
		Group:        h.group,
		Log:          h.log,
	})
	h.isolator.Override(s.Quarantine.Released, s.Quarantine.Pinned)
	h.isolator.Register(h.messenger)
	h.placer = placer.New(placer.Options{DataCenter: s.DataCenter}, uint64(h.incarnation))
	h.budgets = newBudgets(s.Retries, rand.Float64())
	h.gossiper.Subscribe(func(v *gossiper.View) { h.budgets.observeHosts(len(v.Members())) })
	h.reserver = reserver.New(reserver.Deps{
		Self:       h.incarnation,
		DataCenter: s.DataCenter,
		Registry:   h.registry,
		Engines:    h.deps.Platform,
		Exclusions: h.interceptor,
		Limits:     h.rationer,
		Placer:     h.placer,
		Members:    h.gossiper,
		Links:      h.messenger,
		Timer:      h.timer,
		Group:      h.group,
		Log:        h.log,
		Seed:       uint64(h.incarnation),
		Orders:     h.deps.Platform,
		OrderOptions: reserver.OrderOptions{
			Enabled: s.Orders.Enabled,
			Fenced:  s.Orders.Fenced,
			Holder:  s.Host,
			Lease:   s.Orders.Lease,
		},
		Knowledge:   h.knowledge,
		SharedSlots: s.Slots.SharedBelow,
	})
	h.reserver.Register(h.messenger)
	h.forwarder = forwarder.New(forwarder.Deps{
		Registry:          h.registry,
		Endpoints:         h.deps.Platform,
		Engines:           h.deps.Platform,
		Reservations:      h.reserver,
		Dialect:           h.deps.Platform,
		Budget:            h.budgets,
		Placer:            h.placer,
		Exclusions:        h.interceptor,
		Slots:             h.reserver,
		Limits:            h.rationer,
		Quotas:            h.charger,
		Isolator:          h.isolator,
		Observer:          h,
		AwaitConfirmation: h.awaitConfirmation,
		ExpectedDuration:  h.metrics.expectedDuration,
		Memory:            h.memory,
		Group:             h.group,
		Log:               h.log,
	}, forwarder.Options{MaxConcurrent: s.Limits.MaxRequests, Seed: uint64(h.incarnation)})
	h.metrics.registerGauges(h)
}

// seedPeriod is short because hosts that start together can discover each other
// only through their seeds.
const seedPeriod = time.Second

// serve starts the listener for peers first, so that peers can be queried while
// this host has no data yet.
func (h *Host) serve(l *listeners) {
	h.startReplicator()
	h.messenger.Serve(l.peers)
	h.timer.Every(budgetTick, h.budgets.tick)
	h.timer.Every(sweepPeriod, h.sweep)
	h.timer.Every(avoidedProbePeriod, h.probeAvoided)
	h.watchSuspension()
	h.serveCallers(l.callers)
	h.serveOperators(l.readiness, http.HandlerFunc(h.serveReadiness))
	if l.metrics != nil {
		h.serveOperators(l.metrics, h.metrics)
	}
}

// startReplicator replicates the store, and answers peers that ask for its changes.
func (h *Host) startReplicator() {
	p := &peers{messenger: h.messenger, gossiper: h.gossiper, self: h.incarnation, dataCenter: h.settings.DataCenter}
	p.answer = func(ctx context.Context, after identifier.Position, wait time.Duration) replicator.ChangeSet {
		return h.replicator.Load().WaitForChanges(ctx, after, wait)
	}
	h.messenger.Handle(peerwire.KindChanges, p.handleChanges)
	o := replicator.DefaultOptions()
	o.MaxLogBytes = h.settings.Limits.MaxStoreLog()
	r := replicator.Start(replicator.Deps{
		Store:      h.deps.Platform,
		Peers:      p,
		ReadsStore: p.ReadsStore,
		OnChange:   h.applyItems,
		Permanent: func(known, restored replicator.Item) bool {
			return isFinal(h.deps.Platform.Read, known, restored)
		},
		Timer: h.timer,
		Group: h.group,
		Log:   h.log,
	}, o)
	h.replicator.Store(r)
}

// serveCallers serves callers on ln, with the account of memory for requests.
func (h *Host) serveCallers(ln net.Listener) {
	h.acceptor = acceptor.New(ln, h.observeClosing)
	h.acceptor.Bound(acceptor.Bounds{
		Memory:      h.memory,
		Connections: h.settings.Limits.maxConnections(),
		HeadBytes:   defaultHeaderBytes,
	})
	h.sweepConnections(time.Now())
	h.timer.Every(sweepConnectionsPeriod, h.sweepConnections)
	h.callers = &http.Server{
		Handler:        h.acceptor.Handler(h.forwarder),
		MaxHeaderBytes: defaultHeaderBytes,
		ConnContext:    h.acceptor.Context,
		ConnState:      h.acceptor.ObserveState,
		ErrorLog:       zap.NewStdLog(h.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	h.serveListener(h.acceptor, h.callers)
}

// serveOperators serves readiness or metrics on ln, with bounds of its own.
func (h *Host) serveOperators(ln net.Listener, handler http.Handler) {
	a := acceptor.New(ln, h.observeClosing)
	a.Bound(acceptor.Bounds{Connections: h.settings.Limits.maxOperators(), HeadBytes: operatorsHeadBytes})
	sweep := func(now time.Time) {
		a.Sweep(now, acceptor.Limits{Idle: defaultIdleTimeout, Header: requestHeadTimeout})
	}
	sweep(time.Now())
	h.timer.Every(sweepConnectionsPeriod, sweep)
	h.serveListener(a, &http.Server{Handler: a.Handler(handler), ConnContext: a.Context, ConnState: a.ObserveState})
}

// serveListener runs an HTTP server on ln until the group ends.
func (h *Host) serveListener(ln net.Listener, s *http.Server) {
	h.group.Run(func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { _ = s.Close() })
		defer stop()
		if err := s.Serve(ln); err != nil && ctx.Err() == nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			h.log.Error("listener-failed", zap.String("address", ln.Addr().String()), zap.Error(err))
		}
	})
}

// serveReadiness tells the load balancer whether to send new connections.
func (h *Host) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if h.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
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
