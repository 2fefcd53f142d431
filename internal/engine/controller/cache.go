package controller

import (
	"context"
	"encoding/binary"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/jx"
)

// BlockBytes is the length of the prompt text in one cache block.
const BlockBytes = 256

// BlockHashes returns the hashes of the full cache blocks of a prompt, in order.
//
// Each hash covers all text up to the end of its block, so that two prompts
// share a hash only where they share the complete prefix.
func BlockHashes(prompt []byte) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/BlockBytes)
	var chain [8]byte
	for ; len(prompt) >= BlockBytes; prompt = prompt[BlockBytes:] {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.Write(chain[:])
		_, _ = d.Write(prompt[:BlockBytes])
		binary.LittleEndian.PutUint64(chain[:], d.Sum64())
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// CacheEvent reports that an engine has added a block to its prefix cache, or
// removed one.
type CacheEvent struct {
	// Sequence numbers the events of an engine from 1; a missing number means
	// a lost event.
	Sequence uint64
	Block    uint64
	Removed  bool
}

// EncodeCacheEvents encodes cache events.
func EncodeCacheEvents(events []CacheEvent) []byte {
	var e jx.Encoder
	e.Arr(func(e *jx.Encoder) {
		for _, c := range events {
			e.Obj(func(e *jx.Encoder) {
				e.Field("sequence", func(e *jx.Encoder) { e.UInt64(c.Sequence) })
				e.Field("piece", func(e *jx.Encoder) { e.UInt64(c.Block) })
				e.Field("removed", func(e *jx.Encoder) { e.Bool(c.Removed) })
			})
		}
	})
	return e.Bytes()
}

// DecodeCacheEvents decodes cache events.
func DecodeCacheEvents(data []byte) (events []CacheEvent, err error) {
	err = jx.DecodeBytes(data).Arr(func(d *jx.Decoder) error {
		var c CacheEvent
		err := d.Obj(func(d *jx.Decoder, name string) (err error) {
			switch name {
			case "sequence":
				c.Sequence, err = d.UInt64()
			case "piece":
				c.Block, err = d.UInt64()
			case "removed":
				c.Removed, err = d.Bool()
			default:
				err = d.Skip()
			}
			return err
		})
		events = append(events, c)
		return err
	})
	return events, wrapMalformed(err)
}

// CacheEvents returns the cache events of an engine after a sequence number.
func (c Client) CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error) {
	path := "/engine/cache-events?after=" + strconv.FormatUint(after, 10)
	data, err := c.send(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return nil, err
	}
	return DecodeCacheEvents(data)
}

// KV identifies the cached blocks of one request's prompt, as engines transfer
// them to one another.
type KV struct {
	RequestID string
	Blocks    []uint64
}

// EncodeKV encodes the cache of a prompt, or the request to export it.
func EncodeKV(kv KV) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("request-id", func(e *jx.Encoder) { e.Str(kv.RequestID) })
		e.Field("pieces", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, p := range kv.Blocks {
					e.UInt64(p)
				}
			})
		})
	})
	return e.Bytes()
}

// DecodeKV decodes the cache of a prompt.
func DecodeKV(data []byte) (kv KV, err error) {
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "request-id":
			kv.RequestID, err = d.Str()
		case "pieces":
			err = d.Arr(func(d *jx.Decoder) error {
				p, err := d.UInt64()
				kv.Blocks = append(kv.Blocks, p)
				return err
			})
		default:
			err = d.Skip()
		}
		return err
	})
	return kv, wrapMalformed(err)
}

// ExportKV gets the cache of a request's prompt from an engine.
func (c Client) ExportKV(ctx context.Context, address, requestID string) (KV, error) {
	data, err := c.send(ctx, http.MethodPost, address, "/engine/kv/export", EncodeKV(KV{RequestID: requestID}))
	if err != nil {
		return KV{}, err
	}
	return DecodeKV(data)
}

// ImportKV puts the cache of a prompt into an engine.
func (c Client) ImportKV(ctx context.Context, address string, kv KV) error {
	_, err := c.send(ctx, http.MethodPost, address, "/engine/kv/import", EncodeKV(kv))
	return err
}
