package config_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/savorystall/savorystall/test/fixedseed" // the same verdict each run

	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	platformstandin "github.com/savorystall/savorystall/internal/standin/platform"
)

const (
	machineDaemons  = 3
	machineServices = 3
)

// daemon is one daemon of the machine, and the highest revision of each
// service that this incarnation had in force.
type daemon struct {
	store   *config.Store
	highest map[ident.Service]uint64
}

func newDaemon() *daemon {
	return &daemon{store: config.NewStore(), highest: map[ident.Service]uint64{}}
}

// machine is a fleet with its platform and the messages between daemons.
type machine struct {
	server  *platformstandin.Server
	client  *platform.Client
	daemons []*daemon
	// seen is what operators last saw of a service; it may be outdated.
	seen map[ident.Service]uint64
	// accepted holds the weight that each accepted revision carries; a deletion
	// has none.
	accepted map[uint64]int
	// changed holds the service that each accepted revision changed.
	changed map[uint64]ident.Service
	// messages are entries on their way between daemons.
	messages []message
	weight   int
}

// message is what a peer has in force.
type message struct {
	entries []config.Entry
	head    uint64
}

func newMachine() *machine {
	server := platformstandin.New(platformstandin.Config{})
	m := &machine{
		server:   server,
		client:   directClient(server),
		seen:     map[ident.Service]uint64{},
		accepted: map[uint64]int{},
		changed:  map[uint64]ident.Service{},
	}
	for range machineDaemons {
		m.daemons = append(m.daemons, newDaemon())
	}
	return m
}

func (m *machine) editor() *config.Editor { return &config.Editor{Table: m.client, Author: "op"} }

func (m *machine) faults(f platformstandin.Faults) { m.server.SetFaults(platformstandin.Table, f) }

func drawService(t *rapid.T) ident.Service {
	return ident.Service(fmt.Sprintf("s%d", rapid.IntRange(1, machineServices).Draw(t, "service")))
}

func (m *machine) drawDaemon(t *rapid.T) *daemon {
	return m.daemons[rapid.IntRange(0, machineDaemons-1).Draw(t, "daemon")]
}

func (m *machine) look(t *rapid.T) {
	service := drawService(t)
	record, err := m.editor().Get(t.Context(), service)
	if errors.Is(err, config.ErrNoService) || record.Deleted {
		m.seen[service] = 0
		return
	}
	m.check(t, err)
	m.seen[service] = record.Revision
}

func (m *machine) check(t *rapid.T, err error) {
	if err != nil {
		t.Fatal(err)
	}
}

func (m *machine) apply(t *rapid.T) {
	service := drawService(t)
	m.weight++
	m.loseSome(t)
	revision, err := m.editor().Apply(t.Context(), text(string(service), m.weight), m.seen[service], "")
	m.note(t, service, revision, m.weight, err)
}

func (m *machine) remove(t *rapid.T) {
	service := drawService(t)
	m.loseSome(t)
	revision, err := m.editor().Delete(t.Context(), service, m.seen[service], "")
	m.note(t, service, revision, 0, err)
	if err == nil {
		m.seen[service] = 0
	}
}

func (m *machine) loseSome(t *rapid.T) {
	m.faults(platformstandin.Faults{LoseAnswers: rapid.IntRange(0, 2).Draw(t, "lost")})
}

func (m *machine) note(t *rapid.T, service ident.Service, revision uint64, weight int, err error) {
	m.faults(platformstandin.Faults{})
	var conflict *config.EditConflict
	if errors.As(err, &conflict) || errors.Is(err, config.ErrNoService) {
		return
	}
	m.check(t, err)
	if _, twice := m.accepted[revision]; twice {
		t.Fatalf("revision %d was given twice", revision)
	}
	m.accepted[revision] = weight
	m.changed[revision] = service
	m.seen[service] = revision
}

// staleTable draws for each single read how old the state is that it sees.
type staleTable struct {
	platform.Table
	m *machine
	t *rapid.T
}

func (s staleTable) age() {
	s.m.faults(platformstandin.Faults{StaleBy: rapid.Uint64Range(0, 4).Draw(s.t, "stale")})
}

func (s staleTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	s.age()
	return s.Table.Get(ctx, keys...)
}

func (s staleTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	s.age()
	return s.Table.Scan(ctx, prefix, after, limit)
}

func (m *machine) poll(t *rapid.T) {
	d := m.drawDaemon(t)
	table := staleTable{Table: m.client, m: m, t: t}
	watcher := config.NewWatcher(config.WatcherConfig{Table: table, Store: d.store, Logger: quiet})
	m.check(t, watcher.Poll(t.Context()))
	m.faults(platformstandin.Faults{})
}

func (m *machine) send(t *rapid.T) {
	entries, head := m.drawDaemon(t).store.Since(0)
	m.messages = append(m.messages, message{entries: entries, head: head})
}

func (m *machine) receive(t *rapid.T) {
	if len(m.messages) == 0 {
		t.Skip("no message is on its way")
	}
	i := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
	_, err := m.drawDaemon(t).store.CatchUp(m.messages[i].entries, m.messages[i].head)
	m.check(t, err)
	if rapid.Bool().Draw(t, "last copy") {
		m.messages = append(m.messages[:i], m.messages[i+1:]...)
	}
}

func (m *machine) archive(t *rapid.T) {
	archiver := config.NewArchiver(config.ArchiverConfig{
		Table: m.client, Objects: m.client, Store: m.drawDaemon(t).store, Period: 1,
	})
	_, err := archiver.Archive(t.Context())
	m.check(t, err)
}

func (m *machine) restart(t *rapid.T) {
	d := newDaemon()
	m.daemons[rapid.IntRange(0, machineDaemons-1).Draw(t, "daemon")] = d
	if rapid.Bool().Draw(t, "from the archive") {
		m.check(t, config.LoadArchive(t.Context(), m.client, d.store))
	}
}

// hold checks every daemon: nothing has gone back, nothing up to its head is
// missing, and what is in force is what was accepted under its revision.
func (m *machine) hold(t *rapid.T) {
	for _, d := range m.daemons {
		for revision, service := range m.changed {
			if revision <= d.store.Head() && d.store.Revisions()[service] < revision {
				t.Fatalf("head is %d, but %s lacks revision %d", d.store.Head(), service, revision)
			}
		}
		for service, revision := range d.store.Revisions() {
			if revision < d.highest[service] {
				t.Fatalf("%s went back from %d to %d", service, d.highest[service], revision)
			}
			d.highest[service] = revision
		}
		for _, service := range d.store.Snapshot().Services() {
			got := int(service.Document.Workspaces[0].Weight)
			if want := m.accepted[service.Revision]; got != want {
				t.Fatalf("revision %d holds weight %d, accepted was %d", service.Revision, got, want)
			}
		}
	}
}

// converge polls every daemon without faults. All must then hold the same
// entries, the highest accepted ones.
func (m *machine) converge(t *rapid.T) {
	want := map[ident.Service]uint64{}
	records, err := m.editor().List(t.Context())
	m.check(t, err)
	for _, r := range records {
		want[r.Service] = r.Revision
	}
	for i, d := range m.daemons {
		watcher := config.NewWatcher(config.WatcherConfig{Table: m.client, Store: d.store, Logger: quiet})
		m.check(t, watcher.Poll(t.Context()))
		if got := d.store.Revisions(); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("daemon %d holds %v, the table %v", i, got, want)
		}
		if int(d.store.Head()) != len(m.accepted) {
			t.Fatalf("daemon %d is at %d of %d", i, d.store.Head(), len(m.accepted))
		}
	}
	m.hold(t)
}

// Operators race on a few services while answers to their writes are lost.
// Daemons read a table that returns stale rows, hear from each other late, out
// of order and several times, and restart with nothing or from an old archive.
// No service may go back to an earlier document or come back after its end,
// every accepted change must have a revision of its own, and in the end all
// daemons must hold the last one.
func TestRevisionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"operator looks":   m.look,
			"operator applies": m.apply,
			"operator deletes": m.remove,
			"daemon polls":     m.poll,
			"daemon sends":     m.send,
			"daemon receives":  m.receive,
			"daemon archives":  m.archive,
			"daemon restarts":  m.restart,
			"":                 m.hold,
		})
		m.converge(t)
	})
}
