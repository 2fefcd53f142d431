package collector

import (
	"time"

	"foxtailflow.example/foxtailflow/internal/inner/courier"
)

// item is a beginning that an engine has worked on.
type item struct {
	// origin is the node that has sent the request, or the hub that told of it.
	origin string
	// local says that the origin is a node of this data centre.
	local  bool
	at     time.Time
	engine courier.Engine
	keys   []uint64
}

// news keeps the last items in the order of their arrival; each has a place
// that counts from 1.
//
// A beginning that many requests share is told of again only after some time:
// the index of a node keeps it for longer, and the places are few.
type news struct {
	items [newsLimit]item
	last  uint64
	// told and before have what was added in the present and the last turn.
	told   map[subject]bool
	before map[subject]bool
	turned time.Time
}

// subject is an engine with the longest of the beginnings that it has read.
type subject struct {
	engine courier.Engine
	key    uint64
}

// newsTurn is the least time after which a subject is told of again; the most is
// twice that.
const newsTurn = time.Second

// newsLimit bounds the items that are kept: those of some seconds.
const newsLimit = 512

func (n *news) add(it item, now time.Time) {
	if len(it.keys) == 0 {
		return
	}
	if since := now.Sub(n.turned); since >= newsTurn {
		if since >= 2*newsTurn {
			n.told = nil
		}
		n.told, n.before, n.turned = make(map[subject]bool), n.told, now
	}
	s := subject{engine: it.engine, key: it.keys[len(it.keys)-1]}
	if n.told[s] || n.before[s] {
		return
	}
	n.told[s] = true
	n.last++
	n.items[n.last%newsLimit] = it
}

// since returns the items after a place that pass the filter, with their ages.
func (n *news) since(place uint64, now time.Time, pass func(item) bool) []courier.Beginning {
	if n.last > newsLimit {
		place = max(place, n.last-newsLimit)
	}
	var out []courier.Beginning
	for p := place + 1; p <= n.last; p++ {
		if it := n.items[p%newsLimit]; pass(it) && now.Sub(it.at) < newsLife {
			out = append(out, courier.Beginning{Engine: it.engine, Keys: it.keys, Age: now.Sub(it.at)})
		}
	}
	return out
}
