package messenger

import (
	"errors"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// encodeFailure turns a handler's error into its message. An error without a
// verdict may have run.
func encodeFailure(err error) *peerwire.Failure {
	e, ok := errors.AsType[*classifier.Error](err)
	if !ok {
		e = classifier.MayHaveRun(classifier.ReasonInternal, 0, "%w", err)
	}
	return &peerwire.Failure{
		Verdict:    uint8(e.Verdict),
		Reason:     string(e.Reason),
		RetryAfter: uint64(max(e.RetryAfter.Milliseconds(), 0)),
		Ticket:     e.Ticket,
		Message:    e.Message,
	}
}

func decodeFailure(payload []byte) (*classifier.Error, error) {
	var f peerwire.Failure
	if _, err := f.UnmarshalMsg(payload); err != nil {
		return nil, &MalformedError{Cause: err}
	}
	verdict := classifier.Verdict(f.Verdict)
	if verdict != classifier.VerdictNotRun && verdict != classifier.VerdictRan {
		verdict = classifier.VerdictMayHaveRun
	}
	return &classifier.Error{
		Verdict:    verdict,
		Reason:     classifier.Reason(f.Reason),
		RetryAfter: time.Duration(f.RetryAfter) * time.Millisecond,
		Ticket:     f.Ticket,
		Message:    f.Message,
	}, nil
}
