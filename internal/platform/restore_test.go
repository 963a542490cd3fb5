package platform_test

import (
	"context"
	"log/slog"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/platform"
)

// backup returns a copy of the feed's current state for restore.
func (f *fakeFeed) backup() (rows map[string]platform.FeedRow, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.rows), f.revision
}

// restore resets the feed to a backup and starts a new era. If keepWaiting is set, waiting
// calls continue to wait.
func (f *fakeFeed) restore(rows map[string]platform.FeedRow, revision uint64, keepWaiting bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era++
	f.rows, f.revision = maps.Clone(rows), revision
	for key, row := range f.rows {
		row.Revision = platform.NewRevision(f.era, row.Revision.Number())
		f.rows[key] = row
	}
	if !keepWaiting {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

func TestRevisionsAreOrderedByEraFirst(t *testing.T) {
	is := is.New(t)
	older, newer := platform.NewRevision(1, 900), platform.NewRevision(2, 5)
	is.True(older.Before(newer))
	is.True(!newer.Before(older))
	is.Equal(platform.Later(older, newer), newer)
	is.True(older.OlderEra(newer))
	is.True(!older.SameEra(newer))
	is.Equal(newer.Compare(older), 1)
	is.Equal(newer.String(), "2:5")
	is.Equal(platform.NewRevision(0, 5).String(), "5")
}

// Guards against lost changes if a restored store reuses revision numbers: the follower
// must read the table again although the numbers have passed its own revision.
func TestFollowerRereadsRestoredTableDespiteHigherRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		feed := newFakeFeed()
		feed.put("stays", "1", false)
		subscriber, cancel := follow(feed, 0, nil)
		defer cancel()
		time.Sleep(time.Second)
		rows, revision := feed.backup()
		feed.put("lost", "2", false)
		time.Sleep(time.Second)
		is.Equal(subscriber.String(), "map[lost:2 stays:1] false")
		feed.restore(rows, revision, true)
		feed.put("other", "3", false)
		feed.put("more", "4", false)
		time.Sleep(3 * time.Second)
		is.Equal(subscriber.String(), "map[more:4 other:3 stays:1] false")
		cancel()
		synctest.Wait()
		is.Equal(len(subscriber.restores), 1)
		is.True(subscriber.restores[0].Last.OlderEra(subscriber.restores[0].First))
	})
}

// A member that waits between two calls must not miss that another one has observed a newer
// era.
func TestAllFollowersOfAGroupRereadARestoredTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		group := platform.NewFeedGroup()
		heartbeat, other := newFakeFeed(), newFakeFeed()
		other.put("k", "old", false)
		_, stopA := follow(heartbeat, 500*time.Millisecond, group)
		b, stopB := follow(other, longWait, group)
		time.Sleep(2 * time.Second)
		rows, revision := other.backup()
		other.put("lost", "1", false) // the follower of other waits after this change
		time.Sleep(10 * time.Millisecond)
		other.restore(rows, revision, true)
		other.put("new", "2", false)
		other.put("other", "3", true)
		heartbeat.restore(nil, 1, false)
		time.Sleep(2 * time.Second)
		is.Equal(b.String(), "map[k:old new:2] false")
		stopA()
		stopB()
		synctest.Wait()
	})
}

// lateFeed returns one answer of an older era.
type lateFeed struct {
	*fakeFeed
	late         []platform.FeedRow
	lateRevision platform.Revision
	sent         bool
}

// Changes implements platform.Feed.
func (f *lateFeed) Changes(ctx context.Context, table string, after platform.Revision, wait time.Duration) ([]platform.FeedRow, platform.Revision, error) {
	if !f.sent {
		f.sent = true
		return f.late, f.lateRevision, nil
	}
	return f.fakeFeed.Changes(ctx, table, after, wait)
}

// An answer from before a restore of the store must not undo what was read after it.
func TestLateAnswerOfAnOlderEraIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		feed := &lateFeed{
			fakeFeed: newFakeFeed(), lateRevision: platform.NewRevision(1, 900),
			late: []platform.FeedRow{{Key: "k", Value: []byte("old"), Revision: platform.NewRevision(1, 900)}},
		}
		feed.era = 2
		feed.put("k", "new", false)
		subscriber := &recordingSubscriber{}
		ctx, cancel := context.WithCancel(t.Context())
		go platform.NewFollower(platform.FollowerConfig{Feed: feed, Table: "t", Logger: slog.New(slog.DiscardHandler)}, subscriber).Run(ctx)
		time.Sleep(time.Second)
		is.Equal(subscriber.String(), "map[k:new] false")
		feed.put("k", "newer", false)
		time.Sleep(time.Second)
		is.Equal(subscriber.String(), "map[k:newer] false")
		cancel()
		synctest.Wait()
		is.True(feed.sent)
		is.Equal(len(subscriber.restores), 0)
	})
}
