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
	// defaultLinesPerSecond bounds the lines of one event.
	defaultLinesPerSecond = 100
	// defaultQueueLines bounds the lines that wait to be written.
	defaultQueueLines = 1024
	// flushTimeout bounds the wait for a slow reader when the log ends.
	flushTimeout = 200 * time.Millisecond
)

// Bounds keep a log from growing with the load, and from holding up whoever
// writes to it. Zero fields get defaults.
type Bounds struct {
	// LinesPerSecond of one event; what is left out is counted, and the count
	// stands in the event's next line as "left-out".
	LinesPerSecond int
	// QueueLines wait at most for the reader of the log; more are dropped, and
	// counted by the event "log-lines-dropped".
	QueueLines int
}

// NewBounded gives a log as New does, within bounds. It writes in the group,
// so that a reader that stands still holds nobody up.
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
	limits := &eventLimits{most: b.LinesPerSecond, events: map[string]*eventCount{}}
	return log.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return boundedCore{Core: c, limits: limits}
	})), nil
}

// boundedCore leaves out lines of events that come too often.
type boundedCore struct {
	zapcore.Core
	limits *eventLimits
}

// With implements zapcore.Core.
func (c boundedCore) With(fields []zapcore.Field) zapcore.Core {
	return boundedCore{Core: c.Core.With(fields), limits: c.limits}
}

// Check implements zapcore.Core.
func (c boundedCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c boundedCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	leftOut, ok := c.limits.admit(e.Message, e.Time)
	if !ok {
		return nil
	}
	if leftOut > 0 {
		fields = append(fields, zap.Int("left-out", leftOut))
	}
	return c.Core.Write(e, fields)
}

// eventLimits count the lines of each event in the present second.
type eventLimits struct {
	most   int
	mu     sync.Mutex
	events map[string]*eventCount
}

type eventCount struct {
	second  int64
	lines   int
	leftOut int
}

// admit tells whether one more line of the event may be written, and how many
// were left out before it.
func (l *eventLimits) admit(event string, now time.Time) (leftOut int, ok bool) {
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
	if c.lines >= l.most {
		c.leftOut++
		return 0, false
	}
	c.lines++
	leftOut = c.leftOut
	c.leftOut = 0
	return leftOut, true
}

// lineQueue hands lines to a writer without waiting for it.
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

// Write implements io.Writer. It never blocks.
func (q *lineQueue) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...) // the encoder uses its buffer again
	select {
	case q.lines <- copied:
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

// write writes a line, and how many were dropped before it. The log has no
// place to tell of a failure of its own writer.
func (q *lineQueue) write(line []byte) {
	if n := q.dropped.Swap(0); n > 0 {
		_, _ = q.writer.Write(droppedLine(n))
	}
	_, _ = q.writer.Write(line)
}

// flush writes what still waits, for a bounded time.
func (q *lineQueue) flush() {
	end := time.Now().Add(flushTimeout)
	for time.Now().Before(end) {
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
