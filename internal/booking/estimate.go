package booking

import (
	"math"
	"time"
)

// For a workspace that demands more than its share, an owner decides by an estimate of what the
// whole fleet has granted it.
//
// Load pattern: 60 owners receive each other's grants some hundred ms late. While the known sum
// is low, each of them grants requests as if it were alone; then all refuse until the sum has
// decayed, and all grant again. Within a few seconds one workspace gets far more than another,
// and targets alternate between idle and overloaded.
//
// Therefore an owner assumes that since their last reports the others have granted at the same
// rate as itself.

const (
	// reportAgeDirect is the average age of a sum where each daemon reports to all others, and
	// reportAgeViaHubs where hubs aggregate the reports.
	reportAgeDirect  = memberPublishInterval / 2
	reportAgeViaHubs = memberPublishInterval/2 + 2*hubPublishInterval
	// burstShare is the fraction of its share that a workspace may use at once when its demand
	// rises above the share. Without this bound the decaying sums would allow it seconds' worth
	// of its share.
	burstShare = 0.3
)

// estimatedGrants estimates what the fleet has granted a workspace by now. For a workspace
// whose demand is within its share the known sum is used: it is not limited by the use of other
// workspaces.
func (s *shares) estimatedGrants(now time.Time, a *account) float64 {
	sum := a.sums(now)
	if s.ownedFraction <= 0 || sum.asked <= a.weight*s.level {
		return sum.granted
	}
	own, others := a.own.granted.now(now), a.othersTotal.granted.now(now)
	age := s.reportAge.Seconds() / decayTime.Seconds()
	// Grants at a constant rate over the report age have on average decayed by this factor.
	unreported := a.unpublished.decayed(now, s.reportAge) * (1 - math.Exp(-age)) / age
	ownAtReport := max(0, own-unreported) * math.Exp(age)
	return own + others*math.Exp(-age) + unreported*s.peerGrantRatio(a, others, ownAtReport) + s.burstOffset(now, a, sum)
}

// burstOffset is the amount that is added to a workspace's estimated grants to bound its
// initial burst. It is 0 for a workspace whose requests daemons shed, which has no burst to
// bound.
func (s *shares) burstOffset(now time.Time, a *account, sum sums) float64 {
	if sum.shed >= minShedFraction*sum.asked {
		return 0
	}
	// The share shrinks once the workspace's demand rises.
	return min(a.presumedGrants.now(now), (1-burstShare)*a.weight*s.level)
}

// peerGrantRatio is the ratio of the other daemons' grants to this daemon's own grants for a
// workspace as of the last reports. Where both are small, it tends towards the ratio of the
// numbers of targets owned.
func (s *shares) peerGrantRatio(a *account, others, own float64) float64 {
	assumed := a.weight * s.level * s.ownedFraction
	return (others + assumed*(1/s.ownedFraction-1)) / (own + assumed)
}

// setOwned records how many of a service's targets this daemon owns. A daemon that owns none
// grants nothing.
func (s *shares) setOwned(owned, all int) {
	s.ownedFraction = 0
	if owned > 0 {
		s.ownedFraction = float64(owned) / float64(all)
	}
}

// setReportSource records where this daemon gets the others' grants from: from all daemons
// directly, or from hubs. A hub reports the sum of the fleet to daemons that are not hubs
// themselves.
func (s *shares) setReportSource(hubs, fleet bool) {
	s.fleetSums, s.reportAge = fleet, reportAgeDirect
	if hubs {
		s.reportAge = reportAgeViaHubs
	}
}

// recordGrant records a grant of this daemon to a workspace.
func (s *shares) recordGrant(now time.Time, a *account, cost float64) {
	a.own.granted.add(now, cost)
	a.unpublished.addWithDecay(now, cost, s.reportAge)
}

// raiseBurstOffsets sets the burst offsets of the workspaces whose demand is within their
// shares, as if they had been granted most of the share, so that only a fraction of it is left
// as a burst when their demand rises.
func (s *shares) raiseBurstOffsets(now time.Time) {
	if math.IsInf(s.level, 1) {
		return
	}
	for _, a := range s.accounts {
		sum := a.sums(now)
		if sum.asked > a.weight*s.level {
			continue
		}
		if offset := (1-burstShare)*a.weight*s.level - sum.granted; offset > a.presumedGrants.now(now) {
			a.presumedGrants = decayingSum{offset, now}
		}
	}
}
