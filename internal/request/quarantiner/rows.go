package quarantiner

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/decision/attributor"
	"foxtailflow.example/foxtailflow/internal/store/follower"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// KeyPrefix is the key prefix of the rows with the patterns in force.
const KeyPrefix = "quarantine/"

const (
	// idleTime is how long a pattern stays in force while no prompt matches it.
	idleTime = 30 * time.Minute
	// refreshTime is how old a row may be, while prompts match its pattern, before it is
	// written again.
	refreshTime = idleTime / 3
)

// storedPattern is a pattern with its row.
type storedPattern struct {
	pattern   attributor.Pattern
	endpoints []string
	// version is 0 if the store has lost the row.
	version transactor.Version
	// seenAt is when this node first saw the version.
	seenAt time.Time
}

// Entry is a pattern in force.
type Entry struct {
	Key   string
	Parts []string
	// Endpoints are those that have crashed.
	Endpoints []string
}

// List returns the patterns in force that are stored, in the order of their keys.
func (q *Quarantine) List() []Entry {
	var entries []Entry
	for key, row := range q.rows.Get() {
		entries = append(entries, Entry{Key: key, Parts: row.pattern, Endpoints: row.endpoints})
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	return entries
}

// Release takes a pattern out of force on all nodes; RowUnknown if it is not stored.
func (q *Quarantine) Release(ctx context.Context, key string) error {
	row, ok := q.rows.Get()[key]
	if !ok {
		return coder.Refuse(coder.RowUnknown, "there is no pattern %s", key)
	}
	_, err := q.Table.Commit(ctx, transactor.Tx{}.WithCheck(KeyPrefix+key, row.version).WithDelete(KeyPrefix+key))
	return err
}

// Apply takes the stored patterns. If a row was removed, its parts are cleared. One that the
// store has lost, as it has come back from an older copy, stays in force and is stored again.
func (q *Quarantine) Apply(s follower.Snapshot) {
	if !s.Loaded() {
		return
	}
	now := q.Clock.Now()
	before := q.rows.Get()
	after := make(map[string]storedPattern)
	for _, row := range s.Rows() {
		key := strings.TrimPrefix(row.Key, KeyPrefix)
		if old, ok := before[key]; ok && old.version == row.Version {
			after[key] = old
			continue
		}
		stored, err := decode(row)
		if err != nil {
			q.Log.Warn().Str("key", row.Key).Err(err).Msg("cannot decode quarantined pattern")
			continue
		}
		stored.seenAt = now
		after[key] = stored
	}
	for key, old := range before {
		if _, ok := after[key]; !ok && old.version.Era() < s.Version.Era() {
			old.version = 0
			after[key] = old
		}
	}
	q.rows.Update(func(map[string]storedPattern) (map[string]storedPattern, bool) { return after, true })
	for key, old := range before {
		if _, ok := after[key]; !ok {
			q.refuted.Delete(key)
			q.refusals.Delete(key)
			q.change(func(e attributor.Evidence) attributor.Evidence { return e.WithAnswered(old.pattern) })
		}
	}
	q.assess()
}

// updateRows stores findings, writes rows again that are in use, and removes those
// that are not.
func (q *Quarantine) updateRows(ctx context.Context, now time.Time) error {
	rows := q.rows.Get()
	stores := q.StoresFindings()
	var errs []error
	commit := func(tx transactor.Tx) {
		if _, err := q.Table.Commit(ctx, tx); err != nil && !coder.Is(err, coder.PlatformConflict) {
			errs = append(errs, err)
		}
	}
	for _, f := range q.view.Get().findings {
		if key := f.Pattern.Key(); stores && rows[key].pattern == nil {
			commit(transactor.Tx{}.WithAbsent(KeyPrefix+key).WithPut(KeyPrefix+key, encode(f.Pattern, f.Endpoints)))
		}
	}
	for key, row := range rows {
		tx := transactor.Tx{}.WithCheck(KeyPrefix+key, row.version)
		used, _ := q.refusals.Get(key)
		_, refuted := q.refuted.Get(key)
		switch age := now.Sub(row.seenAt); {
		case row.version == 0 && stores && !refuted:
			commit(tx.WithPut(KeyPrefix+key, encode(row.pattern, row.endpoints)))
		case refuted:
			commit(tx.WithDelete(KeyPrefix + key))
		case used.After(row.seenAt) && age >= refreshTime:
			commit(tx.WithPut(KeyPrefix+key, encode(row.pattern, row.endpoints)))
		case stores && age >= idleTime:
			q.Log.Info().Str("pattern", key).Msg("no prompt has matched the pattern for long")
			commit(tx.WithDelete(KeyPrefix + key))
		}
	}
	if len(errs) > 0 {
		return errs[0]
	}
	return nil
}

func encode(p attributor.Pattern, endpoints []string) []byte {
	var e jx.Encoder
	list := func(items []string) func(e *jx.Encoder) {
		return func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, item := range items {
					e.Str(item)
				}
			})
		}
	}
	e.Obj(func(e *jx.Encoder) {
		e.Field("parts", list(p))
		e.Field("endpoints", list(endpoints))
	})
	return e.Bytes()
}

func decode(row transactor.Row) (s storedPattern, err error) {
	s.version = row.Version
	err = jx.DecodeBytes(row.Value).Obj(func(d *jx.Decoder, name string) error {
		var list *[]string
		switch name {
		case "parts":
			list = (*[]string)(&s.pattern)
		case "endpoints":
			list = &s.endpoints
		default:
			return d.Skip()
		}
		return d.Arr(func(d *jx.Decoder) error {
			item, err := d.Str()
			*list = append(*list, item)
			return err
		})
	})
	if err == nil && len(s.pattern) == 0 {
		err = coder.New(coder.PlatformRefused, "the pattern has no part")
	}
	slices.Sort(s.pattern)
	return s, err
}

// text is a pattern on the metrics page.
type text []string

// String returns the parts as JSON.
func (t text) String() string { return strconv.Quote(strings.Join(t, ", ")) }
