package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/savorystall/savorystall/internal/platform"
)

// copies are the tables as the store last told them, for followers. It is safe for
// concurrent use.
//
// Failure it guards against: a reader that has lost the store, or never reads, would
// keep its followers at an old state while the store answers them; so that it answers
// only while it is the reader, its last call for the beat table has succeeded, and none
// for another one has failed since; and where the store came back from a copy, while all
// tables are of the newest era that it has met.
type copies struct {
	mu     sync.Mutex
	tables map[string]*table
	serves bool
	// beat is the table whose calls show that the store answers, inTouch tells that
	// the last one, of this reader's own, did.
	beat    string
	inTouch bool
	// latest is the latest revision of any table.
	latest platform.Revision
	// changed is closed at each change.
	changed chan struct{}
}

// table is the copy of one table.
type table struct {
	// rows holds deleted ones too, back to base.
	rows map[string]platform.FeedRow
	// base is the revision since which all changes are known, revision that up to
	// which they are.
	base, revision platform.Revision
	// deleted counts the deleted ones among rows.
	deleted int
	// lost tells that the last call failed, known that the whole table was read.
	lost, known bool
}

// maxDeleted bounds the deleted rows that a copy remembers; beyond it followers that
// are behind read the table as a whole.
const maxDeleted = 1000

// mendWithin is how long a follower waits for a reader whose calls to the store have
// just failed: one that reconnects is fit again after a call.
const mendWithin = 250 * time.Millisecond

func newCopies(beat string) copies {
	return copies{tables: map[string]*table{}, beat: beat, changed: make(chan struct{})}
}

// signal wakes those that wait. The caller holds the lock.
func (c *copies) signal() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *copies) serve(serves bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serves, c.inTouch = serves, false
	c.signal()
}

// isInTouch tells whether the store has answered this reader's last call.
func (c *copies) isInTouch() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inTouch
}

func (c *copies) table(name string) *table {
	t := c.tables[name]
	if t == nil {
		t = &table{rows: map[string]platform.FeedRow{}}
		c.tables[name] = t
	}
	return t
}

// lost notes that a call for a table failed.
func (c *copies) lost(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table(name).lost = true
	if name == c.beat {
		c.inTouch = false
	}
	c.signal()
}

// answered notes that the store answered a call for a table. The caller holds the lock.
func (c *copies) answered(name string, t *table) {
	t.lost = false
	if name == c.beat {
		c.inTouch = true
	}
}

// whole takes a whole table in. Direct tells that the store itself told it.
func (c *copies) whole(name string, rows []platform.FeedRow, revision platform.Revision, direct bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reach(revision) {
		return
	}
	t := c.table(name)
	t.rows = make(map[string]platform.FeedRow, len(rows))
	for _, row := range rows {
		t.rows[row.Key] = row
	}
	t.base, t.revision, t.deleted, t.known = revision, revision, 0, true
	if direct {
		c.answered(name, t)
	}
	c.signal()
}

// reach notes the revision of an answer, and tells whether it is of the newest era. The
// caller holds the lock.
func (c *copies) reach(revision platform.Revision) bool {
	if revision.OlderEra(c.latest) {
		return false
	}
	c.latest = platform.Later(c.latest, revision)
	return true
}

// changes takes the changes since the last call in. Those of another era than the table's
// are no changes of it: its followers wait until it was read anew.
func (c *copies) changes(name string, rows []platform.FeedRow, revision platform.Revision, direct bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reach(revision) {
		return
	}
	t := c.table(name)
	if t.known && !t.revision.SameEra(revision) {
		c.signal()
		return
	}
	wake := len(rows) > 0 || t.lost || !c.inTouch
	for _, row := range rows {
		t.take(row)
	}
	t.revision = platform.Later(t.revision, revision)
	if t.deleted > maxDeleted {
		t.forgetDeleted()
	}
	if direct {
		c.answered(name, t)
	}
	if wake {
		c.signal()
	}
}

func (t *table) take(row platform.FeedRow) {
	if t.rows[row.Key].Deleted {
		t.deleted--
	}
	if row.Deleted {
		t.deleted++
	}
	t.rows[row.Key] = row
}

func (t *table) forgetDeleted() {
	for key, row := range t.rows {
		if row.Deleted {
			delete(t.rows, key)
		}
	}
	t.base, t.deleted = t.revision, 0
}

// fit tells whether this daemon may answer for the store.
func (c *copies) fit() bool {
	if !c.serves || !c.inTouch {
		return false
	}
	for _, t := range c.tables {
		if t.lost || t.known && !t.revision.SameEra(c.latest) {
			return false
		}
	}
	return true
}

// answer tells the rows of a table that changed after a revision, or all. It waits for
// the first change, up to the query's wait.
func (c *copies) answer(ctx context.Context, q platform.FeedQuery) (platform.FeedAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, max(q.Wait, mendWithin))
	defer cancel()
	var unfit <-chan time.Time
	for {
		c.mu.Lock()
		fit, changed := c.fit(), c.changed
		answer, known, err := c.table(q.Table).since(q)
		c.mu.Unlock()
		switch {
		case !fit && unfit == nil:
			unfit = time.After(mendWithin)
		case !fit:
		case err != nil:
			return platform.FeedAnswer{}, err
		case known:
			return answer, nil
		default:
			unfit = nil
		}
		select {
		case <-changed:
		case <-unfit:
			return platform.FeedAnswer{}, platform.ErrFeedUnfit
		case <-ctx.Done():
			if !fit {
				return platform.FeedAnswer{}, platform.ErrFeedUnfit
			}
			return answer, nil
		}
	}
}

// since returns what a query asks for; known is false where nothing has changed.
func (t *table) since(q platform.FeedQuery) (answer platform.FeedAnswer, known bool, err error) {
	answer.Revision = t.revision
	switch {
	case q.Whole:
	case t.revision.OlderEra(q.After):
		return answer, false, platform.ErrFeedUnfit
	case q.After.Before(t.base):
		return answer, false, platform.ErrHistoryLost
	}
	for _, row := range t.rows {
		if q.Whole && !row.Deleted || !q.Whole && q.After.Before(row.Revision) {
			answer.Rows = append(answer.Rows, row)
		}
	}
	slices.SortFunc(answer.Rows, func(a, b platform.FeedRow) int {
		return cmp.Or(a.Revision.Compare(b.Revision), cmp.Compare(a.Key, b.Key))
	})
	return answer, q.Whole || len(answer.Rows) > 0, nil
}
