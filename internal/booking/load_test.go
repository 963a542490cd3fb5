package booking_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
)

// seeds are the random seeds with which each load is simulated, so that a policy does not pass
// by luck with one of them.
var seeds = []uint64{1, 2, 3, 4, 5}

// Callers demand twice what the engines can process. If every request were admitted, each
// would wait behind all before it and none would be in time; those that are admitted have to
// be.
func TestOverloadIsRefusedAndAdmittedRequestsAreInTime(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 4, 4, "a")
		// 4 engines process 400 tokens/ms; 160 requests of 5,000 tokens per second are twice
		// that.
		s.offer(workload{workspace: "a", perSecond: 160, end: 10 * time.Second, objective: 300 * time.Millisecond, newRequest: sessionRequests(1, 5000, 100, 4900, 10)})
		s.run(14 * time.Second)
		s.logTallies(t)
		got := s.tallies["a"]
		is.True(got.late*20 <= got.inTime) // admitted requests are in time
		is.True(got.inTimeShare() > 0.35)  // and the engines are not left idle
		is.True(got.refused > 0)
	}
}

// A burst of one workspace, eight times its usual rate, must not displace the others: they
// demand less than their shares and get all of it.
func TestHotWorkspaceTakesNothingFromOthers(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		names := []ident.Workspace{"hot", "b", "c", "d"}
		s := newSim(seed, 4, 4, names...)
		s.service.Rate = 400000
		s.updatePeers()
		for _, w := range names[1:] {
			s.offer(workload{workspace: w, perSecond: 15, end: 12 * time.Second, objective: 300 * time.Millisecond, newRequest: sessionRequests(1, 40, 500, 4000, 10)})
		}
		s.offer(workload{workspace: "hot", perSecond: 120, start: 2 * time.Second, end: 10 * time.Second, objective: 300 * time.Millisecond, newRequest: sessionRequests(100, 40, 500, 4000, 10)})
		s.run(16 * time.Second)
		s.logTallies(t)
		for _, w := range names[1:] {
			is.True(s.tallies[w].inTimeShare() > 0.9)
		}
		is.True(s.tallies["hot"].inTime > s.tallies["b"].inTime) // the hot workspace gets the remaining capacity
	}
}

// Two workspaces demand four times their shares each, and one less than its share. The two
// get the same.
func TestBackloggedWorkspacesGetEqualShares(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 5, 4, "a", "b", "c")
		s.service.Rate = 300000
		s.updatePeers()
		s.offer(workload{workspace: "a", perSecond: 80, end: 12 * time.Second, objective: 300 * time.Millisecond, newRequest: sessionRequests(1, 40, 500, 4000, 10)})
		s.offer(workload{workspace: "b", perSecond: 400, end: 12 * time.Second, objective: 300 * time.Millisecond, newRequest: sessionRequests(100, 300, 100, 700, 10)})
		s.offer(workload{workspace: "c", perSecond: 10, end: 12 * time.Second, objective: 300 * time.Millisecond, newRequest: sessionRequests(900, 40, 500, 1000, 10)})
		s.run(16 * time.Second)
		s.logTallies(t)
		a, b := s.tallies["a"].tokens, s.tallies["b"].tokens
		t.Logf("tokens in time: %.0f and %.0f", a, b)
		is.True(math.Abs(a-b) < 0.25*max(a, b))
		is.True(s.tallies["c"].inTimeShare() > 0.9)
	}
}

// A session's shared prefix is 5,000 tokens of 6,000. Sent to any target with a free slot, it
// is recomputed on engine after engine, and no time is left for new prompts.
func TestSessionsStayOnTheirHomeTargets(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 5, 6, "a")
		s.offer(workload{workspace: "a", perSecond: 100, end: 10 * time.Second, objective: 600 * time.Millisecond, newRequest: sessionRequests(1, 60, 5000, 1000, 20)})
		s.run(16 * time.Second)
		s.logTallies(t)
		is.True(s.tallies["a"].inTimeShare() > 0.95)
		is.True(float64(s.recomputed) < 0.1*5000*float64(s.tallies["a"].inTime)) // less than a tenth is recomputed
	}
}

// One session gets half of all requests, which is more than its first home target can serve.
// The second and third home targets take some of them.
func TestHotSessionSpreadsOverItsHomeTargets(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 5, 6, "a")
		s.offer(workload{workspace: "a", perSecond: 75, end: 10 * time.Second, objective: 600 * time.Millisecond, newRequest: sessionRequests(1, 1, 5000, 2000, 20)})
		s.offer(workload{workspace: "a", perSecond: 75, end: 10 * time.Second, objective: 600 * time.Millisecond, newRequest: sessionRequests(10, 60, 5000, 1000, 20)})
		s.run(16 * time.Second)
		s.logTallies(t)
		is.True(s.tallies["a"].inTimeShare() > 0.85)
	}
}

// Prompts of 50,000 tokens arrive between short ones. Each takes an engine more than half a
// second; the short ones are sent to the other engines and are in time.
func TestLongPromptsDoNotMakeShortOnesLate(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 4, 6, "short", "long")
		s.offer(workload{workspace: "short", perSecond: 150, end: 10 * time.Second, objective: 300 * time.Millisecond, newRequest: sessionRequests(1, 300, 100, 700, 10)})
		s.offer(workload{workspace: "long", perSecond: 1, end: 10 * time.Second, objective: 2500 * time.Millisecond, newRequest: sessionRequests(1000, 1000, 100, 50000, 10)})
		s.run(16 * time.Second)
		s.logTallies(t)
		is.True(s.tallies["short"].inTimeShare() > 0.97)
		is.True(s.tallies["long"].inTimeShare() > 0.8) // not at the expense of the long ones
	}
}

// An engine runs at a quarter of the others' pace. Its owner learns that, and admits only what
// can be in time there.
func TestSlowEngineIsNotOverbooked(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 4, 4, "a")
		s.engines["engine-01"].rate = simRate / 4
		s.offer(workload{workspace: "a", perSecond: 55, end: 20 * time.Second, objective: 300 * time.Millisecond, newRequest: sessionRequests(1, 5000, 100, 3900, 10)})
		s.run(24 * time.Second)
		s.logTallies(t)
		is.True(s.tallies["a"].late*12 <= s.tallies["a"].inTime)
		is.True(s.tallies["a"].inTimeShare() > 0.8)
	}
}

// An engine refuses connections for seconds. Requests sent to it fail quickly; if it were not
// blocked, it would look idle and attract ever more of them.
func TestDeadEngineIsAvoided(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 4, 4, "a")
		s.schedule(3*time.Second, func() { s.engines["engine-02"].down = true })
		s.schedule(8*time.Second, func() { s.engines["engine-02"].down = false })
		s.offer(workload{workspace: "a", perSecond: 60, end: 14 * time.Second, objective: 400 * time.Millisecond, newRequest: sessionRequests(1, 500, 100, 2000, 10)})
		s.run(18 * time.Second)
		s.logTallies(t)
		is.True(s.tallies["a"].failed < 60) // of some 75 a second that would be sent there
		is.True(s.tallies["a"].inTimeShare() > 0.9)
	}
}

// A daemon that owns engines fails under load. Ingresses get no replies for a moment and decide
// alone; once the failure is known, other daemons own its engines, and every ingress notifies them
// of what runs there.
func TestOwnerFailure(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 4, 4, "a")
		s.offer(workload{workspace: "a", perSecond: 80, end: 10 * time.Second, objective: 400 * time.Millisecond, newRequest: sessionRequests(1, 500, 100, 2000, 10)})
		s.schedule(4*time.Second, func() { s.daemons[1].dead = true })
		s.schedule(6*time.Second, func() { s.updatePeers() })
		s.run(14 * time.Second)
		s.logTallies(t)
		// A quarter of the callers are connected to the dead daemon from 4 s on, and their
		// running requests are lost with it; the others must not be affected.
		got := s.tallies["a"]
		is.True(float64(got.inTime) > 0.9*float64(got.submitted-got.refused)-40)
		is.True(got.refused*12 < got.submitted)
	}
}

// Two daemons do not reach each other while both reach the engines. Neither may refuse
// everything that the other owns, nor overload it.
func TestPartitionBetweenDaemons(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 4, 4, "a")
		s.partitioned = func(from, to ident.Daemon) bool {
			at := s.now.Sub(time.Unix(1000, 0))
			return at > 3*time.Second && at < 7*time.Second && (from == "d0" || to == "d0")
		}
		s.offer(workload{workspace: "a", perSecond: 80, end: 10 * time.Second, objective: 400 * time.Millisecond, newRequest: sessionRequests(1, 500, 100, 2000, 10)})
		s.run(14 * time.Second)
		s.logTallies(t)
		is.True(s.tallies["a"].inTimeShare() > 0.9)
		for name, e := range s.engines {
			if e.maxSlotsUsed > simSlots {
				t.Errorf("%s had %d requests at once", name, e.maxSlotsUsed)
			}
		}
	}
}

// Requests need more memory than an engine has. If it admitted more, the engine would preempt
// the newest one and recompute it.
func TestMemoryIsNotOverbooked(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 3, 2, "a")
	for i := range s.service.Targets {
		s.service.Targets[i].Memory = 50000
	}
	s.updatePeers()
	s.offer(workload{workspace: "a", perSecond: 50, end: 5 * time.Second, objective: 600 * time.Millisecond, newRequest: sessionRequests(1, 500, 100, 3000, 400)})
	s.run(12 * time.Second)
	s.logTallies(t)
	for name, e := range s.engines {
		// 50,000 tokens hold fourteen of 3,500.
		if e.maxSlotsUsed > 16 {
			t.Errorf("%s had %d requests at once", name, e.maxSlotsUsed)
		}
	}
	is.True(s.tallies["a"].inTime > 0)
}

// Simulations are deterministic: a seed that shows a fault has to reproduce it.
func TestSimulationIsDeterministic(t *testing.T) {
	is := is.New(t)
	run := func() string {
		s := newSim(7, 5, 6, "a", "b")
		s.service.Rate = 200000
		s.updatePeers()
		s.offer(workload{workspace: "a", perSecond: 100, end: 4 * time.Second, objective: 300 * time.Millisecond, newRequest: sessionRequests(1, 60, 500, 2000, 10)})
		s.offer(workload{workspace: "b", perSecond: 50, end: 4 * time.Second, objective: 300 * time.Millisecond, newRequest: sessionRequests(100, 60, 500, 2000, 10)})
		s.run(8 * time.Second)
		return fmt.Sprint(*s.tallies["a"], *s.tallies["b"], s.recomputed)
	}
	is.Equal(run(), run())
}

// Guards against a new owner that counts running streams as prefill backlog. At startup daemons
// discover each other one after the other, so that engines change owners while streams of
// seconds run on them. Every ingress notifies the new owner of what runs there. If it took these
// streams for prompts still in prefill, it would refuse requests that can be in time until the
// streams have ended.
func TestNewOwnerDoesNotCountRunningStreamsAsBacklog(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 3, 3, "a")
		s.offer(workload{workspace: "a", perSecond: 30, end: 6 * time.Second, objective: 400 * time.Millisecond, newRequest: sessionRequests(1, 500, 100, 4000, 400)})
		s.schedule(3*time.Second, func() {
			for _, d := range s.daemons[:2] {
				d.core.Leave(s.now)
				s.applyEffects(d)
				s.leaving[d.id] = true
			}
			s.updatePeers()
		})
		s.run(3 * time.Second)
		before := *s.tallies["a"]
		s.run(6 * time.Second)
		got := s.tallies["a"]
		s.logTallies(t)
		is.True(float64(got.refused-before.refused) < 0.03*float64(got.submitted-before.submitted))
	}
}

// Guards against placements that stay reserved because a message was lost. Links between
// daemons are replaced several times, as at a start when both ends dial, and messages in
// transit are lost, including releases of slots. The owner would count the request as pending
// prefill, expect a wait of a quarter of a second where there is none, and refuse requests that
// can be in time.
func TestMessagesLostWithALinkAreReconciled(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 4, 4, "a")
		lost := false
		s.partitioned = func(ident.Daemon, ident.Daemon) bool { return lost }
		s.offer(workload{workspace: "a", perSecond: 150, end: 7 * time.Second, objective: 300 * time.Millisecond, newRequest: sessionRequests(1, 500, 100, 1500, 10)})
		for at := 2 * time.Second; at < 4*time.Second; at += 200 * time.Millisecond {
			s.schedule(at, func() { lost = true })
			s.schedule(at+20*time.Millisecond, func() {
				lost = false
				s.linksUp()
			})
		}
		s.run(4 * time.Second)
		before := *s.tallies["a"]
		s.run(9 * time.Second)
		s.logTallies(t)
		got := s.tallies["a"]
		is.True(float64(got.refused-before.refused) < 0.02*float64(got.submitted-before.submitted))
	}
}

// Guards against retries that displace new requests. Refused callers retry once within two
// seconds, through any daemon and with new IDs, and their answers are late by then. Treated as
// new requests, they took a third of the engines' time from those that could still be in time,
// and counted twice in their workspace's demand.
func TestRetriesDoNotDisplaceNewRequests(t *testing.T) {
	const ms = time.Millisecond
	for _, seed := range seeds {
		is := is.New(t)
		run := func(retry bool) *tally {
			s := newSim(seed, 4, 4, "a")
			if retry {
				s.retryDelay = func() time.Duration { return 400*ms + time.Duration(s.rng.Int64N(int64(1200*ms))) }
			}
			s.offer(workload{workspace: "a", perSecond: 160, end: 10 * time.Second, objective: 300 * ms, newRequest: sessionRequests(1, 60, 600, 4300, 10)})
			s.run(14 * time.Second)
			s.logTallies(t)
			return s.tallies["a"]
		}
		without, with := run(false), run(true)
		is.True(with.inTime*100 >= without.inTime*92) // new requests lose next to nothing
	}
}

// The same for a single request: its owner recognizes it by its prompt, whichever daemon it
// comes through, and admits it only to spare capacity.
func TestOwnerRecognizesARetry(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	ingress, owner, ownerID := newIngressAndOwner(now)
	ingressID := map[ident.Daemon]ident.Daemon{"a": "b", "b": "a"}[ownerID]
	place := func(id ident.Request, last uint64, prompt int) booking.Basis {
		ingress.Submit(now, booking.Request{
			ID: id, Service: "pool", Workspace: "w", Prompt: prompt, Output: 10, Deadline: now.Add(300 * time.Millisecond),
			Parts: []booking.PromptPart{{ID: 1, Tokens: 500}, {ID: last, Tokens: prompt - 500}},
		})
		deliver(now, ingress, owner, ingressID)
		deliver(now, owner, ingress, ownerID)
		for _, e := range ingress.TakeEffects() {
			if d, ok := e.(booking.Dispatch); ok {
				ingress.Finish(now, id, booking.Result{})
				return d.Basis
			}
		}
		t.Fatal("the request was not placed")
		return booking.Basis{}
	}
	is.True(!place("first", 7, 2000).CallerRetry)
	is.True(!place("other", 8, 2000).CallerRetry)
	now = now.Add(time.Second)
	is.True(place("again", 7, 2000).CallerRetry)
	is.True(!place("next of the session", 7, 2100).CallerRetry) // longer: another request
	now = now.Add(11 * time.Second)
	owner.Tick(now)
	is.True(!place("long after", 8, 2000).CallerRetry)
}

// Guards against mistaking a repeated placement for a retry. A target refuses the connection,
// and the same daemon places the request anew. Its owner, which had seen it a moment before,
// took it for a late retry and refused it on a busy engine.
func TestNewPlacementByTheSameIngressIsNotARetry(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	ingress, owner, ownerID := newIngressAndOwner(now)
	ingressID := map[ident.Daemon]ident.Daemon{"a": "b", "b": "a"}[ownerID]
	r := booking.Request{
		ID: "r", Service: "pool", Workspace: "w", Prompt: 2000, Output: 10, Deadline: now.Add(300 * time.Millisecond),
		Parts: []booking.PromptPart{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 1500}},
	}
	for _, r.OwnerContacted = range []bool{false, true} {
		ingress.Submit(now, r)
		deliver(now, ingress, owner, ingressID)
		deliver(now, owner, ingress, ownerID)
		for _, e := range ingress.TakeEffects() {
			d, ok := e.(booking.Dispatch)
			is.True(ok)
			is.True(!d.Basis.CallerRetry)
		}
		ingress.Finish(now, r.ID, booking.Result{})
		deliver(now, ingress, owner, ingressID)
	}
}
