package booking

import (
	"fmt"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// Submit starts the placement of a request; a Dispatch or a Refuse follows.
func (c *Core) Submit(now time.Time, spec Request) {
	s := c.services[spec.Service]
	if s == nil {
		// Routes come into force a moment before this Core learns about their services. A "not
		// found" would be final for the caller.
		c.refuse(spec.ID, resultcode.Fail(resultcode.NoTarget, "service %s", spec.Service))
		return
	}
	r := &request{Request: spec, contacted: spec.OwnerContacted}
	r.candidates = c.candidates(now, s, r)
	if len(r.candidates) == 0 {
		c.refuse(spec.ID, c.noTarget(now, s, r))
		return
	}
	c.requests[spec.ID] = r
	c.tryNext(now, r)
}

// noTarget returns the failure of a request that no target of its service may get.
func (c *Core) noTarget(now time.Time, s *service, r *request) *resultcode.Failure {
	end := firstPauseEnd(s, r)
	if end.IsZero() {
		return resultcode.Fail(noTargetCode(s, r), "service %s", s.name)
	}
	f := resultcode.Fail(resultcode.TargetsPaused, "service %s", s.name)
	f.RetryAfter = max(0, end.Sub(now)) + c.retrySpread()
	return f
}

// firstPauseEnd returns when the first target that suits a request may get requests again; zero if
// none that suits it is paused.
func firstPauseEnd(s *service, r *request) (end time.Time) {
	for _, p := range r.Paused {
		suits := slices.ContainsFunc(s.sortedEngines, func(e *engine) bool { return e.Name == p.Target && r.maySuit(e) })
		if suits && (end.IsZero() || p.Until.Before(end)) {
			end = p.Until
		}
	}
	return end
}

// noTargetCode says why a service has no target that the request may be sent to.
func noTargetCode(s *service, r *request) resultcode.Code {
	inRegion, inUse := 0, 0
	for _, e := range s.sortedEngines {
		if !r.Regions.Allows(e.Region) {
			continue
		}
		inRegion++
		if !e.Evacuated {
			inUse++
		}
	}
	switch {
	case len(s.sortedEngines) == 0:
		return resultcode.NoTarget
	case inRegion == 0:
		return resultcode.RegionNotAllowed
	case inUse == 0:
		return resultcode.ZonesEvacuated
	}
	return resultcode.StreamVersionGone
}

// RecordShed counts the cost of a request that was refused for lack of processor time before
// its placement began.
func (c *Core) RecordShed(now time.Time, name ident.Service, ws ident.Workspace, cost float64) {
	if s := c.services[name]; s != nil {
		a := s.shares.account(ws)
		a.own.asked.add(now, cost)
		a.own.shed.add(now, cost)
		a.tally.shed += cost
		c.expediteReport(now, s, a)
	}
}

func (c *Core) refuse(id ident.Request, f *resultcode.Failure) {
	delete(c.requests, id)
	c.emit(Refuse{Request: id, Failure: f})
}

// tryNext sends a reservation to the owner of the next candidate, or ends the placement.
func (c *Core) tryNext(now time.Time, r *request) {
	for c.addFallbacks(now, r); len(r.candidates) > 0; c.addFallbacks(now, r) {
		r.current, r.candidates = r.candidates[0], r.candidates[1:]
		r.ownersAsked++
		e := r.current.engine
		r.askedEngines = append(r.askedEngines, e)
		if e.owned {
			reply := c.admit(now, c.cfg.Self, c.nextReservation(now, r))
			r.recordReply(reply)
			if reply.OK {
				c.place(now, r, c.cfg.Self, reply.Hold)
				return
			}
			r.recordWaitOffer(reply)
			continue
		}
		if c.ownerSilent(now, e) {
			r.deferUnresponsive()
			continue
		}
		c.sendReservation(now, r, e)
		return
	}
	if c.reserveWait(now, r) {
		return
	}
	if !r.anyReply && c.placeUnconfirmed(now, r) {
		return
	}
	delete(c.requests, r.ID)
	c.countRefusal(r)
	c.emit(Refuse{Request: r.ID, Failure: c.refusal(r), Basis: r.decisionBasis()})
}

// decisionBasis returns the basis of the present decision about a request.
func (r *request) decisionBasis() Basis {
	return Basis{SelectedBy: r.current.selectedBy, Expected: r.shortestWait, OwnersAsked: r.ownersAsked, Limit: r.limit, ShareUsed: r.shareUsed, UnloadedWait: r.unloadedWait, CallerRetry: r.callerRetry, SlotWait: r.slotWait}
}

// ownerSilent reports whether the owner of a target is another daemon that does not reply.
func (c *Core) ownerSilent(now time.Time, e *engine) bool {
	p := c.peers[e.owner]
	return !e.owned && (p == nil || now.Before(p.silentUntil))
}

// deferUnresponsive leaves a target whose owner does not reply until all others were asked.
//
// It guards against the partition of an availability zone: a target is owned by a daemon of its
// own zone, so that the target is most likely unreachable too if its owner is silent. A request
// that was sent there without a reply would hang for a second and end with an unknown outcome,
// so that it must not be retried elsewhere although other zones have capacity.
func (r *request) deferUnresponsive() {
	r.unresponsive = append(r.unresponsive, r.current)
	r.tryLeastLoaded = true
}

// recordReply records what an owner replied: the wait at the target that admits the request, or
// the shortest wait among those that refuse it.
func (r *request) recordReply(reply Reply) {
	r.callerRetry = r.callerRetry || reply.CallerRetry
	r.Late = r.Late || reply.CallerRetry
	if reply.Limit == LimitDraining {
		r.recordCached(reply)
		return
	}
	if reply.ExpectedSpareWait > 0 && (r.expectedSpareWait == 0 || reply.ExpectedSpareWait < r.expectedSpareWait) {
		r.expectedSpareWait = reply.ExpectedSpareWait
	}
	r.anyReply = true
	if reply.OK || r.shortestWait == 0 || reply.Wait < r.shortestWait {
		r.shortestWait, r.limit, r.shareUsed, r.unloadedWait = reply.Wait, reply.Limit, reply.ShareUsed, reply.UnloadedWait
	}
	r.recordCached(reply)
}

// recordCached records what the current target has cached, so that another target can copy it.
func (r *request) recordCached(reply Reply) {
	r.targetTokens = reply.CachedTokens
	if reply.CachedTokens > r.sourceTokens && !reply.OK {
		r.fetchSource, r.sourceTokens = r.current.engine.Name, reply.CachedTokens
	}
}

// recordWaitOffer records that a request may wait at the target whose owner has replied.
func (r *request) recordWaitOffer(reply Reply) {
	if reply.SlotWait > 0 && !r.mayWait {
		r.waitOffers = append(r.waitOffers, waitOffer{r.current, reply.Wait})
	}
}

// nextReservation returns a reservation with a new ID for the current candidate.
func (c *Core) nextReservation(now time.Time, r *request) Reservation {
	c.lastReservationID++
	r.runID = c.lastReservationID
	c.findFetchSource(now, r)
	res := r.newReservation(now)
	res.FirstContact = !r.contacted && !r.PreviouslyPlaced
	r.contacted = true
	return res
}

func (r *request) newReservation(now time.Time) Reservation {
	return Reservation{
		ID: r.runID, Service: r.Service, Target: r.current.engine.Name, Workspace: r.Workspace,
		Prompt: r.Prompt, Output: r.Output, Parts: r.Parts, Remaining: r.Deadline.Sub(now), Late: r.Late, PreviouslyPlaced: r.PreviouslyPlaced,
		CachedHint: r.current.engine.cache.hitTokens(r.Parts), CachedElsewhere: r.sourceTokens,
		MayWait: r.mayWait,
	}
}

func (c *Core) sendReservation(now time.Time, r *request, e *engine) {
	res := c.nextReservation(now, r)
	r.pendingID, r.sentAt, r.pendingOwner = res.ID, now, e.owner
	c.pending[res.ID] = r
	c.sentReservations = append(c.sentReservations, sentReservation{res.ID, now})
	m := c.messageTo(e.owner)
	m.Reservations = append(m.Reservations, res)
}

// handleReply processes an owner's reply.
func (c *Core) handleReply(now time.Time, from ident.Daemon, reply Reply) {
	r := c.pending[reply.ID]
	if r == nil {
		r = c.awaitingSlot[reply.ID]
	}
	if r == nil || r.pendingID != reply.ID {
		// The request was placed elsewhere meanwhile, or its caller has left: release the slot.
		if reply.OK {
			c.releaseAt(now, from, Release{ID: reply.ID})
		}
		return
	}
	delete(c.pending, r.pendingID)
	if p := c.peers[from]; p != nil {
		p.reachedAt = laterOf(p.reachedAt, r.sentAt)
	}
	if !reply.OK && reply.SlotWait > 0 && r.mayWait && c.awaitingSlot[r.pendingID] == nil {
		r.recordReply(reply)
		c.awaitSlot(now, r, reply)
		return
	}
	c.endSlotWait(now, r)
	r.pendingID = 0
	r.recordReply(reply)
	if reply.OK {
		c.place(now, r, from, reply.Hold)
		return
	}
	r.recordWaitOffer(reply)
	c.tryNext(now, r)
}

// handleNoReply proceeds without an owner's reply. The owner is sent a release in case it has
// admitted the request.
func (c *Core) handleNoReply(now time.Time, r *request) {
	c.withdraw(now, r)
	r.deferUnresponsive()
	c.tryNext(now, r)
}

// placeUnconfirmed decides from local state if no owner replied: this ingress uses its quota of
// the target's slots, counting only its own requests there.
func (c *Core) placeUnconfirmed(now time.Time, r *request) bool {
	for _, cand := range r.unresponsive {
		e := cand.engine
		quota := e.Slots / (len(c.peers) + 1)
		if !r.mayUse(e) || e.ingressRuns >= max(1, quota) || e.suspended(now) || e.service.coldLimit > 0 {
			continue
		}
		r.current = candidate{e, "blind"}
		c.place(now, r, "", 0)
		return true
	}
	return false
}

// place dispatches the request to its target, either at once or when its hold ends. Owner is
// the daemon that records the run; empty if none does.
func (c *Core) place(now time.Time, r *request, owner ident.Daemon, hold time.Duration) {
	r.running, r.placedAt, r.runOwner = true, now, owner
	e := r.current.engine
	e.ingressRuns++
	if !e.owned && len(r.Parts) > 1 {
		e.cache.recordSent(now, r.Parts[:len(r.Parts)-1], e.Memory/2)
	}
	basis := r.decisionBasis()
	basis.FetchSource, basis.Held = c.fetchSource(r), hold > 0
	asked := r.sentAt
	if owner == c.cfg.Self {
		asked = now
	}
	basis.SendBy = e.service.sendBy(asked, hold)
	r.dispatch = Dispatch{Request: r.ID, Target: r.current.engine.Name, Basis: basis}
	if hold > 0 {
		c.holdRequest(now, r, hold)
		return
	}
	c.emit(r.dispatch)
}

// notifyOwner notifies the owner of a target of a request that runs there, and releases it at
// the daemon that recorded it before. The request keeps its ID: when a link comes up and makes
// the peer the owner at the same time, that owner is notified twice, and a second ID would
// stand for a second request that is never released.
func (c *Core) notifyOwner(now time.Time, r *request, e *engine) {
	if r.runOwner != e.owner {
		c.sendRelease(now, r, Release{ID: r.runID})
	}
	res := r.newReservation(now)
	res.Running, res.PrefillDone = true, r.firstByteSeen
	r.runOwner = e.owner
	if e.owned {
		c.admit(now, c.cfg.Self, res)
		return
	}
	if c.peers[e.owner] == nil {
		r.runOwner = ""
		return
	}
	m := c.messageTo(e.owner)
	m.Reservations = append(m.Reservations, res)
}

// FirstByte records that the first byte of an answer has arrived.
func (c *Core) FirstByte(now time.Time, id ident.Request, elapsed time.Duration) {
	r := c.requests[id]
	if r == nil || !r.running {
		return
	}
	r.firstByteSeen = true
	switch {
	case r.runOwner == c.cfg.Self:
		c.handleFirstByte(now, c.cfg.Self, FirstByteNotice{ID: r.runID, Elapsed: elapsed})
	case c.peers[r.runOwner] != nil:
		m := c.messageTo(r.runOwner)
		m.FirstBytes = append(m.FirstBytes, FirstByteNotice{ID: r.runID, Elapsed: elapsed})
	}
}

// Finish ends the attempt of a request.
func (c *Core) Finish(now time.Time, id ident.Request, result Result) {
	r := c.requests[id]
	if r == nil {
		return
	}
	delete(c.requests, id)
	if r.pendingID != 0 {
		c.withdraw(now, r)
		c.notifyWaitOutcomes(now)
		return
	}
	if !r.running {
		return
	}
	delete(c.held, r.runID)
	r.current.engine.ingressRuns--
	r.current.engine.recordOutcome(now, result)
	c.sendRelease(now, r, Release{ID: r.runID, Elapsed: result.Elapsed, Failed: result.Failed, NotRun: result.NotRun, EventInterval: result.EventInterval})
	c.notifyWaitOutcomes(now)
}

// sendRelease notifies the daemon that records a run that the request has left its target.
func (c *Core) sendRelease(now time.Time, r *request, release Release) {
	switch {
	case r.runOwner == c.cfg.Self:
		c.handleRelease(now, c.cfg.Self, release)
	case c.peers[r.runOwner] != nil:
		m := c.messageTo(r.runOwner)
		m.Releases = append(m.Releases, release)
	}
}

// refusal returns the failure for a request that no target admits, with a time to retry after.
func (c *Core) refusal(r *request) *resultcode.Failure {
	retried := ""
	if r.callerRetry {
		retried = ", and it was refused before"
	}
	code, unloaded := resultcode.FleetFull, ""
	if r.limit == LimitPrompt {
		code, unloaded = resultcode.ObjectiveUnmet, fmt.Sprintf("; the prompt alone takes %s", r.unloadedWait.Round(time.Millisecond))
	}
	f := resultcode.Fail(code, "%d targets asked, the shortest wait is %s%s%s", r.ownersAsked, r.shortestWait.Round(time.Millisecond), unloaded, retried)
	f.RetryAfter = c.retryAfter(r)
	return f
}

const (
	// minRetryAfter and retryAfterSpread determine when refused callers are to retry: not
	// before a momentary backlog has cleared, and spread out, so that callers refused in one
	// burst do not return as another.
	minRetryAfter    = 400 * time.Millisecond
	retryAfterSpread = 1200 * time.Millisecond
)

func (c *Core) retryAfter(r *request) time.Duration {
	if r.expectedSpareWait > 0 {
		return derivedRetryAfter(r.expectedSpareWait, c.rng.Float64())
	}
	return max(minRetryAfter, r.shortestWait) + c.retrySpread()
}

func (c *Core) retrySpread() time.Duration {
	return time.Duration(c.rng.Float64() * float64(retryAfterSpread))
}
