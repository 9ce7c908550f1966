package converter

import (
	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/common/classifier"
)

// codeByReason maps each reason whose Connect code doesn't depend on the
// verdict to that code.
var codeByReason = map[classifier.Reason]connect.Code{
	classifier.ReasonBadRequest:      connect.CodeInvalidArgument,
	classifier.ReasonTooLarge:        connect.CodeInvalidArgument,
	classifier.ReasonUnknownService:  connect.CodeNotFound,
	classifier.ReasonUnknownCustomer: connect.CodePermissionDenied,
	classifier.ReasonDeadline:        connect.CodeDeadlineExceeded,
	classifier.ReasonCanceled:        connect.CodeCanceled,
	classifier.ReasonQueueFull:       connect.CodeResourceExhausted,
	classifier.ReasonLimit:           connect.CodeResourceExhausted,
	classifier.ReasonTicketRequired:  connect.CodeFailedPrecondition,
	classifier.ReasonTicketUsed:      connect.CodeAlreadyExists,
	classifier.ReasonTakenOver:       connect.CodeAborted,
	classifier.ReasonInternal:        connect.CodeInternal,
}

// CodeOf returns the Connect code of a failure. Generic clients and load
// balancers retry CodeUnavailable on their own, so it is used only if the
// request provably did not run.
func CodeOf(e *classifier.Error) connect.Code {
	if code, ok := codeByReason[e.Reason]; ok {
		return code
	}
	if e.Verdict != classifier.VerdictNotRun {
		return connect.CodeAborted
	}
	if e.Reason == classifier.ReasonTicketUnknown {
		return connect.CodeFailedPrecondition
	}
	return connect.CodeUnavailable
}
