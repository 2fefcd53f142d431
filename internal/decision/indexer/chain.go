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
