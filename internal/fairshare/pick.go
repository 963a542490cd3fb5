package fairshare

import (
	"cmp"
	"slices"

	"github.com/savorystall/savorystall/internal/ident"
)

// Candidate is a workspace that could use the free slot.
type Candidate struct {
	Workspace ident.Workspace
	// Running counts its requests, and its grants not yet used, on the own
	// slots of the service.
	Running int
	// Unreported counts the grants that the owner gave it so lately that what
	// they receive has not come back with an exchange.
	Unreported int
}

// scored is a candidate with what Pick compares.
type scored struct {
	*account
	workspace  ident.Workspace
	running    int
	unreported int
	score      float64
}

// Pick returns the candidate that gets the next slot; ok is false when there is
// none. The score of a workspace is its running requests here over its weight,
// plus its lead in virtual time over the median in the same unit. The least
// score wins, then the least virtual time, then an order of this owner's own. A
// candidate that leads the least served one by more than MaxLead is passed over:
// this makes the bound on the gap hold, whatever the requests cost.
func (l *Ledger) Pick(candidates []Candidate) (ws ident.Workspace, ok bool) {
	if len(candidates) == 0 {
		return "", false
	}
	list := l.list(candidates)
	fair := fairSlots(list)
	middle := median(list)
	second := l.fairSecond(list)
	lead := max(l.config.MaxLead, l.conditions.Lag)
	debt := max(l.config.MaxDebt, 2*lead)
	settleGroups(list, middle, debt.Seconds()*second)
	top := least(list) + lead.Seconds()*second
	limit := authority * (1 - l.config.Keep) * fair
	best := -1
	for i := range list {
		s := &list[i]
		if s.virtual > top {
			continue
		}
		lead := (s.virtual + l.opening(s) - s.group.middle) / l.charge
		ahead := (s.group.middle - middle) / l.charge
		s.score = float64(s.running)/s.weight + within(lead, 0, limit) + within(ahead, 0, limit)
		if best < 0 || s.before(&list[best]) {
			best = i
		}
	}
	return list[best].workspace, true
}

// openingPart is what a grant is taken to have received before its first report,
// as a part of the mean cost of a request. A prompt costs many times as much a
// second as an answer, so that an owner that starts several requests of one
// workspace within an exchange gives it more than it sees: 0.5 gave smaller gaps
// than none, and than 1.
const openingPart = 0.5

// opening is what the grants that are not reported yet are expected to have
// received, over weight. The figure is one of the whole service, so that no
// caller can bend it, and the reports replace it. It shifts the order within the
// limits of the slow loop, and has no part in the rule of the greatest lead.
func (l *Ledger) opening(s *scored) float64 {
	return openingPart * l.conditions.MeanCost * float64(s.unreported) / s.weight
}

// authority bounds how far virtual time may move a workspace from its fair
// share of the own slots. At worst half of the weight leads by -limit and one
// workspace by +limit, which leaves that one 1 - 1.5 x limit of its share.
const authority = 1 / 1.5

func (l *Ledger) list(candidates []Candidate) []scored {
	list := make([]scored, len(candidates))
	for i, c := range candidates {
		list[i] = scored{
			account: l.account(c.Workspace), workspace: c.Workspace, running: c.Running, unreported: c.Unreported,
		}
	}
	return list
}

func (s *scored) before(other *scored) bool {
	if s.score != other.score {
		return s.score < other.score
	}
	if s.virtual != other.virtual {
		return s.virtual < other.virtual
	}
	return s.tie < other.tie
}

// fairSlots is the number of own slots per weight when all candidates have
// their share.
func fairSlots(list []scored) float64 {
	slots, weight := 1, 0.0
	for i := range list {
		slots += list[i].running
		weight += list[i].weight
	}
	return float64(slots) / weight
}

// median returns the weighted lower median of the virtual times. Leads are
// measured from it because a workspace that cannot use its share, being bound
// to few targets, stays far behind and would hide the differences between the
// others were they measured from the least.
func median(list []scored) float64 {
	sorted := make([]*account, len(list))
	total := 0.0
	for i := range list {
		sorted[i] = list[i].account
		total += list[i].weight
	}
	slices.SortFunc(sorted, func(a, b *account) int { return cmp.Compare(a.virtual, b.virtual) })
	sum := 0.0
	for _, a := range sorted {
		sum += a.weight
		if sum >= total/2 {
			return a.virtual
		}
	}
	return sorted[len(sorted)-1].virtual
}

func least(list []scored) float64 {
	v := list[0].virtual
	for i := range list {
		v = min(v, list[i].virtual)
	}
	return v
}

// fairSecond is what a workspace receives in a second at its fair rate, in units
// of the service over weight. It counts all slots, not those in use, because a
// debt is not to be forgotten while the slots fill up.
func (l *Ledger) fairSecond(list []scored) float64 {
	running, weight := 1, 0.0
	for i := range list {
		running += list[i].running
		weight += list[i].weight
	}
	l.slots = max(l.slots, running)
	c := l.conditions
	if c.SlotRate <= 0 || c.OwnSlots <= 0 {
		return unmeasuredRate * l.charge * float64(l.slots) / weight
	}
	return c.SlotRate * float64(max(c.FleetSlots, c.OwnSlots)) / weight
}

// unmeasuredRate is the part of a running request's charge that it is taken to
// be worth a second until that is measured.
const unmeasuredRate = 0.1
