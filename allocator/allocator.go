// Package allocator grants the slots, memory and link capacity of one service
// in one data center. It plans prefill, transfer and decode together: a
// prefill may start only when a decode slot, the pieces for the whole request
// and link capacity are expected to be free when it ends.
//
// The home of an attempt is the entry host process that handles it. A piece is
// the unit in which engines allocate KV cache memory.
//
// # Usage
//
// One entry host of the data center holds the service's [Pool]. It passes
// messages and load reports to the pool, each with the current time, and
// executes the actions that the pool returns:
//
//	pool := allocator.New(service, "tw-north-1", fleet.Links, allocator.Options{}, seed)
//	for _, a := range pool.Ask(request, now) {
//		switch a := a.(type) {
//		case allocator.Granted: // notify the home of a.Attempt
//		case allocator.Refused: // notify the home; nothing ran
//		case allocator.CancelAt: // cancel a.Attempt at a.Endpoint
//		case allocator.RequestGrantList: // ask a.Home for its running attempts
//		}
//	}
//	schedule(pool.Due(), func() { do(pool.Tick(now())) })
//
// Every slot request gets exactly one Granted or Refused, unless it is released
// first. A grant lasts until it is released or its home's lease expires. One
// message renews the lease of all grants of a home; if the digests differ, the
// pool requests the full list.
//
// A pool holds soft state only. A new pool learns about running attempts from
// the homes' lists and the engines' load reports. The engines' own admission
// control decides on memory, so a duplicate pool or one with wrong state only
// reduces efficiency.
// A Pool is not safe for concurrent use.
package allocator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// SlotRequest is a home's request for endpoints to run an attempt on.
type SlotRequest struct {
	Attempt identifier.Attempt
	Urgency compiler.Urgency
	// Firm is the caller's firm; empty: the firm that owns the endpoints.
	Firm         identifier.Firm
	PromptTokens identifier.Tokens
	MaxTokens    identifier.Tokens
	// Blocks are the chained hashes of the prompt's blocks.
	Blocks []identifier.BlockHash
	// TimeLeft is the time until the caller's deadline; 0: no deadline.
	TimeLeft time.Duration
	// Exclude lists the endpoints at which earlier attempts of the request
	// failed.
	Exclude []identifier.Endpoint
	// Resumes is set when the caller already has the first tokens of the
	// answer, so that the first-token target no longer applies.
	Resumes bool
}

// Phase is the progress of a granted attempt.
type Phase uint8

// Phases of an attempt.
const (
	// PhaseGranted means that the prefill may run.
	PhaseGranted Phase = iota + 1
	// PhasePrefilled means that the prefill engine holds the result.
	PhasePrefilled
	// PhaseTransferred means that the decode engine holds the KV cache.
	PhaseTransferred
)

// Ending is the way in which an attempt ended.
type Ending uint8

// Endings of an attempt.
const (
	EndingDone Ending = iota + 1
	EndingCanceled
	EndingFailed
)

// Outcome is the result of an attempt.
type Outcome struct {
	Ending Ending
	// Endpoint is the endpoint that failed; empty unless Ending is
	// EndingFailed.
	Endpoint identifier.Endpoint
	// Refused is set when the endpoint refused admission: it is full, which
	// does not count as a failure.
	Refused bool
}

// HeldGrant is a running attempt as listed by its home.
type HeldGrant struct {
	Attempt         identifier.Attempt
	Prefill, Decode identifier.Endpoint
	Urgency         compiler.Urgency
	Firm            identifier.Firm
	PromptTokens    identifier.Tokens
	MaxTokens       identifier.Tokens
	Pieces          identifier.Pieces
	Phase           Phase
}

// Report is an endpoint's load report, or a note that it is unreachable.
type Report struct {
	// Age is the age of the figures on arrival.
	Age        time.Duration
	Slots      int
	SlotsUsed  int
	Pieces     identifier.Pieces
	PiecesUsed identifier.Pieces
	// Backlog is the number of prefill tokens that are queued or running.
	Backlog uint64
	// Attempts lists the attempts that hold memory or a slot.
	Attempts []identifier.Attempt
	// StepTime is the duration of one decode step; 0: unknown.
	StepTime time.Duration
	// PrefillRate is in tokens per second; 0: unknown.
	PrefillRate float64
	Leaving     bool
	Unreachable bool
}

// CacheEvent reports a change to one block of an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64
	Block    identifier.BlockHash
	Evicted  bool
}

// Action is an operation that the caller must execute for the pool: Granted,
// Bound, Refused, CancelAt or RequestGrantList.
type Action interface {
	action()
}

// Granted permits a home to run an attempt.
type Granted struct {
	Attempt identifier.Attempt
	Prefill identifier.Endpoint
	// Decode is empty if no decode engine has capacity yet but one is expected to
	// by the end of the prefill. A Bound action follows with its name. This
	// happens only with Options.LateBinding.
	Decode identifier.Endpoint
	// PrefillDelay is the delay before the prefill starts.
	PrefillDelay time.Duration
	// Lease is how long the grant lasts without a renewal by its home.
	Lease time.Duration
	// Pieces is the memory to reserve at the decode engine.
	Pieces identifier.Pieces
}

// Bound assigns the decode engine of an attempt that was granted without one.
type Bound struct {
	Attempt identifier.Attempt
	Decode  identifier.Endpoint
	// Pieces is the memory to reserve at the decode engine.
	Pieces identifier.Pieces
}

// Refused rejects a slot request; no part of the attempt ran.
type Refused struct {
	Attempt identifier.Attempt
	Reason  classifier.Reason
	// RetryAfter is how long the caller should wait before a retry; 0: a
	// retry can't succeed.
	RetryAfter time.Duration
}

// CancelAt frees the resources that an attempt without a live home holds at
// an endpoint. The pool repeats it for each load report that still lists the
// attempt.
type CancelAt struct {
	Endpoint identifier.Endpoint
	Attempt  identifier.Attempt
}

// RequestGrantList requests the list of a home's running attempts.
type RequestGrantList struct {
	Home identifier.Incarnation
}

func (Granted) action()          {}
func (Bound) action()            {}
func (Refused) action()          {}
func (CancelAt) action()         {}
func (RequestGrantList) action() {}
