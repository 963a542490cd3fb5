package booking

import (
	"math/rand/v2"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// Forecast is what would be decided about a request now.
type Forecast struct {
	// Refusal is the name of the result code of a request that no target may run; empty if there is one.
	Refusal string
	// ShareUsed is how much of its share the workspace has used; 1 is all of it, zero means unknown.
	ShareUsed float64
	// Targets are those whose owners would be asked, in order, if each of them refused.
	Targets []TargetForecast
}

// TargetForecast is what a daemon knows about a target that would be asked.
type TargetForecast struct {
	Target ident.Target
	Zone   ident.Zone
	Owner  ident.Daemon
	// SelectedBy is that of Basis.
	SelectedBy string
	// Weight is the speed of the target relative to the median of its service, as homes are drawn by it;
	// 1 where targets are alike or speeds are not estimated.
	Weight float64
	// Owned reports that this daemon is the owner, so that Admits and Limit are known. Limit is why it
	// would refuse the request.
	Owned, Admits bool
	Limit         Limit
	// OwnerSilent reports that the owner does not reply, Suspended that the target fails, Cold that it
	// counts as cold.
	OwnerSilent, Suspended, Cold bool
	// CachedTokens is how much of the prompt's prefix is known to be cached there.
	CachedTokens int
	// Load is the owner's view, and LoadAge how long ago it was reported; it is negative if it was not.
	Load    Load
	LoadAge time.Duration
}

// Forecast returns what would be decided about a request now. It sends nothing and changes no state that
// any decision depends on.
func (c *Core) Forecast(now time.Time, spec Request) Forecast {
	s := c.services[spec.Service]
	if s == nil || s.shares.accounts[spec.Workspace] == nil {
		return Forecast{Refusal: resultcode.NoTarget.Name}
	}
	defer c.preserve(now, s)()
	r := &request{Request: spec, contacted: true}
	f := Forecast{ShareUsed: s.shareUsed(now, spec.Workspace)}
	r.candidates = c.candidates(now, s, r)
	if len(r.candidates) == 0 {
		f.Refusal = noTargetCode(s, r).Name
	}
	for c.addFallbacks(now, r); len(r.candidates) > 0; c.addFallbacks(now, r) {
		r.current, r.candidates = r.candidates[0], r.candidates[1:]
		r.ownersAsked++
		r.askedEngines = append(r.askedEngines, r.current.engine)
		f.Targets = append(f.Targets, c.forecastTarget(now, r))
	}
	return f
}

func (c *Core) forecastTarget(now time.Time, r *request) TargetForecast {
	e := r.current.engine
	res := r.newReservation(now)
	t := TargetForecast{
		Target: e.Name, Zone: e.Zone, Owner: e.owner, SelectedBy: r.current.selectedBy, Weight: e.weight, Owned: e.owned,
		OwnerSilent: c.ownerSilent(now, e), Suspended: e.suspended(now), Cold: e.isCold(now), CachedTokens: e.cachedTokens(now, &res),
	}
	if !e.owned {
		t.Load, t.LoadAge = e.reported, -1
		if !e.reportedAt.IsZero() {
			t.LoadAge = now.Sub(e.reportedAt)
		}
		return t
	}
	t.Load = Load{Service: e.service.name, Target: e.Name, Wait: e.backlog(now), SlotUtilization: e.occupancy(), FailureRate: e.health.failureRate(now)}
	work := &run{}
	work.shared, work.memory = memoryNeeds(&res)
	work.prefillWork, work.fetchTime = e.service.prefillCost(res.Prompt, t.CachedTokens, res.CachedElsewhere)
	t.Limit = c.admissionLimit(now, e, res, work)
	t.Admits = t.Limit == LimitNone
	return t
}

// preserve keeps decisions from changing the state of a service until restore is called: levels and
// capacity are those of the last decision, probes of failing targets are not used up, and no random number
// is drawn from the Core's own source.
func (c *Core) preserve(now time.Time, s *service) (restore func()) {
	rng, levelAt, capacityAt, weightsAt := c.rng, s.shares.levelAt, s.capacity.at, s.weights.at
	probes := make([]time.Time, len(s.sortedEngines))
	for i, e := range s.sortedEngines {
		probes[i] = e.health.lastProbe
	}
	c.rng = rand.New(rand.NewPCG(0, 0))
	s.shares.levelAt, s.capacity.at, s.weights.at = now, now, now
	return func() {
		c.rng, s.shares.levelAt, s.capacity.at, s.weights.at = rng, levelAt, capacityAt, weightsAt
		for i, e := range s.sortedEngines {
			e.health.lastProbe = probes[i]
		}
	}
}
