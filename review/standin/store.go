package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands in for the platform's store and for its receiver of duties.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	version uint64
	changed chan struct{}
	start   time.Time
}

type rowKey struct{ table, part, key string }

type row struct {
	value   []byte
	version uint64
	deleted bool
}

func newStore() *store {
	return &store{rows: make(map[rowKey]row), changed: make(chan struct{}), start: time.Now()}
}

// put writes a row of the operator or of a worker; with a nil value it removes the row.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table: table, key: key}] = row{value: value, version: s.version, deleted: value == nil}
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

type wireRow struct {
	Table     string  `json:"table"`
	Part      string  `json:"part"`
	Key       string  `json:"key"`
	Value     *[]byte `json:"value,omitempty"`
	Version   uint64  `json:"ver"`
	Tombstone bool    `json:"tombstone,omitempty"`
}

type wireRows struct {
	Rows    []wireRow `json:"rows"`
	HasMore bool      `json:"hasMore"`
	Version uint64    `json:"ver"`
	NowMs   float64   `json:"nowMs"`
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case r.URL.Path == "/-/rows-tx" && r.Method == http.MethodPost:
		time.Sleep(4 * time.Millisecond)
		s.transact(w, body)
	case r.URL.Path == "/-/rows-get":
		time.Sleep(4 * time.Millisecond)
		s.get(w, r)
	case r.URL.Path == "/-/rows-feed":
		s.feed(w, r)
	case r.URL.Path == "/usage", r.URL.Path == "/scale":
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) nowMs() float64 { return float64(time.Since(s.start).Microseconds()) / 1000 }

func (s *store) transact(w http.ResponseWriter, body []byte) {
	var tx struct{ Expected, Put, Remove []wireRow }
	if json.Unmarshal(body, &tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, list := range [][]wireRow{tx.Put, tx.Remove} {
		for _, c := range list {
			if c.Table == "op" || c.Table == "servers" {
				w.WriteHeader(http.StatusForbidden)
				return
			}
		}
	}
	for _, c := range tx.Expected {
		have := s.rows[rowKey{c.Table, c.Part, c.Key}]
		if have.deleted {
			have.version = 0
		}
		if have.version != c.Version {
			reply(w, http.StatusPreconditionFailed, wireRows{Rows: []wireRow{}, Version: s.version, NowMs: s.nowMs()})
			return
		}
	}
	s.version++
	for _, c := range tx.Put {
		value := []byte{}
		if c.Value != nil {
			value = *c.Value
		}
		s.rows[rowKey{c.Table, c.Part, c.Key}] = row{value: value, version: s.version}
	}
	for _, c := range tx.Remove {
		s.rows[rowKey{c.Table, c.Part, c.Key}] = row{version: s.version, deleted: true}
	}
	s.wake()
	reply(w, http.StatusOK, wireRows{Rows: []wireRow{}, Version: s.version, NowMs: s.nowMs()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.selected(func(k rowKey, v row) bool {
		return k.table == q.Get("table") && k.part == q.Get("part") && !v.deleted &&
			k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to"))
	})
	sort.Slice(out.Rows, func(i, j int) bool { return strings.Compare(out.Rows[i].Key, out.Rows[j].Key) < 0 })
	if len(out.Rows) > limit {
		out.Rows, out.HasMore = out.Rows[:limit], true
	}
	reply(w, http.StatusOK, out)
}

// selected returns the rows that pass; the caller holds the lock.
func (s *store) selected(pass func(rowKey, row) bool) wireRows {
	out := wireRows{Rows: []wireRow{}, Version: s.version, NowMs: s.nowMs()}
	for k, v := range s.rows {
		if !pass(k, v) {
			continue
		}
		wire := wireRow{Table: k.table, Part: k.part, Key: k.key, Version: v.version, Tombstone: v.deleted}
		if !v.deleted {
			value := v.value
			wire.Value = &value
		}
		out.Rows = append(out.Rows, wire)
	}
	return out
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed := s.changed
		out := s.selected(func(k rowKey, v row) bool { return k.table == q.Get("table") && v.version > after })
		s.mu.Unlock()
		if len(out.Rows) > 0 {
			sort.Slice(out.Rows, func(i, j int) bool { return out.Rows[i].Version < out.Rows[j].Version })
			reply(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-timer:
			reply(w, http.StatusOK, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}
