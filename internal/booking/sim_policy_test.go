package booking_test

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

func (s *sim) placeByPolicy(d *daemon, j *job) {
	target := s.policy(s, j)
	if target == "" {
		delete(d.jobs, j.ID)
		s.got[j.Workspace].refused++
		return
	}
	s.dispatch(d, j, target)
}

// emptiest sends every request to the engine with the fewest, which it knows exactly,
// and refuses none.
func emptiest(s *sim, _ *job) ident.Target {
	var best *engine
	for _, t := range s.service.Targets {
		e := s.engines[t.Name]
		if best == nil || e.used+len(e.waiting) < best.used+len(best.waiting) {
			best = e
		}
	}
	return best.spec.Name
}

// allKnowing sends a request to the engine that would answer it first, by the true
// state of all engines and what they keep, and refuses what would be late.
func allKnowing(s *sim, j *job) ident.Target {
	var best *engine
	var first time.Time
	for _, t := range s.service.Targets {
		e := s.engines[t.Name]
		if e.used >= e.spec.Slots {
			continue
		}
		begin := e.free
		if begin.Before(s.now) {
			begin = s.now
		}
		at := begin.Add(time.Duration(e.work(j) / e.rate * float64(time.Millisecond)))
		if best == nil || at.Before(first) {
			best, first = e, at
		}
	}
	if best == nil || first.Add(simOverhead+s.hop).After(j.Deadline) {
		return ""
	}
	return best.spec.Name
}
