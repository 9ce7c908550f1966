package converter

import (
	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/common/classifier"
)

// codes holds the Connect code of each reason whose code doesn't depend on
// the verdict.
var codes = map[classifier.Reason]connect.Code{
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

// CodeOf gives the Connect code of a failure. CodeUnavailable, which general
// clients and balancers retry by themselves, is given only where it is proved
// that the request did not run.
func CodeOf(e *classifier.Error) connect.Code {
	if code, ok := codes[e.Reason]; ok {
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
