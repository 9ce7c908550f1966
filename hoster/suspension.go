package hoster

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/jackdawthread/jackdawthread/common/sleeper"
)

const (
	// suspensionPeriod is the time between two comparisons of the clocks, and
	// suspensionGap the shortest drift that counts as a suspension.
	suspensionPeriod = 100 * time.Millisecond
	suspensionGap    = 250 * time.Millisecond
	// confirmationTimeout bounds how long a request waits, after the host was
	// suspended, for the store's confirmation of the replica.
	confirmationTimeout    = 400 * time.Millisecond
	confirmationPollPeriod = 5 * time.Millisecond
)

// clock reads a system clock; ok is false if it can't be read.
func clock(id int32) (now time.Duration, ok bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}

// suspensionDetector measures how long the host was suspended. The steady clock,
// which drives all timers, stops during a suspension; the boot clock doesn't.
type suspensionDetector struct {
	offset time.Duration // boot clock minus steady clock at the last comparison
}

// compare takes the times of both clocks and returns how long the host was
// suspended since the last comparison; 0 if it wasn't.
func (s *suspensionDetector) compare(boot, steady time.Duration) time.Duration {
	offset := boot - steady
	moved := offset - s.offset
	s.offset = offset
	if moved < suspensionGap {
		return 0
	}
	return moved
}

// watchSuspension invalidates the host's replica and connections after the host
// was suspended.
func (h *Host) watchSuspension() {
	s := &suspensionDetector{}
	boot, bootOK := clock(unix.CLOCK_BOOTTIME)
	steady, steadyOK := clock(unix.CLOCK_MONOTONIC)
	if !bootOK || !steadyOK {
		h.log.Warn("clock-read-failed")
		return
	}
	s.compare(boot, steady)
	h.timer.Every(suspensionPeriod, func(time.Time) {
		boot, bootOK := clock(unix.CLOCK_BOOTTIME)
		steady, steadyOK := clock(unix.CLOCK_MONOTONIC)
		if !bootOK || !steadyOK {
			return // logged at the start
		}
		if suspended := s.compare(boot, steady); suspended > 0 {
			h.handleResume(suspended)
		}
	})
}

// handleResume discards what may be out of date after a suspension: connections
// and the replica's confirmation.
func (h *Host) handleResume(suspended time.Duration) {
	h.log.Warn("process-suspended", zap.Duration("for", suspended))
	h.deps.Platform.Exchanger().CloseAll()
	h.replicator.Load().Invalidate(suspended)
}

// awaitConfirmation waits, for a bounded time, until the replica has been
// confirmed since the last suspension.
func (h *Host) awaitConfirmation(ctx context.Context) {
	end := time.Now().Add(confirmationTimeout)
	for h.replicator.Load().Unconfirmed() && time.Now().Before(end) {
		if sleeper.Sleep(ctx, confirmationPollPeriod) != nil {
			return
		}
	}
}
