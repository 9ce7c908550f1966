package logger

import (
	"context"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/jackdawthread/jackdawthread/common/grouper"
)

const (
	// defaultLinesPerSecond is the rate limit of each event.
	defaultLinesPerSecond = 100
	// defaultQueueLines is the capacity of the queue of unwritten lines.
	defaultQueueLines = 1024
	// flushTimeout limits how long a slow writer can delay shutdown.
	flushTimeout = 200 * time.Millisecond
)

// Bounds limit the volume of a log under load and keep a slow writer from
// blocking the goroutines that log. Zero fields get defaults.
type Bounds struct {
	// LinesPerSecond limits the lines of each event. Lines above the limit are
	// suppressed, and the event's next line has their number as "left-out".
	LinesPerSecond int
	// QueueLines limits the lines that wait to be written. Further lines are
	// dropped, and the event "log-lines-dropped" reports their number.
	QueueLines int
}

// NewBounded returns a logger like that of New, limited by b. A goroutine of g
// writes the lines, so that a blocked writer doesn't block the callers.
func NewBounded(level string, w io.Writer, b Bounds, g *grouper.Group) (*zap.Logger, error) {
	if b.LinesPerSecond <= 0 {
		b.LinesPerSecond = defaultLinesPerSecond
	}
	if b.QueueLines <= 0 {
		b.QueueLines = defaultQueueLines
	}
	queue := newLineQueue(w, b.QueueLines, g)
	log, err := New(level, queue)
	if err != nil {
		return nil, err
	}
	limiter := &eventLimiter{maxPerSecond: b.LinesPerSecond, events: map[string]*eventCount{}}
	return log.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return rateLimitedCore{Core: c, limiter: limiter}
	})), nil
}

// rateLimitedCore suppresses lines of events that exceed the rate limit.
type rateLimitedCore struct {
	zapcore.Core
	limiter *eventLimiter
}

// With implements zapcore.Core.
func (c rateLimitedCore) With(fields []zapcore.Field) zapcore.Core {
	return rateLimitedCore{Core: c.Core.With(fields), limiter: c.limiter}
}

// Check implements zapcore.Core.
func (c rateLimitedCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c rateLimitedCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	suppressed, ok := c.limiter.allow(e.Message, e.Time)
	if !ok {
		return nil
	}
	if suppressed > 0 {
		fields = append(fields, zap.Int("left-out", suppressed))
	}
	return c.Core.Write(e, fields)
}

// eventLimiter counts the lines of each event in the current second.
type eventLimiter struct {
	maxPerSecond int
	mu           sync.Mutex
	events       map[string]*eventCount
}

type eventCount struct {
	second     int64
	lines      int
	suppressed int
}

// allow reports whether one more line of the event may be written, and how many
// were suppressed since the last one that was.
func (l *eventLimiter) allow(event string, now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.events[event]
	if c == nil {
		c = &eventCount{}
		l.events[event] = c
	}
	if second := now.Unix(); second != c.second {
		c.second = second
		c.lines = 0
	}
	if c.lines >= l.maxPerSecond {
		c.suppressed++
		return 0, false
	}
	c.lines++
	suppressed = c.suppressed
	c.suppressed = 0
	return suppressed, true
}

// lineQueue passes lines to a writer asynchronously.
type lineQueue struct {
	writer  io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

func newLineQueue(w io.Writer, lines int, g *grouper.Group) *lineQueue {
	q := &lineQueue{writer: w, lines: make(chan []byte, lines)}
	g.Run(q.run)
	return q
}

// Write implements io.Writer. It never blocks; it drops the line if the queue is
// full.
func (q *lineQueue) Write(line []byte) (int, error) {
	buffered := append([]byte(nil), line...) // the encoder reuses its buffer
	select {
	case q.lines <- buffered:
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

func (q *lineQueue) run(ctx context.Context) {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		case <-ctx.Done():
			q.flush()
			return
		}
	}
}

// write writes a line, preceded by a report of the lines dropped before it.
// Errors are ignored, because there is nowhere to log a failure of the log's own
// writer.
func (q *lineQueue) write(line []byte) {
	if n := q.dropped.Swap(0); n > 0 {
		_, _ = q.writer.Write(droppedLine(n))
	}
	_, _ = q.writer.Write(line)
}

// flush writes the queued lines, for at most flushTimeout.
func (q *lineQueue) flush() {
	deadline := time.Now().Add(flushTimeout)
	for time.Now().Before(deadline) {
		select {
		case line := <-q.lines:
			q.write(line)
		default:
			return
		}
	}
}

func droppedLine(n int64) []byte {
	line := []byte("level=warn event=log-lines-dropped lines=")
	return append(strconv.AppendInt(line, n, 10), '\n')
}
