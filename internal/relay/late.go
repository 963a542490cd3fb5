package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/clock"
	"github.com/savorystall/savorystall/internal/platform"
)

// A daemon whose link is full gets each answer seconds late. If it gave up every call after the time
// that a call takes at best, and began anew, it would never learn of a change. Calls to the store
// therefore go on when their caller stops waiting, and answers that come late are used.
const (
	// maxLateness is how long a call to the store goes on. A connection that has died ends it earlier.
	maxLateness = 10 * time.Second
	// slowTime is for how long after a late answer a daemon counts as slow.
	slowTime = 5 * time.Second
	// slowCallInterval is the least time between the starts of two calls to the store for a table other
	// than the heartbeat table, while this daemon is slow and for troubledTime after a late answer.
	// unansweredCallInterval is the same while the store does not answer this daemon at all.
	slowCallInterval       = 1500 * time.Millisecond
	unansweredCallInterval = 8 * time.Second
	troubledTime           = 15 * time.Second
	// turnCheckInterval is how often a call that waits for its turn checks whether the store answers
	// again.
	turnCheckInterval = 200 * time.Millisecond
	// slowProbeInterval is the interval of the heartbeat calls of a slow daemon, so that calls for
	// other tables find their turns between them.
	slowProbeInterval = 1400 * time.Millisecond
	// slowTimeoutMargin is how long after the wait of its heartbeat call an answer to a slow daemon may
	// arrive.
	slowTimeoutMargin = 1500 * time.Millisecond
	// slowRetryDelay is the pause before a slow daemon queries the next daemon.
	slowRetryDelay = 150 * time.Millisecond
)

// storeAnswer is the answer to a call to the store.
type storeAnswer struct {
	rows     []platform.FeedRow
	revision platform.Revision
	err      error
	// full reports that rows is the whole table rather than the changes of it. confirmedAt is when the
	// store held these rows, at the earliest.
	full        bool
	confirmedAt time.Time
}

// storeCall is a call to the store for a table that goes on when its caller stops waiting.
type storeCall struct {
	started time.Time
	done    chan struct{}
	// cancel ends the call; nil if it ends by itself only.
	cancel context.CancelFunc
	// answer is set before done is closed.
	answer storeAnswer
	// abandoned reports that nobody waits for the answer. Guarded by Feed.mu.
	abandoned bool
}

// callStore makes a call to the store, and waits for its answer until ctx ends. An answer that comes
// later is applied then.
func (f *Feed) callStore(ctx context.Context, table string, call func(context.Context) storeAnswer) storeAnswer {
	c := &storeCall{started: time.Now(), done: make(chan struct{})}
	callCtx, cancel := context.WithTimeout(platform.Lifetime(ctx), maxLateness)
	go func() {
		defer cancel()
		answer := call(callCtx)
		f.mu.Lock()
		c.answer = answer
		abandoned := c.abandoned
		close(c.done)
		f.mu.Unlock()
		if abandoned {
			f.applyLate(table, answer)
		}
	}()
	return f.await(ctx, c)
}

// await waits for the answer to a call until ctx ends.
func (f *Feed) await(ctx context.Context, c *storeCall) storeAnswer {
	select {
	case <-c.done:
		return c.answer
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-c.done:
		return c.answer
	default:
		c.abandoned = true
		return storeAnswer{err: ctx.Err()}
	}
}

// applyLate applies an answer that nobody waits for any more. The follower of the table gets it with
// its next call.
func (f *Feed) applyLate(table string, answer storeAnswer) {
	if answer.err != nil || f.isStale(table, answer.revision) {
		return
	}
	known, _ := f.cache.revision(table)
	if answer.full {
		f.cache.replaceTable(table, answer.rows, answer.revision, true)
	} else {
		f.cache.applyChanges(table, answer.rows, answer.revision, true)
	}
	f.confirm(table, answer.confirmedAt)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateLatest(table, answer.revision)
	f.unread[table] = true
	if table != f.cfg.HeartbeatTable {
		return
	}
	wasSlow := time.Now().Before(f.slowUntil)
	f.slowUntil, f.troubledUntil = time.Now().Add(slowTime), time.Now().Add(troubledTime)
	f.endCheck()
	if !wasSlow {
		f.interruptCalls() // calls for other tables go to the store from now on
		return
	}
	if answer.hasNewer(known) {
		f.interruptHeartbeat()
	}
}

// hasNewer reports whether an answer has rows that changed after a revision.
func (a *storeAnswer) hasNewer(known platform.Revision) bool {
	return slices.ContainsFunc(a.rows, func(row platform.FeedRow) bool { return known.Before(row.Revision) })
}

// takeLate returns, once, the rows of a late answer that changed after a revision.
func (f *Feed) takeLate(table string, after platform.Revision) (rows []platform.FeedRow, revision platform.Revision, ok bool) {
	if !f.takeUnread(table) {
		return nil, after, false
	}
	revision, known := f.cache.revision(table)
	if !known || !after.Before(revision) || !revision.SameEra(after) {
		return nil, after, false
	}
	answer, err := f.cache.changes(platform.FeedQuery{Table: table, After: after})
	if err != nil {
		return nil, after, false
	}
	return answer.Rows, revision, true
}

// takeLateTable returns, once, the whole table of a late answer.
func (f *Feed) takeLateTable(table string) (rows []platform.FeedRow, revision platform.Revision, ok bool) {
	if !f.takeUnread(table) {
		return nil, platform.Revision{}, false
	}
	if _, known := f.cache.revision(table); !known {
		return nil, platform.Revision{}, false
	}
	rows, revision = f.cache.liveRows(table)
	return rows, revision, true
}

func (f *Feed) takeUnread(table string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	unread := f.unread[table]
	delete(f.unread, table)
	return unread
}

// isSlow reports whether the store answers this daemon, but later than a call waits.
func (f *Feed) isSlow(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.slowUntil)
}

// storeMargin returns how long after the wait of a heartbeat call the store's answer may arrive.
func (f *Feed) storeMargin() time.Duration {
	if f.isSlow(time.Now()) {
		return slowTimeoutMargin
	}
	return storeTimeoutMargin
}

// joinRead reads a table other than the heartbeat table from the store. A read that is in progress is
// joined rather than begun anew. Its answer is then an error if the table has been read from elsewhere
// since and is known to have changed: the follower would lose the changes between the two.
func (f *Feed) joinRead(ctx context.Context, table string) storeAnswer {
	c := f.joinableRead(time.Now(), table)
	if c == nil {
		return f.beginRead(ctx, table)
	}
	answer := f.rejoin(ctx, c)
	if answer.err == nil && f.isStale(table, answer.revision) {
		return storeAnswer{err: errReadOvertaken}
	}
	return answer
}

// errReadOvertaken is the error of a read whose rows are older than what this daemon knows.
var errReadOvertaken = errors.New("the rows that were read are older than what this daemon knows")

// beginRead begins a read that may be joined, and waits for its answer until ctx ends.
func (f *Feed) beginRead(ctx context.Context, table string) storeAnswer {
	if err := f.awaitTurn(ctx, table); err != nil {
		return storeAnswer{err: err}
	}
	callCtx, cancel := context.WithTimeout(platform.Lifetime(ctx), maxLateness)
	c := &storeCall{started: time.Now(), done: make(chan struct{}), cancel: cancel}
	f.mu.Lock()
	f.reads[table] = c
	f.mu.Unlock()
	go func() {
		defer cancel()
		answer := f.readStore(callCtx, table)
		f.mu.Lock()
		defer f.mu.Unlock()
		c.answer = answer
		close(c.done)
	}()
	return f.rejoin(ctx, c)
}

// joinableRead returns the read of a table that is in progress or whose answer nobody has taken; nil if
// there is none. While the store answers in time, a read that was given up has failed and is ended.
func (f *Feed) joinableRead(now time.Time, table string) *storeCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.reads[table]
	switch {
	case c == nil || c.isOver():
		return nil
	case !now.Before(f.slowUntil):
		c.cancel()
		return nil
	}
	return c
}

// isOver reports whether the answer to a read is too old to be used, or an error that was returned.
func (c *storeCall) isOver() bool {
	select {
	case <-c.done:
		return c.answer.err != nil || time.Since(c.started) > maxLateness
	default:
		return false
	}
}

// rejoin waits for the answer to a read until ctx ends. The answer is returned once.
func (f *Feed) rejoin(ctx context.Context, c *storeCall) storeAnswer {
	select {
	case <-c.done:
	case <-ctx.Done():
		return storeAnswer{err: ctx.Err()}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for table, read := range f.reads {
		if read == c {
			delete(f.reads, table)
		}
	}
	return c.answer
}

// readStore reads a whole table from the store.
func (f *Feed) readStore(ctx context.Context, table string) storeAnswer {
	started := time.Now()
	rows, revision, err := f.cfg.Store.ReadTable(ctx, table)
	return storeAnswer{rows: rows, revision: revision, err: err, full: true, confirmedAt: started}
}

// changesFromStore waits for changes of a table at the store.
func (f *Feed) changesFromStore(ctx context.Context, table string, after platform.Revision, wait time.Duration) storeAnswer {
	started := time.Now()
	rows, revision, err := f.cfg.Store.Changes(ctx, table, after, wait)
	return storeAnswer{rows: rows, revision: revision, err: err, confirmedAt: storeAnsweredAt(time.Now(), started, wait, rows)}
}

// awaitTurn waits until a call to the store for a table other than the heartbeat table may begin. A
// daemon that gets its answers late or not at all would otherwise make several failing calls a second.
func (f *Feed) awaitTurn(ctx context.Context, table string) error {
	if table == f.cfg.HeartbeatTable {
		return nil
	}
	for {
		wait := f.takeTurn(time.Now(), table)
		if wait <= 0 {
			return nil
		}
		clock.Sleep(ctx, clock.Real, min(wait, turnCheckInterval))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// takeTurn returns how much longer a call for a table has to wait. If it has not, it counts as begun.
func (f *Feed) takeTurn(now time.Time, table string) (wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	interval := time.Duration(0)
	switch {
	case f.probing.active() && !now.Before(f.slowUntil):
		interval = unansweredCallInterval
	case now.Before(f.troubledUntil):
		interval = slowCallInterval
	}
	wait = f.lastStoreCalls[table].Add(interval).Sub(now)
	if wait <= 0 {
		f.lastStoreCalls[table] = now
	}
	return wait
}

// idle ends a heartbeat call of a slow daemon that has brought nothing. It is no failure: the store
// answers, and what it answers late has been or will be applied.
func (f *Feed) idle(ctx context.Context, after platform.Revision) ([]platform.FeedRow, platform.Revision, error) {
	clock.Sleep(ctx, clock.Real, slowRetryDelay)
	return nil, after, ctx.Err()
}
