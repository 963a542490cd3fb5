package platform

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/turn"
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

// ErrFeedUnfit is the error of a daemon that is asked in the store's stead and does not
// keep up with it.
var ErrFeedUnfit = errors.New("the daemon does not keep up with the store for others")

// FeedQuery asks a daemon in the store's stead: for the rows of a table that changed
// after a revision, as Feed.Changes does, or for the whole table.
type FeedQuery struct {
	Table string
	After uint64
	Whole bool
	Wait  time.Duration
}

// FeedAnswer answers it.
type FeedAnswer struct {
	Rows []FeedRow
	// Revision is the store's up to which the answer holds.
	Revision uint64
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
	// Away tells that the store stopped answering.
	Away()
	// Back tells that the store answers again, before the rows of the first answer. It may
	// have been back for longer, though not before the given time, at which the last call
	// that failed began.
	Back(notBefore time.Time)
}

// FollowerConfig sets up a Follower.
type FollowerConfig struct {
	Feed  Feed
	Table string
	// Wait is how long one call waits for a change. Default 1.8 s: each call that
	// ends without one costs a call, and a connection that went silent is found
	// after Wait and Slack.
	Wait time.Duration
	// Gather is how long the follower waits after a change before it asks for the
	// next one. Default 150 ms. Changes come in rows of some (targets start or leave
	// one after the other), and each answer is a call: those that come within it
	// share one.
	Gather time.Duration
	// Group joins the followers of one store; nil: none.
	Group *FeedGroup
	// Beats tells that this is the group's follower with the short Wait, by which the
	// others know whether the store answers.
	Beats bool
	// Slack is how long after Wait an answer may come. Default 700 ms: above the
	// answer time of a loaded store, and together with Wait below the 3 s after
	// which a daemon counts as in touch with the store again.
	Slack time.Duration
	// Answered is called with each answer, before its rows are taken in; it may be nil.
	Answered func()
	Logger   *slog.Logger
}

// Defaults of FollowerConfig, and the backoff after a failed call: short, since a
// configuration has to be in force within seconds of an outage's end, and with
// full jitter, so that daemons do not come back at once.
const (
	defaultFeedWait   = 1800 * time.Millisecond
	defaultFeedSlack  = 700 * time.Millisecond
	feedBackoffBase   = 100 * time.Millisecond
	feedBackoffCap    = 1500 * time.Millisecond
	defaultFeedGather = 150 * time.Millisecond
	// feedRead bounds the reading of a whole table.
	feedRead = 2 * time.Second
	// awayRetry is how long a follower whose group is away waits before it tries by
	// itself. Two calls of three in an outage would tell what the third one tells.
	awayRetry = 2 * time.Second
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
	// asked is when the present call began, failedAt when the last one that failed did.
	asked, failedAt time.Time
}

// FeedGroup joins the followers of one store, so that one of them with a short
// Wait finds for all that the store or the way to it has gone silent; the others
// can wait long, which saves calls. It is safe for concurrent use.
type FeedGroup struct {
	mu     sync.Mutex
	broken chan struct{}
	// away is not nil while the follower that beats finds the store away, and is closed
	// at its return.
	away chan struct{}
	// failedAt is when the last call of any member that failed began.
	failedAt time.Time
}

// NewFeedGroup returns a group without members.
func NewFeedGroup() *FeedGroup { return &FeedGroup{broken: make(chan struct{})} }

// setAway notes whether the store is away.
func (g *FeedGroup) setAway(away bool) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case away && g.away == nil:
		g.away = make(chan struct{})
	case !away && g.away != nil:
		close(g.away)
		g.away = nil
	}
}

// isAway returns a channel that is closed at the store's return; nil while it is not
// away.
func (g *FeedGroup) isAway() <-chan struct{} {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.away
}

// noteFailure notes when a member's call that failed began.
func (g *FeedGroup) noteFailure(asked time.Time) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if asked.After(g.failedAt) {
		g.failedAt = asked
	}
}

// lastFailure returns when the last call of any member that failed began.
func (g *FeedGroup) lastFailure() time.Time {
	if g == nil {
		return time.Time{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failedAt
}

// fail ends the calls of all members, which then begin anew on other connections.
func (g *FeedGroup) fail() {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.broken)
	g.broken = make(chan struct{})
}

// watch returns a context that ends with the group's next failure.
func (g *FeedGroup) watch(ctx context.Context) (context.Context, context.CancelFunc) {
	if g == nil {
		return context.WithCancel(ctx)
	}
	g.mu.Lock()
	broken := g.broken
	g.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-ctx.Done():
		case <-broken:
			cancel(errGroupFailed)
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}

// errGroupFailed is the cause of a call's end where another member has failed.
var errGroupFailed = errors.New("another follower of the store has failed")

// NewFollower returns a Follower that is to be run.
func NewFollower(cfg FollowerConfig, to Subscriber) *Follower {
	if cfg.Wait == 0 {
		cfg.Wait = defaultFeedWait
	}
	if cfg.Slack == 0 {
		cfg.Slack = defaultFeedSlack
	}
	if cfg.Gather == 0 {
		cfg.Gather = defaultFeedGather
	}
	return &Follower{cfg: cfg, to: to}
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed, err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errGroupFailed):
			// Another one has found the store silent, or back: what this one waited
			// for may never come. It asks again at once, on another connection.
			f.goAway()
		case changed:
			pauseFor(ctx, f.cfg.Gather)
		case errors.Is(err, ErrHistoryLost):
			event.FeedHistoryLost.Log(f.cfg.Logger, "table", f.cfg.Table, "revision", f.revision)
			f.read = false
		case err != nil:
			f.failed(err)
			// A call that ended by its own time limit was pause enough: another one
			// would keep the daemon out of touch for longer than the outage.
			if !errors.Is(err, context.DeadlineExceeded) {
				f.backOff(ctx)
			}
		}
	}
}

// backOff waits after a failed call. While the follower that beats finds the store
// away, the others leave it to that one to find it back.
func (f *Follower) backOff(ctx context.Context) {
	if back := f.cfg.Group.isAway(); back != nil && !f.cfg.Beats {
		timer := time.NewTimer(awayRetry)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-back:
		case <-timer.C:
		}
		return
	}
	pauseFor(ctx, fullJitter(f.failures, feedBackoffBase, feedBackoffCap, rand.Float64()))
}

// step makes one call. Changed tells that it brought a change, or the whole table.
func (f *Follower) step(ctx context.Context) (changed bool, err error) {
	f.asked = time.Now()
	if !f.read {
		err := f.readAll(ctx)
		return err == nil, err // what changes right after it is gathered too
	}
	watched, end := f.cfg.Group.watch(ctx)
	defer end()
	call, cancel := turn.WithTimeout(watched, f.cfg.Wait+f.cfg.Slack)
	defer cancel()
	rows, revision, err := f.cfg.Feed.Changes(call, f.cfg.Table, f.revision, f.cfg.Wait)
	if errors.Is(context.Cause(watched), errGroupFailed) {
		return false, errGroupFailed
	}
	if err != nil {
		f.noteFailure(err)
		if call.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
			f.cfg.Group.fail()
		}
		return false, err
	}
	f.answered()
	for _, row := range rows {
		f.to.Change(row)
	}
	f.revision = max(f.revision, revision)
	return len(rows) > 0, nil
}

func (f *Follower) readAll(ctx context.Context) error {
	ctx, cancel := turn.WithTimeout(ctx, feedRead)
	defer cancel()
	rows, revision, err := f.cfg.Feed.ReadTable(ctx, f.cfg.Table)
	if err != nil {
		f.noteFailure(err)
		return err
	}
	f.answered()
	f.to.Replace(rows)
	f.read, f.revision = true, max(f.revision, revision)
	return nil
}

// noteFailure notes that the present call has failed, before the group is told, whose other
// members may reach the store at once.
func (f *Follower) noteFailure(err error) {
	if errors.Is(err, ErrHistoryLost) {
		return // an answer
	}
	f.failedAt = f.asked
	f.cfg.Group.noteFailure(f.asked)
}

// lastFailure returns when the last call that failed began, be it another member's.
func (f *Follower) lastFailure() time.Time {
	if of := f.cfg.Group.lastFailure(); of.After(f.failedAt) {
		return of
	}
	return f.failedAt
}

func (f *Follower) answered() {
	if f.cfg.Answered != nil {
		f.cfg.Answered()
	}
	if f.cfg.Beats {
		f.cfg.Group.setAway(false)
	}
	if f.away {
		event.FeedReachable.Log(f.cfg.Logger, "table", f.cfg.Table, "failures", f.failures)
		f.away = false
		if f.failures > 0 {
			f.cfg.Group.fail() // the others may wait on connections of the outage
		}
		f.to.Back(f.lastFailure())
	}
	f.failures = 0
}

func (f *Follower) failed(err error) {
	f.failures++
	if !f.away {
		event.FeedUnreachable.Log(f.cfg.Logger, "table", f.cfg.Table, "revision", f.revision, "error", err)
	}
	f.goAway()
}

// goAway notes that the store is out of reach. The table is read as a whole at its
// return, which is answered at once: a call that waits for a change would tell of the
// return only with the change.
func (f *Follower) goAway() {
	f.read = false
	if f.cfg.Beats {
		f.cfg.Group.setAway(true)
	}
	if !f.away {
		f.away = true
		f.to.Away()
	}
}

func pauseFor(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
