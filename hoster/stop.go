package hoster

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/sleeper"
)

const (
	// stopMargin is kept of the limit for ending what still runs.
	stopMargin = 700 * time.Millisecond
	// workPollPeriod is how often a stopping host looks whether it is idle.
	workPollPeriod = 20 * time.Millisecond
)

// Stop stops the host as planned. It returns when nothing runs any more, or
// when the limit of the settings is near.
func (h *Host) Stop(ctx context.Context) {
	began := time.Now()
	h.stopping.Store(true)
	h.ready.Store(false)
	h.log.Info("stop-began", zap.Int64("running", h.forwarder.Running()))
	ctx, cancel := context.WithTimeout(ctx, h.settings.Stop.Limit-stopMargin)
	defer cancel()
	h.forwarder.CloseConnections()
	_ = sleeper.Sleep(ctx, h.settings.Stop.Announce) // the wait is cut short by the limit alone
	if err := h.callers.Shutdown(ctx); err != nil {
		h.log.Warn("stop-cut-off", zap.Int64("running", h.forwarder.Running()), zap.Error(err))
	}
	h.waitForWork(ctx)
	h.gossiper.Leave(ctx)
	h.log.Info("stop-completed", zap.Duration("took", time.Since(began)))
	h.Kill()
}

func (h *Host) waitForWork(ctx context.Context) {
	for h.forwarder.Running() > 0 {
		if sleeper.Sleep(ctx, workPollPeriod) != nil {
			return
		}
	}
}

// Kill ends the host at once, as a crash would.
func (h *Host) Kill() {
	_ = h.callers.Close() // its connections are cut off on purpose
	h.messenger.Close()
	h.group.Stop()
	_ = h.group.Wait() // the parts were cut off on purpose
}
