// Package classifier defines errors that state whether the failed request may
// have run at an endpoint, so that callers and retry logic can act on them.
//
// # Usage
//
// A component that fails a request returns an [*Error]:
//
//	return classifier.NotRun("queue-full", retryAfter, "queue of service %q is full", service)
//
// A component that receives an error reads its verdict. An error without one
// counts as [VerdictMayHaveRun], since a timeout, a connection reset or a host
// failure never proves that nothing ran:
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
	// VerdictUnknown is the zero value. Packages may use it internally but
	// never pass it on.
	VerdictUnknown Verdict = iota
	// VerdictNotRun means that provably no endpoint ran the request.
	VerdictNotRun
	// VerdictMayHaveRun means that an endpoint may have run it.
	VerdictMayHaveRun
	// VerdictRan means that an endpoint ran it.
	VerdictRan
)

// String returns the verdict in kebab case.
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

// Reason is a short cause in kebab case that stays stable across releases.
type Reason string

// Reasons that are reported to callers.
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
	ReasonEndpointExcluded Reason = "endpoint-excluded"
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
	ReasonQuarantined      Reason = "quarantined"
	ReasonMemory           Reason = "memory"
)

// Error is a failure with its verdict.
type Error struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter is how long to wait before a retry; 0 means that a retry
	// won't help.
	RetryAfter time.Duration
	// Ticket is a fresh ticket, set with ReasonTicketRequired.
	Ticket identifier.Ticket
	// Cause is the underlying error; it may be nil.
	Cause error
	// Message is the human-readable text.
	Message string
}

// Error returns the message, the reason and the verdict.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s, %s)", e.Message, e.Reason, e.Verdict)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error {
	return e.Cause
}

// NotRun builds an error for a request that provably didn't run.
func NotRun(r Reason, retryAfter time.Duration, format string, args ...any) *Error {
	return newError(VerdictNotRun, r, retryAfter, format, args)
}

// MayHaveRun builds an error for a request that may have run.
func MayHaveRun(r Reason, retryAfter time.Duration, format string, args ...any) *Error {
	return newError(VerdictMayHaveRun, r, retryAfter, format, args)
}

// Ran builds an error for a request that an endpoint ran.
func Ran(r Reason, format string, args ...any) *Error {
	return newError(VerdictRan, r, 0, format, args)
}

func newError(v Verdict, r Reason, retryAfter time.Duration, format string, args []any) *Error {
	formatted := fmt.Errorf(format, args...)
	return &Error{
		Verdict:    v,
		Reason:     r,
		RetryAfter: retryAfter,
		Cause:      errors.Unwrap(formatted),
		Message:    formatted.Error(),
	}
}

// Jitter returns a random duration between d/2 and 3d/2, so that callers that
// were refused at the same time don't all retry at the same time.
func Jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d+1)
}

// Of returns the *Error in err's chain. An error without one is wrapped in an
// Error with VerdictMayHaveRun; nil stays nil.
func Of(err error) *Error {
	if err == nil {
		return nil
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e
	}
	return MayHaveRun(ReasonInternal, 0, "unclassified error: %w", err)
}

// VerdictOf returns the verdict in err's chain, VerdictMayHaveRun for an error
// without one, and VerdictRan for nil.
func VerdictOf(err error) Verdict {
	if err == nil {
		return VerdictRan
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Verdict
	}
	return VerdictMayHaveRun
}

// Worst combines the verdicts of the parts of one request: if any part may
// have run, so may the request.
func Worst(a, b Verdict) Verdict {
	return max(a, b)
}
