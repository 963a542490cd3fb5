package booking_test

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

func (s *sim) placeByPolicy(d *daemon, j *job) {
	target := s.policy(s, j)
	if target == "" {
		delete(d.jobs, j.ID)
		s.tallies[j.Workspace].refused++
		return
	}
	s.dispatch(d, j, target)
}

// leastLoaded sends every request to the engine with the fewest requests, by its exact state,
// and refuses none.
func leastLoaded(s *sim, _ *job) ident.Target {
	var best *engine
	for _, t := range s.service.Targets {
		e := s.engines[t.Name]
		if best == nil || e.slotsUsed+len(e.waiting) < best.slotsUsed+len(best.waiting) {
			best = e
		}
	}
	return best.spec.Name
}

// omniscient sends a request to the engine that would answer it first, by the true state of all
// engines and their caches, and refuses requests that would be late.
func omniscient(s *sim, j *job) ident.Target {
	var best *engine
	var first time.Time
	for _, t := range s.service.Targets {
		e := s.engines[t.Name]
		if e.slotsUsed >= e.spec.Slots {
			continue
		}
		start := e.freeAt
		if start.Before(s.now) {
			start = s.now
		}
		at := start.Add(time.Duration(e.prefillWork(j) / e.rate * float64(time.Millisecond)))
		if best == nil || at.Before(first) {
			best, first = e, at
		}
	}
	if best == nil || first.Add(simOverhead+s.engineDelay).After(j.Deadline) {
		return ""
	}
	return best.spec.Name
}
