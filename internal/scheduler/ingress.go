package scheduler

import (
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/admission"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/queue"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// Submit queues a request. If it returns a failure, nothing was queued, and the
// failure is final.
func (c *Core) Submit(now time.Time, spec Request) *resultcode.Failure {
	s, w, failure := c.lookup(spec)
	if failure != nil {
		return failure
	}
	if len(s.targets) == 0 {
		return resultcode.Fail(resultcode.NoTarget, "service %s lists no target", spec.Service)
	}
	failure = s.admission.Admit(now, admission.Arrival{
		Workspace:    w.Name,
		Class:        uint8(spec.Class),
		Deadline:     spec.Deadline,
		Ahead:        w.queue.Ahead(uint8(spec.Class)),
		Waiting:      w.waiting(),
		Running:      w.running,
		TotalWaiting: s.waiting(),
	})
	if failure != nil {
		return failure
	}
	return c.enqueue(now, s, w, spec, false)
}

// Requeue puts a request that did not run back at the head of its queue. The limits
// for new requests do not apply.
func (c *Core) Requeue(now time.Time, spec Request) *resultcode.Failure {
	s, w, failure := c.lookup(spec)
	if failure != nil {
		return failure
	}
	return c.enqueue(now, s, w, spec, true)
}

func (c *Core) lookup(spec Request) (*service, *workspace, *resultcode.Failure) {
	s := c.services[spec.Service]
	if s == nil {
		return nil, nil, resultcode.Fail(resultcode.UnknownService, "service %s", spec.Service)
	}
	w := s.workspaces[spec.Workspace]
	if w == nil {
		return nil, nil, resultcode.Fail(resultcode.Forbidden, "workspace %s", spec.Workspace)
	}
	return s, w, nil
}

func (c *Core) enqueue(now time.Time, s *service, w *workspace, spec Request, front bool) *resultcode.Failure {
	r := &request{Request: spec, arrived: now}
	w.noteArrival(now)
	failure := w.queue.Push(queue.Item[*request]{
		ID:       spec.ID,
		Class:    uint8(spec.Class),
		Arrived:  now,
		Deadline: spec.Deadline,
		Front:    front,
		Value:    r,
	})
	if failure != nil {
		return failure
	}
	c.requests[spec.ID] = r
	s.activate(w)
	c.queueChanged(now, s, w)
	c.grantFreeSlots(now, s)
	c.useIdleGrants(now, s, w)
	c.sendDemand(now, s, w, onArrival)
	return nil
}

// queueChanged reports the number of waiting requests to admission control.
func (c *Core) queueChanged(now time.Time, s *service, w *workspace) {
	w.demandUpToDate = false
	s.admission.SetWaiting(now, w.Name, w.waiting())
}

// Cancel removes a waiting request whose caller disconnected. A running request
// stays until Finish reports how its attempt ended.
func (c *Core) Cancel(now time.Time, id ident.Request) {
	r := c.requests[id]
	if r == nil || r.running {
		return
	}
	delete(c.requests, id)
	s := c.services[r.Service]
	w := s.workspaces[r.Workspace]
	w.queue.Remove(id)
	c.queueChanged(now, s, w)
}

// Progress charges the service that a running request has received so far.
func (c *Core) Progress(id ident.Request, served float64) {
	r := c.requests[id]
	if r == nil || !r.running || served <= r.charged {
		return
	}
	c.charge(r, served)
}

// Finish ends the attempt of a running request: its charge is corrected, and the
// slot is returned to its owner.
func (c *Core) Finish(now time.Time, id ident.Request, result Result) {
	r := c.requests[id]
	if r == nil || !r.running {
		return
	}
	delete(c.requests, id)
	if result.NotRun {
		result.Served = 0
	}
	c.charge(r, result.Served)
	if s := c.services[r.Service]; s != nil {
		s.recordFinished(r, result)
		if r.owner != c.cfg.Self {
			s.placement.recordResult(now, r.grant.Target, result, 0)
		}
	}
	// An attempt that was being stopped but ended by itself still returns its slot.
	result.Preempted = result.Preempted || r.stopping
	if !result.Preempted && (c.reuseGrant(now, r, result) || c.keepIdle(now, r, result)) {
		return
	}
	c.releaseGrant(now, r.owner, Release{Grant: r.grant.ID, Result: result})
}

// reuseGrant binds the next request of the workspace to a grant whose request ended
// within its reuse window, so that many short requests do not cost a grant and a
// release each. Slots of the daemon's own targets need no messages and are assigned
// anew. So are slots whose target or owner is not known to be healthy.
func (c *Core) reuseGrant(now time.Time, r *request, result Result) bool {
	s := c.services[r.Service]
	if s == nil || r.owner == c.cfg.Self || c.peers[r.owner] == nil || now.Sub(r.grantedAt) >= c.cfg.GrantReuseWindow {
		return false
	}
	if t := s.targets[r.grant.Target]; result.Failed || result.NotRun || t == nil || !t.usable() {
		return false
	}
	next := c.bindRequest(now, r.grant)
	if next == nil {
		return false
	}
	c.dispatch(next, r.owner, r.grant, r.grantedAt)
	return true
}

func (c *Core) dispatch(r *request, owner ident.Daemon, g Grant, granted time.Time) {
	r.running = true
	r.owner = owner
	r.grant = g
	r.grantedAt = granted
	c.emit(Dispatch{Request: r.ID, Service: g.Service, Target: g.Target})
}

// recordFinished updates the statistics about the requests of this ingress.
func (s *service) recordFinished(r *request, result Result) {
	if w := s.workspaces[r.Workspace]; w != nil {
		w.running--
	}
	if result.Failed || result.NotRun || result.Preempted || result.Elapsed <= 0 {
		return
	}
	class := uint8(r.Class)
	s.admission.RecordCompletion(class, result.Elapsed)
	s.requestCost.add(result.Served)
	s.slotRate.add(result.Served / result.Elapsed.Seconds())
}

func (c *Core) charge(r *request, served float64) {
	if s := c.services[r.Service]; s != nil && s.workspaces[r.Workspace] != nil {
		s.ledger.Charge(r.Workspace, served-r.charged)
		r.charged = served
	}
}

// acceptGrant binds a waiting request to a grant, or returns the grant at once.
func (c *Core) acceptGrant(now time.Time, owner ident.Daemon, g Grant) {
	c.applySummary(now, g)
	r := c.bindRequest(now, g)
	c.updateSentDemand(owner, g, r != nil)
	if r == nil {
		c.releaseGrant(now, owner, Release{Grant: g.ID, Unused: true})
		return
	}
	c.dispatch(r, owner, g, now)
}

// updateSentDemand adjusts the recorded demand in the same way as the owner does: a
// grant reduces it by one, and a grant returned unused resets it to zero. Otherwise
// the two sides would diverge: an owner that has granted all the demand it knows of
// issues no more grants although as many requests wait again, and the ingress sees
// no change to report.
func (c *Core) updateSentDemand(owner ident.Daemon, g Grant, used bool) {
	s := c.services[g.Service]
	if s == nil || s.workspaces[g.Workspace] == nil {
		return
	}
	w := s.workspaces[g.Workspace]
	known, ok := w.sentDemand[owner]
	switch {
	case !ok:
	case used:
		w.setSentDemand(owner, known.minus(1))
	default:
		w.setSentDemand(owner, demand{})
	}
}

// bindRequest takes the first waiting request of the workspace that may use the
// target.
func (c *Core) bindRequest(now time.Time, g Grant) *request {
	s := c.services[g.Service]
	if s == nil || s.workspaces[g.Workspace] == nil || s.targets[g.Target] == nil {
		return nil
	}
	w := s.workspaces[g.Workspace]
	for class := range uint8(classCount) {
		w.queue.SetMedianServiceTime(class, s.admission.MedianServiceTime(class))
	}
	if !w.mayUse(g.Target) {
		return nil // The owner uses another version of the document.
	}
	mayRun := func(it queue.Item[*request]) bool { return it.Value.mayRunOn(g.Target) }
	it, expired, ok := w.queue.PopPreferred(now, mayRun, s.placement.prefixMatcher(g.Target))
	c.refuseExpired(now, expired)
	c.queueChanged(now, s, w)
	if !ok {
		return nil
	}
	w.running++
	s.admission.RecordDispatch(now, w.Name)
	s.placement.recordDispatch(now, g.Target, it.Value)
	return it.Value
}

// mayRunOn reports whether the request may be bound to a target. A target that the
// request avoids is declined only once. Declining it each time would turn a single
// such request and an idle target into an endless loop of grants and returns, which
// overflowed the stack if the ingress owned the target itself.
func (r *request) mayRunOn(name ident.Target) bool {
	if r.declined || !slices.Contains(r.Avoid, name) {
		return true
	}
	r.declined = true
	return false
}

// expireWaiting refuses the waiting requests whose deadline has passed.
func (c *Core) expireWaiting(now time.Time, s *service, w *workspace) {
	expired := w.queue.Expire(now)
	if len(expired) == 0 {
		return
	}
	c.refuseExpired(now, expired)
	c.queueChanged(now, s, w)
}

func (c *Core) refuseExpired(now time.Time, expired []queue.Item[*request]) {
	for _, it := range expired {
		delete(c.requests, it.ID)
		waited := now.Sub(it.Value.arrived).Round(time.Millisecond)
		c.emit(Refuse{Request: it.ID, Failure: resultcode.Fail(resultcode.DeadlinePassed, "after %s", waited)})
	}
}

func (c *Core) releaseGrant(now time.Time, owner ident.Daemon, rel Release) {
	if owner == c.cfg.Self {
		c.handleRelease(now, rel)
		return
	}
	if c.peers[owner] != nil {
		m := c.messageTo(owner)
		m.Releases = append(m.Releases, rel)
	}
}
