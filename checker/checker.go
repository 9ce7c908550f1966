// Package checker decides whether a recorded run kept the system's promises.
//
// # Usage
//
// A test or the demo records the results reported to callers and the executions at
// endpoints, and then checks the history:
//
//	r := checker.NewRecorder()
//	done := r.RecordCall(checker.Call{Key: "lock-7", AtMostOnce: true, Expected: confirmation}, time.Now())
//	done(checker.ResultOf(err), payload, time.Now())
//	r.RecordExecution(checker.Execution{Key: "lock-7", At: executedAt})
//	violations := checker.Check(r.History())
//
// [Check] uses the linearizability checker Porcupine to check the calls and
// executions of each [Key] against a model of one request: a non-repeatable request
// is executed at most once, a complete answer is returned at most once and only
// after an execution, and nothing is executed if the request was reported to a
// caller as not run. [CheckMemory], [CheckLeaving] and [CheckRevisions] check
// invariants of the fleet.
//
// The calls and executions of a key have to be recorded with the same clock.
package checker

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
)

// Key identifies a ticket or a request, which may be answered at most once.
type Key string

// Result is the outcome that was reported to a caller.
type Result uint8

// The results of a call.
const (
	// ResultUnfinished means that no outcome was reported to the caller.
	ResultUnfinished Result = iota
	// ResultAnswered means that the caller received the complete answer.
	ResultAnswered
	// ResultNotRun, ResultMayHaveRun and ResultRan correspond to the verdicts of
	// an error.
	ResultNotRun
	ResultMayHaveRun
	ResultRan
)

// ResultOf returns the result of a call that ended with err.
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

// Call is one call by a caller, with its result.
type Call struct {
	Key Key
	// AtMostOnce is set for calls that must be executed at most once.
	AtMostOnce bool
	Invoked    time.Time
	Returned   time.Time // unset for ResultUnfinished
	Result     Result
	Answer     []byte
	// Expected is the answer that an endpoint gives; nil disables the comparison.
	Expected []byte
}

// Execution is work that an endpoint admitted for a call.
type Execution struct {
	Key Key
	At  time.Time
}

// History holds the recorded calls and executions of a run.
type History struct {
	Calls      []Call
	Executions []Execution
}

// Promise names the promise that a violation breaks, in kebab case.
type Promise string

// The promises that are checked.
const (
	// PromiseRunsAtMostOnce means that a non-repeatable request is executed at
	// most once.
	PromiseRunsAtMostOnce Promise = "runs-at-most-once"
	// PromiseNotRun means that nothing is executed for a call that is reported
	// as not run.
	PromiseNotRun Promise = "not-run-means-not-run"
	// PromiseAnsweredAtMostOnce means that a request is answered at most once.
	PromiseAnsweredAtMostOnce Promise = "answered-at-most-once"
	// PromiseOwnAnswer means that an answer is complete and belongs to its
	// request.
	PromiseOwnAnswer Promise = "whole-own-answer"
	// PromiseRan means that a request that is reported as run or answered was
	// executed.
	PromiseRan Promise = "ran-means-ran"
	// PromiseEventOrder means that some order of the calls and executions of a
	// request explains their results.
	PromiseEventOrder Promise = "order-of-events"
	// PromiseNoOrphanedMemory means that engines hold memory only for active
	// attempts.
	PromiseNoOrphanedMemory Promise = "no-memory-without-caller"
	// PromiseNoWorkForLeaving means that a leaving endpoint admits no new work
	// once the bound passed to CheckLeaving is over.
	PromiseNoWorkForLeaving Promise = "no-work-for-leaving"
	// PromiseRevisions means that the revision that a host has in force never
	// decreases.
	PromiseRevisions Promise = "revisions-never-revert"
	// PromiseInForce means that every host has the newest accepted revision in
	// force.
	PromiseInForce Promise = "in-force-everywhere"
	// PromiseUndecided is not a promise. It reports that a check did not finish
	// in time.
	PromiseUndecided Promise = "undecided"
	// PromiseKnownRequests means that every execution belongs to a recorded call.
	PromiseKnownRequests Promise = "no-run-without-call"
)

// Violation is one broken promise.
type Violation struct {
	Promise Promise
	Subject string
	Detail  string
}

// String formats the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: %s", v.Promise, v.Subject, v.Detail)
}

// request is the part of a history that belongs to one key.
type request struct {
	key        Key
	calls      []Call
	executions []Execution
}

// Check returns the violations of the promises about single requests, sorted by
// key. It returns none if the history is valid.
func Check(h History) []Violation {
	var violations []Violation
	requests := groupByKey(h)
	for _, key := range slices.Sorted(maps.Keys(requests)) {
		violations = append(violations, requests[key].check()...)
	}
	return violations
}

func groupByKey(h History) map[Key]*request {
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
	if r.atMostOnce() {
		return append(violations, r.checkAtMostOnce()...)
	}
	return append(violations, r.checkRepeatable()...)
}

// atMostOnce reports whether the request must be executed at most once.
func (r *request) atMostOnce() bool {
	return slices.ContainsFunc(r.calls, func(c Call) bool { return c.AtMostOnce })
}

func (r *request) violation(p Promise, format string, args ...any) Violation {
	return Violation{Promise: p, Subject: string(r.key), Detail: fmt.Sprintf(format, args...)}
}

// checkAnswers compares the answers with those that endpoints give.
func (r *request) checkAnswers() []Violation {
	var violations []Violation
	for _, c := range r.calls {
		if c.Result == ResultAnswered && c.Expected != nil && !bytes.Equal(c.Answer, c.Expected) {
			violations = append(violations, r.violation(PromiseOwnAnswer,
				"got %d bytes, want %d; first difference at byte %d", len(c.Answer), len(c.Expected), firstDifference(c.Answer, c.Expected)))
		}
	}
	return violations
}

// firstDifference returns the index of the first byte at which a and b differ.
func firstDifference(a, b []byte) int {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return i
		}
	}
	return min(len(a), len(b))
}

// countResults returns the number of calls with the result.
func (r *request) countResults(result Result) int {
	n := 0
	for _, c := range r.calls {
		if c.Result == result {
			n++
		}
	}
	return n
}
