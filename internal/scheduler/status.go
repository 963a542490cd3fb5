package scheduler

import (
	"sort"

	"github.com/savorystall/savorystall/internal/admin"
)

// Status describes the queues and targets for operators. Workspaces without
// activity at this daemon are left out: thousands of them would hide the others.
func (c *Core) Status() ([]admin.Queue, []admin.Target) {
	var queues []admin.Queue
	var targets []admin.Target
	running := map[*workspace]int{}
	for _, r := range c.requests {
		if s := c.services[r.Service]; r.running && s != nil && s.workspaces[r.Workspace] != nil {
			running[s.workspaces[r.Workspace]]++
		}
	}
	for _, s := range c.services {
		for _, w := range s.sortedWorkspaces {
			q := admin.Queue{
				Service: s.name, Workspace: w.Name, Running: running[w],
				Served: s.ledger.LocalService(w.Name), Weight: w.Weight, Lead: s.ledger.Lead(w.Name),
			}
			for class := range q.Waiting {
				q.Waiting[class] = w.queue.LenClass(uint8(class))
			}
			if q.Running > 0 || q.Served > 0 || w.waiting() > 0 {
				queues = append(queues, q)
			}
		}
		for _, t := range s.targets {
			targets = append(targets, admin.Target{
				Service: s.name, Target: t.Name, Zone: t.Zone, State: t.state(),
				Slots: t.Slots, Running: len(t.grants), Owner: c.ownerOf(t),
			})
		}
	}
	sort.Slice(queues, func(i, j int) bool {
		a, b := queues[i], queues[j]
		return a.Service < b.Service || a.Service == b.Service && a.Workspace < b.Workspace
	})
	sort.Slice(targets, func(i, j int) bool {
		a, b := targets[i], targets[j]
		return a.Service < b.Service || a.Service == b.Service && a.Target < b.Target
	})
	return queues, targets
}

func (t *target) state() string { return string(t.service.placement.State(t.Name)) }
