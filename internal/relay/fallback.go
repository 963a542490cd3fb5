package relay

import (
	"context"
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
	// probeInterval is the pause between calls to the store by a follower whose reader has
	// lost the store, too. During an outage the readers find out when it ends; if each
	// daemon did, an outage of seconds would take more calls than a day without one.
	probeInterval = 3 * time.Second
)

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

// recordReaderSuccess records that a reader answered, which resets the backoff.
func (f *Feed) recordReaderSuccess(table string, revision platform.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateLatest(table, revision)
	f.backoff, f.nextProbe = backoffBase, time.Time{}
	f.endCheck()
}

// awaitStore waits, if the reader of this daemon has failed, until the store has answered a
// heartbeat call, so that during an outage only one of a daemon's tables calls the store.
func (f *Feed) awaitStore(ctx context.Context, table string) error {
	f.mu.Lock()
	answered, until := f.storeAnswered, f.backoffUntil
	f.mu.Unlock()
	if answered == nil || table == f.cfg.HeartbeatTable {
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

// hasProbed reports whether the store has failed to answer this daemon a short time ago, too.
func (f *Feed) hasProbed(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.nextProbe)
}

// recordStoreFailure records that a call to the store failed. If the reader has lost the
// store as well, it is queried again, and the store only after probeInterval.
func (f *Feed) recordStoreFailure(table string) {
	f.cache.recordFailure(table)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reader != "" && table == f.cfg.HeartbeatTable {
		f.nextProbe, f.backoffUntil = time.Now().Add(probeInterval), time.Time{}
	}
}

// recordStoreSuccess records an answer of the store.
func (f *Feed) recordStoreSuccess(table string, revision platform.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateLatest(table, revision)
	if table == f.cfg.HeartbeatTable {
		f.nextProbe = time.Time{}
		f.endCheck()
	}
}

// isChecking reports whether the store has not answered this daemon since its reader failed.
func (f *Feed) isChecking() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeAnswered != nil
}
