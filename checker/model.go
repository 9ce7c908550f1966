package checker

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// checkTimeout bounds the search for a valid order of one request's events.
const checkTimeout = 10 * time.Second

// event is an input of the model: the result of a call or an execution.
type event struct {
	execution bool
	result    Result
}

// requestState is the model's state of one request.
type requestState struct {
	atMostOnce bool
	executed   bool
	answered   bool
	// reportedNotRun is set once the request was reported to a caller as not run.
	reportedNotRun bool
}

// apply returns the state after the event, or false if the event is not allowed.
func (p requestState) apply(e event) (requestState, bool) {
	switch {
	case e.execution:
		repeated := p.atMostOnce && p.executed
		p.executed = true
		return p, !p.reportedNotRun && !repeated
	case e.result == ResultAnswered:
		ok := p.executed && !p.answered
		p.answered = true
		return p, ok
	case e.result == ResultRan:
		return p, p.executed
	case e.result == ResultNotRun:
		ok := !p.executed
		p.reportedNotRun = true
		return p, ok
	default:
		return p, true
	}
}

func newModel(atMostOnce bool) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return requestState{atMostOnce: atMostOnce} },
		Step: func(state, input, _ any) (bool, any) {
			next, ok := state.(requestState).apply(input.(event))
			return ok, next
		},
	}
}

// operations converts the request's events to porcupine operations, without the
// calls that ended with the result skip.
func (r *request) operations(skip Result) []porcupine.Operation {
	start := r.startTime()
	var operations []porcupine.Operation
	for i, c := range r.calls {
		if c.Result == ResultUnfinished || c.Result == skip {
			continue
		}
		operations = append(operations, porcupine.Operation{
			ClientId: i,
			Input:    event{result: c.Result},
			Call:     int64(c.Invoked.Sub(start)),
			Return:   int64(c.Returned.Sub(start)),
		})
	}
	for i, e := range r.executions {
		at := int64(e.At.Sub(start))
		operations = append(operations, porcupine.Operation{
			ClientId: len(r.calls) + i,
			Input:    event{execution: true},
			Call:     at,
			Return:   at,
		})
	}
	return operations
}

// startTime returns the time of the request's first event.
func (r *request) startTime() time.Time {
	start := r.calls[0].Invoked
	for _, c := range r.calls {
		if c.Invoked.Before(start) {
			start = c.Invoked
		}
	}
	for _, e := range r.executions {
		if e.At.Before(start) {
			start = e.At
		}
	}
	return start
}

// checkAtMostOnce checks a request that must be executed at most once.
// ResultNotRun for one of its calls applies to all of them.
func (r *request) checkAtMostOnce() []Violation {
	return r.checkModel(newModel(true), ResultUnfinished)
}

// checkRepeatable checks a request that may be executed again. ResultNotRun
// applies to one call only, so each execution needs a call that began before it
// and did not end with ResultNotRun.
func (r *request) checkRepeatable() []Violation {
	for _, e := range r.executions {
		if !r.hasPossibleCall(e) {
			return []Violation{r.violation(PromiseNotRun, "an execution matches only calls that were reported as not run")}
		}
	}
	return r.checkModel(newModel(false), ResultNotRun)
}

func (r *request) hasPossibleCall(e Execution) bool {
	for _, c := range r.calls {
		if c.Result != ResultNotRun && !c.Invoked.After(e.At) {
			return true
		}
	}
	return false
}

func (r *request) checkModel(m porcupine.Model, skip Result) []Violation {
	switch porcupine.CheckOperationsTimeout(m, r.operations(skip), checkTimeout) {
	case porcupine.Ok:
		return nil
	case porcupine.Unknown:
		return []Violation{r.violation(PromiseUndecided, "check did not finish within %s", checkTimeout)}
	default:
		return []Violation{r.classifyViolation()}
	}
}

// classifyViolation determines which promise an invalid history breaks.
func (r *request) classifyViolation() Violation {
	executions := len(r.executions)
	switch {
	case r.atMostOnce() && executions > 1:
		return r.violation(PromiseRunsAtMostOnce, "ran %d times", executions)
	case r.atMostOnce() && r.countResults(ResultNotRun) > 0 && executions > 0:
		return r.violation(PromiseNotRun, "reported as not run, but it ran")
	case r.countResults(ResultAnswered) > 1:
		return r.violation(PromiseAnsweredAtMostOnce, "answered %d times", r.countResults(ResultAnswered))
	case executions == 0:
		return r.violation(PromiseRan, "reported as answered or as run, but it did not run")
	default:
		return r.violation(PromiseEventOrder, "results are inconsistent with every order of %d calls and %d executions", len(r.calls), executions)
	}
}
