// Package classifier says of each failure whether the request behind it may
// have run at an endpoint, so that callers and retries can act on it.
//
// # Usage
//
// A part that fails a request returns an [*Error]:
//
//	return classifier.NotRun("queue-full", retryAfter, "queue of service %q is full", service)
//
// A part that receives an error asks for its verdict; an error that carries
// none counts as [MayHaveRun], since a time-out, a reset or a lost host never
// proves that nothing ran:
//
//	if classifier.VerdictOf(err) == classifier.VerdictNotRun { ... }
package classifier

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Verdict says whether a failed request may have run.
type Verdict uint8

const (
	// VerdictUnknown is the zero value; it never leaves this package's users.
	VerdictUnknown Verdict = iota
	// VerdictNotRun means that it is proved that no endpoint ran the request.
	VerdictNotRun
	// VerdictMayHaveRun means that an endpoint may have run it.
	VerdictMayHaveRun
	// VerdictRan means that an endpoint ran it.
	VerdictRan
)

// String gives the verdict in kebab case.
func (v Verdict) String() string {
	switch v {
	case VerdictNotRun:
		return "not-run"
	case VerdictMayHaveRun:
		return "may-have-run"
	case VerdictRan:
		return "ran"
	default:
		return "unknown"
	}
}

// Reason is a short cause in kebab case, stable over releases.
type Reason string

// Reasons that callers see.
const (
	ReasonBadRequest       Reason = "bad-request"
	ReasonUnknownService   Reason = "unknown-service"
	ReasonUnknownCustomer  Reason = "unknown-customer"
	ReasonDeadline         Reason = "deadline"
	ReasonCanceled         Reason = "canceled"
	ReasonQueueFull        Reason = "queue-full"
	ReasonLimit            Reason = "limit"
	ReasonNoEndpoint       Reason = "no-endpoint"
	ReasonEndpointFailed   Reason = "endpoint-failed"
	ReasonEndpointRefused  Reason = "endpoint-refused"
	ReasonHostUnreachable  Reason = "host-unreachable"
	ReasonTicketRequired   Reason = "ticket-required"
	ReasonTicketUnknown    Reason = "ticket-unknown"
	ReasonTicketUsed       Reason = "ticket-used"
	ReasonTooLarge         Reason = "too-large"
	ReasonStopping         Reason = "stopping"
	ReasonNotReady         Reason = "not-ready"
	ReasonTakenOver        Reason = "taken-over"
	ReasonInternal         Reason = "internal"
	ReasonAllocatorUnknown Reason = "allocator-unknown"
)

// Error is a failure with its verdict.
type Error struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter says when to come back; 0 means that it won't help.
	RetryAfter time.Duration
	// Ticket is a fresh ticket, set with ReasonTicketRequired.
	Ticket identifier.Ticket
	// Cause is the underlying error; it may be nil.
	Cause error
	// Message is the text for people.
	Message string
}

// Error gives the message, the reason and the verdict.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s, %s)", e.Message, e.Reason, e.Verdict)
}

// Unwrap gives the underlying error.
func (e *Error) Unwrap() error {
	return e.Cause
}

// NotRun builds a failure for which it is proved that nothing ran.
func NotRun(r Reason, retryAfter time.Duration, format string, args ...any) *Error {
	return build(VerdictNotRun, r, retryAfter, format, args)
}

// MayHaveRun builds a failure after which the request may have run.
func MayHaveRun(r Reason, retryAfter time.Duration, format string, args ...any) *Error {
	return build(VerdictMayHaveRun, r, retryAfter, format, args)
}

// Ran builds a failure of a request that an endpoint ran.
func Ran(r Reason, format string, args ...any) *Error {
	return build(VerdictRan, r, 0, format, args)
}

func build(v Verdict, r Reason, retryAfter time.Duration, format string, args []any) *Error {
	text := fmt.Errorf(format, args...)
	return &Error{
		Verdict:    v,
		Reason:     r,
		RetryAfter: retryAfter,
		Cause:      errors.Unwrap(text),
		Message:    text.Error(),
	}
}

// Spread draws a time around d, by half of it to either side, so that callers
// that were refused together don't come back together.
func Spread(d time.Duration) time.Duration {
	return d/2 + rand.N(d+1)
}

// Of gives the failure that err carries. An error without one becomes a
// failure after which the request may have run; nil stays nil.
func Of(err error) *Error {
	if err == nil {
		return nil
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e
	}
	return MayHaveRun(ReasonInternal, 0, "unclassified failure: %w", err)
}

// VerdictOf gives the verdict that err carries, and VerdictMayHaveRun for an
// error that carries none. For nil it gives VerdictRan.
func VerdictOf(err error) Verdict {
	if err == nil {
		return VerdictRan
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Verdict
	}
	return VerdictMayHaveRun
}

// Worst joins the verdicts of the parts of one request: if any part may have
// run, so may the request.
func Worst(a, b Verdict) Verdict {
	return max(a, b)
}
