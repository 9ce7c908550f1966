package emulator

import (
	"maps"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// maxAdmissions bounds the admissions that an engine remembers; the oldest go
// first.
const maxAdmissions = 1 << 18

// Stats is what an engine holds and has done.
type Stats struct {
	// Held now.
	PiecesHeld   int
	SlotsHeld    int
	AttemptsHeld []identifier.Attempt
	// Prefill tokens that were computed, found in the prefix cache, and
	// computed but lost before their first output token.
	PrefillTokens   uint64
	CachedTokens    uint64
	DiscardedTokens uint64
	OutputTokens    uint64
	// Counts of events since the start.
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
	// Orders in the sequence in which they came, and the highest fence.
	Orders []AppliedOrder
	Fence  identifier.Revision
	// LastOfferLeaving is when new work last came while the engine was
	// leaving; zero: none came.
	LastOfferLeaving time.Time
}

// Stats gives a snapshot.
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

// AdmissionKind says what an engine admitted.
type AdmissionKind uint8

// Kinds of admissions.
const (
	AdmissionPrefill AdmissionKind = iota + 1
	AdmissionImport
)

// Admission is work that an engine took on: from then on, its request has run
// in part.
type Admission struct {
	Attempt identifier.Attempt
	Kind    AdmissionKind
	// Seed of the answer, for prefills: it tells whose request it is.
	Seed Seed
	At   time.Time
}

// Admissions lists what the engine admitted, oldest first.
func (e *Engine) Admissions() []Admission {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.admitted)
}

// record enters an admission. The mutex is held.
func (e *Engine) record(w *work, k AdmissionKind) {
	e.stats.Admitted++
	if len(e.admitted) == maxAdmissions {
		e.admitted = slices.Delete(e.admitted, 0, maxAdmissions/4)
	}
	e.admitted = append(e.admitted, Admission{w.attempt, k, w.seed, time.Now()})
}
