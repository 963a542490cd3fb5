package booking

import (
	"cmp"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// Waiting for slots, at owners and at ingresses. An owner that refuses a request for want of a slot
// or memory states in its reply how long the request might wait there. The ingress tries the other
// candidates first; if none has room, it sends a further reservation with MayWait to the one that
// expects the earliest first byte. The owner replies with the time for which it lets the request wait,
// and later with a grant or a refusal. Without either, the wait times out at the ingress.

// waitGrace is how long after its stated end a wait times out at the ingress: the owner's own refusal
// is then on its way.
const waitGrace = 25 * time.Millisecond

// maxColdLimitedWait bounds the wait at a target with a limit on cold starts, whose requests must be
// sent soon after their placement has begun.
const maxColdLimitedWait = MaxColdSendDelay - 100*time.Millisecond

// maxProvenWait bounds the wait at a target that is checked for being warm: the ingress sends the request
// within MaxProvenSendDelay of asking the owner, since it does not know when the slot was granted.
const maxProvenWait = MaxProvenSendDelay / 2

// waitOffer is a target at which a request may wait.
type waitOffer struct {
	candidate
	// firstByte is the expected time to the first byte.
	firstByte time.Duration
}

// waitOutcome is the end of a wait, to be told to the ingress.
type waitOutcome struct {
	ingress ident.Daemon
	reply   Reply
}

// mayWaitFor returns how long a request that was refused may wait for a slot or memory of a target,
// and when its first byte is then expected; zero if it may not wait.
func (c *Core) mayWaitFor(now time.Time, e *engine, res *Reservation, r *run, limit Limit) (wait, firstByte time.Duration) {
	switch {
	case c.cfg.MaxSlotWait <= 0 || c.leaving || !e.owned || limit != LimitSlots && limit != LimitMemory:
		return 0, 0
	case c.isNewOwner(now, e) || now.Sub(c.startedAt) < newOwnerTime:
		return 0, 0 // what runs on the target is not known yet
	case res.Late && !res.PreviouslyPlaced || c.spareOnly(now, e, *res):
		return 0, 0
	}
	excess := max(0, float64(len(e.runs))-e.maxRuns(c.headroom(now, e, *res)))
	expected, ok := e.waitlist.expectedWait(now, e.Slots, excess)
	if !ok {
		return 0, 0
	}
	wait = min(c.cfg.MaxSlotWait, res.Remaining-e.ownFirstByte(r)-waitMargin)
	switch {
	case e.service.checksWarmth:
		wait = min(wait, maxProvenWait)
	case e.service.coldLimit > 0:
		wait = min(wait, maxColdLimitedWait)
	}
	if wait < max(expected, minTickInterval) {
		return 0, 0
	}
	firstByte = max(expected, e.backlog(now)) + e.ownFirstByte(r)
	if firstByte > res.Remaining {
		return 0, 0
	}
	return wait, firstByte
}

// ownFirstByte is the time to the first byte of a request that is sent to a target as soon as a slot
// is free and finds no backlog of prefill.
func (e *engine) ownFirstByte(r *run) time.Duration {
	if !e.service.servesModel {
		return e.slotWait() + e.serviceTime
	}
	return e.isolatedFirstByte(r)
}

// offerWait adds to a refusal how long the request might wait, and lets it wait if its reservation has
// MayWait set.
func (c *Core) offerWait(now time.Time, e *engine, from ident.Daemon, res *Reservation, r *run, reply *Reply) {
	wait, firstByte := c.mayWaitFor(now, e, res, r, reply.Limit)
	if wait <= 0 {
		return
	}
	reply.SlotWait, reply.Wait = wait, firstByte
	if !res.MayWait {
		return
	}
	w := &waiting{
		ingress: from, target: e, res: *res, queuedAt: now, due: now.Add(res.Remaining), sendBy: now.Add(wait),
		unqueuedFirstByte: e.ownFirstByte(r),
	}
	if e.service.servesModel {
		w.prefill = e.prefillTime(r)
	}
	e.waitlist.entries = append(e.waitlist.entries, w)
	c.waiting[runKey{from, res.ID}] = w
}

// serveWaiting grants slots of a target to the requests that wait for them, and refuses those that can
// no longer be served. notifyWaitOutcomes notifies the ingresses.
func (c *Core) serveWaiting(now time.Time, e *engine) {
	l := &e.waitlist
	if len(l.entries) == 0 {
		return
	}
	l.order(now, e.prefillFreeAt, func(w *waiting) float64 { return e.service.shareUsed(now, w.res.Workspace) })
	for _, w := range slices.Clone(l.entries) {
		c.serveOneWaiting(now, e, w)
	}
}

func (c *Core) serveOneWaiting(now time.Time, e *engine, w *waiting) {
	if !e.owned || e.Evacuated || e.Draining || c.leaving {
		e.waitlist.counts.Refused++
		c.endWait(w, Reply{Limit: LimitEvacuated})
		return
	}
	if !now.Before(w.sendBy) {
		e.waitlist.counts.Expired++
		c.endWait(w, Reply{Limit: LimitTime, Wait: e.backlog(now) + e.overhead})
		return
	}
	res := w.res
	res.Remaining, res.MayWait = w.due.Sub(now), false
	r, cached := c.newRun(now, e, w.ingress, &res)
	// Checked first, since the check of the target's health may use up a probe.
	headroom := c.headroom(now, e, res)
	if !e.hasSlot(headroom) || !e.fitsMemory(r, headroom) {
		return
	}
	switch limit := c.admissionLimit(now, e, res, r); limit {
	case LimitNone:
		e.waitlist.counts.Granted++
		e.waitlist.counts.GrantedMillis += now.Sub(w.queuedAt).Milliseconds()
		reply := Reply{CachedTokens: cached}
		e.service.shares.account(res.Workspace).tally.record(res, LimitNone)
		c.grant(now, e, res, r, &reply)
		c.endWait(w, reply)
	case LimitCold:
		// It keeps waiting: admissions of the last second stop counting soon.
	case LimitTime:
		if !e.expectedFirstByte(now, r).After(w.due) {
			return // the part of the time that it leaves to others becomes smaller
		}
		fallthrough
	default:
		e.waitlist.counts.Refused++
		c.endWait(w, Reply{Limit: limit, Wait: e.backlog(now) + e.overhead, ShareUsed: e.service.shareUsed(now, res.Workspace)})
	}
}

// endWait removes a waiting request and queues the reply to its ingress.
func (c *Core) endWait(w *waiting, reply Reply) {
	w.target.waitlist.remove(w)
	delete(c.waiting, runKey{w.ingress, w.res.ID})
	reply.ID = w.res.ID
	c.waitOutcomes = append(c.waitOutcomes, waitOutcome{w.ingress, reply})
}

// dropWaiting ends a wait whose ingress does not want it any more.
func (c *Core) dropWaiting(key runKey) {
	if w := c.waiting[key]; w != nil {
		w.target.waitlist.counts.Withdrawn++
		w.target.waitlist.remove(w)
		delete(c.waiting, key)
	}
}

// serveAllWaiting serves the requests that wait at all targets, including those that this daemon owns
// no longer or that are gone.
func (c *Core) serveAllWaiting(now time.Time) {
	var engines []*engine
	for _, w := range c.waiting {
		if !slices.Contains(engines, w.target) {
			engines = append(engines, w.target)
		}
	}
	slices.SortFunc(engines, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(a.service.name, b.service.name), cmp.Compare(a.Name, b.Name))
	})
	for _, e := range engines {
		if c.engine(e.service.name, e.Name) != e {
			e.owned = false // the target is gone
		}
		c.serveWaiting(now, e)
	}
	c.notifyWaitOutcomes(now)
}

// notifyWaitOutcomes notifies the ingresses of how waits have ended. It is called when the state of all
// targets is up to date, since an ingress that is this daemon continues its search at once.
func (c *Core) notifyWaitOutcomes(now time.Time) {
	for len(c.waitOutcomes) > 0 {
		o := c.waitOutcomes[0]
		c.waitOutcomes = c.waitOutcomes[1:]
		if o.ingress == c.cfg.Self {
			c.handleReply(now, c.cfg.Self, o.reply)
			continue
		}
		if c.peers[o.ingress] != nil {
			m := c.messageTo(o.ingress)
			m.Replies = append(m.Replies, o.reply)
		}
	}
}

// nextWaitExpiry returns when the next wait at this owner ends.
func (c *Core) nextWaitExpiry() (next time.Time, ok bool) {
	for _, w := range c.waiting {
		if !ok || w.sendBy.Before(next) {
			next, ok = w.sendBy, true
		}
	}
	return next, ok
}

// reserveWait sends a reservation with MayWait to the owner of the best target at which a request may
// wait. It reports whether the request is placed, waits or awaits that owner's reply.
func (c *Core) reserveWait(now time.Time, r *request) bool {
	for len(r.waitOffers) > 0 && now.Before(r.Deadline) {
		best := 0
		for i, o := range r.waitOffers {
			if o.firstByte < r.waitOffers[best].firstByte {
				best = i
			}
		}
		offer := r.waitOffers[best]
		r.waitOffers = slices.Delete(r.waitOffers, best, best+1)
		e := offer.engine
		if c.engine(r.Service, e.Name) != e || !r.mayUse(e) || c.ownerSilent(now, e) {
			continue
		}
		r.current, r.mayWait = offer.candidate, true
		if !e.owned {
			c.sendReservation(now, r, e)
			return true
		}
		res := c.nextReservation(now, r)
		reply := c.admit(now, c.cfg.Self, res)
		r.recordReply(reply)
		switch {
		case reply.OK:
			c.place(now, r, c.cfg.Self, reply.Hold)
			return true
		case reply.SlotWait > 0:
			r.pendingID, r.pendingOwner = res.ID, c.cfg.Self
			c.awaitSlot(now, r, reply)
			return true
		}
	}
	return false
}

// awaitSlot records that a request of this ingress waits at an owner.
func (c *Core) awaitSlot(now time.Time, r *request, reply Reply) {
	r.waitingSince = now
	c.awaitingSlot[r.pendingID] = r
	at := now.Add(min(reply.SlotWait, c.cfg.MaxSlotWait) + waitGrace)
	i := len(c.slotWaits)
	for i > 0 && c.slotWaits[i-1].at.After(at) {
		i--
	}
	c.slotWaits = slices.Insert(c.slotWaits, i, holdDeadline{runID: r.pendingID, at: at})
}

// endSlotWait records that a request of this ingress does not wait any longer.
func (c *Core) endSlotWait(now time.Time, r *request) {
	if c.awaitingSlot[r.pendingID] == r {
		delete(c.awaitingSlot, r.pendingID)
		r.slotWait += now.Sub(r.waitingSince)
	}
}

// nextSlotWaitEnd returns when the next wait of a request of this ingress is given up.
func (c *Core) nextSlotWaitEnd() (time.Time, bool) {
	for len(c.slotWaits) > 0 && c.awaitingSlot[c.slotWaits[0].runID] == nil {
		c.slotWaits = c.slotWaits[1:]
	}
	if len(c.slotWaits) == 0 {
		return time.Time{}, false
	}
	return c.slotWaits[0].at, true
}

// giveUpSlotWaits ends the waits whose owners should have replied by a given time and have not.
func (c *Core) giveUpSlotWaits(now, overdueAt time.Time) {
	for at, ok := c.nextSlotWaitEnd(); ok && !overdueAt.Before(at); at, ok = c.nextSlotWaitEnd() {
		r := c.awaitingSlot[c.slotWaits[0].runID]
		c.slotWaits = c.slotWaits[1:]
		if p := c.peers[r.pendingOwner]; p != nil {
			p.silentUntil = now.Add(silentBackoff)
		}
		c.handleNoReply(now, r)
	}
}

// withdrawGoneWaits ends the waits of requests of this ingress for targets that are gone or evacuated.
func (c *Core) withdrawGoneWaits(now time.Time) {
	if len(c.awaitingSlot) == 0 {
		return
	}
	for _, id := range c.sortedRequests() {
		r := c.requests[id]
		if r == nil || c.awaitingSlot[r.pendingID] != r {
			continue
		}
		if e := r.current.engine; c.engine(r.Service, e.Name) != e || !r.maySuit(e) || e.Draining {
			c.withdraw(now, r)
			c.tryNext(now, r)
		}
	}
}

// withdraw cancels the unanswered reservation of a request.
func (c *Core) withdraw(now time.Time, r *request) {
	c.endSlotWait(now, r)
	delete(c.pending, r.pendingID)
	release := Release{ID: r.pendingID}
	r.pendingID = 0
	c.releaseAt(now, r.pendingOwner, release)
}

// releaseAt notifies a daemon that a request does not use its reservation there.
func (c *Core) releaseAt(now time.Time, owner ident.Daemon, release Release) {
	if owner == c.cfg.Self {
		c.handleRelease(now, owner, release)
		return
	}
	m := c.messageTo(owner)
	m.Releases = append(m.Releases, release)
}
