// Package prefix computes the hashes that identify the cacheable prefixes of a
// prompt: one chained hash per full block, so that two prompts share exactly the
// hashes of their common leading blocks.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the number of bytes of prompt text in one cache block.
	BlockBytes = 256
	// BytesPerToken is the assumed mean length of a token in bytes of prompt text.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in one cache block.
	BlockTokens = BlockBytes / BytesPerToken
)

// Chain appends the hashes of prompt's full blocks to dst. The hash of block i
// covers blocks 0 to i and the model.
func Chain(dst []uint64, model string, prompt []byte) []uint64 {
	previous := xxhash.Sum64String(model)
	var seed [8]byte
	var digest xxhash.Digest
	for len(prompt) >= BlockBytes {
		binary.LittleEndian.PutUint64(seed[:], previous)
		digest.Reset()
		_, _ = digest.Write(seed[:])
		_, _ = digest.Write(prompt[:BlockBytes])
		previous = digest.Sum64()
		dst = append(dst, previous)
		prompt = prompt[BlockBytes:]
	}
	return dst
}

// Tokens estimates the number of tokens in n bytes of prompt text.
func Tokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }
