package emulator

// Faults are what goes wrong at an engine; the zero value means nothing.
type Faults struct {
	// RefuseAll refuses new prefills and imports as if the slots were full.
	RefuseAll bool
	// FailAfterTokens resets each decode stream after so many tokens; 0: never.
	FailAfterTokens uint32
	// RepeatEvery sends each so many-th message of a decode stream twice, and
	// SwapEvery sends it after the next one; 0: never.
	RepeatEvery int
	SwapEvery   int
	// Stall stops the step loop: streams stay open and nothing comes.
	Stall bool
	// StallExports holds all exports.
	StallExports bool
	// SlowFactor multiplies the time of each step; 0: 1.
	SlowFactor float64
	// DropLoadReports fails all Load calls.
	DropLoadReports bool
	// DropCancels fails all Cancel calls, which then have no effect.
	DropCancels bool
}

// SetFaults replaces the engine's faults.
func (e *Engine) SetFaults(f Faults) {
	e.faults.Store(&f)
	e.wake()
}

// slowed gives the factor by which steps take longer.
func (f *Faults) slowed() float64 {
	if f.SlowFactor <= 0 {
		return 1
	}
	return f.SlowFactor
}
