package config_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/platform"
	platformstandin "github.com/savorystall/savorystall/internal/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// run starts a watcher that polls quickly, and stops it with the test.
func (b *bench) run(t *testing.T, store *config.Store) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	watcher := config.NewWatcher(config.WatcherConfig{
		Table: b.client, Store: store, Interval: 5 * time.Millisecond, Timeout: 100 * time.Millisecond, Logger: quiet,
	})
	go func() { ended <- watcher.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(<-ended)
	})
}

// await waits until the store has a head of at least the revision.
func await(t *testing.T, store *config.Store, revision uint64) {
	t.Helper()
	bound := time.After(30 * time.Second)
	for {
		changed := store.Changed()
		if store.Head() >= revision {
			return
		}
		select {
		case <-changed:
		case <-bound:
			t.Fatalf("revision %d is not in force; head is %d", revision, store.Head())
		}
	}
}

// The table goes down, a change is made elsewhere and reaches this daemon from
// a peer; then the table comes back with one more change. The daemon serves
// its present document throughout, takes the peer's, and then the table's.
func TestOutageIsBridgedByPeers(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	store, peer := config.NewStore(), config.NewStore()
	first, err := b.editor("ana").Apply(t.Context(), text("portal", 1), 0, "")
	is.NoErr(err)
	b.run(t, store)
	await(t, store, first)
	second, err := b.editor("ana").Apply(t.Context(), text("portal", 2), first, "")
	is.NoErr(err)
	is.NoErr(b.watcher(peer).Poll(t.Context()))

	b.server.SetFaults(platformstandin.Table, platformstandin.Faults{Down: true})
	_, ok := store.Snapshot().Service("portal")
	is.True(ok)
	restarted := config.NewStore()
	_, err = restarted.OfferAll(peer.Entries())
	is.NoErr(err)
	service, ok := restarted.Snapshot().Service("portal")
	is.True(ok)
	is.Equal(service.Revision, second)

	b.server.SetFaults(platformstandin.Table, platformstandin.Faults{})
	third, err := b.editor("ana").Apply(t.Context(), text("portal", 3), second, "")
	is.NoErr(err)
	await(t, store, third)
	is.NoErr(b.watcher(restarted).Poll(t.Context()))
	is.Equal(restarted.Head(), third)
}

// The table stays slow: each read takes most of the time that it may. A change
// needs several reads, and must still get in force.
func TestSlowTableDoesNotHoldUpAChange(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	first, err := b.editor("ana").Apply(t.Context(), text("portal", 1), 0, "")
	is.NoErr(err)
	store := config.NewStore()
	b.run(t, store)
	await(t, store, first)
	second, err := b.editor("ana").Apply(t.Context(), text("portal", 2), first, "")
	is.NoErr(err)
	b.server.SetFaults(platformstandin.Table, platformstandin.Faults{Delay: 70 * time.Millisecond})
	await(t, store, second)
}

// A peer tells its head, is restarted without state, and is then asked for its
// entries: it has none. The asking daemon must not take itself for up to date,
// or it would serve an old document until the next change.
func TestRestartedPeerDoesNotRaiseTheHead(t *testing.T) {
	is := is.New(t)
	store := config.NewStore()
	_, err := store.CatchUp(nil, 7)
	is.NoErr(err)
	is.Equal(store.Head(), uint64(0))
	_, err = store.CatchUp([]config.Entry{{Service: "portal", Revision: 7, Text: text("portal", 1)}}, 7)
	is.NoErr(err)
	is.Equal(store.Head(), uint64(7))
}

// startWithArchive starts a watcher that has the archive, and stops it with the
// test. It returns the watcher's metrics.
func (b *bench) startWithArchive(t *testing.T, store *config.Store, grace time.Duration) tally.TestScope {
	scope := tally.NewTestScope("", nil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	watcher := config.NewWatcher(config.WatcherConfig{
		Table: b.client, Objects: b.client, Store: store,
		Interval: 5 * time.Millisecond, Timeout: 100 * time.Millisecond, ArchiveGrace: grace, Logger: quiet, Scope: scope,
	})
	go func() { ended <- watcher.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(<-ended)
	})
	return scope
}

// archived makes three changes, archives them, makes one more and returns the
// revision of the archive and the last one.
func (b *bench) archived(t *testing.T) (archive, last uint64) {
	is := is.New(t)
	e := b.editor("ana")
	first, err := e.Apply(t.Context(), text("portal", 1), 0, "")
	is.NoErr(err)
	gone, err := e.Apply(t.Context(), text("old", 1), 0, "")
	is.NoErr(err)
	archive, err = e.Delete(t.Context(), "old", gone, "")
	is.NoErr(err)
	writer := config.NewStore()
	is.NoErr(b.watcher(writer).Poll(t.Context()))
	archiver := config.NewArchiver(config.ArchiverConfig{Table: b.client, Objects: b.client, Store: writer, Logger: quiet})
	wrote, err := archiver.Archive(t.Context())
	is.NoErr(err)
	is.True(wrote)
	wrote, err = archiver.Archive(t.Context())
	is.NoErr(err)
	is.True(!wrote) // not due again
	last, err = e.Apply(t.Context(), text("portal", 2), first, "")
	is.NoErr(err)
	return archive, last
}

// A daemon starts while the table is out but the object store works, and no
// peer answers: after the grace it serves what the last archive holds, and
// takes the rest when the table is back.
func TestStartFromArchiveDuringAnOutage(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	archive, last := b.archived(t)
	b.server.SetFaults(platformstandin.Table, platformstandin.Faults{Down: true})
	store := config.NewStore()
	b.startWithArchive(t, store, time.Millisecond)
	await(t, store, archive)
	is.Equal(store.Revisions()["old"], archive) // the deletion is in the archive
	_, ok := store.Snapshot().Service("portal")
	is.True(ok)
	b.server.SetFaults(platformstandin.Table, platformstandin.Faults{})
	await(t, store, last)
}

// A daemon is restarted while the table is out. Its archive is minutes old, but
// a peer has the present documents. It must not serve the old ones meanwhile.
func TestPeerGoesBeforeTheArchive(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	_, last := b.archived(t)
	peer := config.NewStore()
	is.NoErr(b.watcher(peer).Poll(t.Context()))
	b.server.SetFaults(platformstandin.Table, platformstandin.Faults{Down: true})
	store := config.NewStore()
	b.startWithArchive(t, store, time.Hour)
	before := b.server.Calls(platformstandin.Table)
	for b.server.Calls(platformstandin.Table) < before+3 {
		time.Sleep(time.Millisecond) // the watcher has tried the table
	}
	is.Equal(len(store.Snapshot().Services()), 0)
	_, err := store.CatchUp(peer.Since(store.Head()))
	is.NoErr(err)
	is.Equal(store.Head(), last)
	service, ok := store.Snapshot().Service("portal")
	is.True(ok)
	is.Equal(service.Revision, last)
}

// With the table at hand, a daemon with an archive reads just what the archive
// lacks.
func TestArchiveSparesTheTable(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	_, last := b.archived(t)
	store := config.NewStore()
	scope := b.startWithArchive(t, store, time.Hour)
	await(t, store, last)
	is.Equal(store.Revisions()["old"], last-1)
	counters := scope.Snapshot().Counters()
	is.Equal(counters["config.scans+"].Value(), int64(0))
	is.Equal(counters["config.documents_read+"].Value(), int64(1))
}

// newerRelease writes documents that this release cannot read.
type newerRelease struct{ platform.Table }

func (n newerRelease) Commit(ctx context.Context, tx platform.Transaction) (uint64, error) {
	for i, put := range tx.Puts {
		var record config.Record
		if json.Unmarshal(put.Value, &record) != nil || record.Service == "" {
			continue // the head row
		}
		record.Text, record.Delta = "future: 1\n", nil
		tx.Puts[i].Value, _ = json.Marshal(record)
	}
	return n.Table.Commit(ctx, tx)
}

// A newer release has written a document that this one cannot read. The
// service keeps its present document, other services still change, and the
// daemon does not read all documents again at every poll.
func TestUnreadableDocumentLeavesThePresentOne(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	first, err := b.editor("ana").Apply(t.Context(), text("portal", 1), 0, "")
	is.NoErr(err)
	store := config.NewStore()
	watcher := b.watcher(store)
	is.NoErr(watcher.Poll(t.Context()))
	newer := &config.Editor{Table: newerRelease{b.client}, Author: "zoe"}
	unreadable, err := newer.Apply(t.Context(), text("portal", 2), first, "")
	is.NoErr(err)
	is.NoErr(watcher.Poll(t.Context()))
	service, ok := store.Snapshot().Service("portal")
	is.True(ok)
	is.Equal(service.Revision, first)
	is.Equal(store.Head(), unreadable)

	before := b.server.Calls(platformstandin.Table)
	is.NoErr(watcher.Poll(t.Context()))
	is.Equal(b.server.Calls(platformstandin.Table)-before, 1) // the head row alone
	_, err = b.editor("ana").Apply(t.Context(), text("other", 1), 0, "")
	is.NoErr(err)
	is.NoErr(watcher.Poll(t.Context()))
	_, ok = store.Snapshot().Service("other")
	is.True(ok)
}

func TestWatcherReadsDeltas(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	store := config.NewStore()
	watcher := b.watcher(store)
	revision := uint64(0)
	for weight := range 300 { // more than one chain of deltas
		var err error
		revision, err = b.editor("ana").Apply(t.Context(), text("portal", weight+1), revision, "")
		is.NoErr(err)
		is.NoErr(watcher.Poll(t.Context()))
		service, ok := store.Snapshot().Service("portal")
		is.True(ok)
		is.Equal(service.Document.Workspaces[0].Weight, float64(weight+1))
	}
	for weight := 0; weight < 300; weight += 23 {
		record, err := b.editor("ana").At(t.Context(), "portal", uint64(weight+1))
		is.NoErr(err)
		is.Equal(record.Text, string(text("portal", weight+1)))
	}
	history, err := b.editor("ana").History(t.Context(), "portal")
	is.NoErr(err)
	whole := 0
	for _, record := range history {
		if record.Delta == nil {
			whole++
		}
	}
	is.Equal(whole, 2)
	_, err = b.editor("ana").At(t.Context(), "portal", revision+1)
	is.True(errors.Is(err, config.ErrNoService))
}

// A service is changed every ten days. A month later its last revision must
// still be readable, though the whole text that its history began with has
// expired: an operator may want to return to it.
func TestOldRevisionsOutliveTheirWholeText(t *testing.T) {
	is := is.New(t)
	clock := &movedClock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	b := newLimitedBench(t, platformstandin.Config{Clock: clock})
	e := &config.Editor{Table: b.client, Author: "ana", Clock: clock}
	const changes, day = 12, 24 * time.Hour
	revision := uint64(0)
	for weight := 1; weight <= changes; weight++ {
		var err error
		revision, err = e.Apply(t.Context(), text("portal", weight), revision, "")
		is.NoErr(err)
		for back := uint64(0); back <= 2 && back < revision; back++ { // 0, 10 and 20 days old
			record, err := e.At(t.Context(), "portal", revision-back)
			is.NoErr(err)
			is.Equal(record.Text, string(text("portal", weight-int(back))))
		}
		clock.now = clock.now.Add(10 * day)
	}
	_, err := e.At(t.Context(), "portal", 1)
	is.True(errors.Is(err, config.ErrNoService))
}

// movedClock stands still but for the test.
type movedClock struct{ now time.Time }

func (c *movedClock) Now() time.Time { return c.now }

func (c *movedClock) After(time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	fired <- c.now
	return fired
}
