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

// seeds are those that each load is played with; a policy that wins by luck on one
// shows on another.
var seeds = []uint64{1, 2, 3, 4, 5}

// Callers ask for twice what the engines read. If every request were taken, each
// would wait behind all before it and none would be in time; those that are taken
// have to be.
func TestOverloadIsRefusedAtOnceAndTheRestIsInTime(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 4, 4, "a")
		// 4 engines read 400 tokens a ms; 160 requests of 5,000 are twice that.
		s.offer(load{workspace: "a", perSecond: 160, to: 10 * time.Second, objective: 300 * time.Millisecond, make: session(1, 5000, 100, 4900, 10)})
		s.run(14 * time.Second)
		s.log(t)
		got := s.got["a"]
		is.True(got.late*20 <= got.inTime) // what is taken is in time
		is.True(got.share() > 0.35)        // and the engines are not left idle
		is.True(got.refused > 0)
	}
}

// A burst of one workspace, eight times its usual, must not take the engines from
// the others: they ask for less than their share and get all of it.
func TestHotWorkspaceTakesNothingFromOthers(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		names := []ident.Workspace{"hot", "b", "c", "d"}
		s := newSim(seed, 4, 4, names...)
		s.service.Rate = 400000
		s.tellPeers()
		for _, w := range names[1:] {
			s.offer(load{workspace: w, perSecond: 15, to: 12 * time.Second, objective: 300 * time.Millisecond, make: session(1, 40, 500, 4000, 10)})
		}
		s.offer(load{workspace: "hot", perSecond: 120, from: 2 * time.Second, to: 10 * time.Second, objective: 300 * time.Millisecond, make: session(100, 40, 500, 4000, 10)})
		s.run(16 * time.Second)
		s.log(t)
		for _, w := range names[1:] {
			is.True(s.got[w].share() > 0.9)
		}
		is.True(s.got["hot"].inTime > s.got["b"].inTime) // and what is left goes to the hot one
	}
}

// Two workspaces ask for four times their share each, and one asks for less than
// its share. The two get the same.
func TestBackloggedWorkspacesGetTheSame(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 5, 4, "a", "b", "c")
		s.service.Rate = 300000
		s.tellPeers()
		s.offer(load{workspace: "a", perSecond: 80, to: 12 * time.Second, objective: 300 * time.Millisecond, make: session(1, 40, 500, 4000, 10)})
		s.offer(load{workspace: "b", perSecond: 400, to: 12 * time.Second, objective: 300 * time.Millisecond, make: session(100, 300, 100, 700, 10)})
		s.offer(load{workspace: "c", perSecond: 10, to: 12 * time.Second, objective: 300 * time.Millisecond, make: session(900, 40, 500, 1000, 10)})
		s.run(16 * time.Second)
		s.log(t)
		a, b := s.got["a"].tokens, s.got["b"].tokens
		t.Logf("tokens in time: %.0f and %.0f", a, b)
		is.True(math.Abs(a-b) < 0.25*max(a, b))
		is.True(s.got["c"].share() > 0.9)
	}
}

// A session's shared part is 5,000 tokens of 6,000. Sent wherever a slot is free, it
// is read again on engine after engine, and there is no time for what is new.
func TestSessionsStayAtTheirHomes(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 5, 6, "a")
		s.offer(load{workspace: "a", perSecond: 100, to: 10 * time.Second, objective: 600 * time.Millisecond, make: session(1, 60, 5000, 1000, 20)})
		s.run(16 * time.Second)
		s.log(t)
		is.True(s.got["a"].share() > 0.95)
		is.True(float64(s.reread) < 0.1*5000*float64(s.got["a"].inTime)) // less than a tenth is read again
	}
}

// One session gets half of all requests. Its home alone could not bear them; a
// second and a third one help out.
func TestHotSessionGetsMoreHomes(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 5, 6, "a")
		s.offer(load{workspace: "a", perSecond: 75, to: 10 * time.Second, objective: 600 * time.Millisecond, make: session(1, 1, 5000, 2000, 20)})
		s.offer(load{workspace: "a", perSecond: 75, to: 10 * time.Second, objective: 600 * time.Millisecond, make: session(10, 60, 5000, 1000, 20)})
		s.run(16 * time.Second)
		s.log(t)
		is.True(s.got["a"].share() > 0.85)
	}
}

// Prompts of 50,000 tokens come between short ones. Each takes an engine for more
// than half a second; the short ones go to the others and are in time.
func TestLongPromptsDoNotMakeShortOnesLate(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 4, 6, "short", "long")
		s.offer(load{workspace: "short", perSecond: 150, to: 10 * time.Second, objective: 300 * time.Millisecond, make: session(1, 300, 100, 700, 10)})
		s.offer(load{workspace: "long", perSecond: 1, to: 10 * time.Second, objective: 2500 * time.Millisecond, make: session(1000, 1000, 100, 50000, 10)})
		s.run(16 * time.Second)
		s.log(t)
		is.True(s.got["short"].share() > 0.97)
		is.True(s.got["long"].share() > 0.8) // and are not what pays for it
	}
}

// An engine reads at a quarter of the others' pace. Its owner learns that, and takes
// only what can still be in time there.
func TestSlowEngineGetsWhatItCanDoInTime(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 4, 4, "a")
		s.engines["engine-01"].rate = simRate / 4
		s.offer(load{workspace: "a", perSecond: 55, to: 20 * time.Second, objective: 300 * time.Millisecond, make: session(1, 5000, 100, 3900, 10)})
		s.run(24 * time.Second)
		s.log(t)
		is.True(s.got["a"].late*12 <= s.got["a"].inTime)
		is.True(s.got["a"].share() > 0.8)
	}
}

// An engine is gone and refuses connections for seconds. Requests that meet it fail
// quickly; without closing it, it would look empty and get ever more of them.
func TestDeadEngineIsPassedOver(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 4, 4, "a")
		s.after(3*time.Second, func() { s.engines["engine-02"].down = true })
		s.after(8*time.Second, func() { s.engines["engine-02"].down = false })
		s.offer(load{workspace: "a", perSecond: 60, to: 14 * time.Second, objective: 400 * time.Millisecond, make: session(1, 500, 100, 2000, 10)})
		s.run(18 * time.Second)
		s.log(t)
		is.True(s.got["a"].failed < 60) // of some 75 a second that would go there
		is.True(s.got["a"].share() > 0.9)
	}
}

// A daemon that owns engines dies in the middle of the load. Ingresses get no answer
// for a moment and decide by themselves; once its death is known, others own its
// engines and hear from every ingress what runs there.
func TestOwnerDies(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 4, 4, "a")
		s.offer(load{workspace: "a", perSecond: 80, to: 10 * time.Second, objective: 400 * time.Millisecond, make: session(1, 500, 100, 2000, 10)})
		s.after(4*time.Second, func() { s.daemons[1].dead = true })
		s.after(6*time.Second, func() { s.tellPeers() })
		s.run(14 * time.Second)
		s.log(t)
		// A quarter of the callers are at the dead daemon from 4 s on, and what runs
		// there then is lost with it; the others must not feel more.
		got := s.got["a"]
		is.True(float64(got.inTime) > 0.9*float64(got.asked-got.refused)-40)
		is.True(got.refused*12 < got.asked)
	}
}

// Two daemons do not reach each other while both reach the engines. Neither may
// refuse everything that the other owns, nor flood it.
func TestCutBetweenDaemons(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 4, 4, "a")
		s.cut = func(from, to ident.Daemon) bool {
			at := s.now.Sub(time.Unix(1000, 0))
			return at > 3*time.Second && at < 7*time.Second && (from == "d0" || to == "d0")
		}
		s.offer(load{workspace: "a", perSecond: 80, to: 10 * time.Second, objective: 400 * time.Millisecond, make: session(1, 500, 100, 2000, 10)})
		s.run(14 * time.Second)
		s.log(t)
		is.True(s.got["a"].share() > 0.9)
		for name, e := range s.engines {
			if e.most > simSlots {
				t.Errorf("%s had %d requests at once", name, e.most)
			}
		}
	}
}

// Requests ask for more memory than an engine has. Taken beyond it, the engine would
// stop the newest and read it again.
func TestMemoryIsNotOverbooked(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 3, 2, "a")
	for i := range s.service.Targets {
		s.service.Targets[i].Memory = 50000
	}
	s.tellPeers()
	s.offer(load{workspace: "a", perSecond: 50, to: 5 * time.Second, objective: 600 * time.Millisecond, make: session(1, 500, 100, 3000, 400)})
	s.run(12 * time.Second)
	s.log(t)
	for name, e := range s.engines {
		// 50,000 tokens hold fourteen of 3,500.
		if e.most > 16 {
			t.Errorf("%s had %d requests at once", name, e.most)
		}
	}
	is.True(s.got["a"].inTime > 0)
}

// Runs repeat exactly: a seed that shows a fault has to show it again.
func TestRunsRepeat(t *testing.T) {
	is := is.New(t)
	play := func() string {
		s := newSim(7, 5, 6, "a", "b")
		s.service.Rate = 200000
		s.tellPeers()
		s.offer(load{workspace: "a", perSecond: 100, to: 4 * time.Second, objective: 300 * time.Millisecond, make: session(1, 60, 500, 2000, 10)})
		s.offer(load{workspace: "b", perSecond: 50, to: 4 * time.Second, objective: 300 * time.Millisecond, make: session(100, 60, 500, 2000, 10)})
		s.run(8 * time.Second)
		return fmt.Sprint(*s.got["a"], *s.got["b"], s.reread)
	}
	is.Equal(play(), play())
}

// Daemons find each other one after the other at the start, so that engines change
// hands while streams of seconds run on them. The new owner hears from every ingress
// what runs there. If it took those streams for prompts that are still to be read, it
// would refuse what is in time until they have ended.
func TestStreamsThatRunAreNoBacklogOfANewOwner(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 3, 3, "a")
		s.offer(load{workspace: "a", perSecond: 30, to: 6 * time.Second, objective: 400 * time.Millisecond, make: session(1, 500, 100, 4000, 400)})
		s.after(3*time.Second, func() {
			for _, d := range s.daemons[:2] {
				d.core.Leave(s.now)
				s.carryOut(d)
				s.leaving[d.id] = true
			}
			s.tellPeers()
		})
		s.run(3 * time.Second)
		before := *s.got["a"]
		s.run(6 * time.Second)
		got := s.got["a"]
		s.log(t)
		is.True(float64(got.refused-before.refused) < 0.03*float64(got.asked-before.asked))
	}
}

// Links between daemons are replaced several times, as at a start when both ends dial,
// and what was on its way is lost: also the word that a place is not needed. The owner
// would keep it as a prompt still to be read, expect a quarter of a second where there
// is nothing to wait for, and refuse what is in time.
func TestWhatALostLinkTookIsForgotten(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 4, 4, "a")
		lost := false
		s.cut = func(ident.Daemon, ident.Daemon) bool { return lost }
		s.offer(load{workspace: "a", perSecond: 150, to: 7 * time.Second, objective: 300 * time.Millisecond, make: session(1, 500, 100, 1500, 10)})
		for at := 2 * time.Second; at < 4*time.Second; at += 200 * time.Millisecond {
			s.after(at, func() { lost = true })
			s.after(at+20*time.Millisecond, func() {
				lost = false
				s.linksUp()
			})
		}
		s.run(4 * time.Second)
		before := *s.got["a"]
		s.run(9 * time.Second)
		s.log(t)
		got := s.got["a"]
		is.True(float64(got.refused-before.refused) < 0.02*float64(got.asked-before.asked))
	}
}

// Refused callers come back once within two seconds, through any daemon and under new
// ids, and their answers are late by then. Taken for new requests, they took a third of
// the engines' time from those that could still be in time, and counted twice in what
// their workspace asks for.
func TestCallersThatComeBackTakeNothingFromNewOnes(t *testing.T) {
	const ms = time.Millisecond
	for _, seed := range seeds {
		is := is.New(t)
		play := func(back bool) *tally {
			s := newSim(seed, 4, 4, "a")
			if back {
				s.comesBack = func() time.Duration { return 400*ms + time.Duration(s.rng.Int64N(int64(1200*ms))) }
			}
			s.offer(load{workspace: "a", perSecond: 160, to: 10 * time.Second, objective: 300 * ms, make: session(1, 60, 600, 4300, 10)})
			s.run(14 * time.Second)
			s.log(t)
			return s.got["a"]
		}
		without, with := play(false), play(true)
		is.True(with.inTime*100 >= without.inTime*92) // new ones lose next to nothing
	}
}

// The same, of one request: its owner knows it by its prompt, whichever daemon it comes
// through, and takes it only where there is room to spare.
func TestAnOwnerKnowsARequestThatComesBack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	ingress, owner, name := newIngressAndOwner(now)
	other := map[ident.Daemon]ident.Daemon{"a": "b", "b": "a"}[name]
	ask := func(id ident.Request, last uint64, prompt int) booking.Basis {
		ingress.Submit(now, booking.Request{
			ID: id, Service: "pool", Workspace: "w", Prompt: prompt, Output: 10, Deadline: now.Add(300 * time.Millisecond),
			Parts: []booking.PromptPart{{ID: 1, Tokens: 500}, {ID: last, Tokens: prompt - 500}},
		})
		deliver(now, ingress, owner, other)
		deliver(now, owner, ingress, name)
		for _, e := range ingress.TakeEffects() {
			if d, ok := e.(booking.Dispatch); ok {
				ingress.Finish(now, id, booking.Result{})
				return d.Basis
			}
		}
		t.Fatal("not placed")
		return booking.Basis{}
	}
	is.True(!ask("first", 7, 2000).CallerRetry)
	is.True(!ask("other", 8, 2000).CallerRetry)
	now = now.Add(time.Second)
	is.True(ask("again", 7, 2000).CallerRetry)
	is.True(!ask("next of the session", 7, 2100).CallerRetry) // longer: another request
	now = now.Add(11 * time.Second)
	owner.Tick(now)
	is.True(!ask("long after", 8, 2000).CallerRetry)
}

// A target refuses the connection, and the request is placed anew by the same daemon.
// Its owner met it a moment before and took it for one that comes back late, so that it
// was refused on a busy engine.
func TestARequestThatIsPlacedAnewHasNotComeBack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	ingress, owner, name := newIngressAndOwner(now)
	other := map[ident.Daemon]ident.Daemon{"a": "b", "b": "a"}[name]
	r := booking.Request{
		ID: "r", Service: "pool", Workspace: "w", Prompt: 2000, Output: 10, Deadline: now.Add(300 * time.Millisecond),
		Parts: []booking.PromptPart{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 1500}},
	}
	for _, r.OwnerContacted = range []bool{false, true} {
		ingress.Submit(now, r)
		deliver(now, ingress, owner, other)
		deliver(now, owner, ingress, name)
		for _, e := range ingress.TakeEffects() {
			d, ok := e.(booking.Dispatch)
			is.True(ok)
			is.True(!d.Basis.CallerRetry)
		}
		ingress.Finish(now, r.ID, booking.Result{})
		deliver(now, ingress, owner, other)
	}
}
