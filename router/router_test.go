package router_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/router"
)

var epoch = time.Date(2026, 12, 1, 5, 0, 0, 0, time.UTC)

func endpointNames(n int) []identifier.Endpoint {
	list := make([]identifier.Endpoint, n)
	for i := range list {
		list[i] = identifier.Endpoint(fmt.Sprintf("runner-%d", i))
	}
	return list
}

func idleTable(n int) *router.Table {
	t := router.NewTable(n)
	for i := range n {
		t.Set(int32(i), 0)
	}
	return t
}

func queryWithPrefix(prefix int) router.Query {
	blocks := make([]identifier.BlockHash, 8)
	for i := range blocks {
		blocks[i] = identifier.BlockHash(prefix*100 + i)
	}
	return router.Query{Blocks: blocks, PromptTokens: 512, Rate: 8000}
}

func TestTableKeepsLeastLoadFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 20
		table := router.NewTable(n)
		loads := map[int32]float64{}
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				e, load := rapid.Int32Range(0, n-1).Draw(t, "endpoint"), rapid.Float64Range(0, 9).Draw(t, "load")
				table.Set(e, load)
				loads[e] = load
			},
			"remove": func(t *rapid.T) {
				e := rapid.Int32Range(0, n-1).Draw(t, "endpoint")
				table.Remove(e)
				delete(loads, e)
			},
			"": func(t *rapid.T) {
				if table.Len() != len(loads) {
					t.Fatalf("table has %d endpoints, want %d", table.Len(), len(loads))
				}
				for e, load := range loads {
					if load < table.Load(table.At(0)) {
						t.Fatalf("endpoint %d has load %v, less than that of endpoint %d at the head", e, load, table.At(0))
					}
				}
			},
		})
	})
}

func TestPrefixAffinity(t *testing.T) {
	t.Run("sends one prefix to one endpoint", func(t *testing.T) {
		is := is.New(t)
		p := router.NewPrefixAffinity(endpointNames(10), router.AffinityOptions{})
		first, _, ok := p.Pick(idleTable(10), queryWithPrefix(1), epoch)
		is.True(ok)
		again, _, _ := p.Pick(idleTable(10), queryWithPrefix(1), epoch)
		is.Equal(first, again)
	})
	t.Run("spreads prefixes over all endpoints", func(t *testing.T) {
		is := is.New(t)
		p := router.NewPrefixAffinity(endpointNames(10), router.AffinityOptions{})
		used := map[int32]int{}
		for prefix := range 1000 {
			e, _, _ := p.Pick(idleTable(10), queryWithPrefix(prefix), epoch)
			used[e]++
		}
		is.Equal(len(used), 10)
		for _, n := range used {
			is.True(n < 250) // an even spread gives 100 each
		}
	})
	t.Run("moves only the prefixes of a removed endpoint", func(t *testing.T) {
		is := is.New(t)
		p := router.NewPrefixAffinity(endpointNames(10), router.AffinityOptions{})
		reduced := idleTable(10)
		reduced.Remove(3)
		for prefix := range 1000 {
			before, _, _ := p.Pick(idleTable(10), queryWithPrefix(prefix), epoch)
			after, _, _ := p.Pick(reduced, queryWithPrefix(prefix), epoch)
			is.True(before == after || before == 3)
		}
	})
	t.Run("avoids an overloaded endpoint of the ring", func(t *testing.T) {
		is := is.New(t)
		p := router.NewPrefixAffinity(endpointNames(10), router.AffinityOptions{})
		owner, _, _ := p.Pick(idleTable(10), queryWithPrefix(1), epoch)
		busy := idleTable(10)
		busy.Set(owner, 0.2)
		other, _, _ := p.Pick(busy, queryWithPrefix(1), epoch)
		is.True(other != owner)
	})
	t.Run("prefers an endpoint with the prefix cached, until it is evicted", func(t *testing.T) {
		is := is.New(t)
		p := router.NewPrefixAffinity(endpointNames(10), router.AffinityOptions{})
		owner, _, _ := p.Pick(idleTable(10), queryWithPrefix(1), epoch)
		holder := (owner + 1) % 10
		busy := idleTable(10)
		busy.Set(owner, 1) // above the ring's slack
		p.RecordPlacement(queryWithPrefix(1).Blocks, holder, epoch)
		e, cached, _ := p.Pick(busy, queryWithPrefix(1), epoch)
		is.Equal(e, holder)
		is.Equal(cached, 8)
		for _, b := range queryWithPrefix(1).Blocks {
			p.RecordCacheEvent(b, holder, true, epoch)
		}
		_, cached, _ = p.Pick(busy, queryWithPrefix(1), epoch)
		is.Equal(cached, 0)
	})
	t.Run("ignores expired cache entries", func(t *testing.T) {
		is := is.New(t)
		p := router.NewPrefixAffinity(endpointNames(10), router.AffinityOptions{TimeToLive: time.Minute})
		owner, _, _ := p.Pick(idleTable(10), queryWithPrefix(1), epoch)
		busy := idleTable(10)
		busy.Set(owner, 1) // above the ring's slack
		p.RecordPlacement(queryWithPrefix(1).Blocks, (owner+1)%10, epoch)
		_, cached, _ := p.Pick(busy, queryWithPrefix(1), epoch.Add(time.Minute))
		is.Equal(cached, 8)
		_, cached, _ = p.Pick(busy, queryWithPrefix(1), epoch.Add(2*time.Minute))
		is.Equal(cached, 0)
	})
	t.Run("doesn't pick excluded endpoints", func(t *testing.T) {
		is := is.New(t)
		p := router.NewPrefixAffinity(endpointNames(2), router.AffinityOptions{})
		q := queryWithPrefix(1)
		q.Exclude = []int32{0}
		e, _, ok := p.Pick(idleTable(2), q, epoch)
		is.True(ok)
		is.Equal(e, int32(1))
		q.Exclude = []int32{0, 1}
		_, _, ok = p.Pick(idleTable(2), q, epoch)
		is.True(!ok)
	})
}

func TestBaselines(t *testing.T) {
	policies := map[string]router.Policy{
		"round robin": &router.RoundRobin{}, "least load": router.LeastLoad{}, "power of two": router.NewPowerOfTwo(1),
	}
	for name, p := range policies {
		t.Run(name+" picks only available endpoints", func(t *testing.T) {
			is := is.New(t)
			table := router.NewTable(5)
			table.Set(1, 0.5)
			table.Set(3, 0.5)
			for range 20 {
				e, _, ok := p.Pick(table, router.Query{Exclude: []int32{3}}, epoch)
				is.True(!ok || e == 1)
			}
			_, _, ok := p.Pick(router.NewTable(5), router.Query{}, epoch)
			is.True(!ok)
		})
	}
	t.Run("round robin takes turns", func(t *testing.T) {
		is := is.New(t)
		p := &router.RoundRobin{}
		for want := range int32(3) {
			e, _, _ := p.Pick(idleTable(3), router.Query{}, epoch)
			is.Equal(e, want)
		}
	})
	t.Run("least load picks the least loaded", func(t *testing.T) {
		is := is.New(t)
		table := idleTable(3)
		table.Set(0, 2)
		table.Set(2, 1)
		e, _, _ := router.LeastLoad{}.Pick(table, router.Query{}, epoch)
		is.Equal(e, int32(1))
	})
}
