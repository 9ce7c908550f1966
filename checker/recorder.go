package checker

import (
	"slices"
	"sync"
	"time"
)

// Recorder collects a history. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	history History
}

// FinishFunc records the result of a call.
type FinishFunc func(r Result, answer []byte, at time.Time)

// NewRecorder returns a recorder with an empty history.
func NewRecorder() *Recorder {
	return &Recorder{}
}

// RecordCall records the start of a call and returns a function that records its
// end. A call whose end is not recorded counts as unfinished.
func (r *Recorder) RecordCall(c Call, at time.Time) FinishFunc {
	c.Invoked = at
	c.Result = ResultUnfinished
	r.mu.Lock()
	defer r.mu.Unlock()
	i := len(r.history.Calls)
	r.history.Calls = append(r.history.Calls, c)
	return func(result Result, answer []byte, at time.Time) {
		r.mu.Lock()
		defer r.mu.Unlock()
		call := &r.history.Calls[i]
		call.Result, call.Answer, call.Returned = result, answer, at
	}
}

// RecordExecution records an execution.
func (r *Recorder) RecordExecution(e Execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Executions = append(r.history.Executions, e)
}

// History returns a copy of the recorded history.
func (r *Recorder) History() History {
	r.mu.Lock()
	defer r.mu.Unlock()
	return History{
		Calls:      slices.Clone(r.history.Calls),
		Executions: slices.Clone(r.history.Executions),
	}
}

// ResultShare returns the share of ended calls with the result, from 0 to 1.
func (h History) ResultShare(result Result) float64 {
	ended, matching := 0, 0
	for _, c := range h.Calls {
		if c.Result == ResultUnfinished {
			continue
		}
		ended++
		if c.Result == result {
			matching++
		}
	}
	if ended == 0 {
		return 0
	}
	return float64(matching) / float64(ended)
}
