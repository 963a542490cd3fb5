package booking

import (
	"math"
	"time"
)

// While daemons refuse a workspace for want of processor time, those ahead of it are held near
// what it has, and owners decide by what the fleet has granted them.
//
// Load pattern: 60 owners know of each other's grants some hundred ms late. When a burst
// begins, the sum that they know is next to nothing, and each grants what comes as if it were
// alone; then all refuse until that has faded, and all grant again. In a span of a few
// seconds the burst gets more than twice what the workspace that is kept back does, and in
// between targets idle.
//
// So an owner takes the others to have granted, since their last word, as it did itself; and
// a workspace that asks for little is taken to have had most of its share, so that what it
// may have at once when it asks for more is a part of that and not seconds of it.

const (
	// newsDirect is how old a sum is on average where each daemon tells all others, and
	// newsByHubs where hubs add up.
	newsDirect = tellEvery / 2
	newsByHubs = tellEvery/2 + 2*hubEvery
	// credit is the part of its share that a workspace may have at once when it begins to
	// ask for more.
	credit = 0.1
)

// reached estimates what the fleet has granted a workspace by now. Where daemons refuse nobody,
// and for who is free, it is the sum that is known: too much at once does no harm there, and
// an estimate that is too high would refuse beside idle targets.
func (s *shares) reached(now time.Time, a *account) float64 {
	known := a.sums(now).granted
	if !s.pressed || s.free(a) {
		return known
	}
	own, others := a.own.granted.now(now), a.all.granted.now(now)
	unsaid := a.unsaid.over(now, s.news)
	old := others * math.Exp(-s.news.Seconds()/fade.Seconds())
	return own + old + unsaid*s.alike(a, old, max(0, own-unsaid)) + a.lift.now(now)
}

// alike is how many times what this daemon grants a workspace the others do together, by what
// they have told and, as far as that is little, by the targets that they own.
func (s *shares) alike(a *account, others, own float64) float64 {
	assumed := a.weight * s.level * s.part
	return (others + assumed*(1/s.part-1)) / (own + assumed)
}

// liftAll takes the workspaces that ask for less than the level to have been granted most of it.
func (s *shares) liftAll(now time.Time) {
	if math.IsInf(s.level, 1) {
		return
	}
	for _, a := range s.accounts {
		sum := a.sums(now)
		if sum.wanted() > a.weight*s.level*room {
			continue
		}
		lift := (1-credit)*a.weight*s.level - sum.granted
		if lift > a.lift.now(now) {
			a.lift = faded{lift, now}
		}
	}
}

// owns takes in how many of a service's targets this daemon owns. One that owns none grants
// nothing.
func (s *shares) owns(owned, all int) {
	if owned > 0 {
		s.part = float64(owned) / float64(all)
	}
}

// hear takes in from whom this daemon hears what others granted: from all others, or from
// hubs, which tell it as the fleet's sum unless this daemon is one.
func (s *shares) hear(hubs, fleet bool) {
	s.fleet, s.news = fleet, newsDirect
	if hubs {
		s.news = newsByHubs
	}
}
