package booking

import (
	"math"
	"time"
)

// Owners decide about a workspace that asks for more than its share by what the fleet has
// granted it, as far as they know.
//
// Load pattern: 60 owners hear of each other's grants some hundred ms late. While the sum that
// they know is low, each grants what comes as if it were alone; then all refuse until that has
// faded, and all grant again. In a span of a few seconds one workspace gets far more than
// another, and targets idle by turns.
//
// So an owner takes the others to have granted, since their last word, as it did itself.

const (
	// newsDirect is how old a sum is on average where each daemon tells all others, and
	// newsByHubs where hubs add up.
	newsDirect = memberPublishInterval / 2
	newsByHubs = memberPublishInterval/2 + 2*hubPublishInterval
	// credit is the part of its share that a workspace may have at once when it begins to ask
	// for more. Sums that fade would let it have seconds of its share.
	credit = 0.3
)

// reached estimates what the fleet has granted a workspace by now. One that asks for no more
// than its share is taken by what is known: it is not held to anything that others have.
func (s *shares) reached(now time.Time, a *account) float64 {
	sum := a.sums(now)
	if s.ownedFraction <= 0 || sum.asked <= a.weight*s.level {
		return sum.granted
	}
	own, others := a.own.granted.now(now), a.othersTotal.granted.now(now)
	age := s.reportAge.Seconds() / decayTime.Seconds()
	// A rate over the age of news leaves a sum that has faded by as much in the mean.
	unsaid := a.unpublished.decayed(now, s.reportAge) * (1 - math.Exp(-age)) / age
	before := max(0, own-unsaid) * math.Exp(age)
	return own + others*math.Exp(-age) + unsaid*s.alike(a, others, before) + s.lifted(now, a, sum)
}

// lifted is what a workspace is taken to have been granted beyond that. One that daemons keep back
// has no burst to be bounded.
func (s *shares) lifted(now time.Time, a *account, sum sums) float64 {
	if sum.shed >= minShedFraction*sum.asked {
		return 0
	}
	// The share becomes smaller as the workspace begins to ask.
	return min(a.presumedGrants.now(now), (1-credit)*a.weight*s.level)
}

// alike is how many times what this daemon granted a workspace the others did together when
// they last told, and as far as that is little, by the targets that they own.
func (s *shares) alike(a *account, others, own float64) float64 {
	assumed := a.weight * s.level * s.ownedFraction
	return (others + assumed*(1/s.ownedFraction-1)) / (own + assumed)
}

// owns takes in how many of a service's targets this daemon owns. One that owns none grants
// nothing.
func (s *shares) owns(owned, all int) {
	s.ownedFraction = 0
	if owned > 0 {
		s.ownedFraction = float64(owned) / float64(all)
	}
}

// hear takes in from whom this daemon hears what others granted: from all others, or from
// hubs, which tell it as the fleet's sum unless this daemon is one.
func (s *shares) hear(hubs, fleet bool) {
	s.fleetSums, s.reportAge = fleet, newsDirect
	if hubs {
		s.reportAge = newsByHubs
	}
}

// grant notes that this daemon granted a workspace so much.
func (s *shares) grant(now time.Time, a *account, cost float64) {
	a.own.granted.add(now, cost)
	a.unpublished.addWithDecay(now, cost, s.reportAge)
}

// liftAll takes the workspaces that ask for no more than their shares to have been granted most
// of them, so that what they may have at once when they ask for more is a part of that.
func (s *shares) liftAll(now time.Time) {
	if math.IsInf(s.level, 1) {
		return
	}
	for _, a := range s.accounts {
		sum := a.sums(now)
		if sum.asked > a.weight*s.level {
			continue
		}
		if lift := (1-credit)*a.weight*s.level - sum.granted; lift > a.presumedGrants.now(now) {
			a.presumedGrants = decayingSum{lift, now}
		}
	}
}
