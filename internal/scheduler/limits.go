package scheduler

import (
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/admission"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/limit"
)

// newAdmission returns the admission of a service that is new here.
func (c *Core) newAdmission() *admission.Controller {
	a := admission.New(admission.Config{Limit: limit.Config{Self: c.cfg.Self, Exchange: c.cfg.Exchange}})
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

// divideLimits divides the workspaces' own limits among the daemons known now.
func (c *Core) divideLimits(now time.Time) {
	ids := c.daemons()
	for _, s := range c.services {
		s.admission.SetDaemons(now, ids)
	}
}

// forgetLimits drops what an incarnation that is gone told.
func (c *Core) forgetLimits(now time.Time, id ident.Daemon) {
	for _, s := range c.services {
		s.admission.Forget(now, id)
	}
}

// sendLimits tells all peers what is asked of the limits of the workspaces that
// have any, where that has changed or a peer may have lost it.
func (c *Core) sendLimits(now time.Time, s *service) {
	var changed, all []Limit
	for _, w := range s.order {
		news, differs := s.admission.LimitReport(now, w.Name, w.waiting()+w.running)
		row := Limit{Service: s.name, Workspace: w.Name, News: news}
		if differs {
			changed = append(changed, row)
		}
		if s.admission.HasReported(w.Name) {
			all = append(all, row)
		}
	}
	for id, p := range c.peers {
		list := changed
		if p.full {
			list = all
		}
		if len(list) > 0 {
			m := c.message(id)
			m.Limits = append(m.Limits, list...)
		}
	}
}
