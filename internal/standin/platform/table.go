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

// maxVersions bounds the versions retained per row; stale reads need old ones.
const maxVersions = 32

// version is one state of a row.
type version struct {
	row       wire.Row
	revision  uint64 // of the commit that wrote it
	deleted   bool
	expiresAt time.Time // zero: never
}

type table struct {
	revision uint64
	rows     map[string][]version
}

func newTable() *table { return &table{rows: map[string][]version{}} }

// read returns a row as of a revision of the table.
func (t *table) read(key string, revision uint64, now time.Time) (wire.Row, bool) {
	versions := t.rows[key]
	for i := len(versions) - 1; i >= 0; i-- {
		v := versions[i]
		if v.revision > revision {
			continue
		}
		if v.deleted || (!v.expiresAt.IsZero() && !now.Before(v.expiresAt)) {
			return wire.Row{}, false
		}
		return v.row, true
	}
	return wire.Row{}, false
}

func (t *table) write(key string, v version) {
	v.revision = t.revision
	versions := append(t.rows[key], v)
	if excess := len(versions) - maxVersions; excess > 0 {
		versions = append([]version(nil), versions[excess:]...)
	}
	t.rows[key] = versions
}

// apply applies a transaction, or returns the current rows whose conditions do not
// hold.
func (t *table) apply(tx wire.Commit, now time.Time) (conflicts []wire.Row, ok bool) {
	for _, c := range tx.Conditions {
		row, exists := t.read(c.Key, t.revision, now)
		if !exists {
			row = wire.Row{Key: c.Key}
		}
		if row.Revision != c.Revision {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return conflicts, false
	}
	t.revision++
	for _, put := range tx.Puts {
		v := version{row: wire.Row{Key: put.Key, Value: put.Value, Revision: t.revision, Operation: tx.Operation}}
		if put.TTLMillis > 0 {
			v.expiresAt = now.Add(time.Duration(put.TTLMillis) * time.Millisecond)
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
	if s.consumeLostResponse(Table) {
		s.applyWithoutResponse(tx)
		abortConnection()
	}
	conflicts, revision := s.apply(tx)
	if conflicts != nil {
		writeJSON(w, http.StatusConflict, wire.Conflict{Rows: conflicts})
		return
	}
	writeJSON(w, http.StatusOK, wire.Committed{Revision: revision})
}

func (s *Server) apply(tx wire.Commit) (conflicts []wire.Row, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflicts, _ = s.table.apply(tx, s.config.Clock.Now())
	return conflicts, s.table.revision
}

func (s *Server) applyWithoutResponse(tx wire.Commit) {
	s.mu.Lock()
	delay := s.faults[Table].LostWriteDelay
	s.mu.Unlock()
	if delay <= 0 {
		s.apply(tx)
		return
	}
	s.delayedWrites.Add(1)
	time.AfterFunc(delay, func() {
		defer s.delayedWrites.Done()
		s.apply(tx)
	})
}

// visibleRevision returns the revision that reads return, which is older than the
// current one under StaleCommits.
func (s *Server) visibleRevision() uint64 {
	if f, ok := s.faults[Table]; ok && f.StaleCommits > 0 {
		return s.table.revision - min(f.StaleCommits, s.table.revision)
	}
	return s.table.revision
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	var body wire.Get
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, wire.Rows{Rows: s.getRows(body.Keys)})
}

func (s *Server) getRows(keys []string) []wire.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []wire.Row{}
	for _, key := range keys {
		if row, ok := s.table.read(key, s.visibleRevision(), s.config.Clock.Now()); ok {
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
	writeJSON(w, http.StatusOK, wire.Rows{Rows: rows})
}

func (s *Server) scanRows(prefix, after string, limit int) []wire.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []wire.Row{}
	for key := range s.table.rows {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if row, ok := s.table.read(key, s.visibleRevision(), s.config.Clock.Now()); ok {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))]
}
