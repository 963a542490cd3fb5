package booking

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

const (
	// maxSpareUtilization and maxSpareBacklog bound the load of a target that admits a request
	// of a workspace above its share, or a late request: half of the slots, and a backlog that
	// a request within its share hardly notices.
	maxSpareUtilization = 0.5
	maxSpareBacklog     = 60 * time.Millisecond
	// slotReserve is the fraction of the slots that is not given away: a slot is freed a little
	// later than its owner learns.
	slotReserve = 0.03
	// plainQueueRatio is how many plain requests may queue in a target, relative to its slots.
	plainQueueRatio = 1.0
)

// Receive processes a message of another daemon.
func (c *Core) Receive(now time.Time, from ident.Daemon, m Message) {
	p := c.peers[from]
	if p == nil || m.Incarnation != p.Incarnation {
		return
	}
	p.silentUntil = time.Time{}
	if scope, ok := c.expectedScope(from); ok && scope == m.Scope {
		for _, u := range m.Usage {
			c.receiveUsage(now, from, u)
		}
		for _, l := range m.Loads {
			c.receiveLoad(now, l)
		}
	}
	for _, notice := range m.FirstBytes {
		c.handleFirstByte(now, from, notice)
	}
	for _, release := range m.Releases {
		c.handleRelease(now, from, release)
	}
	for _, res := range m.Reservations {
		c.handleReservation(now, from, res)
	}
	for _, reply := range m.Replies {
		c.handleReply(now, from, reply)
	}
	for _, id := range m.Ready {
		c.dispatchHeld(id)
	}
	c.notifyWaitOutcomes(now)
}

// handleReservation processes a reservation and replies to it.
func (c *Core) handleReservation(now time.Time, from ident.Daemon, res Reservation) {
	reply := c.admit(now, from, res)
	if res.Running {
		return
	}
	m := c.messageTo(from)
	m.Replies = append(m.Replies, reply)
}

func (c *Core) engine(service ident.Service, target ident.Target) *engine {
	if s := c.services[service]; s != nil {
		return s.engines[target]
	}
	return nil
}

// admit decides whether a target admits a request, and records the run if it does.
func (c *Core) admit(now time.Time, from ident.Daemon, res Reservation) Reply {
	reply := Reply{ID: res.ID}
	e := c.engine(res.Service, res.Target)
	if e == nil || c.runs[runKey{from, res.ID}] != nil {
		return reply
	}
	if res.FirstContact {
		reply.CallerRetry = c.recordDemand(now, e.service, &res)
	}
	r, cached := c.newRun(now, e, from, &res)
	if !e.suspended(now) {
		reply.CachedTokens = cached // nothing is copied from a failing target
	}
	if !res.Running {
		reply.Limit = c.admissionLimit(now, e, res, r)
		c.checkWarmth(now, e)
		e.service.shares.account(res.Workspace).tally.record(res, reply.Limit)
	}
	if reply.Limit != LimitNone {
		reply.Wait = e.backlog(now) + e.overhead
		reply.ShareUsed = e.service.shareUsed(now, res.Workspace)
		if reply.Limit == LimitPrompt {
			reply.UnloadedWait = e.isolatedFirstByte(r)
		}
		c.offerWait(now, e, from, &res, r, &reply)
		reply.ExpectedSpareWait = c.expectedSpareWait(now, e, reply.ShareUsed)
		return reply
	}
	c.grant(now, e, res, r, &reply)
	return reply
}

// newRun returns the run of a reservation, and how many tokens of its prefix the target has cached.
func (c *Core) newRun(now time.Time, e *engine, from ident.Daemon, res *Reservation) (r *run, cached int) {
	cached = e.cachedTokens(now, res)
	r = &run{ingress: from, id: res.ID, expiresAt: now.Add(runTTL)}
	r.shared, r.memory = memoryNeeds(res)
	if n := len(res.Parts); n > 0 {
		r.ownPart = PromptPart{ID: res.Parts[n-1].ID, Tokens: r.memory}
	}
	r.prefillWork, r.fetchTime = e.service.prefillCost(res.Prompt, cached, res.CachedElsewhere)
	return r, cached
}

// grant records a request that a target admits, and completes the reply to it.
func (c *Core) grant(now time.Time, e *engine, res Reservation, r *run, reply *Reply) {
	if !e.isCold(now) {
		reply.Hold = e.holdFor(now, &res, r)
	}
	if !res.Running {
		e.recordAdmission(now, reply.Hold)
	}
	c.addRun(now, e, res, r)
	e.recordSpareCapacity(now)
	reply.OK, reply.Wait = true, r.expected.Sub(now)
}

// recordDemand processes the first reservation of a request, and reports whether the caller has
// retried it. Only the first try counts in the workspace's demand.
func (c *Core) recordDemand(now time.Time, s *service, res *Reservation) (callerRetry bool) {
	callerRetry = c.callerRetries.record(now, res.Parts, res.Prompt)
	res.Late = res.Late || callerRetry
	if !res.Late {
		account := s.shares.account(res.Workspace)
		account.own.asked.add(now, reservationCost(*res))
		c.expediteReport(now, s, account)
	}
	return callerRetry
}

// addRun records a request on a target.
func (c *Core) addRun(now time.Time, e *engine, res Reservation, r *run) {
	r.prefillDone = res.PrefillDone
	e.addRun(now, r)
	c.runs[runKey{r.ingress, res.ID}] = r
	if !res.Running && !res.PreviouslyPlaced {
		r.workspace, r.grantedCost = res.Workspace, reservationCost(res)
		s := &e.service.shares
		s.recordGrant(now, s.account(res.Workspace), r.grantedCost)
	}
}

func reservationCost(res Reservation) float64 {
	r := Request{Prompt: res.Prompt, Output: res.Output}
	return r.Cost()
}

// admissionLimit decides about a request on a target: LimitNone admits it.
func (c *Core) admissionLimit(now time.Time, e *engine, res Reservation, r *run) Limit {
	headroom := c.headroom(now, e, res)
	switch {
	case e.Draining:
		return LimitDraining
	case e.Evacuated:
		return LimitEvacuated
	case !c.withinColdLimit(now, e):
		return LimitCold
	case !c.healthy(now, e):
		return LimitFailing
	case !e.fitsMemory(r, headroom):
		return LimitMemory
	case !e.hasSlot(headroom):
		return LimitSlots
	case !e.service.servesModel && res.Late && !res.PreviouslyPlaced:
		return e.plainSpareLimit()
	case !c.spareOnly(now, e, res):
		return c.latencyLimit(now, e, res, r, headroom)
	case e.occupancy() >= maxSpareUtilization || e.backlog(now) > maxSpareBacklog:
		return LimitSpare
	case !e.service.shares.mayUseSpare(now, res.Workspace, reservationCost(res), e.service.currentRates(now)):
		return LimitShare
	}
	return LimitNone
}

// plainSpareLimit admits a late request to a plain target only if it delays no other one.
//
// Load pattern: callers of a plain service demand more than its few targets can do, and those that
// were refused return within a second. If they were admitted like new ones, half of the work would be
// late, and as many new requests refused to return in turn.
func (e *engine) plainSpareLimit() Limit {
	if len(e.runs) >= e.Slots {
		return LimitSpare
	}
	return LimitNone
}

// latencyLimit checks a request against its latency objective.
func (c *Core) latencyLimit(now time.Time, e *engine, res Reservation, r *run, headroom float64) Limit {
	if e.service.servesModel && e.isolatedFirstByte(r) > res.Remaining {
		return LimitPrompt
	}
	wait := e.expectedFirstByte(now, r).Sub(now)
	maxWait := time.Duration((1 - headroom*maxTimeHeadroom) * float64(res.Remaining))
	if wait > maxWait && e.backlog(now) <= maxSpareBacklog {
		maxWait = res.Remaining // its own prefill alone takes longer than that
	}
	if wait > maxWait {
		return LimitTime
	}
	return LimitNone
}

// headroom is the part, from 0 to 1, of a target's headroom that a workspace leaves to those that
// have had less (trunk reservation): it rises from nothing at half of its share to all at its share.
//
// Without it, when targets deliver less than the rate that is divided, all workspaces are within
// their shares and the targets are full, so that those with the highest demand get most.
func (c *Core) headroom(now time.Time, e *engine, res Reservation) float64 {
	if e.service.rate <= 0 || !e.service.servesModel || res.PreviouslyPlaced {
		return 0
	}
	used := e.service.shareUsed(now, res.Workspace)
	return min(max((used-headroomOnset)/(1-headroomOnset), 0), 1)
}

const (
	// headroomOnset is the fraction of its share up to which a workspace leaves no headroom.
	headroomOnset = 0.5
	// maxTimeHeadroom is the fraction of the remaining time that a workspace at its share leaves.
	maxTimeHeadroom = 0.45
	// maxSlotHeadroom and maxMemoryHeadroom are the fractions of a target's slots and memory that
	// it leaves: a few slots, and the memory of a long prompt. They are smaller, since a few free
	// places serve a workspace with a low demand.
	maxSlotHeadroom   = 0.08
	maxMemoryHeadroom = 0.15
)

// healthy reports whether a target's failure rate allows it to take requests. If all targets of
// a service fail alike, none is skipped: that would leave no target, or fewer targets for the
// requests that succeed.
func (c *Core) healthy(now time.Time, e *engine) bool {
	usualRate := e.service.meanFailureRate(now, e)
	if e.health.failureRate(now) <= usualRate+excessFailureRate {
		return true
	}
	return e.health.admits(now)
}

// excessFailureRate is by how much the failure rate of a target must exceed that of the other
// targets of its service for it to be skipped.
const excessFailureRate = 0.2

// meanFailureRate is the mean recent failure rate of the other targets.
func (s *service) meanFailureRate(now time.Time, except *engine) float64 {
	sum, n := 0.0, 0
	for _, e := range s.sortedEngines {
		switch {
		case e == except:
			continue
		case e.owned:
			sum += e.health.failureRate(now)
		case now.Sub(e.reportedAt) <= maxLoadAge:
			sum += e.reported.FailureRate
		}
		n++
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// spareOnly reports whether a request gets spare capacity only.
func (c *Core) spareOnly(now time.Time, e *engine, res Reservation) bool {
	if !e.service.servesModel || res.PreviouslyPlaced {
		return false
	}
	return res.Late || !e.service.shares.withinShare(now, res.Workspace, reservationCost(res), e.service.currentRates(now))
}

// hasSlot reports whether the target has a free slot beside the given part of its headroom. A plain
// target may have a few requests queued, since its answers are short.
func (e *engine) hasSlot(headroom float64) bool { return float64(len(e.runs)) < e.maxRuns(headroom) }

// maxRuns is the number of requests below which the target has a free slot beside the given part of
// its headroom.
func (e *engine) maxRuns(headroom float64) float64 {
	if !e.service.servesModel {
		return float64(e.Slots) * (1 + plainQueueRatio)
	}
	return float64(e.Slots) * (1 - slotReserve - headroom*maxSlotHeadroom)
}

// handleFirstByte records that the first byte of an answer has arrived.
func (c *Core) handleFirstByte(now time.Time, from ident.Daemon, notice FirstByteNotice) {
	if r := c.runs[runKey{from, notice.ID}]; r != nil {
		r.target.recordFirstByte(now, r, notice.Elapsed)
		c.releaseHeld(now, r)
	}
}

// handleRelease records that a request has left its target.
func (c *Core) handleRelease(now time.Time, from ident.Daemon, release Release) {
	key := runKey{from, release.ID}
	r := c.runs[key]
	if r == nil {
		c.dropWaiting(key)
		return
	}
	delete(c.runs, key)
	if a := r.target.service.shares.accounts[r.workspace]; a != nil && release.unusedGrant() {
		a.unusedGrants.add(now, r.grantedCost)
	}
	r.target.recordStream(now, r, release)
	r.target.removeRun(now, r, release.Elapsed)
	c.releaseHeld(now, r)
	if release.Elapsed > 0 {
		r.target.health.record(now, release.Failed)
		r.target.waitlist.departures.add(now, 1)
	}
	r.target.recordSpareCapacity(now)
	c.serveWaiting(now, r.target)
}

// recordOutcome records at the ingress how an attempt ended, so that a target that refuses
// connections is skipped at once and not only when its owner reports it.
func (e *engine) recordOutcome(now time.Time, result Result) {
	if e.owned || result.Elapsed == 0 {
		return // recorded by handleRelease, or not dispatched
	}
	e.health.record(now, result.Failed)
}

// suspended reports whether an ingress skips a target.
func (e *engine) suspended(now time.Time) bool { return now.Before(e.health.blockedUntil) }
