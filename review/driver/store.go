package main

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's metadata store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// rowID identifies a row.
type rowID struct{ table, part, key string }

func (r row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// store is a stand-in of the platform's metadata store: rows, their feed and transactions. It
// keeps its whole history.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]row
	ver     uint64
	changed chan struct{}
	began   time.Time
}

func newStore() *store {
	return &store{rows: map[rowID]row{}, ver: 1, changed: make(chan struct{}), began: time.Now()}
}

// maxPageRows is the largest number of rows in an answer of rows-get.
const maxPageRows = 500

// put writes a row as the operator or an engine does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: value}})
}

// remove deletes a row as the operator or an engine does.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Deleted: true}})
}

// apply commits changes as one transaction. The caller holds the lock.
func (s *store) apply(changes []row) {
	s.ver++
	for _, r := range changes {
		r.Ver = s.ver
		s.rows[r.id()] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler returns the store's interface. Translate, if set, translates the rows that it returns.
func (s *store) handler(translate func(row) row) http.Handler {
	if translate == nil {
		translate = func(r row) row { return r }
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", func(w http.ResponseWriter, r *http.Request) { s.serveRows(w, r, translate) })
	mux.HandleFunc("GET /-/rows-feed", func(w http.ResponseWriter, r *http.Request) { s.serveFeed(w, r, translate) })
	mux.HandleFunc("POST /-/rows-tx", s.serveTransaction)
	return mux
}

// translated returns translated rows.
func translated(list []row, translate func(row) row) []row {
	out := make([]row, len(list))
	for i, r := range list {
		out[i] = translate(r)
	}
	return out
}

// answer writes a response; fields ver and now_ms are added.
func (s *store) answer(w http.ResponseWriter, status int, fields map[string]any, ver uint64) {
	fields["ver"], fields["now_ms"] = ver, time.Since(s.began).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fields)
}

func (s *store) serveRows(w http.ResponseWriter, r *http.Request, translate func(row) row) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxPageRows {
		limit = maxPageRows
	}
	list := []row{}
	s.mu.Lock()
	for id, stored := range s.rows {
		inRange := id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to"))
		if !stored.Deleted && id.table == q.Get("table") && id.part == q.Get("part") && inRange {
			list = append(list, stored)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	more := len(list) > limit
	s.answer(w, http.StatusOK, map[string]any{"rows": translated(list[:min(limit, len(list))], translate), "has_more": more}, ver)
}

// changesAfter returns the rows of a table that changed after a version, in order.
func (s *store) changesAfter(table string, after uint64) (list []row, ver uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, stored := range s.rows {
		if id.table == table && stored.Ver > after {
			list = append(list, stored)
		}
	}
	slices.SortFunc(list, func(a, b row) int { return cmp.Compare(a.Ver, b.Ver) })
	return list, s.ver, s.changed
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request, translate func(row) row) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		list, ver, changed := s.changesAfter(q.Get("table"), after)
		if after > ver {
			s.answer(w, http.StatusGone, map[string]any{}, ver)
			return
		}
		if len(list) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"rows": translated(list, translate)}, ver)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			s.answer(w, http.StatusOK, map[string]any{"rows": []row{}}, ver)
			return
		case <-changed:
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expect []row `json:"expect_rev"`
		Put    []row `json:"put"`
		Delete []row `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		s.answer(w, http.StatusBadRequest, map[string]any{}, 0)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	conflict := false
	for _, e := range tx.Expect {
		stored := s.rows[e.id()]
		current = append(current, stored)
		conflict = conflict || !stored.Deleted && stored.Ver != e.Ver || stored.Deleted && e.Ver != 0
	}
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current}, s.ver)
		return
	}
	changes := tx.Put
	for _, d := range tx.Delete {
		d.Deleted = true
		changes = append(changes, d)
	}
	for _, c := range changes {
		if c.Table == "op" || c.Table == "servers" {
			s.answer(w, http.StatusForbidden, map[string]any{}, s.ver)
			return
		}
	}
	s.apply(changes)
	s.answer(w, http.StatusOK, map[string]any{}, s.ver)
}
