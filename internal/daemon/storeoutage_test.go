package daemon

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
	store "github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/relay"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/internal/settings"
	"github.com/savorystall/savorystall/internal/targetnotice"
	"github.com/savorystall/savorystall/platform"
)

// fakeTargetFeed is a store with a table of targets that can be made unreachable. It then
// refuses calls at once or, if hangs is set, blocks each call until its context ends.
type fakeTargetFeed struct {
	mu   sync.Mutex
	rows map[string]store.FeedRow
	// era and revision are the current ones of the store.
	era, revision uint64
	unreachable   bool
	hangs         bool
	changed       chan struct{}
}

func newFakeTargetFeed() *fakeTargetFeed {
	return &fakeTargetFeed{rows: map[string]store.FeedRow{}, revision: 1, changed: make(chan struct{})}
}

// put writes or deletes a target's entry.
func (t *fakeTargetFeed) put(key string, deleted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision++
	t.rows[key] = store.FeedRow{Key: key, Revision: store.NewRevision(t.era, t.revision), Deleted: deleted}
	t.notifyChange()
}

// setUnreachable makes the store unreachable, also for calls in progress, or reachable
// again.
func (t *fakeTargetFeed) setUnreachable(unreachable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unreachable = unreachable
	t.notifyChange()
}

func (t *fakeTargetFeed) notifyChange() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// rowsAfter returns the rows of a table after a revision.
func (t *fakeTargetFeed) rowsAfter(table string, after store.Revision) (rows []store.FeedRow, revision store.Revision, changed <-chan struct{}, unreachable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if table == platform.TableTargets {
		for _, row := range t.rows {
			if row.Revision.Number() > after.Number() {
				rows = append(rows, row)
			}
		}
	}
	return rows, store.NewRevision(t.era, t.revision), t.changed, t.unreachable
}

var errUnreachable = errors.New("connection refused")

// unreachableError returns the error of a call while the store is unreachable.
func (t *fakeTargetFeed) unreachableError(ctx context.Context) error {
	if !t.hangs {
		return errUnreachable
	}
	<-ctx.Done()
	return ctx.Err()
}

// ReadTable implements platform.Feed.
func (t *fakeTargetFeed) ReadTable(ctx context.Context, table string) ([]store.FeedRow, store.Revision, error) {
	rows, revision, _, unreachable := t.rowsAfter(table, store.Revision{})
	if unreachable {
		return nil, store.Revision{}, t.unreachableError(ctx)
	}
	return slices.DeleteFunc(rows, func(r store.FeedRow) bool { return r.Deleted }), revision, nil
}

// Changes implements platform.Feed.
func (t *fakeTargetFeed) Changes(ctx context.Context, table string, after store.Revision, wait time.Duration) ([]store.FeedRow, store.Revision, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		rows, revision, changed, unreachable := t.rowsAfter(table, after)
		switch {
		case unreachable:
			return nil, store.Revision{}, t.unreachableError(ctx)
		case len(rows) > 0:
			return rows, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, store.Revision{}, ctx.Err()
		case <-timer.C:
			return nil, revision, nil
		case <-changed:
		}
	}
}

// testStoreSync is the part of a daemon that follows the targets in a store.
type testStoreSync struct {
	*storeSync
	inTouch time.Duration

	mu     sync.Mutex
	usable []ident.Target
	// viewAt is when the last view was installed.
	viewAt time.Time
}

// hasReadTargetsSince reports whether a view of the targets has been installed since a time.
func (f *testStoreSync) hasReadTargetsSince(at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.viewAt.After(at)
}

// newTestStoreSync returns a testStoreSync that follows a store until the test ends.
func newTestStoreSync(t *testing.T, feed store.Feed) *testStoreSync {
	return newTestStoreSyncAmong(t, feed, nil, nil)
}

// newTestStoreSyncAmong is newTestStoreSync for a daemon that can query others.
func newTestStoreSyncAmong(t *testing.T, feed store.Feed, peers relay.Peers, others []membership.Member) *testStoreSync {
	log := slog.New(slog.DiscardHandler)
	s, err := settings.Parse(nil, func(s *settings.Settings) { s.Daemon, s.Zone, s.Platform.URL = "d", "a", "http://127.0.0.1:9" })
	is.New(t).NoErr(err)
	id := identity{Daemon: "d", Zone: "a"}
	loop := newRoutedLoop(id, s, newRoutedBridge(id, nil, nil))
	f := &testStoreSync{storeSync: newStoreSync(routedDependencies{
		Loop: loop, Settings: s, Log: log, Routes: &route.Holder{}, Load: newLoadMonitor(s), Notices: targetnotice.New(), Relay: relay.New(relay.Config{Self: "d", Zone: "a", Store: feed, Peers: peers, HeartbeatTable: heartbeatTable, Logger: log}),
	}), inTouch: s.Routing.InTouch}
	f.view.install = f.recordView
	f.deps.Relay.Elect(others)
	ctx, cancel := context.WithCancel(context.Background())
	group := store.NewFeedGroup()
	targets := &targetSubscriber{storeSync: f.storeSync, decodeEntry: func(key string, _ []byte) (registry.Entry, error) {
		return registry.Entry{Identity: ident.Target(key), Address: key}, nil
	}}
	var tasks sync.WaitGroup
	for _, run := range []func(context.Context){
		loop.Run, f.followRoutes(group), f.follow(group, platform.TableTargets, longPollWait, targetCoalesceDelay, targets), f.expire,
	} {
		tasks.Go(func() { run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
	return f
}

func (f *testStoreSync) recordView(v routingView) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.usable, f.viewAt = nil, time.Now()
	for _, e := range v.targets {
		f.usable = append(f.usable, e.Identity)
	}
}

// isUsable reports whether requests may be sent to a target.
func (f *testStoreSync) isUsable(target ident.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.usable, target)
}

// Guards against sending requests to a target that began to leave while its zone was cut
// off from the store and whose entry expired there because it could not be renewed. Three
// seconds after the zone was reconnected, and more than two after the store knew that the
// target was leaving, a daemon of the zone still used it, so that a request reached the
// target 2.6 s after it had left. The grace period for expired entries ran from when the
// daemon noticed that the store was back, which is late by the pause between two calls; its
// log showed the drop 2.5 s after the table was read.
func TestTargetThatLeftDuringOutageIsUnusedAfterRecovery(t *testing.T) {
	const (
		outage    = 5300 * time.Millisecond
		heartbeat = 1200 * time.Millisecond // the targets' heartbeats
		rounds    = 40                      // each with other pauses between calls
	)
	for _, hangs := range []bool{false, true} {
		for range rounds {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				feed := newFakeTargetFeed()
				feed.hangs = hangs
				feed.put("leaves", false)
				feed.put("lives", false)
				s := newTestStoreSync(t, feed)
				time.Sleep(2 * time.Second)
				feed.setUnreachable(true)
				time.Sleep(outage)
				feed.put("leaves", true)
				feed.put("lives", true)
				is.True(s.isUsable("leaves")) // known targets are kept while the store is unreachable
				feed.setUnreachable(false)
				restoredAt := time.Now()
				time.Sleep(heartbeat)
				feed.put("lives", false)
				time.Sleep(time.Until(restoredAt.Add(s.inTouch)))
				is.True(s.isUsable("lives"))
				is.True(!s.isUsable("leaves")) // reconnected, so that a target that left must not be used
			})
		}
	}
}
