// Package relay lets one daemon of an availability zone follow the platform's store on
// behalf of the other daemons of the zone.
//
// The load pattern it addresses: every daemon needs the same three tables, each change of a
// row completes every call that waits for it, and calls are charged for and rate limited. If
// each of 67 daemons follows the store by itself, they make 60 to 130 calls a second in
// total, of which one in 67 returns something that is new to the zone.
//
// The daemons of a zone choose the reader without exchanging messages, by rendezvous hashing
// over the live daemons. The others, the followers, send the reader over the fleet's links
// the calls that they would otherwise make to the store. Revisions are those of the store,
// so either can answer the next call. A reader answers only while its own calls to the store
// succeed. A follower whose reader does not respond, refuses or is behind calls the store
// itself at once; if that fails as well, it is probing: it calls the store again soon, and
// queries other daemons for the heartbeat table meanwhile. Each answer carries how long ago the
// store confirmed it, so that a daemon that can reach the store never depends on others for
// longer than maxConfirmationAge plus minReaderWait and readerTimeoutMargin, however many readers
// it is given one after the other. That is less than the three seconds within which a
// configuration has to take effect in a zone with a reader.
package relay

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/savorystall/savorystall/internal/clock"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/turn"
)

// Peers sends queries to other daemons.
type Peers interface {
	// Follow sends a query to a reader. The error is platform.ErrHistoryLost if the reader
	// does not have all changes since the revision of the query.
	Follow(ctx context.Context, reader ident.Daemon, q platform.FeedQuery) (platform.FeedAnswer, error)
}

// Config configures a Feed.
type Config struct {
	Self ident.Daemon
	Zone ident.Zone
	// Store is read while no other daemon reads for this one.
	Store platform.Feed
	Peers Peers
	// HeartbeatTable is the table whose calls show that the store is reachable: they wait
	// only for a short time, while calls for other tables may wait for long.
	HeartbeatTable string
	Logger         *slog.Logger
}

const (
	// readerHeartbeatWait is how long a reader's calls for the heartbeat table wait at the
	// store, and storeTimeoutMargin how much later the answer may arrive; the margin is
	// longer than a loaded store takes to answer. A reader detects an unresponsive store
	// after 1.5 s.
	readerHeartbeatWait = 800 * time.Millisecond
	storeTimeoutMargin  = 700 * time.Millisecond
	// firstHeartbeatWait is the wait of the first such call of a new reader, which serves no
	// follower before that call has succeeded.
	firstHeartbeatWait = 50 * time.Millisecond
	// followerHeartbeatWait is how long a follower's calls for the heartbeat table wait at
	// its reader, and readerTimeoutMargin how long after the wait of any call an answer may
	// arrive. A frozen reader is detected after 1.4 s.
	followerHeartbeatWait = time.Second
	readerTimeoutMargin   = 400 * time.Millisecond
)

// Feed is a platform.Feed that queries the zone's reader if there is one, and the store
// otherwise. It is safe for concurrent use.
type Feed struct {
	cfg   Config
	cache tableCache

	mu sync.Mutex
	// reader is the daemon that reads for this one; empty means that this daemon reads the
	// store itself.
	reader ident.Daemon
	// isReader reports that this daemon reads for others.
	isReader bool
	// backoffUntil is the end of the time in which the reader is not queried, backoff the
	// length of the next such time.
	backoffUntil time.Time
	backoff      time.Duration
	// storeAnswered is not nil from a failure of the reader until the store has answered a
	// heartbeat call of this daemon, or the reader has answered again, and is then closed.
	storeAnswered chan struct{}
	// confirmedAt is when the store, as far as this daemon knows by its own calls or those of its
	// readers, last held nothing newer in the heartbeat table than this daemon.
	confirmedAt time.Time
	// previousConfirmedAt is confirmedAt before the answer that was received last, readerAge the age
	// that the last answer of a reader stated.
	previousConfirmedAt time.Time
	readerAge           time.Duration
	// evidence is what other daemons have answered since confirmedAt, outageSeenAt when the end of an
	// outage of the store was last noticed.
	evidence     outageEvidence
	outageSeenAt time.Time
	// probing is set while both the reader and the store fail this daemon.
	probing probing
	// alternates are the daemons that may be queried in place of the reader while probing: the
	// readers of other zones, and the other daemons of this zone.
	alternates []ident.Daemon
	// inZone are the other daemons of this zone. Those that are no longer live stay: if all are gone at
	// once, this daemon may be the one that is cut off.
	inZone map[ident.Daemon]bool
	// others is the number of other live daemons in all zones.
	others int
	// pending is the election that takes effect when electionTimer fires; nil means none.
	pending       *election
	electionTimer *time.Timer
	// sourceChanged is closed when calls in progress have to be restarted at another source,
	// heartbeatInterrupt also when a late answer for the heartbeat table has come.
	sourceChanged, heartbeatInterrupt chan struct{}
	// slowUntil is until when the store counts as answering this daemon later than a call waits,
	// troubledUntil until when calls for tables other than the heartbeat table are spread.
	slowUntil, troubledUntil time.Time
	// unread are the tables for which a late answer has been applied to the cache only.
	unread map[string]bool
	// reads are the reads of tables in progress that may be joined.
	reads map[string]*storeCall
	// lastStoreCalls is when the last call to the store began, by table.
	lastStoreCalls map[string]time.Time
	// startedAt is when the feed was created. electedAt is when the last election took
	// effect; zero if none has.
	startedAt, electedAt time.Time
	// latestByTable holds the latest returned revision of each table, latest that of all
	// tables.
	latestByTable map[string]platform.Revision
	latest        platform.Revision
}

// New returns a Feed that reads the store itself until Elect chooses a reader.
func New(cfg Config) *Feed {
	return &Feed{cfg: cfg, cache: newTableCache(cfg.HeartbeatTable), sourceChanged: make(chan struct{}), heartbeatInterrupt: make(chan struct{}), inZone: map[ident.Daemon]bool{}, unread: map[string]bool{}, reads: map[string]*storeCall{}, lastStoreCalls: map[string]time.Time{}, startedAt: time.Now(), latestByTable: map[string]platform.Revision{}, backoff: backoffBase}
}

// interruptCalls ends the calls in progress. The caller holds the lock.
func (f *Feed) interruptCalls() {
	close(f.sourceChanged)
	f.sourceChanged = make(chan struct{})
	f.interruptHeartbeat()
}

// interruptHeartbeat ends the calls in progress for the heartbeat table. The caller holds the lock.
func (f *Feed) interruptHeartbeat() {
	close(f.heartbeatInterrupt)
	f.heartbeatInterrupt = make(chan struct{})
}

// source returns the daemon to query for a table, empty for the store, and the channel whose
// closing ends the call.
func (f *Feed) source(now time.Time, table string) (reader ident.Daemon, isReader bool, sourceChanged <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	isHeartbeat, interrupt := table == f.cfg.HeartbeatTable, f.sourceChanged
	if isHeartbeat {
		interrupt = f.heartbeatInterrupt
	}
	switch {
	case now.Before(f.backoffUntil), isHeartbeat && f.probing.isDue(now), !isHeartbeat && now.Before(f.slowUntil):
		return "", false, interrupt
	case isHeartbeat && f.probing.active():
		return f.probing.nextPeer(f.reader, f.alternates), f.isReader, interrupt
	}
	return f.reader, f.isReader, interrupt
}

// updateLatest records a returned revision. The caller holds the lock.
func (f *Feed) updateLatest(table string, revision platform.Revision) {
	f.latestByTable[table] = platform.Later(f.latestByTable[table], revision)
	f.latest = platform.Later(f.latest, revision)
}

// isStale reports whether a reader's answer is older than what this daemon knows: older than
// the table, or of an older era than any table.
func (f *Feed) isStale(table string, revision platform.Revision) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return revision.Before(f.latestByTable[table]) || revision.OlderEra(f.latest)
}

// errReaderStale is returned when a reader's answer is older than what this daemon knows.
var errReaderStale = errors.New("the answer of the reader is older than what this daemon knows")

// ReadTable implements platform.Feed.
func (f *Feed) ReadTable(ctx context.Context, table string) ([]platform.FeedRow, platform.Revision, error) {
	if rows, revision, ok := f.takeLateTable(table); ok {
		return rows, revision, nil
	}
	reader, _, _ := f.source(time.Now(), table)
	if reader != "" {
		rows, revision, err := f.readFromReader(ctx, reader, table)
		switch {
		case err == nil:
			return rows, revision, nil
		case f.isProbing():
			return nil, platform.Revision{}, f.recordProbingFailure(reader, err)
		}
		f.recordReaderFailure(reader, table, err)
	}
	if err := f.awaitStore(ctx, table); err != nil {
		return nil, platform.Revision{}, err
	}
	if f.isChecking() {
		var cancel context.CancelFunc
		ctx, cancel = turn.WithTimeout(ctx, probeReadTimeout)
		defer cancel()
	}
	started := time.Now()
	answer := f.readTableFromStore(ctx, table)
	if answer.err != nil {
		f.recordStoreFailure(table, started)
		return nil, platform.Revision{}, answer.err
	}
	f.confirm(table, answer.confirmedAt)
	f.cache.replaceTable(table, answer.rows, answer.revision, true)
	f.recordStoreSuccess(table, answer.revision)
	return answer.rows, answer.revision, nil
}

// readTableFromStore reads a table from the store. Reads of the heartbeat table overlap, so that one
// whose connection has died does not delay the next; of any other table there is one at a time.
func (f *Feed) readTableFromStore(ctx context.Context, table string) storeAnswer {
	if table != f.cfg.HeartbeatTable {
		return f.joinRead(ctx, table)
	}
	return f.callStore(ctx, table, func(ctx context.Context) storeAnswer { return f.readStore(ctx, table) })
}

// readFromReader reads a table from the reader: only what has changed if this daemon knows the
// table already.
func (f *Feed) readFromReader(ctx context.Context, reader ident.Daemon, table string) ([]platform.FeedRow, platform.Revision, error) {
	started := time.Now()
	q := platform.FeedQuery{Table: table, FullTable: true}
	if after, known := f.cache.revision(table); known {
		q = platform.FeedQuery{Table: table, After: after}
	}
	answer, err := f.queryReader(ctx, reader, q)
	if !q.FullTable && (errors.Is(err, platform.ErrHistoryLost) || err == nil && !answer.Revision.SameEra(q.After)) {
		q = platform.FeedQuery{Table: table, FullTable: true}
		answer, err = f.queryReader(ctx, reader, q)
	}
	if err == nil && f.isStale(table, answer.Revision) {
		err = errReaderStale
	}
	if err != nil {
		return nil, platform.Revision{}, err
	}
	f.confirm(table, started.Add(-answer.Age))
	f.recordReaderAnswer(reader, table, answer.Revision, answer.Age <= maxConfirmationAge)
	if q.FullTable {
		f.cache.replaceTable(table, answer.Rows, answer.Revision, false)
		return answer.Rows, answer.Revision, nil
	}
	f.cache.applyChanges(table, answer.Rows, answer.Revision, false)
	rows, revision := f.cache.liveRows(table)
	return rows, revision, nil
}

// Changes implements platform.Feed. It may return without a change before wait has
// passed.
func (f *Feed) Changes(ctx context.Context, table string, after platform.Revision, wait time.Duration) ([]platform.FeedRow, platform.Revision, error) {
	wait = f.awaitFirstElection(ctx, wait)
	if rows, revision, ok := f.takeLate(table, after); ok {
		return rows, revision, nil
	}
	reader, isReader, sourceChanged := f.source(time.Now(), table)
	callCtx, stop := withInterrupt(ctx, sourceChanged)
	defer stop()
	if reader != "" {
		return f.changesFromReader(callCtx, ctx, reader, platform.FeedQuery{Table: table, After: after, Wait: wait})
	}
	if err := f.awaitStore(callCtx, table); err != nil {
		return nil, after, ctx.Err()
	}
	if table == f.cfg.HeartbeatTable {
		wait = min(wait, f.heartbeatWait(isReader, wait))
		var cancel context.CancelFunc
		callCtx, cancel = turn.WithTimeout(callCtx, wait+f.storeMargin())
		defer cancel()
	}
	started := time.Now()
	answer := f.followStore(callCtx, table, after, wait)
	switch {
	case answer.err != nil && errors.Is(context.Cause(callCtx), errSourceChanged) && ctx.Err() == nil:
		return nil, after, nil
	case errors.Is(answer.err, platform.ErrHistoryLost):
		f.recordStoreSuccess(table, platform.Revision{})
		f.cache.recordFailure(table)
		return nil, platform.Revision{}, answer.err
	case answer.err != nil:
		f.recordStoreFailure(table, started)
		if table == f.cfg.HeartbeatTable && f.isSlow(time.Now()) {
			return f.idle(ctx, after)
		}
		return nil, platform.Revision{}, answer.err
	}
	f.confirm(table, answer.confirmedAt)
	f.cache.applyChanges(table, answer.rows, answer.revision, true)
	f.recordStoreSuccess(table, answer.revision)
	return answer.rows, answer.revision, nil
}

// followStore waits for changes of a table at the store.
func (f *Feed) followStore(ctx context.Context, table string, after platform.Revision, wait time.Duration) storeAnswer {
	if err := f.awaitTurn(ctx, table); err != nil {
		return storeAnswer{err: err}
	}
	call := func(ctx context.Context) storeAnswer { return f.changesFromStore(ctx, table, after, wait) }
	if table != f.cfg.HeartbeatTable || !f.isChecking() {
		return call(ctx)
	}
	return f.callStore(ctx, table, call)
}

// heartbeatWait returns how long a heartbeat call to the store waits at most: a short time if
// the store has still to show that it answers.
func (f *Feed) heartbeatWait(isReader bool, wait time.Duration) time.Duration {
	switch {
	case isReader && !f.cache.isStoreReachable() || f.isChecking():
		return firstHeartbeatWait
	case isReader:
		return readerHeartbeatWait
	}
	return wait
}

// changesFromReader queries the reader. If the reader fails, it returns no changes, and the
// next call goes to the store.
func (f *Feed) changesFromReader(callCtx, ctx context.Context, reader ident.Daemon, q platform.FeedQuery) ([]platform.FeedRow, platform.Revision, error) {
	timeout := q.Wait + readerTimeoutMargin
	if q.Table == f.cfg.HeartbeatTable {
		q.Wait, timeout = f.limitReaderWait(time.Now(), min(q.Wait, followerHeartbeatWait))
	}
	started := time.Now()
	answer, err := f.queryNewReader(callCtx, reader, q, timeout)
	confirmedAt := readerConfirmedAt(time.Now(), started, q.Wait, answer)
	if err == nil {
		f.recordReaderAge(q.Table, answer.Age)
	}
	recent := time.Since(confirmedAt) <= maxConfirmationAge
	if err == nil && (answer.Revision.OlderEra(q.After) || q.Table == f.cfg.HeartbeatTable && !recent && !f.isProbing()) {
		err = errReaderStale
	}
	switch {
	case err == nil:
		f.confirm(q.Table, confirmedAt)
		f.recordReaderAnswer(reader, q.Table, answer.Revision, recent)
		f.cache.applyChanges(q.Table, answer.Rows, answer.Revision, false)
		return answer.Rows, platform.Later(q.After, answer.Revision), nil
	case errors.Is(err, platform.ErrHistoryLost):
		return nil, platform.Revision{}, platform.ErrHistoryLost
	case ctx.Err() != nil:
		return nil, platform.Revision{}, ctx.Err()
	case errors.Is(context.Cause(callCtx), errSourceChanged):
	case f.isProbing():
		err = f.recordProbingFailure(reader, err)
		if f.isSlow(time.Now()) {
			return f.idle(ctx, q.After)
		}
		return nil, platform.Revision{}, err
	default:
		f.recordReaderFailure(reader, q.Table, err)
	}
	return nil, q.After, nil
}

// queryNewReader queries the reader, and a new one again while it is not current.
func (f *Feed) queryNewReader(ctx context.Context, reader ident.Daemon, q platform.FeedQuery, timeout time.Duration) (platform.FeedAnswer, error) {
	ctx, cancel := turn.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		answer, err := f.follow(ctx, reader, q)
		if err == nil || !errors.Is(err, platform.ErrReaderNotCurrent) || !f.isNewReader(time.Now()) || ctx.Err() != nil {
			return answer, err
		}
		clock.Sleep(ctx, clock.Real, newReaderRetryDelay)
	}
}

func (f *Feed) queryReader(ctx context.Context, reader ident.Daemon, q platform.FeedQuery) (platform.FeedAnswer, error) {
	ctx, cancel := turn.WithTimeout(ctx, q.Wait+readerTimeoutMargin)
	defer cancel()
	return f.follow(ctx, reader, q)
}

// follow queries another daemon.
func (f *Feed) follow(ctx context.Context, reader ident.Daemon, q platform.FeedQuery) (platform.FeedAnswer, error) {
	answer, err := f.cfg.Peers.Follow(ctx, reader, q)
	if isReply := err == nil || errors.Is(err, platform.ErrReaderNotCurrent) || errors.Is(err, platform.ErrHistoryLost); isReply || context.Cause(ctx) != errSourceChanged {
		f.recordQuery(reader, isReply)
	}
	return answer, err
}

// ServeQuery answers a follower's query.
func (f *Feed) ServeQuery(ctx context.Context, q platform.FeedQuery) (platform.FeedAnswer, error) {
	answer, err := f.cache.query(ctx, q, f.isCurrent)
	answer.Age = time.Since(f.ConfirmedAt())
	return answer, err
}

// isCurrent reports whether this daemon learns of changes of the heartbeat table, whoever tells it.
func (f *Feed) isCurrent() bool { return time.Since(f.ConfirmedAt()) <= maxAlternateAge }

// errSourceChanged is the cancellation cause of a call that has to be restarted at another
// source.
var errSourceChanged = errors.New("the source of the table has changed")

// withInterrupt returns a context that is also canceled when interrupted is closed.
func withInterrupt(ctx context.Context, interrupted <-chan struct{}) (context.Context, context.CancelFunc) {
	callCtx, cancel := context.WithCancelCause(ctx)
	done := make(chan struct{})
	go func() {
		select {
		case <-interrupted:
			cancel(errSourceChanged)
		case <-done:
		}
	}()
	return callCtx, func() {
		close(done)
		cancel(context.Canceled)
	}
}
