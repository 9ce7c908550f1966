package hoster

import (
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/acceptor"
)

const (
	// defaultIdleTimeout applies until the declarations set a timeout.
	defaultIdleTimeout = 30 * time.Second
	// idleMargin is added to the declared timeout, so that a request sent just in
	// time doesn't arrive on a connection that is being closed.
	idleMargin = 300 * time.Millisecond
	idlePeriod = 250 * time.Millisecond
)

// closeIdle closes callers' connections that have been idle for longer than the
// declarations in force allow.
func (h *Host) closeIdle(now time.Time) {
	h.acceptor.CloseIdle(now, h.idleTimeout()+idleMargin)
}

// idleTimeout returns the time for which the declarations in force let a
// connection be idle.
func (h *Host) idleTimeout() time.Duration {
	if d := h.registry.Snapshot().Declarations; d != nil && d.Limits.IdleTimeout > 0 {
		return d.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}

// observeClosing records a caller's connection that this host closed.
func (h *Host) observeClosing(c *acceptor.Closing) {
	h.metrics.closings.Add(string(c.Reason), 1)
	h.log.Info("caller-connection-closed",
		zap.String("reason", string(c.Reason)),
		zap.String("remote", c.Remote),
		zap.Duration("age", c.Age),
		zap.Duration("idle", c.Idle),
		zap.Duration("idle-limit", c.Limit),
		zap.Uint64("version", uint64(h.Version())))
}
