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

// copy returns the feed's present state, to come back from.
func (f *fakeFeed) copy() (rows map[string]platform.FeedRow, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.rows), f.revision
}

// restore comes back from a copy. Calls that wait go on waiting where quiet is set.
func (f *fakeFeed) restore(rows map[string]platform.FeedRow, revision uint64, quiet bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era++
	f.rows, f.revision = maps.Clone(rows), revision
	for key, row := range f.rows {
		row.Revision = platform.NewRevision(f.era, row.Revision.Number())
		f.rows[key] = row
	}
	if !quiet {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

func TestRevisionsOfTwoErasAreOrderedByEra(t *testing.T) {
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

// Versions that are given out again must not stand for the rows that were lost.
func TestAFollowerReadsACopyAnewThoughItsVersionsHavePassedItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		feed := newFakeFeed()
		feed.put("stays", "1", false)
		c, cancel := follow(feed, 0, nil)
		defer cancel()
		time.Sleep(time.Second)
		rows, revision := feed.copy()
		feed.put("lost", "2", false)
		time.Sleep(time.Second)
		is.Equal(c.String(), "map[lost:2 stays:1] false")
		feed.restore(rows, revision, true)
		feed.put("other", "3", false)
		feed.put("more", "4", false)
		time.Sleep(3 * time.Second)
		is.Equal(c.String(), "map[more:4 other:3 stays:1] false")
		cancel()
		synctest.Wait()
		is.Equal(len(c.restores), 1)
		is.True(c.restores[0].Last.OlderEra(c.restores[0].First))
	})
}

// A member that pauses between two calls must not miss that another one met a newer era.
func TestAllFollowersOfAGroupReadACopyAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		group := platform.NewFeedGroup()
		beats, waits := newFakeFeed(), newFakeFeed()
		waits.put("k", "old", false)
		_, stopA := follow(beats, 500*time.Millisecond, group)
		b, stopB := follow(waits, longWait, group)
		time.Sleep(2 * time.Second)
		rows, revision := waits.copy()
		waits.put("lost", "1", false) // waits pauses after it
		time.Sleep(10 * time.Millisecond)
		waits.restore(rows, revision, true)
		waits.put("new", "2", false)
		waits.put("other", "3", true)
		beats.restore(nil, 1, false)
		time.Sleep(2 * time.Second)
		is.Equal(b.String(), "map[k:old new:2] false")
		stopA()
		stopB()
		synctest.Wait()
	})
}

// lateFeed delivers one answer of a past era.
type lateFeed struct {
	*fakeFeed
	late []platform.FeedRow
	at   platform.Revision
	sent bool
}

// Changes implements platform.Feed.
func (f *lateFeed) Changes(ctx context.Context, table string, after platform.Revision, wait time.Duration) ([]platform.FeedRow, platform.Revision, error) {
	if !f.sent {
		f.sent = true
		return f.late, f.at, nil
	}
	return f.fakeFeed.Changes(ctx, table, after, wait)
}

// An answer from before the store's return must not undo what was read after it.
func TestALateAnswerOfAnOlderEraChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		feed := &lateFeed{
			fakeFeed: newFakeFeed(), at: platform.NewRevision(1, 900),
			late: []platform.FeedRow{{Key: "k", Value: []byte("old"), Revision: platform.NewRevision(1, 900)}},
		}
		feed.era = 2
		feed.put("k", "new", false)
		c := &copyOf{}
		ctx, cancel := context.WithCancel(t.Context())
		go platform.NewFollower(platform.FollowerConfig{Feed: feed, Table: "t", Logger: slog.New(slog.DiscardHandler)}, c).Run(ctx)
		time.Sleep(time.Second)
		is.Equal(c.String(), "map[k:new] false")
		feed.put("k", "newer", false)
		time.Sleep(time.Second)
		is.Equal(c.String(), "map[k:newer] false")
		cancel()
		synctest.Wait()
		is.True(feed.sent)
		is.Equal(len(c.restores), 0)
	})
}
