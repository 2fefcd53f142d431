package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store stands in for the platform's metadata store (PROTOCOL.md).
type store struct {
	mu      sync.Mutex
	begin   time.Time
	rows    map[rowKey]storedRow
	version uint64
	changed chan struct{}
}

type rowKey struct{ table, key string }

type storedRow struct {
	value   string
	version uint64
	gone    bool
}

func newStore() *store {
	return &store{begin: time.Now(), rows: make(map[rowKey]storedRow), changed: make(chan struct{})}
}

// put writes a row for the operator or a worker.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, key}] = storedRow{value: base64.StdEncoding.EncodeToString(data), version: s.version}
	s.wakeLocked()
}

// remove removes a row for the operator or a worker.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, key}] = storedRow{version: s.version, gone: true}
	s.wakeLocked()
}

func (s *store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// rowJSON is a row on the wire.
type rowJSON struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowsJSON struct {
	Rows    []rowJSON `json:"rows"`
	HasMore bool      `json:"hasMore"`
	Ver     uint64    `json:"ver"`
	NowMs   int64     `json:"nowMs"`
}

const (
	storeAnswerTime = 4 * time.Millisecond
	maxRows         = 500
)

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	w.Header().Set("Store-Era", "1")
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/-/rows-tx":
		s.serveTx(w, r)
	case "/-/rows-get":
		s.serveGet(w, r)
	case "/-/rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct{ Expected, Put, Remove []rowJSON }
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, &tx)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := rowsJSON{Rows: []rowJSON{}, NowMs: time.Since(s.begin).Milliseconds()}
	holds := true
	for _, e := range tx.Expected {
		row, ok := s.rows[rowKey{e.Table, e.Key}]
		current := row.version
		if !ok || row.gone {
			current = 0
		}
		holds = holds && current == e.Ver
		if current != 0 {
			out.Rows = append(out.Rows, rowJSON{Table: e.Table, Key: e.Key, Value: row.value, Ver: current})
		}
	}
	if !holds {
		out.Ver = s.version
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(out)
		return
	}
	s.version++
	for _, p := range tx.Put {
		s.rows[rowKey{p.Table, p.Key}] = storedRow{value: p.Value, version: s.version}
	}
	for _, p := range tx.Remove {
		s.rows[rowKey{p.Table, p.Key}] = storedRow{version: s.version, gone: true}
	}
	s.wakeLocked()
	out.Rows, out.Ver = []rowJSON{}, s.version
	_ = json.NewEncoder(w).Encode(out)
}

// selectLocked returns the rows of a table that pass.
func (s *store) selectLocked(table string, pass func(key string, row storedRow) bool) rowsJSON {
	out := rowsJSON{Rows: []rowJSON{}, Ver: s.version, NowMs: time.Since(s.begin).Milliseconds()}
	for k, row := range s.rows {
		if k.table == table && pass(k.key, row) {
			out.Rows = append(out.Rows, rowJSON{Table: table, Key: k.key, Value: row.value, Ver: row.version, Tombstone: row.gone})
		}
	}
	return out
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	out := s.selectLocked(q.Get("table"), func(key string, row storedRow) bool {
		return !row.gone && key >= q.Get("from") && (q.Get("to") == "" || key < q.Get("to"))
	})
	s.mu.Unlock()
	sort.Slice(out.Rows, func(i, j int) bool { return out.Rows[i].Key < out.Rows[j].Key })
	if len(out.Rows) > limit {
		out.Rows, out.HasMore = out.Rows[:limit], true
	}
	_ = json.NewEncoder(w).Encode(out)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		out := s.selectLocked(q.Get("table"), func(_ string, row storedRow) bool { return row.version > after })
		changed := s.changed
		s.mu.Unlock()
		if len(out.Rows) > 0 {
			sort.Slice(out.Rows, func(i, j int) bool { return out.Rows[i].Ver < out.Rows[j].Ver })
			_ = json.NewEncoder(w).Encode(out)
			return
		}
		select {
		case <-changed:
		case <-timer:
			_ = json.NewEncoder(w).Encode(out)
			return
		case <-r.Context().Done():
			return
		}
	}
}
