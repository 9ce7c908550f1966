package checker

import (
	"slices"
	"sync"
	"time"
)

// Recorder collects a history. It is safe for use by several goroutines.
type Recorder struct {
	mu      sync.Mutex
	history History
}

// Done records what a caller was told.
type Done func(r Result, answer []byte, at time.Time)

// NewRecorder gives a recorder with an empty history.
func NewRecorder() *Recorder {
	return &Recorder{}
}

// Invoke records the beginning of a call. The function that it gives records
// the end; a call without an end counts as unfinished.
func (r *Recorder) Invoke(c Call, at time.Time) Done {
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

// Execute records an execution.
func (r *Recorder) Execute(e Execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Executions = append(r.history.Executions, e)
}

// History gives a copy of what was recorded.
func (r *Recorder) History() History {
	r.mu.Lock()
	defer r.mu.Unlock()
	return History{
		Calls:      slices.Clone(r.history.Calls),
		Executions: slices.Clone(r.history.Executions),
	}
}

// Share gives the share of ended calls with the result, between 0 and 1.
func (h History) Share(result Result) float64 {
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
