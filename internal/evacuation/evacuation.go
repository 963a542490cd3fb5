// Package evacuation knows which availability zones the operator has evacuated: nothing more may
// be sent to their targets. It does no I/O and takes time as an argument.
//
// What is known stays in force while the store is out of reach. A store that comes back from a
// backup may lack an evacuation that it has acknowledged; known ones are therefore kept for
// RetentionAfterRestore, within which the operator writes them again.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// RetentionAfterRestore is how long an evacuation that a restored store lacks stays in force.
const RetentionAfterRestore = 5 * time.Second

// Zones is an immutable snapshot of the evacuated zones. The zero Zones has none.
type Zones struct {
	since, ended map[ident.Zone]time.Time
}

// Contains reports whether a zone is evacuated.
func (z Zones) Contains(zone ident.Zone) bool {
	_, evacuated := z.since[zone]
	return evacuated
}

// EndedAt returns when this daemon learned that the last evacuation of a zone has ended; zero if it
// knows of none.
func (z Zones) EndedAt(zone ident.Zone) time.Time { return z.ended[zone] }

// Since returns, for each evacuated zone, when this daemon learned of the evacuation.
func (z Zones) Since() map[ident.Zone]time.Time { return z.since }

// State follows the operator's changes. It is not safe for concurrent use.
type State struct {
	zones Zones
	// retained are the zones that the restored store lacks, with the time until which their
	// evacuations stay in force.
	retained map[ident.Zone]time.Time
	// restoredAt is when the store was restored, until the next Replace; zero if it was not.
	restoredAt time.Time
}

// NewState returns a State without evacuated zones.
func NewState() *State { return &State{retained: map[ident.Zone]time.Time{}} }

// Zones returns the evacuated zones.
func (s *State) Zones() Zones { return s.zones }

// Begin records that a zone is evacuated, and reports whether that is new.
func (s *State) Begin(now time.Time, zone ident.Zone) bool {
	delete(s.retained, zone)
	if s.zones.Contains(zone) {
		return false
	}
	s.zones = Zones{since: maps.Clone(s.zones.since), ended: s.zones.ended}
	if s.zones.since == nil {
		s.zones.since = map[ident.Zone]time.Time{}
	}
	s.zones.since[zone] = now
	return true
}

// End records that the evacuation of a zone has ended, and reports whether it was known.
func (s *State) End(now time.Time, zone ident.Zone) bool {
	delete(s.retained, zone)
	if !s.zones.Contains(zone) {
		return false
	}
	s.zones = Zones{since: maps.Clone(s.zones.since), ended: maps.Clone(s.zones.ended)}
	if s.zones.ended == nil {
		s.zones.ended = map[ident.Zone]time.Time{}
	}
	delete(s.zones.since, zone)
	s.zones.ended[zone] = now
	return true
}

// StoreRestored records that the store was restored from a backup, whose rows are passed to Replace
// next.
func (s *State) StoreRestored(now time.Time) { s.restoredAt = now }

// Replace applies the complete list of evacuated zones. It returns the zones whose evacuations have
// begun and ended by it, in order.
func (s *State) Replace(now time.Time, listed []ident.Zone) (begun, ended []ident.Zone) {
	for _, zone := range listed {
		if s.Begin(now, zone) {
			begun = append(begun, zone)
		}
	}
	for _, zone := range s.evacuated() {
		if slices.Contains(listed, zone) {
			continue
		}
		if !s.restoredAt.IsZero() {
			s.retained[zone] = s.restoredAt.Add(RetentionAfterRestore)
		}
		if now.Before(s.retained[zone]) {
			continue
		}
		s.End(now, zone)
		ended = append(ended, zone)
	}
	s.restoredAt = time.Time{}
	slices.Sort(begun)
	return begun, ended
}

// Expire ends the evacuations that the restored store has lacked for RetentionAfterRestore. It
// returns them in order, and when the next one is due; zero if none is.
func (s *State) Expire(now time.Time) (ended []ident.Zone, next time.Time) {
	for _, zone := range slices.Sorted(maps.Keys(s.retained)) {
		due := s.retained[zone]
		switch {
		case !now.Before(due):
			s.End(now, zone)
			ended = append(ended, zone)
		case next.IsZero() || due.Before(next):
			next = due
		}
	}
	return ended, next
}

func (s *State) evacuated() []ident.Zone { return slices.Sorted(maps.Keys(s.zones.since)) }
