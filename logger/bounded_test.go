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

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct {
	mu      sync.Mutex
	release chan struct{}
	written bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

func (s *blockedWriter) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.String()
}

func newBounded(t *testing.T, w *blockedWriter, b logger.Bounds) (*zap.Logger, *grouper.Group) {
	t.Helper()
	g := grouper.New(context.Background())
	log, err := logger.NewBounded("info", w, b, g)
	is.New(t).NoErr(err)
	return log, g
}

func TestBounded(t *testing.T) {
	t.Run("doesn't block on a blocked writer, and counts dropped lines", func(t *testing.T) {
		i := is.New(t)
		w := &blockedWriter{release: make(chan struct{})}
		log, g := newBounded(t, w, logger.Bounds{LinesPerSecond: 1_000_000, QueueLines: 10})
		start := time.Now()
		for range 1000 {
			log.Info("request-ended")
		}
		i.True(time.Since(start) < time.Second)
		close(w.release)
		time.Sleep(50 * time.Millisecond)
		log.Info("request-ended")
		g.Stop()
		i.NoErr(g.Wait())
		i.True(strings.Contains(w.text(), "event=log-lines-dropped lines="))
		i.True(strings.Count(w.text(), "event=request-ended") <= 13)
	})
	t.Run("suppresses lines above the rate limit, and counts them", func(t *testing.T) {
		i := is.New(t)
		w := &blockedWriter{release: make(chan struct{})}
		close(w.release)
		log, g := newBounded(t, w, logger.Bounds{LinesPerSecond: 5, QueueLines: 1000})
		for range 100 {
			log.Info("request-ended")
		}
		log.Info("host-started")
		time.Sleep(1100 * time.Millisecond)
		log.Info("request-ended")
		g.Stop()
		i.NoErr(g.Wait())
		i.True(strings.Count(w.text(), "event=request-ended") <= 11) // the loop spans two seconds at most
		i.True(strings.Contains(w.text(), "left-out="))
		i.Equal(strings.Count(w.text(), "event=host-started"), 1)
	})
}
