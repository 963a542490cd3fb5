package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Tables that only the operator and the engines write.
const (
	tableOperator = "op"
	tableServers  = "servers"
)

// row is a row of the store as it is sent.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store stands in for the platform's metadata store: it answers at once and loses nothing.
type store struct {
	listener net.Listener
	started  time.Time

	mu   sync.Mutex
	ver  uint64
	rows map[rowKey]row
	// changed is closed at each change and then replaced.
	changed chan struct{}
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, started: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/-/rows-get", s.get)
	mux.HandleFunc("/-/rows-feed", s.feed)
	mux.HandleFunc("/-/rows-tx", s.transact)
	mux.HandleFunc("/-/rows-parts", s.parts)
	go func() { _ = http.Serve(listener, mux) }() // ends with the listener
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) close() { _ = s.listener.Close() }

// put writes a row on behalf of the operator or an engine.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are structs of this program
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[rowKey{table, "", key}] = row{Table: table, Key: key, Value: text, Ver: s.ver}
	s.announce()
}

// announce wakes the calls that wait. The caller holds the lock.
func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// page is the body of a response about rows.
type page struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"has_more"`
	Ver     uint64 `json:"ver"`
	NowMs   int64  `json:"now_ms"`
}

func (s *store) write(w http.ResponseWriter, status int, p page) {
	if p.Rows == nil {
		p.Rows = []row{}
	}
	p.NowMs = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p) // fails if the caller has left
}

const maxRows = 500

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	s.mu.Lock()
	p := page{Ver: s.ver}
	for k, found := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && !found.Deleted && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			p.Rows = append(p.Rows, found)
		}
	}
	s.mu.Unlock()
	sort.Slice(p.Rows, func(i, j int) bool { return p.Rows[i].Key < p.Rows[j].Key })
	if len(p.Rows) > limit {
		p.Rows, p.HasMore = p.Rows[:limit], true
	}
	s.write(w, http.StatusOK, p)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		p := page{Ver: s.ver}
		for k, found := range s.rows {
			if k.table == q.Get("table") && found.Ver > after {
				p.Rows = append(p.Rows, found)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(p.Rows) > 0 {
			sort.Slice(p.Rows, func(i, j int) bool { return p.Rows[i].Ver < p.Rows[j].Ver })
			s.write(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.write(w, http.StatusOK, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expect []row `json:"expect_rev"`
		Put    []row `json:"put"`
		Delete []row `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range append(append([]row{}, tx.Put...), tx.Delete...) {
		if change.Table == tableOperator || change.Table == tableServers {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var current []row
	held := true
	for _, e := range tx.Expect {
		found := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if found.Deleted {
			found.Ver = 0
		}
		held = held && found.Ver == e.Ver
		if found.Ver > 0 {
			current = append(current, found)
		}
	}
	if !held {
		s.write(w, http.StatusPreconditionFailed, page{Rows: current, Ver: s.ver})
		return
	}
	s.ver++
	for _, change := range tx.Put {
		change.Ver = s.ver
		s.rows[rowKey{change.Table, change.Part, change.Key}] = change
	}
	for _, change := range tx.Delete {
		change.Ver, change.Deleted, change.Value = s.ver, true, nil
		s.rows[rowKey{change.Table, change.Part, change.Key}] = change
	}
	s.announce()
	s.write(w, http.StatusOK, page{Ver: s.ver})
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	seen := map[string]bool{}
	for k, found := range s.rows {
		if k.table == r.URL.Query().Get("table") && !found.Deleted {
			seen[k.part] = true
		}
	}
	s.mu.Unlock()
	parts := []string{}
	for part := range seen {
		parts = append(parts, part)
	}
	sort.Strings(parts)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"parts": parts, "has_more": false}) // fails if the caller has left
}
