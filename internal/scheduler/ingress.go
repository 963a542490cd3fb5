package scheduler

import (
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/admission"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/queue"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// Submit queues a request. A failure is final and nothing was queued.
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

// Requeue puts a request that did not run back at the head of its queue, past
// the bounds that apply to new requests.
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
	w.arrives(now)
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
	c.changed(now, s, w)
	c.assign(now, s)
	c.useKept(now, s, w)
	c.showDemand(now, s, w, onArrival)
	return nil
}

// changed tells admission how many requests wait.
func (c *Core) changed(now time.Time, s *service, w *workspace) {
	w.told = false
	s.admission.SetWaiting(now, w.Name, w.waiting())
}

// Cancel withdraws a request whose caller left. A running one stays until
// Finish reports how its attempt ended.
func (c *Core) Cancel(now time.Time, id ident.Request) {
	r := c.requests[id]
	if r == nil || r.running {
		return
	}
	delete(c.requests, id)
	s := c.services[r.Service]
	w := s.workspaces[r.Workspace]
	w.queue.Remove(id)
	c.changed(now, s, w)
}

// Progress charges what a running request has received so far.
func (c *Core) Progress(id ident.Request, served float64) {
	r := c.requests[id]
	if r == nil || !r.running || served <= r.charged {
		return
	}
	c.charge(r, served)
}

// Finish ends the attempt of a running request: what it was charged is
// corrected and the slot goes back to its owner.
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
		s.finished(r, result)
		if r.owner != c.cfg.Self {
			s.places.observe(now, r.grant.Target, result, 0)
		}
	}
	// A stopping one that ended by itself gives the slot back all the same.
	result.Preempted = result.Preempted || r.stopping
	if !result.Preempted && (c.reuse(now, r, result) || c.keep(now, r, result)) {
		return
	}
	c.release(now, r.owner, Release{Grant: r.grant.ID, Result: result})
}

// reuse binds the next request of the workspace to a grant whose request has
// ended early in its slice, so that many short requests do not cost a grant and
// a release each. Slots of the own targets need no messages and are decided
// about anew, and so is one whose target or owner is not known to be well.
func (c *Core) reuse(now time.Time, r *request, result Result) bool {
	s := c.services[r.Service]
	if s == nil || r.owner == c.cfg.Self || c.peers[r.owner] == nil || now.Sub(r.granted) >= c.cfg.Slice {
		return false
	}
	if t := s.targets[r.grant.Target]; result.Failed || result.NotRun || t == nil || !t.usable() {
		return false
	}
	next := c.bind(now, r.grant)
	if next == nil {
		return false
	}
	c.start(next, r.owner, r.grant, r.granted)
	return true
}

func (c *Core) start(r *request, owner ident.Daemon, g Grant, granted time.Time) {
	r.running = true
	r.owner = owner
	r.grant = g
	r.granted = granted
	c.emit(Dispatch{Request: r.ID, Service: g.Service, Target: g.Target})
}

// finished updates what is measured of the requests of this ingress.
func (s *service) finished(r *request, result Result) {
	if w := s.workspaces[r.Workspace]; w != nil {
		w.running--
	}
	if result.Failed || result.NotRun || result.Preempted || result.Elapsed <= 0 {
		return
	}
	class := uint8(r.Class)
	s.admission.RecordCompletion(class, result.Elapsed)
	s.cost.add(result.Served)
	s.rate.add(result.Served / result.Elapsed.Seconds())
}

func (c *Core) charge(r *request, served float64) {
	if s := c.services[r.Service]; s != nil && s.workspaces[r.Workspace] != nil {
		s.ledger.Charge(r.Workspace, served-r.charged)
		r.charged = served
	}
}

// accept binds a waiting request to a grant, or returns the grant at once.
func (c *Core) accept(now time.Time, owner ident.Daemon, g Grant) {
	c.takeSummary(now, g)
	r := c.bind(now, g)
	c.noteShown(owner, g, r != nil)
	if r == nil {
		c.release(now, owner, Release{Grant: g.ID, Unused: true})
		return
	}
	c.start(r, owner, g, now)
}

// noteShown changes the demand that the owner knows of as the owner does itself:
// it is one less by a grant, and none when the grant comes back unused. The two
// would drift apart otherwise: an owner that has granted all that it was told of
// gives nothing more, though as much waits again, and the ingress sees no change
// to tell.
func (c *Core) noteShown(owner ident.Daemon, g Grant, used bool) {
	s := c.services[g.Service]
	if s == nil || s.workspaces[g.Workspace] == nil {
		return
	}
	w := s.workspaces[g.Workspace]
	known, ok := w.shown[owner]
	switch {
	case !ok:
	case used:
		w.setShown(owner, known.less(1))
	default:
		w.setShown(owner, demand{})
	}
}

// bind takes the first waiting request of the workspace that may use the target.
func (c *Core) bind(now time.Time, g Grant) *request {
	s := c.services[g.Service]
	if s == nil || s.workspaces[g.Workspace] == nil || s.targets[g.Target] == nil {
		return nil
	}
	w := s.workspaces[g.Workspace]
	for class := range uint8(classCount) {
		w.queue.SetMedianServiceTime(class, s.admission.MedianServiceTime(class))
	}
	if !w.mayUse(g.Target) {
		return nil // The owner has another document in force.
	}
	takes := func(it queue.Item[*request]) bool { return it.Value.takes(g.Target) }
	it, expired, ok := w.queue.PopPreferred(now, takes, s.places.prefers(g.Target))
	c.refuseExpired(now, expired)
	c.changed(now, s, w)
	if !ok {
		return nil
	}
	w.running++
	s.admission.RecordDispatch(now, w.Name)
	s.places.dispatched(now, g.Target, it.Value)
	return it.Value
}

// takes tells whether a request may be bound to a target. One that it avoids is
// declined once. Declining it each time would turn a single such request beside
// an idle target into an endless exchange of grants and returns, which showed as
// a stack overflow where the ingress owned the target itself.
func (r *request) takes(name ident.Target) bool {
	if r.declined || !slices.Contains(r.Avoid, name) {
		return true
	}
	r.declined = true
	return false
}

// expire refuses the waiting requests whose deadline has passed.
func (c *Core) expire(now time.Time, s *service, w *workspace) {
	expired := w.queue.Expire(now)
	if len(expired) == 0 {
		return
	}
	c.refuseExpired(now, expired)
	c.changed(now, s, w)
}

func (c *Core) refuseExpired(now time.Time, expired []queue.Item[*request]) {
	for _, it := range expired {
		delete(c.requests, it.ID)
		waited := now.Sub(it.Value.arrived).Round(time.Millisecond)
		c.emit(Refuse{Request: it.ID, Failure: resultcode.Fail(resultcode.DeadlinePassed, "after %s", waited)})
	}
}

func (c *Core) release(now time.Time, owner ident.Daemon, rel Release) {
	if owner == c.cfg.Self {
		c.released(now, rel)
		return
	}
	if c.peers[owner] != nil {
		m := c.message(owner)
		m.Releases = append(m.Releases, rel)
	}
}
