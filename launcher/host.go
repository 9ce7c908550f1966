// Package launcher builds an entry host out of its parts, starts it, and stops
// it as planned.
//
// # Usage
//
//	h, err := launcher.Start(ctx, settings, launcher.Options{Log: log})
//	...
//	err = h.Stop(ctx)
//
// Stop cuts nothing off: the host leaves the fleet, takes nothing new, and
// waits for what runs. Kill ends it at once, as a crash would.
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

// Options of a host beside its settings.
type Options struct {
	Log *zap.Logger
	// Listen replaces the network's listeners.
	Listen func(identifier.Address) (net.Listener, error)
	// DialPeer and DialEndpoint replace the network's dialers, for example
	// to inject faults.
	DialPeer     messenger.DialFunc
	DialEndpoint connector.Dial
	// Coordinator replaces the coordinator's default periods.
	Coordinator *coordinator.Options
}

// Host is a running entry host.
type Host struct {
	settings    *settings.Settings
	incarnation identifier.Incarnation
	started     time.Time
	log         *zap.Logger
	group       *grouper.Group
	state       atomic.Uint32 // server.State
	draining    chan struct{} // closed when a drain is asked for
	drainOnce   atomic.Bool

	timer       *timer.Service
	messenger   *messenger.Messenger
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
	config      *config
	orders      *orders
	endpoints   endpointTable

	callers   *server.Listener
	operators *server.Listener
	addresses Addresses
}

// Addresses are where a host listens.
type Addresses struct {
	Callers   identifier.Address
	Peers     identifier.Address
	Operators identifier.Address
}

// Addresses gives the addresses that the host is bound to.
func (h *Host) Addresses() Addresses {
	return h.addresses
}

// Incarnation gives the host's incarnation.
func (h *Host) Incarnation() identifier.Incarnation {
	return h.incarnation
}

// Meter gives the host's counts.
func (h *Host) Meter() *meter.Meter {
	return h.meter
}

// Draining is closed when an operator asked for the host's planned stop.
func (h *Host) Draining() <-chan struct{} {
	return h.draining
}

// Failed is closed when a part of the host failed.
func (h *Host) Failed() <-chan struct{} {
	return h.group.Context().Done()
}

// Err gives the failure of a part, once Failed is closed.
func (h *Host) Err() error {
	return h.group.Wait()
}

// Kill ends the host at once, as a crash would.
func (h *Host) Kill() {
	h.callers.Close()
	h.operators.Close()
	h.messenger.Close()
	h.group.Stop()
	h.connector.Close()
	_ = h.group.Wait() // the parts were cut off on purpose
}

// listenAll binds the three listeners, all or none.
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

// Stop stops the host as planned: nothing in progress is cut off. Only when
// ctx ends first, what still runs is.
func (h *Host) Stop(ctx context.Context) error {
	h.setState(server.StateDraining)
	h.log.Info("drain-started", zap.Int64("running", h.dispatcher.Running()))
	h.publish()
	if err := sleeper.Sleep(ctx, h.settings.Drain.Announce); err != nil {
		return h.cutOff(err)
	}
	h.gossiper.Leave(ctx)
	if err := h.callers.Stop(ctx); err != nil {
		return h.cutOff(err)
	}
	if err := h.waitForWork(ctx); err != nil {
		return h.cutOff(err)
	}
	h.log.Info("drain-completed")
	h.Kill()
	return nil
}

// cutOff ends a planned stop that took too long.
func (h *Host) cutOff(err error) error {
	h.log.Warn("drain-cut-off", zap.Int64("running", h.dispatcher.Running()), zap.Error(err))
	h.Kill()
	return err
}

// workPollPeriod is how often a stopping host looks whether it is idle.
const workPollPeriod = 20 * time.Millisecond

// waitForWork waits until no request runs here, tickets that were issued here
// have been used or have expired, and peers' asks are answered.
func (h *Host) waitForWork(ctx context.Context) error {
	for h.dispatcher.Running() > 0 || h.tickets.Unredeemed() > 0 || h.coordinator.Waiting() > 0 {
		if err := sleeper.Sleep(ctx, workPollPeriod); err != nil {
			return err
		}
	}
	return nil
}

// PeerBytes gives the bytes that the host has sent to its peers.
func (h *Host) PeerBytes() uint64 {
	return h.messenger.SentBytes()
}
