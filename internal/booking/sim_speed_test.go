package booking_test

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
)

// Parameters of targets of uneven speed.
const (
	unevenRate     = 112 // tokens per millisecond of prefill at the nominal speed
	unevenSlots    = 12
	spellFraction  = 0.15
	spellSlowdown  = 2.5
	spellDuration  = 600 * time.Millisecond
	truthInterval  = 100 * time.Millisecond
	unevenMeanStep = 3410 * time.Microsecond
	unevenRunStep  = 100 * time.Microsecond
)

// unevenSim is a sim whose targets differ in speed and have slow spells.
type unevenSim struct {
	*sim
	// speeds are the speeds without spells, present those with them.
	speeds, present map[ident.Target]float64
	// spells is set if there are slow spells.
	spells bool
}

// newUnevenSim gives the targets the speeds in rotation.
func newUnevenSim(seed uint64, daemons, engines int, learn bool, speeds ...float64) *unevenSim {
	u := &unevenSim{sim: newSim(seed, daemons, engines, "a", "b", "c"), speeds: map[ident.Target]float64{}, present: map[ident.Target]float64{}, spells: true}
	u.service.LearnSpeeds = learn
	for i := range u.service.Targets {
		t := &u.service.Targets[i]
		t.Slots, t.Memory = unevenSlots, 478910
		u.engines[t.Name].spec = *t
		u.speeds[t.Name] = speeds[i%len(speeds)]
	}
	u.stepTime = func(e *engine) time.Duration {
		step := unevenMeanStep + time.Duration(e.slotsUsed)*unevenRunStep
		return time.Duration(float64(step) / u.present[e.spec.Name])
	}
	u.liveSteps = true
	u.redraw()
	u.updatePeers()
	return u
}

// redraw draws which targets are in a slow spell.
func (u *unevenSim) redraw() {
	for _, t := range u.service.Targets {
		u.present[t.Name] = u.speeds[t.Name]
		if u.spells && u.rng.Float64() < spellFraction {
			u.present[t.Name] /= spellSlowdown
		}
		u.engines[t.Name].rate = unevenRate * u.present[t.Name]
	}
	u.schedule(spellDuration, u.redraw)
}

// offerUneven offers long prompts, chats and tags, at a factor of the rates of a service of 112
// targets and scaled to the number of targets.
func (u *unevenSim) offerUneven(factor float64, end time.Duration) {
	perTarget := factor * float64(len(u.engines)) / 112 / 3
	for _, w := range []ident.Workspace{"a", "b", "c"} {
		u.offer(workload{workspace: w, perSecond: 399 * perTarget, end: end, objective: 600 * time.Millisecond, newRequest: sessionRequests(1, 10*len(u.engines), 5382, 6610, 378)})
		u.offer(workload{workspace: w, perSecond: 338 * perTarget, end: end, objective: 600 * time.Millisecond, newRequest: sessionRequests(100000, 30*len(u.engines), 198, 628, 288)})
		u.offer(workload{workspace: w, perSecond: 918 * perTarget, end: end, objective: time.Second, newRequest: sessionRequests(200000, 20*len(u.engines), 568, 1800, 27)})
	}
	mean := 399*12750.0 + 338*1402 + 918*2422
	u.service.Rate = 0.7 * mean * float64(len(u.engines)) / 112
	u.updatePeers()
}

// inject gives owners speeds from outside, as an estimator would.
func (u *unevenSim) inject(speed func(t booking.Target) (float64, bool)) {
	for _, t := range u.service.Targets {
		if s, ok := speed(t); ok {
			for _, d := range u.daemons {
				d.core.SetSpeed(u.now, "pool", t.Name, s)
			}
		}
	}
	u.schedule(truthInterval, func() { u.inject(speed) })
}

// owner returns the daemon that owns a target, and the weight of the target there.
func (u *unevenSim) owner(target ident.Target) (*daemon, float64) {
	for _, d := range u.daemons {
		if d.dead {
			continue
		}
		if weight, owned := d.core.Weight(u.now, "pool", target); owned {
			return d, weight
		}
	}
	return nil, 0
}

// total adds up the outcomes of all workspaces.
func (u *unevenSim) total() (sum tally) {
	for _, t := range u.tallies {
		sum.submitted += t.submitted
		sum.inTime += t.inTime
		sum.late += t.late
		sum.refused += t.refused
	}
	return sum
}

// injectEstimates feeds estimators with the present speeds at the times of simulated responses, and
// owners with what they estimate.
func (u *unevenSim) injectEstimates(fresh func() booking.Estimator) {
	list := map[ident.Target]booking.Estimator{}
	rng := rand.New(rand.NewPCG(7, 7))
	for _, t := range u.service.Targets {
		estimator := fresh()
		list[t.Name] = estimator
		var respond func()
		respond = func() {
			estimator.Observe(u.now, math.Log(u.present[t.Name])+observationNoise*rng.NormFloat64())
			u.schedule(time.Duration(rng.ExpFloat64()/responsesPerSecond*float64(time.Second)), respond)
		}
		respond()
	}
	u.inject(func(t booking.Target) (float64, bool) {
		logSpeed, ok := list[t.Name].Estimate(u.now)
		return math.Exp(logSpeed), ok
	})
}
