// Package counter counts what answered requests have used on one node.
//
// What is counted is cut into pieces a few times a second. A piece has a
// sequence number and never changes: its copy at a peer is the same piece, and
// whoever seals it, the node or the peer, seals the same figures. A kill loses
// only what was not yet cut and copied, in the client account's favour.
package counter

import (
	"cmp"
	"expvar"
	"slices"
	"sync"
)

// Figures are the billed quantities of one client account and model.
type Figures struct {
	Account      string
	Model        string
	Requests     int64
	PromptTokens int64
	OutputTokens int64
}

// Piece is a part of a node's usage.
//
// It is an immutable value; the With methods return changed copies.
type Piece struct {
	Sequence uint64
	Figures  []Figures
	// Keeper is the peer that has a copy, empty if none has.
	Keeper string
}

// WithKeeper returns a copy that a peer has.
func (p Piece) WithKeeper(peer string) Piece {
	p.Keeper = peer
	return p
}

// requests returns the number of requests in the piece.
func (p Piece) requests() (n int64) {
	for _, f := range p.Figures {
		n += f.Requests
	}
	return n
}

// uncopied is the number of requests whose usage a kill would lose.
var uncopied = expvar.NewInt("usage-uncopied")

// Counter counts usage and keeps it until it is sealed.
//
// The zero value is empty. The open figures are a plain map under one lock: a
// map copied with each request would cost more than all else at a node.
type Counter struct {
	mu     sync.Mutex
	open   map[subject]Figures
	last   uint64
	pieces []Piece
}

type subject struct{ account, model string }

// Count adds figures.
func (c *Counter) Count(f Figures) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[subject]Figures)
	}
	k := subject{account: f.Account, model: f.Model}
	c.open[k] = add(f, c.open[k])
	uncopied.Add(f.Requests)
}

func add(f, g Figures) Figures {
	f.Requests += g.Requests
	f.PromptTokens += g.PromptTokens
	f.OutputTokens += g.OutputTokens
	return f
}

// Cut makes a piece of what was counted since the last one.
func (c *Counter) Cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) == 0 {
		return
	}
	figures := make([]Figures, 0, len(c.open))
	for _, f := range c.open {
		figures = append(figures, f)
	}
	c.last++
	c.pieces = append(c.pieces, Piece{Sequence: c.last, Figures: sorted(figures)})
	c.open = nil
}

// Pieces returns the pieces that are not sealed, in the order of their numbers.
func (c *Counter) Pieces() []Piece {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.pieces)
}

// Copied notes that a peer has a piece.
func (c *Counter) Copied(sequence uint64, peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, p := range c.pieces {
		if p.Sequence == sequence {
			if p.Keeper == "" {
				uncopied.Add(-p.requests())
			}
			c.pieces[i] = p.WithKeeper(peer)
		}
	}
}

// Sealed drops the pieces up to a number.
func (c *Counter) Sealed(upTo uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pieces = slices.DeleteFunc(c.pieces, func(p Piece) bool {
		if p.Sequence <= upTo && p.Keeper == "" {
			uncopied.Add(-p.requests())
		}
		return p.Sequence <= upTo
	})
}

// Sum adds figures up by client account and model, in their order.
func Sum(parts ...[]Figures) []Figures {
	sums := make(map[subject]Figures)
	for _, part := range parts {
		for _, f := range part {
			k := subject{account: f.Account, model: f.Model}
			sums[k] = add(f, sums[k])
		}
	}
	all := make([]Figures, 0, len(sums))
	for _, f := range sums {
		all = append(all, f)
	}
	return sorted(all)
}

func sorted(figures []Figures) []Figures {
	slices.SortFunc(figures, func(a, b Figures) int {
		if n := cmp.Compare(a.Account, b.Account); n != 0 {
			return n
		}
		return cmp.Compare(a.Model, b.Model)
	})
	return figures
}
