package hoster

import (
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/acceptor"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	// defaultIdleTimeout and defaultHeaderTimeout apply until the declarations set
	// timeouts.
	defaultIdleTimeout   = 30 * time.Second
	defaultHeaderTimeout = 10 * time.Second
	// idleMargin is added to the declared timeout, so that a request sent just in
	// time doesn't arrive on a connection that is being closed.
	idleMargin = 300 * time.Millisecond
	// headerMargin is added to the declared timeout, for packets that are sent again.
	headerMargin = time.Second
	// sweepConnectionsPeriod is the time between two checks of callers' connections.
	sweepConnectionsPeriod = 250 * time.Millisecond
)

// sweepConnections ends callers' connections that exceed the limits of the
// declarations in force.
func (h *Host) sweepConnections(now time.Time) {
	h.acceptor.Sweep(now, connectionLimits(h.registry.Snapshot().Declarations))
}

// connectionLimits returns the limits that apply to callers' connections; d may be
// nil.
func connectionLimits(d *registrar.Declarations) acceptor.Limits {
	l := acceptor.Limits{Idle: defaultIdleTimeout, Header: defaultHeaderTimeout}
	if d != nil && d.Limits.IdleTimeout > 0 {
		l.Idle = d.Limits.IdleTimeout
	}
	if d != nil && d.Limits.HeaderTimeout > 0 {
		l.Header = d.Limits.HeaderTimeout
	}
	l.Idle += idleMargin
	l.Header += headerMargin
	return l
}

// observeClosing records a caller's connection that this host ended.
func (h *Host) observeClosing(c *acceptor.Closing) {
	h.metrics.closings.Add(string(c.Reason), 1)
	h.log.Info("caller-connection-closed",
		zap.String("reason", string(c.Reason)),
		zap.String("remote", c.Remote),
		zap.Duration("age", c.Age),
		zap.Duration("idle", c.Idle),
		zap.Duration("limit", c.Limit),
		zap.Uint64("version", uint64(h.Version())))
}
