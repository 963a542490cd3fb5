package platform

import (
	"context"
	"errors"
	"time"
)

// FeedRow is one row of a followed table.
type FeedRow struct {
	Key   string
	Value []byte
	// Revision is that of the row's last change.
	Revision Revision
	// Deleted reports that the row was deleted; Value is then empty.
	Deleted bool
}

// ErrHistoryLost is returned if the store cannot continue a read, because it no longer
// has the changes after the requested revision or was restored from a backup while a
// table was being read. The table has to be read again.
var ErrHistoryLost = errors.New("the store has dropped the changes after this revision")

// Feed reads tables and the changes of their rows. All revisions of one answer are of the
// same era; the era of a store that does not report one is zero.
type Feed interface {
	// ReadTable returns all rows of a table, and a revision such that all changes
	// missing from the rows are newer. The error is ErrHistoryLost if the table
	// has to be read again.
	ReadTable(ctx context.Context, table string) (rows []FeedRow, revision Revision, err error)
	// Changes returns the rows that changed after a revision, in order, and the
	// revision to continue from. It waits up to wait for the first change, and
	// returns no rows if there is none. The error is ErrHistoryLost if the table
	// has to be read again. If the returned revision is of another era than
	// after, the rows are not the changes since after.
	Changes(ctx context.Context, table string, after Revision, wait time.Duration) (rows []FeedRow, revision Revision, err error)
}

// ErrReaderNotCurrent is returned by a daemon that is queried instead of the store and is
// not up to date with it.
var ErrReaderNotCurrent = errors.New("the daemon does not keep up with the store for others")

// FeedQuery is a query to a daemon instead of the store, for the rows of a table that
// changed after a revision, as with Feed.Changes, or for the full table.
type FeedQuery struct {
	Table     string
	After     Revision
	FullTable bool
	Wait      time.Duration
}

// FeedAnswer is the answer to a FeedQuery.
type FeedAnswer struct {
	Rows []FeedRow
	// Revision is the revision of the store up to which the answer is complete. The
	// revisions of the rows are of its era.
	Revision Revision
	// Age is how long ago the store confirmed to the daemon that answers that it knew all changes
	// of the table whose calls show that the store is reachable.
	Age time.Duration
}

// RowWriter writes single rows, each of which only one daemon writes.
type RowWriter interface {
	PutRow(ctx context.Context, table, key string, value []byte) (revision Revision, err error)
	DeleteRow(ctx context.Context, table, key string) error
}

// Subscriber receives what a Follower reads. It is called from one goroutine.
type Subscriber interface {
	// Replace passes the full table at a revision; rows that are missing have been deleted,
	// except after StoreRestored.
	Replace(rows []FeedRow, at Revision)
	// Change passes the changed rows of one answer, in order.
	Change(rows []FeedRow)
	// StoreUnreachable reports that the store has stopped answering.
	StoreUnreachable()
	// StoreReachable reports that the store answers again, before the rows of the first
	// answer are passed. The store may have recovered earlier, but not before notBefore, the
	// start of the last failed call. A zero notBefore means that the store was not away: this
	// daemon alone was out of reach.
	StoreReachable(notBefore time.Time)
	// StoreRestored reports that the store was restored from a backup, before Replace passes
	// the rows of the backup. Rows that are missing from it may be written again, and rows
	// that it contains may have been changed or deleted before the restore.
	StoreRestored(r Restore)
}

// Restore describes a restore of the store from a backup as observed by the reader of a
// table.
type Restore struct {
	// Last is the latest revision that was read before the restore, First the first one
	// read after it.
	Last, First Revision
	// NotBefore is the earliest time at which the restored store may have been available.
	NotBefore time.Time
}

// MayPrecede reports whether a row of the backup may have been written before Last. If it
// was, and the table at Last did not contain it, it had been deleted. A row that was written
// after the restore may have an equally low revision number, so the result is a reason for
// doubt and no proof.
func (r Restore) MayPrecede(row FeedRow) bool { return row.Revision.number <= r.Last.number }
