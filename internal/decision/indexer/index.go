// Package indexer records which endpoints may have a prefix of a prompt in their
// prefix cache.
//
// The index is a hint: a wrong entry costs a prefill and nothing else. It is
// filled from the requests that this node sends and from the cache events of the
// engines, which arrive late and with gaps. After a gap no entry of the engine
// can be trusted, so all of them are invalidated at once by incrementing the
// engine's generation. The memory is bounded; the oldest entries are evicted.
package indexer

import (
	"sync"
	"time"
)

// Events are the changes of one engine's cache, numbered without gaps.
type Events struct {
	// First is the number of the first change, Next the one after the last.
	First   uint64
	Next    uint64
	Stored  []uint64
	Removed []uint64
}

const (
	// maxHolders bounds the holders kept for one prefix: one for each data centre
	// of a region, with some to spare.
	maxHolders = 6
	// DefaultLimit is the default maximum number of entries, which take about 14 MB.
	DefaultLimit = 1 << 16
)

// holder identifies an engine by its number, with its generation at the time of
// the entry.
type holder struct {
	engine     uint32
	generation uint32
	// usedAt is when the engine last used the prefix, in Unix milliseconds; 0 if
	// unknown.
	usedAt int64
	// volume is the volume of the engine at that time.
	volume uint64
}

// CachedPrefix is an endpoint that probably has a prefix in its cache.
type CachedPrefix struct {
	Endpoint string
	// Hashes is the length of that prefix, in hashes of the chain.
	Hashes int
}

type entry struct {
	holders [maxHolders]holder
	count   uint8
}

type engine struct {
	name       string
	generation uint32
	next       uint64
	// volume is the number of prompt tokens that were placed in its cache, those included
	// that were there before the index knew of them.
	volume uint64
}

// Index maps hashes of prefixes to endpoints. Limit 0 means DefaultLimit.
type Index struct {
	Limit int

	mu      sync.Mutex
	entries map[uint64]entry
	// ring has the hashes in the order of their insertion; oldest is the index of
	// the oldest one once the ring is full.
	ring   []uint64
	oldest int
	// engines is indexed by engine number; the numbers of forgotten engines, in
	// free, are reused.
	engines []engine
	numbers map[string]uint32
	free    []uint32
}

// Store records that an endpoint probably has these prefixes in its cache.
func (x *Index) Store(endpoint string, chain []uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.store(x.engineNumber(endpoint), chain, 0)
}

// StoreAt records that an endpoint used these prefixes at a time, and that its cache took the
// given number of tokens for that.
func (x *Index) StoreAt(endpoint string, chain []uint64, at time.Time, tokens int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.engineNumber(endpoint)
	x.engines[n].volume += uint64(max(tokens, 0))
	x.store(n, chain, at.UnixMilli())
}

// Freshness bounds what is assumed to be still in a cache.
type Freshness struct {
	// Since is the earliest time of the last use.
	Since time.Time
	// Tokens is the number of tokens that a cache may have taken since the last use: engines
	// evict what was used longest ago. 0 means no bound.
	Tokens int
}

// CachedPrefixes appends to dst the endpoints that probably still have a prefix of the
// chain, the longest prefix first.
func (x *Index) CachedPrefixes(dst []CachedPrefix, chain []uint64, f Freshness) []CachedPrefix {
	x.mu.Lock()
	defer x.mu.Unlock()
	oldest := f.Since.UnixMilli()
	for i := len(chain) - 1; i >= 0; i-- {
		e, ok := x.entries[chain[i]]
		if !ok {
			continue
		}
		for _, h := range e.holders[:e.count] {
			known := x.engines[h.engine]
			if known.generation != h.generation || h.usedAt < oldest || listsEndpoint(dst, known.name) {
				continue
			}
			if f.Tokens > 0 && known.volume-h.volume > uint64(f.Tokens) {
				continue
			}
			dst = append(dst, CachedPrefix{Endpoint: known.name, Hashes: i + 1})
		}
	}
	return dst
}

func listsEndpoint(prefixes []CachedPrefix, name string) bool {
	for _, h := range prefixes {
		if h.Endpoint == name {
			return true
		}
	}
	return false
}

// Apply applies cache events of an endpoint; after a gap it first invalidates the
// endpoint's entries.
func (x *Index) Apply(endpoint string, ev Events) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.engineNumber(endpoint)
	e := &x.engines[n]
	switch {
	case ev.Next <= e.next && ev.First <= e.next && e.next > 0 && ev.Next > ev.First:
		// These events were applied before.
		return
	case ev.First != e.next:
		e.generation++
	}
	e.next = ev.Next
	for _, h := range ev.Removed {
		x.remove(n, h)
	}
	x.store(n, ev.Stored, 0)
}

// Clear invalidates the entries of an endpoint, for example after its restart.
func (x *Index) Clear(endpoint string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if n, ok := x.numbers[endpoint]; ok {
		x.engines[n].generation++
		x.engines[n].next = 0
	}
}

// Forget removes an endpoint that no longer exists.
func (x *Index) Forget(endpoint string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n, ok := x.numbers[endpoint]
	if !ok {
		return
	}
	x.engines[n] = engine{generation: x.engines[n].generation + 1}
	delete(x.numbers, endpoint)
	x.free = append(x.free, n)
}

// Holders appends to dst endpoints that may have a prefix of the chain, the
// longest prefix first, up to the capacity of dst.
func (x *Index) Holders(dst []string, chain []uint64) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := len(chain) - 1; i >= 0; i-- {
		e, ok := x.entries[chain[i]]
		if !ok {
			continue
		}
		for _, h := range e.holders[:e.count] {
			if len(dst) == cap(dst) {
				return dst
			}
			if known := x.engines[h.engine]; known.generation == h.generation && !contains(dst, known.name) {
				dst = append(dst, known.name)
			}
		}
	}
	return dst
}

// Len returns the number of entries.
func (x *Index) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.entries)
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func (x *Index) engineNumber(endpoint string) uint32 {
	if n, ok := x.numbers[endpoint]; ok {
		return n
	}
	if x.numbers == nil {
		x.numbers = make(map[string]uint32)
		x.entries = make(map[uint64]entry)
	}
	var n uint32
	if len(x.free) > 0 {
		n = x.free[len(x.free)-1]
		x.free = x.free[:len(x.free)-1]
		x.engines[n].name = endpoint
	} else {
		n = uint32(len(x.engines))
		x.engines = append(x.engines, engine{name: endpoint})
	}
	x.numbers[endpoint] = n
	return n
}

func (x *Index) store(n uint32, chain []uint64, used int64) {
	h := holder{engine: n, generation: x.engines[n].generation, usedAt: used, volume: x.engines[n].volume}
	for _, hash := range chain {
		e, ok := x.entries[hash]
		if !ok {
			x.addToRing(hash)
		}
		x.entries[hash] = x.withHolder(e, h)
	}
}

// withHolder returns an entry with the holder first; the last holder is dropped if
// the entry is full.
func (x *Index) withHolder(e entry, h holder) entry {
	out := entry{holders: [maxHolders]holder{h}, count: 1}
	for _, o := range e.holders[:e.count] {
		if o.engine == h.engine {
			out.holders[0].usedAt = max(h.usedAt, o.usedAt)
			continue
		}
		if x.engines[o.engine].generation == o.generation && out.count < maxHolders {
			out.holders[out.count] = o
			out.count++
		}
	}
	return out
}

func (x *Index) addToRing(hash uint64) {
	limit := x.Limit
	if limit == 0 {
		limit = DefaultLimit
	}
	if len(x.ring) < limit {
		x.ring = append(x.ring, hash)
		return
	}
	delete(x.entries, x.ring[x.oldest])
	x.ring[x.oldest] = hash
	x.oldest = (x.oldest + 1) % limit
}

func (x *Index) remove(n uint32, hash uint64) {
	e, ok := x.entries[hash]
	if !ok {
		return
	}
	out := entry{}
	for _, o := range e.holders[:e.count] {
		if o.engine != n {
			out.holders[out.count] = o
			out.count++
		}
	}
	// An entry without holders stays in the ring until it is the oldest one.
	x.entries[hash] = out
}
