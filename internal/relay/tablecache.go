package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/savorystall/savorystall/internal/platform"
)

// tableCache holds the tables as last read from the store and serves them to followers. It
// is safe for concurrent use.
//
// A reader that has lost its connection to the store, or that does not read it at all, would
// hold its followers at an old state although the store is reachable for them. The cache
// therefore answers only while this daemon is the reader, its last call for the heartbeat
// table succeeded and the last call for no other table failed. Any other daemon answers only
// for the heartbeat table, and while it knows that its rows are recent. After a restore of the store
// from a backup it answers only once all tables belong to the newest era seen.
type tableCache struct {
	mu       sync.Mutex
	tables   map[string]*cachedTable
	isReader bool
	// heartbeatTable is the table whose calls show that the store is reachable.
	// storeReachable reports whether the last of those calls by this reader succeeded.
	heartbeatTable string
	storeReachable bool
	// latest is the highest revision of any table.
	latest platform.Revision
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// cachedTable is the cached state of one table.
type cachedTable struct {
	// rows includes the rows deleted after historyStart.
	rows map[string]platform.FeedRow
	// historyStart is the revision after which all changes are known; revision is the one up
	// to which they are known.
	historyStart, revision platform.Revision
	// tombstones is the number of deleted rows in rows.
	tombstones int
	// readFailed reports that the last call failed, loaded that the whole table has been
	// read.
	readFailed, loaded bool
}

// maxTombstones bounds the deleted rows that are kept. Once they are dropped, followers that
// are further behind read the whole table.
const maxTombstones = 1000

// recoveryWait is how long a query waits for a reader whose calls to the store have just
// failed: a reader that reconnects can serve again after one call.
const recoveryWait = 250 * time.Millisecond

func newTableCache(heartbeatTable string) tableCache {
	return tableCache{tables: map[string]*cachedTable{}, heartbeatTable: heartbeatTable, changed: make(chan struct{})}
}

// notify wakes the waiting queries. The caller holds the lock.
func (c *tableCache) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *tableCache) setReader(isReader bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isReader, c.storeReachable = isReader, false
	c.notify()
}

// isStoreReachable reports whether this reader's last heartbeat call succeeded.
func (c *tableCache) isStoreReachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeReachable
}

func (c *tableCache) table(name string) *cachedTable {
	t := c.tables[name]
	if t == nil {
		t = &cachedTable{rows: map[string]platform.FeedRow{}}
		c.tables[name] = t
	}
	return t
}

// recordFailure records that a call for a table failed.
func (c *tableCache) recordFailure(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table(name).readFailed = true
	if name == c.heartbeatTable {
		c.storeReachable = false
	}
	c.notify()
}

// recordSuccess records that the store answered a call for a table. The caller holds the lock.
func (c *tableCache) recordSuccess(name string, t *cachedTable) {
	t.readFailed = false
	if name == c.heartbeatTable {
		c.storeReachable = true
	}
}

// replaceTable replaces the rows of a table. fromStore reports that they come from the store
// itself rather than from a reader.
func (c *tableCache) replaceTable(name string, rows []platform.FeedRow, revision platform.Revision, fromStore bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.observeRevision(revision) {
		return
	}
	t := c.table(name)
	if t.loaded && t.revision.SameEra(revision) {
		t.catchUp(rows, revision)
	} else {
		t.reset(rows, revision)
	}
	if fromStore {
		c.recordSuccess(name, t)
	}
	c.notify()
}

// revision returns the revision of a table; known is false if it has not been read.
func (c *tableCache) revision(name string) (revision platform.Revision, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.table(name)
	return t.revision, t.loaded
}

// liveRows returns the rows of a table that are not deleted, and its revision.
func (c *tableCache) liveRows(name string) (rows []platform.FeedRow, revision platform.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.table(name)
	answer, _, _ := t.changesSince(platform.FeedQuery{FullTable: true}) // fails for changes only
	return answer.Rows, t.revision
}

// changes returns the rows of a table that changed after a revision.
func (c *tableCache) changes(q platform.FeedQuery) (platform.FeedAnswer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer, _, err := c.table(q.Table).changesSince(q)
	return answer, err
}

// reset replaces the rows and forgets all changes before.
func (t *cachedTable) reset(rows []platform.FeedRow, revision platform.Revision) {
	t.rows = make(map[string]platform.FeedRow, len(rows))
	for _, row := range rows {
		t.rows[row.Key] = row
	}
	t.historyStart, t.revision, t.tombstones, t.loaded = revision, revision, 0, true
}

// catchUp applies a table that was read again as the changes since it was last known, so that
// followers need not read it again themselves. If the store has dropped its history, all
// followers of a zone would do so in the same moment, and a small reader would answer most
// of them too late.
func (t *cachedTable) catchUp(rows []platform.FeedRow, revision platform.Revision) {
	if !t.revision.Before(revision) {
		return // changes that were applied since are newer
	}
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		listed[row.Key] = true
		if known, ok := t.rows[row.Key]; !ok || known.Revision.Before(row.Revision) {
			t.apply(row)
		}
	}
	for key, row := range t.rows {
		if !listed[key] && !row.Deleted {
			t.apply(platform.FeedRow{Key: key, Deleted: true, Revision: revision})
		}
	}
	t.revision = revision
	if t.tombstones > maxTombstones {
		t.dropTombstones()
	}
}

// observeRevision records the revision of an answer and reports whether it belongs to the
// newest era. The caller holds the lock.
func (c *tableCache) observeRevision(revision platform.Revision) bool {
	if revision.OlderEra(c.latest) {
		return false
	}
	c.latest = platform.Later(c.latest, revision)
	return true
}

// applyChanges applies the changes since the last call. Changes of another era than the
// table's are ignored: its followers wait until the table has been read again.
func (c *tableCache) applyChanges(name string, rows []platform.FeedRow, revision platform.Revision, fromStore bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.observeRevision(revision) {
		return
	}
	t := c.table(name)
	if t.loaded && !t.revision.SameEra(revision) {
		c.notify()
		return
	}
	wake := len(rows) > 0 || t.readFailed || !c.storeReachable
	for _, row := range rows {
		t.apply(row)
	}
	t.revision = platform.Later(t.revision, revision)
	if t.tombstones > maxTombstones {
		t.dropTombstones()
	}
	if fromStore {
		c.recordSuccess(name, t)
	}
	if wake {
		c.notify()
	}
}

// apply applies a row unless a newer one is known: answers that come late may overtake each other.
func (t *cachedTable) apply(row platform.FeedRow) {
	if known, ok := t.rows[row.Key]; ok && known.Revision.SameEra(row.Revision) && row.Revision.Before(known.Revision) {
		return
	}
	if t.rows[row.Key].Deleted {
		t.tombstones--
	}
	if row.Deleted {
		t.tombstones++
	}
	t.rows[row.Key] = row
}

func (t *cachedTable) dropTombstones() {
	for key, row := range t.rows {
		if row.Deleted {
			delete(t.rows, key)
		}
	}
	t.historyStart, t.tombstones = t.revision, 0
}

// canServe reports whether this daemon may answer in place of the store.
func (c *tableCache) canServe() bool {
	if !c.isReader || !c.storeReachable {
		return false
	}
	for _, t := range c.tables {
		if t.readFailed || t.loaded && !t.revision.SameEra(c.latest) {
			return false
		}
	}
	return true
}

// canServeTable reports whether this daemon may answer for a table in place of the store. One that is not
// the reader may for the heartbeat table, if it has recent rows.
func (c *tableCache) canServeTable(name string, isCurrent bool) bool {
	if c.isReader || name != c.heartbeatTable {
		return c.canServe()
	}
	t := c.table(name)
	return t.loaded && t.revision.SameEra(c.latest) && isCurrent
}

// query returns the rows of a table that changed after a revision, or all rows. It waits for
// the first change for at most the wait time of the query. isCurrent reports whether the rows of
// the heartbeat table are recent.
func (c *tableCache) query(ctx context.Context, q platform.FeedQuery, isCurrent func() bool) (platform.FeedAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, max(q.Wait, recoveryWait))
	defer cancel()
	var recoveryTimer <-chan time.Time
	for {
		current := isCurrent()
		c.mu.Lock()
		canServe, changed := c.canServeTable(q.Table, current), c.changed
		answer, hasResult, err := c.table(q.Table).changesSince(q)
		c.mu.Unlock()
		switch {
		case !canServe && recoveryTimer == nil:
			recoveryTimer = time.After(recoveryWait)
		case !canServe:
		case err != nil:
			return platform.FeedAnswer{}, err
		case hasResult || q.Wait == 0:
			return answer, nil
		default:
			recoveryTimer = nil
		}
		select {
		case <-changed:
		case <-recoveryTimer:
			return platform.FeedAnswer{}, platform.ErrReaderNotCurrent
		case <-ctx.Done():
			if !canServe {
				return platform.FeedAnswer{}, platform.ErrReaderNotCurrent
			}
			return answer, nil
		}
	}
}

// changesSince returns the rows that a query asks for; hasResult is false if nothing has
// changed.
func (t *cachedTable) changesSince(q platform.FeedQuery) (answer platform.FeedAnswer, hasResult bool, err error) {
	answer.Revision = t.revision
	switch {
	case q.FullTable:
	case t.revision.OlderEra(q.After):
		return answer, false, platform.ErrReaderNotCurrent
	case q.After.Before(t.historyStart):
		return answer, false, platform.ErrHistoryLost
	}
	for _, row := range t.rows {
		if q.FullTable && !row.Deleted || !q.FullTable && q.After.Before(row.Revision) {
			answer.Rows = append(answer.Rows, row)
		}
	}
	slices.SortFunc(answer.Rows, func(a, b platform.FeedRow) int {
		return cmp.Or(a.Revision.Compare(b.Revision), cmp.Compare(a.Key, b.Key))
	})
	return answer, q.FullTable || len(answer.Rows) > 0, nil
}
