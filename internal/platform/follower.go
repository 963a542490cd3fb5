package platform

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/savorystall/savorystall/internal/clock"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/turn"
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Feed  Feed
	Table string
	// Wait is how long one call waits for a change. Default 1.8 s, a compromise: each
	// wait that ends without a change costs another call, and an unresponsive
	// connection is detected only after Wait plus TimeoutMargin.
	Wait time.Duration
	// CoalesceDelay is how long the follower waits after a change before it requests
	// the next one. Default 150 ms. Changes come in bursts (targets start or leave one
	// after the other), and each answer costs a call; changes within the delay share
	// one.
	CoalesceDelay time.Duration
	// AwaitedUntil returns until when the subscriber waits for rows that the table lacks; zero
	// if it waits for none. Shortly before that time CoalesceDelay is cut, since a row that was
	// written in time would otherwise be read too late. It may be nil.
	AwaitedUntil func() time.Time
	// Group connects the followers of one store; nil means that there is only this one.
	Group *FeedGroup
	// Heartbeat reports that this is the group's follower with the short Wait, which
	// determines for the others whether the store is reachable.
	Heartbeat bool
	// TimeoutMargin is how long after Wait an answer may arrive. Default 700 ms: longer
	// than a loaded store takes to answer, and together with Wait shorter than the 3 s
	// after which a daemon counts as connected to the store again.
	TimeoutMargin time.Duration
	// OutageSince reports whether the store may have been away at some time since the given one, rather
	// than out of reach for this daemon alone. Default: it always may have been.
	OutageSince func(since time.Time) bool
	// OnCurrent is called for each answer after its rows, if any, have been passed to the
	// subscriber: what it has is then what the store had. It may be nil.
	OnCurrent func()
	Logger    *slog.Logger
}

// Defaults of FollowerConfig and bounds of the backoff after a failed call. The backoff
// is short, since a configuration has to take effect within seconds of the end of an
// outage, and has full jitter, so that the daemons do not reconnect all at once.
const (
	defaultFeedWait          = 1800 * time.Millisecond
	defaultFeedTimeoutMargin = 700 * time.Millisecond
	feedBackoffBase          = 100 * time.Millisecond
	feedBackoffCap           = 1500 * time.Millisecond
	defaultFeedCoalesceDelay = 150 * time.Millisecond
	// awaitedRowsMargin is how long before the end of FollowerConfig.AwaitedUntil the
	// coalescing of changes ends, or is cut to minCoalesceDelay: time for two slow answers, one
	// that is on its way without the row, and the next with it.
	awaitedRowsMargin = time.Second
	minCoalesceDelay  = 150 * time.Millisecond
	// readerRetryDelay is the pause before a daemon that is queried instead of the store, and
	// does not keep up with it, is queried again.
	readerRetryDelay = 150 * time.Millisecond
	// feedReadTimeout bounds the read of a full table.
	feedReadTimeout = 2 * time.Second
	// unreachableRetryInterval is how long a follower whose group has found the store
	// unreachable waits before it retries by itself. With three tables, two of three
	// calls during an outage would be redundant.
	unreachableRetryInterval = 2 * time.Second
)

// Follower keeps a subscriber up to date with one table of the platform's store.
//
// It handles the following failures:
//   - An unresponsive connection looks like a table that never changes; each call
//     therefore has a timeout.
//   - A store that has dropped its history would leave a gap; the full table is then read
//     again.
//   - A late answer must not undo newer changes; the revision therefore never decreases.
//   - A store that was restored from a backup reuses revision numbers; an answer of a
//     newer era therefore causes the table to be read again, and an answer of an older era
//     is ignored.
type Follower struct {
	cfg        FollowerConfig
	subscriber Subscriber
	revision   Revision
	synced     bool
	// everSynced reports that the table was read at least once.
	everSynced  bool
	failures    int
	unreachable bool
	// callStart is the start of the current call, failedCallStart that of the last failed
	// call.
	callStart, failedCallStart time.Time
	// unreachableSince is when the store became unreachable.
	unreachableSince time.Time
}

// NewFollower returns a Follower, which does nothing until Run is called.
func NewFollower(cfg FollowerConfig, subscriber Subscriber) *Follower {
	if cfg.Wait == 0 {
		cfg.Wait = defaultFeedWait
	}
	if cfg.TimeoutMargin == 0 {
		cfg.TimeoutMargin = defaultFeedTimeoutMargin
	}
	if cfg.CoalesceDelay == 0 {
		cfg.CoalesceDelay = defaultFeedCoalesceDelay
	}
	if cfg.Group == nil {
		cfg.Group = NewFeedGroup()
	}
	return &Follower{cfg: cfg, subscriber: subscriber}
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	ctx = withLifetime(ctx)
	for ctx.Err() == nil {
		changed, err := f.poll(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errGroupFailed):
			// Another member has found that the store does not respond or has
			// recovered, so the answer to this call may never arrive. The call is
			// repeated at once on another connection.
			f.markUnreachable()
		case errors.Is(err, errGroupRestored):
			f.synced = false
		case errors.Is(err, errOlderEra):
			clock.Sleep(ctx, clock.Real, feedBackoffBase)
		case changed:
			clock.Sleep(ctx, clock.Real, f.coalesceDelay(time.Now()))
		case errors.Is(err, ErrHistoryLost):
			event.FeedHistoryLost.Log(f.cfg.Logger, "table", f.cfg.Table, "revision", f.revision)
			f.synced = false
		case f.cfg.Heartbeat && errors.Is(err, ErrReaderNotCurrent):
			// The feed paces the calls to the store itself, and a longer pause would delay them.
			f.handleFailure(err)
			clock.Sleep(ctx, clock.Real, readerRetryDelay)
		case err != nil:
			f.handleFailure(err)
			// A call that timed out has already taken long enough: a further delay
			// would keep the daemon disconnected for longer than the outage.
			if !errors.Is(err, context.DeadlineExceeded) {
				f.backOff(ctx)
			}
		}
	}
}

// coalesceDelay returns how long the follower waits after a change before it requests the next one.
func (f *Follower) coalesceDelay(now time.Time) time.Duration {
	if f.cfg.AwaitedUntil == nil {
		return f.cfg.CoalesceDelay
	}
	until := f.cfg.AwaitedUntil()
	if until.IsZero() {
		return f.cfg.CoalesceDelay
	}
	return min(f.cfg.CoalesceDelay, max(minCoalesceDelay, until.Add(-awaitedRowsMargin).Sub(now)))
}

// backOff waits after a failed call. While the heartbeat follower finds the store
// unreachable, the others rely on it to detect the recovery.
func (f *Follower) backOff(ctx context.Context) {
	if reachable := f.cfg.Group.whenReachable(); reachable != nil && !f.cfg.Heartbeat {
		timer := time.NewTimer(unreachableRetryInterval)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-reachable:
		case <-timer.C:
		}
		return
	}
	clock.Sleep(ctx, clock.Real, fullJitter(f.failures, feedBackoffBase, feedBackoffCap, rand.Float64()))
}

// poll makes one call. It reports whether the call returned a change or the full table.
func (f *Follower) poll(ctx context.Context) (changed bool, err error) {
	f.callStart = time.Now()
	if !f.synced {
		err := f.readTable(ctx)
		return err == nil, err // changes right after the read are coalesced too
	}
	interruptible, end := f.cfg.Group.withInterrupt(ctx, f.revision)
	defer end()
	if errors.Is(context.Cause(interruptible), errGroupRestored) {
		return false, errGroupRestored
	}
	call, cancel := turn.WithTimeout(interruptible, f.cfg.Wait+f.cfg.TimeoutMargin)
	defer cancel()
	rows, revision, err := f.cfg.Feed.Changes(call, f.cfg.Table, f.revision, f.cfg.Wait)
	if cause := context.Cause(interruptible); errors.Is(cause, errGroupFailed) || errors.Is(cause, errGroupRestored) {
		return false, cause
	}
	if err != nil {
		f.recordFailure(err)
		if call.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
			f.cfg.Group.interruptCalls()
		}
		return false, err
	}
	if older := f.isOlderEra(revision); older && !f.cfg.Group.hasNewerEra(f.revision) {
		return false, errOlderEra
	} else if older || !revision.SameEra(f.revision) {
		return false, errGroupRestored
	}
	f.handleAnswer()
	if len(rows) > 0 {
		f.subscriber.Change(rows)
	}
	f.revision = Later(f.revision, revision)
	f.reportCurrent()
	return len(rows) > 0, nil
}

// isOlderEra reports whether an answer is from before a known restore of the store.
func (f *Follower) isOlderEra(revision Revision) bool {
	return f.cfg.Group.observeRevision(time.Now(), revision) || revision.OlderEra(f.revision)
}

func (f *Follower) readTable(ctx context.Context) error {
	ctx, cancel := turn.WithTimeout(ctx, feedReadTimeout)
	defer cancel()
	rows, revision, err := f.cfg.Feed.ReadTable(ctx, f.cfg.Table)
	if err != nil {
		f.recordFailure(err)
		return err
	}
	if f.isOlderEra(revision) {
		return errOlderEra
	}
	f.handleAnswer()
	if f.everSynced && !revision.SameEra(f.revision) {
		f.notifyRestored(revision)
	}
	f.subscriber.Replace(rows, revision)
	f.synced, f.everSynced, f.revision = true, true, Later(f.revision, revision)
	f.reportCurrent()
	return nil
}

func (f *Follower) reportCurrent() {
	if f.cfg.OnCurrent != nil {
		f.cfg.OnCurrent()
	}
}

// notifyRestored reports to the subscriber that the store was restored from a backup.
func (f *Follower) notifyRestored(first Revision) {
	notBefore := f.cfg.Group.previousEraEnd()
	if failed := f.lastFailureStart(); failed.After(notBefore) {
		notBefore = failed
	}
	event.FeedRestored.Log(f.cfg.Logger, "table", f.cfg.Table, "era", f.revision.era, "new_era", first.era,
		"number", f.revision.number, "new_number", first.number)
	f.subscriber.StoreRestored(Restore{Last: f.revision, First: first, NotBefore: notBefore})
}

// recordFailure records that the current call has failed. It must be called before the
// calls of the group are interrupted, since the other members may then reach the store at
// once.
func (f *Follower) recordFailure(err error) {
	if errors.Is(err, ErrHistoryLost) {
		return // the store has answered
	}
	f.failedCallStart = f.callStart
	f.cfg.Group.recordFailure(f.callStart)
}

// lastFailureStart returns the start of the last failed call of any member.
func (f *Follower) lastFailureStart() time.Time {
	if groupFailure := f.cfg.Group.lastFailureStart(); groupFailure.After(f.failedCallStart) {
		return groupFailure
	}
	return f.failedCallStart
}

func (f *Follower) handleAnswer() {
	if f.cfg.Heartbeat {
		f.cfg.Group.setUnreachable(false)
	}
	if f.unreachable {
		notBefore := f.outageEnd()
		event.FeedReachable.Log(f.cfg.Logger, "table", f.cfg.Table, "failures", f.failures, "outage", !notBefore.IsZero())
		f.unreachable = false
		if f.failures > 0 {
			f.cfg.Group.interruptCalls() // the others may wait on connections from the outage
		}
		f.subscriber.StoreReachable(notBefore)
	}
	f.failures = 0
}

// outageEnd returns the earliest time at which the outage that has ended may have done so; zero if there
// was none.
func (f *Follower) outageEnd() time.Time {
	if f.cfg.OutageSince != nil && !f.cfg.OutageSince(f.unreachableSince) {
		return time.Time{}
	}
	return f.lastFailureStart()
}

func (f *Follower) handleFailure(err error) {
	f.failures++
	if !f.unreachable {
		event.FeedUnreachable.Log(f.cfg.Logger, "table", f.cfg.Table, "revision", f.revision, "error", err)
	}
	f.markUnreachable()
}

// markUnreachable records that the store is unreachable. The next call reads the full
// table, since that is answered at once when the store recovers, whereas a call that waits
// for a change would reveal the recovery only with the next change.
func (f *Follower) markUnreachable() {
	f.synced = false
	if f.cfg.Heartbeat {
		f.cfg.Group.setUnreachable(true)
	}
	if !f.unreachable {
		f.unreachable, f.unreachableSince = true, time.Now()
		f.subscriber.StoreUnreachable()
	}
}
