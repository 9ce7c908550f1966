package logger_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/logger"
)

// stalled is a writer that stands still until it is released.
type stalled struct {
	mu      sync.Mutex
	release chan struct{}
	written bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

func (s *stalled) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.String()
}

func bounded(t *testing.T, w *stalled, b logger.Bounds) (*zap.Logger, *grouper.Group) {
	t.Helper()
	g := grouper.New(context.Background())
	log, err := logger.NewBounded("info", w, b, g)
	is.New(t).NoErr(err)
	return log, g
}

func TestBounded(t *testing.T) {
	t.Run("never waits for a reader that stands still, and counts what it drops", func(t *testing.T) {
		i := is.New(t)
		w := &stalled{release: make(chan struct{})}
		log, g := bounded(t, w, logger.Bounds{LinesPerSecond: 1_000_000, QueueLines: 10})
		began := time.Now()
		for range 1000 {
			log.Info("request-ended")
		}
		i.True(time.Since(began) < time.Second)
		close(w.release)
		time.Sleep(50 * time.Millisecond)
		log.Info("request-ended")
		g.Stop()
		i.NoErr(g.Wait())
		i.True(strings.Contains(w.text(), "event=log-lines-dropped lines="))
		i.True(strings.Count(w.text(), "event=request-ended") <= 13)
	})
	t.Run("leaves out what comes too often, and counts it", func(t *testing.T) {
		i := is.New(t)
		w := &stalled{release: make(chan struct{})}
		close(w.release)
		log, g := bounded(t, w, logger.Bounds{LinesPerSecond: 5, QueueLines: 1000})
		for range 100 {
			log.Info("request-ended")
		}
		log.Info("host-started")
		time.Sleep(1100 * time.Millisecond)
		log.Info("request-ended")
		g.Stop()
		i.NoErr(g.Wait())
		i.True(strings.Count(w.text(), "event=request-ended") <= 11) // two seconds at most
		i.True(strings.Contains(w.text(), "left-out="))
		i.Equal(strings.Count(w.text(), "event=host-started"), 1)
	})
}
