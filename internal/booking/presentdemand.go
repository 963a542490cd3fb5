package booking

import "time"

// Whether a workspace is below its share is determined from its present demand.
//
// Load pattern: a hot workspace, part of whose requests daemons shed, stops sending, while others
// still demand several times their shares. Its sums of demand and of grants decay alike, so that
// for seconds the demand stays above the level and the grants seem to fall. Workspaces that may be
// only so far ahead of it would be held near nothing while targets are idle.
//
// Therefore the demand and the grants are also observed over a shorter time. From them follows
// whether the demand of the workspace still exceeds the level, and by how much its grants have decayed
// only because its demand is lower. What daemons admit of a workspace need not fall with its
// demand: grants that have not decayed are not raised.

// presentDecayTime is the time constant of the present demand: two intervals of publication, so
// that a late report does not count as an end of demand.
const presentDecayTime = 2 * memberPublishInterval

// presentDemand is the most recent demand of a workspace, in the fleet, the part of it that
// daemons shed, and what it was granted.
type presentDemand struct {
	asked, shed, granted decayingSum
	// last are the sums at the previous observation.
	last decayingSums
}

// observe adds what was asked for since the previous observation: by how much the sums have grown
// against their decay. It may be negative: the sums of other daemons are constant from one report
// to the next, and then fall to what has decayed meanwhile.
func (p *presentDemand) observe(now time.Time, s sums) {
	last := p.last.now(now)
	p.asked.addWithDecay(now, s.asked-last.asked, presentDecayTime)
	p.shed.addWithDecay(now, s.shed-last.shed, presentDecayTime)
	p.granted.addWithDecay(now, s.granted-last.granted, presentDecayTime)
	p.last = newDecayingSums(now, s)
}

// now returns the present demand and grants on the scale of sums that decay with decayTime, to
// which they are equal while both are constant.
func (p *presentDemand) now(now time.Time) sums {
	const scale = float64(decayTime) / float64(presentDecayTime)
	present := func(d *decayingSum) float64 { return max(0, scale*d.decayed(now, presentDecayTime)) }
	return sums{asked: present(&p.asked), shed: present(&p.shed), granted: present(&p.granted)}
}

// withoutDecline returns the grants of a workspace as if its demand had not fallen. Of a
// demand that has ended, the sum s has decayed to x*s, and its present value to x*x*s. What is
// missing, (1-x)*s, is the difference of the two divided by x, and x follows from the demand. Grants
// that have decayed by more than the demand have done so for another reason.
func (s sums) withoutDecline(present sums) float64 {
	x := present.asked / s.asked
	return s.granted + min(max(0, s.granted-present.granted)/x, s.granted*(1/x-1))
}
