package checker

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// decisionTimeout bounds the search for an order of one request's events.
const decisionTimeout = 10 * time.Second

// event is the input of the model: what a caller was told, or an execution.
type event struct {
	execution bool
	result    Result
}

// progress is the model's state of one request.
type progress struct {
	once     bool
	executed bool
	answered bool
	// refused is set once a caller was told that the request was not run.
	refused bool
}

// step gives the state after the event, or false if the event can't happen.
func (p progress) step(e event) (progress, bool) {
	switch {
	case e.execution:
		again := p.once && p.executed
		p.executed = true
		return p, !p.refused && !again
	case e.result == ResultAnswered:
		ok := p.executed && !p.answered
		p.answered = true
		return p, ok
	case e.result == ResultRan:
		return p, p.executed
	case e.result == ResultNotRun:
		ok := !p.executed
		p.refused = true
		return p, ok
	default:
		return p, true
	}
}

func modelOf(once bool) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return progress{once: once} },
		Step: func(state, input, _ any) (bool, any) {
			next, ok := state.(progress).step(input.(event))
			return ok, next
		},
	}
}

// operations gives the request's events as porcupine takes them. The results
// in skip are left out.
func (r *request) operations(skip Result) []porcupine.Operation {
	start := r.start()
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

// start gives the time of the request's first event.
func (r *request) start() time.Time {
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

// checkOnce checks a request that must run at most once. A NotRun to any of
// its calls holds for all of them.
func (r *request) checkOnce() []Violation {
	return r.decide(modelOf(true), ResultUnfinished)
}

// checkRepeatable checks a request that may run again. A NotRun holds for one
// call only, so each execution needs a call, begun before it, that was not
// told NotRun.
func (r *request) checkRepeatable() []Violation {
	for _, e := range r.executions {
		if !r.explained(e) {
			return []Violation{r.violation(PromiseNotRun, "an execution belongs to no call but ones told not-run")}
		}
	}
	return r.decide(modelOf(false), ResultNotRun)
}

func (r *request) explained(e Execution) bool {
	for _, c := range r.calls {
		if c.Result != ResultNotRun && !c.Invoked.After(e.At) {
			return true
		}
	}
	return false
}

func (r *request) decide(m porcupine.Model, skip Result) []Violation {
	switch porcupine.CheckOperationsTimeout(m, r.operations(skip), decisionTimeout) {
	case porcupine.Ok:
		return nil
	case porcupine.Unknown:
		return []Violation{r.violation(PromiseUndecided, "no verdict within %s", decisionTimeout)}
	default:
		return []Violation{r.explain()}
	}
}

// explain names the promise that an impossible history breaks.
func (r *request) explain() Violation {
	executions := len(r.executions)
	switch {
	case r.once() && executions > 1:
		return r.violation(PromiseRunsOnce, "ran %d times", executions)
	case r.once() && r.count(ResultNotRun) > 0 && executions > 0:
		return r.violation(PromiseNotRun, "a caller was told not-run, but it ran")
	case r.count(ResultAnswered) > 1:
		return r.violation(PromiseAnsweredOnce, "answered %d times", r.count(ResultAnswered))
	case executions == 0:
		return r.violation(PromiseRan, "a caller was answered or told ran, but it did not run")
	default:
		return r.violation(PromiseOrder, "no order of %d calls and %d executions explains the results", len(r.calls), executions)
	}
}
