package relay

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
)

const (
	// maxConfirmationAge is how long ago the store may have confirmed what a reader answers.
	// It covers the waits of a reader's and of a follower's call one after the other.
	maxConfirmationAge = 2 * time.Second
	// maxAlternateAge is how long ago the store may have confirmed what a daemon that is not the
	// reader answers. It covers the longest wait of its own calls, in which it learns of changes at
	// once.
	maxAlternateAge = 4 * time.Second
	// minReaderWait is the shortest wait of a heartbeat call to a reader. Without it a reader
	// whose confirmation is almost too old would be asked over and over again.
	minReaderWait = 200 * time.Millisecond
)

// ConfirmedAt returns the time up to which this daemon knows all changes of the heartbeat table;
// zero if the store has confirmed none yet.
func (f *Feed) ConfirmedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt
}

// confirm records that all changes of a table up to a time are known.
func (f *Feed) confirm(table string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if table == f.cfg.HeartbeatTable && at.After(f.confirmedAt) {
		f.recordConfirmation(time.Now(), at)
		f.previousConfirmedAt, f.confirmedAt = f.confirmedAt, at
	}
}

// Knowledge describes how recent the heartbeat table is at this daemon, for the log and the metrics.
type Knowledge struct {
	// Reader is the daemon that is queried; empty if this one reads the store itself.
	Reader ident.Daemon
	// Age is how long ago the store confirmed what is known, PreviousAge the same without the latest
	// answer. Both are zero as long as there was no such answer.
	Age, PreviousAge time.Duration
	// ReaderAge is the age that the last answer of a reader stated.
	ReaderAge time.Duration
}

// Knowledge returns how recent the heartbeat table is.
func (f *Feed) Knowledge(now time.Time) Knowledge {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := Knowledge{Reader: f.reader, ReaderAge: f.readerAge}
	if now.Before(f.backoffUntil) {
		k.Reader = ""
	}
	if !f.confirmedAt.IsZero() {
		k.Age = now.Sub(f.confirmedAt)
	}
	if !f.previousConfirmedAt.IsZero() {
		k.PreviousAge = now.Sub(f.previousConfirmedAt)
	}
	return k
}

// recordReaderAge records the age that an answer of a reader states.
func (f *Feed) recordReaderAge(table string, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if table == f.cfg.HeartbeatTable {
		f.readerAge = age
	}
}

// storeAnsweredAt returns when a call to the store that waits for changes was answered at the
// earliest. A daemon that is short of processor time reads an answer much later than it arrived: a
// call without a change was answered when its wait had passed, one with a change at any time since
// it began.
func storeAnsweredAt(now, started time.Time, wait time.Duration, rows []platform.FeedRow) time.Time {
	if len(rows) > 0 {
		return started
	}
	return earlier(now, started.Add(wait))
}

// readerConfirmedAt returns when the store confirmed the answer of a reader, at the earliest.
func readerConfirmedAt(now, started time.Time, wait time.Duration, answer platform.FeedAnswer) time.Time {
	if len(answer.Rows) == 0 {
		now = earlier(now, started.Add(wait))
	}
	return now.Add(-answer.Age)
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// limitReaderWait shortens the wait of a heartbeat call to a reader such that the store's
// confirmation does not become older than maxConfirmationAge. Each election begins a new call, and
// without the limit readers that fail one after the other would each take the whole time. A daemon
// that is probing calls the store when the next probe is due.
func (f *Feed) limitReaderWait(now time.Time, wait time.Duration) (limited, timeout time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := maxConfirmationAge - now.Sub(f.confirmedAt)
	if f.probing.active() {
		left = f.probing.next.Sub(now)
	}
	wait = min(wait, max(minReaderWait, left-readerTimeoutMargin))
	return wait, wait + readerTimeoutMargin
}
