package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
)

const (
	// backoffBase and backoffMax bound how long a follower calls the store itself after its
	// reader failed. The backoff doubles with each failure in a row, so that a reader that
	// keeps failing and recovering does not disrupt its followers each time.
	backoffBase = 3 * time.Second
	backoffMax  = 30 * time.Second
	// outageProbeInterval is the pause between calls to the store by a follower whose reader
	// reports that it has lost the store, too. During an outage the readers find out when it
	// ends; if each daemon did, an outage of seconds would take more calls than a day without
	// one. silentProbeInterval is the pause if the reader reports nothing, which is no sign of
	// an outage.
	outageProbeInterval = 3 * time.Second
	silentProbeInterval = time.Second
	// firstProbeInterval is the pause after the first call that fails.
	firstProbeInterval = 100 * time.Millisecond
	// probeReadTimeout bounds the read of a whole table in such a call.
	probeReadTimeout = time.Second
)

// firstProbeIntervals are the pauses after the first calls to the store that fail: one that is refused
// is no sign of an outage either.
var firstProbeIntervals = [...]time.Duration{firstProbeInterval, 2 * firstProbeInterval}

const (
	// minPeerTime is the least time for queries to other daemons between two calls to the store.
	minPeerTime = 600 * time.Millisecond
	// queriesPerReaderQuery is how many of these queries there are for one to the reader.
	queriesPerReaderQuery = 3
)

// probing is the state of a follower whose reader and whose own call to the store have failed. It
// queries the reader, and the store again whenever next has passed, until one of them has answered.
type probing struct {
	// next is when the store may be called; zero if the daemon is not probing.
	next time.Time
	// failures counts the calls to the store that have failed in a row.
	failures int
	// readerLostStore reports that the reader has said that it does not keep up with the store.
	readerLostStore bool
	// storeOutlivedReader reports that the store answered this daemon while the reader had lost it,
	// so that what the reader says is no sign of an outage.
	storeOutlivedReader bool
	// peerQueries counts the queries to other daemons.
	peerQueries int
}

func (p *probing) active() bool { return !p.next.IsZero() }

// nextPeer returns the daemon to query next: the others by turns, and between them the reader, which
// tells when the store is back.
func (p *probing) nextPeer(reader ident.Daemon, alternates []ident.Daemon) ident.Daemon {
	p.peerQueries++
	if p.peerQueries%queriesPerReaderQuery == 0 || len(alternates) == 0 {
		return reader
	}
	return alternates[p.peerQueries%len(alternates)]
}

func (p *probing) isDue(now time.Time) bool { return p.active() && !now.Before(p.next) }

// recordFailure records that the store has not answered a call. The pause counts from the start of the
// call: one whose answer is lost has already taken long enough.
func (p *probing) recordFailure(started, now time.Time) {
	interval := silentProbeInterval
	if p.readerLostStore && !p.storeOutlivedReader {
		interval = outageProbeInterval
	}
	p.next = started.Add(interval)
	switch {
	case p.failures < len(firstProbeIntervals) && now.Sub(started) < firstProbeIntervals[p.failures]:
		p.next = started.Add(firstProbeIntervals[p.failures])
	case p.failures > 0:
		p.next = later(p.next, now.Add(minPeerTime))
	}
	p.failures++
}

// recordReaderFailure records that a reader did not answer usefully, so that all calls go to
// the store during the backoff.
func (f *Feed) recordReaderFailure(reader ident.Daemon, table string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if reader != f.reader || now.Before(f.backoffUntil) {
		return // another call has reported the failure
	}
	event.StoreReaderFailed.Log(f.cfg.Logger, "reader", reader, "table", table, "rest", f.backoff,
		"age_ms", now.Sub(f.confirmedAt).Milliseconds(), "reader_age_ms", f.readerAge.Milliseconds(), "error", err)
	f.backoffUntil = now.Add(f.backoff)
	f.backoff = min(2*f.backoff, backoffMax)
	f.probing.readerLostStore = errors.Is(err, platform.ErrReaderNotCurrent)
	if f.storeAnswered == nil {
		f.storeAnswered = make(chan struct{})
	}
	f.interruptCalls()
}

// endCheck lets the calls of all tables go on that wait for the store's answer to a heartbeat
// call. The caller holds the lock.
func (f *Feed) endCheck() {
	if f.storeAnswered != nil {
		close(f.storeAnswered)
		f.storeAnswered = nil
	}
}

// recordReaderAnswer records that a daemon answered in place of the store. If it is the reader and the
// answer is recent, it keeps up with the store, which resets the backoff.
func (f *Feed) recordReaderAnswer(peer ident.Daemon, table string, revision platform.Revision, recent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateLatest(table, revision)
	if !recent || peer != f.reader {
		return
	}
	f.backoff, f.probing = backoffBase, probing{}
	f.slowUntil = time.Time{}
	f.endCheck()
}

// recordProbingFailure records that a query by a daemon that is probing has failed. It returns the error
// for the caller, which does not have to slow down: the calls to the store are paced here.
func (f *Feed) recordProbingFailure(peer ident.Daemon, err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if peer == f.reader {
		f.probing.readerLostStore = errors.Is(err, platform.ErrReaderNotCurrent)
	}
	return fmt.Errorf("%w: %w", platform.ErrReaderNotCurrent, err)
}

// awaitStore waits, if the reader of this daemon has failed, until the store has answered a
// heartbeat call, so that during an outage only one of a daemon's tables calls the store.
func (f *Feed) awaitStore(ctx context.Context, table string) error {
	f.mu.Lock()
	answered, until, slow := f.storeAnswered, f.backoffUntil, time.Now().Before(f.slowUntil)
	f.mu.Unlock()
	if answered == nil || slow || table == f.cfg.HeartbeatTable {
		return nil
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-answered:
		return nil
	case <-timer.C:
		return platform.ErrReaderNotCurrent
	case <-ctx.Done():
		return ctx.Err()
	}
}

// isProbing reports whether both the reader and the store have failed to answer this daemon since one
// of them last did.
func (f *Feed) isProbing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.probing.active()
}

// recordStoreFailure records that a call to the store failed. The reader is then queried again, and
// the store when the next probe is due.
func (f *Feed) recordStoreFailure(table string, started time.Time) {
	f.cache.recordFailure(table)
	f.mu.Lock()
	defer f.mu.Unlock()
	if table != f.cfg.HeartbeatTable || f.reader == "" && len(f.alternates) == 0 {
		return
	}
	now := time.Now()
	f.probing.recordFailure(started, now)
	if now.Before(f.slowUntil) {
		f.probing.next = later(f.probing.next, started.Add(slowProbeInterval))
	}
	f.backoffUntil = time.Time{}
}

// recordStoreSuccess records an answer of the store.
func (f *Feed) recordStoreSuccess(table string, revision platform.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateLatest(table, revision)
	if table == f.cfg.HeartbeatTable {
		f.probing = probing{storeOutlivedReader: f.probing.active() || time.Now().Before(f.backoffUntil)}
		f.endCheck()
	}
}

// isChecking reports whether the store has still to show that it answers this daemon: it has not since
// the reader failed, or a call to it has failed since.
func (f *Feed) isChecking() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeAnswered != nil || f.probing.active()
}
