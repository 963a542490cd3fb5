package booking

import "time"

// A request whose shared part its target is just reading for another one is held back
// until that has been read.
//
// Load pattern: requests of one session come in bursts. The first one's part of 13,000
// tokens takes an engine 268 ms to read, and only then it is kept: a second one that comes
// meanwhile is admitted, finds nothing kept, and has all of it read once more, as do a
// third and a fourth, one after the other. It counts the more the slower an engine reads and the
// longer the shared parts are.
//
// The request takes its place at once, so that nobody else gets it, and waits at its
// ingress. The owner tells when the first byte of the one before has come, or that it has
// left; should that word be lost, the request goes after a time of its own. Its target reads
// prompts in order of arrival, so that it would have waited as long there.

const (
	// leastHold is the reading that must be saved for a request to be held back: half of a
	// chunk of 2,048 tokens on an engine of 50 tokens a ms. Each holding back takes a word
	// between daemons.
	leastHold = 20 * time.Millisecond
	// holdSlack is by how much longer than expected the request before may take, as a part
	// of that time and beyond it, before the one held back goes all the same.
	holdSlack      = 0.5
	holdSlackLeast = 20 * time.Millisecond
)

// heldUntil is until when a request is held back.
type heldUntil struct {
	run uint64
	at  time.Time
}

// holdBack returns for how long at most a request is to be held back, and notes for which
// one. It ends before the answer would be late for sure.
func (e *engine) holdBack(now time.Time, a *Reservation, r *run) time.Duration {
	if a.Running || !e.service.servesModel {
		return 0
	}
	reader, tokens := e.kept.reading(r.shared)
	if reader == nil || e.pace.of(float64(tokens)) < leastHold {
		return 0
	}
	left := max(0, reader.expected.Sub(now))
	hold := left + time.Duration(holdSlack*float64(left)) + holdSlackLeast
	hold = min(hold, a.Remaining-e.overhead-e.reads(r))
	if hold <= 0 {
		return 0
	}
	r.heldBehind = reader
	return hold
}

// releaseBehind tells those who hold requests back for another one that it is over.
func (c *Core) releaseBehind(now time.Time, before *run) {
	for _, r := range before.target.runs {
		if r.heldBehind != before {
			continue
		}
		r.heldBehind = nil
		if r.ingress == c.cfg.Self {
			c.goOn(r.id)
			continue
		}
		if c.peers[r.ingress] != nil {
			m := c.messageTo(r.ingress)
			m.Ready = append(m.Ready, r.id)
		}
	}
}

// hold holds a request of this ingress back.
func (c *Core) hold(now time.Time, r *request, most time.Duration) {
	c.held[r.runID] = r
	at := now.Add(most)
	i := len(c.holds)
	for i > 0 && c.holds[i-1].at.After(at) {
		i--
	}
	c.holds = append(c.holds, heldUntil{})
	copy(c.holds[i+1:], c.holds[i:])
	c.holds[i] = heldUntil{run: r.runID, at: at}
}

// goOn sends a request that is held back to its target; one that is not, or that has left,
// is passed over.
func (c *Core) goOn(run uint64) {
	r := c.held[run]
	if r == nil {
		return
	}
	delete(c.held, run)
	c.emit(r.dispatch)
}

// endHolds sends those that were held back for long enough.
func (c *Core) endHolds(now time.Time) {
	for len(c.holds) > 0 && !now.Before(c.holds[0].at) {
		c.goOn(c.holds[0].run)
		c.holds = c.holds[1:]
	}
}

// nextHold returns when the next request is to go that is held back until then.
func (c *Core) nextHold() (time.Time, bool) {
	for len(c.holds) > 0 && c.held[c.holds[0].run] == nil {
		c.holds = c.holds[1:]
	}
	if len(c.holds) == 0 {
		return time.Time{}, false
	}
	return c.holds[0].at, true
}
