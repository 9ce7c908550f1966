package server

import (
	"context"
	"net/http"
	"time"
)

// HeaderVerdict is the response header with the verdict not-run. It is set on
// errors that occur before a handler has a whole request, such as a malformed
// message.
const HeaderVerdict = "Jackdawthread-Verdict"

// exchange is one request and its response on a listener.
type exchange struct {
	controller       *http.ResponseController
	header           http.Header
	deliveryCallback func(delivered bool)
}

type exchangeKey struct{}

// markRequestRead must be called by each handler once the request was read in
// full. It lifts the read deadline and removes HeaderVerdict from the response.
func markRequestRead(ctx context.Context) {
	x, ok := ctx.Value(exchangeKey{}).(*exchange)
	if !ok {
		return
	}
	_ = x.controller.SetReadDeadline(time.Time{}) // unsupported in tests only
	x.header.Del(HeaderVerdict)
}

// setDeliveryCallback registers f, which is called after the handler returns, with
// whether the caller may have received any of the response.
func setDeliveryCallback(ctx context.Context, f func(delivered bool)) {
	if x, ok := ctx.Value(exchangeKey{}).(*exchange); ok {
		x.deliveryCallback = f
	}
}

// expired is a deadline in the past.
var expired = time.Unix(1, 0)

// interruptReads ends a read of the request's body, which doesn't end with ctx by itself. The
// function that it returns must be called before the handler returns.
func interruptReads(ctx context.Context, c *http.ResponseController) (stop func()) {
	interrupted := make(chan struct{})
	cancel := context.AfterFunc(ctx, func() {
		defer close(interrupted)
		_ = c.SetReadDeadline(expired) // unsupported in tests only
	})
	return func() {
		if !cancel() {
			<-interrupted
		}
	}
}

// limitTime limits how long a slow sender may take for a request's body and how
// long a slow reader may block a write.
func limitTime(next http.Handler, o ListenerOptions) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := http.NewResponseController(w)
		_ = c.SetReadDeadline(time.Now().Add(o.BodyTimeout)) // unsupported in tests only
		defer interruptReads(r.Context(), c)()
		w.Header().Set(HeaderVerdict, "not-run")
		x := &exchange{controller: c, header: w.Header()}
		r = r.WithContext(context.WithValue(r.Context(), exchangeKey{}, x))
		writer := &deadlineWriter{ResponseWriter: w, controller: c, timeout: o.WriteTimeout}
		next.ServeHTTP(writer, r)
		if x.deliveryCallback != nil {
			x.deliveryCallback(writer.delivered(r.Context()))
		}
	})
}

// deadlineWriter applies a separate deadline to each write, so that no write can
// block for long but a stream can take any time.
type deadlineWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	// written is set once a byte of the response may have been sent.
	written bool
}

// delivered reports whether the caller may have received any of the response.
func (w *deadlineWriter) delivered(ctx context.Context) bool {
	return w.written || ctx.Err() == nil
}

// Write writes with a new deadline.
func (w *deadlineWriter) Write(b []byte) (int, error) {
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout)) // unsupported in tests only
	n, err := w.ResponseWriter.Write(b)
	w.written = w.written || n > 0
	return n, err
}

// Flush flushes with a new deadline and then removes the deadline, since HTTP/2
// resets a stream whose write deadline passes even if nothing is being written.
func (w *deadlineWriter) Flush() {
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout)) // unsupported in tests only
	_ = w.controller.Flush()                                     // the next write reports the error
	_ = w.controller.SetWriteDeadline(time.Time{})               // unsupported in tests only
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *deadlineWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
