package booking

import (
	"fmt"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// Submit places a request: a Dispatch or a Refuse follows.
func (c *Core) Submit(now time.Time, spec Request) {
	s := c.services[spec.Service]
	if s == nil {
		// Routes are in force a moment before this Core hears of their services. To
		// say that the service does not exist would end the request for good.
		c.refuse(spec.ID, resultcode.Fail(resultcode.NoTarget, "service %s", spec.Service))
		return
	}
	r := &request{Request: spec, met: spec.Known}
	r.candidates = c.candidates(now, s, r)
	if len(r.candidates) == 0 {
		c.refuse(spec.ID, resultcode.Fail(resultcode.NoTarget, "service %s", spec.Service))
		return
	}
	c.requests[spec.ID] = r
	c.next(now, r)
}

// Wanted counts what a workspace asked for and was refused for want of processor time,
// before a place was looked for.
func (c *Core) Wanted(now time.Time, name ident.Service, ws ident.Workspace, cost float64) {
	if s := c.services[name]; s != nil {
		a := s.shares.account(ws)
		a.own.asked.add(now, cost)
		a.own.shed.add(now, cost)
		a.tally.shed += cost
		c.hasten(now, s, a)
	}
}

func (c *Core) refuse(id ident.Request, f *resultcode.Failure) {
	delete(c.requests, id)
	c.emit(Refuse{Request: id, Failure: f})
}

// next asks for the next candidate, or ends the placing.
func (c *Core) next(now time.Time, r *request) {
	for c.further(now, r); len(r.candidates) > 0; c.further(now, r) {
		r.at, r.candidates = r.candidates[0], r.candidates[1:]
		r.tried++
		e := r.at.engine
		r.askedAt = append(r.askedAt, e)
		if e.owned {
			reply := c.take(now, c.cfg.Self, c.newAsk(now, r))
			r.heard(reply)
			if reply.OK {
				c.place(now, r, c.cfg.Self, reply.Hold)
				return
			}
			continue
		}
		if c.silent(now, e) {
			r.passOver()
			continue
		}
		c.ask(now, r, e)
		return
	}
	if !r.answered && c.blind(now, r) {
		return
	}
	delete(c.requests, r.ID)
	c.countUnheard(r)
	c.emit(Refuse{Request: r.ID, Failure: c.full(r), Basis: r.basis()})
}

// basis is what is known of the decision about a request.
func (r *request) basis() Basis {
	return Basis{By: r.at.by, Expected: r.least, Asks: r.tried, Limit: r.limit, Used: r.used, Alone: r.alone, Back: r.back}
}

// silent tells whether the owner of a target is another daemon that does not answer.
func (c *Core) silent(now time.Time, e *engine) bool {
	p := c.peers[e.owner]
	return !e.owned && (p == nil || now.Before(p.silent))
}

// passOver leaves a target to the last whose owner does not answer.
//
// It guards against an availability zone that is cut off: a target is owned by a daemon
// of its own zone, so that where the owner is silent the target most likely is too. Sent
// there blindly a request hangs for a second, ends as one that may have run, and may not
// be sent anywhere else, while other zones have room.
func (r *request) passOver() {
	r.unheard = append(r.unheard, r.at)
	r.more = true
}

// heard takes in what an owner said: the wait at the target that takes the request,
// or the shortest of those that do not.
func (r *request) heard(reply Reply) {
	r.answered = true
	r.back = r.back || reply.Back
	r.Late = r.Late || reply.Back
	if reply.OK || r.least == 0 || reply.Wait < r.least {
		r.least, r.limit, r.used, r.alone = reply.Wait, reply.Limit, reply.Used, reply.Alone
	}
	r.here = reply.Kept
	if reply.Kept > r.sourceKept && !reply.OK {
		r.source, r.sourceKept = r.at.engine.Name, reply.Kept
	}
}

// newAsk describes a request under a new number.
func (c *Core) newAsk(now time.Time, r *request) Ask {
	c.lastAsk++
	r.runID = c.lastAsk
	c.lookForSource(now, r)
	a := r.describe(now)
	a.First = !r.met && !r.Begun
	r.met = true
	return a
}

func (r *request) describe(now time.Time) Ask {
	return Ask{
		ID: r.runID, Service: r.Service, Target: r.at.engine.Name, Workspace: r.Workspace,
		Prompt: r.Prompt, Output: r.Output, Parts: r.Parts, Left: r.Due.Sub(now), Late: r.Late, Begun: r.Begun,
		Here: r.at.engine.kept.hit(r.Parts), Elsewhere: r.sourceKept,
	}
}

func (c *Core) ask(now time.Time, r *request, e *engine) {
	a := c.newAsk(now, r)
	r.ask, r.asked, r.to = a.ID, now, e.owner
	c.asks[a.ID] = r
	c.sent = append(c.sent, sentAsk{a.ID, now})
	m := c.message(e.owner)
	m.Asks = append(m.Asks, a)
}

// answered takes an owner's answer.
func (c *Core) answered(now time.Time, from ident.Daemon, reply Reply) {
	r := c.asks[reply.ID]
	if r == nil || r.ask != reply.ID {
		// Placed elsewhere meanwhile, or its caller has left: the place is free.
		if reply.OK {
			m := c.message(from)
			m.Ends = append(m.Ends, End{ID: reply.ID})
		}
		return
	}
	delete(c.asks, r.ask)
	r.ask = 0
	r.heard(reply)
	if reply.OK {
		c.place(now, r, from, reply.Hold)
		return
	}
	c.next(now, r)
}

// unanswered goes on without an owner's answer. Where it took the request all the
// same, it hears that the place is free.
func (c *Core) unanswered(now time.Time, r *request) {
	m := c.message(r.to)
	m.Ends = append(m.Ends, End{ID: r.ask})
	delete(c.asks, r.ask)
	r.ask = 0
	r.passOver()
	c.next(now, r)
}

// blind decides by what this ingress knows itself, where no owner answers: it takes its
// part of what a target has, by its own requests there.
func (c *Core) blind(now time.Time, r *request) bool {
	for _, at := range r.unheard {
		e := at.engine
		part := e.Slots / (len(c.peers) + 1)
		if e.mine >= max(1, part) || e.shut(now) {
			continue
		}
		r.at = candidate{e, "blind"}
		c.place(now, r, "", 0)
		return true
	}
	return false
}

// place sends the request to its target, now or when what it is held back for has been
// read. By is the daemon that keeps the run; empty where none does.
func (c *Core) place(now time.Time, r *request, by ident.Daemon, hold time.Duration) {
	r.running, r.began, r.placedBy = true, now, by
	e := r.at.engine
	e.mine++
	if !e.owned && len(r.Parts) > 1 {
		e.kept.see(now, r.Parts[:len(r.Parts)-1], e.Memory/2)
	}
	basis := r.basis()
	basis.Source, basis.Held = c.sourceOf(r), hold > 0
	r.dispatch = Dispatch{Request: r.ID, Target: r.at.engine.Name, Basis: basis}
	if hold > 0 {
		c.hold(now, r, hold)
		return
	}
	c.emit(r.dispatch)
}

// note tells the owner of a target of a request that runs there, and the one that
// kept it before that it need not. The request keeps its number: an owner is told of
// it twice where a link comes up and makes it the owner at once, and a second number
// would stand for a second request that nobody ends.
func (c *Core) note(now time.Time, r *request, e *engine) {
	if r.placedBy != e.owner {
		c.tellEnd(now, r, End{ID: r.runID})
	}
	a := r.describe(now)
	a.Taken, a.Read = true, r.read
	r.placedBy = e.owner
	if e.owned {
		c.take(now, c.cfg.Self, a)
		return
	}
	if c.peers[e.owner] == nil {
		r.placedBy = ""
		return
	}
	m := c.message(e.owner)
	m.Asks = append(m.Asks, a)
}

// First tells that the first byte of an answer has come.
func (c *Core) First(now time.Time, id ident.Request, took time.Duration) {
	r := c.requests[id]
	if r == nil || !r.running {
		return
	}
	r.read = true
	switch {
	case r.placedBy == c.cfg.Self:
		c.marked(now, c.cfg.Self, Mark{ID: r.runID, First: took})
	case c.peers[r.placedBy] != nil:
		m := c.message(r.placedBy)
		m.Marks = append(m.Marks, Mark{ID: r.runID, First: took})
	}
}

// Finish ends the attempt of a request.
func (c *Core) Finish(now time.Time, id ident.Request, result Result) {
	r := c.requests[id]
	if r == nil {
		return
	}
	delete(c.requests, id)
	if r.ask != 0 {
		delete(c.asks, r.ask)
		m := c.message(r.to)
		m.Ends = append(m.Ends, End{ID: r.ask})
		return
	}
	if !r.running {
		return
	}
	delete(c.held, r.runID)
	r.at.engine.mine--
	r.at.engine.seen(now, result)
	c.tellEnd(now, r, End{ID: r.runID, Elapsed: result.Elapsed, Failed: result.Failed, NotRun: result.NotRun, Pause: result.Pause})
}

// tellEnd tells the daemon that keeps a request that it has left its target.
func (c *Core) tellEnd(now time.Time, r *request, end End) {
	switch {
	case r.placedBy == c.cfg.Self:
		c.ended(now, c.cfg.Self, end)
	case c.peers[r.placedBy] != nil:
		m := c.message(r.placedBy)
		m.Ends = append(m.Ends, end)
	}
}

// full is the refusal of a request that no target takes, with a time to come back.
func (c *Core) full(r *request) *resultcode.Failure {
	returned := ""
	if r.back {
		returned = ", and it was refused before"
	}
	code, alone := resultcode.FleetFull, ""
	if r.limit == LimitPrompt {
		code, alone = resultcode.ObjectiveUnmet, fmt.Sprintf("; the prompt alone takes %s", r.alone.Round(time.Millisecond))
	}
	f := resultcode.Fail(code, "%d targets asked, the shortest wait is %s%s%s", r.tried, r.least.Round(time.Millisecond), alone, returned)
	f.RetryAfter = c.comeBack(r)
	return f
}

const (
	// backLeast and backSpread are when refused callers are told to come back:
	// not before the backlog of an instant has gone, and spread out, so that those
	// refused in one burst do not return as another.
	backLeast  = 400 * time.Millisecond
	backSpread = 1200 * time.Millisecond
)

func (c *Core) comeBack(r *request) time.Duration {
	return max(backLeast, r.least) + time.Duration(c.rng.Float64()*float64(backSpread))
}
