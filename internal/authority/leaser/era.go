package leaser

import (
	"time"

	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// tokenBits is the width of the count of takeovers in a fencing token; above it is the era
// of the store in which the takeover was made. The count alone is lost with the store.
const tokenBits = 32

// nextToken returns the fencing token of a takeover in an era, given the largest that was seen.
func nextToken(seen, era uint64) uint64 { return max(seen+1, era<<tokenBits+1) }

// tokenEra returns the era in which a fencing token was made.
func tokenEra(token uint64) uint64 { return token >> tokenBits }

// FirstOfEra reports whether the lease is the first that was taken in its era of the store,
// if that has eras. Then the store may have lost what earlier holders had written.
func (g Grant) FirstOfEra() bool {
	era := tokenEra(g.Token)
	return era > 0 && g.Token == nextToken(0, era)
}

// withEra returns a copy that knows the era of the store, which this process first read of
// at a time.
func (d duty) withEra(era uint64, since time.Time) duty {
	if d.era != era && d.eraKnown {
		d.eraSince = since
	}
	d.era, d.eraKnown = era, true
	return d
}

// rowLostSince returns since when this node has known that the lease row may be older than
// the last lease: the store has begun an era, in which no lease was taken yet, or its token is
// smaller than one that was seen in a store without eras. The zero time means that it is not
// so.
func (d duty) rowLostSince() time.Time {
	if d.row.token < d.maxToken && tokenEra(d.maxToken) == d.era {
		return d.rowSince
	}
	if tokenEra(d.row.token) == d.era || d.row.token == 0 && d.eraSince.IsZero() {
		return time.Time{}
	}
	if d.rowSince.After(d.eraSince) {
		return d.rowSince
	}
	return d.eraSince
}

// withRowLost returns a copy of a held lease whose row the store has lost, or has as it was
// before; the next renewal writes it again.
func (d duty) withRowLost(l lease, version transactor.Version) duty {
	d.row.heartbeat = max(d.row.heartbeat, l.heartbeat)
	d.version, d.pending = version, nil
	return d
}

// epochLost reports whether the epoch row of a held lease is of another era than its lease
// row.
func (d duty) epochLost() bool { return d.epoch.Era() != d.version.Era() }

// era returns the newest era of the table that is known, and when it was first heard of.
func (l *Leaser) era() (era uint64, since time.Time) {
	if l.Era == nil {
		return 0, time.Time{}
	}
	return l.Era()
}

// keepOverEra returns the state of a held lease when the store has come back from an older
// copy, whose row says nothing of the holders since. No other node takes a lease earlier than
// Duration and Margin after its last renewal. If the era had begun by then, this node still
// has the duty, and writes its row again.
func (l *Leaser) keepOverEra(name string, d duty, row lease, version transactor.Version, now time.Time) duty {
	if takeoverAt := d.expiresAt.Add(2 * l.times().Margin); d.eraSince.Before(takeoverAt) && row.token <= d.row.token {
		l.Log.Info().Str("duty", name).Uint64("fencing-token", d.row.token).Uint64("era", d.era).Msg("lease kept; the store has come back from an older copy")
		return d.withRowLost(row, version).withDueAt(now)
	}
	l.Log.Warn().Str("duty", name).Uint64("fencing-token", d.row.token).Uint64("era", d.era).Msg("lease lost; the store has come back from an older copy")
	return d.withLoss().withRow(row, version, now).withDueAt(now.Add(l.jitter(l.times().RenewInterval)))
}
