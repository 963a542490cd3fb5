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
	// Group joins the followers of one store; nil: this one is alone.
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
// would leave a gap, so that the table is then read anew as a whole; a revision never
// goes back, so that an old answer undoes nothing; and a store that came back from a copy
// gives version numbers out again, so that an answer of a newer era has the table read
// anew, and one of an older era is passed over.
type Follower struct {
	cfg      FollowerConfig
	to       Subscriber
	revision Revision
	read     bool
	// known tells that the table was read before.
	known    bool
	failures int
	away     bool
	// asked is when the present call began, failedAt when the last one that failed did.
	asked, failedAt time.Time
}

// breach is what ends the calls of all members of a group.
type breach struct {
	ended chan struct{}
	// cause is set before ended is closed.
	cause error
}

func newBreach() *breach { return &breach{ended: make(chan struct{})} }

// FeedGroup joins the followers of one store, so that one of them with a short
// Wait finds for all that the store or the way to it has gone silent; the others
// can wait long, which saves calls. It is safe for concurrent use.
type FeedGroup struct {
	mu     sync.Mutex
	breach *breach
	// era is the highest one that a member was answered from, once told is set.
	era  uint64
	told bool
	// answeredAt is when the last answer of that era came, leftAt when the last one of the
	// era before it did.
	answeredAt, leftAt time.Time
	// away is not nil while the follower that beats finds the store away, and is closed
	// at its return.
	away chan struct{}
	// failedAt is when the last call of any member that failed began.
	failedAt time.Time
}

// NewFeedGroup returns a group without members.
func NewFeedGroup() *FeedGroup { return &FeedGroup{breach: newBreach()} }

// setAway notes whether the store is away.
func (g *FeedGroup) setAway(away bool) {
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
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.away
}

// noteFailure notes when a member's call that failed began.
func (g *FeedGroup) noteFailure(asked time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if asked.After(g.failedAt) {
		g.failedAt = asked
	}
}

// lastFailure returns when the last call of any member that failed began.
func (g *FeedGroup) lastFailure() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failedAt
}

// reach notes the era of an answer. It tells whether the answer is of an older era than
// one that a member has met. The first answer of a newer era ends the calls of all: theirs
// may wait for versions that the store will not come to for long.
func (g *FeedGroup) reach(now time.Time, revision Revision) (older bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.told && revision.era < g.era:
		return true
	case g.told && revision.era > g.era:
		g.leftAt = g.answeredAt
		g.end(errGroupRestored)
	}
	g.era, g.told, g.answeredAt = revision.era, true, now
	return false
}

// isPast tells whether a member has met a newer era than that of a revision.
func (g *FeedGroup) isPast(revision Revision) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.era > revision.era
}

// left returns when the last answer before the store's last return from a copy came.
func (g *FeedGroup) left() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leftAt
}

// fail ends the calls of all members, which then begin anew on other connections.
func (g *FeedGroup) fail() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.end(errGroupFailed)
}

// end ends the calls of all members. The caller holds the lock.
func (g *FeedGroup) end(cause error) {
	g.breach.cause = cause
	close(g.breach.ended)
	g.breach = newBreach()
}

// watch returns a context that ends with the group's next breach. It has ended already where
// the group is past the era of a revision: a member that paused has missed its breach.
func (g *FeedGroup) watch(ctx context.Context, revision Revision) (context.Context, context.CancelFunc) {
	g.mu.Lock()
	next := g.breach
	passed := g.era > revision.era
	g.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	if passed {
		cancel(errGroupRestored)
	}
	go func() {
		select {
		case <-ctx.Done():
		case <-next.ended:
			cancel(next.cause)
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}

// errGroupFailed is the cause of a call's end where another member has failed.
var errGroupFailed = errors.New("another follower of the store has failed")

// errGroupRestored is the cause where a member has met a newer era of the store.
var errGroupRestored = errors.New("the store has come back from a copy")

// errOlderEra is the error of an answer from before the store's return from a copy.
var errOlderEra = errors.New("the answer is of an older era of the store")

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
	if cfg.Group == nil {
		cfg.Group = NewFeedGroup()
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
		case errors.Is(err, errGroupRestored):
			f.read = false
		case errors.Is(err, errOlderEra):
			pauseFor(ctx, feedBackoffBase)
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
	watched, end := f.cfg.Group.watch(ctx, f.revision)
	defer end()
	if errors.Is(context.Cause(watched), errGroupRestored) {
		return false, errGroupRestored
	}
	call, cancel := turn.WithTimeout(watched, f.cfg.Wait+f.cfg.Slack)
	defer cancel()
	rows, revision, err := f.cfg.Feed.Changes(call, f.cfg.Table, f.revision, f.cfg.Wait)
	if cause := context.Cause(watched); errors.Is(cause, errGroupFailed) || errors.Is(cause, errGroupRestored) {
		return false, cause
	}
	if err != nil {
		f.noteFailure(err)
		if call.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
			f.cfg.Group.fail()
		}
		return false, err
	}
	if older := f.isOlder(revision); older && !f.cfg.Group.isPast(f.revision) {
		return false, errOlderEra
	} else if older || !revision.SameEra(f.revision) {
		return false, errGroupRestored
	}
	f.answered()
	for _, row := range rows {
		f.to.Change(row)
	}
	f.revision = Later(f.revision, revision)
	return len(rows) > 0, nil
}

// isOlder tells whether an answer is from before a return of the store that is known here.
func (f *Follower) isOlder(revision Revision) bool {
	return f.cfg.Group.reach(time.Now(), revision) || revision.OlderEra(f.revision)
}

func (f *Follower) readAll(ctx context.Context) error {
	ctx, cancel := turn.WithTimeout(ctx, feedRead)
	defer cancel()
	rows, revision, err := f.cfg.Feed.ReadTable(ctx, f.cfg.Table)
	if err != nil {
		f.noteFailure(err)
		return err
	}
	if f.isOlder(revision) {
		return errOlderEra
	}
	f.answered()
	if f.known && !revision.SameEra(f.revision) {
		f.restored(revision)
	}
	f.to.Replace(rows, revision)
	f.read, f.known, f.revision = true, true, Later(f.revision, revision)
	return nil
}

// restored tells that the table is a copy's.
func (f *Follower) restored(first Revision) {
	notBefore := f.cfg.Group.left()
	if failed := f.lastFailure(); failed.After(notBefore) {
		notBefore = failed
	}
	event.FeedRestored.Log(f.cfg.Logger, "table", f.cfg.Table, "era", f.revision.era, "new_era", first.era,
		"number", f.revision.number, "new_number", first.number)
	f.to.Restored(Restore{Last: f.revision, First: first, NotBefore: notBefore})
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
