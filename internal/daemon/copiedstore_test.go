package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	store "github.com/savorystall/savorystall/internal/platform"
)

// copiedStore is a store in memory that can come back from a copy.
type copiedStore struct {
	mu sync.Mutex
	// writes are all writes that were not lost, in order, last the last one of each row.
	writes []storeWrite
	last   map[string]map[string]store.FeedRow
	// newest is the number of the last write of each table.
	newest        map[string]uint64
	era, number   uint64
	forgotten     uint64
	away, eraless bool
	lag           time.Duration
	changed       chan struct{}
	// reads and puts are when calls came.
	reads, puts []time.Time
}

type storeWrite struct {
	at    time.Time
	table string
	row   store.FeedRow
}

func newCopiedStore(eraless bool) *copiedStore {
	return &copiedStore{
		era: 1, number: 1, eraless: eraless, changed: make(chan struct{}),
		last: map[string]map[string]store.FeedRow{}, newest: map[string]uint64{},
	}
}

// keep notes the last write of a row. The caller holds the lock.
func (c *copiedStore) keep(w storeWrite) {
	if c.last[w.table] == nil {
		c.last[w.table] = map[string]store.FeedRow{}
	}
	c.last[w.table][w.row.Key] = w.row
	c.newest[w.table] = w.row.Revision.Number()
}

// revision returns that of a number now. The caller holds the lock.
func (c *copiedStore) revision(number uint64) store.Revision {
	if c.eraless {
		return store.NewRevision(0, number)
	}
	return store.NewRevision(c.era, number)
}

func (c *copiedStore) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *copiedStore) put(table, key, value string, deleted bool) store.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	row := store.FeedRow{Key: key, Value: []byte(value), Revision: store.NewRevision(0, c.number), Deleted: deleted}
	w := storeWrite{time.Now(), table, row}
	c.writes = append(c.writes, w)
	c.keep(w)
	c.wake()
	return c.revision(c.number)
}

// restore brings a copy of some age back.
func (c *copiedStore) restore(age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cut := time.Now().Add(-age)
	c.writes = slices.DeleteFunc(c.writes, func(w storeWrite) bool { return w.at.After(cut) })
	c.number = 1
	c.last, c.newest = map[string]map[string]store.FeedRow{}, map[string]uint64{}
	for _, w := range c.writes {
		c.number = w.row.Revision.Number()
		c.keep(w)
	}
	c.forgotten = min(c.forgotten, c.number)
	c.era++
	c.wake()
}

func (c *copiedStore) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgotten = c.number
	c.wake()
}

func (c *copiedStore) set(away bool, lag time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.away, c.lag = away, lag
	c.wake()
}

// rows returns the last write of each row of a table after a number. The caller holds the lock.
func (c *copiedStore) rows(table string, after uint64) (rows []store.FeedRow) {
	if c.newest[table] <= after {
		return nil
	}
	for _, row := range c.last[table] {
		if number := row.Revision.Number(); number > after {
			row.Revision = c.revision(number)
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b store.FeedRow) int { return a.Revision.Compare(b.Revision) })
	return rows
}

func (c *copiedStore) holds(table, key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.rows(table, 0), func(r store.FeedRow) bool { return r.Key == key && !r.Deleted })
}

// late delivers an answer after the present lag.
func (c *copiedStore) late(ctx context.Context) error {
	c.mu.Lock()
	lag := c.lag
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(lag):
		return nil
	}
}

// ReadTable implements store.Feed.
func (c *copiedStore) ReadTable(ctx context.Context, table string) ([]store.FeedRow, store.Revision, error) {
	c.mu.Lock()
	c.reads = append(c.reads, time.Now())
	rows, at, away := c.rows(table, 0), c.revision(c.number), c.away
	c.mu.Unlock()
	if away {
		return nil, store.Revision{}, errUnreachable
	}
	return slices.DeleteFunc(rows, func(r store.FeedRow) bool { return r.Deleted }), at, c.late(ctx)
}

// Changes implements store.Feed.
func (c *copiedStore) Changes(ctx context.Context, table string, after store.Revision, wait time.Duration) ([]store.FeedRow, store.Revision, error) {
	c.mu.Lock()
	c.reads = append(c.reads, time.Now())
	c.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := false; ; {
		c.mu.Lock()
		rows, at, changed := c.rows(table, after.Number()), c.revision(c.number), c.changed
		away, gone := c.away, after.Number() < c.forgotten || after.Number() > c.number
		c.mu.Unlock()
		switch {
		case away:
			return nil, store.Revision{}, errUnreachable
		case gone:
			return nil, store.Revision{}, store.ErrHistoryLost
		case len(rows) > 0 || over:
			return rows, at, c.late(ctx)
		}
		select {
		case <-ctx.Done():
			return nil, store.Revision{}, ctx.Err()
		case <-timer.C:
			over = true
		case <-changed:
		}
	}
}

// PutRow implements store.Rows.
func (c *copiedStore) PutRow(_ context.Context, table, key string, value []byte) (store.Revision, error) {
	c.mu.Lock()
	c.puts = append(c.puts, time.Now())
	away := c.away
	c.mu.Unlock()
	if away {
		return store.Revision{}, errUnreachable
	}
	return c.put(table, key, string(value), false), nil
}

// DeleteRow implements store.Rows.
func (c *copiedStore) DeleteRow(context.Context, string, string) error { return nil }
