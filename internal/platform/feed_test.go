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

// fakeFeed is an in-memory table whose calls can be made to fail.
type fakeFeed struct {
	mu   sync.Mutex
	rows map[string]platform.FeedRow
	// era and revision are the store's current ones.
	era, revision uint64
	truncatedAt   uint64
	changed       chan struct{}
	// fail, if set, is the error of each call; unresponsive makes calls hang.
	fail         error
	unresponsive bool
	calls        int
}

func newFakeFeed() *fakeFeed {
	return &fakeFeed{rows: map[string]platform.FeedRow{}, revision: 1, changed: make(chan struct{})}
}

func (f *fakeFeed) put(key, value string, deleted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	f.rows[key] = platform.FeedRow{Key: key, Value: []byte(value), Revision: f.currentRevision(), Deleted: deleted}
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeFeed) currentRevision() platform.Revision {
	return platform.NewRevision(f.era, f.revision)
}

// truncateHistory drops the history up to the current revision.
func (f *fakeFeed) truncateHistory() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	f.truncatedAt = f.revision
	for key, row := range f.rows {
		if row.Deleted {
			delete(f.rows, key)
		}
	}
}

func (f *fakeFeed) setFault(fail error, unresponsive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fail, f.unresponsive = fail, unresponsive
}

func (f *fakeFeed) beginCall(ctx context.Context) error {
	f.mu.Lock()
	f.calls++
	fail, unresponsive := f.fail, f.unresponsive
	f.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return ctx.Err()
	}
	return fail
}

// ReadTable implements platform.Feed.
func (f *fakeFeed) ReadTable(ctx context.Context, _ string) (rows []platform.FeedRow, revision platform.Revision, err error) {
	if err := f.beginCall(ctx); err != nil {
		return nil, platform.Revision{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, row := range f.rows {
		if !row.Deleted {
			rows = append(rows, row)
		}
	}
	return rows, f.currentRevision(), nil
}

// Changes implements platform.Feed.
func (f *fakeFeed) Changes(ctx context.Context, _ string, after platform.Revision, wait time.Duration) (rows []platform.FeedRow, revision platform.Revision, err error) {
	if err := f.beginCall(ctx); err != nil {
		return nil, platform.Revision{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		f.mu.Lock()
		if after.Number() < f.truncatedAt || after.Number() > f.revision {
			f.mu.Unlock()
			return nil, platform.Revision{}, platform.ErrHistoryLost
		}
		for _, row := range f.rows {
			if row.Revision.Number() > after.Number() {
				rows = append(rows, row)
			}
		}
		revision, changed := f.currentRevision(), f.changed
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

func (f *fakeFeed) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// recordingSubscriber is a subscriber that records what it receives.
type recordingSubscriber struct {
	mu          sync.Mutex
	rows        map[string]string
	unreachable bool
	// notBefore is the argument of the last call of StoreReachable.
	notBefore time.Time
	restores  []platform.Restore
}

// Replace implements platform.Subscriber.
func (s *recordingSubscriber) Replace(rows []platform.FeedRow, _ platform.Revision) {
	s.mu.Lock()
	s.rows = map[string]string{}
	s.mu.Unlock()
	for _, row := range rows {
		s.change(row)
	}
}

// Change implements platform.Subscriber.
func (s *recordingSubscriber) Change(rows []platform.FeedRow) {
	for _, row := range rows {
		s.change(row)
	}
}

func (s *recordingSubscriber) change(row platform.FeedRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if row.Deleted {
		delete(s.rows, row.Key)
		return
	}
	s.rows[row.Key] = string(row.Value)
}

// StoreUnreachable implements platform.Subscriber.
func (s *recordingSubscriber) StoreUnreachable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = true
}

// StoreReachable implements platform.Subscriber.
func (s *recordingSubscriber) StoreReachable(notBefore time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable, s.notBefore = false, notBefore
}

// StoreRestored implements platform.Subscriber.
func (s *recordingSubscriber) StoreRestored(r platform.Restore) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restores = append(s.restores, r)
}

func (s *recordingSubscriber) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprint(s.rows, s.unreachable)
}

// longWait is the wait of followers that rely on another one to detect outages.
const longWait = 25 * time.Second

func follow(feed platform.Feed, wait time.Duration, group *platform.FeedGroup) (*recordingSubscriber, context.CancelFunc) {
	subscriber := &recordingSubscriber{}
	ctx, cancel := context.WithCancel(context.Background())
	f := platform.NewFollower(platform.FollowerConfig{
		Feed: feed, Table: "t", Wait: wait, Group: group, Heartbeat: wait < longWait, Logger: slog.New(slog.DiscardHandler),
	}, subscriber)
	go f.Run(ctx)
	return subscriber, cancel
}

// followerPair is a group of two followers: one with a short wait, which detects outages, and one
// with a long wait. Each has a feed of its own.
type followerPair struct {
	shortFeed, longFeed *fakeFeed
	short, long         *recordingSubscriber
}

// setFault sets the fault of both feeds.
func (p *followerPair) setFault(err error, hangs bool) {
	p.shortFeed.setFault(err, hangs)
	p.longFeed.setFault(err, hangs)
}

// runFollowerPair runs a test in simulated time on two followers that have read their tables.
func runFollowerPair(t *testing.T, f func(is *is.I, p *followerPair)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := &followerPair{shortFeed: newFakeFeed(), longFeed: newFakeFeed()}
		group := platform.NewFeedGroup()
		var stopShort, stopLong context.CancelFunc
		p.short, stopShort = follow(p.shortFeed, 1800*time.Millisecond, group)
		p.long, stopLong = follow(p.longFeed, longWait, group)
		time.Sleep(5 * time.Second)
		f(is.New(t), p)
		stopShort()
		stopLong()
		synctest.Wait()
	})
}

// Rows are changed and deleted while the history is truncated and the store refuses calls
// in between. Three seconds after the last step, the subscriber must have the same rows as
// the table.
func TestFollowerConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 30).Draw(rt, "steps")
		waits := rapid.SliceOfN(rapid.IntRange(0, 3000), len(steps), len(steps)).Draw(rt, "waits in ms")
		synctest.Test(t, func(t *testing.T) {
			feed := newFakeFeed()
			subscriber, cancel := follow(feed, 0, nil)
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
					feed.truncateHistory()
				case 5:
					feed.setFault(errors.New("refused"), false)
				}
				time.Sleep(time.Duration(waits[i]) * time.Millisecond)
				feed.setFault(nil, false)
			}
			time.Sleep(3 * time.Second)
			if got := subscriber.String(); got != fmt.Sprint(want, false) {
				rt.Fatalf("got %s, want %v", got, want)
			}
			cancel()
			synctest.Wait()
		})
	})
}

// If the store stops responding, calls hang without an error. The follower with the short
// wait must detect it for the one with the long wait as well; three seconds after the
// recovery both must have the changes made during the outage.
func TestUnresponsiveStoreIsDetectedForAllFollowers(t *testing.T) {
	runFollowerPair(t, func(is *is.I, p *followerPair) {
		p.setFault(nil, true)
		time.Sleep(4 * time.Second)
		is.Equal(p.short.String(), "map[] true")
		for _, feed := range []*fakeFeed{p.shortFeed, p.longFeed} {
			feed.put("k", "new", false)
			feed.setFault(nil, false)
		}
		time.Sleep(3 * time.Second)
		is.Equal(p.short.String(), "map[k:new] false")
		is.Equal(p.long.String(), "map[k:new] false")
	})
}

// The store stops responding, then refuses calls, and then recovers. The call of the
// follower with the long wait began while the store did not respond and never gets an
// answer; the follower must not wait for it after the other one has reached the store.
func TestNoFollowerWaitsOnAConnectionOfTheOutage(t *testing.T) {
	runFollowerPair(t, func(is *is.I, p *followerPair) {
		p.setFault(nil, true)
		time.Sleep(2 * time.Second) // the call of the long follower hangs from here on
		p.shortFeed.setFault(errors.New("refused"), false)
		time.Sleep(4 * time.Second)
		p.longFeed.put("k", "new", false)
		p.setFault(nil, false)
		time.Sleep(3 * time.Second)
		is.Equal(p.long.String(), "map[k:new] false")
	})
}

// A follower with a long wait used to learn of the end of an outage only with the next
// change. If that change was the removal of a target, the target was treated as one that
// had expired during the outage, and got requests for another two and a half seconds.
// The recovery must be reported when it happens.
func TestRecoveryIsReportedImmediately(t *testing.T) {
	runFollowerPair(t, func(is *is.I, p *followerPair) {
		p.setFault(errors.New("refused"), false)
		time.Sleep(30 * time.Second)
		is.Equal(p.long.String(), "map[] true")
		p.setFault(nil, false)
		time.Sleep(3 * time.Second)
		is.Equal(p.long.String(), "map[] false")
	})
}

// Calls are charged for: a follower with a long wait must make few of them, even if
// changes come in bursts.
func TestFollowersMakeFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		feed := newFakeFeed()
		subscriber, stop := follow(feed, 25*time.Second, nil)
		time.Sleep(50 * time.Second)
		is.True(feed.calls <= 4)
		for i := range 20 {
			feed.put(fmt.Sprint("k", i%10), "v", false)
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Second)
		is.True(feed.calls <= 10)
		is.Equal(len(subscriber.rows), 10)
		stop()
		synctest.Wait()
	})
}

// While the store refuses all calls for six seconds, only the heartbeat table is retried
// with the normal backoff. Calls for another table would cost as much and reveal nothing
// more, so they are made only every two seconds. When the store recovers, both tables must
// be followed again at once.
func TestOnlyHeartbeatTableIsRetriedDuringOutage(t *testing.T) {
	runFollowerPair(t, func(is *is.I, p *followerPair) {
		other := p.longFeed
		p.setFault(errors.New("refused"), false)
		other.put("wakes", "its call", false)
		time.Sleep(2 * time.Second) // both have found the store unreachable
		before := other.callCount()
		time.Sleep(6 * time.Second)
		made := other.callCount() - before
		t.Logf("%d calls of the other table", made)
		is.True(made <= 4)
		other.put("k", "new", false)
		other.setFault(nil, false)
		p.shortFeed.setFault(nil, false)
		time.Sleep(1600 * time.Millisecond) // the longest backoff, and the call
		is.Equal(p.long.String(), "map[k:new wakes:its call] false")
	})
}

// A target that left during an outage of the store used to get requests for too long after
// the recovery, since the daemon noticed the recovery late. A subscriber must get the
// earliest possible time of the recovery: it must not be after the actual recovery, nor
// earlier than it by more than the interval between two calls, even if another follower of
// the group made the last call.
func TestFollowerIsToldTheEarliestRecoveryTime(t *testing.T) {
	const (
		maxPause    = 1500 * time.Millisecond // between two calls, at most
		callTimeout = 2500 * time.Millisecond // a call that is not answered
	)
	for _, unresponsive := range []bool{false, true} {
		for range 20 {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				feed := newFakeFeed()
				group := platform.NewFeedGroup()
				_, stopHeartbeat := follow(feed, 0, group)
				defer stopHeartbeat()
				subscriber, stop := follow(feed, longWait, group)
				defer stop()
				time.Sleep(time.Second)
				fail := errors.New("refused")
				if unresponsive {
					fail = nil
				}
				feed.setFault(fail, unresponsive)
				feed.put("k1", "v", false)
				time.Sleep(9 * time.Second)
				feed.setFault(nil, false)
				recoveredAt := time.Now()
				time.Sleep(2 * (maxPause + callTimeout))
				subscriber.mu.Lock()
				defer subscriber.mu.Unlock()
				is.True(!subscriber.unreachable)
				is.True(!subscriber.notBefore.After(recoveredAt))
				is.True(recoveredAt.Sub(subscriber.notBefore) <= maxPause+callTimeout)
			})
		}
	}
}

// Guards against a table that counts as current while the rows that make it so are still being
// applied: a daemon short of processor time then refuses what these rows allow.
func TestTableCountsAsCurrentOnceItsRowsAreApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		feed, subscriber := newFakeFeed(), &recordingSubscriber{}
		feed.put("k", "read", false)
		ctx, cancel := context.WithCancel(t.Context())
		var seen []string
		f := platform.NewFollower(platform.FollowerConfig{
			Feed: feed, Table: "t", Heartbeat: true, Logger: slog.New(slog.DiscardHandler),
			OnCurrent: func() { seen = append(seen, subscriber.String()) },
		}, subscriber)
		go f.Run(ctx)
		time.Sleep(500 * time.Millisecond)
		feed.put("k", "changed", false)
		time.Sleep(100 * time.Millisecond)
		cancel()
		synctest.Wait()
		is.Equal(seen, []string{fmt.Sprint(map[string]string{"k": "read"}, false), fmt.Sprint(map[string]string{"k": "changed"}, false)})
	})
}

// Guards against a row that is written in time and read too late: it is written just after another one,
// while the follower gathers changes, and the next call would come after the end of the time for which the
// subscriber waits for it. With nothing to wait for, changes share a call as before.
func TestAwaitedRowIsReadBeforeItIsGivenUp(t *testing.T) {
	const awaited = 2500 * time.Millisecond
	for _, first := range []time.Duration{900, 1400, 1900, 2100} {
		for _, isAwaited := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				feed, subscriber := newFakeFeed(), &recordingSubscriber{}
				started := time.Now()
				ctx, cancel := context.WithCancel(t.Context())
				f := platform.NewFollower(platform.FollowerConfig{
					Feed: feed, Table: "t", Wait: longWait, CoalesceDelay: 800 * time.Millisecond, Logger: slog.New(slog.DiscardHandler),
					AwaitedUntil: func() time.Time {
						if !isAwaited {
							return time.Time{}
						}
						return started.Add(awaited)
					},
				}, subscriber)
				go f.Run(ctx)
				time.Sleep(first * time.Millisecond)
				before := feed.callCount()
				for i := range 20 {
					feed.put(fmt.Sprint("k", i), "v", false)
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(time.Until(started.Add(awaited)))
				subscriber.mu.Lock()
				read := len(subscriber.rows)
				subscriber.mu.Unlock()
				is.True(!isAwaited || read == 20)
				time.Sleep(time.Second)
				calls := feed.callCount() - before
				t.Logf("first row after %s, awaited %v: %d of 20 rows in time, %d calls", first*time.Millisecond, isAwaited, read, calls)
				is.True(calls <= 4 && (isAwaited || calls <= 2))
				cancel()
				synctest.Wait()
			})
		}
	}
}
