package collector

import (
	"time"

	"foxtailflow.example/foxtailflow/internal/inner/courier"
)

// prefixEntry has the keys of the prefixes of a prompt that an engine works on.
type prefixEntry struct {
	// origin is the node that sent the request, or the hub that reported it.
	origin string
	// local means that the origin is a node of this data centre.
	local   bool
	addedAt time.Time
	engine  courier.EngineHash
	keys    []uint64
	tokens  int
}

// prefixLog keeps the last entries in the order of their arrival, numbered from 1.
//
// A prefix that many requests share is added again only after some time, as the
// index of a node keeps it for longer and the log holds few entries.
type prefixLog struct {
	entries [maxEntries]prefixEntry
	last    uint64
	// recent and previous have the prefixes that were added in the current and in
	// the previous repeat interval.
	recent    map[enginePrefix]bool
	previous  map[enginePrefix]bool
	rotatedAt time.Time
}

// enginePrefix is an engine and the key of the longest prefix in an entry.
type enginePrefix struct {
	engine courier.EngineHash
	key    uint64
}

// repeatInterval is the least time after which a prefix is added again; the
// longest is twice that.
const repeatInterval = time.Second

// maxEntries bounds the log; it holds the entries of some seconds.
const maxEntries = 512

func (l *prefixLog) add(entry prefixEntry, now time.Time) {
	if len(entry.keys) == 0 {
		return
	}
	if since := now.Sub(l.rotatedAt); since >= repeatInterval {
		if since >= 2*repeatInterval {
			l.recent = nil
		}
		l.recent, l.previous, l.rotatedAt = make(map[enginePrefix]bool), l.recent, now
	}
	prefix := enginePrefix{engine: entry.engine, key: entry.keys[len(entry.keys)-1]}
	if l.recent[prefix] || l.previous[prefix] {
		return
	}
	l.recent[prefix] = true
	l.last++
	l.entries[l.last%maxEntries] = entry
}

// since returns the entries after a sequence number that match, with their ages.
func (l *prefixLog) since(sequence uint64, now time.Time, match func(prefixEntry) bool) []courier.PrefixReport {
	if l.last > maxEntries {
		sequence = max(sequence, l.last-maxEntries)
	}
	var out []courier.PrefixReport
	for i := sequence + 1; i <= l.last; i++ {
		if entry := l.entries[i%maxEntries]; match(entry) && now.Sub(entry.addedAt) < prefixLifetime {
			out = append(out, courier.PrefixReport{Engine: entry.engine, Keys: entry.keys, Tokens: entry.tokens, Age: now.Sub(entry.addedAt)})
		}
	}
	return out
}
