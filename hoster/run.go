package hoster

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/logger"
)

const (
	// memoryLimitShare is the part of the process's memory that is set as the
	// runtime's soft limit, near which the garbage collector runs more often.
	memoryLimitShare = 0.6
	// gcPercent is the heap growth, in percent, that triggers a collection.
	gcPercent = 50
)

// Run runs a host until a signal stops it. It reads its settings from the file
// at path, and writes its log to w.
func Run(path string, newPlatform func(*Settings) Platform, w io.Writer) error {
	s, err := LoadSettings(path)
	if err != nil {
		return err
	}
	limitMemory(s)
	logs := grouper.New(context.Background())
	log, err := logger.NewBounded(s.LogLevel, w, logger.Bounds{
		LinesPerSecond: s.Log.LinesPerSecond,
		QueueLines:     s.Log.QueueLines,
	}, logs)
	if err != nil {
		return err
	}
	defer func() {
		logs.Stop()
		_ = logs.Wait() // the log's writer returns no error
	}()
	signals := make(chan os.Signal, signalBufferSize)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	h, err := Start(context.Background(), s, Deps{Platform: newPlatform(s), Log: log})
	if err != nil {
		return err
	}
	for caught := range signals {
		if caught != syscall.SIGHUP {
			break
		}
		h.reload(path)
	}
	h.Stop(context.Background())
	return nil
}

// signalBufferSize is how many signals may be pending.
const signalBufferSize = 8

func limitMemory(s *Settings) {
	debug.SetGCPercent(gcPercent)
	if s.Limits.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Limits.MemoryBytes)))
	}
}

// reload reads the settings file again. Settings that can change at run time
// take effect at once; an invalid file changes nothing.
func (h *Host) reload(path string) {
	s, err := LoadSettings(path)
	if err != nil {
		h.log.Error("settings-refused", zap.Error(err))
		return
	}
	h.gossiper.Seed(s.Seeds)
	h.isolator.Override(s.Quarantine.Released, s.Quarantine.Pinned)
	h.log.Info("settings-reloaded", zap.Int("seeds", len(s.Seeds)),
		zap.Int("released", len(s.Quarantine.Released)), zap.Int("pinned", len(s.Quarantine.Pinned)))
}
