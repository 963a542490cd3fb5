package booking

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
)

// The callers of one hot workspace all reach one small VM, which has the processor time for
// a third of its share and refuses the rest. Engines could give four times the stated rate,
// and the other hot workspace got two and a half times as much as the first one, second
// after second. It may have what is stated, and beyond that no more than a third more than
// the first one has.
func TestAWorkspaceAheadStaysNearOneThatIsKeptBack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := newShares()
	s.configure([]Workspace{{Name: "behind", Weight: 1}, {Name: "ahead", Weight: 1}})
	have := func(ws ident.Workspace, x float64) { grant(&s, now, ws, x) }
	r := rates{stated: 200, observed: 800}
	have("behind", 60)
	s.account("behind").own.shed.add(now, 2000)
	have("ahead", 210)
	is.True(s.within(now, "behind", 10, r))
	is.True(!s.within(now, "ahead", 100, r)) // its stated share is 200

	now = now.Add(time.Second)
	s.account("behind").own.shed.add(now, 2000)
	have("behind", 400)
	have("ahead", 500)
	is.True(s.within(now, "ahead", 20, r))   // both have more than is stated
	is.True(!s.within(now, "ahead", 100, r)) // but not much more than the other
}

// grant lets a workspace ask for much, and brings what it was granted to so much.
func grant(s *shares, now time.Time, ws ident.Workspace, granted float64) {
	own := &s.account(ws).own
	own.asked.add(now, 4000)
	own.granted.add(now, granted-own.granted.now(now))
}

// Two hot workspaces ask for ten times what is stated, of engines that could give four times
// as much. The prompts of the one are kept by engines that are full, no daemon lacks
// processor time. Its lack is no reason to refuse the other one beside idle engines.
func TestAWorkspaceMayBeAheadOfOneThatNoDaemonKeepsBack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := newShares()
	s.configure([]Workspace{{Name: "behind", Weight: 1}, {Name: "ahead", Weight: 1}})
	r := rates{stated: 200, observed: 800}
	grant(&s, now, "behind", 60)
	grant(&s, now, "ahead", 600)
	is.True(s.within(now, "ahead", 100, r))
	is.True(!s.within(now, "ahead", 1000, r)) // its share of what engines were seen to give is 800

	// A few refusals while a burst of new connections lasts keep nobody back.
	now = now.Add(time.Second)
	s.account("behind").own.shed.add(now, 50)
	grant(&s, now, "behind", 60)
	grant(&s, now, "ahead", 600)
	is.True(s.within(now, "ahead", 100, r))
}

// Guards against a burst that is granted seconds of its share at once, since it had asked for little.
func TestABurstMayHaveAPartOfItsShareAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := newShares()
	s.owns(1, 1)
	s.configure([]Workspace{{Name: "hot", Weight: 1}, {Name: "burst", Weight: 1}})
	r := rates{stated: 200, observed: 200}
	grant(&s, now, "hot", 400)
	s.account("burst").own.asked.add(now, 10)
	is.True(s.within(now, "burst", 10, r)) // and its share is nearly 400

	now = now.Add(100 * time.Millisecond)
	grant(&s, now, "hot", 400)
	s.account("burst").own.asked.add(now, 4000)
	is.True(s.within(now, "burst", 100, r)) // its share is 200 now
	is.True(!s.within(now, "burst", 300, r))
	s.grant(now, s.account("burst"), 50)
	is.True(!s.within(now, "burst", 100, r))
	now = now.Add(time.Second)
	is.True(s.within(now, "burst", 100, r))
}

// Guards against grants that came to nothing: callers of a small VM leave before their requests
// are sent on, their workspace seems to have twice what it gets, and others are held near that.
func TestWhatNoTargetHasRunIsNotGranted(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := New(Config{Self: "a", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	c.Configure(now, []Service{{
		Name: "pool", Model: true, Rate: 1000,
		Targets:    []Target{{Name: "engine", Zone: "z", Slots: 32, Memory: 400000}},
		Workspaces: []Workspace{{Name: "w", Weight: 1}},
	}})
	granted := func() float64 { return c.services["pool"].shares.granted(now) }
	for _, result := range []Result{{}, {Elapsed: time.Millisecond, NotRun: true}} {
		c.Submit(now, Request{
			ID: "r", Service: "pool", Workspace: "w", Prompt: 1000, Output: 10,
			Parts: []Part{{ID: 1, Tokens: 1000}}, Due: now.Add(time.Second),
		})
		is.Equal(granted(), 1020.0)
		now = now.Add(300 * time.Millisecond)
		c.Finish(now, "r", result)
		is.True(granted() < 1e-6)
		c.Take()
	}
}
