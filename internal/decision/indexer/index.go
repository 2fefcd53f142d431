// Package indexer remembers which endpoints may have the beginning of a prompt
// in their prefix cache.
//
// The index is a hint: a wrong entry costs a prefill and nothing else. It is
// filled by what this node sends and by the cache events of the engines, which
// come late and with gaps. After a gap nothing that was known of the engine
// can be trusted, so all of it is forgotten at once by raising the engine's
// generation. The memory is bounded; the oldest entries make room.
package indexer

import (
	"sync"
	"time"
)

// Events are the changes of one engine's cache, numbered without gaps.
type Events struct {
	// First is the number of the first change, Next that after the last.
	First   uint64
	Next    uint64
	Stored  []uint64
	Removed []uint64
}

const (
	// perEntry is how many holders of one beginning are kept: one for each data
	// centre of a region, with some to spare.
	perEntry = 6
	// DefaultLimit bounds the entries of one node, about 7 MB.
	DefaultLimit = 1 << 16
)

// holder names an engine by its number and the generation of what it held.
type holder struct {
	engine     uint32
	generation uint32
	// used is when the engine last worked on the beginning, in Unix milliseconds;
	// 0 where that is not known.
	used int64
}

// Holding is an endpoint that probably holds a beginning.
type Holding struct {
	Endpoint string
	// Length is the number of the chain's hashes that it holds.
	Length int
}

type entry struct {
	holders [perEntry]holder
	used    uint8
}

type engine struct {
	name       string
	generation uint32
	next       uint64
}

// Index maps hashes of beginnings to endpoints. Limit 0 means DefaultLimit.
type Index struct {
	Limit int

	mu      sync.Mutex
	entries map[uint64]entry
	// ring has the hashes in the order of their entry; pos is the oldest.
	ring []uint64
	pos  int
	// engines are numbered; the numbers of forgotten ones are used again.
	engines []engine
	numbers map[string]uint32
	free    []uint32
}

// Store notes that an endpoint probably caches these beginnings.
func (x *Index) Store(endpoint string, chain []uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.store(x.number(endpoint), chain, 0)
}

// StoreAt notes that an endpoint worked on these beginnings at a time.
func (x *Index) StoreAt(endpoint string, chain []uint64, at time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.store(x.number(endpoint), chain, at.UnixMilli())
}

// Holdings appends to dst the endpoints that have worked on a beginning since a
// time, those with the longest first.
func (x *Index) Holdings(dst []Holding, chain []uint64, since time.Time) []Holding {
	x.mu.Lock()
	defer x.mu.Unlock()
	oldest := since.UnixMilli()
	for i := len(chain) - 1; i >= 0; i-- {
		e, ok := x.entries[chain[i]]
		if !ok {
			continue
		}
		for _, h := range e.holders[:e.used] {
			known := x.engines[h.engine]
			if known.generation != h.generation || h.used < oldest || holds(dst, known.name) {
				continue
			}
			dst = append(dst, Holding{Endpoint: known.name, Length: i + 1})
		}
	}
	return dst
}

func holds(hs []Holding, name string) bool {
	for _, h := range hs {
		if h.Endpoint == name {
			return true
		}
	}
	return false
}

// Apply takes cache events; after a gap the endpoint's entries are cleared.
func (x *Index) Apply(endpoint string, ev Events) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.number(endpoint)
	e := &x.engines[n]
	switch {
	case ev.Next <= e.next && ev.First <= e.next && e.next > 0 && ev.Next > ev.First:
		// A repeat of events that were taken before.
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

// Clear forgets what an endpoint holds, as after its restart.
func (x *Index) Clear(endpoint string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if n, ok := x.numbers[endpoint]; ok {
		x.engines[n].generation++
		x.engines[n].next = 0
	}
}

// Forget drops an endpoint that is gone.
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

// Holders appends to dst endpoints that may have a beginning, longest first,
// up to the capacity of dst.
func (x *Index) Holders(dst []string, chain []uint64) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := len(chain) - 1; i >= 0; i-- {
		e, ok := x.entries[chain[i]]
		if !ok {
			continue
		}
		for _, h := range e.holders[:e.used] {
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

func (x *Index) number(endpoint string) uint32 {
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
	h := holder{engine: n, generation: x.engines[n].generation, used: used}
	for _, hash := range chain {
		e, ok := x.entries[hash]
		if !ok {
			x.makeRoom(hash)
		}
		x.entries[hash] = x.with(e, h)
	}
}

// with returns an entry with the holder first; the last one makes room.
func (x *Index) with(e entry, h holder) entry {
	out := entry{holders: [perEntry]holder{h}, used: 1}
	for _, o := range e.holders[:e.used] {
		if o.engine == h.engine {
			out.holders[0].used = max(h.used, o.used)
			continue
		}
		if x.engines[o.engine].generation == o.generation && out.used < perEntry {
			out.holders[out.used] = o
			out.used++
		}
	}
	return out
}

func (x *Index) makeRoom(hash uint64) {
	limit := x.Limit
	if limit == 0 {
		limit = DefaultLimit
	}
	if len(x.ring) < limit {
		x.ring = append(x.ring, hash)
		return
	}
	delete(x.entries, x.ring[x.pos])
	x.ring[x.pos] = hash
	x.pos = (x.pos + 1) % limit
}

func (x *Index) remove(n uint32, hash uint64) {
	e, ok := x.entries[hash]
	if !ok {
		return
	}
	out := entry{}
	for _, o := range e.holders[:e.used] {
		if o.engine != n {
			out.holders[out.used] = o
			out.used++
		}
	}
	// An entry without holders keeps its place in the ring until its turn.
	x.entries[hash] = out
}
