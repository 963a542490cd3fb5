package booking

import (
	"math"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// levelInterval is how long a computed level is used: demand changes over seconds, and each
// computation visits every workspace and every daemon's sums for it.
const levelInterval = 50 * time.Millisecond

// shares divides the rate of a service among its workspaces.
type shares struct {
	accounts map[ident.Workspace]*account
	// level is the fair sum per unit of weight, which no workspace should exceed while another
	// one is underserved; infinite if the capacity suffices for all.
	level   float64
	levelAt time.Time
	// grantedLevel is the fair sum per unit of weight of what was granted in all, with
	// shareTolerance, and at least of minDeliveredFraction of the stated rate; infinite if about
	// all that was asked for was granted.
	grantedLevel float64
	// minUnderserved is the least granted sum per unit of weight among the workspaces whose
	// present demand exceeds the level, and minShed the least among those of them that daemons
	// shed for lack of processor time; infinite if there is none.
	minUnderserved, minShed float64
	// fleetSums reports that the sums received are totals of the fleet, including this
	// daemon's.
	fleetSums bool
	// ownedFraction is the fraction of the targets that this daemon owns, and reportAge the
	// average age of the sums received from others.
	ownedFraction float64
	reportAge     time.Duration
}

func newShares() shares {
	return shares{accounts: map[ident.Workspace]*account{}, level: math.Inf(1), grantedLevel: math.Inf(1), minUnderserved: math.Inf(1), minShed: math.Inf(1), reportAge: reportAgeDirect}
}

func (s *shares) account(ws ident.Workspace) *account {
	a := s.accounts[ws]
	if a == nil {
		a = &account{weight: 1, others: map[ident.Daemon]*decayingSums{}}
		s.accounts[ws] = a
	}
	return a
}

// configure creates the accounts of the given workspaces and deletes all others.
func (s *shares) configure(list []Workspace) {
	kept := make(map[ident.Workspace]bool, len(list))
	for _, w := range list {
		s.account(w.Name).weight = w.Weight
		kept[w.Name] = true
	}
	for name := range s.accounts {
		if !kept[name] {
			delete(s.accounts, name)
		}
	}
}

// withinShare reports whether a workspace may be granted a further cost and stay within its
// share. It may exceed the fair level by shareTolerance, since the sums of other daemons are
// some hundred ms old and requests differ in size.
func (s *shares) withinShare(now time.Time, ws ident.Workspace, cost float64, rate rates) bool {
	if rate.stated <= 0 {
		return true
	}
	s.refresh(now, rate.stated, rate.observed)
	a := s.account(ws)
	return s.estimatedGrants(now, a)+cost/2 <= a.weight*s.level*shareTolerance
}

// shareUsed returns how much of its share a workspace has used; 1 is all of it. Where targets
// deliver less than the rate that is divided, its share is that of what was granted in all.
func (s *shares) shareUsed(now time.Time, ws ident.Workspace, rate rates) float64 {
	s.refresh(now, rate.stated, rate.observed)
	a := s.account(ws)
	granted := s.estimatedGrants(now, a)
	if granted == 0 {
		return 0
	}
	return granted / (a.weight * min(s.level, s.grantedLevel))
}

// mayUseSpare reports whether a workspace above its share may use spare capacity. Spare
// capacity is shared too: a workspace that is far ahead of an underserved one waits until that
// one has caught up.
func (s *shares) mayUseSpare(now time.Time, ws ident.Workspace, cost float64, rate rates) bool {
	if rate.stated <= 0 {
		return true
	}
	s.refresh(now, rate.stated, rate.observed)
	a := s.account(ws)
	return s.estimatedGrants(now, a)+cost/2 <= a.weight*max(s.level, min(maxSpareLead*s.minUnderserved, maxShedLead*s.minShed))
}

// maxSpareLead is the ratio up to which a workspace that uses spare capacity may be ahead of
// the least served workspace that is underserved, and maxShedLead the ratio for one that
// daemons shed. Both are far below two, since each daemon sees the others' grants some hundred
// ms late, and the grants of a shed workspace may drop from one second to the next.
const (
	maxSpareLead = 1.5
	maxShedLead  = 1.3
)

// shareTolerance is the factor by which a workspace may exceed its fair level and still count
// as within its share.
const shareTolerance = 1.15

// minDeliveredFraction is the least fraction of the stated rate that targets are presumed to
// deliver. Demand is counted before it is granted: at a lower rate one burst is most of what is
// asked for, and little of it seems to have been granted.
const minDeliveredFraction = 0.2

// rates are the stated and observed capacity of the targets of a service. If the stated rate is
// zero it is unknown, and workspaces are not limited to shares.
type rates struct{ stated, observed float64 }

// refresh computes the level by water-filling the stated rate. If the observed rate is higher,
// the level rises as far as workspaces ahead stay near those that daemons shed.
func (s *shares) refresh(now time.Time, stated, observed float64) {
	if now.Sub(s.levelAt) < levelInterval && !s.levelAt.IsZero() {
		return
	}
	s.levelAt = now
	for _, a := range s.accounts {
		a.sumOthers(now, s.fleetSums)
	}
	s.level = s.waterFill(now, stated)
	s.grantedLevel = s.waterFill(now, max(shareTolerance*s.totalGranted(now)/decayTime.Seconds(), minDeliveredFraction*stated))
	s.findUnderserved(now)
	if observed > stated {
		s.level = max(s.level, min(s.waterFill(now, observed), maxObservedLead*s.minShed))
	}
	s.raiseBurstOffsets(now)
}

const (
	// maxObservedLead is the ratio up to which a workspace may be ahead of the least served one
	// that a daemon sheds, when the observed capacity exceeds the stated rate.
	//
	// Load pattern: the callers of one hot workspace all reach one small VM, which has
	// processor time for a fraction of their requests, while the other hot workspaces fill the
	// engines and get more than twice as much. Together with shareTolerance the limit is
	// maxShedLead: sums are up to 0.75 s old and the workspaces ahead alternate as the best
	// served one, so that it has to be well below two.
	//
	// It applies to shed workspaces only. Those that are underserved because the targets that
	// cache their prompts are full gain nothing if others get less at other targets.
	maxObservedLead = maxShedLead / shareTolerance
	// minShedFraction is the fraction of its demand that daemons must refuse for lack of
	// processor time for a workspace to count as shed. Daemons that otherwise refuse nothing
	// shed a few percent during a burst of new connections.
	minShedFraction = 0.05
)

// waterFill computes the max-min fair level for a rate: workspaces whose demand is below the
// level get all of it, and the rest is divided by weight. Infinite means that the rate
// suffices for all.
func (s *shares) waterFill(now time.Time, rate float64) float64 {
	type demand struct{ asked, weight float64 }
	var demands []demand
	weights, total := 0.0, 0.0
	for _, a := range s.accounts {
		if asked := a.sums(now).asked; asked > 0 {
			demands = append(demands, demand{asked, a.weight})
			weights += a.weight
			total += asked
		}
	}
	// The decaying sum of a constant rate is the rate times the time constant.
	remaining := rate * decayTime.Seconds()
	if total <= remaining {
		return math.Inf(1)
	}
	slices.SortFunc(demands, func(a, b demand) int {
		if a.asked*b.weight < b.asked*a.weight {
			return -1
		}
		return 1
	})
	for _, d := range demands {
		if d.asked/d.weight >= remaining/weights {
			return remaining / weights
		}
		remaining -= d.asked
		weights -= d.weight
	}
	return math.Inf(1)
}

// findUnderserved finds the least served workspace that is underserved, and the least served
// one that daemons shed.
func (s *shares) findUnderserved(now time.Time) {
	s.minUnderserved, s.minShed = math.Inf(1), math.Inf(1)
	for _, a := range s.accounts {
		sum := a.sums(now)
		a.present.observe(now, sum)
		present := a.present.now(now)
		present.asked = min(present.asked, sum.asked)
		if present.asked <= a.weight*s.level*shareTolerance {
			continue
		}
		granted := sum.withoutDecline(present)
		s.minUnderserved = min(s.minUnderserved, granted/a.weight)
		if present.shed >= minShedFraction*present.asked {
			s.minShed = min(s.minShed, granted/a.weight)
		}
	}
}

// totalGranted returns the recent grants of all daemons to all workspaces.
func (s *shares) totalGranted(now time.Time) float64 {
	sum := 0.0
	for _, a := range s.accounts {
		sum += a.sums(now).granted
	}
	return sum
}
