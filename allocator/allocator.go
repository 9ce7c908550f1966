// Package allocator grants the slots, memory and link room of one service in
// one data centre. It plans prefill, transfer and decode as one: a prefill
// may start only when a decode slot, the pieces for the whole request and
// room on the link are expected to be free when it ends.
//
// # Usage
//
// One entry host of the data centre holds the service's [Pool]; it feeds it
// messages and load reports, each with the time, and does the actions that it
// gets back:
//
//	pool := allocator.New(service, "tw-north-1", fleet.Links, allocator.Options{}, seed)
//	for _, a := range pool.Ask(ask, now) {
//		switch a := a.(type) {
//		case allocator.Granted: // tell the home of a.Attempt
//		case allocator.Refused: // the same; nothing ran
//		case allocator.CancelAt: // cancel a.Attempt at a.Endpoint
//		case allocator.AskList: // ask a.Home for its running attempts
//		}
//	}
//	subscribe(pool.Due(), func() { do(pool.Tick(now())) })
//
// Every ask gets exactly one of Granted and Refused, unless it is released
// first. A grant lasts until it is released or until its home's lease runs
// out. The home renews the lease of all its grants with one message; when the
// digests differ, the pool asks for the whole list.
//
// A pool holds soft state only. A new one learns what runs from the homes'
// lists and from the engines' load reports; the engines' own admission is the
// truth on memory, so that a doubled or wrong pool costs efficiency only.
// A Pool is not safe for concurrent use.
package allocator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// Ask is a home's wish for a place to run an attempt.
type Ask struct {
	Attempt identifier.Attempt
	Urgency compiler.Urgency
	// Firm is the firm of the caller; empty counts as the endpoints' owner.
	Firm         identifier.Firm
	PromptTokens identifier.Tokens
	MaxTokens    identifier.Tokens
	// Blocks are the chained hashes of the prompt's blocks.
	Blocks []identifier.BlockHash
	// Left is the time until the caller's deadline; 0: no deadline.
	Left time.Duration
	// Exclude are endpoints that failed earlier attempts of the request.
	Exclude []identifier.Endpoint
	// Resumes is true when the caller holds the answer's first tokens
	// already: the first-token target is past.
	Resumes bool
}

// Phase is how far a granted attempt has come.
type Phase uint8

// Phases of an attempt.
const (
	// PhaseGranted means that the prefill may run.
	PhaseGranted Phase = iota + 1
	// PhasePrefilled means that the prefill's result is kept at its engine.
	PhasePrefilled
	// PhaseTransferred means that the decode engine holds the KV cache.
	PhaseTransferred
)

// Ending says how an attempt ended.
type Ending uint8

// Endings of an attempt.
const (
	EndingDone Ending = iota + 1
	EndingCancelled
	EndingFailed
)

// Outcome is how an attempt ended, and where it failed.
type Outcome struct {
	Ending Ending
	// Endpoint is where it failed; empty unless Ending is EndingFailed.
	Endpoint identifier.Endpoint
	// Refused is set when the endpoint refused before admitting: it is full,
	// not broken.
	Refused bool
}

// Held is a running attempt in a home's list.
type Held struct {
	Attempt         identifier.Attempt
	Prefill, Decode identifier.Endpoint
	Urgency         compiler.Urgency
	Firm            identifier.Firm
	PromptTokens    identifier.Tokens
	MaxTokens       identifier.Tokens
	Pieces          identifier.Pieces
	Phase           Phase
}

// Report is an endpoint's load report, or the news that it can't be reached.
type Report struct {
	// Age of the figures when they arrived.
	Age        time.Duration
	Slots      int
	SlotsUsed  int
	Pieces     identifier.Pieces
	PiecesUsed identifier.Pieces
	// Backlog is the prefill tokens that wait or run.
	Backlog uint64
	// Attempts that hold memory or a slot.
	Attempts []identifier.Attempt
	// Step is the time of one decode step; 0: unknown.
	Step time.Duration
	// PrefillRate is in tokens a second; 0: unknown.
	PrefillRate float64
	Leaving     bool
	Unreachable bool
}

// CacheEvent is an engine's news on one block of its prefix cache.
type CacheEvent struct {
	Sequence uint64
	Block    identifier.BlockHash
	Evicted  bool
}

// Action is what the pool wants done: Granted, Bound, Refused, CancelAt or
// AskList.
type Action interface {
	action()
}

// Granted lets a home run an attempt.
type Granted struct {
	Attempt identifier.Attempt
	Prefill identifier.Endpoint
	// Decode is empty when a decode engine will have room by the end of the
	// prefill, but has none yet: Bound will name it. That happens only with
	// Options.LateBinding.
	Decode identifier.Endpoint
	// Wait before the prefill starts.
	Wait time.Duration
	// Lease is how long the grant lasts unless its home renews.
	Lease time.Duration
	// Pieces to reserve at the decode engine.
	Pieces identifier.Pieces
}

// Bound names the decode engine of an attempt that was granted without one.
type Bound struct {
	Attempt identifier.Attempt
	Decode  identifier.Endpoint
	// Pieces to reserve at the decode engine.
	Pieces identifier.Pieces
}

// Refused ends an ask: nothing of it ran.
type Refused struct {
	Attempt identifier.Attempt
	Reason  classifier.Reason
	// RetryAfter is how long the caller should wait; 0: it won't help.
	RetryAfter time.Duration
}

// CancelAt frees what an attempt without a living home holds at an endpoint.
// It is given again for each load report that still lists the attempt.
type CancelAt struct {
	Endpoint identifier.Endpoint
	Attempt  identifier.Attempt
}

// AskList asks a home for the list of its running attempts.
type AskList struct {
	Home identifier.Incarnation
}

func (Granted) action()  {}
func (Bound) action()    {}
func (Refused) action()  {}
func (CancelAt) action() {}
func (AskList) action()  {}
