package ticketer

import (
	"fmt"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// State says what a call with a ticket gets.
type State uint8

// States of a redemption.
const (
	// StateDispatch lets this call, and only it, be dispatched.
	StateDispatch State = iota + 1
	// StateInProgress means that another call with the ticket is dispatched.
	StateInProgress
	// StateOutcome gives the outcome of the dispatched call.
	StateOutcome
	// StateAnswered means that the payload went to another call.
	StateAnswered
	// StateExpired means that the ticket was not used while it was valid.
	StateExpired
	// StateUnknown means that the issuer no longer knows the ticket.
	StateUnknown
	// StateMismatched means that the ticket is for another service or customer.
	StateMismatched
	// StateMalformed means that the text is no ticket.
	StateMalformed
	// StateForeign means that another incarnation issued the ticket.
	StateForeign
)

// String gives the state in kebab case.
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

// Holder names one call with a ticket, at the entry host that answers its
// caller.
type Holder struct {
	Host identifier.Incarnation
	Call uint64
}

// Outcome is what a dispatched call ended with: a payload or a failure.
type Outcome struct {
	Payload []byte
	Failure *classifier.Error
}

// Redemption is the answer to one call with a ticket.
type Redemption struct {
	State State
	// Outcome is set with StateOutcome.
	Outcome Outcome
	cause   error
}

// inProgressRetry is how long a caller waits before it asks again for the
// outcome of a call that is being dispatched.
const inProgressRetry = 100 * time.Millisecond

// Payload gives the kept payload, nil if there is none.
func (r Redemption) Payload() []byte {
	return r.Outcome.Payload
}

// Failure gives the failure that the call ends with; nil with StateDispatch
// and with a payload. VerdictNotRun means that no call with the ticket to
// this service was ever dispatched and that none will be.
func (r Redemption) Failure() *classifier.Error {
	switch r.State {
	case StateDispatch:
		return nil
	case StateOutcome:
		return r.Outcome.Failure
	case StateInProgress:
		return classifier.MayHaveRun(classifier.ReasonTicketUsed, inProgressRetry, "a call with this ticket is in progress")
	case StateAnswered:
		return classifier.Ran(classifier.ReasonTicketUsed, "the call with this ticket was answered")
	case StateExpired:
		return classifier.NotRun(classifier.ReasonTicketUnknown, 0, "ticket expired unused")
	case StateMismatched:
		return classifier.NotRun(classifier.ReasonBadRequest, 0, "ticket is for another service or customer")
	case StateMalformed:
		return classifier.NotRun(classifier.ReasonBadRequest, 0, "ticket can't be read: %w", r.cause)
	default:
		return classifier.MayHaveRun(classifier.ReasonTicketUnknown, 0, "ticket is not known to this host")
	}
}
