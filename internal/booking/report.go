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
// daemons add up; what Final counts is also in Refused.
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
	// Final is what it refused its own callers after owners had replied, by the Limit of the
	// target with the shortest wait, and FinalLate the part of it that was late. A request
	// counts once.
	Final     map[string]int `json:"final,omitempty"`
	FinalLate int            `json:"final_late,omitempty"`
}

// total is what the workspace asked the daemon for.
func (w *WorkspaceDecisions) total() int {
	sum := w.Shed + w.Unanswered + w.Granted
	for _, refused := range w.Refused {
		sum += refused
	}
	for _, refused := range w.Final {
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
	// Waiting is how many requests wait for slots or memory, Waits how waits have ended since the
	// previous report.
	Waiting int        `json:"waiting,omitempty"`
	Waits   WaitCounts `json:"waits,omitzero"`
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

// ShareReports returns the services with an underserved workspace, and those of which this
// daemon has refused requests since the previous call. Decisions of this daemon are
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
		if math.IsInf(s.shares.minUnderserved, 1) && !slices.ContainsFunc(own, WorkspaceDecisions.refusedAny) {
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
			u.Waiting += len(e.waitlist.entries)
			u.Waits.add(e.waitlist.counts)
			e.waitlist.counts = WaitCounts{}
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
	shed, unanswered, granted, finalLate float64
	refused, final                       [len(limitNames)]float64
}

// countRefusal counts a request that this daemon refuses. If no owner's reply arrived and it was
// not sent to an owner either, it is in no workspace's demand.
func (c *Core) countRefusal(r *request) {
	s := c.services[r.Service]
	if s == nil || r.ownersAsked == 0 {
		return
	}
	t := &s.shares.account(r.Workspace).tally
	if !r.anyReply {
		t.unanswered += r.Cost()
		return
	}
	t.final[r.limit] += r.Cost()
	if r.Late {
		t.finalLate += r.Cost()
	}
}

// refusedAny reports whether the daemon refused any request of the workspace.
func (w WorkspaceDecisions) refusedAny() bool {
	return w.Shed > 0 || w.Unanswered > 0 || len(w.Refused) > 0 || len(w.Final) > 0
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
	own := WorkspaceDecisions{Workspace: name, Shed: int(t.shed), Unanswered: int(t.unanswered), Granted: int(t.granted), FinalLate: int(t.finalLate)}
	own.Refused, own.Final = byLimit(&t.refused), byLimit(&t.final)
	return own
}

// byLimit names the limits of the costs that are not zero; nil if all are.
func byLimit(costs *[len(limitNames)]float64) map[string]int {
	var m map[string]int
	for l, cost := range costs {
		if cost == 0 {
			continue
		}
		if m == nil {
			m = map[string]int{}
		}
		m[Limit(l).String()] = int(cost)
	}
	return m
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
