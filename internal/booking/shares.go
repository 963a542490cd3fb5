package booking

import (
	"math"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// levelEvery is how long a computed level holds: demands move over seconds, and
// each computation looks at every workspace and at what each daemon told of it.
const levelEvery = 50 * time.Millisecond

// shares divides the rate of a service among its workspaces.
type shares struct {
	accounts map[ident.Workspace]*account
	// level is the fair sum per weight that no workspace needs to exceed while
	// another lacks; infinite where there is enough for all.
	level   float64
	levelAt time.Time
	// behind is the least granted sum per weight among the workspaces that ask for
	// more than the level, and keptBack that among those of them that daemons keep back
	// for want of processor time; infinite where there is none.
	behind, keptBack float64
	// fleet tells that what others told is the fleet's sum, this daemon's included.
	fleet bool
	// part is the part of the targets that this daemon owns, and news how old on average
	// what others told is.
	part float64
	news time.Duration
}

func newShares() shares {
	return shares{accounts: map[ident.Workspace]*account{}, level: math.Inf(1), behind: math.Inf(1), keptBack: math.Inf(1), news: newsDirect}
}

func (s *shares) account(ws ident.Workspace) *account {
	a := s.accounts[ws]
	if a == nil {
		a = &account{weight: 1, others: map[ident.Daemon]*fading{}}
		s.accounts[ws] = a
	}
	return a
}

// configure keeps the accounts of these workspaces.
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

// within tells whether a workspace may have so much more and stay within its
// share. Room is the part above the fair level that it may reach: sums of other
// daemons are some hundred ms old, and requests are of unequal size.
func (s *shares) within(now time.Time, ws ident.Workspace, cost float64, rate rates) bool {
	if rate.stated <= 0 {
		return true
	}
	s.refresh(now, rate.stated, rate.observed)
	a := s.account(ws)
	return s.reached(now, a)+cost/2 <= a.weight*s.level*room
}

// used returns how much of its share a workspace has had: one is all of it.
func (s *shares) used(now time.Time, ws ident.Workspace, rate rates) float64 {
	s.refresh(now, rate.stated, rate.observed)
	a := s.account(ws)
	return s.reached(now, a) / (a.weight * s.level)
}

// maySpare tells whether a workspace above its share may have what is spare. That
// is shared too: one that is far ahead of another that lacks waits until the other
// has caught up.
func (s *shares) maySpare(now time.Time, ws ident.Workspace, cost float64, rate rates) bool {
	if rate.stated <= 0 {
		return true
	}
	s.refresh(now, rate.stated, rate.observed)
	a := s.account(ws)
	return s.reached(now, a)+cost/2 <= a.weight*max(s.level, min(spareLead*s.behind, keptBackLead*s.keptBack))
}

// spareLead is how far a workspace may be ahead of the least served one that lacks
// and still get what is spare, and keptBackLead over one that daemons keep back. Far below two,
// since each daemon sees what the others granted some hundred ms late, and one that is kept back
// may get less from one second to the next.
const (
	spareLead    = 1.5
	keptBackLead = 1.3
)

// room is how far above its fair level a workspace may be and still count as
// within its share.
const room = 1.15

// rates are what the targets of a service give, as stated and as observed; a stated one of
// zero is not known, and no workspace is held to a share.
type rates struct{ stated, observed float64 }

// refresh computes the level: what filling up the stated rate gives, and of the observed
// one as much more as keeps those ahead near those that daemons keep back.
func (s *shares) refresh(now time.Time, stated, observed float64) {
	if now.Sub(s.levelAt) < levelEvery && !s.levelAt.IsZero() {
		return
	}
	s.levelAt = now
	for _, a := range s.accounts {
		a.addUp(now, s.fleet)
	}
	s.level = s.fill(now, stated)
	s.findBehind(now)
	if observed > stated {
		s.level = max(s.level, min(s.fill(now, observed), observedLead*s.keptBack))
	}
	s.liftAll(now)
}

const (
	// observedLead is how far a workspace may be ahead of the least served one that a
	// daemon keeps back, by what targets were seen to give beyond the stated rate.
	//
	// Load pattern: the callers of one hot workspace all reach one small VM, which has the
	// processor time for a fraction of what they ask for, while the other hot ones fill
	// the engines, and get more than twice what the hot one does. With the room above the
	// level it is keptBackLead: sums are up to 0.75 s old and those ahead take
	// turns at being the best served, so that it has to be well below two.
	//
	// It binds for such workspaces alone. Those that lack because the targets that keep
	// their prompts are full gain nothing where others get less at other targets.
	observedLead = keptBackLead / room
	// keptBackFrom is the part of what a workspace asks for from which on daemons that
	// refuse it for want of processor time keep it back. Daemons that refuse nothing else
	// refuse a few in a hundred while a burst of new connections lasts.
	keptBackFrom = 0.05
)

// fill fills a rate up: workspaces that ask for less than the level get what they ask, and
// the rest is divided by weight. Infinite: there is enough for all.
func (s *shares) fill(now time.Time, rate float64) float64 {
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
	// A faded sum of a constant rate is the rate times the time constant.
	left := rate * fade.Seconds()
	if total <= left {
		return math.Inf(1)
	}
	slices.SortFunc(demands, func(a, b demand) int {
		if a.asked*b.weight < b.asked*a.weight {
			return -1
		}
		return 1
	})
	for _, d := range demands {
		if d.asked/d.weight >= left/weights {
			return left / weights
		}
		left -= d.asked
		weights -= d.weight
	}
	return math.Inf(1)
}

// findBehind finds the least served workspace that lacks, and the least served one that
// daemons keep back.
func (s *shares) findBehind(now time.Time) {
	s.behind, s.keptBack = math.Inf(1), math.Inf(1)
	for _, a := range s.accounts {
		sum := a.sums(now)
		if sum.asked <= a.weight*s.level*room {
			continue
		}
		s.behind = min(s.behind, sum.granted/a.weight)
		if sum.shed >= keptBackFrom*sum.asked {
			s.keptBack = min(s.keptBack, sum.granted/a.weight)
		}
	}
}

// granted is what was granted of late, over all workspaces and daemons.
func (s *shares) granted(now time.Time) float64 {
	sum := 0.0
	for _, a := range s.accounts {
		sum += a.sums(now).granted
	}
	return sum
}
