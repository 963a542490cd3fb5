package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/placement"
)

// An engine runs a batch of 20 streams, but the configuration allows 64, or
// sets no limit, and there is always work waiting. Requests beyond the batch
// wait inside the engine in arrival order, where an interactive request cannot
// overtake batch requests. The limit must converge to the batch size from above
// and below, without leaving slots empty, and regardless of the unit of the
// step time.
func TestLimitConvergesToBatchSize(t *testing.T) {
	for _, step := range []time.Duration{2 * time.Microsecond, 2 * time.Millisecond, 2 * time.Second} {
		for _, ceiling := range []int{0, 64} {
			t.Run(fmt.Sprint(step, " ceiling ", ceiling), func(t *testing.T) {
				is := is.New(t)
				b := &backend{name: "a", slots: 20, step: step}
				sim := newSimulation(placement.Config{}, ceiling, b)
				sim.run(4000)
				limit := sim.table.Limit("a")
				t.Logf("limit %d, utilization %.3f", limit, sim.utilization(1000))
				is.True(limit >= 20) // no slot stays empty
				is.True(limit <= 26) // the queue in the engine is short
				is.True(sim.utilization(1000) > 0.98)
			})
		}
	}
}

// The workloads are equal prompts, prompts that take as long as the responses,
// and plain requests that respond only at the end. Their natural variation can
// look like a queue or hide one. If it is mistaken for a queue, slots stay
// empty; if a queue is missed, the target holds work that others could run.
func TestLimitForEachWorkload(t *testing.T) {
	for _, kind := range []string{"steady", "mixed", "plain"} {
		for _, slots := range []int{4, 10, 20, 64} {
			t.Run(fmt.Sprint(kind, " ", slots), func(t *testing.T) {
				is := is.New(t)
				sim := newSimulation(placement.Config{}, 0, &backend{name: "a", slots: slots, step: 2 * time.Millisecond})
				sim.workload = kind
				sum, n := 0, 0
				sim.onDone = func(done int) {
					if done > 5000 {
						sum += sim.table.Limit("a")
						n++
					}
				}
				sim.run(40000)
				mean := float64(sum) / float64(n)
				t.Logf("mean limit %.1f, utilization %.3f", mean, sim.utilization(5000))
				is.True(sim.utilization(5000) >= 0.98)
				is.True(mean <= 1.5*float64(slots)+2)
			})
		}
	}
}

// Prompts become ten times as long. The first token then arrives later, as it
// does with a queue. If this were mistaken for a queue, the limit would fall to
// one and the engine would idle.
func TestLongerPromptsAreNotAQueue(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(placement.Config{}, 0, &backend{name: "a", slots: 20, step: 2 * time.Millisecond})
	sim.run(5000)
	sim.minPrefill = 10 * prefillSteps
	sim.run(30000)
	t.Logf("limit %d, utilization %.3f", sim.table.Limit("a"), sim.utilization(5000))
	is.True(sim.utilization(5000) >= 0.98)
	is.True(sim.table.Limit("a") <= 30)
}

// The batch size of the engine shrinks (longer contexts take more of its
// memory) and later grows again. The limit must follow in both directions.
func TestLimitFollowsAChange(t *testing.T) {
	is := is.New(t)
	b := &backend{name: "a", slots: 40, step: 2 * time.Millisecond}
	sim := newSimulation(placement.Config{}, 64, b)
	sim.run(2000)
	before := sim.table.Limit("a")
	b.slots = 10
	sim.run(5000)
	during := sim.table.Limit("a")
	b.slots = 40
	sim.run(12000)
	after := sim.table.Limit("a")
	t.Logf("limits %d, %d, %d", before, during, after)
	is.True(before >= 40 && before <= 52)
	is.True(during >= 10 && during <= 13)
	is.True(after >= 40 && after <= 52)
}

// One of four engines becomes ten times as slow and holds its slots ten times
// as long, so that soon a large fraction of all callers waits for it. On
// probation it keeps one slot; once it recovers it gets its share back.
func TestSlowTargetGoesOnProbationAndRecovers(t *testing.T) {
	is := is.New(t)
	run := func(factor float64) (p98 time.Duration, sim *simulation) {
		backends := make([]*backend, 4)
		for i := range backends {
			backends[i] = &backend{name: ident.Target(fmt.Sprint(i)), slots: 20, step: 2 * time.Millisecond}
		}
		sim = newSimulation(placement.Config{SlowFactor: factor}, 20, backends...)
		sim.run(1000)
		backends[0].step *= 10
		sim.run(6000)
		return quantile(sim.latencies(3000), 0.98), sim
	}
	without, _ := run(1e9)
	with, sim := run(0)
	t.Logf("p98 time per token: %v without probation, %v with probation", without, with)
	is.Equal(sim.table.State("0"), placement.Probation)
	is.Equal(sim.table.Limit("0"), 1)
	is.True(with < without/5)
	is.Equal(sim.table.State("1"), placement.Live)

	sim.backends[0].step /= 10
	sim.run(9000)
	is.Equal(sim.table.State("0"), placement.Live)
	is.True(sim.table.Limit("0") > 15)
}

func newTable(targets ...placement.Target) *placement.Table {
	t := placement.New(placement.Config{Zone: "z1"}, rand.New(rand.NewPCG(1, 2)))
	t.SetTargets(targets)
	return t
}

var start = time.Unix(1000, 0)

// A target refuses connections. It always has free slots, so it would attract
// all work and fail it. After the first failure it must get no work until it
// answers a probe.
func TestUnreachableTargetGetsNoWorkUntilProbed(t *testing.T) {
	is := is.New(t)
	table := newTable(placement.Target{Name: "a", Slots: 4})
	is.True(table.Usable("a"))
	is.True(table.Observe(start, "a", placement.Sample{Failed: true, NotRun: true}))
	is.Equal(table.State("a"), placement.Suspect)
	is.True(!table.Usable("a"))
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(time.Second) {
		table.ApplyTrigger(now, "a", placement.Failed)
		is.True(!table.Usable("a"))
	}
	is.True(table.ProbeDue(start.Add(time.Minute), "a")) // the first successful probe ends the suspicion
	is.True(table.ApplyTrigger(start.Add(time.Minute), "a", placement.Answered))
	is.Equal(table.Limit("a"), 4)
}

// A target answers every probe and fails every request, for example because its
// disk is full. After each probe it would get as much work as fits on it and
// fail it. It must get work less and less often, yet often enough to detect its
// recovery.
func TestProbeBackoffOfTargetThatFailsRequests(t *testing.T) {
	is := is.New(t)
	table := newTable(placement.Target{Name: "a", Slots: 16}, placement.Target{Name: "b", Slots: 16})
	attempts, failed := 0, 0
	var last time.Time
	var longestPause time.Duration
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(100 * time.Millisecond) {
		if now.Sub(start)%time.Second == 0 && table.ProbeDue(now, "a") {
			table.ApplyTrigger(now, "a", placement.Answered)
		}
		if !table.Usable("a") {
			continue
		}
		if !last.IsZero() {
			longestPause = max(longestPause, now.Sub(last))
		}
		attempts, last = attempts+1, now
		for range table.Limit("a") {
			table.Observe(now, "a", placement.Sample{Failed: true})
			failed++
		}
	}
	t.Logf("received work %d times in a minute, failed %d requests, longest pause %v", attempts, failed, longestPause)
	is.True(attempts > 5 && attempts < 30)
	is.True(longestPause <= 6*time.Second) // MaxProbeBackoff plus one probe interval

	now := start.Add(time.Hour)
	table.ApplyTrigger(now, "a", placement.Answered)
	table.Observe(now, "a", placement.Sample{Tokens: 10, TimeToFirstByte: time.Millisecond, Elapsed: time.Second, InFlight: 1})
	table.Observe(now, "a", placement.Sample{Failed: true, NotRun: true})
	is.True(table.ProbeDue(now.Add(100*time.Millisecond), "a")) // a served request resets the backoff
}

// One caller's request makes any engine that runs it fail. A single failure
// must not make the engine unavailable to all other callers; two in a row do.
func TestSingleFailureKeepsTargetUsable(t *testing.T) {
	is := is.New(t)
	table := newTable(placement.Target{Name: "a", Slots: 4})
	good := placement.Sample{Tokens: 10, TimeToFirstByte: time.Millisecond, Elapsed: time.Second, InFlight: 1}
	for range 5 {
		table.Observe(start, "a", good)
		table.Observe(start, "a", placement.Sample{Failed: true})
	}
	is.True(table.Usable("a"))
	table.Observe(start, "a", placement.Sample{Failed: true})
	is.True(!table.Usable("a"))
}

// A leaving engine still completes its earlier requests. Those completions must
// not make it usable again; only Returned does.
func TestLeavingTargetStaysLeaving(t *testing.T) {
	is := is.New(t)
	table := newTable(placement.Target{Name: "a", Slots: 4})
	is.True(table.ApplyTrigger(start, "a", placement.Leaving))
	table.Observe(start, "a", placement.Sample{Tokens: 10, Elapsed: time.Second})
	table.ApplyTrigger(start, "a", placement.Answered)
	is.True(!table.Usable("a"))
	_, ok := table.Choose([]placement.FreeTarget{{Target: "a"}})
	is.True(!ok)
	table.ApplyTrigger(start, "a", placement.Returned)
	is.True(table.Usable("a"))
}

// A leaving engine refuses the ten requests that were already on their way to
// it. If these counted as ten signs of a full batch, its limit would be one
// after its return, and it would idle for minutes.
func TestRefusalsOfALeavingTargetAreForgotten(t *testing.T) {
	is := is.New(t)
	table := newTable(placement.Target{Name: "a", Slots: 10})
	for inFlight := 10; inFlight > 0; inFlight-- {
		table.Observe(start, "a", placement.Sample{NotRun: true, Elapsed: time.Millisecond, InFlight: inFlight})
	}
	is.Equal(table.Limit("a"), 9) // they count as one refusal
	table.ApplyTrigger(start, "a", placement.Leaving)
	table.ApplyTrigger(start, "a", placement.Returned)
	is.Equal(table.Limit("a"), 10)
}

// A target reports that it is full. The limit drops below the number in flight.
func TestRefusalLowersTheLimit(t *testing.T) {
	is := is.New(t)
	table := newTable(placement.Target{Name: "a", Slots: 64})
	table.Observe(start, "a", placement.Sample{NotRun: true, InFlight: 20})
	is.Equal(table.Limit("a"), 18)
}

func TestChoose(t *testing.T) {
	targets := []placement.Target{
		{Name: "a", Zone: "z1", Slots: 8}, {Name: "b", Zone: "z1", Slots: 8}, {Name: "c", Zone: "z2", Slots: 8},
	}
	free := func(a, b, c int) []placement.FreeTarget {
		return []placement.FreeTarget{{Target: "a", InFlight: a}, {Target: "b", InFlight: b}, {Target: "c", InFlight: c}}
	}
	cases := map[string]struct {
		free []placement.FreeTarget
		want ident.Target
	}{
		"least loaded target of the zone":       {free(5, 4, 0), "b"},
		"another zone if the local one is full": {free(8, 8, 7), "c"},
		"no free slot":                          {free(8, 8, 8), ""},
		"unknown target":                        {[]placement.FreeTarget{{Target: "x"}}, ""},
		"order breaks ties":                     {free(3, 3, 3), "a"},
		"more in flight than the limit":         {free(9, 10, 9), ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(targets...)
			got, ok := table.Choose(c.free)
			is.Equal(got, c.want)
			is.Equal(ok, c.want != "")
		})
	}
}

func TestRecentPrefixesAreBounded(t *testing.T) {
	is := is.New(t)
	table := placement.New(placement.Config{MaxPrefixes: 64}, rand.New(rand.NewPCG(1, 2)))
	table.SetTargets([]placement.Target{{Name: "a"}})
	for i := range 10000 {
		table.RecordPlacement(start.Add(time.Duration(i)*time.Millisecond), "a", uint64(i))
	}
	held := 0
	for i := range 10000 {
		if table.HoldsPrefix("a", uint64(i)) {
			held++
		}
	}
	is.True(held <= 64 && held > 32)
	is.True(table.HoldsPrefix("a", 9999))
}
