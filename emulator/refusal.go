package emulator

import (
	"errors"
	"fmt"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// Refusal is the reason of a RefusalDetail.
type Refusal string

// Reasons why an engine refuses before it admits anything.
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

// errReset makes the HTTP handler cut the connection or stream.
var errReset = errors.New("connection reset by a fault")

func refusalError(r Refusal, format string, args ...any) error {
	e := connect.NewError(refusalCodes[r], fmt.Errorf(format, args...))
	detail, err := connect.NewErrorDetail(&enginewire.RefusalDetail{Reason: string(r)})
	if err == nil {
		e.AddDetail(detail)
	}
	return e
}

// RefusalOf gives the reason that err carries, and "" if it carries none.
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

// invalid gives the error for a malformed call.
func invalid(format string, args ...any) error {
	return connect.NewError(connect.CodeInvalidArgument, fmt.Errorf(format, args...))
}
