package relay

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// A daemon that gets no answer from the store does not know whether the store is away or whether it is
// cut off itself, and the two ask for opposite decisions: after an outage, entries that the store lacks
// may have lapsed because nobody could renew them; if the store has served others all the while, their
// owners have left. Other daemons tell which it is. In an outage they answer, and say that they have lost
// the store as well; a daemon that is cut off, or whose link is full, hears from nobody in time.
const (
	// maxHealthyGap is the longest time between two confirmations by the store that is no sign of an
	// outage. No entry lapses within it.
	maxHealthyGap = 2500 * time.Millisecond
	// minUnanswered is the number of queries to other daemons that have to stay unanswered before this
	// daemon takes itself for the one that is cut off.
	minUnanswered = 2
)

// outageEvidence is what a daemon has heard from others since the store was confirmed last.
type outageEvidence struct {
	// unanswered counts the queries that got no answer in time, answered those that got one, whatever
	// it was. unansweredInZone counts those of unanswered to daemons of the same zone.
	unanswered, answered, unansweredInZone int
}

// isOwnTrouble reports whether the daemon itself, rather than the store, has been out of reach. If only
// daemons of other zones do not answer, its zone may be cut off.
func (e outageEvidence) isOwnTrouble() bool {
	return e.answered == 0 && e.unanswered >= minUnanswered && e.unansweredInZone > 0
}

// recordQuery records whether another daemon has answered a query in time.
func (f *Feed) recordQuery(peer ident.Daemon, answered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if answered {
		f.evidence.answered++
		return
	}
	f.evidence.unanswered++
	if f.inZone[peer] {
		f.evidence.unansweredInZone++
	}
}

// OutOfTouch reports whether this daemon cannot rely on what it knows of the store, for reasons of its
// own: it hears from nobody, or later than a call waits.
func (f *Feed) OutOfTouch() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evidence.isOwnTrouble() || time.Now().Before(f.slowUntil)
}

// recordConfirmation judges the time since the last confirmation when the next one comes. The caller
// holds the lock.
func (f *Feed) recordConfirmation(now, at time.Time) {
	if !f.confirmedAt.IsZero() && at.Sub(f.confirmedAt) > maxHealthyGap && !f.evidence.isOwnTrouble() {
		f.outageSeenAt = now
	}
	f.evidence = outageEvidence{}
}

// OutageSince reports whether the store may have been away at some time since the given one. It does not
// if the store was confirmed all the while, by whichever daemon, or if this daemon alone was out of reach.
func (f *Feed) OutageSince(since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outageSeenAt.After(since) {
		return true
	}
	return time.Since(f.confirmedAt) > maxHealthyGap && !f.evidence.isOwnTrouble()
}
