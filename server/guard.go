package server

import (
	"context"
	"net/http"
	"time"
)

// HeaderVerdict says on refusals that come before a handler runs, such as a
// malformed message, that nothing ran.
const HeaderVerdict = "Jackdawthread-Verdict"

// exchange is one request and its answer on a listener.
type exchange struct {
	controller *http.ResponseController
	header     http.Header
	delivery   func(delivered bool)
}

type exchangeKey struct{}

// begin is called by a handler once the request is read in full.
func begin(ctx context.Context) {
	x, ok := ctx.Value(exchangeKey{}).(*exchange)
	if !ok {
		return
	}
	_ = x.controller.SetReadDeadline(time.Time{}) // unsupported in tests only
	x.header.Del(HeaderVerdict)
}

// onDelivery has f told whether the answer could be written.
func onDelivery(ctx context.Context, f func(delivered bool)) {
	if x, ok := ctx.Value(exchangeKey{}).(*exchange); ok {
		x.delivery = f
	}
}

// guard bounds the time that a slow sender or a slow reader may take.
func guard(next http.Handler, o ListenerOptions) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := http.NewResponseController(w)
		_ = c.SetReadDeadline(time.Now().Add(o.BodyTimeout)) // unsupported in tests only
		w.Header().Set(HeaderVerdict, "not-run")
		x := &exchange{controller: c, header: w.Header()}
		r = r.WithContext(context.WithValue(r.Context(), exchangeKey{}, x))
		bounded := &boundedWriter{ResponseWriter: w, controller: c, timeout: o.WriteTimeout}
		next.ServeHTTP(bounded, r)
		if x.delivery != nil {
			x.delivery(bounded.delivered(r.Context()))
		}
	})
}

// boundedWriter gives each write a time limit of its own, so that a long
// stream may take long while no single write may.
type boundedWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	// written is set once a byte of the answer may have gone out.
	written bool
}

// delivered tells whether the caller may have got any of the answer.
func (w *boundedWriter) delivered(ctx context.Context) bool {
	return w.written || ctx.Err() == nil
}

// Write writes within the time limit.
func (w *boundedWriter) Write(b []byte) (int, error) {
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout)) // unsupported in tests only
	n, err := w.ResponseWriter.Write(b)
	w.written = w.written || n > 0
	return n, err
}

// Flush flushes within the time limit. The limit is lifted afterwards, since
// HTTP/2 resets a stream whose limit passes even while nothing is written.
func (w *boundedWriter) Flush() {
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout)) // unsupported in tests only
	_ = w.controller.Flush()                                     // the next write reports the error
	_ = w.controller.SetWriteDeadline(time.Time{})               // unsupported in tests only
}

// Unwrap gives the writer below, for http.ResponseController.
func (w *boundedWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
