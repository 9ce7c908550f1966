package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/budgeter"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	// memoryWait bounds the wait for memory, and maxWaitingBodies the requests that wait.
	memoryWait       = 500 * time.Millisecond
	maxWaitingBodies = 32
	// memoryRetryPeriod is the time after which a waiting request tries again even if
	// nothing was returned: others may have become slow enough to be let go of.
	memoryRetryPeriod = 50 * time.Millisecond
	// firstByteTimeout bounds the wait for the first byte of a body that is refused.
	firstByteTimeout = time.Second
	// firstChunkBytes is the first size of the buffer of a body of unknown length.
	firstChunkBytes = 4 << 10
	// defaultBodyStall is how long a body may make no progress if the declarations set
	// no idle limit.
	defaultBodyStall = 30 * time.Second
)

// expired is a deadline in the past.
var expired = time.Unix(1, 0)

// bodyReader reads a request's body into memory that the host's account has room for.
type bodyReader struct {
	exchange *exchange
	holder   *budgeter.Holder
	control  *http.ResponseController
	limit    int64
	// stall is how long the body may make no progress.
	stall    time.Duration
	deadline time.Time
	// interrupted is set once the account has let go of the body.
	interrupted atomic.Bool
}

// readBody reads the whole body, since calls are forwarded with a Content-Length and may
// have to be resent. It takes the memory first: for the announced length, or in steps.
func (e *exchange) readBody(l registrar.Limits, deadline time.Time) ([]byte, error) {
	if e.request.ContentLength == 0 {
		return nil, nil
	}
	r := &bodyReader{
		exchange: e,
		control:  http.NewResponseController(e.writer),
		limit:    l.BodyBytes,
		stall:    l.IdleTimeout,
		deadline: deadline,
	}
	if r.limit <= 0 {
		r.limit = maxBufferedBytes
	}
	if r.stall <= 0 {
		r.stall = defaultBodyStall
	}
	e.body = e.forwarder.deps.Memory.Open(budgeter.KindBody, time.Now(), r.letGo)
	r.holder = e.body
	defer context.AfterFunc(e.request.Context(), r.interrupt)()
	body, err := r.read(e.request.ContentLength)
	if err != nil {
		e.writer.Header().Set("Connection", "close") // the rest of the body isn't read
		return nil, err
	}
	r.holder.Keep()
	_ = r.control.SetReadDeadline(time.Time{}) // unsupported in tests only
	return body, nil
}

// letGo interrupts the reading for lack of memory.
func (r *bodyReader) letGo() {
	r.interrupted.Store(true)
	r.interrupt()
}

// interrupt ends a read that is under way.
func (r *bodyReader) interrupt() {
	_ = r.control.SetReadDeadline(expired) // unsupported in tests only
}

// lingerOnClose makes net/http wait before it closes the connection, as it does for bodies that
// exceed a limit while they are read: bytes that are still on their way would reset the
// connection before the caller has the refusal.
func (r *bodyReader) lingerOnClose() {
	_ = r.control.SetReadDeadline(time.Now().Add(firstByteTimeout)) // unsupported in tests only
	e := r.exchange
	_, _ = http.MaxBytesReader(e.writer, e.request.Body, 0).Read(make([]byte, 1)) // fails as intended
}

// read reads a body of the announced length; a negative one is unknown.
func (r *bodyReader) read(length int64) ([]byte, error) {
	switch {
	case length > r.limit:
		r.lingerOnClose()
		return nil, tooLarge(r.limit)
	case length >= 0:
		return r.readAnnounced(length)
	default:
		return r.readChunks()
	}
}

// readAnnounced reads a body of a known length.
func (r *bodyReader) readAnnounced(length int64) ([]byte, error) {
	if err := r.take(length); err != nil {
		return nil, err
	}
	b := make([]byte, length)
	for have := 0; have < len(b); {
		n, err := r.readSome(b[have:])
		have += n
		if err != nil && have < len(b) {
			return nil, r.failure(err)
		}
	}
	return b, nil
}

// readChunks reads a body of unknown length.
func (r *bodyReader) readChunks() ([]byte, error) {
	var b []byte
	for int64(len(b)) <= r.limit {
		if len(b) == cap(b) {
			var err error
			if b, err = r.grow(b); err != nil {
				return nil, err
			}
		}
		n, err := r.readSome(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) && int64(len(b)) <= r.limit {
			return b, nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, r.failure(err)
		}
	}
	return nil, tooLarge(r.limit)
}

// grow returns b in a larger buffer, for which there is room.
func (r *bodyReader) grow(b []byte) ([]byte, error) {
	size := min(r.limit+1, max(firstChunkBytes, 2*int64(cap(b))))
	if err := r.take(size); err != nil {
		return nil, err
	}
	grown := append(make([]byte, 0, size), b...)
	r.holder.Return(int64(cap(b)))
	return grown, nil
}

// readSome reads what has arrived, unless nothing does for too long.
func (r *bodyReader) readSome(b []byte) (int, error) {
	_ = r.control.SetReadDeadline(time.Now().Add(r.stall)) // unsupported in tests only
	if r.interrupted.Load() {
		return 0, budgeter.ErrShort
	}
	if r.ended() {
		return 0, context.Canceled
	}
	n, err := r.exchange.request.Body.Read(b)
	r.holder.Progress(int64(n), time.Now())
	return n, err
}

// ended reports whether this host has ended the request. After an error of the connection,
// net/http cancels the context without a cause.
func (r *bodyReader) ended() bool {
	ctx := r.exchange.request.Context()
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.Canceled)
}

// failure returns the error of a request whose body ended with err.
func (r *bodyReader) failure(err error) error {
	switch {
	case r.interrupted.Load():
		return r.short()
	case r.ended():
		return contextError(r.exchange.request.Context(), classifier.VerdictNotRun)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &statusError{status: http.StatusRequestTimeout, cause: err}
	default:
		return &statusError{status: http.StatusBadRequest, cause: err}
	}
}

// take takes n bytes. If there is no room, it waits for a short time.
func (r *bodyReader) take(n int64) error {
	f := r.exchange.forwarder
	if r.holder.Take(n, time.Now()) == nil {
		return nil
	}
	defer f.waitingBodies.Add(-1)
	if f.waitingBodies.Add(1) > maxWaitingBodies {
		return r.short()
	}
	end := time.Now().Add(memoryWait)
	if r.deadline.Before(end) {
		end = r.deadline
	}
	ctx, cancel := context.WithDeadline(r.exchange.request.Context(), end)
	defer cancel()
	for ctx.Err() == nil && !r.interrupted.Load() {
		freed := f.deps.Memory.Freed()
		if r.holder.Take(n, time.Now()) == nil {
			return nil
		}
		select {
		case <-freed:
		case <-time.After(memoryRetryPeriod):
		case <-ctx.Done():
		}
	}
	return r.short()
}

// short refuses the request for lack of memory, and logs who has it.
func (r *bodyReader) short() error {
	e := r.exchange
	s := e.forwarder.deps.Memory.Stats()
	e.forwarder.deps.Log.Info("request-memory-short",
		zap.String("request", string(e.observation.ID)),
		zap.String("remote", e.request.RemoteAddr),
		zap.Int64("length", e.request.ContentLength),
		zap.Bool("let-go", r.interrupted.Load()),
		zap.Int64("limit", s.Limit),
		zap.Int64("connections", s.Kinds[budgeter.KindConnection].Bytes),
		zap.Int64("heads", s.Kinds[budgeter.KindHead].Bytes),
		zap.Int64("bodies", s.Kinds[budgeter.KindBody].Bytes),
		zap.Int64("answers", s.Kinds[budgeter.KindAnswer].Bytes))
	return classifier.NotRun(classifier.ReasonMemory, classifier.Jitter(memoryRetryAfter), "request body: %w", budgeter.ErrShort)
}

func tooLarge(limit int64) error {
	return &statusError{status: http.StatusRequestEntityTooLarge, cause: &http.MaxBytesError{Limit: limit}}
}

// releaseBody returns the memory of the request's body.
func (e *exchange) releaseBody() {
	if e.body != nil {
		e.body.Close()
	}
}
