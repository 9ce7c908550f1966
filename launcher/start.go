package launcher

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/connector"
	"github.com/jackdawthread/jackdawthread/coordinator"
	"github.com/jackdawthread/jackdawthread/dispatcher"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/isolator"
	"github.com/jackdawthread/jackdawthread/locator"
	"github.com/jackdawthread/jackdawthread/meter"
	"github.com/jackdawthread/jackdawthread/quarantiner"
	"github.com/jackdawthread/jackdawthread/redeemer"
	"github.com/jackdawthread/jackdawthread/reporter"
	"github.com/jackdawthread/jackdawthread/server"
	"github.com/jackdawthread/jackdawthread/settings"
	"github.com/jackdawthread/jackdawthread/throttler"
	"github.com/jackdawthread/jackdawthread/ticketer"
	"github.com/jackdawthread/jackdawthread/timer"
)

// publishPeriod is the interval at which the host publishes the load of its own
// pools. The gossiper sends changes at its own rate.
const publishPeriod = time.Second

// ticketOptions returns the options of the host's ticketer.
func ticketOptions() ticketer.Options {
	return ticketer.Options{
		Validity:         15 * time.Second,
		OutcomeRetention: time.Minute,
		MaxOutstanding:   200_000,
		MaxOutcomeBytes:  8 << 20,
	}
}

// Start builds and starts a host. The host serves requests as soon as it has
// received declarations.
func Start(ctx context.Context, s *settings.Settings, o Options) (*Host, error) {
	callers, peers, operators, err := o.listenAll(s.Listeners)
	if err != nil {
		return nil, eris.Wrapf(err, "host %q failed to listen", s.Host)
	}
	h := &Host{
		settings:    s,
		incarnation: identifier.NewIncarnation(),
		started:     time.Now(),
		log:         o.Log.With(zap.String("host", string(s.Host))),
		group:       grouper.New(ctx),
		draining:    make(chan struct{}),
		addresses:   Addresses{Callers: addressOf(callers), Peers: addressOf(peers), Operators: addressOf(operators)},
	}
	if err := h.build(o); err != nil {
		h.group.Stop()
		for _, ln := range []net.Listener{callers, peers, operators} {
			_ = ln.Close()
		}
		return nil, err
	}
	h.serve(callers, peers, operators)
	return h, nil
}

// build creates the components in dependency order.
func (h *Host) build(o Options) error {
	var err error
	h.timer = timer.New(h.group)
	h.meter = meter.New()
	h.reporter = reporter.New()
	h.connector = connector.New(connector.Options{Dial: o.DialEndpoint})
	if h.tickets, err = ticketer.New(h.incarnation, ticketOptions()); err != nil {
		return err
	}
	if err := h.buildLinks(o); err != nil {
		return err
	}
	h.config = newConfigSync(h)
	h.orders = newOrderController(h)
	h.buildCoordinator(o)
	h.throttler = throttler.New(throttler.Deps{
		Self: h.incarnation, Members: h.gossiper, Links: h.messenger, Timer: h.timer, Group: h.group, Log: h.log,
	})
	h.locator = locator.New(locator.Deps{
		Self: h.incarnation, Members: h.gossiper, Links: h.messenger, Group: h.group, Log: h.log,
	})
	h.isolator = isolator.New(isolator.Deps{
		Self: h.incarnation, Members: h.gossiper, Links: h.messenger,
		Connect: h.connector.Reach,
		// Engines keep their name and address when they restart, so only a refused
		// connection shows that one has ended.
		Registered:   func(isolator.Engine) bool { return true },
		Alternatives: h.alternatives,
		Timer:        h.timer, Group: h.group, Log: h.log,
	})
	h.isolator.Register(h.messenger)
	h.meter.Gauge("quarantine", func() any { return h.isolator.Stats() })
	h.buildDispatcher()
	h.coordinator.Register(h.messenger)
	h.throttler.Register(h.messenger)
	h.locator.Register(h.messenger)
	h.redeemer.Register(h.messenger)
	return nil
}

func (h *Host) buildCoordinator(o Options) {
	options := coordinator.DefaultOptions()
	if o.Coordinator != nil {
		options = *o.Coordinator
	}
	options.Lease = h.settings.Periods.Lease
	options.RenewPeriod = h.settings.Periods.Lease / 3
	options.Seed = uint64(h.incarnation)
	h.coordinator = coordinator.New(coordinator.Deps{
		Self:       h.incarnation,
		DataCenter: h.settings.DataCenter,
		Fleet:      h.config.fleet,
		Members:    h.gossiper,
		Links:      h.messenger,
		Engines:    h.connector,
		Timer:      h.timer,
		Group:      h.group,
		Log:        h.log,
		Options:    options,
		Observe:    h.observeLoad,
	})
}

func (h *Host) buildDispatcher() {
	h.dispatcher = dispatcher.New(dispatcher.Deps{
		Incarnation:   h.incarnation,
		DataCenter:    h.settings.DataCenter,
		Group:         h.group,
		Allocator:     h.coordinator,
		Endpoints:     h.connector,
		Limits:        h.throttler,
		HomeRegistry:  h.locator,
		Observer:      h,
		Isolator:      h.isolator,
		Leaving:       h.isLeaving,
		MaxConcurrent: int64(h.settings.Limits.MaxRequests),
		Log:           h.log,
	})
	h.redeemer = redeemer.New(redeemer.Deps{
		Self:     h.incarnation,
		Tickets:  h.tickets,
		Fleet:    h.config.fleet,
		View:     h.gossiper.View,
		Links:    h.messenger,
		Dispatch: h.dispatcher,
		Timer:    h.timer,
		Group:    h.group,
		Log:      h.log,
	})
}

// isLeaving reports whether an endpoint is leaving and must get no new work.
func (h *Host) isLeaving(e identifier.Endpoint) bool {
	return h.gossiper.View().Leaving(e) || h.endpoints.reportsLeaving(e)
}

// observeLoad processes an engine's load report.
func (h *Host) observeLoad(o coordinator.LoadObservation) {
	h.endpoints.observe(o)
	h.orders.observe(o)
}

// Observe implements dispatcher.Observer.
func (h *Host) Observe(o dispatcher.Observation) {
	h.meter.Observe(o)
	h.recordSample(o)
}

// serve starts serving on the listeners, peers first, since requests from
// callers depend on them.
func (h *Host) serve(callers, peers, operators net.Listener) {
	h.messenger.Serve(peers)
	h.operators = server.Listen(h.group, operators, server.NewOperators(h).Handler(), server.DefaultListenerOptions(), h.log)
	callerHandlers := server.NewCallers(server.CallersDeps{
		Fleet:           h.config.fleet,
		Dispatch:        h.dispatcher,
		Tickets:         h.redeemer,
		MaxRequestBytes: int(h.settings.Limits.MaxRequestBytes),
	})
	h.callers = server.Listen(h.group, callers, callerHandlers.Handler(), server.DefaultListenerOptions(), h.log)
	h.config.start()
	h.timer.Every(publishPeriod, func(time.Time) { h.publish() })
	h.log.Info("host-started",
		zap.Stringer("incarnation", h.incarnation),
		zap.String("data-center", string(h.settings.DataCenter)),
		zap.String("callers", string(h.addresses.Callers)),
		zap.String("peers", string(h.addresses.Peers)),
		zap.String("operators", string(h.addresses.Operators)))
}

// reconfigure applies a new revision of the declarations to all components.
func (h *Host) reconfigure(f *compiler.Fleet) {
	h.reporter.Configure(objectives(f))
	h.orders.applyFleet(f)
	h.coordinator.Reconfigure(f)
	h.throttler.Reconfigure(f)
	if h.State() == server.StateStarting {
		h.setState(server.StateReady)
	}
	h.publish()
}

// publish sends the peers this host's revision, readiness and load digest.
func (h *Host) publish() {
	p := gossiper.Payload{}
	if f := h.Fleet(); f != nil {
		p.Revision = f.Revision
		p.Readiness = gossiper.ReadinessReady
	}
	if h.State() == server.StateDraining {
		p.Readiness = gossiper.ReadinessDraining
	}
	p.Digest = h.coordinator.Digest()
	h.gossiper.Publish(p)
}

// alternatives returns the declared endpoints that may get the same calls as e.
func (h *Host) alternatives(e isolator.Engine, p quarantiner.Phase) []isolator.Engine {
	fleet := h.config.fleet()
	if fleet == nil || fleet.Services[e.Service] == nil {
		return nil
	}
	other := compiler.RoleDecode
	if p == quarantiner.PhaseDecode {
		other = compiler.RolePrefill
	}
	var all []isolator.Engine
	for _, c := range fleet.Services[e.Service].Endpoints {
		if c.Role != other {
			all = append(all, isolator.Engine{Service: e.Service, Name: c.Name, Address: c.Address})
		}
	}
	return all
}
