package booking

import (
	"slices"
	"time"
)

// A target that has just started, or whose availability zone has just been taken back, is cold: it
// tolerates few requests a second, over all daemons, and ends if it gets many more. It may also turn
// cold without a restart, which daemons learn only with its next registration.
//
// The owner of a target therefore bounds what it admits at all times, and the bounds of all that may
// send at once add up to the limit:
//
//   - To a cold target, an owner admits half of the limit at most, as there may be two owners while
//     membership changes. New owners admit nothing.
//   - To a warm target, its owner admits what the limit leaves besides a small part, which a new owner
//     may admit: it does not know what the previous one has just admitted. A daemon that has just
//     started counts as a new owner of a cold target, and of a warm one while it knows no others. No
//     ingress decides alone. A proof that the target is warm shortens the time in which admissions
//     count (warmproof.go).
//   - While daemons that may be alive are unreachable, an owner admits its share of these numbers only
//     (coldshare.go).

const (
	// MaxColdSendDelay is how long after the start of its placement a request may be sent to a cold
	// target. The admissions of one second plus this time then bound what is sent in one second.
	MaxColdSendDelay = 300 * time.Millisecond
	// newOwnerTime is how long an owner counts as new: the daemons of a fleet that starts find each
	// other, and what the previous owner admitted is sent.
	newOwnerTime = time.Second + MaxColdSendDelay
	// coldOwners is the number of daemons that may own a target at the same time while all of them reach
	// one another.
	coldOwners = 2
	// smallPart is the part of the limit for a new owner of a warm target.
	smallPart = 0.125
)

// isCold reports whether the target may be cold.
func (e *engine) isCold(now time.Time) bool {
	return e.service.coldLimit > 0 && now.Before(laterOf(e.ColdUntil, e.warmth.coldUntil))
}

// withinColdLimit reports whether this daemon, as its owner, may admit another request to the target.
func (c *Core) withinColdLimit(now time.Time, e *engine) bool {
	limit := e.service.coldLimit
	if limit == 0 {
		return true
	}
	c.noteProgress(now)
	if !e.owned {
		return false // the sender does not reach the owner, which admits its share, too
	}
	hasJustStarted := now.Sub(c.startedAt) < newOwnerTime
	isNew := c.isNewOwner(now, e) || hasJustStarted && len(c.peers) == 0
	switch {
	case e.isCold(now) && (isNew || hasJustStarted):
		return false
	case e.isCold(now):
		return e.admissions.countSince(now.Add(-time.Second-MaxColdSendDelay)) < min(max(1, limit/coldOwners), partOf(limit, c.coldShare(now, e.Zone)))
	case isNew && !e.provedSinceTakeover():
		return e.admissions.countSince(now.Add(-time.Second-MaxProvenSendDelay)) < partOf(smallLimit(limit), c.coldShare(now, e.Zone))
	}
	return e.admissions.countSince(e.warmWindow(now)) < e.maxWarmAdmissions(limit, c.warmShare(now, e))
}

// isNewOwner reports whether another daemon may still be, or already be, the owner of the target.
func (c *Core) isNewOwner(now time.Time, e *engine) bool {
	return now.Before(e.newOwnerUntil) || now.Before(c.stoodStillUntil)
}

// provedSinceTakeover reports that this daemon owns the target in place of an unreachable one, whose
// admissions count for that one's share, and that the target has been warm since.
func (e *engine) provedSinceTakeover() bool {
	return !e.takenOverAt.IsZero() && e.warmth.provenAt.After(e.takenOverAt.Add(settleTime))
}

// smallLimit is the number of requests in a second that smallPart of a limit allows.
func smallLimit(limit int) int { return max(1, int(smallPart*float64(limit))) }

// admissionLog holds the times of the last admissions in a ring.
type admissionLog struct {
	times []time.Time
	next  int
}

// add records an admission. The log keeps the last size ones, of which none are needed beyond that.
func (l *admissionLog) add(now time.Time, size int) {
	switch {
	case size <= 0:
	case len(l.times) < size:
		l.times = append(l.times, now)
	default:
		l.next %= len(l.times)
		l.times[l.next] = now
		l.next++
	}
}

// remove removes an admission.
func (l *admissionLog) remove(at time.Time) {
	if i := slices.IndexFunc(l.times, at.Equal); i >= 0 {
		l.times[i] = time.Time{} // before any time that counts
	}
}

// countSince returns how many admissions there were after a time.
func (l *admissionLog) countSince(after time.Time) (n int) {
	for _, at := range l.times {
		if at.After(after) {
			n++
		}
	}
	return n
}
