package scheduler

import (
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
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
	if w.Queue > 0 && w.waiting() >= w.Queue {
		return resultcode.Fail(resultcode.QueueFull, "%d requests of workspace %s wait here", w.waiting(), w.Name)
	}
	c.enqueue(now, w, spec, false)
	c.assign(now, s)
	c.showDemand(now, s, w, false)
	return nil
}

// Requeue puts a request that did not run back at the head of its queue, past
// the bounds that apply to new requests.
func (c *Core) Requeue(now time.Time, spec Request) *resultcode.Failure {
	s, w, failure := c.lookup(spec)
	if failure != nil {
		return failure
	}
	c.enqueue(now, w, spec, true)
	c.assign(now, s)
	c.showDemand(now, s, w, false)
	return nil
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

func (c *Core) enqueue(now time.Time, w *workspace, spec Request, first bool) {
	r := &request{Request: spec, arrived: now}
	c.requests[spec.ID] = r
	if first {
		w.queue[spec.Class] = slices.Insert(w.queue[spec.Class], 0, r)
		return
	}
	w.queue[spec.Class] = append(w.queue[spec.Class], r)
}

// Cancel withdraws a request whose caller left. A running one stays until
// Finish reports how its attempt ended.
func (c *Core) Cancel(now time.Time, id ident.Request) {
	r := c.requests[id]
	if r == nil || r.running {
		return
	}
	s := c.services[r.Service]
	w := s.workspaces[r.Workspace]
	w.remove(r)
	delete(c.requests, id)
	c.showDemand(now, s, w, false)
}

// Progress charges what a running request has received beyond its estimate.
func (c *Core) Progress(id ident.Request, served float64) {
	r := c.requests[id]
	if r == nil || !r.running || served <= r.charged {
		return
	}
	c.charge(r, served)
}

// Finish ends the attempt of a running request: the estimate is corrected and
// the slot goes back to its owner.
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
	c.release(now, r.owner, Release{Grant: r.grant, Result: result})
}

func (c *Core) charge(r *request, served float64) {
	if s := c.services[r.Service]; s != nil && s.workspaces[r.Workspace] != nil {
		s.ledger.Charge(r.Workspace, served-r.charged)
		r.charged = served
	}
}

// accept binds a waiting request to a grant, or returns the grant at once.
func (c *Core) accept(now time.Time, owner ident.Daemon, g Grant) {
	c.noteGranted(owner, g)
	r := c.bind(now, g)
	if r == nil {
		c.release(now, owner, Release{Grant: g.ID, Unused: true})
		return
	}
	r.running = true
	r.owner = owner
	r.grant = g.ID
	c.charge(r, r.Cost)
	c.emit(Dispatch{Request: r.ID, Service: g.Service, Target: g.Target})
}

// noteGranted follows the owner's count of what waits here, which it lowers by
// one with each grant. Without it the next request would look as if it had been
// shown already, and would wait for the exchange while a slot idles.
func (c *Core) noteGranted(owner ident.Daemon, g Grant) {
	s := c.services[g.Service]
	if s == nil || s.workspaces[g.Workspace] == nil {
		return
	}
	if w := s.workspaces[g.Workspace]; w.shown[owner] > 0 {
		w.shown[owner]--
	}
}

// bind takes the first waiting request of the workspace that may use the target.
func (c *Core) bind(now time.Time, g Grant) *request {
	s := c.services[g.Service]
	if s == nil || s.workspaces[g.Workspace] == nil || s.targets[g.Target] == nil {
		return nil
	}
	w := s.workspaces[g.Workspace]
	c.expire(now, w)
	for class := range w.queue {
		for i, r := range w.queue[class] {
			if !slices.Contains(r.Avoid, g.Target) {
				w.queue[class] = slices.Delete(w.queue[class], i, i+1)
				return r
			}
		}
	}
	return nil
}

// expire refuses the waiting requests whose deadline has passed.
func (c *Core) expire(now time.Time, w *workspace) {
	for class := range w.queue {
		w.queue[class] = slices.DeleteFunc(w.queue[class], func(r *request) bool {
			if r.Deadline.IsZero() || now.Before(r.Deadline) {
				return false
			}
			delete(c.requests, r.ID)
			c.emit(Refuse{Request: r.ID, Failure: resultcode.Fail(resultcode.DeadlinePassed, "after %s", now.Sub(r.arrived).Round(time.Millisecond))})
			return true
		})
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

func (w *workspace) waiting() int {
	n := 0
	for class := range w.queue {
		n += len(w.queue[class])
	}
	return n
}

func (w *workspace) remove(r *request) {
	w.queue[r.Class] = slices.DeleteFunc(w.queue[r.Class], func(q *request) bool { return q == r })
}

// oldest returns the arrival of the request that has waited longest.
func (w *workspace) oldest() (time.Time, bool) {
	var first time.Time
	for class := range w.queue {
		for _, r := range w.queue[class][:min(1, len(w.queue[class]))] {
			if first.IsZero() || r.arrived.Before(first) {
				first = r.arrived
			}
		}
	}
	return first, !first.IsZero()
}
