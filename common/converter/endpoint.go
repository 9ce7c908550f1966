package converter

import (
	"context"
	"errors"
	"net"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// FromEndpoint decodes the error of a call to an endpoint. The verdict is
// VerdictNotRun only if the error has a RefusalDetail or the connection could
// not be established. FromEndpoint(nil) returns nil.
func FromEndpoint(err error) *classifier.Error {
	if err == nil {
		return nil
	}
	if e, ok := errors.AsType[*classifier.Error](err); ok {
		return e
	}
	if reason, ok := Refusal(err); ok {
		return classifier.NotRun(classifier.ReasonEndpointRefused, 0, "endpoint refused the request: %s: %w", reason, err)
	}
	failure := fromTransport(err, classifier.ReasonEndpointFailed)
	if failure.Verdict == classifier.VerdictMayHaveRun && !isContextError(err) {
		failure.Reason = classifier.ReasonEndpointFailed
	}
	return failure
}

// isContextError reports whether err comes from the call's own context. The
// Connect code is not enough: an endpoint may respond with the same code, and
// Connect reports a connection reset by the peer as CodeCanceled.
func isContextError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// CanceledAtEndpoint reports whether the endpoint itself canceled the attempt. The
// endpoint is healthy; another entry host considered the attempt orphaned and
// canceled it.
func CanceledAtEndpoint(err error) bool {
	return connect.CodeOf(err) == connect.CodeCanceled && connect.IsWireError(err)
}

// Refusal returns the reason why an endpoint refused a request before admitting
// any of it, for example "memory-full". ok is false for all other errors.
func Refusal(err error) (reason string, ok bool) {
	detail, ok := findDetail[*enginewire.RefusalDetail](err)
	if !ok {
		return "", false
	}
	return detail.GetReason(), true
}

// fromTransport classifies an error that carries neither a FailureDetail nor a
// RefusalDetail.
func fromTransport(err error, reason classifier.Reason) *classifier.Error {
	switch {
	case isDialError(err):
		return classifier.NotRun(reason, 0, "failed to connect: %w", err)
	case errors.Is(err, context.Canceled), connect.CodeOf(err) == connect.CodeCanceled:
		return classifier.MayHaveRun(classifier.ReasonCanceled, 0, "call was canceled: %w", err)
	case errors.Is(err, context.DeadlineExceeded), connect.CodeOf(err) == connect.CodeDeadlineExceeded:
		return classifier.MayHaveRun(classifier.ReasonDeadline, 0, "deadline exceeded: %w", err)
	default:
		return classifier.MayHaveRun(reason, 0, "call failed: %w", err)
	}
}

// isDialError reports whether err shows that dialing failed. The net/http
// transport dials before it writes any byte of a request, and resends a POST
// request only if none of it has been written.
func isDialError(err error) bool {
	dial, ok := errors.AsType[*net.OpError](err)
	return ok && dial.Op == "dial"
}

// findDetail returns the first detail of type D in a Connect error.
func findDetail[D proto.Message](err error) (detail D, ok bool) {
	e, isConnect := errors.AsType[*connect.Error](err)
	if !isConnect {
		return detail, false
	}
	for _, d := range e.Details() {
		value, valueErr := d.Value()
		if valueErr != nil {
			continue
		}
		if detail, ok = value.(D); ok {
			return detail, true
		}
	}
	return detail, false
}
