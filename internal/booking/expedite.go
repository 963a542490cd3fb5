package booking

import "time"

// Where hubs aggregate demand, a steep rise of a workspace's demand is reported early, since
// owners overshoot the workspace's share until they know of it.

const (
	// minReportInterval is the minimum interval between two reports of a daemon.
	minReportInterval = 100 * time.Millisecond
	// urgentDemandShare is the minimum rise of a workspace's demand at a daemon that triggers
	// an early report, as a fraction of what one workspace may have of the fleet. Small
	// workspaces stay below it.
	urgentDemandShare = 0.01
)

// expediteReport brings the next report forward if a workspace's demand has doubled since the
// last one.
func (c *Core) expediteReport(now time.Time, s *service, a *account) {
	earliest := c.lastPublish.Add(minReportInterval)
	if c.group.hub == "" || !s.servesModel || s.rate <= 0 || !earliest.Before(c.nextPublish) {
		return
	}
	scope := ScopeOwn
	if c.group.isHub(c.cfg.Self) {
		scope = ScopeFleet
	}
	reported := a.published[scope].now(now).asked
	increase := c.sumsOf(now, a, scope).asked - reported
	if increase > max(reported, urgentDemandShare*min(a.weight*s.shares.level, s.rate*decayTime.Seconds())) {
		c.nextPublish = earliest
	}
}
