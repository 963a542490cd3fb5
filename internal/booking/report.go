package booking

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// ShareReport describes how a service is divided among workspaces, as this daemon sees it.
// Rates are in units of Request.Cost per second.
type ShareReport struct {
	Service ident.Service
	// Stated is the configured rate of the targets, Observed the rate that they were seen to
	// reach.
	Stated, Observed float64
	// Level is the fair share of a workspace of weight 1. MinUnderserved is the least that an
	// underserved workspace gets, and MinShed the least that one gets whose requests daemons
	// refuse for lack of processor time; zero means that there is none.
	Level, MinUnderserved, MinShed float64
	// TopWorkspaces are the workspaces with the highest demand.
	TopWorkspaces []WorkspaceDemand
	// Decisions are those of this daemon since the previous call, for the workspaces that asked
	// it for most.
	Decisions []WorkspaceDecisions
	// OwnedTargets describes the targets that this daemon owns.
	OwnedTargets TargetUtilization
}

// WorkspaceDecisions is what one daemon decided about a workspace, in units of Request.Cost.
// Each value except Refused counts a request once in the fleet, so that the values of the
// daemons add up.
type WorkspaceDecisions struct {
	Workspace ident.Workspace `json:"workspace"`
	// Shed is what the daemon refused for lack of processor time, Unanswered what it refused
	// because no owner replied in time, and Granted what it granted as an owner.
	Shed       int `json:"shed,omitempty"`
	Unanswered int `json:"unheard,omitempty"`
	Granted    int `json:"granted,omitempty"`
	// Refused is what it refused as an owner, by Limit. A request counts at each owner that was
	// asked.
	Refused map[string]int `json:"refused,omitempty"`
}

// total is what the workspace asked the daemon for.
func (w *WorkspaceDecisions) total() int {
	sum := w.Shed + w.Unanswered + w.Granted
	for _, refused := range w.Refused {
		sum += refused
	}
	return sum
}

// TargetUtilization is the mean utilization of the targets that one daemon owns.
type TargetUtilization struct {
	Owned int `json:"owned"`
	// SlotUtilization is the fraction of the slots in use, Utilization the use of the most
	// heavily used resource relative to its desired use.
	SlotUtilization float64 `json:"taken"`
	Utilization     float64 `json:"use"`
}

// WorkspaceDemand is the recent demand of a workspace, the part of it that daemons refused for
// lack of processor time, and what owners granted. Requests that no daemon has read are not
// included.
type WorkspaceDemand struct {
	Workspace ident.Workspace `json:"workspace"`
	Asked     int             `json:"asked"`
	Shed      int             `json:"shed"`
	Granted   int             `json:"granted"`
	// Unused is what this daemon recently granted as an owner and no target has run.
	Unused int `json:"unused"`
}

const (
	// maxTopWorkspaces bounds ShareReport.TopWorkspaces: the highest demands determine the
	// level.
	maxTopWorkspaces = 4
	// maxDecisions bounds ShareReport.Decisions.
	maxDecisions = 8
	// maxLevelAge is the age beyond which a level is recomputed for the report. A daemon that
	// only refuses for lack of processor time does not compute it for its decisions.
	maxLevelAge = memberPublishInterval
)

// ShareReports returns the services with an underserved workspace. Decisions of this daemon are
// counted from the previous call on.
func (c *Core) ShareReports(now time.Time) (list []ShareReport) {
	for name, s := range c.services {
		own := s.shares.takeDecisions()
		if !s.servesModel || s.rate <= 0 {
			continue
		}
		if now.Sub(s.shares.levelAt) > maxLevelAge {
			s.shares.refresh(now, s.rate, s.capacity.rate)
		}
		if math.IsInf(s.shares.minUnderserved, 1) {
			continue
		}
		list = append(list, ShareReport{
			Service: name, Stated: s.rate, Observed: s.capacity.rate,
			Level: perSecond(s.shares.level), MinUnderserved: perSecond(s.shares.minUnderserved), MinShed: perSecond(s.shares.minShed),
			TopWorkspaces: s.shares.topWorkspaces(now), Decisions: own, OwnedTargets: s.targetUtilization(now),
		})
	}
	return list
}

// targetUtilization returns the mean utilization of the targets that this daemon owns.
func (s *service) targetUtilization(now time.Time) (u TargetUtilization) {
	for _, e := range s.sortedEngines {
		if e.owned {
			u.Owned++
			u.SlotUtilization += e.occupancy()
			u.Utilization += e.utilization(now)
		}
	}
	if u.Owned > 0 {
		u.SlotUtilization = roundHundredths(u.SlotUtilization / float64(u.Owned))
		u.Utilization = roundHundredths(u.Utilization / float64(u.Owned))
	}
	return u
}

func roundHundredths(x float64) float64 { return math.Round(100*x) / 100 }

// tally is what a daemon has decided about a workspace, in units of Request.Cost.
type tally struct {
	shed, unanswered, granted float64
	refused                   [len(limitNames)]float64
}

// countUnanswered counts a refused request for which no owner's reply arrived. If it was not
// sent to an owner either, it is in no workspace's demand.
func (c *Core) countUnanswered(r *request) {
	if s := c.services[r.Service]; s != nil && r.ownersAsked > 0 && !r.anyReply {
		s.shares.account(r.Workspace).tally.unanswered += r.Cost()
	}
}

// record counts an owner's decision about a reservation.
func (t *tally) record(res Reservation, l Limit) {
	switch {
	case l != LimitNone:
		t.refused[l] += reservationCost(res)
	case !res.PreviouslyPlaced:
		t.granted += reservationCost(res)
	}
}

// decisions returns the values of a tally for the report.
func (t *tally) decisions(name ident.Workspace) WorkspaceDecisions {
	own := WorkspaceDecisions{Workspace: name, Shed: int(t.shed), Unanswered: int(t.unanswered), Granted: int(t.granted)}
	for l, refused := range t.refused {
		if refused == 0 {
			continue
		}
		if own.Refused == nil {
			own.Refused = map[string]int{}
		}
		own.Refused[Limit(l).String()] = int(refused)
	}
	return own
}

// takeDecisions returns the tallies of the workspaces that asked this daemon for most, in
// descending order, and resets all tallies.
func (s *shares) takeDecisions() (list []WorkspaceDecisions) {
	for name, a := range s.accounts {
		if a.tally != (tally{}) {
			list = append(list, a.tally.decisions(name))
			a.tally = tally{}
		}
	}
	slices.SortFunc(list, func(a, b WorkspaceDecisions) int {
		return cmp.Or(cmp.Compare(b.total(), a.total()), cmp.Compare(a.Workspace, b.Workspace))
	})
	return list[:min(len(list), maxDecisions)]
}

// topWorkspaces returns the workspaces with the highest demand, in descending order.
func (s *shares) topWorkspaces(now time.Time) (list []WorkspaceDemand) {
	for name, a := range s.accounts {
		sum := a.sums(now)
		list = append(list, WorkspaceDemand{
			Workspace: name, Asked: int(perSecond(sum.asked)), Shed: int(perSecond(sum.shed)), Granted: int(perSecond(sum.granted)),
			Unused: int(perSecond(a.unusedGrants.now(now))),
		})
	}
	slices.SortFunc(list, func(a, b WorkspaceDemand) int {
		return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Workspace, b.Workspace))
	})
	return list[:min(len(list), maxTopWorkspaces)]
}

// perSecond converts a decaying sum to a rate; an infinite sum means that there is none and
// gives zero.
func perSecond(sum float64) float64 {
	if math.IsInf(sum, 1) {
		return 0
	}
	return math.Round(sum / decayTime.Seconds())
}
