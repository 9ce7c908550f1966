// Package router selects endpoints for requests. Its policies do no I/O and read
// no clock: given a [Table] of endpoint loads, they return the number of an
// endpoint.
//
// # Usage
//
//	table := router.NewTable(len(names))
//	table.Set(3, 0.2) // endpoint 3 has 0.2 s of queued prefill work
//	affinity := router.NewPrefixAffinity(names, router.AffinityOptions{})
//	chosen, cached, ok := affinity.Pick(table, router.Query{Blocks: blocks, PromptTokens: 900, Rate: 20000}, now)
//	affinity.RecordPlacement(blocks, chosen, now)
//
// [PrefixAffinity] is the default policy for prefill endpoints. [RoundRobin],
// [LeastLoad] and [PowerOfTwo] are the baselines that it is compared with.
package router

import (
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Query describes a request that needs an endpoint.
type Query struct {
	// Blocks are the chained hashes of the prompt's token blocks: each hash also
	// covers the blocks before it.
	Blocks       []identifier.BlockHash
	PromptTokens identifier.Tokens
	// Clock is subtracted from the loads in the table. With the current time
	// here, a load can be the time at which an endpoint becomes idle, which
	// doesn't need updates as time passes.
	Clock float64
	// Rate is the prefill rate in tokens per second.
	Rate float64
	// Exclude lists endpoints that must not be picked.
	Exclude []int32
}

func (q *Query) excludes(endpoint int32) bool {
	return slices.Contains(q.Exclude, endpoint)
}

// Policy selects endpoints.
type Policy interface {
	// Pick returns an endpoint and the number of the prompt's leading blocks
	// that it is assumed to cache. ok is false if no endpoint is available.
	Pick(t *Table, q Query, now time.Time) (endpoint int32, cachedBlocks int, ok bool)
	// RecordPlacement records that a prompt with these blocks was sent to the
	// endpoint.
	RecordPlacement(blocks []identifier.BlockHash, endpoint int32, now time.Time)
}
