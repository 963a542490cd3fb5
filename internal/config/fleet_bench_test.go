package config_test

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/savorystall/savorystall/internal/config"
	platformstandin "github.com/savorystall/savorystall/internal/standin/platform"
)

// The table of the plan takes about 2,000 reads and several hundred writes a
// second.
var planTable = platformstandin.Config{ReadsPerSecond: 2000, WritesPerSecond: 300}

// startFleet starts the watchers, each with a client of its own.
func (b *bench) startFleet(tb testing.TB) []*config.Store {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	stores := make([]*config.Store, planDaemons)
	for i := range stores {
		stores[i] = config.NewStore()
		client, _ := b.countingClient(tb)
		watcher := config.NewWatcher(config.WatcherConfig{Table: client, Store: stores[i], Logger: quiet})
		group.Go(func() { _ = watcher.Run(ctx) })
	}
	tb.Cleanup(func() { cancel(); group.Wait() })
	return stores
}

func awaitAll(tb testing.TB, stores []*config.Store, revision uint64) {
	for _, store := range stores {
		for {
			changed := store.Changed()
			if store.Head() >= revision {
				break
			}
			select {
			case <-changed:
			case <-time.After(time.Minute):
				tb.Fatalf("revision %d is not in force everywhere", revision)
			}
		}
	}
}

func (b *bench) calls() int { return b.server.Calls(platformstandin.Table) }

// edit applies the n-th change and returns its revision.
func (b *bench) edit(tb testing.TB, n int, revisions []uint64) uint64 {
	i := n % len(revisions)
	revision, err := b.editor("ana").Apply(tb.Context(), text(fmt.Sprint("s", i), n+1), revisions[i], "")
	if err != nil {
		tb.Fatal(err)
	}
	revisions[i] = revision
	return revision
}

// BenchmarkFleetEdits runs 360 watchers at their defaults, edits documents one
// after the other, and reports how long a change takes to be in force on the
// last daemon and how many calls the table serves. The documents are small
// because all daemons share this machine's processors.
func BenchmarkFleetEdits(b *testing.B) {
	bench := newLimitedBench(b, planTable)
	revisions := make([]uint64, planModels)
	stores := bench.startFleet(b)
	var delays []float64
	began, calls := time.Now(), bench.calls()
	for b.Loop() {
		at := time.Now()
		awaitAll(b, stores, bench.edit(b, len(delays), revisions))
		delays = append(delays, time.Since(at).Seconds())
	}
	took := time.Since(began).Seconds()
	sort.Float64s(delays)
	b.ReportMetric(delays[len(delays)/2], "median-s-to-last")
	b.ReportMetric(delays[len(delays)-1], "max-s-to-last")
	b.ReportMetric(float64(bench.calls()-calls)/took, "calls/s")
}

// BenchmarkFleetIdle reports the calls that the polls of 360 daemons make.
func BenchmarkFleetIdle(b *testing.B) {
	const look = 10 * time.Second
	bench := newLimitedBench(b, planTable)
	revisions := make([]uint64, 1)
	awaitAll(b, bench.startFleet(b), bench.edit(b, 0, revisions))
	for b.Loop() {
		before := bench.calls()
		time.Sleep(look)
		b.ReportMetric(float64(bench.calls()-before)/look.Seconds(), "calls/s")
	}
}

// BenchmarkFleetOutage takes the table down for 20 seconds under 360 watchers,
// makes a change as soon as it is back, and reports the calls during the
// outage, the most calls in a tenth of a second after it, and how long after
// the table's return the change was in force everywhere.
func BenchmarkFleetOutage(b *testing.B) {
	const outage, sample = 20 * time.Second, 100 * time.Millisecond
	bench := newLimitedBench(b, planTable)
	revisions := make([]uint64, 1)
	stores := bench.startFleet(b)
	awaitAll(b, stores, bench.edit(b, 0, revisions))
	for n := 1; b.Loop(); n++ {
		bench.server.SetFaults(platformstandin.Table, platformstandin.Faults{Down: true})
		time.Sleep(outage / 2) // the gates have closed and the backoffs grown
		before := bench.calls()
		time.Sleep(outage / 2)
		b.ReportMetric(float64(bench.calls()-before)/(outage/2).Seconds(), "calls/s-while-out")
		bench.server.SetFaults(platformstandin.Table, platformstandin.Faults{})
		back := time.Now()
		peak := bench.peakCalls(sample, 5*time.Second)
		awaitAll(b, stores, bench.edit(b, n, revisions))
		took := time.Since(back)
		b.ReportMetric(took.Seconds(), "s-to-last")
		b.ReportMetric(float64(<-peak), "calls-in-0.1s-at-most")
	}
}

// peakCalls sends the highest number of calls in one sample of the time given.
func (b *bench) peakCalls(sample, during time.Duration) <-chan int {
	peak := make(chan int, 1)
	go func() {
		highest := 0
		for range int(during / sample) {
			before := b.calls()
			time.Sleep(sample)
			highest = max(highest, b.calls()-before)
		}
		peak <- highest
	}()
	return peak
}
