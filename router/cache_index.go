package router

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// holdersPerBlock bounds the endpoints that are remembered for one block.
const holdersPerBlock = 4

// noEndpoint marks an empty place.
const noEndpoint int32 = -1

// holder is an endpoint that is believed to cache a block.
type holder struct {
	endpoint int32
	// seen is when that was last learnt, in nanoseconds since the epoch.
	seen int64
}

// holders are the endpoints that are believed to cache one block.
type holders [holdersPerBlock]holder

// CacheIndex remembers which endpoints are believed to cache which blocks of
// prompts. What it knows comes from placements, which are certain to fill the
// cache but say nothing on evictions, and from the engines' events, which
// come late and with gaps; so each belief fades after a time to live.
type CacheIndex struct {
	blocks     map[identifier.BlockHash]*holders
	order      []identifier.BlockHash
	oldest     int
	limit      int
	timeToLive time.Duration
}

// NewCacheIndex gives an index of at most limit blocks.
func NewCacheIndex(limit int, timeToLive time.Duration) *CacheIndex {
	return &CacheIndex{
		blocks:     make(map[identifier.BlockHash]*holders),
		limit:      limit,
		timeToLive: timeToLive,
	}
}

// Add notes that the endpoint caches the block.
func (c *CacheIndex) Add(block identifier.BlockHash, endpoint int32, now time.Time) {
	h, ok := c.blocks[block]
	if !ok {
		h = c.insert(block)
	}
	place := 0
	for i := range h {
		if h[i].endpoint == endpoint {
			place = i
			break
		}
		if h[i].seen < h[place].seen {
			place = i
		}
	}
	h[place] = holder{endpoint: endpoint, seen: now.UnixNano()}
}

// Evict notes that the endpoint doesn't cache the block any more.
func (c *CacheIndex) Evict(block identifier.BlockHash, endpoint int32) {
	h, ok := c.blocks[block]
	if !ok {
		return
	}
	for i := range h {
		if h[i].endpoint == endpoint {
			h[i] = holder{endpoint: noEndpoint}
		}
	}
}

// Forget drops what is believed of an endpoint, which lost its cache.
func (c *CacheIndex) Forget(endpoint int32) {
	for _, h := range c.blocks {
		for i := range h {
			if h[i].endpoint == endpoint {
				h[i] = holder{endpoint: noEndpoint}
			}
		}
	}
}

// Renumber gives the endpoints new numbers; what isn't in moved is forgotten.
func (c *CacheIndex) Renumber(moved map[int32]int32) {
	for _, h := range c.blocks {
		for i := range h {
			now, ok := moved[h[i].endpoint]
			if !ok {
				h[i] = holder{endpoint: noEndpoint}
				continue
			}
			h[i].endpoint = now
		}
	}
}

// Longest gives the number of leading blocks that some endpoint is believed
// to cache, and those endpoints in found; count says how many. As a cached
// block implies the blocks before it, a binary search finds the longest.
func (c *CacheIndex) Longest(blocks []identifier.BlockHash, now time.Time, found *[holdersPerBlock]int32) (depth, count int) {
	low, high := 0, len(blocks)
	for low < high {
		middle := (low + high + 1) / 2
		var at [holdersPerBlock]int32
		n := c.holders(blocks[middle-1], now, &at)
		if n == 0 {
			high = middle - 1
			continue
		}
		low, count, *found = middle, n, at
	}
	return low, count
}

func (c *CacheIndex) holders(block identifier.BlockHash, now time.Time, found *[holdersPerBlock]int32) int {
	h, ok := c.blocks[block]
	if !ok {
		return 0
	}
	n := 0
	oldest := now.Add(-c.timeToLive).UnixNano()
	for i := range h {
		if h[i].endpoint != noEndpoint && h[i].seen >= oldest {
			found[n] = h[i].endpoint
			n++
		}
	}
	return n
}

func (c *CacheIndex) insert(block identifier.BlockHash) *holders {
	h := &holders{}
	for i := range h {
		h[i].endpoint = noEndpoint
	}
	c.blocks[block] = h
	if len(c.order) < c.limit {
		c.order = append(c.order, block)
		return h
	}
	delete(c.blocks, c.order[c.oldest])
	c.order[c.oldest] = block
	c.oldest = (c.oldest + 1) % len(c.order)
	return h
}
