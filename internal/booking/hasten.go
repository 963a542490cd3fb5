package booking

import "time"

// A workspace that begins to ask for much is told of at once where hubs add up, since what owners
// grant before they know of it is an overshoot.

const (
	// leastTell is the least interval at which a daemon tells.
	leastTell = 100 * time.Millisecond
	// worthHaste is how much more must be asked for at a daemon, as a part of what one workspace
	// may have of the fleet, for that to be told at once. Small workspaces stay below it.
	worthHaste = 0.01
)

// hasten brings the next word forward where a workspace asks for twice as much as was told.
func (c *Core) hasten(now time.Time, s *service, a *account) {
	soon := c.lastPublish.Add(leastTell)
	if c.group.hub == "" || !s.servesModel || s.rate <= 0 || !soon.Before(c.nextPublish) {
		return
	}
	scope := ScopeOwn
	if c.group.isHub(c.cfg.Self) {
		scope = ScopeFleet
	}
	told := a.published[scope].now(now).asked
	more := c.sumsOf(now, a, scope).asked - told
	if more > max(told, worthHaste*min(a.weight*s.shares.level, s.rate*decayTime.Seconds())) {
		c.nextPublish = soon
	}
}
