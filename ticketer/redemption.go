package ticketer

import (
	"fmt"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// State is the result of redeeming a ticket.
type State uint8

// States of a redemption.
const (
	// StateDispatch means that this call, and no other, must be dispatched.
	StateDispatch State = iota + 1
	// StateInProgress means that another call with the ticket is running.
	StateInProgress
	// StateOutcome means that the outcome of the dispatched call is available.
	StateOutcome
	// StateAnswered means that the payload was delivered to another call, is
	// reserved for one, or was not kept.
	StateAnswered
	// StateExpired means that the ticket's validity ended before it was used.
	StateExpired
	// StateUnknown means that the issuer has no record of the ticket, which may
	// have been removed.
	StateUnknown
	// StateMismatched means that the ticket is for another service or customer.
	StateMismatched
	// StateMalformed means that the string is not in the format of a ticket.
	StateMalformed
	// StateForeign means that another incarnation issued the ticket.
	StateForeign
)

// String returns the state's name in kebab case.
func (s State) String() string {
	names := [...]string{
		StateDispatch:   "dispatch",
		StateInProgress: "in-progress",
		StateOutcome:    "outcome",
		StateAnswered:   "answered",
		StateExpired:    "expired",
		StateUnknown:    "unknown",
		StateMismatched: "mismatched",
		StateMalformed:  "malformed",
		StateForeign:    "foreign",
	}
	if int(s) < len(names) && s > 0 {
		return names[s]
	}
	return fmt.Sprintf("state-%d", uint8(s))
}

// Holder identifies one call with a ticket at the entry host that received it. A
// ticket's payload is reserved for one holder at a time.
type Holder struct {
	Host identifier.Incarnation
	Call uint64
}

// Outcome is the result of a dispatched call: a payload or a failure.
type Outcome struct {
	Payload []byte
	Failure *classifier.Error
}

// Redemption tells how to proceed with one call with a ticket.
type Redemption struct {
	State State
	// Outcome is set with StateOutcome.
	Outcome Outcome
	cause   error
}

// inProgressRetryAfter is the time after which a caller should call again for the
// outcome of a running call.
const inProgressRetryAfter = 100 * time.Millisecond

// Payload returns the kept payload, or nil if there is none.
func (r Redemption) Payload() []byte {
	return r.Outcome.Payload
}

// Failure returns the failure of the call, or nil for StateDispatch and for an
// outcome with a payload. VerdictNotRun means that no call with the ticket to
// this service was dispatched and that none will be.
func (r Redemption) Failure() *classifier.Error {
	switch r.State {
	case StateDispatch:
		return nil
	case StateOutcome:
		return r.Outcome.Failure
	case StateInProgress:
		return classifier.MayHaveRun(classifier.ReasonTicketUsed, inProgressRetryAfter, "a call with this ticket is in progress")
	case StateAnswered:
		return classifier.Ran(classifier.ReasonTicketUsed, "the call with this ticket was answered")
	case StateExpired:
		return classifier.NotRun(classifier.ReasonTicketUnknown, 0, "ticket expired unused")
	case StateMismatched:
		return classifier.NotRun(classifier.ReasonBadRequest, 0, "ticket is for another service or customer")
	case StateMalformed:
		return classifier.NotRun(classifier.ReasonBadRequest, 0, "ticket is malformed: %w", r.cause)
	default:
		return classifier.MayHaveRun(classifier.ReasonTicketUnknown, 0, "ticket is not known to this host")
	}
}
