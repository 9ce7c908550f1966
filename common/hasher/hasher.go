// Package hasher splits prompts into the blocks in which engines cache
// prefixes, and gives each prefix of whole blocks a chained hash.
//
// # Usage
//
// Two prompts that share their first n blocks share their first n hashes:
//
//	blocks := hasher.Blocks(prompt)
//	if len(blocks) > 0 {
//		leading := blocks[0]
//	}
//
// The router uses the hashes for prefix affinity, and an engine names the
// prefixes of its cache events by them.
package hasher

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

const (
	// BytesPerToken is the length of prompt text that counts as one token.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in a block.
	BlockTokens = 64
	// BlockBytes is the length of a block's text.
	BlockBytes = BlockTokens * BytesPerToken
)

// Blocks gives the chained hash of each prefix of whole blocks, shortest
// first. Text behind the last whole block has no hash.
func Blocks(prompt string) []identifier.BlockHash {
	count := len(prompt) / BlockBytes
	if count == 0 {
		return nil
	}
	return Append(make([]identifier.BlockHash, 0, count), prompt, count)
}

// Append appends the hashes of at most limit leading blocks to hashes. It
// allocates only if hashes lacks room.
func Append(hashes []identifier.BlockHash, prompt string, limit int) []identifier.BlockHash {
	var state [8]byte
	var digest xxhash.Digest
	digest.Reset()
	for range min(limit, len(prompt)/BlockBytes) {
		digest.Reset()
		_, _ = digest.Write(state[:])                  // never fails, by its documentation
		_, _ = digest.WriteString(prompt[:BlockBytes]) // never fails, by its documentation
		sum := digest.Sum64()
		hashes = append(hashes, identifier.BlockHash(sum))
		binary.LittleEndian.PutUint64(state[:], sum)
		prompt = prompt[BlockBytes:]
	}
	return hashes
}

// CountTokens gives the number of tokens of prompt, a part of a token counted
// as a whole one.
func CountTokens(prompt string) identifier.Tokens {
	return identifier.Tokens((len(prompt) + BytesPerToken - 1) / BytesPerToken)
}
