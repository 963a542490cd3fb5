package booking

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

const (
	// spareTaken and spareWait bound what a workspace above its share, or a late
	// request, may find on a target to be taken: half of the slots, and a backlog
	// that a request within its share hardly notices.
	spareTaken = 0.5
	spareWait  = 60 * time.Millisecond
	// slotReserve is the part of the slots that is not given away: a slot is free
	// a little later than its owner hears.
	slotReserve = 0.03
	// queueShare is how many plain requests may wait in a target, as a part of its
	// slots.
	queueShare = 1.0
)

// Receive takes a message of another daemon.
func (c *Core) Receive(now time.Time, from ident.Daemon, m Message) {
	p := c.peers[from]
	if p == nil || m.Incarnation != p.Incarnation {
		return
	}
	p.silent = time.Time{}
	if scope, ok := c.expects(from); ok && scope == m.Scope {
		for _, u := range m.Usage {
			c.takeUsage(now, from, u)
		}
		for _, l := range m.Loads {
			c.takeLoad(now, l)
		}
	}
	for _, mark := range m.Marks {
		c.marked(now, from, mark)
	}
	for _, end := range m.Ends {
		c.ended(now, from, end)
	}
	for _, a := range m.Asks {
		c.asked(now, from, a)
	}
	for _, reply := range m.Replies {
		c.answered(now, from, reply)
	}
	for _, id := range m.Ready {
		c.goOn(id)
	}
}

// asked answers an ask.
func (c *Core) asked(now time.Time, from ident.Daemon, a Ask) {
	reply := c.take(now, from, a)
	if a.Taken {
		return
	}
	m := c.message(from)
	m.Replies = append(m.Replies, reply)
}

func (c *Core) engine(service ident.Service, target ident.Target) *engine {
	if s := c.services[service]; s != nil {
		return s.engines[target]
	}
	return nil
}

// take decides whether a target takes a request, and notes it where it does.
func (c *Core) take(now time.Time, from ident.Daemon, a Ask) Reply {
	reply := Reply{ID: a.ID}
	e := c.engine(a.Service, a.Target)
	if e == nil || c.runs[runKey{from, a.ID}] != nil {
		return reply
	}
	if a.First {
		reply.Back = c.meet(now, e.service, &a)
	}
	kept := e.keeps(now, &a)
	if !e.shut(now) {
		reply.Kept = kept // nothing is copied from a target that fails
	}
	r := &run{ingress: from, id: a.ID, until: now.Add(forget)}
	r.shared, r.memory = memoryOf(&a)
	if n := len(a.Parts); n > 0 {
		r.own = Part{ID: a.Parts[n-1].ID, Tokens: r.memory}
	}
	r.work, r.fetch = e.service.reading(a.Prompt, kept, a.Elsewhere)
	if !a.Taken {
		reply.Limit = c.limit(now, e, a, r)
		e.service.shares.account(a.Workspace).tally.decided(a, reply.Limit)
	}
	if reply.Limit != LimitNone {
		reply.Wait = e.backlog(now) + e.overhead
		reply.Used = e.service.shareUsed(now, a.Workspace)
		if reply.Limit == LimitPrompt {
			reply.Alone = e.alone(r)
		}
		return reply
	}
	reply.Hold = e.holdBack(now, &a, r)
	c.accept(now, e, a, r)
	reply.OK, reply.Wait = true, r.expected.Sub(now)
	return reply
}

// meet takes in the first ask of a request, and tells whether it comes back. Only
// what is asked for the first time counts in its workspace's demand.
func (c *Core) meet(now time.Time, s *service, a *Ask) (back bool) {
	back = c.returns.meet(now, a.Parts, a.Prompt)
	a.Late = a.Late || back
	if !a.Late {
		account := s.shares.account(a.Workspace)
		account.own.asked.add(now, cost(*a))
		c.hasten(now, s, account)
	}
	return back
}

// accept notes a request on a target.
func (c *Core) accept(now time.Time, e *engine, a Ask, r *run) {
	r.read = a.Read
	e.add(now, r)
	c.runs[runKey{r.ingress, a.ID}] = r
	if !a.Taken && !a.Begun {
		r.workspace, r.granted = a.Workspace, cost(a)
		s := &e.service.shares
		s.grant(now, s.account(a.Workspace), r.granted)
	}
}

func cost(a Ask) float64 {
	r := Request{Prompt: a.Prompt, Output: a.Output}
	return r.Cost()
}

// limit is the decision about a request on a target: LimitNone lets it in.
func (c *Core) limit(now time.Time, e *engine, a Ask, r *run) Limit {
	switch {
	case !c.healthy(now, e):
		return LimitFailing
	case !e.fits(r):
		return LimitMemory
	case !e.hasSlot():
		return LimitSlots
	case !c.spareOnly(now, e, a):
		return c.limitOfTime(now, e, a, r)
	case e.taken() >= spareTaken || e.backlog(now) > spareWait:
		return LimitSpare
	case !e.service.shares.maySpare(now, a.Workspace, cost(a), e.service.rateOf(now)):
		return LimitShare
	}
	return LimitNone
}

// limitOfTime holds a request to its objective.
func (c *Core) limitOfTime(now time.Time, e *engine, a Ask, r *run) Limit {
	if e.service.model && e.alone(r) > a.Left {
		return LimitPrompt
	}
	wait := e.expect(now, r).Sub(now)
	most := time.Duration(c.headroom(now, e, a) * float64(a.Left))
	if wait > most && e.backlog(now) <= spareWait {
		most = a.Left // its own work alone takes longer than that
	}
	if wait > most {
		return LimitTime
	}
	return LimitNone
}

// headroom is the part of the time that is left which a request may use up. A
// workspace that has had its share leaves the rest of the time to those that have
// had less: where the targets give less than their stated rate, all are within
// their shares and the engines are full, and without it those who ask most have
// most (trunk reservation).
func (c *Core) headroom(now time.Time, e *engine, a Ask) float64 {
	if e.service.rate <= 0 || !e.service.model || a.Begun {
		return 1
	}
	return 1 - reserved*min(1, e.service.shareUsed(now, a.Workspace))
}

// reserved is the part of the time that a workspace at its share leaves to others.
const reserved = 0.45

// healthy tells whether a target takes requests as far as its failures go. Where
// all targets of a service fail alike, none is passed over: that would leave
// nothing, and fewer targets for the requests that succeed.
func (c *Core) healthy(now time.Time, e *engine) bool {
	usual := e.service.failures(now, e)
	if e.health.share(now) <= usual+failsMore {
		return true
	}
	return e.health.open(now)
}

// failsMore is how much larger a part of its requests a target must fail than the
// others of its service to be passed over.
const failsMore = 0.2

// failures is the mean part of requests that failed of late at the other targets.
func (s *service) failures(now time.Time, but *engine) float64 {
	sum, n := 0.0, 0
	for _, e := range s.order {
		switch {
		case e == but:
			continue
		case e.owned:
			sum += e.health.share(now)
		case now.Sub(e.heard) <= stale:
			sum += e.told.Failures
		}
		n++
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// spareOnly tells whether a request gets only what is spare.
func (c *Core) spareOnly(now time.Time, e *engine, a Ask) bool {
	if !e.service.model || a.Begun {
		return false
	}
	return a.Late || !e.service.shares.within(now, a.Workspace, cost(a), e.service.rateOf(now))
}

// hasSlot tells whether the target has a place. A plain one may have a few
// waiting, since its answers are short.
func (e *engine) hasSlot() bool {
	most := float64(e.Slots) * (1 - slotReserve)
	if !e.service.model {
		most = float64(e.Slots) * (1 + queueShare)
	}
	return float64(len(e.runs)) < most
}

// marked takes in the first byte of an answer.
func (c *Core) marked(now time.Time, from ident.Daemon, m Mark) {
	if r := c.runs[runKey{from, m.ID}]; r != nil {
		r.target.first(now, r, m.First)
		c.releaseBehind(now, r)
	}
}

// ended takes in that a request has left its target.
func (c *Core) ended(now time.Time, from ident.Daemon, end End) {
	key := runKey{from, end.ID}
	r := c.runs[key]
	if r == nil {
		return
	}
	delete(c.runs, key)
	if a := r.target.service.shares.accounts[r.workspace]; a != nil && end.unused() {
		a.unused.add(now, r.granted)
	}
	r.target.streamed(now, r, end)
	r.target.remove(now, r, end.Elapsed)
	c.releaseBehind(now, r)
	if end.Elapsed > 0 {
		r.target.health.ended(now, end.Failed)
	}
}

// seen takes in, at the ingress, how an attempt ended: a target that refuses
// connections is passed over at once and not when its owner tells.
func (e *engine) seen(now time.Time, result Result) {
	if e.owned || result.Elapsed == 0 {
		return // its owner's view is the same
	}
	e.health.ended(now, result.Failed)
}

// shut tells whether an ingress passes a target over.
func (e *engine) shut(now time.Time) bool { return now.Before(e.health.closed) }
