package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	store "github.com/savorystall/savorystall/internal/platform"
)

// restorableStore is an in-memory store that can be restored from a backup.
type restorableStore struct {
	mu sync.Mutex
	// writes holds all writes that were not lost, in order, and latest the last write of
	// each row.
	writes []storeWrite
	latest map[string]map[string]store.FeedRow
	// lastNumber is the number of the last write of each table.
	lastNumber               map[string]uint64
	era, number              uint64
	historyStart             uint64
	unreachable, withoutEras bool
	latency                  time.Duration
	changed                  chan struct{}
	// readTimes and writeTimes are the times of the calls.
	readTimes, writeTimes []time.Time
}

type storeWrite struct {
	at    time.Time
	table string
	row   store.FeedRow
}

func newRestorableStore(withoutEras bool) *restorableStore {
	return &restorableStore{
		era: 1, number: 1, withoutEras: withoutEras, changed: make(chan struct{}),
		latest: map[string]map[string]store.FeedRow{}, lastNumber: map[string]uint64{},
	}
}

// setLatest records the last write of a row. The caller holds the lock.
func (c *restorableStore) setLatest(w storeWrite) {
	if c.latest[w.table] == nil {
		c.latest[w.table] = map[string]store.FeedRow{}
	}
	c.latest[w.table][w.row.Key] = w.row
	c.lastNumber[w.table] = w.row.Revision.Number()
}

// revision returns the revision with the given number in the current era. The caller holds
// the lock.
func (c *restorableStore) revision(number uint64) store.Revision {
	if c.withoutEras {
		return store.NewRevision(0, number)
	}
	return store.NewRevision(c.era, number)
}

func (c *restorableStore) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *restorableStore) put(table, key, value string, deleted bool) store.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	row := store.FeedRow{Key: key, Value: []byte(value), Revision: store.NewRevision(0, c.number), Deleted: deleted}
	w := storeWrite{time.Now(), table, row}
	c.writes = append(c.writes, w)
	c.setLatest(w)
	c.notify()
	return c.revision(c.number)
}

// restore restores a backup of the given age.
func (c *restorableStore) restore(age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cut := time.Now().Add(-age)
	c.writes = slices.DeleteFunc(c.writes, func(w storeWrite) bool { return w.at.After(cut) })
	c.number = 1
	c.latest, c.lastNumber = map[string]map[string]store.FeedRow{}, map[string]uint64{}
	for _, w := range c.writes {
		c.number = w.row.Revision.Number()
		c.setLatest(w)
	}
	c.historyStart = min(c.historyStart, c.number)
	c.era++
	c.notify()
}

func (c *restorableStore) dropHistory() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.historyStart = c.number
	c.notify()
}

func (c *restorableStore) setFault(unreachable bool, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable, c.latency = unreachable, latency
	c.notify()
}

// rows returns the last write of each row of a table after a number. The caller holds the
// lock.
func (c *restorableStore) rows(table string, after uint64) (rows []store.FeedRow) {
	if c.lastNumber[table] <= after {
		return nil
	}
	for _, row := range c.latest[table] {
		if number := row.Revision.Number(); number > after {
			row.Revision = c.revision(number)
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b store.FeedRow) int { return a.Revision.Compare(b.Revision) })
	return rows
}

func (c *restorableStore) contains(table, key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.rows(table, 0), func(r store.FeedRow) bool { return r.Key == key && !r.Deleted })
}

// delayResponse delays a response by the current latency.
func (c *restorableStore) delayResponse(ctx context.Context) error {
	c.mu.Lock()
	latency := c.latency
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(latency):
		return nil
	}
}

// ReadTable implements store.Feed.
func (c *restorableStore) ReadTable(ctx context.Context, table string) ([]store.FeedRow, store.Revision, error) {
	c.mu.Lock()
	c.readTimes = append(c.readTimes, time.Now())
	rows, at, unreachable := c.rows(table, 0), c.revision(c.number), c.unreachable
	c.mu.Unlock()
	if unreachable {
		return nil, store.Revision{}, errUnreachable
	}
	return slices.DeleteFunc(rows, func(r store.FeedRow) bool { return r.Deleted }), at, c.delayResponse(ctx)
}

// Changes implements store.Feed.
func (c *restorableStore) Changes(ctx context.Context, table string, after store.Revision, wait time.Duration) ([]store.FeedRow, store.Revision, error) {
	c.mu.Lock()
	c.readTimes = append(c.readTimes, time.Now())
	c.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for timedOut := false; ; {
		c.mu.Lock()
		rows, at, changed := c.rows(table, after.Number()), c.revision(c.number), c.changed
		unreachable, historyLost := c.unreachable, after.Number() < c.historyStart || after.Number() > c.number
		c.mu.Unlock()
		switch {
		case unreachable:
			return nil, store.Revision{}, errUnreachable
		case historyLost:
			return nil, store.Revision{}, store.ErrHistoryLost
		case len(rows) > 0 || timedOut:
			return rows, at, c.delayResponse(ctx)
		}
		select {
		case <-ctx.Done():
			return nil, store.Revision{}, ctx.Err()
		case <-timer.C:
			timedOut = true
		case <-changed:
		}
	}
}

// PutRow implements store.RowWriter.
func (c *restorableStore) PutRow(_ context.Context, table, key string, value []byte) (store.Revision, error) {
	c.mu.Lock()
	c.writeTimes = append(c.writeTimes, time.Now())
	unreachable := c.unreachable
	c.mu.Unlock()
	if unreachable {
		return store.Revision{}, errUnreachable
	}
	return c.put(table, key, string(value), false), nil
}

// DeleteRow implements store.RowWriter.
func (c *restorableStore) DeleteRow(context.Context, string, string) error { return nil }
