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
	store "github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/relay"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/internal/settings"
	"github.com/savorystall/savorystall/platform"
)

// tableOfTargets is a store that holds a table of targets, and that cannot be reached for
// a time. It refuses at once, or where it is silent, each call hangs until its caller
// gives up.
type tableOfTargets struct {
	mu   sync.Mutex
	rows map[string]store.FeedRow
	// era and revision are the store's present ones.
	era, revision uint64
	away          bool
	silent        bool
	changed       chan struct{}
}

func newTableOfTargets() *tableOfTargets {
	return &tableOfTargets{rows: map[string]store.FeedRow{}, revision: 1, changed: make(chan struct{})}
}

// put writes or drops a target's entry.
func (t *tableOfTargets) put(key string, deleted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision++
	t.rows[key] = store.FeedRow{Key: key, Revision: store.NewRevision(t.era, t.revision), Deleted: deleted}
	t.wake()
}

// setAway cuts the way to the store, also for calls under way, or restores it.
func (t *tableOfTargets) setAway(away bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.away = away
	t.wake()
}

func (t *tableOfTargets) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// since returns the rows of a table after a revision.
func (t *tableOfTargets) since(table string, after store.Revision) (rows []store.FeedRow, revision store.Revision, changed <-chan struct{}, away bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if table == platform.TableTargets {
		for _, row := range t.rows {
			if row.Revision.Number() > after.Number() {
				rows = append(rows, row)
			}
		}
	}
	return rows, store.NewRevision(t.era, t.revision), t.changed, t.away
}

var errAway = errors.New("connection refused")

// fail is how a call ends while the store is away.
func (t *tableOfTargets) fail(ctx context.Context) error {
	if !t.silent {
		return errAway
	}
	<-ctx.Done()
	return ctx.Err()
}

// ReadTable implements platform.Feed.
func (t *tableOfTargets) ReadTable(ctx context.Context, table string) ([]store.FeedRow, store.Revision, error) {
	rows, revision, _, away := t.since(table, store.Revision{})
	if away {
		return nil, store.Revision{}, t.fail(ctx)
	}
	return slices.DeleteFunc(rows, func(r store.FeedRow) bool { return r.Deleted }), revision, nil
}

// Changes implements platform.Feed.
func (t *tableOfTargets) Changes(ctx context.Context, table string, after store.Revision, wait time.Duration) ([]store.FeedRow, store.Revision, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		rows, revision, changed, away := t.since(table, after)
		switch {
		case away:
			return nil, store.Revision{}, t.fail(ctx)
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

// followedSite is the part of a daemon that follows a store's targets.
type followedSite struct {
	*site
	inTouch time.Duration

	mu     sync.Mutex
	usable []ident.Target
}

// followSite follows a store until the test ends.
func followSite(t *testing.T, feed store.Feed) *followedSite {
	log := slog.New(slog.DiscardHandler)
	s, err := settings.Parse(nil, func(s *settings.Settings) { s.Daemon, s.Zone, s.Platform.URL = "d", "a", "http://127.0.0.1:9" })
	is.New(t).NoErr(err)
	f := &followedSite{site: newSite(routedParts{
		Settings: s, Log: log, Routes: &route.Holder{}, Load: newLoadWatch(s), Relay: relay.New(relay.Config{Self: "d", Zone: "a", Store: feed, HeartbeatTable: beatTable, Logger: log}),
	}), inTouch: s.Routing.InTouch}
	f.view.put = f.note
	ctx, cancel := context.WithCancel(context.Background())
	group := store.NewFeedGroup()
	targets := &targetRows{site: f.site, read: func(key string, _ []byte) (registry.Entry, error) {
		return registry.Entry{Identity: ident.Target(key), Address: key}, nil
	}}
	var tasks sync.WaitGroup
	for _, run := range []func(context.Context){
		f.followRoutes(group), f.follow(group, platform.TableTargets, longWait, targetGather, targets), f.expire,
	} {
		tasks.Go(func() { run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
	return f
}

func (f *followedSite) note(v siteView) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.usable = nil
	for _, e := range v.targets {
		f.usable = append(f.usable, e.Identity)
	}
}

// uses tells whether requests may go to a target.
func (f *followedSite) uses(target ident.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.usable, target)
}

// A caller's request reaches a target 2.6 s after it left. Its zone was cut off from the
// store, where its entry lapsed, since it could not be renewed, and the target began to leave
// meanwhile. When the zone had been joined again for three seconds, and the store had known
// for more than two that the target leaves, a daemon of the zone still used it: the grace for
// lapsed entries ran from when the daemon noticed the store's return, which it does late by
// the pause between two calls. Its lines showed the drop 2.5 s after the table was read.
func TestATargetThatLeftWhileItsZoneWasCutOffGetsNothingOnceInTouch(t *testing.T) {
	const (
		cutFor  = 5300 * time.Millisecond
		renewed = 1200 * time.Millisecond // the targets' heartbeats
		rounds  = 40                      // each with other pauses between calls
	)
	for _, silent := range []bool{false, true} {
		for range rounds {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				feed := newTableOfTargets()
				feed.silent = silent
				feed.put("leaves", false)
				feed.put("lives", false)
				s := followSite(t, feed)
				time.Sleep(2 * time.Second)
				feed.setAway(true)
				time.Sleep(cutFor)
				feed.put("leaves", true)
				feed.put("lives", true)
				is.True(s.uses("leaves")) // what is known stays while the store is away
				feed.setAway(false)
				back := time.Now()
				time.Sleep(renewed)
				feed.put("lives", false)
				time.Sleep(time.Until(back.Add(s.inTouch)))
				is.True(s.uses("lives"))
				is.True(!s.uses("leaves")) // in touch again, and used past its leaving
			})
		}
	}
}
