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
	classifier.ReasonTicketRequired:  connect.CodeFailedPrecondition,
	classifier.ReasonTicketUsed:      connect.CodeAlreadyExists,
	classifier.ReasonTakenOver:       connect.CodeAborted,
	classifier.ReasonInternal:        connect.CodeInternal,
}

// CodeOf returns the Connect code of a failure. Generic clients and load
// balancers retry CodeUnavailable and CodeResourceExhausted, which are 503 and 429
// over HTTP, on their own, so they are used only if the request provably did not
// run.
func CodeOf(e *classifier.Error) connect.Code {
	if code, ok := codeByReason[e.Reason]; ok {
		return code
	}
	if e.Verdict != classifier.VerdictNotRun {
		return connect.CodeAborted
	}
	switch e.Reason {
	case classifier.ReasonTicketUnknown:
		return connect.CodeFailedPrecondition
	case classifier.ReasonQueueFull, classifier.ReasonLimit:
		return connect.CodeResourceExhausted
	default:
		return connect.CodeUnavailable
	}
}
