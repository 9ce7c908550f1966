package hoster

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/acceptor"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
)

const (
	// stopMargin is the part of the limit that is reserved for terminating
	// requests that still run.
	stopMargin = 700 * time.Millisecond
	// drainPollPeriod is how often a stopping host checks whether it is idle.
	drainPollPeriod = 20 * time.Millisecond
)

// Stop performs a planned stop. It returns when no request runs any more, or
// shortly before the limit of the settings.
func (h *Host) Stop(ctx context.Context) {
	began := time.Now()
	h.stopping.Store(true)
	h.ready.Store(false)
	h.log.Info("stop-started", zap.Int64("running", h.forwarder.Running()))
	ctx, cancel := context.WithTimeout(ctx, h.settings.Stop.Limit-stopMargin)
	defer cancel()
	h.forwarder.CloseConnections()
	_ = sleeper.Sleep(ctx, h.settings.Stop.Announce) // only the limit can end the wait early
	if err := h.callers.Shutdown(ctx); err != nil {
		h.log.Warn("stop-timed-out", zap.Int64("running", h.forwarder.Running()), zap.Error(err))
	}
	h.waitForRequests(ctx)
	h.gossiper.Leave(ctx)
	h.log.Info("stop-completed", zap.Duration("took", time.Since(began)))
	h.Kill()
}

func (h *Host) waitForRequests(ctx context.Context) {
	for h.forwarder.Running() > 0 {
		if sleeper.Sleep(ctx, drainPollPeriod) != nil {
			return
		}
	}
}

// Kill ends the host at once, as a crash would.
func (h *Host) Kill() {
	h.acceptor.CloseAll(acceptor.ReasonKill)
	_ = h.callers.Close() // connections are closed on purpose
	h.messenger.Close()
	h.group.Stop()
	_ = h.group.Wait() // components are interrupted on purpose
}
