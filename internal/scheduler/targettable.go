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

// targetTable holds what a daemon knows about the targets of one service. It
// covers all targets, owned or not, because the owned ones are compared with
// what this daemon's own requests observed on the others.
type targetTable struct {
	*placement.Table
	// plain marks a service whose cost is measured in time, so that it has no
	// rate per token.
	plain bool
	// free is a buffer reused by listFreeTargets.
	free []placement.FreeTarget
}

func newTargetTable(zone ident.Zone, rng *rand.Rand) *targetTable {
	return &targetTable{Table: placement.New(placement.Config{Zone: zone}, rng)}
}

func (tt *targetTable) configure(spec Service) {
	tt.plain = spec.Plain
	targets := make([]placement.Target, len(spec.Targets))
	for i, t := range spec.Targets {
		targets[i] = placement.Target{Name: t.Name, Zone: t.Zone, Slots: t.Slots}
	}
	tt.SetTargets(targets)
}

// updateHealth applies a health observation. Its values are the triggers of
// charts/target.yaml.
func (tt *targetTable) updateHealth(now time.Time, name ident.Target, health Health) bool {
	return tt.ApplyTrigger(now, name, chart.Trigger(health))
}

// recordResult records how an attempt ended on a target. inFlight is the number
// of requests that this daemon knew to be running on the target, including this
// one; zero means unknown.
func (tt *targetTable) recordResult(now time.Time, name ident.Target, r Result, inFlight int) {
	if r.Preempted || r.Elapsed <= 0 && !r.Failed {
		return // nothing was dispatched, or the result says nothing about the target
	}
	sample := placement.Sample{
		TimeToFirstByte: r.FirstByte, Elapsed: r.Elapsed, Failed: r.Failed, NotRun: r.NotRun, InFlight: inFlight,
	}
	if !tt.plain {
		sample.Tokens = int(r.Served)
	}
	tt.Observe(now, name, sample)
}

// prefixMatcher returns a predicate for waiting requests whose prompt prefix is
// in the target's cache. It only chooses among the requests of the workspace
// that holds the grant, so that cache affinity does not take service from other
// workspaces.
func (tt *targetTable) prefixMatcher(target ident.Target) func(queue.Item[*request]) bool {
	return func(it queue.Item[*request]) bool {
		r := it.Value
		return r.Prefix != 0 && len(r.Avoid) == 0 && tt.HoldsPrefix(target, r.Prefix)
	}
}

// recordDispatch records that the target now caches the request's prompt
// prefix.
func (tt *targetTable) recordDispatch(now time.Time, target ident.Target, r *request) {
	if r.Prefix != 0 {
		tt.RecordPlacement(now, target, r.Prefix)
	}
}

// usable reports whether the target may receive new requests.
func (t *target) usable() bool { return t.service.placement.Usable(t.Name) }

// limit returns how many requests may run on the target at once.
func (t *target) limit() int { return t.service.placement.Limit(t.Name) }

// listFreeTargets returns the owned targets with a free slot. The result shares
// a buffer that the next call and chooseTarget overwrite.
func (s *service) listFreeTargets() []placement.FreeTarget {
	s.placement.free = s.placement.free[:0]
	for _, t := range s.owned {
		if n := len(t.grants); n < t.limit() {
			s.placement.free = append(s.placement.free, placement.FreeTarget{Target: t.Name, InFlight: n})
		}
	}
	return s.placement.free
}

// chooseTarget returns the free target for the next request of the workspace,
// or nil.
func (c *Core) chooseTarget(s *service, w *workspace) *target {
	free := s.placement.free
	if w.allowedTargets != nil {
		free = slices.DeleteFunc(free, func(f placement.FreeTarget) bool { return !w.allowedTargets[f.Target] })
	}
	name, ok := s.placement.Choose(free)
	if !ok {
		return nil
	}
	return s.targets[name]
}
