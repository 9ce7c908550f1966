package emulator

// Faults configures the faults that an engine injects. The zero value injects
// none.
type Faults struct {
	// RefuseAll refuses new prefills and imports as if all slots were in use.
	RefuseAll bool
	// FailAfterTokens resets each decode stream after this many tokens; 0
	// disables it.
	FailAfterTokens uint32
	// RepeatEvery sends every n-th message of a decode stream twice. SwapEvery
	// sends every n-th message after the one that follows it. 0 disables
	// either.
	RepeatEvery int
	SwapEvery   int
	// Stall stops the step loop: streams stay open but receive no tokens.
	Stall bool
	// StallExports blocks all exports.
	StallExports bool
	// SlowFactor multiplies the duration of each step; 0 means 1.
	SlowFactor float64
	// DropLoadReports makes all Load calls fail.
	DropLoadReports bool
	// DropCancels makes all Cancel calls fail without effect.
	DropCancels bool
}

// SetFaults replaces the engine's faults.
func (e *Engine) SetFaults(f Faults) {
	e.faults.Store(&f)
	e.wakeStepLoop()
}

// stepTimeFactor returns the factor by which steps are slowed down.
func (f *Faults) stepTimeFactor() float64 {
	if f.SlowFactor <= 0 {
		return 1
	}
	return f.SlowFactor
}
