package relay_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/internal/ident"
)

// Five daemons of one zone learn of each change, and only the reader calls the store.
func TestOnlyReaderCallsStore(t *testing.T) {
	runZone(t, func(z *zone, reader ident.Daemon) {
		before := 0
		for name := range z.feeds {
			before += z.store.callCount(name)
		}
		readerBefore := z.store.callCount(reader)
		for i := range 10 {
			z.store.put("k", string(rune('a'+i)), false)
			time.Sleep(time.Second)
			z.expectValue(t, "k", string(rune('a'+i)))
		}
		z.store.put("k", "", true)
		time.Sleep(time.Second)
		z.expectValue(t, "k", "")
		after := 0
		for name := range z.feeds {
			after += z.store.callCount(name)
		}
		if after-before != z.store.callCount(reader)-readerBefore {
			t.Errorf("%d store calls, %d of them by the reader", after-before, z.store.callCount(reader)-readerBefore)
		}
	})
}

// The reader freezes, is killed or is cut off from its peers, and a configuration is written
// at that moment. Its followers can reach the store, but would keep the old configuration
// for as long as they wait for the reader; they have to detect the failure within two seconds.
func TestFrozenReaderDoesNotDelayFollowers(t *testing.T) {
	runZone(t, func(z *zone, reader ident.Daemon) {
		z.freeze(reader, true)
		z.store.put("k", "new", false)
		time.Sleep(1900 * time.Millisecond)
		z.expectValue(t, "k", "new", reader)
		z.freeze(reader, false)
		z.store.put("k", "newer", false)
		time.Sleep(1900 * time.Millisecond)
		z.expectValue(t, "k", "newer")
	})
}

// The store refuses the reader's calls or leaves them unanswered while it serves the other
// daemons. The reader must not hold its followers at the state it had before.
func TestReaderWithoutStoreDoesNotDelayFollowers(t *testing.T) {
	for _, hanging := range []bool{false, true} {
		runZone(t, func(z *zone, reader ident.Daemon) {
			z.store.setFaults(reader, !hanging, hanging)
			z.store.put("k", "new", false)
			time.Sleep(2 * time.Second)
			z.expectValue(t, "k", "new", reader)
			z.store.setFaults(reader, false, false)
			time.Sleep(5 * time.Second)
			z.store.put("k", "newer", false)
			time.Sleep(2 * time.Second)
			z.expectValue(t, "k", "newer")
		})
	}
}

// The reader leaves and another daemon takes over: it serves at once what it received as a
// follower, and no daemon returns to an older row.
func TestReaderFailover(t *testing.T) {
	runZone(t, func(z *zone, reader ident.Daemon) {
		z.store.put("k", "old", false)
		time.Sleep(time.Second)
		remaining := slices.DeleteFunc(slices.Clone(fiveDaemons), func(n ident.Daemon) bool { return n == reader })
		z.freeze(reader, true)
		z.elect(remaining...)
		z.store.put("k", "new", false)
		time.Sleep(2 * time.Second)
		z.expectValue(t, "k", "new", reader)
		before := 0
		for _, name := range remaining {
			before += z.store.callCount(name)
		}
		time.Sleep(8 * time.Second)
		after := 0
		for _, name := range remaining {
			after += z.store.callCount(name)
		}
		is.New(t).True(after-before < 2*11) // one daemon reads, every 0.8 s
	})
}

// After a restore, readers of two eras may exist for a moment. All daemons must converge on
// the new era, and none may return to the older one.
func TestZoneFollowsStoreRestore(t *testing.T) {
	runZone(t, func(z *zone, reader ident.Daemon) {
		z.store.put("k", "kept", false)
		time.Sleep(time.Second)
		backup, backupRevision := z.store.backup()
		z.store.put("k", "lost", false)
		z.store.put("l", "lost", false)
		time.Sleep(time.Second)
		z.expectValue(t, "l", "lost")
		z.store.setFaults(reader, false, true) // the reader is the last to notice the restore
		z.store.restore(backup, backupRevision)
		for range 5 {
			z.store.put("m", "new", false)
		}
		time.Sleep(1900 * time.Millisecond)
		for key, want := range map[string]string{"k": "kept", "l": "", "m": "new"} {
			z.expectValue(t, key, want, reader)
		}
		z.store.setFaults(reader, false, false)
		time.Sleep(2 * time.Second)
		z.expectValue(t, "l", "")
		z.expectValue(t, "m", "new")
	})
}

// Under any sequence of store faults, peer faults and restores from a backup, no daemon
// returns to an older row, and each has the last value within four seconds of the last fault.
func TestRandomFaultSequences(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 6), 1, 12).Draw(r, "steps")
		daemons := rapid.SliceOfN(rapid.SampledFrom(fiveDaemons), len(steps), len(steps)).Draw(r, "who")
		pauses := rapid.SliceOfN(rapid.IntRange(10, 4000), len(steps), len(steps)).Draw(r, "pauses")
		runZone(t, func(z *zone, _ ident.Daemon) {
			backup, backupRevision := z.store.backup()
			for i, step := range steps {
				switch step {
				case 0:
					z.store.setFaults(daemons[i], true, false)
				case 1:
					z.store.setFaults(daemons[i], false, true)
				case 2:
					z.store.setFaults(daemons[i], false, false)
				case 3:
					z.freeze(daemons[i], true)
				case 4:
					z.freeze(daemons[i], false)
				case 5:
					z.elect(fiveDaemons[:rapid.IntRange(2, 5).Draw(r, "live")]...)
				case 6:
					z.store.restore(backup, backupRevision)
				}
				if i%2 == 0 {
					backup, backupRevision = z.store.backup()
				}
				z.store.put("k", string(rune('a'+i)), i%4 == 3)
				time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
			}
			for _, name := range fiveDaemons {
				z.store.setFaults(name, false, false)
				z.freeze(name, false)
			}
			z.store.put("k", "end", false)
			time.Sleep(4 * time.Second)
			if slices.Contains(steps, 6) {
				time.Sleep(followWait) // a call in progress may have started at a revision that is issued again
			}
			z.expectValue(t, "k", "end")
		})
	})
}

// A daemon becomes the reader while its own calls to the store go unanswered. The rows that
// it received as a follower are stale by then and must not delay the others.
func TestNewReaderWithoutStoreDoesNotDelayFollowers(t *testing.T) {
	for _, cut := range fiveDaemons {
		runZone(t, func(z *zone, reader ident.Daemon) {
			if cut == reader {
				return
			}
			z.store.setFaults(cut, false, true)
			time.Sleep(time.Second)
			z.freeze(reader, true)
			z.elect(slices.DeleteFunc(slices.Clone(fiveDaemons), func(n ident.Daemon) bool { return n == reader })...)
			time.Sleep(1100 * time.Millisecond) // the new reader takes effect by now
			z.store.put("k", "new", false)
			time.Sleep(700 * time.Millisecond)
			z.expectValue(t, "k", "new", reader, cut)
			z.store.setFaults(cut, false, false)
		})
	}
}

// Elections repeat every half second, as during a rolling restart, and the reader is gone for
// good. The others have to agree on the next reader during the churn instead of each calling
// the store until it ends.
func TestReaderIsReplacedDuringMembershipChurn(t *testing.T) {
	runZone(t, func(z *zone, reader ident.Daemon) {
		z.freeze(reader, true)
		remaining := slices.DeleteFunc(slices.Clone(fiveDaemons), func(n ident.Daemon) bool { return n == reader })
		for range 20 {
			z.elect(remaining...)
			time.Sleep(500 * time.Millisecond)
		}
		before := 0
		for _, name := range remaining {
			before += z.store.callCount(name)
		}
		for i := range 10 {
			z.elect(remaining...)
			z.store.put("k", fmt.Sprint(i), false)
			time.Sleep(500 * time.Millisecond)
		}
		after := 0
		for _, name := range remaining {
			after += z.store.callCount(name)
		}
		t.Logf("%d calls", after-before)
		is.New(t).True(after-before <= 20) // one daemon reads, and each change costs one call
	})
}
