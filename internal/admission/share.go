package admission

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/limit"
)

// SetDaemons tells which daemons are live, this one among them, sorted by name.
// It keeps the list.
func (c *Controller) SetDaemons(now time.Time, daemons []ident.Daemon) {
	c.daemons = daemons
	for _, w := range c.workspaces {
		w.share.SetDaemons(now, daemons)
	}
}

// Tell returns what the other daemons have to know of a workspace's limits, and
// whether it differs from what they were told before. It is called once in each
// interval of the exchange, with the number of requests that wait or run here.
func (c *Controller) Tell(now time.Time, ws ident.Workspace, inFlight int) (limit.News, bool) {
	return c.workspaces[ws].share.Tell(now, inFlight)
}

// Spoke tells whether another daemon may know anything of a workspace's limits.
func (c *Controller) Spoke(ws ident.Workspace) bool { return c.workspaces[ws].share.Spoke() }

// Hear takes in what another daemon told of a workspace.
func (c *Controller) Hear(now time.Time, from ident.Daemon, ws ident.Workspace, n limit.News) {
	if w := c.workspaces[ws]; w != nil {
		w.share.Hear(now, from, n)
	}
}

// Forget drops what an incarnation of another daemon told.
func (c *Controller) Forget(now time.Time, id ident.Daemon) {
	for _, w := range c.workspaces {
		w.share.Forget(now, id)
	}
}
