package booking

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// Sharing is how a service is divided among workspaces, as this daemon sees it. Rates are
// in units of Request.Cost a second.
type Sharing struct {
	Service ident.Service
	// Stated is the rate that the targets are said to give, Observed what they were seen
	// to give.
	Stated, Observed float64
	// Level is what a workspace of weight one may have, Behind the least that one that
	// lacks has, and KeptBack the least that one has which daemons keep back for want of
	// processor time; zero: there is none.
	Level, Behind, KeptBack float64
	// Most are the workspaces that ask for most.
	Most []WorkspaceUse
	// Own are the workspaces that asked this daemon for most since the call before.
	Own []WorkspaceOwn
	// Targets are those that this daemon owns.
	Targets TargetsUse
}

// WorkspaceOwn is what one daemon decided about a workspace, in units of Request.Cost. Each
// figure counts once in the fleet but for Refused, so that daemons' figures add up.
type WorkspaceOwn struct {
	Workspace ident.Workspace `json:"workspace"`
	// Shed is what it refused for want of processor time, Unheard what it refused since no
	// owner's answer came in time, and Granted what it granted as an owner.
	Shed    int `json:"shed,omitempty"`
	Unheard int `json:"unheard,omitempty"`
	Granted int `json:"granted,omitempty"`
	// Refused is what it refused as an owner, by Limit. A request counts at each owner that
	// was asked.
	Refused map[string]int `json:"refused,omitempty"`
}

// total is what the workspace asked the daemon for.
func (w *WorkspaceOwn) total() int {
	sum := w.Shed + w.Unheard + w.Granted
	for _, refused := range w.Refused {
		sum += refused
	}
	return sum
}

// TargetsUse is how far the targets that one daemon owns are used, in the mean.
type TargetsUse struct {
	Owned int `json:"owned"`
	// Taken is the part of the slots, Use how near they are to what they may be used for.
	Taken float64 `json:"taken"`
	Use   float64 `json:"use"`
}

// WorkspaceUse is what a workspace asked for of late, what of that daemons refused for want
// of processor time, and what owners granted. What no daemon has read is in none of them.
type WorkspaceUse struct {
	Workspace ident.Workspace `json:"workspace"`
	Asked     int             `json:"asked"`
	Shed      int             `json:"shed"`
	Granted   int             `json:"granted"`
	// Unused is what this daemon granted of late as an owner and no target has run.
	Unused int `json:"unused"`
}

const (
	// mostTold bounds Sharing.Most: those that ask for most decide the level.
	mostTold = 4
	// ownTold bounds Sharing.Own.
	ownTold = 8
	// levelOld is the age from which on a level is computed for the report. A daemon that
	// only refuses for want of processor time decides by none.
	levelOld = tellEvery
)

// Sharing returns the services of which some workspace lacks. What this daemon itself did
// counts from the call before.
func (c *Core) Sharing(now time.Time) (list []Sharing) {
	for name, s := range c.services {
		own := s.shares.takeOwn()
		if !s.model || s.rate <= 0 {
			continue
		}
		if now.Sub(s.shares.levelAt) > levelOld {
			s.shares.refresh(now, s.rate, s.capacity.rate)
		}
		if math.IsInf(s.shares.behind, 1) {
			continue
		}
		list = append(list, Sharing{
			Service: name, Stated: s.rate, Observed: s.capacity.rate,
			Level: perSecond(s.shares.level), Behind: perSecond(s.shares.behind), KeptBack: perSecond(s.shares.keptBack),
			Most: s.shares.most(now), Own: own, Targets: s.targetsUse(now),
		})
	}
	return list
}

// targetsUse is how far the targets that this daemon owns are used.
func (s *service) targetsUse(now time.Time) (u TargetsUse) {
	for _, e := range s.order {
		if e.owned {
			u.Owned++
			u.Taken += e.taken()
			u.Use += e.use(now)
		}
	}
	if u.Owned > 0 {
		u.Taken = hundredths(u.Taken / float64(u.Owned))
		u.Use = hundredths(u.Use / float64(u.Owned))
	}
	return u
}

func hundredths(x float64) float64 { return math.Round(100*x) / 100 }

// tally is what a daemon has decided about a workspace, in units of Request.Cost.
type tally struct {
	shed, unheard, granted float64
	refused                [len(limitNames)]float64
}

// countUnheard counts a refused request of which no owner's answer was read. Where no owner
// was sent it either, it counts in no workspace's demand.
func (c *Core) countUnheard(r *request) {
	if s := c.services[r.Service]; s != nil && r.tried > 0 && !r.answered {
		s.shares.account(r.Workspace).tally.unheard += r.Cost()
	}
}

// decided counts a decision of an owner about an ask.
func (t *tally) decided(a Ask, l Limit) {
	switch {
	case l != LimitNone:
		t.refused[l] += cost(a)
	case !a.Begun:
		t.granted += cost(a)
	}
}

// of names a tally's figures.
func (t *tally) of(name ident.Workspace) WorkspaceOwn {
	own := WorkspaceOwn{Workspace: name, Shed: int(t.shed), Unheard: int(t.unheard), Granted: int(t.granted)}
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

// takeOwn returns the tallies of the workspaces that asked this daemon for most, in order,
// and starts all anew.
func (s *shares) takeOwn() (list []WorkspaceOwn) {
	for name, a := range s.accounts {
		if a.tally != (tally{}) {
			list = append(list, a.tally.of(name))
			a.tally = tally{}
		}
	}
	slices.SortFunc(list, func(a, b WorkspaceOwn) int {
		return cmp.Or(cmp.Compare(b.total(), a.total()), cmp.Compare(a.Workspace, b.Workspace))
	})
	return list[:min(len(list), ownTold)]
}

// most returns the workspaces that ask for most, in order.
func (s *shares) most(now time.Time) (list []WorkspaceUse) {
	for name, a := range s.accounts {
		sum := a.sums(now)
		list = append(list, WorkspaceUse{
			Workspace: name, Asked: int(perSecond(sum.asked)), Shed: int(perSecond(sum.shed)), Granted: int(perSecond(sum.granted)),
			Unused: int(perSecond(a.unused.now(now))),
		})
	}
	slices.SortFunc(list, func(a, b WorkspaceUse) int {
		return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Workspace, b.Workspace))
	})
	return list[:min(len(list), mostTold)]
}

// perSecond turns a sum that fades into a rate; an infinite one is none.
func perSecond(sum float64) float64 {
	if math.IsInf(sum, 1) {
		return 0
	}
	return math.Round(sum / fade.Seconds())
}
