// Package launcher assembles an entry host from its components, starts it and
// shuts it down.
//
// # Usage
//
//	h, err := launcher.Start(ctx, settings, launcher.Options{Log: log})
//	...
//	err = h.Stop(ctx)
//
// Stop shuts down gracefully: the host leaves the membership, stops accepting
// requests and waits for those in progress. Kill stops it at once, as a crash
// would.
package launcher

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/connector"
	"github.com/jackdawthread/jackdawthread/coordinator"
	"github.com/jackdawthread/jackdawthread/dispatcher"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/isolator"
	"github.com/jackdawthread/jackdawthread/locator"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/meter"
	"github.com/jackdawthread/jackdawthread/redeemer"
	"github.com/jackdawthread/jackdawthread/reporter"
	"github.com/jackdawthread/jackdawthread/server"
	"github.com/jackdawthread/jackdawthread/settings"
	"github.com/jackdawthread/jackdawthread/throttler"
	"github.com/jackdawthread/jackdawthread/ticketer"
	"github.com/jackdawthread/jackdawthread/timer"
)

// Options holds the options of a host in addition to its settings.
type Options struct {
	Log *zap.Logger
	// Listen replaces net.Listen.
	Listen func(identifier.Address) (net.Listener, error)
	// DialPeer and DialEndpoint replace the default dialers, for example to
	// inject faults.
	DialPeer     messenger.DialFunc
	DialEndpoint connector.Dial
	// Coordinator replaces the coordinator's default options, except for the
	// lease, the renewal period and the seed.
	Coordinator *coordinator.Options
}

// Host is a running entry host.
type Host struct {
	settings       *settings.Settings
	incarnation    identifier.Incarnation
	started        time.Time
	log            *zap.Logger
	group          *grouper.Group
	state          atomic.Uint32 // server.State
	draining       chan struct{} // closed when a drain is requested
	drainRequested atomic.Bool

	timer       *timer.Service
	messenger   *messenger.Messenger
	isolator    *isolator.Isolator
	gossiper    *gossiper.Gossiper
	connector   *connector.Connector
	coordinator *coordinator.Coordinator
	throttler   *throttler.Throttler
	locator     *locator.Locator
	dispatcher  *dispatcher.Dispatcher
	tickets     *ticketer.Ticketer
	redeemer    *redeemer.Redeemer
	reporter    *reporter.Reporter
	meter       *meter.Meter
	config      *configSync
	orders      *orderController
	endpoints   endpointTable

	callers   *server.Listener
	operators *server.Listener
	addresses Addresses
}

// Addresses holds the addresses that a host listens on.
type Addresses struct {
	Callers   identifier.Address
	Peers     identifier.Address
	Operators identifier.Address
}

// Addresses returns the addresses that the host listens on.
func (h *Host) Addresses() Addresses {
	return h.addresses
}

// Incarnation returns the host's incarnation.
func (h *Host) Incarnation() identifier.Incarnation {
	return h.incarnation
}

// Meter returns the host's metrics.
func (h *Host) Meter() *meter.Meter {
	return h.meter
}

// Draining returns a channel that is closed when an operator requests a
// graceful shutdown.
func (h *Host) Draining() <-chan struct{} {
	return h.draining
}

// Failed returns a channel that is closed when a component has failed or the
// host has been stopped.
func (h *Host) Failed() <-chan struct{} {
	return h.group.Context().Done()
}

// Err returns the error of the failed component. It blocks until the host's
// goroutines have ended.
func (h *Host) Err() error {
	return h.group.Wait()
}

// Kill stops the host at once, as a crash would.
func (h *Host) Kill() {
	h.callers.Close()
	h.operators.Close()
	h.messenger.Close()
	h.group.Stop()
	h.connector.Close()
	_ = h.group.Wait() // the components were stopped on purpose
}

// listenAll opens the three listeners, or none if one fails.
func (o *Options) listenAll(l settings.Listeners) (callers, peers, operators net.Listener, err error) {
	listen := o.Listen
	if listen == nil {
		listen = listenTCP
	}
	if callers, err = listen(l.Callers); err != nil {
		return nil, nil, nil, err
	}
	if peers, err = listen(l.Peers); err != nil {
		_ = callers.Close()
		return nil, nil, nil, err
	}
	if operators, err = listen(l.Operators); err != nil {
		_ = callers.Close()
		_ = peers.Close()
		return nil, nil, nil, err
	}
	return callers, peers, operators, nil
}

func listenTCP(a identifier.Address) (net.Listener, error) {
	return net.Listen("tcp", string(a))
}

func addressOf(ln net.Listener) identifier.Address {
	return identifier.Address(ln.Addr().String())
}

// Stop shuts the host down gracefully. Requests in progress are canceled, and answered, only
// if ctx is done before they complete.
func (h *Host) Stop(ctx context.Context) error {
	h.setState(server.StateDraining)
	h.log.Info("drain-started", zap.Int64("running", h.dispatcher.Running()))
	h.publish()
	_ = sleeper.Sleep(ctx, h.settings.Drain.Announce) // the listener reports the end of ctx
	h.gossiper.Leave(ctx)
	if err := h.callers.Stop(ctx); err != nil {
		return h.abortDrain(err)
	}
	if err := h.waitUntilIdle(ctx); err != nil {
		return h.abortDrain(err)
	}
	h.log.Info("drain-completed")
	h.Kill()
	return nil
}

// abortDrain kills the host after a graceful shutdown has failed or timed out.
func (h *Host) abortDrain(err error) error {
	h.log.Warn("drain-timed-out", zap.Int64("running", h.dispatcher.Running()), zap.Error(err))
	h.Kill()
	return err
}

// idlePollPeriod is the interval at which a stopping host checks whether it is
// idle.
const idlePollPeriod = 20 * time.Millisecond

// waitUntilIdle waits until no request is running, all tickets issued by this
// host have been used or have expired, and no slot request is waiting.
func (h *Host) waitUntilIdle(ctx context.Context) error {
	for h.dispatcher.Running() > 0 || h.tickets.Unredeemed() > 0 || h.coordinator.Waiting() > 0 {
		if err := sleeper.Sleep(ctx, idlePollPeriod); err != nil {
			return err
		}
	}
	return nil
}

// SentPeerBytes returns the number of bytes sent to peers.
func (h *Host) SentPeerBytes() uint64 {
	return h.messenger.SentBytes()
}
