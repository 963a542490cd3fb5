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
	// Deleted tells that the row is gone; Value is then empty.
	Deleted bool
}

// ErrHistoryLost is the error of a read that the store cannot continue: it has dropped
// the changes after the asked revision, or came back from a copy in the middle of a
// table. The table has to be read again.
var ErrHistoryLost = errors.New("the store has dropped the changes after this revision")

// Feed reads tables whose rows are followed as they change. All revisions of one answer
// are of one era; a store that does not tell its era stands in era zero.
type Feed interface {
	// ReadTable returns all rows of a table, and a revision that none of the
	// changes that it lacks is older than. The error is ErrHistoryLost where the
	// table is to be read again.
	ReadTable(ctx context.Context, table string) (rows []FeedRow, revision Revision, err error)
	// Changes returns the rows that changed after a revision, in order, and the
	// revision to go on from. It waits for the first change, up to wait, and then
	// returns none. The error is ErrHistoryLost where the table is to be read
	// again. Where the returned revision is of another era than after, the rows
	// are not those that changed since.
	Changes(ctx context.Context, table string, after Revision, wait time.Duration) (rows []FeedRow, revision Revision, err error)
}

// ErrFeedUnfit is the error of a daemon that is asked in the store's stead and does not
// keep up with it.
var ErrFeedUnfit = errors.New("the daemon does not keep up with the store for others")

// FeedQuery asks a daemon in the store's stead: for the rows of a table that changed
// after a revision, as Feed.Changes does, or for the whole table.
type FeedQuery struct {
	Table string
	After Revision
	Whole bool
	Wait  time.Duration
}

// FeedAnswer answers it.
type FeedAnswer struct {
	Rows []FeedRow
	// Revision is the store's up to which the answer holds. The rows are of its era.
	Revision Revision
}

// Rows writes single rows that one daemon alone writes.
type Rows interface {
	PutRow(ctx context.Context, table, key string, value []byte) (revision Revision, err error)
	DeleteRow(ctx context.Context, table, key string) error
}

// Subscriber takes what a Follower reads. The calls come from one goroutine.
type Subscriber interface {
	// Replace takes in the whole table as it stood at a revision; what it lacks is gone,
	// but see Restored.
	Replace(rows []FeedRow, at Revision)
	// Change takes one changed row in.
	Change(row FeedRow)
	// Away tells that the store stopped answering.
	Away()
	// Back tells that the store answers again, before the rows of the first answer. It may
	// have been back for longer, though not before the given time, at which the last call
	// that failed began.
	Back(notBefore time.Time)
	// Restored tells that the store came back from a copy, before the Replace with the
	// copy's rows: what they lack may be written again, and what they hold may have been
	// changed or dropped before.
	Restored(r Restore)
}

// Restore is a return of the store from a copy, as the reader of a table notices it.
type Restore struct {
	// Last is the latest revision that was read before, First the one after.
	Last, First Revision
	// NotBefore is the earliest time at which the store may have been back.
	NotBefore time.Time
}

// MayPrecede tells whether a row of the copy may have been written before Last. Where it was
// and the table at Last lacked it, it had been dropped. A row that was written since the
// return may have as low a version, so that this is a reason to doubt and no proof.
func (r Restore) MayPrecede(row FeedRow) bool { return row.Revision.number <= r.Last.number }
