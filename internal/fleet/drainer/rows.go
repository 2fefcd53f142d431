package drainer

import (
	"maps"
	"slices"
	"time"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// keyPrefix is the key prefix of the rows that list draining endpoints, one row
// for each deployment.
const keyPrefix = "drain/"

// drainRow is the row of one deployment.
type drainRow struct {
	version transactor.Version
	// since maps each draining endpoint to the time at which this node first saw
	// it listed.
	since map[string]time.Time
}

// drainRows maps deployments to their rows. It is never modified in place.
type drainRows map[string]drainRow

func (n drainRows) with(deployment string, row drainRow) drainRows {
	changed := maps.Clone(n)
	if changed == nil {
		changed = make(drainRows)
	}
	changed[deployment] = row
	return changed
}

// seenRow returns a row that was read or written at the given time. Endpoints
// that were listed before keep the time at which they were first seen.
func (n drainRows) seenRow(deployment string, version transactor.Version, ids []string, at time.Time) drainRow {
	row := drainRow{version: version, since: make(map[string]time.Time, len(ids))}
	for _, id := range ids {
		row.since[id] = at
		if before, ok := n[deployment].since[id]; ok {
			row.since[id] = before
		}
	}
	return row
}

// since returns the time at which this node first saw an endpoint listed.
func (n drainRows) since(id string) (time.Time, bool) {
	for _, row := range n {
		if at, ok := row.since[id]; ok {
			return at, true
		}
	}
	return time.Time{}, false
}

func (n drainRows) ids(deployment string) []string {
	return slices.Sorted(maps.Keys(n[deployment].since))
}

func encodeIDs(ids []string) []byte {
	var e jx.Encoder
	e.Arr(func(e *jx.Encoder) {
		for _, id := range ids {
			e.Str(id)
		}
	})
	return e.Bytes()
}

func decodeIDs(data []byte) (ids []string, err error) {
	err = jx.DecodeBytes(data).Arr(func(d *jx.Decoder) error {
		id, err := d.Str()
		ids = append(ids, id)
		return err
	})
	if err != nil {
		return nil, coder.Wrap(coder.Internal, err, "malformed row of draining endpoints")
	}
	return ids, nil
}
