package booking

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
)

// Guards against a workspace far ahead of one that is shed: the callers of one hot workspace
// all reach one small VM, which has processor time for a third of its share and refuses the
// rest. Engines could deliver four times the stated rate, and the other hot workspace got two
// and a half times as much as the first, second after second. It may use its stated share, and
// beyond that get at most a third more than the shed one.
func TestLeadOverAShedWorkspaceIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := newShares()
	s.configure([]Workspace{{Name: "behind", Weight: 1}, {Name: "ahead", Weight: 1}})
	have := func(ws ident.Workspace, x float64) { setGranted(&s, now, ws, x) }
	r := rates{stated: 200, observed: 800}
	have("behind", 60)
	s.account("behind").own.shed.add(now, 2000)
	have("ahead", 210)
	is.True(s.withinShare(now, "behind", 10, r))
	is.True(!s.withinShare(now, "ahead", 100, r)) // its stated share is 200

	now = now.Add(time.Second)
	s.account("behind").own.shed.add(now, 2000)
	have("behind", 400)
	have("ahead", 500)
	is.True(s.withinShare(now, "ahead", 20, r))   // both have more than the stated share
	is.True(!s.withinShare(now, "ahead", 100, r)) // but not much more than the other
}

// setGranted gives a workspace a high demand, and sets the sum of its grants.
func setGranted(s *shares, now time.Time, ws ident.Workspace, granted float64) {
	own := &s.account(ws).own
	own.asked.add(now, 4000)
	own.granted.add(now, granted-own.granted.now(now))
}

// Guards against refusals beside idle engines: two hot workspaces demand ten times the stated
// rate of engines that could deliver four times as much. The engines that cache the prompts of
// one are full, and no daemon is short of processor time. That it is underserved is no reason to
// refuse the other one.
func TestLeadOverAWorkspaceThatIsNotShedIsAllowed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := newShares()
	s.configure([]Workspace{{Name: "behind", Weight: 1}, {Name: "ahead", Weight: 1}})
	r := rates{stated: 200, observed: 800}
	setGranted(&s, now, "behind", 60)
	setGranted(&s, now, "ahead", 600)
	is.True(s.withinShare(now, "ahead", 100, r))
	is.True(!s.withinShare(now, "ahead", 1000, r)) // its share of the observed rate is 800

	// A few refusals during a burst of new connections do not make a workspace count as shed.
	now = now.Add(time.Second)
	s.account("behind").own.shed.add(now, 50)
	setGranted(&s, now, "behind", 60)
	setGranted(&s, now, "ahead", 600)
	is.True(s.withinShare(now, "ahead", 100, r))
}

// Guards against a burst that is granted seconds of its share at once because the workspace had
// asked for little before.
func TestBurstGetsOnlyPartOfItsShareAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := newShares()
	s.setOwned(1, 1)
	s.configure([]Workspace{{Name: "hot", Weight: 1}, {Name: "burst", Weight: 1}})
	r := rates{stated: 200, observed: 200}
	setGranted(&s, now, "hot", 400)
	s.account("burst").own.asked.add(now, 10)
	is.True(s.withinShare(now, "burst", 10, r)) // and its share is nearly 400

	now = now.Add(100 * time.Millisecond)
	setGranted(&s, now, "hot", 400)
	s.account("burst").own.asked.add(now, 4000)
	is.True(s.withinShare(now, "burst", 100, r)) // its share is 200 now
	is.True(!s.withinShare(now, "burst", 300, r))
	s.recordGrant(now, s.account("burst"), 50)
	is.True(!s.withinShare(now, "burst", 100, r))
	now = now.Add(time.Second)
	is.True(s.withinShare(now, "burst", 100, r))
}

// Guards against counting grants that were not used: callers of a small VM leave before their
// requests are dispatched, so that their workspace seems to get twice as much as it does, and
// others are limited to little more than that.
func TestWhatNoTargetHasRunIsNotGranted(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := New(Config{Self: "a", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	c.Configure(now, []Service{{
		Name: "pool", ServesModel: true, Rate: 1000,
		Targets:    []Target{{Name: "engine", Zone: "z", Slots: 32, Memory: 400000}},
		Workspaces: []Workspace{{Name: "w", Weight: 1}},
	}})
	granted := func() float64 { return c.services["pool"].shares.totalGranted(now) }
	for _, result := range []Result{{}, {Elapsed: time.Millisecond, NotRun: true}} {
		c.Submit(now, Request{
			ID: "r", Service: "pool", Workspace: "w", Prompt: 1000, Output: 10,
			Parts: []PromptPart{{ID: 1, Tokens: 1000}}, Deadline: now.Add(time.Second),
		})
		is.Equal(granted(), 1020.0)
		now = now.Add(300 * time.Millisecond)
		c.Finish(now, "r", result)
		is.True(granted() < 1e-6)
		c.TakeEffects()
	}
}
