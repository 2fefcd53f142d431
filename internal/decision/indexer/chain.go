package indexer

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// blockBytes is about 128 tokens: a shorter prefix saves an engine less than a
	// step of its batch.
	blockBytes = 512
	// MaxBlocks bounds the hashed part of a prompt to 16 KiB; system prompts and
	// batch records that many requests share are shorter.
	MaxBlocks = 32
)

// Chain appends to dst one hash for each block of the prompt, up to MaxBlocks.
//
// Each hash covers all text up to the end of its block, so that two prompts with
// the same hash have the same prefix.
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

// SegmentChain appends to dst one hash for each part of a prompt, and to tokens the
// number of tokens up to the end of that part.
//
// As in Chain, each hash covers all parts up to its own.
func SegmentChain(dst []uint64, tokens []int, segments []Segment) ([]uint64, []int) {
	h, sum := uint64(0), 0
	for _, p := range segments {
		h = (h^p.ID)*mixMultiplier + uint64(p.Tokens)
		h ^= h >> 29
		sum += p.Tokens
		dst, tokens = append(dst, h), append(tokens, sum)
	}
	return dst, tokens
}

// mixMultiplier is the multiplier of a 64-bit mixing step.
const mixMultiplier = 0xd6e8feb86659fd93

// Segment is a part of a prompt that is identified by its caller.
type Segment struct {
	// Name is what the caller calls the part; ID is the hash of it.
	Name   string
	ID     uint64
	Tokens int
}
