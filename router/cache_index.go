package router

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// maxHolders is the maximum number of endpoints recorded for one block.
const maxHolders = 4

// noEndpoint marks an unused slot of holders.
const noEndpoint int32 = -1

// holder is an endpoint that is assumed to cache a block.
type holder struct {
	endpoint int32
	// lastSeen is the time of the last placement or event, in nanoseconds since
	// the Unix epoch.
	lastSeen int64
}

// holders are the endpoints that are assumed to cache one block.
type holders [maxHolders]holder

// CacheIndex records which endpoints probably cache which blocks of prompts. Its
// entries come from placements, which are certain to fill the cache but don't
// reveal evictions, and from the engines' cache events, which arrive late and
// with gaps. Entries therefore expire after a time to live.
type CacheIndex struct {
	blocks map[identifier.BlockHash]*holders
	// insertOrder is a circular buffer of the indexed blocks, and oldest is the
	// index of the block that is replaced next once the buffer is full.
	insertOrder []identifier.BlockHash
	oldest      int
	limit       int
	timeToLive  time.Duration
}

// NewCacheIndex returns an empty index of at most limit blocks.
func NewCacheIndex(limit int, timeToLive time.Duration) *CacheIndex {
	return &CacheIndex{
		blocks:     make(map[identifier.BlockHash]*holders),
		limit:      limit,
		timeToLive: timeToLive,
	}
}

// Add records that the endpoint caches the block. If the block already has the
// maximum number of holders, the least recently seen one is replaced.
func (c *CacheIndex) Add(block identifier.BlockHash, endpoint int32, now time.Time) {
	h, ok := c.blocks[block]
	if !ok {
		h = c.insert(block)
	}
	slot := 0
	for i := range h {
		if h[i].endpoint == endpoint {
			slot = i
			break
		}
		if h[i].lastSeen < h[slot].lastSeen {
			slot = i
		}
	}
	h[slot] = holder{endpoint: endpoint, lastSeen: now.UnixNano()}
}

// Evict records that the endpoint no longer caches the block.
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

// Forget removes an endpoint that lost its cache from all blocks.
func (c *CacheIndex) Forget(endpoint int32) {
	for _, h := range c.blocks {
		for i := range h {
			if h[i].endpoint == endpoint {
				h[i] = holder{endpoint: noEndpoint}
			}
		}
	}
}

// Renumber maps the endpoints to their new numbers and removes those that are
// not in moved.
func (c *CacheIndex) Renumber(moved map[int32]int32) {
	for _, h := range c.blocks {
		for i := range h {
			number, ok := moved[h[i].endpoint]
			if !ok {
				h[i] = holder{endpoint: noEndpoint}
				continue
			}
			h[i].endpoint = number
		}
	}
}

// LongestPrefix returns the length, in blocks, of the longest prefix that any
// endpoint is assumed to cache. It stores the endpoints that cache it in found
// and returns their count. It uses a binary search, since an endpoint that
// caches a block also caches all blocks before it.
func (c *CacheIndex) LongestPrefix(blocks []identifier.BlockHash, now time.Time, found *[maxHolders]int32) (depth, count int) {
	low, high := 0, len(blocks)
	for low < high {
		middle := (low + high + 1) / 2
		var current [maxHolders]int32
		n := c.currentHolders(blocks[middle-1], now, &current)
		if n == 0 {
			high = middle - 1
			continue
		}
		low, count, *found = middle, n, current
	}
	return low, count
}

// currentHolders stores the block's holders that haven't expired in found and
// returns their count.
func (c *CacheIndex) currentHolders(block identifier.BlockHash, now time.Time, found *[maxHolders]int32) int {
	h, ok := c.blocks[block]
	if !ok {
		return 0
	}
	n := 0
	earliest := now.Add(-c.timeToLive).UnixNano()
	for i := range h {
		if h[i].endpoint != noEndpoint && h[i].lastSeen >= earliest {
			found[n] = h[i].endpoint
			n++
		}
	}
	return n
}

// insert adds a block without holders. If the index is full, it replaces the
// block that was inserted first.
func (c *CacheIndex) insert(block identifier.BlockHash) *holders {
	h := &holders{}
	for i := range h {
		h[i].endpoint = noEndpoint
	}
	c.blocks[block] = h
	if len(c.insertOrder) < c.limit {
		c.insertOrder = append(c.insertOrder, block)
		return h
	}
	delete(c.blocks, c.insertOrder[c.oldest])
	c.insertOrder[c.oldest] = block
	c.oldest = (c.oldest + 1) % len(c.insertOrder)
	return h
}
