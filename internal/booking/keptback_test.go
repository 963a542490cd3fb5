package booking_test

import (
	"math"
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
}

const (
	keptSize = 12000 // mean size of a request
	keptMost = 1000 + 3*(keptSize-1000)/2
	keptAsks = 8e6 // what the first workspace asks for, returns of the refused included
	keptStep = 100 * time.Millisecond
	keptEnd  = 24 * time.Second
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

// play plays the load on 68 daemons in four zones before 60 engines, which could give all
// that is asked for.
func (k keptBack) play(seed uint64) (kept, ahead *got) {
	s := newZonedSim(seed, []ident.Zone{"a", "b", "c", "d"}, 68, 60, "kept", "ahead")
	s.service.Rate = 500000
	for _, e := range s.engines {
		e.rate = 10 * simRate
	}
	s.tellPeers()
	begin := s.now
	kept, ahead = new(got), new(got)
	s.placed = func(j *job) {
		to := map[ident.Workspace]*got{"kept": kept, "ahead": ahead}[j.Workspace]
		to[min(len(to)-1, int(s.now.Sub(begin)/keptStep))] += j.Cost()
	}
	request := session(1, 4000, 1000, keptSize-1000, 0)
	k.keepBack(s, begin, func() booking.Request { return request(s.rng) })
	s.offer(load{workspace: "ahead", perSecond: k.burst / keptSize, from: k.begins, to: keptEnd, objective: 400 * time.Millisecond, make: request})
	s.run(keptEnd)
	return kept, ahead
}

// keepBack brings the first workspace's requests to one daemon, which refuses a part of them.
func (k keptBack) keepBack(s *sim, begin time.Time, request func() booking.Request) {
	small := s.daemons[1]
	var next func()
	next = func() {
		if s.now.Sub(begin) >= keptEnd {
			return
		}
		r := request()
		r.Workspace = "kept"
		if s.rng.Float64() < k.passing(s.now.Sub(begin))/keptAsks {
			s.submit(small, r, 400*time.Millisecond)
		} else {
			small.core.Wanted(s.now, "pool", r.Workspace, r.Cost())
		}
		s.after(time.Duration(s.rng.ExpFloat64()*keptSize/keptAsks*float64(time.Second)), next)
	}
	s.after(0, next)
}

func (k keptBack) passing(at time.Duration) float64 {
	if k.halves == 0 || at < k.falls {
		return k.passes
	}
	return max(k.least, k.passes*math.Exp2(-(at-k.falls).Seconds()/k.halves.Seconds()))
}

// Guards against owners that each grant a burst what all together may, as they know late what
// the others grant: a workspace that daemons keep back gets less than half of what it gets.
func TestABurstStaysNearAWorkspaceThatIsKeptBack(t *testing.T) {
	const ms = time.Millisecond
	for name, k := range map[string]keptBack{
		"steady":  {passes: 1.24e6, burst: 5.3e6, begins: 9500 * ms},
		"falling": {passes: 1.24e6, least: 0.31e6, falls: 6 * time.Second, halves: 5 * time.Second, burst: 5.3e6, begins: 9500 * ms},
	} {
		for _, seed := range seeds {
			kept, ahead := k.play(seed)
			// In any six seconds, but for three of the largest requests.
			const steps = int(6 * time.Second / keptStep)
			for first := int(k.begins / keptStep); first+steps <= len(kept); first++ {
				has, other := kept.span(first, steps), ahead.span(first, steps)
				if has < (other-3*keptMost)/2 {
					t.Errorf("%s, seed %d: from %s on one got %.2f M tokens, the other %.2f M", name, seed, time.Duration(first)*keptStep, has/1e6, other/1e6)
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
	k := keptBack{passes: 1.24e6, burst: 5.3e6, begins: 9500 * time.Millisecond}
	for _, seed := range seeds {
		kept, ahead := k.play(seed)
		first := int(12 * time.Second / keptStep)
		is.True(ahead.span(first, len(kept)-first) >= kept.span(first, len(kept)-first))
	}
}
