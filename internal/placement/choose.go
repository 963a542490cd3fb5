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

// prefixSlack is how much fuller, as a part of its limit, a target that holds
// the prefix may be than the emptiest one. A quarter keeps a hot prefix on its
// target in ordinary times and spreads it as soon as that one fills up.
const prefixSlack = 0.25

// Choose returns the free target that is to take a request: one of the own zone
// where there is one, among these the emptiest in proportion to its limit, or
// one that holds the prompt's prefix and is not much fuller. It returns false
// where none is usable. Prefix zero means no hint. The order of free decides
// between equals.
func (t *Table) Choose(now time.Time, free []Free, prefix uint64) (ident.Target, bool) {
	best := t.emptiest(free)
	if best == nil {
		return "", false
	}
	if prefix != 0 {
		if holder := t.holder(free, best, prefix); holder != nil {
			best = holder
		}
		best.entry.prefixes.add(prefix, now)
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

// holder returns the emptiest target that holds the prefix, is in the same zone
// as the best one and at most prefixSlack fuller.
func (t *Table) holder(free []Free, best *candidate, prefix uint64) *candidate {
	var found *candidate
	for _, f := range free {
		c := t.candidate(f)
		if c == nil || c.local != best.local || c.load > best.load+prefixSlack || !c.entry.prefixes.has(prefix) {
			continue
		}
		if found == nil || c.load < found.load {
			found = c
		}
	}
	return found
}

// CacheStored takes in that a target says it holds a prefix, CacheEvicted that
// it does so no longer. The events are late and have gaps: they only shift a
// hint.
func (t *Table) CacheStored(now time.Time, name ident.Target, prefix uint64) {
	if e := t.targets[name]; e != nil {
		e.prefixes.add(prefix, now)
	}
}

// CacheEvicted is the counterpart of CacheStored.
func (t *Table) CacheEvicted(name ident.Target, prefix uint64) {
	if e := t.targets[name]; e != nil {
		e.prefixes.remove(prefix)
	}
}

// Holds tells whether a target is thought to hold a prefix.
func (t *Table) Holds(name ident.Target, prefix uint64) bool {
	e := t.targets[name]
	return e != nil && e.prefixes.has(prefix)
}

// prefixSet remembers the prefixes that were used last.
type prefixSet struct {
	most int
	used map[uint64]time.Time
}

func newPrefixSet(most int) prefixSet {
	return prefixSet{most: most, used: map[uint64]time.Time{}}
}

func (s *prefixSet) has(prefix uint64) bool {
	_, ok := s.used[prefix]
	return ok
}

func (s *prefixSet) remove(prefix uint64) { delete(s.used, prefix) }

func (s *prefixSet) add(prefix uint64, now time.Time) {
	if len(s.used) >= s.most && !s.has(prefix) {
		s.dropOldest()
	}
	s.used[prefix] = now
}

// dropOldest makes room by an eighth, so that its scan is paid for by many
// additions.
func (s *prefixSet) dropOldest() {
	oldest, newest := s.span()
	cutoff := oldest.Add(newest.Sub(oldest) / 8)
	for p, at := range s.used {
		if !at.After(cutoff) {
			delete(s.used, p)
		}
	}
}

func (s *prefixSet) span() (oldest, newest time.Time) {
	for _, at := range s.used {
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
		if at.After(newest) {
			newest = at
		}
	}
	return oldest, newest
}
