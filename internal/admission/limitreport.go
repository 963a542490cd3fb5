package admission

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/limit"
)

// SetDaemons sets the live daemons, including this one, sorted by name. It
// retains the slice.
func (c *Controller) SetDaemons(now time.Time, daemons []ident.Daemon) {
	c.daemons = daemons
	for _, w := range c.workspaces {
		w.share.SetDaemons(now, daemons)
	}
}

// LimitReport returns what the other daemons need to know about a workspace's
// limits, and whether it differs from the last report. It is called once per
// exchange interval with the number of requests waiting or running at this
// daemon.
func (c *Controller) LimitReport(now time.Time, ws ident.Workspace, inFlight int) (limit.Report, bool) {
	return c.workspaces[ws].share.EndInterval(now, inFlight)
}

// HasReported reports whether other daemons may hold a report about a
// workspace's limits.
func (c *Controller) HasReported(ws ident.Workspace) bool {
	return c.workspaces[ws].share.HasReported()
}

// MergeLimitReport applies another daemon's report about a workspace.
func (c *Controller) MergeLimitReport(now time.Time, from ident.Daemon, ws ident.Workspace, n limit.Report) {
	if w := c.workspaces[ws]; w != nil {
		w.share.MergeReport(now, from, n)
	}
}

// Forget discards the reports of another daemon whose incarnation has ended.
func (c *Controller) Forget(now time.Time, id ident.Daemon) {
	for _, w := range c.workspaces {
		w.share.Forget(now, id)
	}
}
