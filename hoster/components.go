package hoster

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/jackdawthread/jackdawthread/charger"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/socket"
	"github.com/jackdawthread/jackdawthread/forwarder"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/interceptor"
	"github.com/jackdawthread/jackdawthread/isolator"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/rationer"
	"github.com/jackdawthread/jackdawthread/reserver"
	"github.com/jackdawthread/jackdawthread/timer"
)

const (
	// Timing of the membership protocol between hosts.
	probePeriod      = time.Second
	probeTimeout     = 500 * time.Millisecond
	suspicionTimeout = 2 * time.Second
	// seedPeriod is short because hosts that start together can discover each other
	// only through their seeds.
	seedPeriod = time.Second
)

// buildComponents creates the host's components in the order of their
// dependencies.
func (h *Host) buildComponents() {
	h.timer = timer.New(h.group)
	h.buildMembership()
	h.buildChecks()
	h.buildPlacement()
	h.buildForwarder()
	h.metrics.registerGauges(h)
}

// buildMembership creates what knows the other hosts and exchanges messages with them.
func (h *Host) buildMembership() {
	s := h.settings
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
}

// buildChecks creates what decides whether a request, and a call for it, may be sent.
func (h *Host) buildChecks() {
	s := h.settings
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
	h.budgets = newBudgets(s.Retries, rand.Float64())
	h.gossiper.Subscribe(func(v *gossiper.View) { h.budgets.observeHosts(len(v.Members())) })
}

// buildPlacement creates what chooses endpoints.
func (h *Host) buildPlacement() {
	s := h.settings
	h.placer = placer.New(placer.Options{DataCenter: s.DataCenter}, uint64(h.incarnation))
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
}

// buildForwarder creates what forwards callers' requests.
func (h *Host) buildForwarder() {
	h.deps.Platform.Exchanger().ShareMemory(h.memory)
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
		Currency:          h.currency,
		Memory:            h.memory,
		Group:             h.group,
		Log:               h.log,
	}, forwarder.Options{MaxConcurrent: h.settings.Limits.MaxRequests, Seed: uint64(h.incarnation)})
}
