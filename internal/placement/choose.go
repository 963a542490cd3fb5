package placement

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// Free is a target with a free slot.
type Free struct {
	Target ident.Target
	// InFlight counts the requests on it.
	InFlight int
}

// Choose returns the free target that is to take a request: one of the own zone
// where there is one, among these the emptiest in proportion to its limit. It
// returns false where none is usable. The order of free decides between equals.
func (t *Table) Choose(free []Free) (ident.Target, bool) {
	best := t.emptiest(free)
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

func (t *Table) candidate(f Free) *candidate {
	limit := t.Limit(f.Target)
	if f.InFlight >= limit {
		return nil
	}
	e := t.targets[f.Target]
	return &candidate{entry: e, load: float64(f.InFlight) / float64(limit), local: e.Zone == t.cfg.Zone}
}

func (t *Table) emptiest(free []Free) *candidate {
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

// CacheStored takes in that a prefix was placed on a target from here.
func (t *Table) CacheStored(now time.Time, name ident.Target, prefix uint64) {
	if e := t.targets[name]; e != nil {
		e.placed(prefix, now)
	}
}

// Holds tells whether a target is thought to hold a prefix.
func (t *Table) Holds(name ident.Target, prefix uint64) bool {
	e := t.targets[name]
	return e != nil && e.holds(prefix)
}
