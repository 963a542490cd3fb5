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

// startWatcher starts a watcher with a short poll interval and stops it at the
// end of the test.
func (env *testEnv) startWatcher(t *testing.T, store *config.Store) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	watcher := config.NewWatcher(config.WatcherConfig{
		Table: env.client, Store: store, Interval: 5 * time.Millisecond, Timeout: 100 * time.Millisecond, Logger: discardLogger,
	})
	go func() { done <- watcher.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(<-done)
	})
}

// waitForHead waits until the head of the store has reached the revision.
func waitForHead(t *testing.T, store *config.Store, revision uint64) {
	t.Helper()
	timeout := time.After(30 * time.Second)
	for {
		changed := store.Changed()
		if store.Head() >= revision {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			t.Fatalf("timed out waiting for revision %d; head is %d", revision, store.Head())
		}
	}
}

// The table becomes unavailable after a change that only a peer has read; later
// it recovers and gets one more change. A daemon must keep its active document
// during the outage, apply the change received from the peer, and finally the one
// from the table.
func TestPeersProvideConfigurationDuringOutage(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	store, peer := config.NewStore(), config.NewStore()
	first, err := env.editor("ana").Apply(t.Context(), plainDocument("portal", 1), 0, "")
	is.NoErr(err)
	env.startWatcher(t, store)
	waitForHead(t, store, first)
	second, err := env.editor("ana").Apply(t.Context(), plainDocument("portal", 2), first, "")
	is.NoErr(err)
	is.NoErr(env.watcher(peer).Poll(t.Context()))

	env.server.SetFaults(platformstandin.Table, platformstandin.Faults{Unavailable: true})
	_, ok := store.Snapshot().Service("portal")
	is.True(ok)
	restarted := config.NewStore()
	_, err = restarted.ApplyNewer(peer.Entries())
	is.NoErr(err)
	service, ok := restarted.Snapshot().Service("portal")
	is.True(ok)
	is.Equal(service.Revision, second)

	env.server.SetFaults(platformstandin.Table, platformstandin.Faults{})
	third, err := env.editor("ana").Apply(t.Context(), plainDocument("portal", 3), second, "")
	is.NoErr(err)
	waitForHead(t, store, third)
	is.NoErr(env.watcher(restarted).Poll(t.Context()))
	is.Equal(restarted.Head(), third)
}

// The table is persistently slow: each read takes most of its timeout. A change
// needs several reads and must still be applied.
func TestSlowTableDoesNotBlockChanges(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	first, err := env.editor("ana").Apply(t.Context(), plainDocument("portal", 1), 0, "")
	is.NoErr(err)
	store := config.NewStore()
	env.startWatcher(t, store)
	waitForHead(t, store, first)
	second, err := env.editor("ana").Apply(t.Context(), plainDocument("portal", 2), first, "")
	is.NoErr(err)
	env.server.SetFaults(platformstandin.Table, platformstandin.Faults{Delay: 70 * time.Millisecond})
	waitForHead(t, store, second)
}

// A peer announces its head, restarts without state, and is then asked for its
// entries, of which it has none. The requesting daemon must not consider itself
// up to date, or it would keep an old document until the next change.
func TestRestartedPeerDoesNotAdvanceHead(t *testing.T) {
	is := is.New(t)
	store := config.NewStore()
	_, err := store.CatchUp(nil, 7)
	is.NoErr(err)
	is.Equal(store.Head(), uint64(0))
	_, err = store.CatchUp([]config.Entry{{Service: "portal", Revision: 7, Text: plainDocument("portal", 1)}}, 7)
	is.NoErr(err)
	is.Equal(store.Head(), uint64(7))
}

// startWithArchive starts a watcher that can read the archive and stops it at the
// end of the test. It returns the watcher's metrics.
func (env *testEnv) startWithArchive(t *testing.T, store *config.Store, grace time.Duration) tally.TestScope {
	scope := tally.NewTestScope("", nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	watcher := config.NewWatcher(config.WatcherConfig{
		Table: env.client, Objects: env.client, Store: store,
		Interval: 5 * time.Millisecond, Timeout: 100 * time.Millisecond, ArchiveGrace: grace, Logger: discardLogger, Scope: scope,
	})
	go func() { done <- watcher.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(<-done)
	})
	return scope
}

// setUpArchive makes three changes, writes an archive, makes one more change and
// returns the revisions of the archive and of the last change.
func (env *testEnv) setUpArchive(t *testing.T) (archive, last uint64) {
	is := is.New(t)
	editor := env.editor("ana")
	first, err := editor.Apply(t.Context(), plainDocument("portal", 1), 0, "")
	is.NoErr(err)
	oldRevision, err := editor.Apply(t.Context(), plainDocument("old", 1), 0, "")
	is.NoErr(err)
	archive, err = editor.Delete(t.Context(), "old", oldRevision, "")
	is.NoErr(err)
	writer := config.NewStore()
	is.NoErr(env.watcher(writer).Poll(t.Context()))
	archiver := config.NewArchiver(config.ArchiverConfig{Table: env.client, Objects: env.client, Store: writer, Logger: discardLogger})
	written, err := archiver.Archive(t.Context())
	is.NoErr(err)
	is.True(written)
	written, err = archiver.Archive(t.Context())
	is.NoErr(err)
	is.True(!written) // not due again
	last, err = editor.Apply(t.Context(), plainDocument("portal", 2), first, "")
	is.NoErr(err)
	return archive, last
}

// A daemon starts while the table is unavailable but the object store works, and
// no peer responds. After ArchiveGrace it must apply the latest archive, and
// later changes when the table recovers.
func TestStartFromArchiveDuringAnOutage(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	archive, last := env.setUpArchive(t)
	env.server.SetFaults(platformstandin.Table, platformstandin.Faults{Unavailable: true})
	store := config.NewStore()
	env.startWithArchive(t, store, time.Millisecond)
	waitForHead(t, store, archive)
	is.Equal(store.Revisions()["old"], archive) // the deletion is in the archive
	_, ok := store.Snapshot().Service("portal")
	is.True(ok)
	env.server.SetFaults(platformstandin.Table, platformstandin.Faults{})
	waitForHead(t, store, last)
}

// A daemon restarts while the table is unavailable. The archive is minutes old,
// but a peer has the current documents. The daemon must not use the old documents
// in the meantime.
func TestPeerTakesPrecedenceOverArchive(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	_, last := env.setUpArchive(t)
	peer := config.NewStore()
	is.NoErr(env.watcher(peer).Poll(t.Context()))
	env.server.SetFaults(platformstandin.Table, platformstandin.Faults{Unavailable: true})
	store := config.NewStore()
	env.startWithArchive(t, store, time.Hour)
	before := env.server.Calls(platformstandin.Table)
	for env.server.Calls(platformstandin.Table) < before+3 {
		time.Sleep(time.Millisecond) // the watcher has tried the table
	}
	is.Equal(len(store.Snapshot().Services()), 0)
	_, err := store.CatchUp(peer.EntriesAfter(store.Head()))
	is.NoErr(err)
	is.Equal(store.Head(), last)
	service, ok := store.Snapshot().Service("portal")
	is.True(ok)
	is.Equal(service.Revision, last)
}

// A daemon that has read an archive reads only the changes that the archive lacks
// if the table is available.
func TestArchiveReducesTableReads(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	_, last := env.setUpArchive(t)
	store := config.NewStore()
	scope := env.startWithArchive(t, store, time.Hour)
	waitForHead(t, store, last)
	is.Equal(store.Revisions()["old"], last-1)
	counters := scope.Snapshot().Counters()
	is.Equal(counters["config.scans+"].Value(), int64(0))
	is.Equal(counters["config.documents_read+"].Value(), int64(1))
}

// newerReleaseTable replaces committed documents with ones that this release
// cannot read.
type newerReleaseTable struct{ platform.Table }

func (n newerReleaseTable) Commit(ctx context.Context, tx platform.Transaction) (uint64, error) {
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

// A newer release wrote a document that this release cannot read. The service
// must keep its active document, other services must still be updated, and the
// daemon must not read all documents again at every poll.
func TestInvalidDocumentKeepsCurrentOne(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	first, err := env.editor("ana").Apply(t.Context(), plainDocument("portal", 1), 0, "")
	is.NoErr(err)
	store := config.NewStore()
	watcher := env.watcher(store)
	is.NoErr(watcher.Poll(t.Context()))
	newer := &config.Editor{Table: newerReleaseTable{env.client}, Author: "zoe"}
	unreadable, err := newer.Apply(t.Context(), plainDocument("portal", 2), first, "")
	is.NoErr(err)
	is.NoErr(watcher.Poll(t.Context()))
	service, ok := store.Snapshot().Service("portal")
	is.True(ok)
	is.Equal(service.Revision, first)
	is.Equal(store.Head(), unreadable)

	before := env.server.Calls(platformstandin.Table)
	is.NoErr(watcher.Poll(t.Context()))
	is.Equal(env.server.Calls(platformstandin.Table)-before, 1) // only the head row
	_, err = env.editor("ana").Apply(t.Context(), plainDocument("other", 1), 0, "")
	is.NoErr(err)
	is.NoErr(watcher.Poll(t.Context()))
	_, ok = store.Snapshot().Service("other")
	is.True(ok)
}

func TestWatcherReadsDeltas(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	store := config.NewStore()
	watcher := env.watcher(store)
	revision := uint64(0)
	for weight := range 300 { // more than one chain of deltas
		var err error
		revision, err = env.editor("ana").Apply(t.Context(), plainDocument("portal", weight+1), revision, "")
		is.NoErr(err)
		is.NoErr(watcher.Poll(t.Context()))
		service, ok := store.Snapshot().Service("portal")
		is.True(ok)
		is.Equal(service.Document.Workspaces[0].Weight, float64(weight+1))
	}
	for weight := 0; weight < 300; weight += 23 {
		record, err := env.editor("ana").GetRevision(t.Context(), "portal", uint64(weight+1))
		is.NoErr(err)
		is.Equal(record.Text, string(plainDocument("portal", weight+1)))
	}
	history, err := env.editor("ana").History(t.Context(), "portal")
	is.NoErr(err)
	fullTexts := 0
	for _, record := range history {
		if record.Delta == nil {
			fullTexts++
		}
	}
	is.Equal(fullTexts, 2)
	_, err = env.editor("ana").GetRevision(t.Context(), "portal", revision+1)
	is.True(errors.Is(err, config.ErrNotFound))
}

// A service is changed every ten days. Revisions of the last month must stay
// readable, so that an operator can roll back to them, even if the full text that
// the history started with has expired.
func TestOldRevisionsOutliveTheirFullText(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	env := newTestEnvWithConfig(t, platformstandin.Config{Clock: clock})
	editor := &config.Editor{Table: env.client, Author: "ana", Clock: clock}
	const changes, day = 12, 24 * time.Hour
	revision := uint64(0)
	for weight := 1; weight <= changes; weight++ {
		var err error
		revision, err = editor.Apply(t.Context(), plainDocument("portal", weight), revision, "")
		is.NoErr(err)
		for age := uint64(0); age <= 2 && age < revision; age++ { // 0, 10 and 20 days old
			record, err := editor.GetRevision(t.Context(), "portal", revision-age)
			is.NoErr(err)
			is.Equal(record.Text, string(plainDocument("portal", weight-int(age))))
		}
		clock.now = clock.now.Add(10 * day)
	}
	_, err := editor.GetRevision(t.Context(), "portal", 1)
	is.True(errors.Is(err, config.ErrNotFound))
}

// manualClock advances only when the test sets it.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

func (c *manualClock) After(time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	fired <- c.now
	return fired
}
