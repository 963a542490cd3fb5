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
	// another lacks; infinite where there is enough for all. Open is that of the
	// workspace that daemons keep back most, by what the targets were seen to give.
	level, open float64
	levelAt     time.Time
	// behind is the least granted sum per weight among the workspaces that ask for
	// more than the level, and keptBack that among those of them that daemons keep back
	// for want of processor time; infinite where there is none.
	behind, keptBack float64
	// least is the one that is kept back most; nil where there is none. Pressed tells that
	// daemons refuse one that asks for more than the level, whatever it gets.
	least   *account
	pressed bool
	// fleet tells that what others told is the fleet's sum, this daemon's included.
	fleet bool
	// part is the part of the targets that this daemon owns, and news how old on average
	// what others told is.
	part float64
	news time.Duration
}

func newShares() shares {
	return shares{
		accounts: map[ident.Workspace]*account{},
		level:    math.Inf(1), open: math.Inf(1), behind: math.Inf(1), keptBack: math.Inf(1),
		part: 1, news: newsDirect,
	}
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
	return s.reached(now, a)+cost/2 <= s.share(a)*room
}

// used returns how much of its share a workspace has had: one is all of it.
func (s *shares) used(now time.Time, ws ident.Workspace, rate rates) float64 {
	s.refresh(now, rate.stated, rate.observed)
	a := s.account(ws)
	return a.sums(now).granted / s.share(a)
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
	return s.reached(now, a)+cost/2 <= max(s.share(a), a.weight*spareLead*s.behind)
}

// share is the sum that a workspace may have been granted.
//
// The one that daemons keep back most is not held to a level that follows what it has itself:
// it would always seem to have had nearly all of its share, be refused for that while targets
// idle, and take the level further down for all.
func (s *shares) share(a *account) float64 {
	if s.free(a) {
		return a.weight * s.open
	}
	return a.weight * s.level
}

// free tells whether a workspace is not held to the level: the one that is kept back most, or
// where none gets too little for it, all that daemons refuse.
func (s *shares) free(a *account) bool { return a == s.least || s.least == nil && a.pressed }

// grant notes that this daemon granted a workspace so much.
func (s *shares) grant(now time.Time, ws ident.Workspace, cost float64) {
	a := s.account(ws)
	a.own.granted.add(now, cost)
	a.unsaid.addOver(now, cost, s.news)
}

// takeBack notes that what was granted a while ago was not used.
//
// The callers of a small VM that does not keep up leave before their requests are sent on. If
// what was granted for those counted, their workspace would seem to have twice what it gets,
// and others would be held near that.
func (s *shares) takeBack(now time.Time, ws ident.Workspace, cost float64, at time.Time) {
	a := s.accounts[ws]
	if a == nil {
		return
	}
	a.own.granted.take(now, faded{cost, at}.now(now))
	a.unsaid.addOver(now, -min(a.unsaid.over(now, s.news), faded{cost, at}.over(now, s.news)), s.news)
	a.unused.add(now, cost)
}

// spareLead is how far a workspace may be ahead of the least served one that lacks
// and still get what is spare. Far below two, since each daemon sees what the
// others granted some hundred ms late.
const spareLead = 1.3

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
	s.level = s.fill(now, stated, 0)
	next := s.findBehind(now)
	s.open = s.level
	if observed > stated {
		s.open = max(s.level, min(s.fill(now, observed, 0), observedLead*next))
		s.level = max(s.level, min(s.mostLevel(now, observed), observedLead*s.keptBack))
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
	// level it is the lead of what is spare: sums are up to 0.75 s old and those ahead take
	// turns at being the best served, so that it has to be well below two.
	//
	// It binds for such workspaces alone. Those that lack because the targets that keep
	// their prompts are full gain nothing where others get less at other targets.
	observedLead = spareLead / room
	// keptBackFrom is the part of what a workspace asks for from which on daemons that
	// refuse it for want of processor time keep it back. Daemons that refuse nothing else
	// refuse a few in a hundred while a burst of new connections lasts.
	keptBackFrom = 0.05
	// mostOf is the part of what a workspace asks for from which on it is not kept back,
	// whatever else is refused. Above a half: sums are up to 0.75 s old.
	mostOf = 0.6
)

// mostLevel is the level of those that daemons do not keep back. Where there is enough for all
// while daemons refuse somebody, it is what one may have that begins to ask for all: what is
// asked for is known late.
func (s *shares) mostLevel(now time.Time, observed float64) float64 {
	level := s.fill(now, observed, 0)
	if s.pressed && math.IsInf(level, 1) {
		return s.fill(now, observed, 1)
	}
	return level
}

// fill fills a rate up: workspaces that ask for less than the level get what they ask, and
// the rest is divided by weight, with one more of weight more that asks for all; zero: with no
// other. Infinite: there is enough for all.
func (s *shares) fill(now time.Time, rate, more float64) float64 {
	type demand struct{ wanted, weight float64 }
	var demands []demand
	weights, total := more, 0.0
	for _, a := range s.accounts {
		if wanted := a.sums(now).wanted(); wanted > 0 {
			demands = append(demands, demand{wanted, a.weight})
			weights += a.weight
			total += wanted
		}
	}
	// A faded sum of a constant rate is the rate times the time constant.
	left := rate * fade.Seconds()
	if total <= left && more == 0 {
		return math.Inf(1)
	}
	slices.SortFunc(demands, func(a, b demand) int {
		if a.wanted*b.weight < b.wanted*a.weight {
			return -1
		}
		return 1
	})
	for _, d := range demands {
		if d.wanted/d.weight >= left/weights {
			return left / weights
		}
		left -= d.wanted
		weights -= d.weight
	}
	if more > 0 {
		return left / more
	}
	return math.Inf(1)
}

// findBehind finds the least served workspace that lacks, and the least served one that
// daemons keep back. It returns the sum per weight of the second least served one of the
// latter; infinite: there is none.
func (s *shares) findBehind(now time.Time) (next float64) {
	s.behind, s.keptBack, s.least, s.pressed = math.Inf(1), math.Inf(1), nil, false
	next = math.Inf(1)
	for _, a := range s.accounts {
		a.pressed = false
		sum := a.sums(now)
		wanted := sum.wanted()
		if wanted <= a.weight*s.level*room {
			continue
		}
		// One that has just begun to ask for more had little because it asked for little.
		has := (sum.granted + a.lift.now(now)) / a.weight
		s.behind = min(s.behind, has)
		if sum.shed < keptBackFrom*sum.asked {
			continue
		}
		s.pressed, a.pressed = true, true
		if sum.granted >= mostOf*wanted {
			continue
		}
		if has < s.keptBack {
			next, s.keptBack, s.least = s.keptBack, has, a
		} else {
			next = min(next, has)
		}
	}
	return next
}

// granted is what was granted of late, over all workspaces and daemons.
func (s *shares) granted(now time.Time) float64 {
	sum := 0.0
	for _, a := range s.accounts {
		sum += a.sums(now).granted
	}
	return sum
}
