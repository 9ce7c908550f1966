package emulator

import (
	"errors"
	"fmt"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// Refusal is the reason in a RefusalDetail.
type Refusal string

// Reasons for which an engine refuses a request before admitting it.
const (
	RefusalMemoryFull    Refusal = "memory-full"
	RefusalSlotsFull     Refusal = "slots-full"
	RefusalLeaving       Refusal = "leaving"
	RefusalWrongRole     Refusal = "wrong-role"
	RefusalUnknownModel  Refusal = "unknown-model"
	RefusalStaleFence    Refusal = "stale-fence"
	RefusalUnknownHandle Refusal = "unknown-handle"
	RefusalExpiredHandle Refusal = "expired-handle"
)

var refusalCodes = map[Refusal]connect.Code{
	RefusalMemoryFull:    connect.CodeResourceExhausted,
	RefusalSlotsFull:     connect.CodeResourceExhausted,
	RefusalLeaving:       connect.CodeUnavailable,
	RefusalWrongRole:     connect.CodeFailedPrecondition,
	RefusalUnknownModel:  connect.CodeFailedPrecondition,
	RefusalStaleFence:    connect.CodeFailedPrecondition,
	RefusalUnknownHandle: connect.CodeNotFound,
	RefusalExpiredHandle: connect.CodeNotFound,
}

// errReset makes the HTTP handler abort the connection or stream.
var errReset = errors.New("connection reset by an injected fault")

func refusalError(r Refusal, format string, args ...any) error {
	e := connect.NewError(refusalCodes[r], fmt.Errorf(format, args...))
	detail, err := connect.NewErrorDetail(&enginewire.RefusalDetail{Reason: string(r)})
	if err == nil {
		e.AddDetail(detail)
	}
	return e
}

// RefusalOf returns the refusal reason in err, or "" if there is none.
func RefusalOf(err error) Refusal {
	e, ok := errors.AsType[*connect.Error](err)
	if !ok {
		return ""
	}
	for _, d := range e.Details() {
		value, err := d.Value()
		if err != nil {
			continue
		}
		if r, ok := value.(*enginewire.RefusalDetail); ok {
			return Refusal(r.GetReason())
		}
	}
	return ""
}

// invalidArgument returns the error for a malformed request.
func invalidArgument(format string, args ...any) error {
	return connect.NewError(connect.CodeInvalidArgument, fmt.Errorf(format, args...))
}
