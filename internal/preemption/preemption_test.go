package preemption_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/internal/preemption"
	_ "github.com/savorystall/savorystall/test/fixedseed" // fixed seed for reproducible results
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Two workspaces that take slots from each other in turn would prefill their
// prompts repeatedly and make no progress. For any initial distribution of
// slots, with every interactive request waiting at once, preemption must end
// within as many moves as there are slots. After each move the recipient must
// be less than one slot above its share, and the victim at least one slot
// above.
func TestPreemptionTerminatesAndKeepsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := make([]preemption.WorkspaceUsage, rapid.IntRange(1, 8).Draw(t, "workspaces"))
		slots, weights := 0, 0.0
		for i := range list {
			list[i] = preemption.WorkspaceUsage{
				Weight:             float64(rapid.IntRange(1, 5).Draw(t, "weight")),
				Running:            rapid.IntRange(0, 20).Draw(t, "running"),
				WaitingInteractive: rapid.IntRange(0, 30).Draw(t, "questions"),
			}
			slots += list[i].Running
			weights += list[i].Weight
		}
		share := func(i int) float64 { return float64(slots) * list[i].Weight / weights }
		moves := 0
		for to, from, ok := preemption.Choose(slots, list); ok; to, from, ok = preemption.Choose(slots, list) {
			if to == from || list[to].WaitingInteractive == 0 {
				t.Fatalf("slot of %d taken for %d: %+v", from, to, list)
			}
			list[to].Running++
			list[to].WaitingInteractive--
			list[from].Running--
			if float64(list[to].Running) >= share(to)+1 || float64(list[from].Running) < share(from)+1 {
				t.Fatalf("slot of %d taken for %d leaves %+v", from, to, list)
			}
			if moves++; moves > slots {
				t.Fatalf("no end after more moves than slots: %+v", list)
			}
		}
	})
}

// The ledger temporarily gives an under-served workspace more than its share of
// the slots. Preemption must not take back the slots that repay the difference.
func TestPreemptionKeepsRepayment(t *testing.T) {
	is := is.New(t)
	list := []preemption.WorkspaceUsage{
		{Weight: 1, Running: 13, Lead: -4},
		{Weight: 1, Running: 7, Lead: 4, WaitingInteractive: 1},
	}
	_, _, ok := preemption.Choose(20, list)
	is.True(!ok)
	list[0].Lead, list[1].Lead = 0, 0
	to, from, ok := preemption.Choose(20, list)
	is.True(ok)
	is.Equal([]int{to, from}, []int{1, 0})
}

func TestPreemptibleStreams(t *testing.T) {
	ordinary := preemption.Stream{Allowed: true, Served: 100, Cost: 1000, MedianServiceTime: 10 * time.Second}
	with := func(edit func(*preemption.Stream)) preemption.Stream { s := ordinary; edit(&s); return s }
	for name, test := range map[string]struct {
		stream preemption.Stream
		want   bool
	}{
		"ordinary":             {ordinary, true},
		"not allowed":          {with(func(s *preemption.Stream) { s.Allowed = false }), false},
		"stopped too often":    {with(func(s *preemption.Stream) { s.Preemptions = preemption.MaxPreemptions }), false},
		"nearly done":          {with(func(s *preemption.Stream) { s.Served = 760 }), false},
		"longer than expected": {with(func(s *preemption.Stream) { s.Served = 4000 }), false},
		"too late":             {with(func(s *preemption.Stream) { s.Deadline = now.Add(19 * time.Second) }), false},
		"in time":              {with(func(s *preemption.Stream) { s.Deadline = now.Add(20 * time.Second) }), true},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(test.stream.Preemptible(now), test.want) })
	}
}

func TestBudgetBoundsPreemptionsPerSecond(t *testing.T) {
	is := is.New(t)
	var budget preemption.Budget
	preemptions := 0
	for ms := range 10_000 {
		for budget.Available(now.Add(time.Duration(ms)*time.Millisecond), 100) {
			budget.Spend()
			preemptions++
		}
	}
	is.True(preemptions >= 50 && preemptions <= 55) // five per second, plus an initial burst of five
}
