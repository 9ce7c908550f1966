package emulator

import (
	"maps"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// maxAdmissions bounds the admissions that an engine retains; the oldest are
// evicted first.
const maxAdmissions = 1 << 18

// Stats is a snapshot of an engine's resource usage and counters.
type Stats struct {
	// Resources currently in use.
	PiecesHeld   int
	SlotsHeld    int
	AttemptsHeld []identifier.Attempt
	// Prefill tokens that were computed, that were found in the prefix cache,
	// and that were computed but discarded before the first output token.
	PrefillTokens   uint64
	CachedTokens    uint64
	DiscardedTokens uint64
	OutputTokens    uint64
	// Event counters since the engine started. Finished counts the attempts whose
	// last token was produced, Expired the attempts whose memory was released
	// after a timeout, Steps the steps of the batch, and Loads the models that
	// were loaded.
	Admitted    int
	Exported    int
	Imported    int
	Streams     int
	Finished    int
	Canceled    int
	Expired     int
	Steps       int
	Loads       int
	LoadReports int
	Refusals    map[Refusal]int
	// Orders in the sequence of their arrival, and the highest fencing number.
	Orders []ReceivedOrder
	Fence  identifier.Revision
	// LastRequestWhileLeaving is the time of the last request for new work
	// while the engine was leaving; zero if there was none.
	LastRequestWhileLeaving time.Time
}

// Stats returns a snapshot of the engine's statistics.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.PiecesHeld = e.memory.piecesUsed
	s.SlotsHeld = e.memory.slotsUsed
	s.AttemptsHeld = e.heldAttempts()
	s.Refusals = maps.Clone(s.Refusals)
	s.Orders = slices.Clone(e.orders.history)
	s.Fence = e.orders.fence
	return s
}

// AdmissionKind is the kind of work that an engine admitted.
type AdmissionKind uint8

// Kinds of admissions.
const (
	AdmissionPrefill AdmissionKind = iota + 1
	AdmissionImport
)

// Admission records work that an engine admitted. From then on, its request has
// been partially executed.
type Admission struct {
	Attempt identifier.Attempt
	Kind    AdmissionKind
	// Seed of the answer, set for prefills. It identifies the request.
	Seed Seed
	At   time.Time
}

// Admissions returns the engine's admissions, oldest first.
func (e *Engine) Admissions() []Admission {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.admissions)
}

// recordAdmission records an admission. The caller must hold e.mu.
func (e *Engine) recordAdmission(w *workItem, k AdmissionKind) {
	e.stats.Admitted++
	if len(e.admissions) == maxAdmissions {
		e.admissions = slices.Delete(e.admissions, 0, maxAdmissions/4)
	}
	e.admissions = append(e.admissions, Admission{w.attempt, k, w.seed, time.Now()})
}
