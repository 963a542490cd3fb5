package relay_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// runStart runs a test in simulated time on daemons that have just started and do not know of
// each other yet.
func runStart(t *testing.T, daemons int, f func(z *zone, names []ident.Daemon)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var names []ident.Daemon
		for i := range daemons {
			names = append(names, ident.Daemon(fmt.Sprintf("d%02d", i)))
		}
		z := newUnelectedZone(names...)
		z.followCoalescing(ctx, time.Second) // as the list of daemons is followed
		f(z, names)
		cancel()
		synctest.Wait()
	})
}

// Guards against a fleet that starts at once and in which every daemon follows the store by
// itself until its zone has a reader: each registration of a daemon then ends a call of every
// other one.
func TestStartingZoneMakesFewStoreCalls(t *testing.T) {
	const daemons = 50
	runStart(t, daemons, func(z *zone, names []ident.Daemon) {
		for i := range daemons {
			time.Sleep(10 * time.Millisecond)
			z.store.put(string(names[i]), "registered", false)
			z.elect(names[:i+1]...)
		}
		time.Sleep(4 * time.Second)
		calls := 0
		for _, name := range names {
			calls += z.store.callCount(name)
		}
		// One read for each daemon, and the reader's heartbeats.
		if most := daemons + 10; calls > most {
			t.Errorf("%d calls to the store, want at most %d", calls, most)
		}
		z.store.put("k", "new", false)
		time.Sleep(time.Second)
		z.expectValue(t, "k", "new")
	})
}

// Guards against followers that call the store for seconds because they have elected a reader
// before it has elected itself.
func TestFollowersWaitForReaderThatIsElectedLater(t *testing.T) {
	runStart(t, 5, func(z *zone, names []ident.Daemon) {
		reader := electedReader(names)
		z.electExcept(reader, names...)
		time.Sleep(300 * time.Millisecond)
		z.elect(names...)
		time.Sleep(3 * time.Second)
		for _, name := range names {
			if calls := z.store.callCount(name); calls > 1 && name != reader {
				t.Errorf("%s made %d calls to the store, want 1", name, calls)
			}
		}
	})
}

// Guards against a daemon that reads no changes because its zone has too few daemons for a
// reader.
func TestZoneWithoutReaderFollowsTheStoreSoonAfterItsStart(t *testing.T) {
	runStart(t, 2, func(z *zone, names []ident.Daemon) {
		z.elect(names...)
		z.store.put("k", "new", false)
		time.Sleep(1100 * time.Millisecond)
		z.expectValue(t, "k", "new")
	})
}

// Guards against followers that all read whole tables from their reader, and many of them from
// the store as the reader is too slow, whenever the store drops its history.
func TestLostHistoryMakesOnlyTheReaderReadAgain(t *testing.T) {
	runZone(t, func(z *zone, reader ident.Daemon) {
		z.store.put("kept", "old", false)
		z.store.put("dropped", "old", false)
		time.Sleep(time.Second)
		z.fullReads = 0
		before := map[ident.Daemon]int{}
		for name := range z.feeds {
			before[name] = z.store.callCount(name)
		}
		z.store.loseHistory()
		z.store.put("kept", "new", false)
		z.store.put("dropped", "", true)
		z.store.loseHistory()
		time.Sleep(2 * time.Second)
		z.expectValue(t, "kept", "new")
		z.expectValue(t, "dropped", "")
		if z.fullReads != 0 {
			t.Errorf("followers read %d whole tables", z.fullReads)
		}
		for name := range z.feeds {
			if calls := z.store.callCount(name) - before[name]; calls > 0 && name != reader {
				t.Errorf("%s made %d calls to the store", name, calls)
			}
		}
	})
}

// Guards against an outage of the store in which each daemon of a large fleet goes on calling
// it, and after which each of them reads all tables again from the store.
func TestFollowersLeaveAnOutageToTheirReader(t *testing.T) {
	// The calls that find out that the store has failed and that it is back, and one each three
	// seconds of the nine between them.
	const most = 2 + 9/3
	for _, hanging := range []bool{false, true} {
		runZone(t, func(z *zone, reader ident.Daemon) {
			before := map[ident.Daemon]int{}
			for name := range z.feeds {
				before[name] = z.store.callCount(name)
				z.store.setFaults(name, !hanging, hanging)
			}
			time.Sleep(6 * time.Second)
			z.fullReads = 0
			for name := range z.feeds {
				z.store.setFaults(name, false, false)
			}
			z.store.put("k", "new", false)
			time.Sleep(3 * time.Second)
			z.expectValue(t, "k", "new")
			for name := range z.feeds {
				if calls := z.store.callCount(name) - before[name]; calls > most && name != reader {
					t.Errorf("hanging %v: %s made %d calls to the store", hanging, name, calls)
				}
			}
			if z.fullReads > 0 {
				t.Errorf("hanging %v: followers read %d whole tables", hanging, z.fullReads)
			}
		})
	}
}

// Guards against a daemon that starts alone and puts a change in force too late that was written
// right after it had read the tables.
func TestLoneDaemonAppliesChangesWithinTwoSecondsOfItsStart(t *testing.T) {
	runStart(t, 1, func(z *zone, _ []ident.Daemon) {
		time.Sleep(time.Millisecond)
		z.store.put("k", "new", false)
		time.Sleep(1700 * time.Millisecond)
		z.expectValue(t, "k", "new")
	})
}

// Guards against an outage in which each table of a daemon calls the store, or makes the others
// call it sooner.
func TestOutageIsProbedByOneTableOfADaemon(t *testing.T) {
	const most = 2 + 9/3
	runZone(t, func(z *zone, reader ident.Daemon) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		z.followSecondTable(ctx)
		time.Sleep(time.Second)
		before := map[ident.Daemon]int{}
		for name := range z.feeds {
			before[name] = z.store.callCount(name)
			z.store.setFaults(name, true, false)
		}
		time.Sleep(9 * time.Second)
		for name := range z.feeds {
			if calls := z.store.callCount(name) - before[name]; calls > most && name != reader {
				t.Errorf("%s made %d calls to the store", name, calls)
			}
		}
	})
}
