package config_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
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
	_, err = restarted.OfferAll(peer.Newer(restarted.Revisions()))
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

// A daemon starts while the table is out but the object store works: it serves
// what the last archive holds, and takes the rest when the table is back.
func TestStartFromArchiveDuringAnOutage(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	e := b.editor("ana")
	first, err := e.Apply(t.Context(), text("portal", 1), 0, "")
	is.NoErr(err)
	gone, err := e.Apply(t.Context(), text("old", 1), 0, "")
	is.NoErr(err)
	deleted, err := e.Delete(t.Context(), "old", gone, "")
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
	last, err := e.Apply(t.Context(), text("portal", 2), first, "")
	is.NoErr(err)

	b.server.SetFaults(platformstandin.Table, platformstandin.Faults{Down: true})
	store := config.NewStore()
	is.NoErr(config.LoadArchive(t.Context(), b.client, store))
	is.Equal(store.Head(), deleted)
	is.Equal(store.Revisions()["old"], deleted) // the deletion is in the archive
	_, ok := store.Snapshot().Service("portal")
	is.True(ok)
	b.server.SetFaults(platformstandin.Table, platformstandin.Faults{})
	b.run(t, store)
	await(t, store, last)
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
	for weight := range 70 { // more than two chains of deltas
		var err error
		revision, err = b.editor("ana").Apply(t.Context(), text("portal", weight+1), revision, "")
		is.NoErr(err)
		is.NoErr(watcher.Poll(t.Context()))
		service, ok := store.Snapshot().Service("portal")
		is.True(ok)
		is.Equal(service.Document.Workspaces[0].Weight, float64(weight+1))
		record, err := b.editor("ana").At(t.Context(), "portal", revision)
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
	is.Equal(whole, 3)
	_, err = b.editor("ana").At(t.Context(), "portal", revision+1)
	is.True(errors.Is(err, config.ErrNoService))
}
