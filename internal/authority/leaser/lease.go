package leaser

import (
	"slices"
	"time"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// lease is the content of the row lease/DUTY.
//
// A row without a holder was released. Its token is kept, since tokens only grow.
type lease struct {
	holder string
	token  uint64
	// heartbeat grows with each renewal, so that reading the row shows which
	// renewal took effect.
	heartbeat uint64
}

func encodeLease(l lease) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("holder", func(e *jx.Encoder) { e.Str(l.holder) })
		e.Field("fencing-token", func(e *jx.Encoder) { e.UInt64(l.token) })
		e.Field("beat", func(e *jx.Encoder) { e.UInt64(l.heartbeat) })
	})
	return e.Bytes()
}

func decodeLease(data []byte) (l lease, err error) {
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "holder":
			l.holder, err = d.Str()
		case "fencing-token":
			l.token, err = d.UInt64()
		case "beat":
			l.heartbeat, err = d.UInt64()
		default:
			err = d.Skip()
		}
		return err
	})
	if err != nil {
		return lease{}, coder.Wrap(coder.Internal, err, "malformed lease row")
	}
	return l, nil
}

// pendingCommit is a commit of a lease whose result is not known.
type pendingCommit struct {
	lease lease
	sent  time.Time
	// expiresAt is when the lease can no longer be trusted if the commit took
	// effect.
	expiresAt time.Time
	// callsFrom is when calls may be sent after a takeover.
	callsFrom time.Time
	// writesEpoch means that the commit also writes the epoch row.
	writesEpoch bool
}

// duty is what this node knows of one duty.
//
// It is an immutable value; the with methods return changed copies.
type duty struct {
	// dueAt is when the next step is due.
	dueAt time.Time
	// row and version are the lease row as last seen, rowSince the time at which
	// it was first seen at this version. rowKnown is false before the first read.
	row      lease
	version  transactor.Version
	rowSince time.Time
	rowKnown bool
	// interrupted says that the last call failed; resumedAt is the first read after
	// one that did.
	interrupted bool
	resumedAt   time.Time
	// era is the newest era of the store that is known, if eraKnown is set. eraSince is
	// when this process first heard of it; zero if it was the first.
	era      uint64
	eraKnown bool
	eraSince time.Time
	// held says that the row is this node's lease; epoch, takenAt, callsFrom and
	// expiresAt belong to it.
	held      bool
	epoch     transactor.Version
	takenAt   time.Time
	callsFrom time.Time
	expiresAt time.Time
	// pending lists the commits whose result must be read back before another
	// commit is sent.
	pending []pendingCommit
	// lastHeartbeat is the largest heartbeat that this node has used. A heartbeat is
	// never used twice: the row of a commit that took effect late would be taken for
	// a later one, and the lease would seem to be valid for longer than it is.
	lastHeartbeat uint64
	// maxToken is the largest fencing token that this node has seen. A store without eras
	// that comes back from an older copy has a smaller one in its row.
	maxToken uint64
	// closed says that this node is leaving and takes no more leases.
	closed bool
}

func (d duty) withDueAt(at time.Time) duty {
	d.dueAt = at
	return d
}

// withSent returns a copy that has used the heartbeat of pc.
func (d duty) withSent(pc pendingCommit) duty {
	d.lastHeartbeat = max(d.lastHeartbeat, pc.lease.heartbeat)
	return d
}

func (d duty) withPending(pc pendingCommit) duty {
	d.pending = append(slices.Clone(d.pending), pc)
	return d
}

func (d duty) withoutPending() duty {
	d.pending = nil
	return d
}

// withRow returns a copy that has seen the row at the given time.
func (d duty) withRow(l lease, version transactor.Version, at time.Time) duty {
	if !d.rowKnown || d.version != version {
		d.rowSince = at
	}
	if d.interrupted {
		d.interrupted, d.resumedAt = false, at
	}
	d.row, d.version, d.rowKnown = l, version, true
	d.maxToken = max(d.maxToken, l.token)
	return d
}

// withInterruption returns a copy for which a call to the store failed without effect.
func (d duty) withInterruption() duty {
	d.interrupted = true
	return d
}

// withTakeover returns a copy whose takeover is known to have taken effect.
func (d duty) withTakeover(pc pendingCommit, version transactor.Version) duty {
	d.held, d.takenAt, d.callsFrom = true, pc.sent, pc.callsFrom
	return d.withRenewal(pc, version)
}

// withRenewal returns a copy whose renewal is known to have taken effect.
func (d duty) withRenewal(pc pendingCommit, version transactor.Version) duty {
	d.row, d.version, d.rowKnown, d.pending = pc.lease, version, true, nil
	d.maxToken = max(d.maxToken, pc.lease.token)
	d.expiresAt = pc.expiresAt
	if pc.writesEpoch {
		d.epoch = version
	}
	return d
}

// withLoss returns a copy that no longer has the lease.
func (d duty) withLoss() duty {
	return duty{dueAt: d.dueAt, closed: d.closed, lastHeartbeat: d.lastHeartbeat, maxToken: d.maxToken, era: d.era, eraKnown: d.eraKnown, eraSince: d.eraSince}
}

func (d duty) withClosed() duty {
	d = d.withLoss()
	d.closed = true
	return d
}

// nextHeartbeat returns a heartbeat that neither the row nor a commit of this node
// has used.
func (d duty) nextHeartbeat() uint64 { return max(d.row.heartbeat, d.lastHeartbeat) + 1 }

func (d duty) grant(name string, now time.Time) Grant {
	return Grant{Duty: name, Token: d.row.token, Epoch: d.epoch, Age: now.Sub(d.takenAt), Until: d.expiresAt}
}
