package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/placement"
)

// grantReuse is for how long an ingress reuses a grant of another daemon; the
// owner sees only the result of its last request.
const grantReuse = 2 * time.Second

// stepTime returns the time per token, which for the workloads of the example
// load is that of the emulator.
func stepTime(kind string) time.Duration {
	if kind == "recaps" || kind == "longer" {
		return 20 * time.Millisecond
	}
	return 2 * time.Millisecond
}

// The configuration allows four times the batch size, and requests queue from
// the start, so every request the daemon ever sees has waited in the engine for
// three others. If that wait were taken for the normal time to first byte it
// would persist, and three quarters of the requests would wait in arrival
// order, out of reach of fair sharing.
func TestLimitIsFoundUnderAStandingQueue(t *testing.T) {
	const seeds = 8
	for _, kind := range []string{"steady", "mixed", "plain", "recaps", "longer"} {
		for _, slots := range []int{4, 10, 20} {
			t.Run(fmt.Sprint(kind, " ", slots), func(t *testing.T) {
				is := is.New(t)
				var limits [4]float64
				var utilization float64
				for seed := range uint64(seeds) {
					sim := newSimulation(placement.Config{}, 4*slots, &backend{name: "a", slots: slots, step: stepTime(kind)})
					sim.workload, sim.grantReuse = kind, grantReuse
					sim.rng = rand.New(rand.NewPCG(seed, 2))
					for i, since := range []time.Duration{15 * time.Second, 30 * time.Second, time.Minute, 2 * time.Minute} {
						limits[i] += float64(sim.runUntil(since)) / seeds
					}
					utilization += sim.utilization(0) / seeds
				}
				t.Logf("mean limit after 15 s %.1f, 30 s %.1f, 60 s %.1f, 120 s %.1f; utilization %.3f", limits[0], limits[1], limits[2], limits[3], utilization)
				is.True(limits[3] <= 2.4*float64(slots))
				is.True(utilization >= 0.95)
			})
		}
	}
}

// The configuration is correct and there is no queue. The baseline check must
// cost little.
func TestBaselineCheckCostsLittleWithoutQueue(t *testing.T) {
	const seeds = 8
	for _, kind := range []string{"steady", "mixed", "plain", "recaps"} {
		for _, slots := range []int{4, 10, 20, 64} {
			t.Run(fmt.Sprint(kind, " ", slots), func(t *testing.T) {
				is := is.New(t)
				var utilization float64
				for seed := range uint64(seeds) {
					sim := newSimulation(placement.Config{}, slots, &backend{name: "a", slots: slots, step: stepTime(kind)})
					sim.workload, sim.grantReuse = kind, grantReuse
					sim.rng = rand.New(rand.NewPCG(seed, 2))
					sim.runUntil(time.Minute)
					utilization += sim.utilization(0) / seeds
				}
				t.Logf("utilization in the first minute %.3f", utilization)
				is.True(utilization >= 0.93)
			})
		}
	}
}

// The owner that determined the limit stops, and another daemon takes over the
// target. As an ingress it has seen only some of the results, without the
// number of requests in flight, and the first of them date from when the queue
// existed.
func TestNextOwnerFindsTheLimit(t *testing.T) {
	is := is.New(t)
	const slots, seeds = 4, 8
	var before, after float64
	for seed := range uint64(seeds) {
		sim := newSimulation(placement.Config{}, 4*slots, &backend{name: "a", slots: slots, step: 2 * time.Millisecond})
		sim.grantReuse = grantReuse
		sim.rng = rand.New(rand.NewPCG(seed, 2))
		sim.observer = newTable(placement.Target{Name: "a", Slots: 4 * slots})
		before += float64(sim.runUntil(time.Minute)) / seeds
		sim.table, sim.observer = sim.observer, nil
		after += float64(sim.runUntil(2*time.Minute)) / seeds
	}
	t.Logf("mean limit %.1f, a minute after the change of owner %.1f", before, after)
	is.True(after <= 2*slots)
}

// Prompts are long, so the limit is reduced for the baseline check, and
// meanwhile the target reports that it is full. The check finds no queue; it
// must not restore the limit from before the refusal.
func TestRefusalDuringBaselineCheckIsKept(t *testing.T) {
	is := is.New(t)
	const slots = 16
	sim := newSimulation(placement.Config{}, slots, &backend{name: "a", slots: slots, step: 2 * time.Millisecond})
	sim.workload = "mixed"
	for sim.table.Limit("a") == slots {
		sim.run(len(sim.completed) + 1)
	}
	for range slots + 1 { // requests dispatched under the previous limit do not count
		sim.table.Observe(sim.now, "a", placement.Sample{NotRun: true, InFlight: 6})
	}
	is.Equal(sim.table.Limit("a"), 5)
	for range 100 {
		sim.run(len(sim.completed) + 1)
		is.True(sim.table.Limit("a") <= 8)
	}
}
