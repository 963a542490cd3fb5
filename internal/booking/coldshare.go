package booking

import (
	"cmp"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// Each group of daemons that reach one another owns all targets, so that a fleet which is cut into groups
// has as many owners of a target as there are groups, and none of them knows how many. The limit of a cold
// target is therefore divided among all daemons that may be alive, and an owner admits the parts of those
// that it reaches, its own included. However the fleet is cut, the parts of all groups add up to the limit.
//
// The daemons of a target's zone have most of the limit: a daemon elsewhere owns the target only if it
// reaches none of them. If there are none, or none elsewhere, the others have all of it.
//
// A daemon that falls silent counts as unreachable before it can own targets of this one, and one that is
// reachable again does not count as reached at once: what it has admitted as an owner may be on its way.
// It does for a target that has been proved warm since then.

const (
	// outsideFraction is what daemons outside of the target's zone have of its limit.
	outsideFraction = 1.0 / 16
	// defaultSilentAfter is the default of Config.SilentAfter.
	defaultSilentAfter = 3 * time.Second
	// settleTime is how long after a daemon has become an owner what its unreachable predecessor sent with a
	// larger share may arrive.
	settleTime = 300 * time.Millisecond
	// returnTime is how long after a daemon is reachable again others may still be unreachable, and count its
	// part, too.
	returnTime = time.Second
	// silentPeriodsToOwn is for how many times Config.SilentAfter a daemon is silent when others own its
	// targets.
	silentPeriodsToOwn = 2
	// shareRounding makes up for rounding errors of shares that add up to one.
	shareRounding = 1e-9
)

// Unreachable is another daemon that may be alive although nothing arrives from it.
type Unreachable struct {
	ID   ident.Daemon
	Zone ident.Zone
	// Until is when it no longer counts.
	Until time.Time
}

// silentDaemon is an Unreachable that may own targets of others from a time on: when it last answered, it
// had received messages of this daemon.
type silentDaemon struct {
	Unreachable
	from time.Time
}

// reach is what is known of the daemons that may own targets beside this one.
type reach struct {
	// unreachable are the daemons from which nothing arrives, returned those that have lately become
	// reachable again or are known to have ended, until the given times.
	unreachable, returned map[ident.Daemon]silentDaemon
	// shares holds the results of coldShare until validUntil.
	shares     map[ident.Zone]float64
	validUntil time.Time
	// rule is shareOf, or another rule to compare it with.
	rule func(inside, outside census) float64
}

// census counts the daemons on one side of the border of a zone.
type census struct{ reached, all int }

// fraction is the part of the daemons that is reached.
func (c census) fraction() float64 { return float64(c.reached) / float64(c.all) }

// SetUnreachable replaces the list of the daemons that may be alive although they are unreachable. It is
// called before SetPeers when both change.
func (c *Core) SetUnreachable(now time.Time, list []Unreachable) {
	present := make(map[ident.Daemon]silentDaemon, len(list))
	for _, u := range list {
		d := silentDaemon{u, c.reach.unreachable[u.ID].from}
		if p := c.peers[u.ID]; p != nil {
			d.from = laterOf(d.from, p.reachedAt.Add(silentPeriodsToOwn*c.silentAfter()))
		}
		present[u.ID] = d
	}
	for id, u := range c.reach.unreachable {
		if _, still := present[id]; !still && now.Before(u.Until) {
			u.Until = now.Add(newOwnerTime)
			c.reach.returned[id] = u
		}
	}
	c.reach.unreachable = present
	c.reach.forgetShares()
}

func newReach() reach {
	return reach{
		unreachable: map[ident.Daemon]silentDaemon{}, returned: map[ident.Daemon]silentDaemon{},
		shares: map[ident.Zone]float64{}, rule: shareOf,
	}
}

// forgetShares makes the shares be derived anew.
func (r *reach) forgetShares() { r.validUntil = time.Time{} }

// coldShare returns the part of the limit of cold targets in a zone that this daemon may admit if it owns
// them.
func (c *Core) coldShare(now time.Time, zone ident.Zone) float64 {
	r := &c.reach
	if len(r.unreachable)+len(r.returned) == 0 {
		return 1
	}
	if !now.Before(r.validUntil) {
		clear(r.shares)
		r.expire(now)
	}
	share, known := r.shares[zone]
	if !known {
		share = r.rule(c.countReach(now, zone, r.returned))
		r.shares[zone] = share
	}
	return share
}

// warmShare returns the part of the limit of a target that seems warm that this daemon may admit as its
// owner.
func (c *Core) warmShare(now time.Time, e *engine) float64 {
	unsettled := map[ident.Daemon]silentDaemon{}
	for id, u := range c.reach.returned {
		if returnedAt := u.Until.Add(-newOwnerTime); now.Before(u.Until) && !e.warmth.provenAt.After(returnedAt.Add(returnTime)) {
			unsettled[id] = u
		}
	}
	if len(unsettled) == len(c.reach.returned) {
		return c.coldShare(now, e.Zone)
	}
	return c.reach.rule(c.countReach(now, e.Zone, unsettled))
}

// expire forgets the daemons that no longer count, and sets validUntil to when the next one changes.
func (r *reach) expire(now time.Time) {
	r.validUntil = now.Add(time.Hour)
	for _, list := range []map[ident.Daemon]silentDaemon{r.unreachable, r.returned} {
		for id, u := range list {
			switch {
			case !now.Before(u.Until):
				delete(list, id)
			case now.Before(u.from):
				r.validUntil = earlierOf(r.validUntil, u.from)
			default:
				r.validUntil = earlierOf(r.validUntil, u.Until)
			}
		}
	}
}

// countReach counts the daemons in a zone and elsewhere. Those in a graceful shutdown own nothing and do
// not count.
func (c *Core) countReach(now time.Time, zone ident.Zone, returned map[ident.Daemon]silentDaemon) (inside, outside census) {
	count := func(z ident.Zone, reached bool) {
		side := &outside
		if z == zone {
			side = &inside
		}
		side.all++
		if reached {
			side.reached++
		}
	}
	if !c.leaving {
		count(c.cfg.Zone, true)
	}
	silent := c.reach.unreachable
	for id, p := range c.peers {
		_, isSilent := silent[id]
		_, hasReturned := returned[id]
		if !p.Leaving && !isSilent && !hasReturned {
			count(p.Zone, true)
		}
	}
	for id, u := range returned {
		if _, isSilent := silent[id]; !isSilent {
			count(u.Zone, false)
		}
	}
	for _, u := range silent {
		count(u.Zone, now.Before(u.from))
	}
	return inside, outside
}

// shareOf returns the part of a limit that belongs to the reached daemons.
func shareOf(inside, outside census) float64 {
	switch {
	case inside.all+outside.all == 0:
		return 1
	case inside.all == 0:
		return outside.fraction()
	case outside.all == 0:
		return inside.fraction()
	}
	return (1-outsideFraction)*inside.fraction() + outsideFraction*outside.fraction()
}

// partOf returns the share of a number of requests. It may be zero unless the share is one.
func partOf(n int, share float64) int {
	if share >= 1 {
		return max(1, n)
	}
	return int(share*float64(n) + shareRounding)
}

// noteProgress detects that this daemon has stood still for so long that others may own its targets: it
// is a new owner of all of them until heartbeats show which daemons are alive.
func (c *Core) noteProgress(now time.Time) {
	silentAfter := c.silentAfter()
	if !c.lastProgress.IsZero() && now.Sub(c.lastProgress) >= silentAfter {
		c.stoodStillUntil = now.Add(silentAfter + newOwnerTime)
	}
	c.lastProgress = now
}

func (c *Core) silentAfter() time.Duration { return cmp.Or(c.cfg.SilentAfter, defaultSilentAfter) }
