package preemption_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/internal/preemption"
	_ "github.com/savorystall/savorystall/test/fixedseed" // the same verdict each run
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Two workspaces that take slots from each other in turn would read their
// prompts again and again and get nowhere. Whatever stands at an owner, with all
// questions asking at once, the moves come to an end before each slot has moved
// once, a taker never ends a slot above its share and a giver never less than one above.
func TestMovesEndAndKeepShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := make([]preemption.Standing, rapid.IntRange(1, 8).Draw(t, "workspaces"))
		slots, weights := 0, 0.0
		for i := range list {
			list[i] = preemption.Standing{
				Weight:    float64(rapid.IntRange(1, 5).Draw(t, "weight")),
				Running:   rapid.IntRange(0, 20).Draw(t, "running"),
				Questions: rapid.IntRange(0, 30).Draw(t, "questions"),
			}
			slots += list[i].Running
			weights += list[i].Weight
		}
		share := func(i int) float64 { return float64(slots) * list[i].Weight / weights }
		moves := 0
		for to, from, ok := preemption.Choose(slots, list); ok; to, from, ok = preemption.Choose(slots, list) {
			if to == from || list[to].Questions == 0 {
				t.Fatalf("a slot of %d for %d: %+v", from, to, list)
			}
			list[to].Running++
			list[to].Questions--
			list[from].Running--
			if float64(list[to].Running) >= share(to)+1 || float64(list[from].Running) < share(from)+1 {
				t.Fatalf("a slot of %d for %d leaves %+v", from, to, list)
			}
			if moves++; moves > slots {
				t.Fatalf("no end: %+v", list)
			}
		}
	})
}

// The ledger gives a workspace that was served less more than its share of the
// slots for a while. Preemption must not take back what repays the difference.
func TestRepaymentIsNotTakenBack(t *testing.T) {
	is := is.New(t)
	list := []preemption.Standing{
		{Weight: 1, Running: 13, Lead: -4},
		{Weight: 1, Running: 7, Lead: 4, Questions: 1},
	}
	_, _, ok := preemption.Choose(20, list)
	is.True(!ok)
	list[0].Lead, list[1].Lead = 0, 0
	to, from, ok := preemption.Choose(20, list)
	is.True(ok)
	is.Equal([]int{to, from}, []int{1, 0})
}

func TestWhatMayBeStopped(t *testing.T) {
	ordinary := preemption.Stream{Allowed: true, Served: 100, Cost: 1000, Typical: 10 * time.Second}
	with := func(edit func(*preemption.Stream)) preemption.Stream { s := ordinary; edit(&s); return s }
	for name, test := range map[string]struct {
		stream preemption.Stream
		want   bool
	}{
		"ordinary":                {ordinary, true},
		"not allowed":             {with(func(s *preemption.Stream) { s.Allowed = false }), false},
		"stopped often":           {with(func(s *preemption.Stream) { s.Stops = preemption.MostStops }), false},
		"nearly done":             {with(func(s *preemption.Stream) { s.Served = 760 }), false},
		"longer than was thought": {with(func(s *preemption.Stream) { s.Served = 4000 }), false},
		"late":                    {with(func(s *preemption.Stream) { s.Deadline = now.Add(19 * time.Second) }), false},
		"in time":                 {with(func(s *preemption.Stream) { s.Deadline = now.Add(20 * time.Second) }), true},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(test.stream.Stoppable(now), test.want) })
	}
}

func TestAllowanceBoundsStopsASecond(t *testing.T) {
	is := is.New(t)
	var a preemption.Allowance
	stops := 0
	for ms := range 10_000 {
		for a.Open(now.Add(time.Duration(ms)*time.Millisecond), 100) {
			a.Spend()
			stops++
		}
	}
	is.True(stops >= 50 && stops <= 55) // five a second, and five at once
}
