// Package sealer puts the usage of nodes into the table, once.
//
// A node seals its pieces every few seconds in one commit, which writes a
// segment row for each group of client accounts and raises the row
// usage/sealed/NODE to the last sequence number. Whoever seals checks that row,
// so a piece is sealed once, whether by its node or by the peer that keeps its
// copy, and even after a window has consumed the segment rows.
package sealer

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
	"foxtailflow.example/foxtailflow/internal/usage/counter"
)

const (
	segmentPrefix = "usage/segment/"
	sealedPrefix  = "usage/sealed/"
)

// SegmentPrefix returns the beginning of the keys of a group's segments.
func SegmentPrefix(group int) string {
	return segmentPrefix + strconv.Itoa(group) + "/"
}

// segmentKey names a segment; one with many figures has several rows.
func segmentKey(group int, node string, sequence uint64, part int) string {
	key := SegmentPrefix(group) + node + "/" + strconv.FormatUint(sequence, 10)
	if part > 0 {
		key += "/" + strconv.Itoa(part)
	}
	return key
}

// rowFigures bounds the figures of one row, so that each fits into a report.
const rowFigures = 32

func sealedKey(node string) string { return sealedPrefix + node }

// Group returns the group of a client account.
func Group(account string, groups int) int {
	return int(xxhash.Sum64String(account) % uint64(max(groups, 1)))
}

// Sealer seals pieces; one value serves for all nodes.
type Sealer struct {
	Clock timekeeper.Clock
	Table transactor.Table
	// Groups returns the number of groups of client accounts.
	Groups func() int
	// marks are the sealed rows as they were seen last, by node.
	marks keeper.Table[string, mark]
}

// mark is the row usage/sealed/NODE.
type mark struct {
	sequence uint64
	at       time.Time
	version  uint64
}

// Seal seals the pieces of a node, which are in order, as far as they follow
// on what is sealed, and returns the last sealed sequence number. With gaps
// allowed, pieces that are missing are given up.
//
// An error means that nothing is known to be sealed now; the same call again
// is safe, since the commit checks the row that it raises.
func (s *Sealer) Seal(ctx context.Context, node string, pieces []counter.Piece, gaps bool) (uint64, error) {
	m, ok := s.marks.Get(node)
	if !ok {
		var err error
		if m, err = s.look(ctx, node); err != nil {
			return 0, err
		}
	}
	due := follow(m.sequence, pieces, gaps)
	if len(due) == 0 {
		return m.sequence, nil
	}
	next := mark{sequence: due[len(due)-1].Sequence, at: s.Clock.Now()}
	version, err := s.Table.Commit(ctx, s.transaction(node, m, next, due))
	if err != nil {
		return s.failed(ctx, node, m, err)
	}
	next.version = version
	s.marks.Put(node, next)
	return next.sequence, nil
}

// failed finds out what is sealed after a commit without a good answer.
func (s *Sealer) failed(ctx context.Context, node string, before mark, cause error) (uint64, error) {
	s.marks.Delete(node)
	if coder.Of(cause).Outcome() == coder.NotRun && !coder.Is(cause, coder.PlatformConflict) {
		return 0, cause
	}
	now, err := s.look(ctx, node)
	if err != nil {
		return 0, err
	}
	if now.version == before.version {
		// The commit may still be on its way; the row it checks decides.
		return 0, cause
	}
	return now.sequence, nil
}

func (s *Sealer) look(ctx context.Context, node string) (mark, error) {
	row, err := s.Table.Get(ctx, sealedKey(node))
	if coder.Is(err, coder.RowUnknown) {
		return mark{}, nil
	}
	if err != nil {
		return mark{}, err
	}
	m, err := decodeMark(row.Value)
	m.version = row.Version
	if err == nil {
		s.marks.Put(node, m)
	}
	return m, err
}

// Forget drops what is remembered of a node that is gone.
func (s *Sealer) Forget(node string) { s.marks.Delete(node) }

// follow returns the pieces after a number, up to the first gap.
func follow(sealed uint64, pieces []counter.Piece, gaps bool) []counter.Piece {
	var due []counter.Piece
	for _, p := range pieces {
		switch {
		case p.Sequence <= sealed:
			continue
		case p.Sequence != sealed+1 && !gaps:
			return due
		}
		due = append(due, p)
		sealed = p.Sequence
	}
	return due
}

func (s *Sealer) transaction(node string, before, next mark, due []counter.Piece) transactor.Tx {
	groups := s.Groups()
	byGroup := make(map[int][]counter.Figures)
	for _, p := range due {
		for _, f := range p.Figures {
			g := Group(f.Account, groups)
			byGroup[g] = append(byGroup[g], f)
		}
	}
	tx := transactor.Tx{}.WithCheck(sealedKey(node), before.version).WithPut(sealedKey(node), encodeMark(next))
	for g, figures := range byGroup {
		part := 0
		for row := range slices.Chunk(counter.Sum(figures), rowFigures) {
			tx = tx.WithPut(segmentKey(g, node, next.sequence, part), EncodeFigures(row))
			part++
		}
	}
	return tx
}

const (
	// keepMarks is how long the row of a node outlives what it sealed last; a
	// copy at a peer is sealed or dropped within minutes.
	keepMarks = 24 * time.Hour
	// purgePage bounds the rows that one pass reads and removes.
	purgePage = 64
)

// Purge removes the rows usage/sealed/NODE that have outlived their use, one
// page after a key in each pass, and returns the key to go on after.
func (s *Sealer) Purge(ctx context.Context, after string) (string, error) {
	rows, err := s.Table.Scan(ctx, sealedPrefix, after, purgePage)
	if err != nil {
		return after, err
	}
	var tx transactor.Tx
	for _, row := range rows {
		m, err := decodeMark(row.Value)
		if err == nil && s.Clock.Now().Sub(m.at) > keepMarks {
			tx = tx.WithCheck(row.Key, row.Version).WithDelete(row.Key)
		}
	}
	next := ""
	if len(rows) == purgePage {
		next = rows[len(rows)-1].Key
	}
	if len(tx.Writes()) == 0 {
		return next, nil
	}
	if _, err = s.Table.Commit(ctx, tx); coder.Is(err, coder.PlatformConflict) {
		return next, nil
	}
	return next, err
}
