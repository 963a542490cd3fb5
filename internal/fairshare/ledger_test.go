package fairshare

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
)

// A workspace returns with a full queue after a long idle period. If idle time
// earned credit, it would take every slot until it had caught up, and other
// workspaces would wait for minutes.
func TestIdleTimeEarnsNoCredit(t *testing.T) {
	is := is.New(t)
	l := New(Config{Self: "d"})
	l.SetBacklogged("busy", true)
	l.Charge("busy", 1e6)
	l.SetBacklogged("idle", true)
	is.Equal(l.Lead("idle"), l.Lead("busy"))
}

func TestLocalSlotsAreDividedByWeight(t *testing.T) {
	is := is.New(t)
	l := New(Config{Self: "d"})
	l.SetWeight("a", 3)
	l.SetWeight("b", 1)
	running := map[ident.Workspace]int{}
	for range 40 {
		ws, ok := l.Pick([]Candidate{{Workspace: "a", Running: running["a"]}, {Workspace: "b", Running: running["b"]}})
		is.True(ok)
		running[ws]++
	}
	is.Equal(running["a"], 30)
	is.Equal(running["b"], 10)
}

// A report is lost, another is duplicated, and one from a former incarnation of
// a daemon arrives late. If reports were increments, each of these would shift
// the shares permanently.
func TestMergeReplacesTotals(t *testing.T) {
	is := is.New(t)
	l := New(Config{Self: "d", Incarnation: 1})
	l.SetBacklogged("a", true)
	l.SetBacklogged("b", true)
	l.Merge("e", 1, "b", 100)
	l.Merge("e", 1, "b", 300)
	l.Merge("e", 1, "b", 300)
	is.Equal(l.Lead("b"), 300.0)
	l.Merge("e", 2, "b", 50)
	l.Merge("e", 1, "b", 900)
	is.Equal(l.Lead("b"), 350.0)
	l.Forget("e")
	l.Merge("e", 2, "b", 60)
	is.Equal(l.Lead("b"), 350.0)
	l.Merge("e", 2, "b", 70)
	is.Equal(l.Lead("b"), 360.0)
}

// A daemon restarts without state and receives totals from daemons that have
// run for days. Counted in full, they would look like a huge lead of the
// workspaces those daemons served, which would then be held back.
func TestRestartTakesOldTotalsAsBaseline(t *testing.T) {
	is := is.New(t)
	l := New(Config{Self: "d", Incarnation: 9})
	l.SetBacklogged("a", true)
	l.SetBacklogged("b", true)
	l.Merge("old", 3, "b", 1e9)
	is.Equal(l.Lead("b"), 0.0)
	l.Merge("old", 3, "b", 1e9+10)
	is.Equal(l.Lead("b"), 10.0)
	l.Merge("new", 12, "b", 10)
	is.Equal(l.Lead("b"), 20.0)
	// A total that only set a baseline gives no rate for an estimate.
	l.Merge("other", 3, "b", 1e9)
	l.EstimateLost("other", 1)
	is.Equal(l.Lead("b"), 20.0)
}

// One workspace was over-served for a while. It must keep part of its share
// while the difference is repaid.
func TestOverServedWorkspaceKeepsMinShare(t *testing.T) {
	is := is.New(t)
	l := New(Config{Self: "d"})
	l.Tune(Conditions{SlotRate: 50, MeanCost: 300, LocalSlots: 40, FleetSlots: 280})
	names := []ident.Workspace{"lucky", "b", "c", "d"}
	for _, ws := range names {
		l.SetBacklogged(ws, true)
	}
	const fairRate = 50 * 280 / 4
	l.Merge("e", 1, "lucky", 1.9*fairRate)
	running := map[ident.Workspace]int{}
	for range 40 {
		var candidates []Candidate
		for _, ws := range names {
			candidates = append(candidates, Candidate{Workspace: ws, Running: running[ws]})
		}
		ws, _ := l.Pick(candidates)
		running[ws]++
	}
	is.True(running["lucky"] >= 2)
	is.True(running["lucky"] < 10)
}

// A zone was partitioned for an hour and one workspace had it to itself. After
// the partition heals the workspace owes an hour of service, and without a
// bound it would get nothing for that long.
func TestDeviationIsBounded(t *testing.T) {
	is := is.New(t)
	l := New(Config{Self: "d"})
	l.Tune(Conditions{SlotRate: 50, MeanCost: 300, LocalSlots: 40, FleetSlots: 280})
	names := []ident.Workspace{"lucky", "b", "c", "d"}
	var candidates []Candidate
	for _, ws := range names {
		l.SetBacklogged(ws, true)
		candidates = append(candidates, Candidate{Workspace: ws})
	}
	l.Merge("e", 1, "lucky", 1e9)
	l.Pick(candidates)
	const fairRate = 50 * 280 / 4
	is.Equal(l.Lead("lucky"), 10.0*fairRate)
	for i, ws := range names[1:] {
		l.Charge(ws, 9*fairRate)
		candidates[i+1].Running = 13
	}
	ws, _ := l.Pick(candidates)
	is.Equal(ws, ident.Workspace("lucky"))
}

func TestChangedListsEachChangeOnce(t *testing.T) {
	is := is.New(t)
	l := New(Config{Self: "d"})
	l.Charge("b", 5)
	l.Charge("a", 7)
	l.Charge("a", -2)
	is.Equal(l.Changed(), []ident.Workspace{"a", "b"})
	is.Equal(l.Changed(), []ident.Workspace{"a", "b"}) // reported once more, unchanged
	is.Equal(len(l.Changed()), 0)
	is.Equal(l.LocalService("a"), 5.0)
}

// A daemon dies between two reports, so the service it delivered after the
// first is never reported. If it counted as zero, the workspace served most
// would stay ahead by that amount permanently, and by as much again after each
// restart.
func TestUnreportedServiceIsEstimated(t *testing.T) {
	is := is.New(t)
	l := New(Config{Self: "d", Incarnation: 1})
	l.SetBacklogged("a", true)
	l.SetBacklogged("b", true)
	l.Merge("e", 1, "b", 100)
	l.Merge("e", 1, "b", 180)
	l.Merge("e", 2, "b", 0)
	is.Equal(l.Lead("b"), 180.0+40.0)
}

// Two workspaces are restricted to one target, which has too little capacity
// for them, so they fall behind those that may use every target. However far
// behind they are, the one of the two that was served more must wait for the
// other, and the same holds among the rest. If all of them were clamped to one
// median, the differences within both groups would be lost.
func TestGroupFarBehindKeepsItsDifferences(t *testing.T) {
	is := is.New(t)
	l := New(Config{Self: "d1"})
	l.Tune(Conditions{SlotRate: 30, LocalSlots: 4, FleetSlots: 4})
	var all, unrestricted []Candidate
	for _, ws := range []ident.Workspace{"tied-1", "tied-2", "free-1", "free-2", "free-3"} {
		if strings.HasPrefix(string(ws), "tied") {
			l.SetGroup(ws, "t1")
		} else {
			unrestricted = append(unrestricted, Candidate{Workspace: ws})
		}
		l.SetBacklogged(ws, true)
		all = append(all, Candidate{Workspace: ws})
	}
	l.Charge("tied-1", 20)
	for _, ws := range []ident.Workspace{"free-1", "free-2", "free-3"} {
		l.Charge(ws, 100000)
	}
	l.Charge("free-1", 20)
	l.Charge("free-2", 30)
	ws, _ := l.Pick(all)
	is.Equal(ws, ident.Workspace("tied-2"))
	ws, _ = l.Pick(unrestricted)
	is.Equal(ws, ident.Workspace("free-3"))
	is.True(l.Lead("tied-1") == 20 && l.Lead("free-2") == 10)
}

// A restricted workspace was idle while all others were served. When it becomes
// backlogged as the first of its group, it starts level with the others,
// without credit.
func TestFirstOfAGroupHasNoBankedCredit(t *testing.T) {
	is := is.New(t)
	l := New(Config{Self: "d1"})
	l.SetGroup("tied", "t1")
	l.SetBacklogged("free", true)
	l.Charge("free", 5000)
	l.SetBacklogged("tied", true)
	l.Charge("tied", 1)
	ws, _ := l.Pick([]Candidate{{Workspace: "tied"}, {Workspace: "free"}})
	is.Equal(ws, ident.Workspace("free"))
}

// A daemon dies just before its exchange. Its callers return through other
// daemons and would get the unreported service a second time, so it is
// estimated from the last known increment. If the daemon was only disconnected,
// its own totals replace the estimate.
func TestLostServiceIsEstimatedUntilTheOwnerReturns(t *testing.T) {
	is := is.New(t)
	l := New(Config{Self: "d1"})
	l.Merge("d2", 1, "a", 100)
	l.Merge("d2", 1, "a", 180)
	l.EstimateLost("d2", 0.75)
	is.Equal(l.accounts["a"].virtualTime, 240.0)
	l.EstimateLost("d2", 0.75) // no new report
	is.Equal(l.accounts["a"].virtualTime, 240.0)
	l.Merge("d2", 1, "a", 200)
	is.Equal(l.accounts["a"].virtualTime, 200.0)
	l.EstimateLost("d2", 0.5)
	l.Merge("d2", 2, "a", 0)
	is.Equal(l.accounts["a"].virtualTime, 180.0)
}

// An owner has just granted one workspace several slots, and the cost of their
// prompts is reported only by the next exchange. Until then the next slot must
// go to another workspace with the same number of running requests.
func TestGrantsCountBeforeTheyAreReported(t *testing.T) {
	is := is.New(t)
	l := New(Config{Self: "d"})
	l.Tune(Conditions{SlotRate: 30, MeanCost: 200, LocalSlots: 8, FleetSlots: 8})
	for _, withUnreported := range []ident.Workspace{"a", "b"} {
		candidates := []Candidate{{Workspace: "a", Running: 4}, {Workspace: "b", Running: 4}}
		for i := range candidates {
			if candidates[i].Workspace == withUnreported {
				candidates[i].Unreported = 3
			}
		}
		ws, ok := l.Pick(candidates)
		is.True(ok && ws != withUnreported)
	}
}
