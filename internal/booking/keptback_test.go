package booking_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
)

// keptBack is the load of a fleet in which all callers of one workspace reach one small VM
// after the other, which refuse most of what they ask for, while another workspace's burst
// comes through all VMs. Rates are in tokens a second.
type keptBack struct {
	// passes is what the small VMs let through. From falls on it is halved every halves,
	// down to least.
	passes, least float64
	falls, halves time.Duration
	// burst is what the second workspace asks for, from begins on.
	burst  float64
	begins time.Duration
	// second is what small VMs let through of a third workspace, which asks for more from
	// begins on.
	second float64
	// served tells that until then the first one's callers get all by their second try.
	served bool
}

const (
	keptSize = 12000 // mean size of a request
	keptMost = 1000 + 3*(keptSize-1000)/2
	keptAsks = 8e6 // what the first workspace asks for, returns of the refused included
	// keptUsual is what a third workspace asks for before its burst.
	keptUsual = 0.4e6
	keptStep  = 100 * time.Millisecond
	keptEnd   = 24 * time.Second
)

// got is what a workspace was granted in each step.
type got [keptEnd / keptStep]float64

func (g *got) span(first, steps int) float64 {
	sum := 0.0
	for _, x := range g[first : first+steps] {
		sum += x
	}
	return sum
}

// played is what the three workspaces got.
type played struct{ kept, ahead, second *got }

// plays are those that tests share: each takes a second.
var plays = map[keptBack]map[uint64]played{}

// play returns what the workspaces got with a seed.
func (k keptBack) play(seed uint64) (kept, ahead, second *got) {
	if plays[k] == nil {
		plays[k] = map[uint64]played{}
	}
	p, ok := plays[k][seed]
	if !ok {
		p.kept, p.ahead, p.second = k.run(seed)
		plays[k][seed] = p
	}
	return p.kept, p.ahead, p.second
}

// run plays the load on 68 daemons in four zones before 60 engines, which could give all
// that is asked for.
func (k keptBack) run(seed uint64) (kept, ahead, second *got) {
	s := newZonedSim(seed, []ident.Zone{"a", "b", "c", "d"}, 68, 60, "kept", "ahead", "second")
	s.service.Rate = 500000
	for _, e := range s.engines {
		e.rate = 10 * simRate
	}
	s.tellPeers()
	begin := s.now
	kept, ahead, second = new(got), new(got), new(got)
	s.placed = func(j *job) {
		to := map[ident.Workspace]*got{"kept": kept, "ahead": ahead, "second": second}[j.Workspace]
		to[min(len(to)-1, int(s.now.Sub(begin)/keptStep))] += j.Cost()
	}
	request := session(1, 4000, 1000, keptSize-1000, 0)
	s.offerThrough(through{"kept", 1, k.first, k.firstAsks}, request)
	if k.second > 0 {
		s.offerThrough(through{"second", 2, k.third, func(at time.Duration) float64 {
			if at < k.begins {
				return keptUsual
			}
			return keptAsks / 2
		}}, request)
	}
	s.offer(load{workspace: "ahead", perSecond: k.burst / keptSize, from: k.begins, to: keptEnd, objective: 400 * time.Millisecond, make: request})
	s.run(keptEnd)
	return kept, ahead, second
}

// through is what small VMs let through of a workspace, and asks what its callers ask for,
// returns of the refused included.
type through struct {
	workspace ident.Workspace
	daemon    int
	lets      func(at time.Duration) float64
	asks      func(at time.Duration) float64
}

// offerThrough brings a workspace's requests to one daemon, which refuses a part of them.
func (s *sim) offerThrough(v through, request func(*rand.Rand) booking.Request) {
	begin, small := s.now, s.daemons[v.daemon]
	var next func()
	next = func() {
		at := s.now.Sub(begin)
		if at >= keptEnd {
			return
		}
		r := request(s.rng)
		r.Workspace = v.workspace
		if s.rng.Float64() < v.lets(at)/v.asks(at) {
			s.submit(small, r, 400*time.Millisecond)
		} else {
			small.core.RecordShed(s.now, "pool", r.Workspace, r.Cost())
		}
		s.after(time.Duration(s.rng.ExpFloat64()*keptSize/v.asks(at)*float64(time.Second)), next)
	}
	s.after(0, next)
}

// first is what is let through of the first workspace.
func (k keptBack) first(at time.Duration) float64 {
	if k.halves == 0 || at < k.falls {
		return k.passes
	}
	return max(k.least, k.passes*math.Exp2(-(at-k.falls).Seconds()/k.halves.Seconds()))
}

func (k keptBack) firstAsks(at time.Duration) float64 {
	if k.served && at < k.begins {
		return 2 * k.passes
	}
	return keptAsks
}

// third is what is let through of the third one: its usual, and more from the burst on.
func (k keptBack) third(at time.Duration) float64 {
	if at < k.begins {
		return keptUsual
	}
	return k.second
}

// steadyLoad has one workspace that is kept back, and twoLoad a second one, whose burst begins
// with that of the one ahead.
var (
	steadyLoad = keptBack{passes: 1.24e6, burst: 5.3e6, begins: 9500 * time.Millisecond}
	twoLoad    = keptBack{passes: 1.9e6, second: 0.8e6, burst: 5.3e6, begins: 9500 * time.Millisecond}
)

// lacks tells whether a workspace has less than half of what another one has, but for three
// of the largest requests.
func lacks(has, other float64) bool { return has < (other-3*keptMost)/2 }

// Guards against owners that each grant a burst what all together may, as they know late what
// the others grant: a workspace that daemons keep back gets less than half of what it gets.
func TestABurstStaysNearAWorkspaceThatIsKeptBack(t *testing.T) {
	const ms = time.Millisecond
	for name, k := range map[string]keptBack{
		"steady":  steadyLoad,
		"falling": {passes: 1.24e6, least: 0.31e6, falls: 6 * time.Second, halves: 5 * time.Second, burst: 5.3e6, begins: 9500 * ms},
		"served":  {passes: 1.2e6, least: 0.5e6, falls: 9500 * ms, halves: time.Second, served: true, burst: 5.3e6, begins: 9500 * ms},
		"two":     twoLoad,
	} {
		for _, seed := range seeds {
			kept, ahead, second := k.play(seed)
			const steps = int(6 * time.Second / keptStep)
			for first := int(k.begins / keptStep); first+steps <= len(kept); first++ {
				has, other, third := kept.span(first, steps), ahead.span(first, steps), second.span(first, steps)
				if lacks(has, other) || k.second > 0 && lacks(third, other) {
					t.Errorf("%s, seed %d, from %s on: %.2f M tokens of the burst, %.2f and %.2f M of those kept back",
						name, seed, time.Duration(first)*keptStep, other/1e6, has/1e6, third/1e6)
					break
				}
			}
		}
	}
}

// Guards against engines that idle while a workspace that is kept back is the reason to refuse
// others: the other one gets about what it may have beside it.
func TestABurstGetsWhatItMayHaveBesideAWorkspaceThatIsKeptBack(t *testing.T) {
	is := is.New(t)
	k := steadyLoad
	for _, seed := range seeds {
		kept, ahead, _ := k.play(seed)
		first := int(12 * time.Second / keptStep)
		is.True(ahead.span(first, len(kept)-first) >= kept.span(first, len(kept)-first))
	}
}
