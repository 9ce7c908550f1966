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

// FromEndpoint gives the failure that a call to an endpoint ended with. Its
// verdict is VerdictNotRun only where the error carries a RefusalDetail or
// where no connection was made. For nil it gives nil.
func FromEndpoint(err error) *classifier.Error {
	if err == nil {
		return nil
	}
	if e, ok := errors.AsType[*classifier.Error](err); ok {
		return e
	}
	if reason, ok := Refusal(err); ok {
		return classifier.NotRun(classifier.ReasonEndpointRefused, 0, "endpoint refused: %s: %w", reason, err)
	}
	failure := fromTransport(err, classifier.ReasonEndpointFailed)
	if failure.Verdict == classifier.VerdictMayHaveRun && !endedHere(err) {
		failure.Reason = classifier.ReasonEndpointFailed
	}
	return failure
}

// endedHere tells whether err comes from the end of the call's own context.
// The codes alone don't tell: an endpoint may answer with them, and Connect
// gives CodeCanceled to a connection that the other side has reset.
func endedHere(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// CanceledAtEndpoint tells whether an endpoint answered that the attempt was
// canceled at it. The endpoint works; another entry host took the attempt for
// one that nobody waits for.
func CanceledAtEndpoint(err error) bool {
	return connect.CodeOf(err) == connect.CodeCanceled && connect.IsWireError(err)
}

// Refusal gives the reason with which an endpoint refused before it admitted
// anything, for example "memory-full"; ok is false for all other errors.
func Refusal(err error) (reason string, ok bool) {
	detail, ok := detailOf[*enginewire.RefusalDetail](err)
	if !ok {
		return "", false
	}
	return detail.GetReason(), true
}

// fromTransport classifies an error that carries no detail of ours.
func fromTransport(err error, reason classifier.Reason) *classifier.Error {
	switch {
	case neverConnected(err):
		return classifier.NotRun(reason, 0, "no connection was made: %w", err)
	case errors.Is(err, context.Canceled), connect.CodeOf(err) == connect.CodeCanceled:
		return classifier.MayHaveRun(classifier.ReasonCanceled, 0, "call was canceled: %w", err)
	case errors.Is(err, context.DeadlineExceeded), connect.CodeOf(err) == connect.CodeDeadlineExceeded:
		return classifier.MayHaveRun(classifier.ReasonDeadline, 0, "deadline passed: %w", err)
	default:
		return classifier.MayHaveRun(reason, 0, "call failed: %w", err)
	}
}

// neverConnected tells whether err shows that dialing failed. The transport
// of net/http dials before it hands over any byte of a request, and sends a
// POST request a second time only if nothing of it was written before.
func neverConnected(err error) bool {
	dial, ok := errors.AsType[*net.OpError](err)
	return ok && dial.Op == "dial"
}

// detailOf finds the first detail of type D in a Connect error.
func detailOf[D proto.Message](err error) (detail D, ok bool) {
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
