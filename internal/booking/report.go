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
}

// WorkspaceUse is what a workspace asked for of late, what of that daemons refused for want
// of processor time, and what owners granted and did not take back. What no daemon has read is in
// none of them.
type WorkspaceUse struct {
	Workspace ident.Workspace `json:"workspace"`
	Asked     int             `json:"asked"`
	Shed      int             `json:"shed"`
	Granted   int             `json:"granted"`
	// Unused is what this daemon granted of late as an owner and took back, as no target has run it.
	Unused int `json:"unused"`
}

// mostTold bounds Sharing.Most: those that ask for most decide the level.
const mostTold = 4

// Sharing returns the services of which some workspace lacks. The level is computed when
// somebody asks; one that is older than the sums' memory tells of a demand that is over.
func (c *Core) Sharing(now time.Time) (list []Sharing) {
	for name, s := range c.services {
		if !s.model || s.rate <= 0 || math.IsInf(s.shares.behind, 1) || now.Sub(s.shares.levelAt) > fade {
			continue
		}
		list = append(list, Sharing{
			Service: name, Stated: s.rate, Observed: s.capacity.rate,
			Level: perSecond(s.shares.level), Behind: perSecond(s.shares.behind), KeptBack: perSecond(s.shares.keptBack),
			Most: s.shares.most(now),
		})
	}
	return list
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
