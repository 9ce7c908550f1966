package experimenter

import (
	"container/list"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// cacheCapacity is the number of blocks that a prefill engine caches.
const cacheCapacity = 400

// blockCache is an engine's LRU prefix cache. It records every insertion and
// eviction as an event.
type blockCache struct {
	recency *list.List
	blocks  map[identifier.BlockHash]*list.Element
	events  []blockEvent
}

type blockEvent struct {
	block   identifier.BlockHash
	evicted bool
}

func newBlockCache() blockCache {
	return blockCache{recency: list.New(), blocks: map[identifier.BlockHash]*list.Element{}}
}

// cachedPrefix returns the number of leading blocks that are cached.
func (c *blockCache) cachedPrefix(blocks []identifier.BlockHash) int {
	for i, b := range blocks {
		if c.blocks[b] == nil {
			return i
		}
	}
	return len(blocks)
}

// add caches blocks and marks the first ones as the most recently used, since
// later blocks of a prefix can't be used without the earlier ones.
func (c *blockCache) add(blocks []identifier.BlockHash) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.touch(blocks[i])
	}
	for c.recency.Len() > cacheCapacity {
		oldest := c.recency.Back()
		b := c.recency.Remove(oldest).(identifier.BlockHash)
		delete(c.blocks, b)
		c.events = append(c.events, blockEvent{block: b, evicted: true})
	}
}

func (c *blockCache) touch(b identifier.BlockHash) {
	if e := c.blocks[b]; e != nil {
		c.recency.MoveToFront(e)
		return
	}
	c.blocks[b] = c.recency.PushFront(b)
	c.events = append(c.events, blockEvent{block: b})
}
