package emulator

import (
	"container/list"

	"github.com/jackdawthread/jackdawthread/common/hasher"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// cacheKey identifies a cached block. The KV cache of a text depends on the
// model.
type cacheKey struct {
	model string
	block identifier.BlockHash
}

// prefixCache is an LRU cache of the KV blocks of prompt prefixes.
type prefixCache struct {
	limit    int
	blocks   map[cacheKey]*list.Element
	lru      *list.List // of cacheKey, most recently used first
	onChange func(block identifier.BlockHash, evicted bool)
}

func newPrefixCache(limit int, onChange func(identifier.BlockHash, bool)) *prefixCache {
	return &prefixCache{
		limit:    limit,
		blocks:   make(map[cacheKey]*list.Element),
		lru:      list.New(),
		onChange: onChange,
	}
}

// lookup returns the number of leading tokens of a prompt that are cached.
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

// insert caches the blocks of a prompt. Leading blocks become the most recently
// used ones because later blocks are useless without them.
func (c *prefixCache) insert(model, prompt string) {
	if c.limit <= 0 {
		return
	}
	blocks := hasher.Blocks(prompt)
	blocks = blocks[:min(len(blocks), c.limit)]
	for i := len(blocks) - 1; i >= 0; i-- {
		c.touch(cacheKey{model, blocks[i]})
	}
}

func (c *prefixCache) touch(k cacheKey) {
	if e, ok := c.blocks[k]; ok {
		c.lru.MoveToFront(e)
		return
	}
	c.blocks[k] = c.lru.PushFront(k)
	c.onChange(k.block, false)
	if c.lru.Len() <= c.limit {
		return
	}
	oldest := c.lru.Remove(c.lru.Back()).(cacheKey)
	delete(c.blocks, oldest)
	c.onChange(oldest.block, true)
}
