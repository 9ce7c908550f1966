// Package converter translates failures between the form that the system's
// parts use, [*classifier.Error], and the form that Connect carries.
//
// # Usage
//
// A handler of the callers' interface answers with [ToConnect], and a client
// of it reads the failure with [FromConnect]:
//
//	return nil, converter.ToConnect(err)
//	failure := converter.FromConnect(err)
//
// A caller of an endpoint reads the failure with [FromEndpoint], which gives
// [classifier.VerdictNotRun] in two cases only: the endpoint refused before it
// admitted anything, or no connection to it was made, so that nothing of the
// call was handed to the transport:
//
//	_, err := engine.Prefill(ctx, request)
//	failure := converter.FromEndpoint(err)
//
// The proof from a connection that was never made holds for a POST request
// sent by an http.Client that follows no redirects, since a redirect shows
// that the endpoint has seen the call. [HTTPClient] gives such a client.
package converter

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/wire/callerwire"
)

// HeaderRetryAfter is the header of failures after which the caller may come
// back; its value is in whole seconds, rounded up.
const HeaderRetryAfter = "Retry-After"

// ToConnect gives the Connect error for err, with a FailureDetail and, where
// the caller may come back, a Retry-After header. An error without a verdict
// counts as one after which the request may have run. For nil it gives nil.
func ToConnect(err error) *connect.Error {
	if err == nil {
		return nil
	}
	failure := failureOf(err)
	answer := connect.NewError(CodeOf(failure), errors.New(failure.Message))
	detail, detailErr := connect.NewErrorDetail(toDetail(failure))
	if detailErr == nil { // it can fail for invalid UTF-8 in the reason only
		answer.AddDetail(detail)
	}
	if failure.RetryAfter > 0 {
		answer.Meta().Set(HeaderRetryAfter, wholeSeconds(failure.RetryAfter))
	}
	return answer
}

// FromConnect gives the failure that a call of the callers' interface ended
// with. An error without a FailureDetail gives VerdictNotRun only where no
// connection was made. For nil it gives nil.
func FromConnect(err error) *classifier.Error {
	if err == nil {
		return nil
	}
	if e, ok := errors.AsType[*classifier.Error](err); ok {
		return e
	}
	if detail, ok := detailOf[*callerwire.FailureDetail](err); ok {
		return fromDetail(detail, err)
	}
	failure := fromTransport(err, classifier.ReasonHostUnreachable)
	failure.RetryAfter = retryAfterOf(err)
	return failure
}

// failureOf finds or makes the classified failure of err.
func failureOf(err error) *classifier.Error {
	if e, ok := errors.AsType[*classifier.Error](err); ok {
		return e
	}
	switch {
	case errors.Is(err, context.Canceled):
		return classifier.MayHaveRun(classifier.ReasonCanceled, 0, "request was canceled: %w", err)
	case errors.Is(err, context.DeadlineExceeded):
		return classifier.MayHaveRun(classifier.ReasonDeadline, 0, "deadline passed: %w", err)
	default:
		return classifier.MayHaveRun(classifier.ReasonInternal, 0, "internal failure: %w", err)
	}
}

func toDetail(e *classifier.Error) *callerwire.FailureDetail {
	return &callerwire.FailureDetail{
		Verdict:      toVerdict(e.Verdict),
		RetryAfterMs: milliseconds(e.RetryAfter),
		Ticket:       string(e.Ticket),
		Reason:       string(e.Reason),
	}
}

func fromDetail(d *callerwire.FailureDetail, err error) *classifier.Error {
	return &classifier.Error{
		Verdict:    fromVerdict(d.GetVerdict()),
		Reason:     classifier.Reason(d.GetReason()),
		RetryAfter: time.Duration(d.GetRetryAfterMs()) * time.Millisecond,
		Ticket:     identifier.Ticket(d.GetTicket()),
		Cause:      err,
		Message:    messageOf(err),
	}
}

func toVerdict(v classifier.Verdict) callerwire.Verdict {
	switch v {
	case classifier.VerdictNotRun:
		return callerwire.Verdict_VERDICT_NOT_RUN
	case classifier.VerdictRan:
		return callerwire.Verdict_VERDICT_RAN
	default:
		return callerwire.Verdict_VERDICT_MAY_HAVE_RUN
	}
}

// fromVerdict reads a verdict; one that it doesn't know proves nothing.
func fromVerdict(v callerwire.Verdict) classifier.Verdict {
	switch v {
	case callerwire.Verdict_VERDICT_NOT_RUN:
		return classifier.VerdictNotRun
	case callerwire.Verdict_VERDICT_RAN:
		return classifier.VerdictRan
	default:
		return classifier.VerdictMayHaveRun
	}
}

func messageOf(err error) string {
	if e, ok := errors.AsType[*connect.Error](err); ok {
		return e.Message()
	}
	return err.Error()
}

// retryAfterOf reads the Retry-After header of an answer from something other
// than an entry host, such as a balancer; 0 when there is none.
func retryAfterOf(err error) time.Duration {
	e, ok := errors.AsType[*connect.Error](err)
	if !ok {
		return 0
	}
	seconds, parseErr := strconv.ParseUint(e.Meta().Get(HeaderRetryAfter), 10, 31)
	if parseErr != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func wholeSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// milliseconds rounds up, so that a hint above zero stays above zero.
func milliseconds(d time.Duration) uint32 {
	n := (d + time.Millisecond - 1) / time.Millisecond
	return uint32(min(max(n, 0), math.MaxUint32))
}

// HTTPClient gives a client for calls to endpoints that follows no redirects.
func HTTPClient(t http.RoundTripper) *http.Client {
	return &http.Client{
		Transport: t,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
