package scheduler

import (
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/admission"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/limit"
)

// newAdmission returns the admission controller for a new service.
func (c *Core) newAdmission() *admission.Controller {
	a := admission.New(admission.Config{Limit: limit.Config{Self: c.cfg.Self, ExchangeInterval: c.cfg.ExchangeInterval}})
	a.SetDaemons(time.Time{}, c.daemons())
	return a
}

// daemons lists this daemon and its peers by name.
func (c *Core) daemons() []ident.Daemon {
	ids := []ident.Daemon{c.cfg.Self}
	for id := range c.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// divideLimits divides the limits of the workspaces among the daemons known now.
func (c *Core) divideLimits(now time.Time) {
	ids := c.daemons()
	for _, s := range c.services {
		s.admission.SetDaemons(now, ids)
	}
}

// forgetLimits drops the usage that a departed incarnation reported.
func (c *Core) forgetLimits(now time.Time, id ident.Daemon) {
	for _, s := range c.services {
		s.admission.Forget(now, id)
	}
}

// sendLimits reports the usage of workspaces with limits to all peers, if it has
// changed or if a peer may have lost it.
func (c *Core) sendLimits(now time.Time, s *service) {
	var changed, all []LimitUsage
	for _, w := range s.sortedWorkspaces {
		usage, differs := s.admission.LimitReport(now, w.Name, w.waiting()+w.running)
		update := LimitUsage{Service: s.name, Workspace: w.Name, Report: usage}
		if differs {
			changed = append(changed, update)
		}
		if s.admission.HasReported(w.Name) {
			all = append(all, update)
		}
	}
	for id, p := range c.peers {
		list := changed
		if p.needsFullUpdate {
			list = all
		}
		if len(list) > 0 {
			m := c.messageTo(id)
			m.Limits = append(m.Limits, list...)
		}
	}
}
