package daemon

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
	store "github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/telemetry"
	"github.com/savorystall/savorystall/platform"
)

// fleetSimulation is a fleet of daemons that share one store.
type fleetSimulation struct {
	store   *restorableStore
	daemons map[ident.Daemon]*simulation
}

// Follow implements relay.Peers.
func (f *fleetSimulation) Follow(ctx context.Context, reader ident.Daemon, q store.FeedQuery) (store.FeedAnswer, error) {
	time.Sleep(time.Millisecond) // network round trip
	return f.daemons[reader].storeSync.deps.Relay.ServeQuery(ctx, q)
}

// start starts daemons in some availability zones and lets them elect their readers.
func (f *fleetSimulation) start(ctx context.Context, daemons, zones int, metrics *telemetry.Metrics, tasks *sync.WaitGroup) error {
	var members []membership.Member
	for i := range daemons {
		id := identity{Daemon: ident.Daemon(fmt.Sprintf("d%d", i)), Zone: ident.Zone(fmt.Sprint(i % zones)), Incarnation: 7}
		d, err := newSimulation(ctx, f.store, id, f, metrics, tasks)
		if err != nil {
			return err
		}
		f.daemons[id.Daemon] = d
		members = append(members, membership.Member{ID: id.Daemon, Zone: id.Zone})
	}
	for _, d := range f.daemons {
		var others []membership.Member
		for _, m := range members {
			if m.ID != d.storeSync.deps.Identity.Daemon {
				others = append(others, m)
			}
		}
		d.storeSync.deps.Relay.Elect(others)
	}
	return nil
}

// converged reports whether all daemons have the version in force and use the target.
func (f *fleetSimulation) converged(version uint64, target ident.Target) bool {
	for _, d := range f.daemons {
		d.mu.Lock()
		usable := d.usable[target]
		d.mu.Unlock()
		if table := d.storeSync.deps.Routes.Current(); table == nil || table.Version != version || !usable {
			return false
		}
	}
	return true
}

// ownRows counts the daemons whose own row is in the store.
func (f *fleetSimulation) ownRows() (n int) {
	for id := range f.daemons {
		if f.store.contains(platform.TableDaemons, string(id)) {
			n++
		}
	}
	return n
}

// timeUntil returns the time from a start until the condition holds.
func timeUntil(from time.Time, condition func() bool) time.Duration {
	for !condition() && time.Since(from) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(from)
}

// countCalls returns the number of calls after a time, and the highest number of them
// within a second.
func countCalls(calls []time.Time, from time.Time) (total, peak int) {
	for i, start := range calls {
		if start.Before(from) {
			continue
		}
		total++
		n := 0
		for _, other := range calls[i:] {
			if other.Sub(start) < time.Second {
				n++
			}
		}
		peak = max(peak, n)
	}
	return total, peak
}

const (
	// maxWritesPerSecond and maxReadsPerSecond are the numbers of calls a second that a
	// store accepts.
	maxWritesPerSecond, maxReadsPerSecond = 400, 2000
	// maxFleetWithReadBound is the largest fleet that stays below maxReadsPerSecond. In a
	// larger fleet, the brief outage of the store alone causes that many calls.
	maxFleetWithReadBound = 80
	// maxOwnRowDelay bounds the time until the last own row has been rewritten.
	maxOwnRowDelay = 3 * time.Second
)

// When all rows of a fleet are lost at once, its daemons together must not overload the
// store.
func TestFleetRecoversWithoutOverloadingTheStore(t *testing.T) {
	metrics := telemetry.NewMetrics()
	for _, size := range []struct{ daemons, zones int }{{7, 3}, {80, 4}, {360, 6}} {
		t.Run(fmt.Sprint(size.daemons), func(t *testing.T) {
			if testing.Short() && size.daemons > maxFleetWithReadBound {
				t.Skip("takes ten seconds of processor time")
			}
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				var tasks sync.WaitGroup
				defer tasks.Wait()
				defer cancel()
				f := &fleetSimulation{store: newRestorableStore(false), daemons: map[ident.Daemon]*simulation{}}
				f.store.put(platform.TableOperator, platform.KeyRoutes, routesDocument(1), false)
				f.store.put(platform.TableTargets, "t", entryReady, false)
				time.Sleep(time.Second)
				backupTime := time.Now()
				time.Sleep(time.Second)
				is.NoErr(f.start(ctx, size.daemons, size.zones, metrics, &tasks))
				time.Sleep(10 * time.Second)
				is.Equal(f.ownRows(), size.daemons)

				f.store.setFault(true, 0)
				time.Sleep(restoreOutage)
				f.store.restore(time.Since(backupTime))
				f.store.setFault(false, 0)
				recoveredAt := time.Now()
				ownRowDelay := timeUntil(recoveredAt, func() bool { return f.ownRows() == size.daemons })
				time.Sleep(time.Until(recoveredAt.Add(4 * time.Second)))
				f.store.put(platform.TableOperator, platform.KeyRoutes, routesDocument(2), false)
				f.store.put(platform.TableTargets, "new", entryReady, false)
				applyDelay := timeUntil(time.Now(), func() bool { return f.converged(2, "new") })
				time.Sleep(time.Until(recoveredAt.Add(10 * time.Second)))

				f.store.mu.Lock()
				writes, peakWrites := countCalls(f.store.writeTimes, recoveredAt)
				reads, peakReads := countCalls(f.store.readTimes, recoveredAt.Add(-restoreOutage))
				f.store.mu.Unlock()
				t.Logf("last own row rewritten after %s; new version and target in force on all daemons after %s; in 10 s %d writes, at most %d a second; %d reads, at most %d a second",
					ownRowDelay, applyDelay, writes, peakWrites, reads, peakReads)
				is.Equal(writes, size.daemons) // each row once
				is.True(peakWrites < maxWritesPerSecond)
				is.True(peakReads < maxReadsPerSecond || size.daemons > maxFleetWithReadBound)
				is.True(ownRowDelay < maxOwnRowDelay)
				is.True(applyDelay < maxApplyDelay)
			})
		})
	}
	is.New(t).NoErr(metrics.Close())
}
