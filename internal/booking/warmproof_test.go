package booking_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
)

// Parameters of a fleet whose targets turn cold unnoticed.
const (
	warmEngines  = 4
	warmLimit    = 27
	warmDuration = 7 * time.Second
	warmCold     = 3 * time.Second
	// busyRate is how many requests per second each target is offered while others count what it gets.
	busyRate = 150
)

// warmSim simulates targets that turn cold at random moments, which only their health checks show.
type warmSim struct {
	*sim
	// cold is the beginning of the cold period of each target, coldAfter the time from which on it may
	// begin, sent when the target got requests and checks.
	cold, coldAfter map[ident.Target]time.Time
	sent            map[ident.Target][]time.Time
	checks          int
	// fault, if set, changes a check: the time that it takes to its target and back, and its result.
	fault func(there, back time.Duration, w booking.Warmth) (time.Duration, time.Duration, booking.Warmth)
}

func newWarmSim(seed uint64, perTarget float64, checked bool) *warmSim {
	w := &warmSim{sim: newZonedSim(seed, []ident.Zone{"a", "b"}, 8, warmEngines, "w"), cold: map[ident.Target]time.Time{}, coldAfter: map[ident.Target]time.Time{}, sent: map[ident.Target][]time.Time{}}
	w.service.ColdLimit, w.service.ChecksWarmth = warmLimit, checked
	w.onSent = func(target ident.Target) { w.sent[target] = append(w.sent[target], w.now) }
	w.onCheck = w.check
	w.sendDelay = func() time.Duration { return time.Duration(w.rng.Int64N(int64(5 * time.Millisecond))) }
	w.updatePeers()
	w.offer(workload{workspace: "w", perSecond: perTarget * warmEngines, end: warmDuration, objective: 300 * time.Millisecond, newRequest: shortRequests})
	return w
}

// turnCold makes each target cold once: right after the first check that it gets after a random moment,
// when the proof is worth most, or half a second after that moment.
func (w *warmSim) turnCold() {
	for _, t := range w.service.Targets {
		at := warmStart + time.Duration(w.rng.Int64N(int64(warmDuration-warmCold-warmStart)))
		w.coldAfter[t.Name] = w.now.Add(at)
		w.schedule(at+500*time.Millisecond, func() { w.beginCold(t.Name, 0) })
	}
}

func (w *warmSim) beginCold(target ident.Target, after time.Duration) {
	if at, planned := w.coldAfter[target]; planned && w.cold[target].IsZero() && !w.now.Before(at) {
		w.cold[target] = w.now.Add(after)
	}
}

func (w *warmSim) coldLeft(target ident.Target) time.Duration {
	if began := w.cold[target]; !began.IsZero() && !w.now.Before(began) {
		return max(0, began.Add(warmCold).Sub(w.now))
	}
	return 0
}

func (w *warmSim) check(d *daemon, check booking.CheckWarmth) {
	w.checks++
	there, back, result := w.engineDelay, w.engineDelay, booking.Warmth{Valid: true, SentAt: w.now}
	if w.fault != nil {
		there, back, result = w.fault(there, back, result)
	}
	w.schedule(there, func() {
		w.sent[check.Target] = append(w.sent[check.Target], w.now)
		if result.Valid && result.ColdLeft == 0 {
			result.ColdLeft = w.coldLeft(check.Target)
			w.beginCold(check.Target, 1+time.Duration(w.rng.Int64N(int64(20*time.Millisecond))))
		}
		w.schedule(back, func() {
			d.core.RecordWarmth(w.now, check, result)
			w.applyEffects(d)
		})
	})
}

// peakWhileCold returns the most requests that a target got in a second of a cold period.
func (w *warmSim) peakWhileCold() (peak int) {
	for target, times := range w.sent {
		began := w.cold[target]
		for i, first := range times {
			if first.Before(began) {
				continue
			}
			n := 0
			for _, at := range times[i:] {
				if at.Sub(first) < time.Second && at.Before(began.Add(warmCold)) {
					n++
				}
			}
			peak = max(peak, n)
		}
	}
	return peak
}

// warmSeeds is the number of seeds of each simulated failure.
const warmSeeds = 5

// checkPeak runs a simulation with many seeds and checks what cold targets get.
func checkPeak(t *testing.T, perTarget float64, prepare func(w *warmSim)) {
	t.Helper()
	peak, checks := 0, 0
	for seed := range uint64(warmSeeds) {
		w := newWarmSim(seed, perTarget, true)
		w.turnCold()
		prepare(w)
		w.run(warmDuration)
		if n := w.peakWhileCold(); n > warmLimit {
			t.Errorf("seed %d: %d requests in a second to a cold target, %d are tolerated", seed, n, warmLimit)
		}
		peak, checks = max(peak, w.peakWhileCold()), checks+w.checks
	}
	t.Logf("at most %d requests in a second of a cold period, %.1f checks per second and target", peak, float64(checks)/warmSeeds/warmEngines/warmDuration.Seconds())
	if peak < warmLimit/2 || checks == 0 {
		t.Errorf("at most %d requests and %d checks: the load is too low to show anything", peak, checks)
	}
}

// Guards against targets that end because they turn cold right after their owner has admitted more than
// the limit.
func TestTargetThatTurnsColdAfterAProofIsSentAtMostTheLimit(t *testing.T) {
	checkPeak(t, busyRate, func(*warmSim) {})
}

// Guards against proofs that arrive after their target has turned cold.
func TestLateChecksDoNotExceedTheColdLimit(t *testing.T) {
	checkPeak(t, busyRate, func(w *warmSim) {
		w.fault = func(_, _ time.Duration, r booking.Warmth) (time.Duration, time.Duration, booking.Warmth) {
			return time.Duration(w.rng.Int64N(int64(120 * time.Millisecond))), time.Duration(w.rng.Int64N(int64(2 * time.Second))), r
		}
	})
}

// Guards against a limit that counts too little while half of the checks are lost.
func TestLostChecksDoNotExceedTheColdLimit(t *testing.T) {
	checkPeak(t, busyRate, func(w *warmSim) {
		w.fault = func(there, back time.Duration, r booking.Warmth) (time.Duration, time.Duration, booking.Warmth) {
			if w.rng.IntN(2) == 0 {
				return there, time.Hour, r
			}
			return there, back, r
		}
	})
}

// Guards against a proof from a check that a target rejects, or that another process answers.
func TestRejectedChecksDoNotExceedTheColdLimit(t *testing.T) {
	checkPeak(t, busyRate, func(w *warmSim) {
		w.fault = func(there, back time.Duration, r booking.Warmth) (time.Duration, time.Duration, booking.Warmth) {
			r.Valid = w.rng.IntN(2) == 0
			return there, back, r
		}
	})
}

// Guards against a target that states cold time by mistake and gets more afterwards than a cold one.
func TestFalseColdTimeDoesNotExceedTheColdLimit(t *testing.T) {
	checkPeak(t, busyRate, func(w *warmSim) {
		w.fault = func(there, back time.Duration, r booking.Warmth) (time.Duration, time.Duration, booking.Warmth) {
			if w.rng.IntN(10) == 0 {
				r.ColdLeft = 200 * time.Millisecond
			}
			return there, back, r
		}
	})
}

// Guards against requests that are sent long after their admission, when the proof has moved past it.
func TestDelayedRequestsDoNotExceedTheColdLimit(t *testing.T) {
	// Requests are admitted all the time at this rate, also right before a check.
	checkPeak(t, 100, func(w *warmSim) {
		w.sendDelay = func() time.Duration {
			return 70*time.Millisecond + time.Duration(w.rng.Int64N(int64(40*time.Millisecond)))
		}
	})
}

// Guards against requests without a proof that are sent late and arrive together with those that were
// admitted a second after them.
func TestDelayedRequestsWithoutAProofDoNotExceedTheColdLimit(t *testing.T) {
	for _, c := range []struct {
		name    string
		checked bool
	}{{"not checked", false}, {"all checks lost", true}} {
		t.Run(c.name, func(t *testing.T) {
			peak := 0
			for seed := range uint64(warmSeeds) {
				w := newWarmSim(seed, busyRate, c.checked)
				w.turnCold()
				w.sendDelay = func() time.Duration { return time.Duration(w.rng.Int64N(int64(booking.MaxProvenSendDelay))) }
				w.fault = func(there, _ time.Duration, r booking.Warmth) (time.Duration, time.Duration, booking.Warmth) {
					return there, time.Hour, r
				}
				w.run(warmDuration)
				peak = max(peak, w.peakWhileCold())
			}
			t.Logf("at most %d requests in a second of a cold period", peak)
			if peak > warmLimit {
				t.Errorf("%d requests in a second to a cold target, %d are tolerated", peak, warmLimit)
			}
			if peak < warmLimit/2 {
				t.Errorf("the load is too low to show anything: %d requests in a second", peak)
			}
		})
	}
}

// Guards against the admissions of a second owner: daemons that take the owner for dead while it goes on.
func TestTwoOwnersDoNotExceedTheColdLimit(t *testing.T) {
	checkPeak(t, busyRate, func(w *warmSim) {
		for i := range 4 {
			at, cut := time.Duration(2500+1500*i)*time.Millisecond, w.daemons[i]
			w.schedule(at, func() {
				cut.dead = true
				w.updatePeers()
				cut.dead = false
			})
			w.schedule(at+time.Second, w.updatePeers)
		}
	})
}

// warmStart is when the owners of a fleet that starts are no longer new.
const warmStart = 2 * time.Second

// Guards against a proof that admits no more than the limit without one, and against checks where they
// change nothing.
func TestProofsAdmitWhatWarmTargetsAreOffered(t *testing.T) {
	for _, c := range []struct{ perTarget, minServed, maxChecks float64 }{{8, 0.99, 0.5}, {22, 0.99, 3}, {60, 0.95, 5}} {
		t.Run(fmt.Sprint(c.perTarget), func(t *testing.T) {
			served, checks := map[bool]float64{}, 0
			for _, checked := range []bool{false, true} {
				w := newWarmSim(1, c.perTarget, checked)
				w.run(warmStart)
				before := *w.tallies["w"]
				w.run(warmDuration)
				after := w.tallies["w"]
				served[checked] = 1 - float64(after.refused+after.failed-before.refused-before.failed)/float64(after.submitted-before.submitted)
				checks = w.checks
			}
			rate := float64(checks) / warmEngines / warmDuration.Seconds()
			t.Logf("%.0f requests per second and target: %.3f served without proofs, %.3f with, %.2f checks per second and target", c.perTarget, served[false], served[true], rate)
			if served[true] < c.minServed || rate > c.maxChecks {
				t.Errorf("%.3f served, %.2f checks per second", served[true], rate)
			}
		})
	}
}

// coreOf returns a Core that owns one target, and a function that submits requests and returns how many
// are admitted.
func coreOf(s booking.Service) (core *booking.Core, offer func(now time.Time, n int, r booking.Request) (admitted int, checks []booking.CheckWarmth)) {
	core = booking.New(booking.Config{Self: "d", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	core.Configure(time.Unix(1000, 0), []booking.Service{s})
	return core, func(now time.Time, n int, r booking.Request) (admitted int, checks []booking.CheckWarmth) {
		admitted = n
		for i := range n {
			r.ID, r.Service, r.Workspace, r.Deadline = ident.Request(fmt.Sprint(now, i)), s.Name, "w", now.Add(5*time.Second)
			if n := len(r.Parts); n > 0 {
				r.Parts = append(slices.Clone(r.Parts[:n-1]), booking.PromptPart{ID: uint64(1000 + i), Tokens: r.Parts[n-1].Tokens})
			}
			core.Submit(now, r)
			for _, effect := range core.TakeEffects() {
				switch e := effect.(type) {
				case booking.Refuse:
					admitted--
				case booking.CheckWarmth:
					checks = append(checks, e)
				}
			}
		}
		return admitted, checks
	}
}

func checkedService() booking.Service {
	return booking.Service{
		Name: "app", ColdLimit: warmLimit, ChecksWarmth: true, Workspaces: []booking.Workspace{{Name: "w", Weight: 1}},
		Targets: []booking.Target{{Name: "t", Zone: "z", Slots: 200}},
	}
}

// warmMax is how many requests a warm target gets at once: the limit without a new owner's part, a check
// and the place of the next one.
const warmMax = warmLimit - 3 - 2

// Guards against a target that turns cold right after a proof and then gets requests that were admitted
// before it, in addition to those that the proof allows.
func TestRequestsThatMayBeSentAfterAProofCountAgainstTheLimit(t *testing.T) {
	model := checkedService()
	model.ServesModel, model.Rate, model.Targets[0].Memory = true, 1e9, 1000000
	// The prompts share a part whose prefill takes longer than the send delay: all but one are held.
	held := booking.Request{Prompt: 10010, Output: 3, Parts: []booking.PromptPart{{ID: 1, Tokens: 10000}, {ID: 2, Tokens: 10}}}
	for _, c := range []struct {
		name    string
		service booking.Service
		request booking.Request
		proof   time.Duration
		more    bool
	}{
		{"sent late", checkedService(), booking.Request{}, booking.MaxProvenSendDelay * 9 / 10, false},
		{"sent before", checkedService(), booking.Request{}, booking.MaxProvenSendDelay * 11 / 10, true},
		{"held", model, held, booking.MaxProvenSendDelay * 11 / 10, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			core, offer := coreOf(c.service)
			now := time.Unix(1000, 0).Add(warmStart)
			admitted, checks := offer(now, 40, c.request)
			is.Equal(admitted, warmMax)
			is.Equal(len(checks), 1)
			now = now.Add(c.proof)
			core.RecordWarmth(now, checks[0], booking.Warmth{Valid: true, SentAt: now})
			admitted, _ = offer(now, 40, booking.Request{Prompt: c.request.Prompt / 1000, Output: c.request.Output})
			is.Equal(admitted > 2, c.more) // neither the check nor the prompt that the others wait for is held
		})
	}
}

// Guards against a check by a daemon that does not know what the previous owner has admitted.
func TestNewOwnerSendsNoCheck(t *testing.T) {
	is := is.New(t)
	core, offer := coreOf(checkedService())
	core.SetPeers(time.Unix(1000, 0), []booking.Peer{{ID: "a", Incarnation: 1, Zone: "z", Leaving: true}})
	_, checks := offer(time.Unix(1000, 0).Add(warmStart/4), 40, booking.Request{})
	is.Equal(len(checks), 0)
}

// Guards against a result that is taken for one of the target's present process, or that reaches a daemon
// which has not owned the target all the time.
func TestResultOfAnEarlierCheckIsIgnored(t *testing.T) {
	const cold = warmLimit / 2
	peers := []booking.Peer{{ID: "a", Incarnation: 1, Zone: "z"}, {ID: "b", Incarnation: 1, Zone: "z"}, {ID: "c", Incarnation: 1, Zone: "z"}}
	for _, c := range []struct {
		name     string
		change   func(core *booking.Core, now time.Time)
		admitted int
	}{
		{"nothing changes", func(*booking.Core, time.Time) {}, cold},
		{"the target restarts", func(core *booking.Core, now time.Time) {
			s := checkedService()
			s.Targets[0].Generation++
			core.Configure(now, []booking.Service{s})
		}, warmMax},
		{"another daemon owns the target for a while", func(core *booking.Core, now time.Time) {
			core.SetPeers(now, peers)
			core.SetPeers(now, nil)
		}, warmMax},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			core, offer := coreOf(checkedService())
			now := time.Unix(1000, 0).Add(warmStart)
			_, checks := offer(now, 40, booking.Request{})
			is.Equal(len(checks), 1)
			c.change(core, now)
			core.RecordWarmth(now, checks[0], booking.Warmth{Valid: true, SentAt: now, ColdLeft: time.Minute})
			admitted, _ := offer(now.Add(warmStart), 40, booking.Request{})
			is.Equal(admitted, c.admitted)
		})
	}
}
