package relay

import (
	"context"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
)

const (
	// minDaemonsForReader is the number of live daemons from which a zone has a reader. A
	// smaller zone would save few calls, and its daemons are better off independent of each
	// other.
	minDaemonsForReader = 4
	// electionDelay is how long the result of the election must be stable before it takes
	// effect. A starting zone grows within a few hundred ms, and each change of the reader
	// costs every daemon three calls.
	electionDelay = time.Second
	// startupWait is how long after its start a daemon leaves changes unread at most while
	// its zone is about to elect a reader. It has just read the tables, and what is written
	// right after that is in force within two seconds.
	startupWait = 1600 * time.Millisecond
	// newReaderWait is how long after an election a reader that is not current yet is
	// queried again instead of the store: daemons learn of the same members at different
	// times, so that a reader may be elected by its followers before it elects itself.
	// newReaderRetryDelay is the pause between such queries, beside recoveryWait.
	newReaderWait       = 400 * time.Millisecond
	newReaderRetryDelay = 50 * time.Millisecond
)

// Elect chooses the reader of the zone from the live daemons; others excludes this one.
func (f *Feed) Elect(others []membership.Member) {
	members := []membership.Member{{ID: f.cfg.Self, Zone: f.cfg.Zone}}
	for _, m := range others {
		if m.Zone == f.cfg.Zone && !m.Leaving {
			members = append(members, m)
		}
	}
	e := election{}
	if len(members) >= minDaemonsForReader {
		e.reader = membership.NewOwners(members).Lookup("", "store", f.cfg.Zone)
		if e.reader == f.cfg.Self {
			e = election{isReader: true}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.others, f.alternates = len(others), f.findAlternates(others)
	for _, m := range members {
		f.inZone[m.ID] = true
	}
	f.scheduleElection(e)
}

// findAlternates returns the daemons that may know the heartbeat table when both the reader of this zone
// and the store fail this daemon: by turns the readers of the other zones, and the other daemons of the
// zone, which read the store themselves if their reader has failed. Each daemon begins at another one of
// these.
func (f *Feed) findAlternates(others []membership.Member) []ident.Daemon {
	var list []ident.Daemon
	owners, zones := membership.NewOwners(others), map[ident.Zone]bool{f.cfg.Zone: true}
	var own []ident.Daemon
	for _, m := range others {
		if m.Zone == f.cfg.Zone {
			own = append(own, m.ID)
		}
		if !zones[m.Zone] {
			zones[m.Zone] = true
			list = append(list, owners.Lookup("", "store", m.Zone))
		}
	}
	first, _ := slices.BinarySearch(own, f.cfg.Self)
	return alternate(slices.Concat(own[first:], own[:first]), list)
}

// alternate returns the elements of two lists by turns.
func alternate(a, b []ident.Daemon) (merged []ident.Daemon) {
	for i := range max(len(a), len(b)) {
		if i < len(a) {
			merged = append(merged, a[i])
		}
		if i < len(b) {
			merged = append(merged, b[i])
		}
	}
	return merged
}

// election is the result of choosing a reader: the daemon to query, or that this daemon is
// the reader.
type election struct {
	reader   ident.Daemon
	isReader bool
}

// scheduleElection applies an election after electionDelay unless a different one replaces
// it. A repeated result does not restart the delay: with members of other zones joining and
// leaving all the time, a reader that is gone would never be replaced. The caller holds the
// lock.
func (f *Feed) scheduleElection(e election) {
	if f.pending != nil && *f.pending == e {
		return
	}
	if f.electionTimer != nil {
		f.electionTimer.Stop()
	}
	f.pending = nil
	if (e == election{f.reader, f.isReader}) {
		return
	}
	f.pending = &e
	f.electionTimer = time.AfterFunc(electionDelay, func() { f.applyElection(&e) })
}

// applyElection makes an election take effect.
func (f *Feed) applyElection(e *election) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pending != e {
		return // replaced by a later election
	}
	f.pending = nil
	event.StoreReaderChanged.Log(f.cfg.Logger, "reader", e.reader, "serves", e.isReader)
	f.reader, f.isReader, f.electedAt = e.reader, e.isReader, time.Now()
	f.backoff, f.backoffUntil = backoffBase, time.Time{}
	f.probing = probing{}
	f.endCheck()
	f.cache.setReader(e.isReader)
	f.interruptCalls()
}

// awaitFirstElection waits until a reader is elected or none is to be expected, for at most
// wait, and returns what is left of wait. Without it each daemon of a starting fleet follows
// the table in which all of them register by itself.
func (f *Feed) awaitFirstElection(ctx context.Context, wait time.Duration) (left time.Duration) {
	began := time.Now()
	for {
		hold, elected := f.startupHold(time.Now())
		hold = min(hold, wait-time.Since(began))
		if hold <= 0 {
			return max(0, wait-time.Since(began))
		}
		timer := time.NewTimer(hold)
		select {
		case <-ctx.Done():
			timer.Stop()
			return 0
		case <-elected:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// startupHold returns how much longer a daemon that has just started leaves changes unread,
// and a channel that is closed when an election takes effect. A daemon that knows no others
// does not wait. One for which no election is pending at the end of electionDelay is in a zone
// with too few daemons for a reader.
func (f *Feed) startupHold(now time.Time) (hold time.Duration, elected <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch age := now.Sub(f.startedAt); {
	case !f.electedAt.IsZero() || age >= startupWait || f.others == 0:
		return 0, f.sourceChanged
	case age < electionDelay:
		return electionDelay - age, f.sourceChanged
	case f.pending != nil:
		return startupWait - age, f.sourceChanged
	}
	return 0, f.sourceChanged
}

// isNewReader reports whether the last election took effect, or this daemon started, a
// short time ago.
func (f *Feed) isNewReader(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.electedAt) < newReaderWait || now.Sub(f.startedAt) < startupWait
}
