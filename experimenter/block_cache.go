package experimenter

import (
	"container/list"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// cacheBlocks is how many blocks a prefill engine caches.
const cacheBlocks = 400

// blockCache is an engine's prefix cache; it evicts the block that was used
// longest ago, and notes all changes as events.
type blockCache struct {
	order  *list.List
	blocks map[identifier.BlockHash]*list.Element
	events []blockEvent
}

type blockEvent struct {
	block   identifier.BlockHash
	evicted bool
}

func newBlockCache() blockCache {
	return blockCache{order: list.New(), blocks: map[identifier.BlockHash]*list.Element{}}
}

// prefix gives the number of leading blocks that are cached.
func (c *blockCache) prefix(blocks []identifier.BlockHash) int {
	for i, b := range blocks {
		if c.blocks[b] == nil {
			return i
		}
	}
	return len(blocks)
}

// add caches blocks; the first ones count as used last, as later blocks are
// of no use without them.
func (c *blockCache) add(blocks []identifier.BlockHash) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.touch(blocks[i])
	}
	for c.order.Len() > cacheBlocks {
		oldest := c.order.Back()
		b := c.order.Remove(oldest).(identifier.BlockHash)
		delete(c.blocks, b)
		c.events = append(c.events, blockEvent{block: b, evicted: true})
	}
}

func (c *blockCache) touch(b identifier.BlockHash) {
	if e := c.blocks[b]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	c.blocks[b] = c.order.PushFront(b)
	c.events = append(c.events, blockEvent{block: b})
}
