package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
)

// statusError is a client error with its HTTP status.
type statusError struct {
	status int
	cause  error
}

func (s *statusError) Error() string {
	return fmt.Sprintf("%d: %v", s.status, s.cause)
}

func (s *statusError) Unwrap() error {
	return s.cause
}

// fail writes the final response to a request that failed on this host.
func (e *exchange) fail(err error) {
	if s, ok := errors.AsType[*statusError](err); ok {
		e.observation.Err = err
		e.observation.Status = s.status
		if s.status != http.StatusNotFound {
			e.writer.Header().Set("Connection", "close")
		}
		e.respondEmpty(s.status)
		return
	}
	c := classifier.Of(err)
	if e.mayHaveRun && c.Verdict == classifier.VerdictNotRun {
		c = classifier.MayHaveRun(c.Reason, 0, "an earlier attempt may have run: %w", err)
	}
	if c.Verdict == classifier.VerdictNotRun {
		e.refuse(c)
		return
	}
	e.observation.Err = c
	status := http.StatusBadGateway
	if errors.Is(err, errDeadline) || c.Reason == classifier.ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	e.observation.Status = status
	e.respondEmpty(status)
}

// refuse responds with a status that promises that the request has not run, and sets
// Retry-After.
func (e *exchange) refuse(c *classifier.Error) {
	e.refundQuota()
	status := refusalStatus(c.Reason)
	e.observation.Err = c
	e.observation.Status = status
	if c.RetryAfter > 0 {
		e.writer.Header().Set("Retry-After", strconv.FormatFloat(c.RetryAfter.Seconds(), 'f', 3, 64))
	}
	e.respondEmpty(status)
}

// refusalStatus returns the status of a request that did not run.
func refusalStatus(r classifier.Reason) int {
	if r == classifier.ReasonLimit {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

func (e *exchange) respondEmpty(status int) {
	h := e.writer.Header()
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", "0")
	if e.forwarder.stop.Load() != nil { // it may have begun since the request came
		h.Set("Connection", "close")
	}
	if e.observation.ID != "" {
		e.forwarder.deps.Dialect.Identify(h, e.observation.ID)
	}
	e.writer.WriteHeader(status)
}

// contextError returns an error that explains why a request's context ended. Its
// verdict is v.
func contextError(ctx context.Context, v classifier.Verdict) *classifier.Error {
	cause := context.Cause(ctx)
	if errors.Is(cause, errDeadline) {
		return &classifier.Error{
			Verdict:    v,
			Reason:     classifier.ReasonDeadline,
			RetryAfter: classifier.Jitter(deadlineRetryAfter),
			Cause:      cause,
			Message:    "deadline exceeded",
		}
	}
	canceled := &classifier.Error{Verdict: v, Reason: classifier.ReasonCanceled, Cause: cause, Message: "request canceled by the caller"}
	if !errors.Is(cause, context.Canceled) {
		canceled.Message = "request canceled: " + cause.Error()
		canceled.RetryAfter = classifier.Jitter(stoppingRetryAfter)
	}
	return canceled
}

// deadlineRetryAfter is the Retry-After hint for requests that exceeded their
// deadline.
const deadlineRetryAfter = 200 * time.Millisecond
