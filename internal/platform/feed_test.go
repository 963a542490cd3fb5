package platform_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/internal/platform"
)

// fakeFeed is a table in memory whose calls can be made to fail.
type fakeFeed struct {
	mu   sync.Mutex
	rows map[string]platform.FeedRow
	// era and revision are the store's present ones.
	era, revision uint64
	forgotten     uint64
	changed       chan struct{}
	// fail, where set, is the error of each call; silent makes calls hang.
	fail   error
	silent bool
	calls  int
}

func newFakeFeed() *fakeFeed {
	return &fakeFeed{rows: map[string]platform.FeedRow{}, revision: 1, changed: make(chan struct{})}
}

func (f *fakeFeed) put(key, value string, deleted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	f.rows[key] = platform.FeedRow{Key: key, Value: []byte(value), Revision: f.at(), Deleted: deleted}
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeFeed) at() platform.Revision { return platform.NewRevision(f.era, f.revision) }

// forget drops the history up to now.
func (f *fakeFeed) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	f.forgotten = f.revision
	for key, row := range f.rows {
		if row.Deleted {
			delete(f.rows, key)
		}
	}
}

func (f *fakeFeed) set(fail error, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fail, f.silent = fail, silent
}

func (f *fakeFeed) begin(ctx context.Context) error {
	f.mu.Lock()
	f.calls++
	fail, silent := f.fail, f.silent
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return fail
}

// ReadTable implements platform.Feed.
func (f *fakeFeed) ReadTable(ctx context.Context, _ string) (rows []platform.FeedRow, revision platform.Revision, err error) {
	if err := f.begin(ctx); err != nil {
		return nil, platform.Revision{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, row := range f.rows {
		if !row.Deleted {
			rows = append(rows, row)
		}
	}
	return rows, f.at(), nil
}

// Changes implements platform.Feed.
func (f *fakeFeed) Changes(ctx context.Context, _ string, after platform.Revision, wait time.Duration) (rows []platform.FeedRow, revision platform.Revision, err error) {
	if err := f.begin(ctx); err != nil {
		return nil, platform.Revision{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		f.mu.Lock()
		if after.Number() < f.forgotten || after.Number() > f.revision {
			f.mu.Unlock()
			return nil, platform.Revision{}, platform.ErrHistoryLost
		}
		for _, row := range f.rows {
			if row.Revision.Number() > after.Number() {
				rows = append(rows, row)
			}
		}
		revision, changed := f.at(), f.changed
		f.mu.Unlock()
		if len(rows) > 0 {
			return rows, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, platform.Revision{}, ctx.Err()
		case <-timer.C:
			return nil, revision, nil
		case <-changed:
		}
	}
}

// copyOf is a subscriber that keeps what it is told.
type copyOf struct {
	mu   sync.Mutex
	rows map[string]string
	away bool
	// notBefore is what it was told last of the store's return.
	notBefore time.Time
	restores  []platform.Restore
}

// Replace implements platform.Subscriber.
func (c *copyOf) Replace(rows []platform.FeedRow, _ platform.Revision) {
	c.mu.Lock()
	c.rows = map[string]string{}
	c.mu.Unlock()
	for _, row := range rows {
		c.Change(row)
	}
}

// Change implements platform.Subscriber.
func (c *copyOf) Change(row platform.FeedRow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if row.Deleted {
		delete(c.rows, row.Key)
		return
	}
	c.rows[row.Key] = string(row.Value)
}

// Away implements platform.Subscriber.
func (c *copyOf) Away() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.away = true
}

// Back implements platform.Subscriber.
func (c *copyOf) Back(notBefore time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.away, c.notBefore = false, notBefore
}

// Restored implements platform.Subscriber.
func (c *copyOf) Restored(r platform.Restore) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restores = append(c.restores, r)
}

func (c *copyOf) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.rows, c.away)
}

// longWait is the wait of followers that leave it to another one to find the store away.
const longWait = 25 * time.Second

func follow(feed platform.Feed, wait time.Duration, group *platform.FeedGroup) (*copyOf, context.CancelFunc) {
	c := &copyOf{}
	ctx, cancel := context.WithCancel(context.Background())
	f := platform.NewFollower(platform.FollowerConfig{
		Feed: feed, Table: "t", Wait: wait, Group: group, Beats: wait < longWait, Logger: slog.New(slog.DiscardHandler),
	}, c)
	go f.Run(ctx)
	return c, cancel
}

// Rows change, vanish while the history is dropped, and the store refuses in between.
// Three seconds after the last of that, the copy is the table.
func TestAFollowerKeepsUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 30).Draw(rt, "steps")
		waits := rapid.SliceOfN(rapid.IntRange(0, 3000), len(steps), len(steps)).Draw(rt, "waits in ms")
		synctest.Test(t, func(t *testing.T) {
			feed := newFakeFeed()
			c, cancel := follow(feed, 0, nil)
			defer cancel()
			want := map[string]string{}
			for i, step := range steps {
				key := fmt.Sprint("k", step%3)
				switch step {
				case 0, 1, 2:
					want[key] = fmt.Sprint(i)
					feed.put(key, want[key], false)
				case 3:
					delete(want, key)
					feed.put(key, "", true)
				case 4:
					feed.forget()
				case 5:
					feed.set(errors.New("refused"), false)
				}
				time.Sleep(time.Duration(waits[i]) * time.Millisecond)
				feed.set(nil, false)
			}
			time.Sleep(3 * time.Second)
			if got := c.String(); got != fmt.Sprint(want, false) {
				rt.Fatalf("got %s, want %v", got, want)
			}
			cancel()
			synctest.Wait()
		})
	})
}

// The store goes silent: calls hang, and no error comes. The follower with the short
// wait finds it for the one with the long wait as well; three seconds after the store's
// return both have what changed meanwhile.
func TestASilentStoreIsFoundForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		group := platform.NewFeedGroup()
		short, long := newFakeFeed(), newFakeFeed()
		a, stopA := follow(short, 1800*time.Millisecond, group)
		b, stopB := follow(long, 25*time.Second, group)
		time.Sleep(5 * time.Second)
		for _, feed := range []*fakeFeed{short, long} {
			feed.set(nil, true)
		}
		time.Sleep(4 * time.Second)
		is.Equal(a.String(), "map[] true")
		for _, feed := range []*fakeFeed{short, long} {
			feed.put("k", "new", false)
			feed.set(nil, false)
		}
		time.Sleep(3 * time.Second)
		is.Equal(a.String(), "map[k:new] false")
		is.Equal(b.String(), "map[k:new] false")
		stopA()
		stopB()
		synctest.Wait()
	})
}

// The store goes silent, then refuses, and is back. The follower with the long wait
// began its call in the silence and would wait for an answer that never comes, long
// after the other one follows the store again.
func TestNobodyWaitsOnAConnectionOfTheOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		group := platform.NewFeedGroup()
		short, long := newFakeFeed(), newFakeFeed()
		_, stopA := follow(short, 1800*time.Millisecond, group)
		b, stopB := follow(long, 25*time.Second, group)
		time.Sleep(5 * time.Second)
		for _, feed := range []*fakeFeed{short, long} {
			feed.set(nil, true)
		}
		time.Sleep(2 * time.Second) // the long one's call hangs from here on
		short.set(errors.New("refused"), false)
		time.Sleep(4 * time.Second)
		long.put("k", "new", false)
		short.set(nil, false)
		long.set(nil, false)
		time.Sleep(3 * time.Second)
		is.Equal(b.String(), "map[k:new] false")
		stopA()
		stopB()
		synctest.Wait()
	})
}

// An outage ends and nothing changes for seconds; then a target vanishes from its table.
// A follower with a long wait heard of the store's return only with that change, so that
// the target was taken for one that had lapsed in the outage, and got requests for two
// and a half seconds more. The return has to be told when it happens.
func TestTheReturnIsToldWhenItHappens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		group := platform.NewFeedGroup()
		short, long := newFakeFeed(), newFakeFeed()
		_, stopA := follow(short, 1800*time.Millisecond, group)
		b, stopB := follow(long, 25*time.Second, group)
		time.Sleep(5 * time.Second)
		for _, feed := range []*fakeFeed{short, long} {
			feed.set(errors.New("refused"), false)
		}
		time.Sleep(30 * time.Second)
		is.Equal(b.String(), "map[] true")
		for _, feed := range []*fakeFeed{short, long} {
			feed.set(nil, false)
		}
		time.Sleep(3 * time.Second)
		is.Equal(b.String(), "map[] false")
		stopA()
		stopB()
		synctest.Wait()
	})
}

// Each call is paid for: a follower with a long wait makes few, also where changes come
// in a row.
func TestFollowersMakeFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		feed := newFakeFeed()
		c, stop := follow(feed, 25*time.Second, nil)
		time.Sleep(50 * time.Second)
		is.True(feed.calls <= 4)
		for i := range 20 {
			feed.put(fmt.Sprint("k", i%10), "v", false)
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Second)
		is.True(feed.calls <= 10)
		is.Equal(len(c.rows), 10)
		stop()
		synctest.Wait()
	})
}

// The store refuses all calls for six seconds. The table that beats is tried until it is
// back; another table's calls would tell nothing more and cost as much, and are made
// every two seconds only. At the store's return both are followed at once.
func TestInAnOutageOneTableIsTried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		group := platform.NewFeedGroup()
		beats, other := newFakeFeed(), newFakeFeed()
		_, stopA := follow(beats, 1800*time.Millisecond, group)
		b, stopB := follow(other, 25*time.Second, group)
		time.Sleep(5 * time.Second)
		refused := errors.New("refused")
		beats.set(refused, false)
		other.set(refused, false)
		other.put("wakes", "its call", false)
		time.Sleep(2 * time.Second) // both have found the store away
		other.mu.Lock()
		before := other.calls
		other.mu.Unlock()
		time.Sleep(6 * time.Second)
		other.mu.Lock()
		made := other.calls - before
		other.mu.Unlock()
		t.Logf("%d calls of the other table", made)
		is.True(made <= 4)
		other.put("k", "new", false)
		other.set(nil, false)
		beats.set(nil, false)
		time.Sleep(1600 * time.Millisecond) // the longest pause between tries, and the call
		is.Equal(b.String(), "map[k:new wakes:its call] false")
		stopA()
		stopB()
		synctest.Wait()
	})
}

// A target that left while the store could not be reached was used for too long after its
// return, since the daemon noticed that late. Whoever follows is told the earliest time at
// which the store may have been back: never after its return, and by the pause between two
// calls before it at most, also where another follower of the group made the last call.
func TestAFollowerIsToldWhenTheStoreMayHaveBeenBack(t *testing.T) {
	const (
		pause = 1500 * time.Millisecond // between two calls, at most
		hangs = 2500 * time.Millisecond // a call that is not answered
	)
	for _, silent := range []bool{false, true} {
		for range 20 {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				feed := newFakeFeed()
				group := platform.NewFeedGroup()
				_, endBeats := follow(feed, 0, group)
				defer endBeats()
				c, end := follow(feed, longWait, group)
				defer end()
				time.Sleep(time.Second)
				fail := errors.New("refused")
				if silent {
					fail = nil
				}
				feed.set(fail, silent)
				feed.put("k1", "v", false)
				time.Sleep(9 * time.Second)
				feed.set(nil, false)
				back := time.Now()
				time.Sleep(2 * (pause + hangs))
				c.mu.Lock()
				defer c.mu.Unlock()
				is.True(!c.away)
				is.True(!c.notBefore.After(back))
				is.True(back.Sub(c.notBefore) <= pause+hangs)
			})
		}
	}
}
