package hoster

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/acceptor"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/forwarder"
)

const (
	// stopMargin is the part of the limit that is reserved for terminating
	// requests that still run.
	stopMargin = 700 * time.Millisecond
	// cancelTimeout bounds the time for answers to requests that are terminated.
	cancelTimeout = 200 * time.Millisecond
	// announcedShare is the part of Stop.Announce in which all requests are served. The
	// process may notice late that it should stop, so requests that come at the end of
	// this time may have been sent after it.
	announcedShare = 0.9
)

// Stop performs a planned stop. It returns when all callers' connections have ended
// after their answers, or shortly before the limit of the settings.
func (h *Host) Stop(ctx context.Context) {
	began := time.Now()
	h.stopping.Store(true)
	h.ready.Store(false)
	h.log.Info("stop-started", zap.Int64("running", h.forwarder.Running()))
	plan := planStop(began, h.settings.Stop)
	ctx, cancel := context.WithDeadline(ctx, plan.End)
	defer cancel()
	h.forwarder.BeginStop(plan)
	// Only the limit can end these waits early.
	_ = sleeper.Sleep(ctx, time.Until(plan.Announced))
	h.forwarder.EndAnnouncement()
	_ = sleeper.Sleep(ctx, time.Until(began.Add(h.settings.Stop.Announce)))
	h.acceptor.Drain(time.Now())
	// The forwarder's count of requests is no substitute: net/http sends the end of an
	// answer after the forwarder has returned.
	interrupted := int64(0)
	if err := h.acceptor.AwaitDrained(ctx); err != nil {
		interrupted = h.forwarder.Running()
		h.log.Warn("stop-timed-out",
			zap.Int64("running", interrupted),
			zap.Int("connections", h.acceptor.Open()),
			zap.Error(err))
		h.cancelRequests()
	}
	h.gossiper.Leave(ctx)
	h.log.Info("stop-completed",
		zap.Int64("refused", h.metrics.stopRefusals.Value()),
		zap.Int64("interrupted", interrupted),
		zap.Duration("took", time.Since(began)))
	h.Kill()
}

// planStop returns the times of a planned stop.
func planStop(began time.Time, s Stop) forwarder.PlannedStop {
	return forwarder.PlannedStop{
		Announced: began.Add(time.Duration(announcedShare * float64(s.Announce))),
		End:       began.Add(s.Limit - stopMargin),
	}
}

// cancelRequests ends the requests that still run at the end of a planned stop. Those
// whose answer hasn't begun are answered before their connections are closed.
func (h *Host) cancelRequests() {
	h.acceptor.CancelRequests(acceptor.ReasonStopLimit)
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = h.acceptor.AwaitDrained(ctx) // Kill closes those that remain
}

// Kill ends the host at once, as a crash would.
func (h *Host) Kill() {
	h.acceptor.CloseAll(acceptor.ReasonKill)
	_ = h.callers.Close() // connections are closed on purpose
	h.messenger.Close()
	h.group.Stop()
	_ = h.group.Wait() // components are interrupted on purpose
}
