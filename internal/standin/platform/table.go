package platformstandin

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/savorystall/savorystall/internal/platform/wire"
)

// keptVersions bounds the old versions of a row, which stale reads need.
const keptVersions = 32

// version is one state of a row.
type version struct {
	row     wire.Row
	at      uint64 // the commit that made it
	deleted bool
	expires time.Time // zero: never
}

type table struct {
	revision uint64
	rows     map[string][]version
}

func newTable() *table { return &table{rows: map[string][]version{}} }

// read returns a row as of a commit.
func (t *table) read(key string, asOf uint64, now time.Time) (wire.Row, bool) {
	versions := t.rows[key]
	for i := len(versions) - 1; i >= 0; i-- {
		v := versions[i]
		if v.at > asOf {
			continue
		}
		if v.deleted || (!v.expires.IsZero() && !now.Before(v.expires)) {
			return wire.Row{}, false
		}
		return v.row, true
	}
	return wire.Row{}, false
}

func (t *table) write(key string, v version) {
	v.at = t.revision
	versions := append(t.rows[key], v)
	if surplus := len(versions) - keptVersions; surplus > 0 {
		versions = append([]version(nil), versions[surplus:]...)
	}
	t.rows[key] = versions
}

// commit applies a transaction or returns the rows that are against it.
func (t *table) commit(tx wire.Commit, now time.Time) (failed []wire.Row, ok bool) {
	for _, c := range tx.Conditions {
		row, exists := t.read(c.Key, t.revision, now)
		if !exists {
			row = wire.Row{Key: c.Key}
		}
		if row.Revision != c.Revision {
			failed = append(failed, row)
		}
	}
	if len(failed) > 0 {
		return failed, false
	}
	t.revision++
	for _, put := range tx.Puts {
		v := version{row: wire.Row{Key: put.Key, Value: put.Value, Revision: t.revision, Operation: tx.Operation}}
		if put.TTLMillis > 0 {
			v.expires = now.Add(time.Duration(put.TTLMillis) * time.Millisecond)
		}
		t.write(put.Key, v)
	}
	for _, key := range tx.Deletes {
		t.write(key, version{deleted: true})
	}
	return nil, true
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var tx wire.Commit
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.loseAnswer(Table) {
		s.applyUnanswered(tx)
		breakConnection()
	}
	failed, revision := s.apply(tx)
	if failed != nil {
		reply(w, http.StatusConflict, wire.Conflict{Rows: failed})
		return
	}
	reply(w, http.StatusOK, wire.Committed{Revision: revision})
}

func (s *Server) apply(tx wire.Commit) (failed []wire.Row, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failed, _ = s.table.commit(tx, s.config.Clock.Now())
	return failed, s.table.revision
}

func (s *Server) applyUnanswered(tx wire.Commit) {
	s.mu.Lock()
	late := s.faults[Table].LateEffect
	s.mu.Unlock()
	if late <= 0 {
		s.apply(tx)
		return
	}
	s.late.Add(1)
	time.AfterFunc(late, func() {
		defer s.late.Done()
		s.apply(tx)
	})
}

// readable returns the commit that reads see.
func (s *Server) readable() uint64 {
	if f, ok := s.faults[Table]; ok && f.StaleBy > 0 {
		return s.table.revision - min(f.StaleBy, s.table.revision)
	}
	return s.table.revision
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	var body wire.Get
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, http.StatusOK, wire.Rows{Rows: s.getRows(body.Keys)})
}

func (s *Server) getRows(keys []string) []wire.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []wire.Row{}
	for _, key := range keys {
		if row, ok := s.table.read(key, s.readable(), s.config.Clock.Now()); ok {
			rows = append(rows, row)
		}
	}
	return rows
}

func (s *Server) scan(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 {
		http.Error(w, "limit must be a positive number", http.StatusBadRequest)
		return
	}
	rows := s.scanRows(query.Get("prefix"), query.Get("after"), limit)
	reply(w, http.StatusOK, wire.Rows{Rows: rows})
}

func (s *Server) scanRows(prefix, after string, limit int) []wire.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []wire.Row{}
	for key := range s.table.rows {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if row, ok := s.table.read(key, s.readable(), s.config.Clock.Now()); ok {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))]
}
