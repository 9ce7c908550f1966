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
	// memoryShare is the part of the process's memory from which the garbage
	// collector works harder to stay below it.
	memoryShare = 0.6
	// collectAt makes the collector run when the heap has grown by this many
	// percent.
	collectAt = 50
)

// Run runs a host until it is told to stop. It reads its settings from the
// file at path, and writes its log to w.
func Run(path string, connect func(*Settings) Platform, w io.Writer) error {
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
		_ = logs.Wait() // its writer gives no error
	}()
	signals := make(chan os.Signal, signalQueue)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	h, err := Start(context.Background(), s, Deps{Platform: connect(s), Log: log})
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

// signalQueue is how many signals may wait.
const signalQueue = 8

func limitMemory(s *Settings) {
	debug.SetGCPercent(collectAt)
	if s.Limits.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryBytes)))
	}
}

// reload reads the settings again. What can change while the host runs takes
// effect at once; a file with faults changes nothing.
func (h *Host) reload(path string) {
	s, err := LoadSettings(path)
	if err != nil {
		h.log.Error("settings-refused", zap.Error(err))
		return
	}
	h.gossiper.Seed(s.Seeds)
	h.log.Info("settings-reloaded", zap.Int("seeds", len(s.Seeds)))
}
