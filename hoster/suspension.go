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
	// suspensionGap how far they may move apart unnoticed.
	suspensionPeriod = 100 * time.Millisecond
	suspensionGap    = 250 * time.Millisecond
	// trustWait bounds how long a request waits, after the host stood
	// still, for news of what happened meanwhile.
	trustWait = 400 * time.Millisecond
	trustPoll = 5 * time.Millisecond
)

// clock reads a clock of the host; ok is false if it can't be read.
func clock(id int32) (now time.Duration, ok bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}

// standstill finds out for how long the host was suspended. The steady
// clock, which all timers go by, doesn't count that time; the boot clock does.
type standstill struct {
	apart time.Duration // boot clock less steady clock, when last compared
}

// compare takes both clocks and gives for how long the host stood still
// since the last comparison; 0: it didn't.
func (s *standstill) compare(boot, steady time.Duration) time.Duration {
	apart := boot - steady
	moved := apart - s.apart
	s.apart = apart
	if moved < suspensionGap {
		return 0
	}
	return moved
}

// watchSuspension has the host doubt what it knows after the host stood
// still.
func (h *Host) watchSuspension() {
	s := &standstill{}
	boot, bootOK := clock(unix.CLOCK_BOOTTIME)
	steady, steadyOK := clock(unix.CLOCK_MONOTONIC)
	if !bootOK || !steadyOK {
		h.log.Warn("clocks-unreadable")
		return
	}
	s.compare(boot, steady)
	h.timer.Every(suspensionPeriod, func(time.Time) {
		boot, bootOK := clock(unix.CLOCK_BOOTTIME)
		steady, steadyOK := clock(unix.CLOCK_MONOTONIC)
		if !bootOK || !steadyOK {
			return // told at the start
		}
		if stood := s.compare(boot, steady); stood > 0 {
			h.woke(stood)
		}
	})
}

// woke drops what may have changed while the host stood still: connections,
// and the confirmation of what is known.
func (h *Host) woke(stood time.Duration) {
	h.log.Warn("process-was-suspended", zap.Duration("for", stood))
	h.deps.Platform.Exchanger().CloseAll()
	h.replicator.Load().Doubt(stood)
}

// trust waits, for a bounded time, until what is known has been confirmed since
// the host stood still.
func (h *Host) trust(ctx context.Context) {
	end := time.Now().Add(trustWait)
	for h.replicator.Load().Doubted() && time.Now().Before(end) {
		if sleeper.Sleep(ctx, trustPoll) != nil {
			return
		}
	}
}
