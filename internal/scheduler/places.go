package scheduler

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/chart"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/placement"
	"github.com/savorystall/savorystall/internal/queue"
)

// places is what a daemon has learnt of the targets of one service. All of
// them are in it, owned or not: what this daemon's own requests saw of the
// others is what the owned ones are compared with.
type places struct {
	*placement.Table
	// plain marks a service whose cost is time: it has no pace for a token.
	plain bool
	// free is scratch space.
	free []placement.Free
}

func newPlaces(zone ident.Zone, rng *rand.Rand) *places {
	return &places{Table: placement.New(placement.Config{Zone: zone}, rng)}
}

func (p *places) configure(spec Service) {
	p.plain = spec.Plain
	targets := make([]placement.Target, len(spec.Targets))
	for i, t := range spec.Targets {
		targets[i] = placement.Target{Name: t.Name, Zone: t.Zone, Slots: t.Slots}
	}
	p.SetTargets(targets)
}

// learn takes in news; they are the triggers of charts/target.yaml.
func (p *places) learn(now time.Time, name ident.Target, health Health) bool {
	return p.Learn(now, name, chart.Trigger(health))
}

// observe takes in how an attempt ended on a target that then has inFlight
// requests, as far as this daemon knows (zero: it does not).
func (p *places) observe(now time.Time, name ident.Target, r Result, inFlight int) {
	if r.Preempted || r.Elapsed <= 0 && !r.Failed {
		return // nothing was dispatched, or it says nothing of the target
	}
	sample := placement.Sample{
		First: r.FirstByte, Elapsed: r.Elapsed, Failed: r.Failed, NotRun: r.NotRun, InFlight: inFlight,
	}
	if !p.plain {
		sample.Tokens = int(r.Served)
	}
	p.Observe(now, name, sample)
}

// prefers tells for a target which waiting request finds the start of its prompt
// in the target's cache. It chooses among the requests of the workspace that has
// the grant, so that it takes nothing from any other.
func (p *places) prefers(target ident.Target) func(queue.Item[*request]) bool {
	return func(it queue.Item[*request]) bool {
		r := it.Value
		return r.Prefix != 0 && len(r.Avoid) == 0 && p.Holds(target, r.Prefix)
	}
}

// dispatched remembers that the target now has the start of the prompt.
func (p *places) dispatched(now time.Time, target ident.Target, r *request) {
	if r.Prefix != 0 {
		p.CacheStored(now, target, r.Prefix)
	}
}

// usable tells whether the target may get new work, limit how much at once.
func (t *target) usable() bool { return t.service.placement.Usable(t.Name) }

func (t *target) limit() int { return t.service.placement.Limit(t.Name) }

// findFree lists the owned targets with a free slot.
func (s *service) findFree() []placement.Free {
	s.placement.free = s.placement.free[:0]
	for _, t := range s.owned {
		if n := len(t.grants); n < t.limit() {
			s.placement.free = append(s.placement.free, placement.Free{Target: t.Name, InFlight: n})
		}
	}
	return s.placement.free
}

// freeTarget returns the one of the free targets that takes the next request of
// the workspace, or nil.
func (c *Core) freeTarget(s *service, w *workspace) *target {
	free := s.placement.free
	if w.allowedTargets != nil {
		free = slices.DeleteFunc(free, func(f placement.Free) bool { return !w.allowedTargets[f.Target] })
	}
	name, ok := s.placement.Choose(free)
	if !ok {
		return nil
	}
	return s.targets[name]
}
