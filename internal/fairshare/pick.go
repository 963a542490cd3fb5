package fairshare

import (
	"cmp"
	"slices"

	"github.com/savorystall/savorystall/internal/ident"
)

// Candidate is a workspace that could use the free slot.
type Candidate struct {
	Workspace ident.Workspace
	// Running counts its running requests and unused grants on this owner's
	// slots of the service.
	Running int
	// Unreported counts the grants that the owner issued so recently that the
	// service they receive has not been reported by an exchange yet.
	Unreported int
}

// scoredCandidate is a candidate with the values that Pick compares.
type scoredCandidate struct {
	*account
	workspace  ident.Workspace
	running    int
	unreported int
	score      float64
}

// Pick returns the candidate that gets the next slot; ok is false if there are
// no candidates. The score of a workspace is its number of running requests on
// this owner divided by its weight, plus its lead in virtual time over the
// median, converted to the same unit. The lowest score wins; ties are broken by
// the lowest virtual time, then by an order specific to this owner. A candidate
// that leads the least served one by more than MaxLead is skipped, so that the
// bound on the gap holds regardless of what the requests cost.
func (l *Ledger) Pick(candidates []Candidate) (ws ident.Workspace, ok bool) {
	if len(candidates) == 0 {
		return "", false
	}
	list := l.scoredCandidates(candidates)
	fairSlots := fairSlotsPerWeight(list)
	overallMedian := weightedMedian(list)
	fairRate := l.fairRate(list)
	maxLead := max(l.config.MaxLead, l.conditions.Lag)
	maxDeviation := max(l.config.MaxDeviation, 2*maxLead)
	clampGroups(list, overallMedian, maxDeviation.Seconds()*fairRate)
	maxVirtualTime := minVirtualTime(list) + maxLead.Seconds()*fairRate
	maxShift := maxShareShift * (1 - l.config.MinShare) * fairSlots
	best := -1
	for i := range list {
		s := &list[i]
		if s.virtualTime > maxVirtualTime {
			continue
		}
		lead := (s.virtualTime + l.expectedUnreported(s) - s.group.median) / l.runningCharge
		groupLead := (s.group.median - overallMedian) / l.runningCharge
		s.score = float64(s.running)/s.weight + clampAround(lead, 0, maxShift) + clampAround(groupLead, 0, maxShift)
		if best < 0 || s.less(&list[best]) {
			best = i
		}
	}
	return list[best].workspace, true
}

// unreportedCostFraction is the service that a grant is assumed to have
// received before its first report, as a fraction of the mean cost of a
// request. Prefill costs many times as much per second as decoding, so an owner
// that starts several requests of one workspace within one exchange interval
// gives it more than the reports show yet. 0.5 gave smaller gaps than 0 and
// than 1.
const unreportedCostFraction = 0.5

// expectedUnreported is the service over weight that grants without a report
// are expected to have received. It is derived from a figure for the whole
// service, so no caller can influence it, and is replaced by the reports. It
// shifts the order within the limits of the slow loop and does not count toward
// MaxLead.
func (l *Ledger) expectedUnreported(s *scoredCandidate) float64 {
	return unreportedCostFraction * l.conditions.MeanCost * float64(s.unreported) / s.weight
}

// maxShareShift bounds how far virtual time may move a workspace from its fair
// share of the owner's slots, as a fraction of that share. In the worst case
// half of the weight is shifted by -s and one workspace by +s, which leaves
// that workspace 1 - 1.5 x s of its share.
const maxShareShift = 1 / 1.5

func (l *Ledger) scoredCandidates(candidates []Candidate) []scoredCandidate {
	list := make([]scoredCandidate, len(candidates))
	for i, c := range candidates {
		list[i] = scoredCandidate{
			account: l.account(c.Workspace), workspace: c.Workspace, running: c.Running, unreported: c.Unreported,
		}
	}
	return list
}

func (s *scoredCandidate) less(other *scoredCandidate) bool {
	if s.score != other.score {
		return s.score < other.score
	}
	if s.virtualTime != other.virtualTime {
		return s.virtualTime < other.virtualTime
	}
	return s.tieBreak < other.tieBreak
}

// fairSlotsPerWeight is the number of this owner's slots per unit of weight
// when every candidate has its fair share.
func fairSlotsPerWeight(list []scoredCandidate) float64 {
	slots, weight := 1, 0.0
	for i := range list {
		slots += list[i].running
		weight += list[i].weight
	}
	return float64(slots) / weight
}

// weightedMedian returns the weighted lower median of the virtual times. Leads
// are measured from the median rather than from the minimum, because a
// workspace that cannot use its share, being restricted to a few targets, stays
// far behind and would hide the differences between the others.
func weightedMedian(list []scoredCandidate) float64 {
	sorted := make([]*account, len(list))
	total := 0.0
	for i := range list {
		sorted[i] = list[i].account
		total += list[i].weight
	}
	slices.SortFunc(sorted, func(a, b *account) int { return cmp.Compare(a.virtualTime, b.virtualTime) })
	sum := 0.0
	for _, a := range sorted {
		sum += a.weight
		if sum >= total/2 {
			return a.virtualTime
		}
	}
	return sorted[len(sorted)-1].virtualTime
}

func minVirtualTime(list []scoredCandidate) float64 {
	lowest := list[0].virtualTime
	for i := range list {
		lowest = min(lowest, list[i].virtualTime)
	}
	return lowest
}

// fairRate is the service over weight that a workspace receives per second at
// its fair share, in units of the service. It counts all slots rather than
// those in use, so that differences are not discarded while slots are still
// being filled.
func (l *Ledger) fairRate(list []scoredCandidate) float64 {
	running, weight := 1, 0.0
	for i := range list {
		running += list[i].running
		weight += list[i].weight
	}
	l.maxRunning = max(l.maxRunning, running)
	c := l.conditions
	if c.SlotRate <= 0 || c.LocalSlots <= 0 {
		return defaultChargeRate * l.runningCharge * float64(l.maxRunning) / weight
	}
	return c.SlotRate * float64(max(c.FleetSlots, c.LocalSlots)) / weight
}

// defaultChargeRate is the assumed service per second of a running request, as
// a fraction of its charge, until the slot rate has been measured.
const defaultChargeRate = 0.1
