package booking

import "time"

// A request is held back while its target performs the prefill of the same shared prefix for
// another request.
//
// Load pattern: requests of one session arrive in bursts. The prefill of the first one's prefix
// of 13,000 tokens takes an engine 268 ms, and the prefix is cached only after that. A second
// request that is admitted meanwhile finds nothing cached and repeats the whole prefill, as do
// a third and a fourth, one after the other. The slower the engine and the longer the shared
// prefixes, the more this costs.
//
// A held request reserves its slot at once, so that no other request gets it, and waits at its
// ingress. The owner notifies the ingress when the first byte of the preceding request has
// arrived or that request has left. If the notification is lost, the request is sent after a
// timeout. Its target processes prompts in order of arrival, so the request would have waited
// as long there.

const (
	// minHoldPrefill is the minimum prefill time to be saved for a request to be held: half of
	// a chunk of 2,048 tokens on an engine of 50 tokens/ms. Each hold costs a message between
	// daemons.
	minHoldPrefill = 20 * time.Millisecond
	// holdSlack and minHoldSlack are by how much the preceding request may exceed its expected
	// time, as a fraction of that time and in addition to it, before the held request is sent
	// anyway.
	holdSlack    = 0.5
	minHoldSlack = 20 * time.Millisecond
)

// holdDeadline is the time until which a request is held.
type holdDeadline struct {
	runID uint64
	at    time.Time
}

// holdFor returns the maximum time for which a request is to be held, and records the request
// that it waits for. The hold ends before the answer would certainly be late.
func (e *engine) holdFor(now time.Time, res *Reservation, r *run) time.Duration {
	if res.Running || !e.service.servesModel {
		return 0
	}
	prefillRun, tokens := e.cache.pendingPrefill(r.shared)
	if prefillRun == nil || e.pace.duration(float64(tokens)) < minHoldPrefill {
		return 0
	}
	remaining := max(0, prefillRun.expected.Sub(now))
	hold := remaining + time.Duration(holdSlack*float64(remaining)) + minHoldSlack
	hold = min(hold, res.Remaining-e.overhead-e.prefillTime(r))
	if hold <= 0 {
		return 0
	}
	r.heldBehind = prefillRun
	return hold
}

// releaseHeld notifies the ingresses of requests held for a predecessor that they can be sent.
func (c *Core) releaseHeld(now time.Time, predecessor *run) {
	for _, r := range predecessor.target.runs {
		if r.heldBehind != predecessor {
			continue
		}
		r.heldBehind = nil
		if r.ingress == c.cfg.Self {
			c.dispatchHeld(r.id)
			continue
		}
		if c.peers[r.ingress] != nil {
			m := c.messageTo(r.ingress)
			m.Ready = append(m.Ready, r.id)
		}
	}
}

// holdRequest holds a request of this ingress.
func (c *Core) holdRequest(now time.Time, r *request, limit time.Duration) {
	c.held[r.runID] = r
	at := now.Add(limit)
	i := len(c.holds)
	for i > 0 && c.holds[i-1].at.After(at) {
		i--
	}
	c.holds = append(c.holds, holdDeadline{})
	copy(c.holds[i+1:], c.holds[i:])
	c.holds[i] = holdDeadline{runID: r.runID, at: at}
}

// dispatchHeld sends a held request to its target. It does nothing if the request is not held
// any more.
func (c *Core) dispatchHeld(runID uint64) {
	r := c.held[runID]
	if r == nil {
		return
	}
	delete(c.held, runID)
	c.emit(r.dispatch)
}

// expireHolds sends the requests whose holds have expired.
func (c *Core) expireHolds(now time.Time) {
	for len(c.holds) > 0 && !now.Before(c.holds[0].at) {
		c.dispatchHeld(c.holds[0].runID)
		c.holds = c.holds[1:]
	}
}

// nextHoldExpiry returns when the next hold expires.
func (c *Core) nextHoldExpiry() (time.Time, bool) {
	for len(c.holds) > 0 && c.held[c.holds[0].runID] == nil {
		c.holds = c.holds[1:]
	}
	if len(c.holds) == 0 {
		return time.Time{}, false
	}
	return c.holds[0].at, true
}
