package relay_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/relay"
)

var errRefused = errors.New("refused")

// fakeStore is one table in memory whose calls can be refused or left hanging for
// single daemons.
type fakeStore struct {
	mu   sync.Mutex
	rows map[string]platform.FeedRow
	// era and revision are the store's present ones.
	era, revision uint64
	changed       chan struct{}
	refused       map[ident.Daemon]bool
	silent        map[ident.Daemon]bool
	calls         map[ident.Daemon]int
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		rows: map[string]platform.FeedRow{}, revision: 1, changed: make(chan struct{}),
		refused: map[ident.Daemon]bool{}, silent: map[ident.Daemon]bool{}, calls: map[ident.Daemon]int{},
	}
}

func (s *fakeStore) put(key, value string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.rows[key] = platform.FeedRow{Key: key, Value: []byte(value), Revision: platform.NewRevision(s.era, s.revision), Deleted: deleted}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) set(who ident.Daemon, refused, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[who], s.silent[who] = refused, silent
	close(s.changed)
	s.changed = make(chan struct{})
}

// copy returns the store's present state, to come back from.
func (s *fakeStore) copy() (rows map[string]platform.FeedRow, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rows), s.revision
}

// restore comes back from a copy.
func (s *fakeStore) restore(rows map[string]platform.FeedRow, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.rows, s.revision = maps.Clone(rows), revision
	for key, row := range s.rows {
		row.Revision = platform.NewRevision(s.era, row.Revision.Number())
		s.rows[key] = row
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) called(who ident.Daemon) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[who]
}

// view is the store as one daemon reaches it.
type view struct {
	*fakeStore
	who ident.Daemon
}

// ReadTable implements platform.Feed.
func (v view) ReadTable(ctx context.Context, _ string) ([]platform.FeedRow, platform.Revision, error) {
	if err := v.begin(ctx); err != nil {
		return nil, platform.Revision{}, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	var rows []platform.FeedRow
	for _, row := range v.rows {
		if !row.Deleted {
			rows = append(rows, row)
		}
	}
	return rows, v.at(), nil
}

// at returns the store's present revision. The caller holds the lock.
func (s *fakeStore) at() platform.Revision { return platform.NewRevision(s.era, s.revision) }

func (v view) begin(ctx context.Context) error {
	v.mu.Lock()
	v.calls[v.who]++
	refused, silent := v.refused[v.who], v.silent[v.who]
	v.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	if refused {
		return errRefused
	}
	return nil
}

// Changes implements platform.Feed.
func (v view) Changes(ctx context.Context, _ string, after platform.Revision, wait time.Duration) ([]platform.FeedRow, platform.Revision, error) {
	if err := v.begin(ctx); err != nil {
		return nil, platform.Revision{}, err
	}
	over := time.After(wait)
	for {
		v.mu.Lock()
		var rows []platform.FeedRow
		for _, row := range v.rows {
			if row.Revision.Number() > after.Number() {
				rows = append(rows, row)
			}
		}
		revision, changed, refused, silent := v.at(), v.changed, v.refused[v.who], v.silent[v.who]
		v.mu.Unlock()
		switch {
		case refused:
			return nil, platform.Revision{}, errRefused
		case silent:
			<-ctx.Done()
			return nil, platform.Revision{}, ctx.Err()
		case revision.Number() < after.Number():
			return nil, platform.Revision{}, platform.ErrHistoryLost
		case len(rows) > 0:
			return rows, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, platform.Revision{}, ctx.Err()
		case <-over:
			return nil, revision, nil
		case <-changed:
		}
	}
}

// zone is a set of daemons that follow one table.
type zone struct {
	store   *fakeStore
	feeds   map[ident.Daemon]*relay.Feed
	daemons map[ident.Daemon]*daemon
	mu      sync.Mutex
	// frozen daemons answer nobody.
	frozen map[ident.Daemon]bool
}

// daemon keeps what a daemon of the zone knows of the table.
type daemon struct {
	mu   sync.Mutex
	rows map[string]string
	// last is the highest revision of a row, back tells that an older one came after.
	last map[string]platform.Revision
	back bool
}

// Replace implements platform.Subscriber.
func (d *daemon) Replace(rows []platform.FeedRow, _ platform.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.rows)
	for _, row := range rows {
		d.take(row)
	}
}

// Change implements platform.Subscriber.
func (d *daemon) Change(row platform.FeedRow) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.take(row)
}

// Away implements platform.Subscriber.
func (d *daemon) Away() {}

// Back implements platform.Subscriber.
func (d *daemon) Back(time.Time) {}

// Restored implements platform.Subscriber.
func (d *daemon) Restored(platform.Restore) {}

func (d *daemon) take(row platform.FeedRow) {
	d.back = d.back || row.Revision.Before(d.last[row.Key])
	d.last[row.Key] = row.Revision
	if row.Deleted {
		delete(d.rows, row.Key)
		return
	}
	d.rows[row.Key] = string(row.Value)
}

func (d *daemon) has(key string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rows[key]
}

// Follow implements relay.Peers.
func (z *zone) Follow(ctx context.Context, reader ident.Daemon, q platform.FeedQuery) (platform.FeedAnswer, error) {
	z.mu.Lock()
	frozen, feed := z.frozen[reader], z.feeds[reader]
	z.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return platform.FeedAnswer{}, ctx.Err()
	}
	return feed.Answer(ctx, q)
}

func (z *zone) freeze(who ident.Daemon, frozen bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.frozen[who] = frozen
}

const beatTable = "table"

// followWait is the wait of the followers' calls.
const followWait = 2800 * time.Millisecond

// newZone starts daemons that know each other and follow the table until ctx ends.
func newZone(ctx context.Context, names ...ident.Daemon) *zone {
	z := &zone{
		store: newFakeStore(), feeds: map[ident.Daemon]*relay.Feed{}, daemons: map[ident.Daemon]*daemon{},
		frozen: map[ident.Daemon]bool{},
	}
	for _, name := range names {
		z.feeds[name] = relay.New(relay.Config{
			Self: name, Zone: "z", Store: view{z.store, name}, Peers: z, Beat: beatTable, Logger: slog.New(slog.DiscardHandler),
		})
		z.daemons[name] = &daemon{rows: map[string]string{}, last: map[string]platform.Revision{}}
	}
	z.elect(names...)
	for _, name := range names {
		follower := platform.NewFollower(platform.FollowerConfig{
			Feed: z.feeds[name], Table: beatTable, Wait: followWait, Gather: time.Millisecond,
			Group: platform.NewFeedGroup(), Beats: true, Logger: slog.New(slog.DiscardHandler),
		}, z.daemons[name])
		go follower.Run(ctx)
	}
	return z
}

// elect tells the live daemons to each other.
func (z *zone) elect(live ...ident.Daemon) {
	for _, name := range live {
		var others []membership.Member
		for _, other := range live {
			if other != name {
				others = append(others, membership.Member{ID: other, Zone: "z"})
			}
		}
		z.feeds[name].Elect(others)
	}
}

// reader is the daemon that calls the store most in the next seconds.
func (z *zone) reader() ident.Daemon {
	before := map[ident.Daemon]int{}
	for name := range z.feeds {
		before[name] = z.store.called(name)
	}
	time.Sleep(5 * time.Second)
	return slices.MaxFunc(slices.Collect(maps.Keys(z.feeds)), func(a, b ident.Daemon) int {
		return (z.store.called(a) - before[a]) - (z.store.called(b) - before[b])
	})
}

// everywhere tells whether all daemons but some have a value.
func (z *zone) everywhere(t *testing.T, key, value string, but ...ident.Daemon) {
	t.Helper()
	for name, d := range z.daemons {
		if got := d.has(key); got != value && !slices.Contains(but, name) {
			t.Errorf("%s has %q of %s, want %q", name, got, key, value)
		}
	}
}

var five = []ident.Daemon{"d1", "d2", "d3", "d4", "d5"}

// play runs a test of a zone of five over simulated time.
func play(t *testing.T, f func(z *zone, reader ident.Daemon)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		z := newZone(ctx, five...)
		f(z, z.reader())
		for name, d := range z.daemons {
			d.mu.Lock()
			if d.back {
				t.Errorf("a row went back at %s", name)
			}
			d.mu.Unlock()
		}
		cancel()
		synctest.Wait()
	})
}

// Five daemons of one zone learn of each change, at the price of one.
func TestOneReadsForAll(t *testing.T) {
	play(t, func(z *zone, reader ident.Daemon) {
		before := 0
		for name := range z.feeds {
			before += z.store.called(name)
		}
		own := z.store.called(reader)
		for i := range 10 {
			z.store.put("k", string(rune('a'+i)), false)
			time.Sleep(time.Second)
			z.everywhere(t, "k", string(rune('a'+i)))
		}
		z.store.put("k", "", true)
		time.Sleep(time.Second)
		z.everywhere(t, "k", "")
		after := 0
		for name := range z.feeds {
			after += z.store.called(name)
		}
		if after-before != z.store.called(reader)-own {
			t.Errorf("%d calls, of which %d are the reader's", after-before, z.store.called(reader)-own)
		}
	})
}

// The reader is frozen, killed or cut off from its peers, and a configuration is
// written at that moment. Its followers would stay at the old one for as long as they
// wait for it, while they reach the store themselves: they have to find out within two
// seconds.
func TestAFrozenReaderHoldsNobodyUp(t *testing.T) {
	play(t, func(z *zone, reader ident.Daemon) {
		z.freeze(reader, true)
		z.store.put("k", "new", false)
		time.Sleep(1900 * time.Millisecond)
		z.everywhere(t, "k", "new", reader)
		z.freeze(reader, false)
		z.store.put("k", "newer", false)
		time.Sleep(1900 * time.Millisecond)
		z.everywhere(t, "k", "newer")
	})
}

// The store turns the reader away and serves the others, or the reader is cut off from
// it and its calls hang. Its followers must not be held to what it knew before.
func TestAReaderWithoutTheStoreHoldsNobodyUp(t *testing.T) {
	for _, silent := range []bool{false, true} {
		play(t, func(z *zone, reader ident.Daemon) {
			z.store.set(reader, !silent, silent)
			z.store.put("k", "new", false)
			time.Sleep(2 * time.Second)
			z.everywhere(t, "k", "new", reader)
			z.store.set(reader, false, false)
			time.Sleep(5 * time.Second)
			z.store.put("k", "newer", false)
			time.Sleep(2 * time.Second)
			z.everywhere(t, "k", "newer")
		})
	}
}

// The reader leaves, and another one reads from then on: it answers at once with what
// it learned as a follower, and nobody goes back.
func TestAnotherReaderTakesOver(t *testing.T) {
	play(t, func(z *zone, reader ident.Daemon) {
		z.store.put("k", "old", false)
		time.Sleep(time.Second)
		rest := slices.DeleteFunc(slices.Clone(five), func(n ident.Daemon) bool { return n == reader })
		z.freeze(reader, true)
		z.elect(rest...)
		z.store.put("k", "new", false)
		time.Sleep(2 * time.Second)
		z.everywhere(t, "k", "new", reader)
		before := 0
		for _, name := range rest {
			before += z.store.called(name)
		}
		time.Sleep(8 * time.Second)
		after := 0
		for _, name := range rest {
			after += z.store.called(name)
		}
		is.New(t).True(after-before < 2*11) // one reads, every 0.8 s
	})
}

// Readers that stand in two eras for a moment must agree, and none go back to the older.
func TestAZoneFollowsTheStoreBackToACopy(t *testing.T) {
	play(t, func(z *zone, reader ident.Daemon) {
		z.store.put("k", "kept", false)
		time.Sleep(time.Second)
		rows, revision := z.store.copy()
		z.store.put("k", "lost", false)
		z.store.put("l", "lost", false)
		time.Sleep(time.Second)
		z.everywhere(t, "l", "lost")
		z.store.set(reader, false, true) // it learns of the return last
		z.store.restore(rows, revision)
		for range 5 {
			z.store.put("m", "new", false)
		}
		time.Sleep(1900 * time.Millisecond)
		for key, want := range map[string]string{"k": "kept", "l": "", "m": "new"} {
			z.everywhere(t, key, want, reader)
		}
		z.store.set(reader, false, false)
		time.Sleep(2 * time.Second)
		z.everywhere(t, "l", "")
		z.everywhere(t, "m", "new")
	})
}

// Under any series of faults of the way to the store and of peers, and of returns of the
// store from copies, no daemon goes back, and each has the last value two seconds after the
// last fault has ended.
func TestFaultsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 6), 1, 12).Draw(r, "steps")
		who := rapid.SliceOfN(rapid.SampledFrom(five), len(steps), len(steps)).Draw(r, "who")
		pauses := rapid.SliceOfN(rapid.IntRange(10, 4000), len(steps), len(steps)).Draw(r, "pauses")
		play(t, func(z *zone, _ ident.Daemon) {
			rows, revision := z.store.copy()
			for i, step := range steps {
				switch step {
				case 0:
					z.store.set(who[i], true, false)
				case 1:
					z.store.set(who[i], false, true)
				case 2:
					z.store.set(who[i], false, false)
				case 3:
					z.freeze(who[i], true)
				case 4:
					z.freeze(who[i], false)
				case 5:
					z.elect(five[:rapid.IntRange(2, 5).Draw(r, "live")]...)
				case 6:
					z.store.restore(rows, revision)
				}
				if i%2 == 0 {
					rows, revision = z.store.copy()
				}
				z.store.put("k", string(rune('a'+i)), i%4 == 3)
				time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
			}
			for _, name := range five {
				z.store.set(name, false, false)
				z.freeze(name, false)
			}
			z.store.put("k", "end", false)
			time.Sleep(4 * time.Second)
			if slices.Contains(steps, 6) {
				time.Sleep(followWait) // of a call that began with a version which is given out again
			}
			z.everywhere(t, "k", "end")
		})
	})
}

// A daemon becomes the zone's reader while its own way to the store is silent. What it
// heard as a follower is old by then, and must not hold the others up.
func TestANewReaderThatNeverReachedTheStoreHoldsNobodyUp(t *testing.T) {
	for _, cut := range five {
		play(t, func(z *zone, reader ident.Daemon) {
			if cut == reader {
				return
			}
			z.store.set(cut, false, true)
			time.Sleep(time.Second)
			z.freeze(reader, true)
			z.elect(slices.DeleteFunc(slices.Clone(five), func(n ident.Daemon) bool { return n == reader })...)
			time.Sleep(1100 * time.Millisecond) // the new reader is asked from now on
			z.store.put("k", "new", false)
			time.Sleep(700 * time.Millisecond)
			z.everywhere(t, "k", "new", reader, cut)
			z.store.set(cut, false, false)
		})
	}
}

// Members come and go every half second, as while daemons are restarted in turn, and the
// reader is gone for good. The others agree on the next one all the same, and do not each
// ask the store by themselves until all is quiet.
func TestAReaderIsReplacedWhileMembersComeAndGo(t *testing.T) {
	play(t, func(z *zone, reader ident.Daemon) {
		z.freeze(reader, true)
		rest := slices.DeleteFunc(slices.Clone(five), func(n ident.Daemon) bool { return n == reader })
		for range 20 {
			z.elect(rest...)
			time.Sleep(500 * time.Millisecond)
		}
		before := 0
		for _, name := range rest {
			before += z.store.called(name)
		}
		for i := range 10 {
			z.elect(rest...)
			z.store.put("k", fmt.Sprint(i), false)
			time.Sleep(500 * time.Millisecond)
		}
		after := 0
		for _, name := range rest {
			after += z.store.called(name)
		}
		t.Logf("%d calls", after-before)
		is.New(t).True(after-before <= 20) // one reads, and each change is one call
	})
}
