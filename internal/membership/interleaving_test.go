package membership_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
	_ "github.com/savorystall/savorystall/test/fixedseed" // the same verdict each run
)

// model is a few daemons and what is on its way between them. Everything that a
// network and an operator can do is a step of rapid's choice.
type model struct {
	t   *rapid.T
	now time.Time
	ids []ident.Daemon
	// watchAll is the size up to which each watches all others.
	watchAll int
	tables   map[ident.Daemon]*membership.Table
	// incarnation is the true one of each daemon.
	incarnation map[ident.Daemon]uint64
	// believed is the highest incarnation that one daemon held of another.
	believed map[[2]ident.Daemon]uint64
	cut      map[[2]ident.Daemon]bool
	flight   []flying
}

// flying is a hello or a heartbeat on its way, which may be late.
type flying struct {
	from, to    ident.Daemon
	incarnation uint64
	hello       bool
}

// shortRest lets settle reach the end of a rest. The model is harder than any
// stream: a hello may reach the successor of the daemon that it was sent to, and
// both then let a link rest that one of them believes to be of an older
// incarnation. Only the end of the rest finds that.
const shortRest = 10 * time.Second

func newModel(t *rapid.T, watchAll int, ids []ident.Daemon) *model {
	m := &model{
		t: t, now: start, ids: ids, watchAll: watchAll,
		tables:      map[ident.Daemon]*membership.Table{},
		incarnation: map[ident.Daemon]uint64{},
		believed:    map[[2]ident.Daemon]uint64{},
		cut:         map[[2]ident.Daemon]bool{},
	}
	for _, id := range m.ids {
		m.boot(id)
	}
	return m
}

func (m *model) boot(id ident.Daemon) {
	m.incarnation[id]++
	m.tables[id] = membership.New(membership.Config{
		Self: id, Zone: "hall-a", WatchAll: m.watchAll, RestAfter: shortRest,
	}, rand.New(rand.NewPCG(1, 2)))
	m.tables[id].SetList(m.now, listed(m.ids...))
	for _, other := range m.ids {
		delete(m.believed, [2]ident.Daemon{id, other})
	}
}

func (m *model) daemon(label string) ident.Daemon { return rapid.SampledFrom(m.ids).Draw(m.t, label) }

func (m *model) pair() (from, to ident.Daemon, ok bool) {
	from, to = m.daemon("from"), m.daemon("to")
	return from, to, from != to
}

// dial lets a daemon dial whom it wants to; the hello may arrive late or never.
func (m *model) dial(id ident.Daemon) {
	for _, d := range m.tables[id].Dials(m.now, 10) {
		if m.cut[[2]ident.Daemon{id, d.ID}] || m.cut[[2]ident.Daemon{d.ID, id}] {
			m.tables[id].DialFailed(m.now, d.ID)
			continue
		}
		m.flight = append(m.flight,
			flying{id, d.ID, m.incarnation[id], true}, flying{d.ID, id, m.incarnation[d.ID], true})
	}
}

func (m *model) deliver(f flying) {
	table := m.tables[f.to]
	if f.hello {
		if !table.LinkUp(m.now, sighting(f.from, f.incarnation)) {
			table.DialFailed(m.now, f.from)
		} else if f.incarnation < m.believed[[2]ident.Daemon{f.to, f.from}] {
			m.t.Fatalf("%s took a link of the old incarnation %d of %s", f.to, f.incarnation, f.from)
		}
		return
	}
	table.Heard(m.now, f.from, f.incarnation)
}

func (m *model) step(d time.Duration) {
	m.now = m.now.Add(d)
	for _, id := range m.ids {
		m.tables[id].Tick(m.now)
		for _, silent := range m.tables[id].Silent(m.now) {
			m.tables[id].LinkLost(m.now, silent)
		}
		m.dial(id)
	}
}

// check: nobody believes in an incarnation that never was, nor goes back.
func (m *model) check(t *rapid.T) {
	for _, id := range m.ids {
		for _, member := range m.tables[id].Members() {
			key := [2]ident.Daemon{id, member.ID}
			if member.Incarnation > m.incarnation[member.ID] {
				t.Fatalf("%s believes in incarnation %d of %s", id, member.Incarnation, member.ID)
			}
			if member.Incarnation < m.believed[key] {
				t.Fatalf("%s went back to incarnation %d of %s", id, member.Incarnation, member.ID)
			}
			m.believed[key] = member.Incarnation
		}
	}
}

// settle ends all faults, drops what is on its way and lets time pass.
func (m *model) settle() {
	m.flight, m.cut = nil, map[[2]ident.Daemon]bool{}
	for _, id := range m.ids {
		for _, other := range m.ids {
			m.tables[id].DialFailed(m.now, other) // dials whose hello was lost time out
		}
	}
	for range 150 {
		m.step(200 * time.Millisecond)
		arriving := m.flight
		m.flight = nil
		for _, f := range arriving {
			m.deliver(f)
		}
		for _, from := range m.ids {
			for _, to := range m.ids {
				if m.tables[to].Watched(from) {
					m.deliver(flying{from: from, to: to, incarnation: m.incarnation[from]})
				}
			}
		}
	}
}

// Daemons restart without state, links are cut and lose or delay what is on its
// way, also across a restart. Users see requests stuck when two daemons disagree
// for good on who is live, or when grants of a dead incarnation are believed.
func TestAnyInterleavingConverges(t *testing.T) {
	exploreInterleavings(t, membership.DefaultWatchAll, []ident.Daemon{"a", "b", "c"})
}

// The same where daemons watch few, and reports about others, old or wrong ones
// among them, come at any time.
func TestAnyInterleavingConvergesWhereFewAreWatched(t *testing.T) {
	exploreInterleavings(t, 1, []ident.Daemon{"a", "b", "c", "d", "e", "f", "g", "h"})
}

func exploreInterleavings(t *testing.T, watchAll int, ids []ident.Daemon) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, watchAll, ids)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"time passes": func(t *rapid.T) {
				m.step(time.Duration(rapid.IntRange(50, 1400).Draw(t, "ms")) * time.Millisecond)
			},
			"heartbeat": func(t *rapid.T) {
				if from, to, ok := m.pair(); ok {
					m.flight = append(m.flight, flying{from: from, to: to, incarnation: m.incarnation[from]})
				}
			},
			"arrival": func(t *rapid.T) {
				if len(m.flight) == 0 {
					t.Skip("nothing is on its way")
				}
				i := rapid.IntRange(0, len(m.flight)-1).Draw(t, "which")
				f := m.flight[i]
				m.flight = append(m.flight[:i:i], m.flight[i+1:]...)
				if !m.cut[[2]ident.Daemon{f.from, f.to}] {
					m.deliver(f)
				}
			},
			"restart": func(t *rapid.T) { m.boot(m.daemon("restarted")) },
			"link lost": func(t *rapid.T) {
				if from, to, ok := m.pair(); ok {
					m.tables[to].LinkLost(m.now, from)
				}
			},
			"cut or heal": func(t *rapid.T) {
				if from, to, ok := m.pair(); ok {
					key := [2]ident.Daemon{from, to}
					m.cut[key] = !m.cut[key]
				}
			},
			"report": func(t *rapid.T) {
				if about, to, ok := m.pair(); ok {
					incarnation := rapid.Uint64Range(1, m.incarnation[about]).Draw(t, "incarnation")
					m.tables[to].Reported(m.now, membership.Report{ID: about, Incarnation: incarnation})
				}
			},
			"something sent": func(*rapid.T) {
				if from, to, ok := m.pair(); ok {
					m.tables[from].Used(m.now, to)
				}
			},
			"leaving": func(t *rapid.T) {
				if from, to, ok := m.pair(); ok {
					m.tables[to].Announced(from, rapid.Uint64Range(1, m.incarnation[from]).Draw(t, "incarnation"))
				}
			},
		})
		m.settle()
		for _, id := range m.ids {
			members := m.tables[id].Members()
			if len(members) != len(m.ids)-1 {
				t.Fatalf("%s knows %v", id, members)
			}
			for _, member := range members {
				if member.Incarnation != m.incarnation[member.ID] {
					t.Fatalf("%s holds incarnation %d of %s, not %d", id, member.Incarnation, member.ID, m.incarnation[member.ID])
				}
			}
		}
	})
}
