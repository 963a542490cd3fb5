// Package relay lets one daemon of an availability zone keep up with the platform's
// store for the others of the zone.
//
// Load pattern it answers: every daemon needs the same three tables, each change of a
// row wakes every call that waits for it, and calls are paid for and bounded by rate.
// Where each of 67 daemons follows the store by itself they make 60 to 130 calls a
// second together, of which one in 67 brings something that the zone did not know.
//
// The daemons of a zone agree without a message on the one that reads (rendezvous
// hashing over the live ones). The others ask it, over a call of the fleet's, what
// they would ask the store; revisions are the store's, so that either may answer the
// next call. A reader answers only while its own calls to the store succeed. A
// follower whose reader is silent, refuses or is behind asks the store itself, at
// once, so that a daemon that reaches the store never depends on another one for
// longer than Config.Wait and slack together: below two seconds, of the two to three
// within which a configuration has to be in force.
package relay

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/turn"
)

// Peers asks other daemons.
type Peers interface {
	// Follow asks a reader. The error is platform.ErrHistoryLost where it cannot
	// tell all changes since the query's revision.
	Follow(ctx context.Context, reader ident.Daemon, q platform.FeedQuery) (platform.FeedAnswer, error)
}

// Config sets up a Feed.
type Config struct {
	Self ident.Daemon
	Zone ident.Zone
	// Store is read where nobody reads for this daemon.
	Store platform.Feed
	Peers Peers
	// Beat is the table whose calls show that the store answers: they wait for a
	// short time only, all others may wait long.
	Beat   string
	Logger *slog.Logger
}

const (
	// zoneFrom is the number of live daemons from which on a zone has a reader. In
	// a smaller one the calls that it saves are few, and each daemon is better off
	// by itself.
	zoneFrom = 4
	// readerBeat is how long a reader's calls for the beat table wait at the store,
	// and storeSlack how long after that an answer may come: above the answer time of
	// a loaded store. A reader knows after 1.5 s that the store is silent.
	readerBeat = 800 * time.Millisecond
	storeSlack = 700 * time.Millisecond
	// firstBeat is the wait of the first such call of a new reader, which serves
	// nobody before it.
	firstBeat = 50 * time.Millisecond
	// followerBeat is how long a follower's calls for the beat table wait at its
	// reader, and slack how long after its wait an answer may come: a reader that
	// froze is found after 1.4 s.
	followerBeat = time.Second
	slack        = 400 * time.Millisecond
	// restBase and restMost bound how long a follower asks the store itself after
	// its reader failed it. The rest doubles with each failure in a row, so that a
	// reader that comes and goes does not take the follower with it.
	restBase = 3 * time.Second
	restMost = 30 * time.Second
	// settle is how long the members must be the same for another reader to be asked.
	// A zone that starts grows within some hundred ms, and each turn to another reader
	// costs every daemon three calls.
	settle = time.Second
)

// Feed is a platform.Feed that asks the zone's reader where there is one, and the
// store elsewhere. It is safe for concurrent use.
type Feed struct {
	cfg    Config
	copies copies

	mu sync.Mutex
	// reader is the daemon that reads for this one; empty: this one reads itself.
	reader ident.Daemon
	// serves tells that this daemon reads for others.
	serves bool
	// restUntil is until when the reader is not asked, rest how long the next rest is.
	restUntil time.Time
	rest      time.Duration
	// next is what is to be put in force when settling fires; nil: nothing is.
	next     *election
	settling *time.Timer
	// turned is closed when calls under way are to be begun anew elsewhere.
	turned chan struct{}
	// seen is the latest revision of each table that was returned, latest that of all.
	seen   map[string]platform.Revision
	latest platform.Revision
}

// New returns a Feed that reads the store itself until Elect says otherwise.
func New(cfg Config) *Feed {
	return &Feed{cfg: cfg, copies: newCopies(cfg.Beat), turned: make(chan struct{}), seen: map[string]platform.Revision{}, rest: restBase}
}

// Elect takes in the live daemons but for this one, and decides who reads.
func (f *Feed) Elect(others []membership.Member) {
	members := []membership.Member{{ID: f.cfg.Self, Zone: f.cfg.Zone}}
	for _, m := range others {
		if m.Zone == f.cfg.Zone && !m.Leaving {
			members = append(members, m)
		}
	}
	e := election{}
	if len(members) >= zoneFrom {
		e.reader = membership.NewOwners(members).Of("", "store", f.cfg.Zone)
		if e.reader == f.cfg.Self {
			e = election{serves: true}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settleOn(e)
}

// election is who reads for a daemon, or that it reads for others.
type election struct {
	reader ident.Daemon
	serves bool
}

// settleOn puts an election in force unless another one follows within settle. One that
// is waited for already goes on waiting: where members of other zones come and go all the
// time, a reader that is gone would never be replaced. The caller holds the lock.
func (f *Feed) settleOn(e election) {
	if f.next != nil && *f.next == e {
		return
	}
	if f.settling != nil {
		f.settling.Stop()
	}
	f.next = nil
	if (e == election{f.reader, f.serves}) {
		return
	}
	f.next = &e
	f.settling = time.AfterFunc(settle, func() { f.install(&e) })
}

// install puts an election in force.
func (f *Feed) install(e *election) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next != e {
		return // another one has followed
	}
	f.next = nil
	event.StoreReader.Log(f.cfg.Logger, "reader", e.reader, "serves", e.serves)
	f.reader, f.serves = e.reader, e.serves
	f.rest, f.restUntil = restBase, time.Time{}
	f.copies.serve(e.serves)
	f.turn()
}

// turn ends the calls under way. The caller holds the lock.
func (f *Feed) turn() {
	close(f.turned)
	f.turned = make(chan struct{})
}

// source returns the daemon to ask, empty for the store, and what ends the call.
func (f *Feed) source(now time.Time) (reader ident.Daemon, serves bool, turned <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Before(f.restUntil) {
		return "", false, f.turned
	}
	return f.reader, f.serves, f.turned
}

// failed notes that a reader did not help, so that all calls go to the store for a
// while.
func (f *Feed) failed(reader ident.Daemon, table string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if reader != f.reader || now.Before(f.restUntil) {
		return // another call has told already
	}
	event.StoreReaderLost.Log(f.cfg.Logger, "reader", reader, "table", table, "rest", f.rest, "error", err)
	f.restUntil = now.Add(f.rest)
	f.rest = min(2*f.rest, restMost)
	f.turn()
}

// helped notes that a reader answered.
func (f *Feed) helped(table string, revision platform.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.see(table, revision)
	f.rest = restBase
}

// see keeps the latest revision that was returned. The caller holds the lock.
func (f *Feed) see(table string, revision platform.Revision) {
	f.seen[table] = platform.Later(f.seen[table], revision)
	f.latest = platform.Later(f.latest, revision)
}

// isBehind tells whether a reader's answer is older than what is known here: than the
// table, or of an older era than any of them.
func (f *Feed) isBehind(table string, revision platform.Revision) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return revision.Before(f.seen[table]) || revision.OlderEra(f.latest)
}

// errBehind is the failure of a reader that knows less than this daemon.
var errBehind = errors.New("the reader is behind what is known here")

// ReadTable implements platform.Feed.
func (f *Feed) ReadTable(ctx context.Context, table string) ([]platform.FeedRow, platform.Revision, error) {
	reader, _, _ := f.source(time.Now())
	if reader != "" {
		answer, err := f.ask(ctx, reader, platform.FeedQuery{Table: table, Whole: true})
		if err == nil && f.isBehind(table, answer.Revision) {
			err = errBehind
		}
		if err == nil {
			f.helped(table, answer.Revision)
			f.copies.whole(table, answer.Rows, answer.Revision, false)
			return answer.Rows, answer.Revision, nil
		}
		f.failed(reader, table, err)
	}
	rows, revision, err := f.cfg.Store.ReadTable(ctx, table)
	if err != nil {
		f.copies.lost(table)
		return nil, platform.Revision{}, err
	}
	f.copies.whole(table, rows, revision, true)
	f.note(table, revision)
	return rows, revision, nil
}

// note keeps the latest revision that the store told.
func (f *Feed) note(table string, revision platform.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.see(table, revision)
}

// Changes implements platform.Feed. It may return without a change before wait has
// passed.
func (f *Feed) Changes(ctx context.Context, table string, after platform.Revision, wait time.Duration) ([]platform.FeedRow, platform.Revision, error) {
	reader, serves, turned := f.source(time.Now())
	call, end := endedBy(ctx, turned)
	defer end()
	if reader != "" {
		return f.changesOf(call, ctx, reader, platform.FeedQuery{Table: table, After: after, Wait: wait})
	}
	if serves && table == f.cfg.Beat && wait > readerBeat {
		wait = readerBeat
		if !f.copies.isInTouch() {
			wait = firstBeat
		}
		var cancel context.CancelFunc
		call, cancel = turn.WithTimeout(call, wait+storeSlack)
		defer cancel()
	}
	rows, revision, err := f.cfg.Store.Changes(call, table, after, wait)
	switch {
	case err != nil && errors.Is(context.Cause(call), errTurned) && ctx.Err() == nil:
		return nil, after, nil
	case err != nil:
		f.copies.lost(table)
		return nil, platform.Revision{}, err
	}
	f.copies.changes(table, rows, revision, true)
	f.note(table, revision)
	return rows, revision, nil
}

// changesOf asks the reader. Where it does not help, there is no change to tell yet,
// and the next call goes to the store.
func (f *Feed) changesOf(call, ctx context.Context, reader ident.Daemon, q platform.FeedQuery) ([]platform.FeedRow, platform.Revision, error) {
	if q.Table == f.cfg.Beat {
		q.Wait = min(q.Wait, followerBeat)
	}
	answer, err := f.ask(call, reader, q)
	if err == nil && answer.Revision.OlderEra(q.After) {
		err = errBehind
	}
	switch {
	case err == nil:
		f.helped(q.Table, answer.Revision)
		f.copies.changes(q.Table, answer.Rows, answer.Revision, false)
		return answer.Rows, platform.Later(q.After, answer.Revision), nil
	case errors.Is(err, platform.ErrHistoryLost):
		return nil, platform.Revision{}, platform.ErrHistoryLost
	case ctx.Err() != nil:
		return nil, platform.Revision{}, ctx.Err()
	case !errors.Is(context.Cause(call), errTurned):
		f.failed(reader, q.Table, err)
	}
	return nil, q.After, nil
}

func (f *Feed) ask(ctx context.Context, reader ident.Daemon, q platform.FeedQuery) (platform.FeedAnswer, error) {
	ctx, cancel := turn.WithTimeout(ctx, q.Wait+slack)
	defer cancel()
	return f.cfg.Peers.Follow(ctx, reader, q)
}

// Answer answers a follower of this daemon.
func (f *Feed) Answer(ctx context.Context, q platform.FeedQuery) (platform.FeedAnswer, error) {
	return f.copies.answer(ctx, q)
}

// errTurned is the cause of a call's end where it is to be begun anew elsewhere.
var errTurned = errors.New("the table is read elsewhere from now on")

// endedBy returns a context that ends with a channel too.
func endedBy(ctx context.Context, turned <-chan struct{}) (context.Context, context.CancelFunc) {
	call, cancel := context.WithCancelCause(ctx)
	done := make(chan struct{})
	go func() {
		select {
		case <-turned:
			cancel(errTurned)
		case <-done:
		}
	}()
	return call, func() {
		close(done)
		cancel(context.Canceled)
	}
}
