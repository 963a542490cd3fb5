package placement

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// FreeTarget is a target with a free slot.
type FreeTarget struct {
	Target ident.Target
	// InFlight is the number of requests on the target.
	InFlight int
}

// Choose returns the free target to send a request to. Targets in the daemon's
// own availability zone are preferred, and among these the one with the lowest
// load relative to its limit; ties are broken by the order of free. It returns
// false if no target is usable.
func (t *Table) Choose(free []FreeTarget) (ident.Target, bool) {
	best := t.leastLoaded(free)
	if best == nil {
		return "", false
	}
	return best.entry.Name, true
}

// candidate is a usable free target.
type candidate struct {
	entry *entry
	load  float64
	local bool
}

func (t *Table) candidate(f FreeTarget) *candidate {
	limit := t.Limit(f.Target)
	if f.InFlight >= limit {
		return nil
	}
	e := t.targets[f.Target]
	return &candidate{entry: e, load: float64(f.InFlight) / float64(limit), local: e.Zone == t.cfg.Zone}
}

func (t *Table) leastLoaded(free []FreeTarget) *candidate {
	var best *candidate
	for _, f := range free {
		c := t.candidate(f)
		if c == nil {
			continue
		}
		if best == nil || c.local && !best.local || c.local == best.local && c.load < best.load {
			best = c
		}
	}
	return best
}

// RecordPlacement records that this daemon placed a prefix on a target.
func (t *Table) RecordPlacement(now time.Time, name ident.Target, prefix uint64) {
	if e := t.targets[name]; e != nil {
		e.recordPlacement(prefix, now)
	}
}

// HoldsPrefix reports whether a target probably holds a prefix.
func (t *Table) HoldsPrefix(name ident.Target, prefix uint64) bool {
	e := t.targets[name]
	return e != nil && e.holdsPrefix(prefix)
}
