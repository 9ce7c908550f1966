// Package checker decides whether a recorded run kept the system's promises.
//
// # Usage
//
// A test or the demo records what callers were told and what endpoints ran,
// and then has the history checked:
//
//	r := checker.NewRecorder()
//	done := r.Invoke(checker.Call{Key: "lock-7", Once: true, Expected: confirmation}, time.Now())
//	done(checker.ResultOf(err), payload, time.Now())
//	r.Execute(checker.Execution{Key: "lock-7", At: ran})
//	violations := checker.Check(r.History())
//
// The calls and executions of one [Key] are checked by porcupine against a
// model of one request: it runs at most once if it must, it is answered whole
// at most once and only after it ran, and no part of it runs if a caller was
// told that it was not run. Further functions check invariants of the fleet:
// [CheckMemory], [CheckLeaving] and [CheckRevisions].
//
// Times are those of one clock; the calls of one key have to be recorded with
// the same clock as its executions.
package checker

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
)

// Key names what may be answered once: a ticket or a request.
type Key string

// Result is what a caller was told.
type Result uint8

// Results.
const (
	// ResultUnfinished means that the caller was told nothing.
	ResultUnfinished Result = iota
	// ResultAnswered means that the caller got the whole answer.
	ResultAnswered
	// ResultNotRun, ResultMayHaveRun and ResultRan are the verdicts.
	ResultNotRun
	ResultMayHaveRun
	ResultRan
)

// ResultOf gives the result of a call that ended with err.
func ResultOf(err error) Result {
	if err == nil {
		return ResultAnswered
	}
	switch classifier.VerdictOf(err) {
	case classifier.VerdictNotRun:
		return ResultNotRun
	case classifier.VerdictRan:
		return ResultRan
	default:
		return ResultMayHaveRun
	}
}

// Call is one caller's call.
type Call struct {
	Key Key
	// Once is set for calls that must run at most once.
	Once     bool
	Invoked  time.Time
	Returned time.Time // unset for ResultUnfinished
	Result   Result
	Answer   []byte
	// Expected is the answer that the endpoints give; nil: not compared.
	Expected []byte
}

// Execution is work that an endpoint admitted for a call.
type Execution struct {
	Key Key
	At  time.Time
}

// History is a recorded run.
type History struct {
	Calls      []Call
	Executions []Execution
}

// Promise names what a violation breaks, in kebab case.
type Promise string

// Promises.
const (
	PromiseRunsOnce      Promise = "runs-at-most-once"
	PromiseNotRun        Promise = "not-run-means-not-run"
	PromiseAnsweredOnce  Promise = "answered-at-most-once"
	PromiseOwnAnswer     Promise = "whole-own-answer"
	PromiseRan           Promise = "ran-means-ran"
	PromiseOrder         Promise = "order-of-events"
	PromiseMemory        Promise = "no-memory-without-caller"
	PromiseLeaving       Promise = "no-work-for-leaving"
	PromiseRevisions     Promise = "revisions-never-revert"
	PromiseInForce       Promise = "in-force-everywhere"
	PromiseUndecided     Promise = "undecided"
	PromiseKnownRequests Promise = "no-run-without-call"
)

// Violation is one broken promise.
type Violation struct {
	Promise Promise
	Subject string
	Detail  string
}

// String gives the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: %s", v.Promise, v.Subject, v.Detail)
}

// request is the part of a history that concerns one key.
type request struct {
	key        Key
	calls      []Call
	executions []Execution
}

// Check gives the violations of the promises about single requests, sorted by
// key; none means that the history is good.
func Check(h History) []Violation {
	var violations []Violation
	requests := split(h)
	for _, key := range slices.Sorted(maps.Keys(requests)) {
		violations = append(violations, requests[key].check()...)
	}
	return violations
}

func split(h History) map[Key]*request {
	requests := make(map[Key]*request)
	at := func(key Key) *request {
		if requests[key] == nil {
			requests[key] = &request{key: key}
		}
		return requests[key]
	}
	for _, c := range h.Calls {
		r := at(c.Key)
		r.calls = append(r.calls, c)
	}
	for _, e := range h.Executions {
		r := at(e.Key)
		r.executions = append(r.executions, e)
	}
	return requests
}

func (r *request) check() []Violation {
	violations := r.checkAnswers()
	if len(r.calls) == 0 {
		return append(violations, r.violation(PromiseKnownRequests, "%d executions without a call", len(r.executions)))
	}
	if r.once() {
		return append(violations, r.checkOnce()...)
	}
	return append(violations, r.checkRepeatable()...)
}

// once tells whether the request must run at most once.
func (r *request) once() bool {
	return slices.ContainsFunc(r.calls, func(c Call) bool { return c.Once })
}

func (r *request) violation(p Promise, format string, args ...any) Violation {
	return Violation{Promise: p, Subject: string(r.key), Detail: fmt.Sprintf(format, args...)}
}

// checkAnswers compares the answers with what the endpoints give.
func (r *request) checkAnswers() []Violation {
	var violations []Violation
	for _, c := range r.calls {
		if c.Result == ResultAnswered && c.Expected != nil && !bytes.Equal(c.Answer, c.Expected) {
			violations = append(violations, r.violation(PromiseOwnAnswer,
				"got %d bytes, want %d; first difference at byte %d", len(c.Answer), len(c.Expected), difference(c.Answer, c.Expected)))
		}
	}
	return violations
}

// difference gives the index of the first byte in which a and b differ.
func difference(a, b []byte) int {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return i
		}
	}
	return min(len(a), len(b))
}

// count gives the number of calls with a result.
func (r *request) count(result Result) int {
	n := 0
	for _, c := range r.calls {
		if c.Result == result {
			n++
		}
	}
	return n
}
