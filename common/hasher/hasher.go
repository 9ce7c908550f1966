// Package hasher splits prompts into the blocks that engines cache prefixes in,
// and computes a chained hash for each prefix of whole blocks.
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
// The router uses the hashes for prefix affinity, and engines identify the
// prefixes in their cache events by them.
package hasher

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

const (
	// BytesPerToken is the number of bytes of prompt text counted as one
	// token.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in a block.
	BlockTokens = 64
	// BlockBytes is the length of a block in bytes.
	BlockBytes = BlockTokens * BytesPerToken
)

// Blocks returns the chained hash of each prefix of whole blocks, shortest
// first. A partial block at the end is not hashed.
func Blocks(prompt string) []identifier.BlockHash {
	count := len(prompt) / BlockBytes
	if count == 0 {
		return nil
	}
	return Append(make([]identifier.BlockHash, 0, count), prompt, count)
}

// Append appends the hashes of at most limit leading blocks to hashes. It
// allocates only if the capacity of hashes is too small.
func Append(hashes []identifier.BlockHash, prompt string, limit int) []identifier.BlockHash {
	var parent [8]byte
	var digest xxhash.Digest
	digest.Reset()
	for range min(limit, len(prompt)/BlockBytes) {
		digest.Reset()
		_, _ = digest.Write(parent[:])                 // documented never to fail
		_, _ = digest.WriteString(prompt[:BlockBytes]) // documented never to fail
		sum := digest.Sum64()
		hashes = append(hashes, identifier.BlockHash(sum))
		binary.LittleEndian.PutUint64(parent[:], sum)
		prompt = prompt[BlockBytes:]
	}
	return hashes
}

// CountTokens returns the number of tokens in prompt, rounded up.
func CountTokens(prompt string) identifier.Tokens {
	return identifier.Tokens((len(prompt) + BytesPerToken - 1) / BytesPerToken)
}
