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

// plannedTable simulates the table for the planned capacity: about 2,000 reads
// and several hundred writes a second.
var plannedTable = platformstandin.Config{ReadsPerSecond: 2000, WritesPerSecond: 300}

// startFleet starts the watchers of all planned daemons, each with its own client.
func (env *testEnv) startFleet(tb testing.TB) []*config.Store {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	stores := make([]*config.Store, plannedDaemons)
	for i := range stores {
		stores[i] = config.NewStore()
		client, _ := env.countingClient(tb)
		watcher := config.NewWatcher(config.WatcherConfig{Table: client, Store: stores[i], Logger: discardLogger})
		group.Go(func() { _ = watcher.Run(ctx) })
	}
	tb.Cleanup(func() { cancel(); group.Wait() })
	return stores
}

func waitForAll(tb testing.TB, stores []*config.Store, revision uint64) {
	for _, store := range stores {
		for {
			changed := store.Changed()
			if store.Head() >= revision {
				break
			}
			select {
			case <-changed:
			case <-time.After(time.Minute):
				tb.Fatalf("revision %d is not active on every daemon", revision)
			}
		}
	}
}

func (env *testEnv) tableCalls() int { return env.server.Calls(platformstandin.Table) }

// applyEdit applies the n-th change and returns its revision.
func (env *testEnv) applyEdit(tb testing.TB, n int, revisions []uint64) uint64 {
	i := n % len(revisions)
	revision, err := env.editor("ana").Apply(tb.Context(), plainDocument(fmt.Sprint("s", i), n+1), revisions[i], "")
	if err != nil {
		tb.Fatal(err)
	}
	revisions[i] = revision
	return revision
}

// BenchmarkFleetEdits runs 360 watchers with default settings, edits documents
// one after another, and reports how long a change takes to reach the last daemon
// and how many calls the table serves. The documents are small because all
// daemons share the processors of one machine.
func BenchmarkFleetEdits(b *testing.B) {
	env := newTestEnvWithConfig(b, plannedTable)
	revisions := make([]uint64, plannedModels)
	stores := env.startFleet(b)
	var delays []float64
	start, calls := time.Now(), env.tableCalls()
	for b.Loop() {
		editedAt := time.Now()
		waitForAll(b, stores, env.applyEdit(b, len(delays), revisions))
		delays = append(delays, time.Since(editedAt).Seconds())
	}
	elapsed := time.Since(start).Seconds()
	sort.Float64s(delays)
	b.ReportMetric(delays[len(delays)/2], "median-s-to-last")
	b.ReportMetric(delays[len(delays)-1], "max-s-to-last")
	b.ReportMetric(float64(env.tableCalls()-calls)/elapsed, "calls/s")
}

// BenchmarkFleetIdle reports the rate of table calls caused by the polls of 360
// daemons without any changes.
func BenchmarkFleetIdle(b *testing.B) {
	const sampleTime = 10 * time.Second
	env := newTestEnvWithConfig(b, plannedTable)
	revisions := make([]uint64, 1)
	waitForAll(b, env.startFleet(b), env.applyEdit(b, 0, revisions))
	for b.Loop() {
		before := env.tableCalls()
		time.Sleep(sampleTime)
		b.ReportMetric(float64(env.tableCalls()-before)/sampleTime.Seconds(), "calls/s")
	}
}

// BenchmarkFleetOutage makes the table unavailable to 360 watchers for 20 seconds
// and applies a change as soon as it is available again. It reports the call rate
// during the outage, the peak number of calls within a tenth of a second after
// it, and how long after the recovery the change was active on every daemon.
func BenchmarkFleetOutage(b *testing.B) {
	const outage, sample = 20 * time.Second, 100 * time.Millisecond
	env := newTestEnvWithConfig(b, plannedTable)
	revisions := make([]uint64, 1)
	stores := env.startFleet(b)
	waitForAll(b, stores, env.applyEdit(b, 0, revisions))
	for n := 1; b.Loop(); n++ {
		env.server.SetFaults(platformstandin.Table, platformstandin.Faults{Unavailable: true})
		time.Sleep(outage / 2) // circuit breakers are open and backoffs have increased
		before := env.tableCalls()
		time.Sleep(outage / 2)
		b.ReportMetric(float64(env.tableCalls()-before)/(outage/2).Seconds(), "calls/s-while-out")
		env.server.SetFaults(platformstandin.Table, platformstandin.Faults{})
		restoredAt := time.Now()
		peak := env.peakCalls(sample, 5*time.Second)
		waitForAll(b, stores, env.applyEdit(b, n, revisions))
		elapsed := time.Since(restoredAt)
		b.ReportMetric(elapsed.Seconds(), "s-to-last")
		b.ReportMetric(float64(<-peak), "calls-in-0.1s-at-most")
	}
}

// peakCalls returns a channel that receives the highest number of table calls
// within one sample interval, once the given duration is over.
func (env *testEnv) peakCalls(sample, during time.Duration) <-chan int {
	peak := make(chan int, 1)
	go func() {
		highest := 0
		for range int(during / sample) {
			before := env.tableCalls()
			time.Sleep(sample)
			highest = max(highest, env.tableCalls()-before)
		}
		peak <- highest
	}()
	return peak
}
