package scheduler

import "github.com/savorystall/savorystall/internal/ident"

// Load summarizes one service at this daemon.
type Load struct {
	Service ident.Service
	// Waiting and Running count the requests of this daemon's callers.
	Waiting, Running int
	// Slots counts the slots of the owned targets, and InUse those in use.
	Slots, InUse int
	// FairnessGap is the largest difference in virtual time between two backlogged
	// workspaces, as this daemon sees the fleet, in units divided by weight.
	FairnessGap float64
}

// Loads returns the load of each service.
func (c *Core) Loads() []Load {
	running := map[ident.Service]int{}
	for _, r := range c.requests {
		if r.running {
			running[r.Service]++
		}
	}
	var loads []Load
	for _, s := range c.services {
		load := Load{Service: s.name, Running: running[s.name]}
		var low, high float64
		first := true
		for _, w := range s.sortedWorkspaces {
			waiting := w.waiting()
			load.Waiting += waiting
			if waiting == 0 && w.remoteWaiting() == 0 {
				continue
			}
			lead := s.ledger.Lead(w.Name)
			if first {
				low, high, first = lead, lead, false
			}
			low, high = min(low, lead), max(high, lead)
		}
		load.FairnessGap = high - low
		for _, t := range s.owned {
			load.Slots += t.limit()
			load.InUse += len(t.grants)
		}
		loads = append(loads, load)
	}
	return loads
}

// OwnedTargets returns the targets whose slots this daemon grants.
func (c *Core) OwnedTargets() map[ident.Service]map[ident.Target]bool {
	owned := make(map[ident.Service]map[ident.Target]bool, len(c.services))
	for _, s := range c.services {
		owned[s.name] = make(map[ident.Target]bool, len(s.owned))
		for _, t := range s.owned {
			owned[s.name][t.Name] = true
		}
	}
	return owned
}
