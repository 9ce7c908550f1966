package messenger

import (
	"errors"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// encodeFailure converts a handler's error to its wire form. An error without a
// verdict is sent as MayHaveRun.
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

// decodeFailure decodes an error sent by a peer. Unknown verdicts become
// MayHaveRun.
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
