// Package converter converts between [*classifier.Error], which is used
// internally, and Connect errors, which are sent over the network.
//
// # Usage
//
// Handlers of the caller API return errors through [ToConnect], and clients
// decode them with [FromConnect]:
//
//	return nil, converter.ToConnect(err)
//	failure := converter.FromConnect(err)
//
// Clients of an endpoint decode errors with [FromEndpoint], which returns
// [classifier.VerdictNotRun] in two cases only: the endpoint refused before it
// admitted anything, or connecting to it failed, so that no part of the call
// was sent:
//
//	_, err := engine.Prefill(ctx, request)
//	failure := converter.FromEndpoint(err)
//
// A failed connection proves this only for a POST request sent by an
// http.Client that follows no redirects, since a redirect shows that the
// endpoint has seen the call. [HTTPClient] returns such a client.
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
	"github.com/jackdawthread/jackdawthread/common/inspector"
	"github.com/jackdawthread/jackdawthread/wire/callerwire"
)

// HeaderRetryAfter is set on errors that the caller may retry. Its value is in
// whole seconds, rounded up.
const HeaderRetryAfter = "Retry-After"

// ToConnect returns the Connect error for err, with a FailureDetail and, if the
// caller may retry, a Retry-After header. An error without a verdict is sent
// as VerdictMayHaveRun. ToConnect(nil) returns nil.
func ToConnect(err error) *connect.Error {
	if err == nil {
		return nil
	}
	failure := classify(err)
	connectErr := connect.NewError(CodeOf(failure), errors.New(failure.Message))
	detail, detailErr := connect.NewErrorDetail(toDetail(failure))
	if detailErr == nil { // fails only for invalid UTF-8 in the reason
		connectErr.AddDetail(detail)
	}
	if failure.RetryAfter > 0 {
		connectErr.Meta().Set(HeaderRetryAfter, ceilSeconds(failure.RetryAfter))
	}
	return connectErr
}

// FromConnect decodes the error of a call to the caller API. An error without
// a FailureDetail has VerdictNotRun only if the connection could not be
// established. FromConnect(nil) returns nil.
func FromConnect(err error) *classifier.Error {
	if err == nil {
		return nil
	}
	if e, ok := errors.AsType[*classifier.Error](err); ok {
		return e
	}
	if detail, ok := findDetail[*callerwire.FailureDetail](err); ok {
		return fromDetail(detail, err)
	}
	failure := fromTransport(err, classifier.ReasonHostUnreachable)
	failure.RetryAfter = retryAfterOf(err)
	return failure
}

// classify returns the *classifier.Error in err's chain, or builds one.
func classify(err error) *classifier.Error {
	if e, ok := errors.AsType[*classifier.Error](err); ok {
		return e
	}
	switch {
	case errors.Is(err, context.Canceled):
		return classifier.MayHaveRun(classifier.ReasonCanceled, 0, "request was canceled: %w", err)
	case errors.Is(err, context.DeadlineExceeded):
		return classifier.MayHaveRun(classifier.ReasonDeadline, 0, "deadline exceeded: %w", err)
	default:
		return classifier.MayHaveRun(classifier.ReasonInternal, 0, "internal error: %w", err)
	}
}

func toDetail(e *classifier.Error) *callerwire.FailureDetail {
	return &callerwire.FailureDetail{
		Verdict:      toVerdict(e.Verdict),
		RetryAfterMs: ceilMilliseconds(e.RetryAfter),
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

// fromVerdict decodes a verdict. An unrecognized one proves nothing and is
// decoded as VerdictMayHaveRun.
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

// retryAfterOf returns the Retry-After header of a response without a
// FailureDetail, such as one from a load balancer, or 0 if there is none.
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

func ceilSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// ceilMilliseconds rounds up, so that a positive duration stays positive.
func ceilMilliseconds(d time.Duration) uint32 {
	n := (d + time.Millisecond - 1) / time.Millisecond
	return uint32(min(max(n, 0), math.MaxUint32))
}

// HTTPClient returns a client for calls to endpoints. It follows no redirects, and returns no
// broken responses.
func HTTPClient(t http.RoundTripper) *http.Client {
	return &http.Client{
		Transport: inspector.Transport{Base: t},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
