package indexer

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// blockBytes is about 128 tokens: shorter beginnings save an engine less
	// than a step of its batch.
	blockBytes = 512
	// MaxBlocks bounds what is hashed of a prompt; system prompts and batch
	// records that many requests share are shorter than 16 KiB.
	MaxBlocks = 32
)

// Chain appends to dst one hash for each block of the prompt's beginning.
//
// Each hash covers all text up to the end of its block, so that two prompts
// with the same hash have the same beginning.
func Chain(dst []uint64, prompt []byte) []uint64 {
	var d xxhash.Digest
	d.Reset()
	for i := 0; i < MaxBlocks && len(prompt) >= blockBytes; i++ {
		_, _ = d.Write(prompt[:blockBytes]) // A hash never fails to write.
		prompt = prompt[blockBytes:]
		dst = append(dst, d.Sum64())
	}
	return dst
}

// Parts appends to dst one hash for each part of a prompt, and returns with it
// the tokens up to the end of each part.
//
// Like those of Chain, each hash covers everything up to the end of its part.
func Parts(dst []uint64, tokens []int, parts []Part) ([]uint64, []int) {
	h, sum := uint64(0), 0
	for _, p := range parts {
		h = (h^p.ID)*mixer + uint64(p.Tokens)
		h ^= h >> 29
		sum += p.Tokens
		dst, tokens = append(dst, h), append(tokens, sum)
	}
	return dst, tokens
}

// mixer is the multiplier of a 64-bit mixing step.
const mixer = 0xd6e8feb86659fd93

// Part is a part of a prompt that its caller has named.
type Part struct {
	ID     uint64
	Tokens int
}
