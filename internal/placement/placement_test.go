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

// An engine's batch holds 20 streams; its document says 64, or nothing. Work is
// always waiting. Requests beyond the batch wait inside the engine, first come
// first served, where a hearing question cannot overtake the recaps before it.
// The limit must come down (or up) to the batch, without a slot left empty, and
// whatever unit the step time has.
func TestLimitFindsTheBatch(t *testing.T) {
	for _, step := range []time.Duration{2 * time.Microsecond, 2 * time.Millisecond, 2 * time.Second} {
		for _, ceiling := range []int{0, 64} {
			t.Run(fmt.Sprint(step, " ceiling ", ceiling), func(t *testing.T) {
				is := is.New(t)
				b := &backend{name: "a", slots: 20, step: step}
				p := newPool(placement.Config{}, ceiling, b)
				p.run(4000)
				limit := p.table.Limit("a")
				t.Logf("limit %d, utilisation %.3f", limit, p.utilisation(1000))
				is.True(limit >= 20) // no slot is left empty
				is.True(limit <= 26) // little waits in the engine
				is.True(p.utilisation(1000) > 0.98)
			})
		}
	}
}

// Work comes in kinds: equal prompts, prompts that take as long as the answers,
// plain requests that answer only at the end. Their own spread looks like a
// queue here and hides one there. Taken for a queue, slots stay empty; missed,
// the target hoards work that others could run.
func TestLimitHoldsForEachKindOfWork(t *testing.T) {
	for _, kind := range []string{"steady", "mixed", "plain"} {
		for _, slots := range []int{4, 10, 20, 64} {
			t.Run(fmt.Sprint(kind, " ", slots), func(t *testing.T) {
				is := is.New(t)
				p := newPool(placement.Config{}, 0, &backend{name: "a", slots: slots, step: 2 * time.Millisecond})
				p.kind = kind
				sum, n := 0, 0
				p.onDone = func(done int) {
					if done > 5000 {
						sum += p.table.Limit("a")
						n++
					}
				}
				p.run(40000)
				mean := float64(sum) / float64(n)
				t.Logf("mean limit %.1f, utilisation %.3f", mean, p.utilisation(5000))
				is.True(p.utilisation(5000) >= 0.98)
				is.True(mean <= 1.5*float64(slots)+2)
			})
		}
	}
}

// The users begin to send whole case files: prompts become ten times as long.
// The first token comes later for it, as with a queue. Taken for one, the limit
// would fall to one and the engine would idle.
func TestLongerPromptsAreNotAQueue(t *testing.T) {
	is := is.New(t)
	p := newPool(placement.Config{}, 0, &backend{name: "a", slots: 20, step: 2 * time.Millisecond})
	p.run(5000)
	p.prefill = 10 * prefillSteps
	p.run(30000)
	t.Logf("limit %d, utilisation %.3f", p.table.Limit("a"), p.utilisation(5000))
	is.True(p.utilisation(5000) >= 0.98)
	is.True(p.table.Limit("a") <= 30)
}

// The engine's batch shrinks (a longer context takes more of its memory) and
// grows again later. The limit must follow in both directions.
func TestLimitFollowsAChange(t *testing.T) {
	is := is.New(t)
	b := &backend{name: "a", slots: 40, step: 2 * time.Millisecond}
	p := newPool(placement.Config{}, 64, b)
	p.run(2000)
	before := p.table.Limit("a")
	b.slots = 10
	p.run(5000)
	during := p.table.Limit("a")
	b.slots = 40
	p.run(12000)
	after := p.table.Limit("a")
	t.Logf("limits %d, %d, %d", before, during, after)
	is.True(before >= 40 && before <= 52)
	is.True(during >= 10 && during <= 13)
	is.True(after >= 40 && after <= 52)
}

// One of four engines becomes ten times as slow. It holds its slots ten times as
// long, so that soon a large part of all callers sits on it. On probation it
// keeps one; when it is well again it gets its share back.
func TestSlowTargetGoesOnProbationAndRecovers(t *testing.T) {
	is := is.New(t)
	run := func(factor float64) (p95 time.Duration, p *pool) {
		backends := make([]*backend, 4)
		for i := range backends {
			backends[i] = &backend{name: ident.Target(fmt.Sprint(i)), slots: 20, step: 2 * time.Millisecond}
		}
		p = newPool(placement.Config{SlowFactor: factor}, 20, backends...)
		p.run(1000)
		backends[0].step *= 10
		p.run(6000)
		return quantile(p.latencies(3000), 0.98), p
	}
	without, _ := run(1e9)
	with, p := run(0)
	t.Logf("p98 time for a token: %v without probation, %v with", without, with)
	is.Equal(p.table.State("0"), placement.Probation)
	is.Equal(p.table.Limit("0"), 1)
	is.True(with < without/5)
	is.Equal(p.table.State("1"), placement.Live)

	p.backends[0].step /= 10
	p.run(9000)
	is.Equal(p.table.State("0"), placement.Live)
	is.True(p.table.Limit("0") > 15)
}

func newTable(targets ...placement.Target) *placement.Table {
	t := placement.New(placement.Config{Zone: "z1"}, rand.New(rand.NewPCG(1, 2)))
	t.SetTargets(targets)
	return t
}

var start = time.Unix(1000, 0)

// A target refuses connections. It is always free, so that it would draw all
// work and fail it. After the first it gets none until a probe is answered.
func TestUnreachableTargetGetsNoWorkUntilProbed(t *testing.T) {
	is := is.New(t)
	table := newTable(placement.Target{Name: "a", Slots: 4})
	is.True(table.Usable("a"))
	is.True(table.Observe(start, "a", placement.Sample{Failed: true, NotRun: true}))
	is.Equal(table.State("a"), placement.Suspect)
	is.True(!table.Usable("a"))
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(time.Second) {
		table.Learn(now, "a", placement.Failed)
		is.True(!table.Usable("a"))
	}
	is.True(table.ProbeDue(start.Add(time.Minute), "a")) // it returns with its first answer
	is.True(table.Learn(start.Add(time.Minute), "a", placement.Answered))
	is.Equal(table.Limit("a"), 4)
}

// A target answers each probe and fails each request: its disk is full, say. With
// every probe it would get all the work that fits on it and fail it. It must get
// work ever less often, and often enough to be found well again.
func TestTargetThatFailsRequestsAndAnswersProbesGetsWorkSeldom(t *testing.T) {
	is := is.New(t)
	table := newTable(placement.Target{Name: "a", Slots: 16}, placement.Target{Name: "b", Slots: 16})
	times, failed := 0, 0
	var last time.Time
	var longest time.Duration
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(100 * time.Millisecond) {
		if now.Sub(start)%time.Second == 0 && table.ProbeDue(now, "a") {
			table.Learn(now, "a", placement.Answered)
		}
		if !table.Usable("a") {
			continue
		}
		if !last.IsZero() {
			longest = max(longest, now.Sub(last))
		}
		times, last = times+1, now
		for range table.Limit("a") {
			table.Observe(now, "a", placement.Sample{Failed: true})
			failed++
		}
	}
	t.Logf("got work %d times in a minute and failed %d requests; longest pause %v", times, failed, longest)
	is.True(times > 5 && times < 30)
	is.True(longest <= 6*time.Second) // MaxProbeWait and one probe

	now := start.Add(time.Hour)
	table.Learn(now, "a", placement.Answered)
	table.Observe(now, "a", placement.Sample{Tokens: 10, First: time.Millisecond, Elapsed: time.Second, InFlight: 1})
	table.Observe(now, "a", placement.Sample{Failed: true, NotRun: true})
	is.True(table.ProbeDue(now.Add(100*time.Millisecond), "a")) // a served request starts the wait anew
}

// One caller's request makes whatever engine runs it fail. Its failure alone
// must not take the engine from all others; a second one in a row does.
func TestOneFailedRequestDoesNotTakeATargetOut(t *testing.T) {
	is := is.New(t)
	table := newTable(placement.Target{Name: "a", Slots: 4})
	good := placement.Sample{Tokens: 10, First: time.Millisecond, Elapsed: time.Second, InFlight: 1}
	for range 5 {
		table.Observe(start, "a", good)
		table.Observe(start, "a", placement.Sample{Failed: true})
	}
	is.True(table.Usable("a"))
	table.Observe(start, "a", placement.Sample{Failed: true})
	is.True(!table.Usable("a"))
}

// An engine that was told to leave still ends its old requests well. Those
// answers must not make it look usable; only the word that it has returned does.
func TestLeavingTargetStaysLeaving(t *testing.T) {
	is := is.New(t)
	table := newTable(placement.Target{Name: "a", Slots: 4})
	is.True(table.Learn(start, "a", placement.Leaving))
	table.Observe(start, "a", placement.Sample{Tokens: 10, Elapsed: time.Second})
	table.Learn(start, "a", placement.Answered)
	is.True(!table.Usable("a"))
	_, ok := table.Choose([]placement.Free{{Target: "a"}})
	is.True(!ok)
	table.Learn(start, "a", placement.Returned)
	is.True(table.Usable("a"))
}

// A leaving engine refuses the ten requests that were on their way to it. Taken
// for ten signs of a full batch, they would leave it a limit of one when it has
// returned, and it would idle for minutes.
func TestRefusalsOfALeavingTargetAreForgotten(t *testing.T) {
	is := is.New(t)
	table := newTable(placement.Target{Name: "a", Slots: 10})
	for inFlight := 10; inFlight > 0; inFlight-- {
		table.Observe(start, "a", placement.Sample{NotRun: true, Elapsed: time.Millisecond, InFlight: inFlight})
	}
	is.Equal(table.Limit("a"), 9) // they stand for one
	table.Learn(start, "a", placement.Leaving)
	table.Learn(start, "a", placement.Returned)
	is.Equal(table.Limit("a"), 10)
}

// A target says that it is full. The limit goes below what it had.
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
	free := func(a, b, c int) []placement.Free {
		return []placement.Free{{Target: "a", InFlight: a}, {Target: "b", InFlight: b}, {Target: "c", InFlight: c}}
	}
	cases := map[string]struct {
		free []placement.Free
		want ident.Target
	}{
		"emptiest of the zone":                    {free(5, 4, 0), "b"},
		"another zone where the own one is full":  {free(8, 8, 7), "c"},
		"nothing free":                            {free(8, 8, 8), ""},
		"a target that is not in the table":       {[]placement.Free{{Target: "x"}}, ""},
		"order decides between equally empty":     {free(3, 3, 3), "a"},
		"more in flight than the limit is no gap": {free(9, 10, 9), ""},
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

func TestPrefixMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	table := placement.New(placement.Config{PrefixEntries: 64}, rand.New(rand.NewPCG(1, 2)))
	table.SetTargets([]placement.Target{{Name: "a"}})
	for i := range 10000 {
		table.CacheStored(start.Add(time.Duration(i)*time.Millisecond), "a", uint64(i))
	}
	held := 0
	for i := range 10000 {
		if table.Holds("a", uint64(i)) {
			held++
		}
	}
	is.True(held <= 64 && held > 32)
	is.True(table.Holds("a", 9999))
}
