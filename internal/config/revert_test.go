package config_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/savorystall/savorystall/test/fixedseed" // makes runs reproducible

	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	platformstandin "github.com/savorystall/savorystall/internal/standin/platform"
)

const (
	daemonCount  = 3
	serviceCount = 3
)

// daemon is one simulated daemon. It tracks the highest revision of each service
// that was active in the current incarnation.
type daemon struct {
	store           *config.Store
	highestRevision map[ident.Service]uint64
}

func newDaemon() *daemon {
	return &daemon{store: config.NewStore(), highestRevision: map[ident.Service]uint64{}}
}

// stateMachine models a fleet with its platform and the messages between daemons.
type stateMachine struct {
	server  *platformstandin.Server
	client  *platform.Client
	daemons []*daemon
	// lastRead holds the revision of each service that operators last read; it
	// may be outdated.
	lastRead map[ident.Service]uint64
	// acceptedWeight maps each accepted revision to the weight in its document;
	// zero for a deletion.
	acceptedWeight map[uint64]int
	// changedService maps each accepted revision to the service it changed.
	changedService map[uint64]ident.Service
	// messages are messages in transit between daemons.
	messages []message
	weight   int
}

// message holds the active entries and the head of a peer.
type message struct {
	entries []config.Entry
	head    uint64
}

func newStateMachine() *stateMachine {
	server := platformstandin.New(platformstandin.Config{})
	m := &stateMachine{
		server:         server,
		client:         newInProcessClient(server),
		lastRead:       map[ident.Service]uint64{},
		acceptedWeight: map[uint64]int{},
		changedService: map[uint64]ident.Service{},
	}
	for range daemonCount {
		m.daemons = append(m.daemons, newDaemon())
	}
	return m
}

func (m *stateMachine) editor() *config.Editor { return &config.Editor{Table: m.client, Author: "op"} }

func (m *stateMachine) setFaults(f platformstandin.Faults) {
	m.server.SetFaults(platformstandin.Table, f)
}

func drawService(t *rapid.T) ident.Service {
	return ident.Service(fmt.Sprintf("s%d", rapid.IntRange(1, serviceCount).Draw(t, "service")))
}

func (m *stateMachine) drawDaemon(t *rapid.T) *daemon {
	return m.daemons[rapid.IntRange(0, daemonCount-1).Draw(t, "daemon")]
}

func (m *stateMachine) readRecord(t *rapid.T) {
	service := drawService(t)
	record, err := m.editor().Get(t.Context(), service)
	if errors.Is(err, config.ErrNotFound) || record.Deleted {
		m.lastRead[service] = 0
		return
	}
	m.requireNoError(t, err)
	m.lastRead[service] = record.Revision
}

func (m *stateMachine) requireNoError(t *rapid.T, err error) {
	if err != nil {
		t.Fatal(err)
	}
}

func (m *stateMachine) applyDocument(t *rapid.T) {
	service := drawService(t)
	m.weight++
	m.injectLostResponses(t)
	revision, err := m.editor().Apply(t.Context(), plainDocument(string(service), m.weight), m.lastRead[service], "")
	m.recordResult(t, service, revision, m.weight, err)
}

func (m *stateMachine) deleteService(t *rapid.T) {
	service := drawService(t)
	m.injectLostResponses(t)
	revision, err := m.editor().Delete(t.Context(), service, m.lastRead[service], "")
	m.recordResult(t, service, revision, 0, err)
	if err == nil {
		m.lastRead[service] = 0
	}
}

func (m *stateMachine) injectLostResponses(t *rapid.T) {
	m.setFaults(platformstandin.Faults{LostResponses: rapid.IntRange(0, 2).Draw(t, "lost")})
}

func (m *stateMachine) recordResult(t *rapid.T, service ident.Service, revision uint64, weight int, err error) {
	m.setFaults(platformstandin.Faults{})
	var conflict *config.EditConflict
	if errors.As(err, &conflict) || errors.Is(err, config.ErrNotFound) {
		return
	}
	m.requireNoError(t, err)
	if _, duplicate := m.acceptedWeight[revision]; duplicate {
		t.Fatalf("revision %d was assigned twice", revision)
	}
	m.acceptedWeight[revision] = weight
	m.changedService[revision] = service
	m.lastRead[service] = revision
}

// staleTable draws for each read how stale the state that it returns is.
type staleTable struct {
	platform.Table
	m *stateMachine
	t *rapid.T
}

func (s staleTable) drawStaleness() {
	s.m.setFaults(platformstandin.Faults{StaleCommits: rapid.Uint64Range(0, 4).Draw(s.t, "stale")})
}

func (s staleTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	s.drawStaleness()
	return s.Table.Get(ctx, keys...)
}

func (s staleTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	s.drawStaleness()
	return s.Table.Scan(ctx, prefix, after, limit)
}

func (m *stateMachine) pollDaemon(t *rapid.T) {
	d := m.drawDaemon(t)
	table := staleTable{Table: m.client, m: m, t: t}
	watcher := config.NewWatcher(config.WatcherConfig{Table: table, Store: d.store, Logger: discardLogger})
	m.requireNoError(t, watcher.Poll(t.Context()))
	m.setFaults(platformstandin.Faults{})
}

func (m *stateMachine) sendEntries(t *rapid.T) {
	entries, head := m.drawDaemon(t).store.EntriesAfter(0)
	m.messages = append(m.messages, message{entries: entries, head: head})
}

func (m *stateMachine) receiveEntries(t *rapid.T) {
	if len(m.messages) == 0 {
		t.Skip("no message is in transit")
	}
	i := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
	_, err := m.drawDaemon(t).store.CatchUp(m.messages[i].entries, m.messages[i].head)
	m.requireNoError(t, err)
	if rapid.Bool().Draw(t, "last copy") {
		m.messages = append(m.messages[:i], m.messages[i+1:]...)
	}
}

func (m *stateMachine) writeArchive(t *rapid.T) {
	archiver := config.NewArchiver(config.ArchiverConfig{
		Table: m.client, Objects: m.client, Store: m.drawDaemon(t).store, Period: 1,
	})
	_, err := archiver.Archive(t.Context())
	m.requireNoError(t, err)
}

func (m *stateMachine) restartDaemon(t *rapid.T) {
	d := newDaemon()
	m.daemons[rapid.IntRange(0, daemonCount-1).Draw(t, "daemon")] = d
	if rapid.Bool().Draw(t, "from the archive") {
		m.requireNoError(t, config.LoadArchive(t.Context(), m.client, d.store))
	}
}

// checkInvariants checks on every daemon that no service reverted to an older
// revision, that no change up to its head is missing, and that each active
// document is the one accepted at its revision.
func (m *stateMachine) checkInvariants(t *rapid.T) {
	for _, d := range m.daemons {
		for revision, service := range m.changedService {
			if revision <= d.store.Head() && d.store.Revisions()[service] < revision {
				t.Fatalf("head is %d, but %s lacks revision %d", d.store.Head(), service, revision)
			}
		}
		for service, revision := range d.store.Revisions() {
			if revision < d.highestRevision[service] {
				t.Fatalf("%s reverted from revision %d to %d", service, d.highestRevision[service], revision)
			}
			d.highestRevision[service] = revision
		}
		for _, service := range d.store.Snapshot().Services() {
			got := int(service.Document.Workspaces[0].Weight)
			if want := m.acceptedWeight[service.Revision]; got != want {
				t.Fatalf("revision %d has weight %d, but weight %d was accepted", service.Revision, got, want)
			}
		}
	}
}

// converge polls on every daemon without faults. Afterwards all daemons must have
// the latest accepted revision of every service.
func (m *stateMachine) converge(t *rapid.T) {
	want := map[ident.Service]uint64{}
	records, err := m.editor().List(t.Context())
	m.requireNoError(t, err)
	for _, r := range records {
		want[r.Service] = r.Revision
	}
	for i, d := range m.daemons {
		watcher := config.NewWatcher(config.WatcherConfig{Table: m.client, Store: d.store, Logger: discardLogger})
		m.requireNoError(t, watcher.Poll(t.Context()))
		if got := d.store.Revisions(); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("daemon %d has revisions %v, the table has %v", i, got, want)
		}
		if int(d.store.Head()) != len(m.acceptedWeight) {
			t.Fatalf("daemon %d has head %d, want %d", i, d.store.Head(), len(m.acceptedWeight))
		}
	}
	m.checkInvariants(t)
}

// Operators concurrently change a few services while responses to their writes
// are lost. Daemons read a table that returns stale rows, receive messages from
// peers late, out of order and repeatedly, and restart without state or from an
// old archive. No service may revert to an earlier document or reappear after its
// deletion, every accepted change must have its own revision, and in the end all
// daemons must have the latest revisions.
func TestRevisionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine()
		t.Repeat(map[string]func(*rapid.T){
			"operator reads":   m.readRecord,
			"operator applies": m.applyDocument,
			"operator deletes": m.deleteService,
			"daemon polls":     m.pollDaemon,
			"daemon sends":     m.sendEntries,
			"daemon receives":  m.receiveEntries,
			"daemon archives":  m.writeArchive,
			"daemon restarts":  m.restartDaemon,
			"":                 m.checkInvariants,
		})
		m.converge(t)
	})
}
