package booking

import "time"

// Whether a workspace lacks capacity is judged by what it asks for at present.
//
// Load pattern: a hot workspace, part of whose requests daemons shed, stops asking, while others
// still ask for several times their shares. Its sums of demand and of grants decay alike, so that
// for seconds the demand stays above the level and the grants seem to fall. Workspaces that may be
// only so far ahead of it would be held near nothing while targets are idle.
//
// Therefore the demand is also observed over a shorter time. From it follows whether the workspace
// still asks for more than the level, and by how much its grants have decayed only because it asks
// for less.

// presentDecayTime is the time constant of the present demand: two intervals of publication, so
// that a late report does not count as an end of demand.
const presentDecayTime = 2 * memberPublishInterval

// presentDemand is what a workspace asked for most recently, in the fleet, and the part of it that
// daemons shed.
type presentDemand struct {
	asked, shed decayingSum
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
	p.last = newDecayingSums(now, s)
}

// now returns the present demand and the shed part on the scale of sums that decay with decayTime,
// to which they are equal while the demand is constant.
func (p *presentDemand) now(now time.Time) (asked, shed float64) {
	const scale = float64(decayTime) / float64(presentDecayTime)
	return max(0, scale*p.asked.decayed(now, presentDecayTime)), max(0, scale*p.shed.decayed(now, presentDecayTime))
}
