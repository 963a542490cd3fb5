package platform

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/savorystall/savorystall/internal/event"
)

// FeedRow is one row of a followed table.
type FeedRow struct {
	Key   string
	Value []byte
	// Revision is that of the row's last change.
	Revision uint64
	// Deleted tells that the row is gone; Value is then empty.
	Deleted bool
}

// ErrHistoryLost is the error of Changes where the store has dropped the changes
// after the asked revision. The table has to be read again.
var ErrHistoryLost = errors.New("the store has dropped the changes after this revision")

// Feed reads tables whose rows are followed as they change.
type Feed interface {
	// ReadTable returns all rows of a table, and a revision that none of the
	// changes that it lacks is older than.
	ReadTable(ctx context.Context, table string) (rows []FeedRow, revision uint64, err error)
	// Changes returns the rows that changed after a revision, in order, and the
	// revision to go on from. It waits for the first change, up to wait, and then
	// returns none. The error is ErrHistoryLost where the table is to be read
	// again.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (rows []FeedRow, revision uint64, err error)
}

// Rows writes single rows that one daemon alone writes.
type Rows interface {
	PutRow(ctx context.Context, table, key string, value []byte) (revision uint64, err error)
	DeleteRow(ctx context.Context, table, key string) error
}

// Subscriber takes what a Follower reads. The calls come from one goroutine.
type Subscriber interface {
	// Replace takes the whole table in; what it lacks is gone.
	Replace(rows []FeedRow)
	// Change takes one changed row in.
	Change(row FeedRow)
	// Reachable tells that the store stopped answering, or answers again; the
	// latter comes before the rows of the first answer.
	Reachable(ok bool)
}

// FollowerConfig sets up a Follower.
type FollowerConfig struct {
	Feed  Feed
	Table string
	// Wait is how long one call waits for a change. Default 2 s: each call that
	// ends without one costs a call, and a connection that went silent is found
	// after Wait and Slack.
	Wait time.Duration
	// Slack is how long after Wait an answer may come. Default 700 ms: above the
	// answer time of a loaded store, and together with Wait below the 3 s after
	// which a daemon counts as in touch with the store again.
	Slack  time.Duration
	Logger *slog.Logger
}

// Defaults of FollowerConfig, and the backoff after a failed call: short, since a
// configuration has to be in force within seconds of an outage's end, and with
// full jitter, so that daemons do not come back at once.
const (
	defaultFeedWait  = 2 * time.Second
	defaultFeedSlack = 700 * time.Millisecond
	feedBackoffBase  = 100 * time.Millisecond
	feedBackoffCap   = 800 * time.Millisecond
	// feedRead bounds the reading of a whole table.
	feedRead = 2 * time.Second
)

// Follower keeps a subscriber up to date with one table of the platform's store.
//
// Failures it guards against: a connection that goes silent shows as a table that
// never changes, so that each call has an end; a store that forgets its history
// would leave a gap, so that the table is then read anew as a whole; and a
// revision never goes back, so that an old answer undoes nothing.
type Follower struct {
	cfg      FollowerConfig
	to       Subscriber
	revision uint64
	read     bool
	failures int
	away     bool
}

// NewFollower returns a Follower that is to be run.
func NewFollower(cfg FollowerConfig, to Subscriber) *Follower {
	if cfg.Wait == 0 {
		cfg.Wait = defaultFeedWait
	}
	if cfg.Slack == 0 {
		cfg.Slack = defaultFeedSlack
	}
	return &Follower{cfg: cfg, to: to}
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryLost):
			event.FeedHistoryLost.Log(f.cfg.Logger, "table", f.cfg.Table, "revision", f.revision)
			f.read = false
		case err != nil:
			f.failed(err)
			f.pause(ctx)
		}
	}
}

func (f *Follower) step(ctx context.Context) error {
	if !f.read {
		return f.readAll(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Wait+f.cfg.Slack)
	defer cancel()
	rows, revision, err := f.cfg.Feed.Changes(ctx, f.cfg.Table, f.revision, f.cfg.Wait)
	if err != nil {
		return err
	}
	f.answered()
	for _, row := range rows {
		f.to.Change(row)
	}
	f.revision = max(f.revision, revision)
	return nil
}

func (f *Follower) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, feedRead)
	defer cancel()
	rows, revision, err := f.cfg.Feed.ReadTable(ctx, f.cfg.Table)
	if err != nil {
		return err
	}
	f.answered()
	f.to.Replace(rows)
	f.read, f.revision = true, max(f.revision, revision)
	return nil
}

func (f *Follower) answered() {
	if f.away {
		event.FeedReachable.Log(f.cfg.Logger, "table", f.cfg.Table, "failures", f.failures)
		f.away = false
		f.to.Reachable(true)
	}
	f.failures = 0
}

func (f *Follower) failed(err error) {
	f.failures++
	if !f.away {
		f.away = true
		event.FeedUnreachable.Log(f.cfg.Logger, "table", f.cfg.Table, "revision", f.revision, "error", err)
		f.to.Reachable(false)
	}
}

func (f *Follower) pause(ctx context.Context) {
	timer := time.NewTimer(fullJitter(f.failures, feedBackoffBase, feedBackoffCap, rand.Float64()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
