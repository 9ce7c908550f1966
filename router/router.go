// Package router chooses endpoints for requests. Its policies are pure: they
// read a [Table] of loads and give the number of an endpoint.
//
// # Usage
//
//	table := router.NewTable(len(names))
//	table.Set(3, 0.2) // endpoint 3 has 0.2 s of prefill waiting
//	affinity := router.NewPrefixAffinity(names, router.AffinityOptions{})
//	chosen, cached, ok := affinity.Pick(table, router.Query{Blocks: blocks, PromptTokens: 900, Rate: 20000}, now)
//	affinity.Placed(blocks, chosen, now)
//
// [PrefixAffinity] is the policy of the prefill pool. [RoundRobin],
// [LeastLoad] and [PowerOfTwo] are the baselines that it is measured against.
package router

import (
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Query is what a policy is asked.
type Query struct {
	// Blocks are the chained hashes of the prompt's blocks.
	Blocks       []identifier.BlockHash
	PromptTokens identifier.Tokens
	// Clock is taken off the loads of the table: a load may be the time when
	// an endpoint gets idle, which then needs no update as time passes.
	Clock float64
	// Rate is the prefill rate in tokens a second.
	Rate float64
	// Exclude are endpoints that must not be picked.
	Exclude []int32
}

func (q *Query) excludes(endpoint int32) bool {
	return slices.Contains(q.Exclude, endpoint)
}

// Policy picks an endpoint; false: none may be picked. The middle value is
// the number of leading blocks that the endpoint is believed to cache.
type Policy interface {
	Pick(t *Table, q Query, now time.Time) (endpoint int32, cachedBlocks int, ok bool)
	// Placed tells the policy that a prompt was sent to the endpoint.
	Placed(blocks []identifier.BlockHash, endpoint int32, now time.Time)
}
