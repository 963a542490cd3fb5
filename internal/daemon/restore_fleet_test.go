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

// restoredFleet is a fleet of daemons over one store.
type restoredFleet struct {
	store   *copiedStore
	daemons map[ident.Daemon]*drill
}

// Follow implements relay.Peers.
func (f *restoredFleet) Follow(ctx context.Context, reader ident.Daemon, q store.FeedQuery) (store.FeedAnswer, error) {
	time.Sleep(time.Millisecond) // the way there and back
	return f.daemons[reader].site.p.Relay.ServeQuery(ctx, q)
}

// start starts daemons in some zones, and lets them elect their readers.
func (f *restoredFleet) start(ctx context.Context, daemons, zones int, metrics *telemetry.Metrics, tasks *sync.WaitGroup) error {
	var members []membership.Member
	for i := range daemons {
		id := identity{Daemon: ident.Daemon(fmt.Sprintf("d%d", i)), Zone: ident.Zone(fmt.Sprint(i % zones)), Incarnation: 7}
		d, err := newDrill(ctx, f.store, id, f, metrics, tasks)
		if err != nil {
			return err
		}
		f.daemons[id.Daemon] = d
		members = append(members, membership.Member{ID: id.Daemon, Zone: id.Zone})
	}
	for _, d := range f.daemons {
		var others []membership.Member
		for _, m := range members {
			if m.ID != d.site.p.Identity.Daemon {
				others = append(others, m)
			}
		}
		d.site.p.Relay.Elect(others)
	}
	return nil
}

// right tells whether all daemons have a version in force and use a target.
func (f *restoredFleet) right(version uint64, target ident.Target) bool {
	for _, d := range f.daemons {
		d.mu.Lock()
		usable := d.usable[target]
		d.mu.Unlock()
		if table := d.site.p.Routes.Current(); table == nil || table.Version != version || !usable {
			return false
		}
	}
	return true
}

// rows counts the daemons whose own row is in the store.
func (f *restoredFleet) rows() (n int) {
	for id := range f.daemons {
		if f.store.holds(platform.TableDaemons, string(id)) {
			n++
		}
	}
	return n
}

// since returns how long after a time a condition comes to hold.
func since(from time.Time, met func() bool) time.Duration {
	for !met() && time.Since(from) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(from)
}

// busiest returns the number of calls after a time, and the most of them in a second.
func busiest(calls []time.Time, from time.Time) (all, most int) {
	for i, at := range calls {
		if at.Before(from) {
			continue
		}
		all++
		n := 0
		for _, other := range calls[i:] {
			if other.Sub(at) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return all, most
}

const (
	// mostWrites and mostReads are the calls of a second that a store takes.
	mostWrites, mostReads = 400, 2000
	// boundReads is the largest fleet that keeps below mostReads: in a larger one the moment
	// without the store costs as many calls by itself.
	boundReads = 80
	// ownRowsWithin bounds the time to the last own row that is written again.
	ownRowsWithin = 3 * time.Second
)

// All rows of a fleet are lost at once: its daemons must not overload the store together.
func TestAFleetComesBackWithTheStore(t *testing.T) {
	metrics := telemetry.NewMetrics()
	for _, size := range []struct{ daemons, zones int }{{7, 3}, {80, 4}, {360, 6}} {
		t.Run(fmt.Sprint(size.daemons), func(t *testing.T) {
			if testing.Short() && size.daemons > boundReads {
				t.Skip("takes ten seconds of processor time")
			}
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				var tasks sync.WaitGroup
				defer tasks.Wait()
				defer cancel()
				f := &restoredFleet{store: newCopiedStore(false), daemons: map[ident.Daemon]*drill{}}
				f.store.put(platform.TableOperator, platform.KeyRoutes, routesText(1), false)
				f.store.put(platform.TableTargets, "t", entryReady, false)
				time.Sleep(time.Second)
				copied := time.Now()
				time.Sleep(time.Second)
				is.NoErr(f.start(ctx, size.daemons, size.zones, metrics, &tasks))
				time.Sleep(10 * time.Second)
				is.Equal(f.rows(), size.daemons)

				f.store.set(true, 0)
				time.Sleep(awayAtRestore)
				f.store.restore(time.Since(copied))
				f.store.set(false, 0)
				back := time.Now()
				own := since(back, func() bool { return f.rows() == size.daemons })
				time.Sleep(time.Until(back.Add(4 * time.Second)))
				f.store.put(platform.TableOperator, platform.KeyRoutes, routesText(2), false)
				f.store.put(platform.TableTargets, "new", entryReady, false)
				answers := since(time.Now(), func() bool { return f.right(2, "new") })
				time.Sleep(time.Until(back.Add(10 * time.Second)))

				f.store.mu.Lock()
				writes, mostPut := busiest(f.store.puts, back)
				reads, mostReading := busiest(f.store.reads, back.Add(-awayAtRestore))
				f.store.mu.Unlock()
				t.Logf("last own row after %s; new version and target everywhere after %s; in 10 s %d writes, at most %d a second; %d reads, at most %d a second",
					own, answers, writes, mostPut, reads, mostReading)
				is.Equal(writes, size.daemons) // each once
				is.True(mostPut < mostWrites)
				is.True(mostReading < mostReads || size.daemons > boundReads)
				is.True(own < ownRowsWithin)
				is.True(answers < inForceWithin)
			})
		})
	}
	is.New(t).NoErr(metrics.Close())
}
