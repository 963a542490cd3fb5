package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/placement"
)

// slice is how long an ingress goes on using a grant of another daemon: the
// owner sees the result of its last request alone.
const slice = 2 * time.Second

// stepOf is the time for a token: that of the emulator for the work of its load.
func stepOf(kind string) time.Duration {
	if kind == "recaps" || kind == "longer" {
		return 20 * time.Millisecond
	}
	return 2 * time.Millisecond
}

// The document says four times as many as the batch holds, and work waits from
// the first moment on: each request the daemon ever sees has waited in the
// engine for three others. Taken for the engine's ordinary time, that wait stays
// for good, and three quarters of the requests stand first come first served
// where no fair share reaches them.
func TestLimitIsFoundUnderAStandingQueue(t *testing.T) {
	const seeds = 8
	for _, kind := range []string{"steady", "mixed", "plain", "recaps", "longer"} {
		for _, slots := range []int{4, 10, 20} {
			t.Run(fmt.Sprint(kind, " ", slots), func(t *testing.T) {
				is := is.New(t)
				var at [4]float64
				var busy float64
				for seed := range uint64(seeds) {
					p := newPool(placement.Config{}, 4*slots, &backend{name: "a", slots: slots, step: stepOf(kind)})
					p.kind, p.slice = kind, slice
					p.rng = rand.New(rand.NewPCG(seed, 2))
					for i, since := range []time.Duration{15 * time.Second, 30 * time.Second, time.Minute, 2 * time.Minute} {
						at[i] += float64(p.until(since)) / seeds
					}
					busy += p.utilisation(0) / seeds
				}
				t.Logf("mean limit after 15 s %.1f, 30 s %.1f, 60 s %.1f, 120 s %.1f; utilisation %.3f", at[0], at[1], at[2], at[3], busy)
				is.True(at[3] <= 2.4*float64(slots))
				is.True(busy >= 0.95)
			})
		}
	}
}

// The document is right and no queue stands. What is tried to find out must
// cost little.
func TestProofCostsLittleWhereNoQueueStands(t *testing.T) {
	const seeds = 8
	for _, kind := range []string{"steady", "mixed", "plain", "recaps"} {
		for _, slots := range []int{4, 10, 20, 64} {
			t.Run(fmt.Sprint(kind, " ", slots), func(t *testing.T) {
				is := is.New(t)
				var busy float64
				for seed := range uint64(seeds) {
					p := newPool(placement.Config{}, slots, &backend{name: "a", slots: slots, step: stepOf(kind)})
					p.kind, p.slice = kind, slice
					p.rng = rand.New(rand.NewPCG(seed, 2))
					p.until(time.Minute)
					busy += p.utilisation(0) / seeds
				}
				t.Logf("utilisation of the first minute %.3f", busy)
				is.True(busy >= 0.93)
			})
		}
	}
}

// The owner that found the limit stops, and a daemon takes the target over that
// has seen it with the eyes of an ingress only: some results, no number of
// requests on it, and the first of them from the time of the queue.
func TestNextOwnerFindsTheLimit(t *testing.T) {
	is := is.New(t)
	const slots, seeds = 4, 8
	var before, after float64
	for seed := range uint64(seeds) {
		p := newPool(placement.Config{}, 4*slots, &backend{name: "a", slots: slots, step: 2 * time.Millisecond})
		p.slice = slice
		p.rng = rand.New(rand.NewPCG(seed, 2))
		p.second = newTable(placement.Target{Name: "a", Slots: 4 * slots})
		before += float64(p.until(time.Minute)) / seeds
		p.table, p.second = p.second, nil
		after += float64(p.until(2*time.Minute)) / seeds
	}
	t.Logf("mean limit %.1f, a minute after the change %.1f", before, after)
	is.True(after <= 2*slots)
}

// Prompts are long, so that the limit is lowered to prove the base, and the target
// says that it is full. The proof finds no queue; it must not put back the limit
// from before the refusal.
func TestRefusalDuringTheProofIsNotForgotten(t *testing.T) {
	is := is.New(t)
	const slots = 16
	p := newPool(placement.Config{}, slots, &backend{name: "a", slots: slots, step: 2 * time.Millisecond})
	p.kind = "mixed"
	for p.table.Limit("a") == slots {
		p.run(len(p.done) + 1)
	}
	for range slots + 1 { // those dispatched under the former limit do not count
		p.table.Observe(p.now, "a", placement.Sample{NotRun: true, InFlight: 6})
	}
	is.Equal(p.table.Limit("a"), 5)
	for range 100 {
		p.run(len(p.done) + 1)
		is.True(p.table.Limit("a") <= 8)
	}
}
