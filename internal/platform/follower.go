package platform

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/turn"
)

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
