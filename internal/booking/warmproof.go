package booking

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// The owner of a busy target has the target's health checked. A response without cold time proves that
// the target was warm when the check was sent, so that requests sent before then did not reach a cold
// target, and only admissions that may be sent later count against the limit for cold targets.
//
// Load pattern: a fleet whose targets are warm is sent about as many requests per second and target as a
// cold target tolerates in any second. Any target may turn cold unnoticed, and without a proof its owner
// refuses whatever exceeds the limit.
//
// Let D be MaxProvenSendDelay. A decision in a cold period that begins at B uses a proof whose response
// the target produced while it was warm, so that the check was sent at some P < B. Of the requests sent
// in a second that begins at S >= B, all were admitted after S-D > P-D. The last of them was admitted
// with the others in its window, which begins at P-D or a second and D before, whichever is later. Their
// number is therefore below the limit, however many requests were admitted before.

const (
	// MaxProvenSendDelay is how long after its admission a request may be sent to a target of a service
	// whose targets are checked. It bounds the rate: what is admitted within this time before a check
	// counts against the limit after it.
	MaxProvenSendDelay = 100 * time.Millisecond
	// minCheckInterval is the minimum interval between two checks of a target. A check costs about as
	// much as a new connection.
	minCheckInterval = 200 * time.Millisecond
	// minSharedCheckInterval bounds the interval while daemons that may own the target, too, are unreachable.
	minSharedCheckInterval = 50 * time.Millisecond
	// checkExpiry is how long the result of a check is awaited. A later proof would change nothing.
	checkExpiry = time.Second
	// checkFraction is the part of the limit at which a check is due. The other half is left for the
	// requests that arrive before the result does, and for checks that are lost.
	checkFraction = 0.5
	// provenLogFactor is the size of the log of admissions, in units of the limit, of a target that is
	// checked. Held requests count from the end of their hold, while others are admitted.
	provenLogFactor = 8
)

// CheckWarmth requests a health check of an owned target, whose result is passed to RecordWarmth.
type CheckWarmth struct {
	Service ident.Service
	Target  ident.Target
	// ID distinguishes the checks of a Core.
	ID uint64
	// AskedAt is when the check was asked for. It is sent within MaxProvenSendDelay of that or not at all.
	AskedAt time.Time
}

func (CheckWarmth) effect() {}

// Warmth is the result of a health check.
type Warmth struct {
	// Valid reports that the target itself has stated how long it stays cold.
	Valid bool
	// SentAt is a time not later than the sending of the check.
	SentAt time.Time
	// ColdLeft is how much longer the target stays cold; zero if it is warm.
	ColdLeft time.Duration
}

// warmthState is what the owner of a target knows from health checks.
type warmthState struct {
	// provenAt is when the last check was sent that has proved the target warm.
	provenAt time.Time
	// coldUntil is until when the target is cold according to a check.
	coldUntil time.Time
	// checkedAt is when the last check was asked for; pendingID is the ID of a check without a result,
	// zero if there is none.
	checkedAt time.Time
	pendingID uint64
}

// forgetProof discards what is not valid for a new owner.
func (w *warmthState) forgetProof() { w.provenAt, w.pendingID = time.Time{}, 0 }

// warmWindow returns the time since which admissions to a target that seems warm count. Those of just
// over a second ago may be sent late and arrive in the same second as the present ones.
func (e *engine) warmWindow(now time.Time) time.Time {
	return laterOf(now.Add(-time.Second), e.warmth.provenAt).Add(-MaxProvenSendDelay)
}

// maxWarmAdmissions returns how many admissions may count for a target that seems warm. If the target is
// checked, one place is left for the check: otherwise requests would take each place that becomes free
// after a lost check, and no further check would be sent. The share is that of coldShare.
func (e *engine) maxWarmAdmissions(limit int, share float64) int {
	n := partOf(limit, share) - partOf(smallLimit(limit), share)
	if e.service.checksWarmth && n > 1 {
		return n - 1
	}
	return n
}

// checkInterval returns the minimum interval between two checks of a target of which this daemon may
// admit a share of the limit. With less than the whole, admissions have to stop counting sooner.
func checkInterval(share float64) time.Duration {
	return max(minSharedCheckInterval, time.Duration(share*float64(minCheckInterval)))
}

// recordAdmission counts an admission of a request that is held for at most a time.
func (e *engine) recordAdmission(now time.Time, hold time.Duration) {
	size := e.service.coldLimit
	if e.service.checksWarmth {
		size *= provenLogFactor
		now = now.Add(hold)
	}
	e.admissions.add(now, size)
}

// checkWarmth requests a health check of a target if its admissions are near the limit.
func (c *Core) checkWarmth(now time.Time, e *engine) {
	limit, w := e.service.coldLimit, &e.warmth
	switch {
	case limit == 0 || !e.service.checksWarmth || !e.owned || e.Evacuated || e.isCold(now):
		return
	case now.Before(c.stoodStillUntil) || now.Sub(c.startedAt) < newOwnerTime:
		return // requests of another owner may be on their way
	case c.isNewOwner(now, e) && (e.takenOverAt.IsZero() || now.Sub(e.takenOverAt) <= settleTime):
		return // as above
	case w.pendingID != 0 && now.Sub(w.checkedAt) < checkExpiry:
		return
	}
	share := c.warmShare(now, e)
	maxRequests := e.maxWarmAdmissions(limit, share)
	if maxRequests == 0 || now.Sub(w.checkedAt) < checkInterval(share) {
		return
	}
	count := e.admissions.countSince(e.warmWindow(now))
	isDue := float64(count) >= checkFraction*float64(maxRequests) || c.isNewOwner(now, e)
	// Far more than that were admitted while the share was larger, and a proof lets them count no longer.
	isShareSmaller := share < 1 && count > maxRequests+1
	if !isDue || count > maxRequests && !isShareSmaller {
		return
	}
	c.lastCheckID++
	w.checkedAt, w.pendingID = now, c.lastCheckID
	e.recordAdmission(now, 0)
	c.emit(CheckWarmth{Service: e.service.name, Target: e.Name, ID: w.pendingID, AskedAt: now})
}

// RecordWarmth records the result of a check. It does nothing if the target has restarted or another
// daemon has owned it since the check was asked for, or if the check has expired.
func (c *Core) RecordWarmth(now time.Time, check CheckWarmth, result Warmth) {
	e := c.engine(check.Service, check.Target)
	if e == nil || !e.owned || check.ID == 0 || e.warmth.pendingID != check.ID {
		return
	}
	w := &e.warmth
	w.pendingID = 0
	switch {
	case !result.Valid:
	case result.ColdLeft > 0:
		w.coldUntil = laterOf(w.coldUntil, now.Add(result.ColdLeft))
	default:
		w.provenAt = laterOf(w.provenAt, result.SentAt)
		e.admissions.remove(w.checkedAt) // the target was warm
	}
}

// sendBy returns until when a request that its owner was asked to admit at a time may be sent; zero if
// there is no limit.
func (s *service) sendBy(asked time.Time, hold time.Duration) time.Time {
	if !s.checksWarmth || s.coldLimit == 0 {
		return time.Time{}
	}
	return asked.Add(hold + MaxProvenSendDelay)
}
