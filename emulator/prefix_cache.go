package emulator

import (
	"container/list"

	"github.com/jackdawthread/jackdawthread/common/hasher"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// cacheKey names a cached block: the same text gives another cache in another
// model.
type cacheKey struct {
	model string
	block identifier.BlockHash
}

// prefixCache holds the KV cache of prompts' leading blocks. The blocks used
// least recently make room for new ones.
type prefixCache struct {
	limit   int
	blocks  map[cacheKey]*list.Element
	recent  *list.List // of cacheKey, used last in front
	changed func(block identifier.BlockHash, evicted bool)
}

func newPrefixCache(limit int, changed func(identifier.BlockHash, bool)) *prefixCache {
	return &prefixCache{
		limit:   limit,
		blocks:  make(map[cacheKey]*list.Element),
		recent:  list.New(),
		changed: changed,
	}
}

// lookup gives how many of a prompt's leading tokens are cached.
func (c *prefixCache) lookup(model, prompt string) uint32 {
	found := uint32(0)
	for _, b := range hasher.Blocks(prompt) {
		if _, ok := c.blocks[cacheKey{model, b}]; !ok {
			break
		}
		found += hasher.BlockTokens
	}
	return found
}

// insert caches a prompt's blocks. Leading blocks end up as used last, since
// the others are of no use without them.
func (c *prefixCache) insert(model, prompt string) {
	if c.limit <= 0 {
		return
	}
	blocks := hasher.Blocks(prompt)
	blocks = blocks[:min(len(blocks), c.limit)]
	for i := len(blocks) - 1; i >= 0; i-- {
		c.use(cacheKey{model, blocks[i]})
	}
}

func (c *prefixCache) use(k cacheKey) {
	if e, ok := c.blocks[k]; ok {
		c.recent.MoveToFront(e)
		return
	}
	c.blocks[k] = c.recent.PushFront(k)
	c.changed(k.block, false)
	if c.recent.Len() <= c.limit {
		return
	}
	oldest := c.recent.Remove(c.recent.Back()).(cacheKey)
	delete(c.blocks, oldest)
	c.changed(oldest.block, true)
}
