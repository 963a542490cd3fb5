package membership_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
	_ "github.com/savorystall/savorystall/test/fixedseed" // makes each run deterministic
)

// clusterModel simulates a few daemons and the messages in flight between them.
// Each step, chosen by rapid, is a possible event of the network or an operator
// action.
type clusterModel struct {
	t   *rapid.T
	now time.Time
	ids []ident.Daemon
	// watchAll is the fleet size up to which each daemon watches all others.
	watchAll int
	tables   map[ident.Daemon]*membership.Table
	// incarnation is the actual incarnation of each daemon.
	incarnation map[ident.Daemon]uint64
	// highestSeen is the highest incarnation of a daemon that another one has
	// known, by observer and observed daemon.
	highestSeen map[[2]ident.Daemon]uint64
	partitioned map[[2]ident.Daemon]bool
	inFlight    []message
}

// message is a hello or a heartbeat in flight, which may arrive late.
type message struct {
	from, to    ident.Daemon
	incarnation uint64
	hello       bool
}

// shortProbeAfter is short enough that healAndRun reaches the probe of unwatched
// daemons. The model is stricter than a real stream: a hello may reach the successor
// of the daemon that it was sent to, so that two daemons have an unwatched link
// that one of them attributes to an older incarnation. Only the probe detects that.
const shortProbeAfter = 10 * time.Second

func newModel(t *rapid.T, watchAll int, ids []ident.Daemon) *clusterModel {
	m := &clusterModel{
		t: t, now: start, ids: ids, watchAll: watchAll,
		tables:      map[ident.Daemon]*membership.Table{},
		incarnation: map[ident.Daemon]uint64{},
		highestSeen: map[[2]ident.Daemon]uint64{},
		partitioned: map[[2]ident.Daemon]bool{},
	}
	for _, id := range m.ids {
		m.restart(id)
	}
	return m
}

func (m *clusterModel) restart(id ident.Daemon) {
	m.incarnation[id]++
	m.tables[id] = membership.New(membership.Config{
		Self: id, Zone: "hall-a", WatchAllLimit: m.watchAll, ProbeAfter: shortProbeAfter,
	}, rand.New(rand.NewPCG(1, 2)))
	m.tables[id].SetVMList(m.now, vmList(m.ids...))
	for _, other := range m.ids {
		delete(m.highestSeen, [2]ident.Daemon{id, other})
	}
}

func (m *clusterModel) drawDaemon(label string) ident.Daemon {
	return rapid.SampledFrom(m.ids).Draw(m.t, label)
}

func (m *clusterModel) drawPair() (from, to ident.Daemon, ok bool) {
	from, to = m.drawDaemon("from"), m.drawDaemon("to")
	return from, to, from != to
}

// dial makes a daemon start its due dials. The hellos may arrive late or never.
func (m *clusterModel) dial(id ident.Daemon) {
	for _, d := range m.tables[id].StartDials(m.now, 10) {
		if m.partitioned[[2]ident.Daemon{id, d.ID}] || m.partitioned[[2]ident.Daemon{d.ID, id}] {
			m.tables[id].DialFailed(m.now, d.ID)
			continue
		}
		m.inFlight = append(m.inFlight,
			message{id, d.ID, m.incarnation[id], true}, message{d.ID, id, m.incarnation[d.ID], true})
	}
}

func (m *clusterModel) deliver(msg message) {
	table := m.tables[msg.to]
	if msg.hello {
		if !table.LinkUp(m.now, peerInfo(msg.from, msg.incarnation)) {
			table.DialFailed(m.now, msg.from)
		} else if msg.incarnation < m.highestSeen[[2]ident.Daemon{msg.to, msg.from}] {
			m.t.Fatalf("%s accepted a link from the old incarnation %d of %s", msg.to, msg.incarnation, msg.from)
		}
		return
	}
	table.FrameReceived(m.now, msg.from, msg.incarnation)
}

func (m *clusterModel) step(d time.Duration) {
	m.now = m.now.Add(d)
	for _, id := range m.ids {
		m.tables[id].Tick(m.now)
		for _, silent := range m.tables[id].SilentLinks(m.now) {
			m.tables[id].LinkLost(m.now, silent)
		}
		m.dial(id)
	}
}

// checkIncarnations fails the test if a daemon knows an incarnation of another
// that has never existed, or goes back to an older one.
func (m *clusterModel) checkIncarnations(t *rapid.T) {
	for _, id := range m.ids {
		for _, member := range m.tables[id].Members() {
			key := [2]ident.Daemon{id, member.ID}
			if member.Incarnation > m.incarnation[member.ID] {
				t.Fatalf("%s knows incarnation %d of %s, which has never existed", id, member.Incarnation, member.ID)
			}
			if member.Incarnation < m.highestSeen[key] {
				t.Fatalf("%s reverted to incarnation %d of %s", id, member.Incarnation, member.ID)
			}
			m.highestSeen[key] = member.Incarnation
		}
	}
}

// healAndRun ends all faults, drops the messages in flight and runs the model for
// long enough to converge.
func (m *clusterModel) healAndRun() {
	m.inFlight, m.partitioned = nil, map[[2]ident.Daemon]bool{}
	for _, id := range m.ids {
		for _, other := range m.ids {
			m.tables[id].DialFailed(m.now, other) // a dial whose hello was lost times out
		}
	}
	for range 150 {
		m.step(200 * time.Millisecond)
		arriving := m.inFlight
		m.inFlight = nil
		for _, msg := range arriving {
			m.deliver(msg)
		}
		for _, from := range m.ids {
			for _, to := range m.ids {
				if m.tables[to].Watched(from) {
					m.deliver(message{from: from, to: to, incarnation: m.incarnation[from]})
				}
			}
		}
	}
}

// Daemons restart without state, and links are partitioned and lose or delay
// messages, also across a restart. Requests would hang if two daemons permanently
// disagreed on which daemons are live, or if grants of a dead incarnation were
// accepted.
func TestAnyInterleavingConverges(t *testing.T) {
	exploreInterleavings(t, membership.DefaultWatchAllLimit, []ident.Daemon{"a", "b", "c"})
}

// The same with partial watching. Reports about other daemons, including stale and
// wrong ones, may arrive at any time.
func TestAnyInterleavingConvergesWithPartialWatching(t *testing.T) {
	exploreInterleavings(t, 1, []ident.Daemon{"a", "b", "c", "d", "e", "f", "g", "h"})
}

func exploreInterleavings(t *testing.T, watchAll int, ids []ident.Daemon) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, watchAll, ids)
		t.Repeat(map[string]func(*rapid.T){
			"": m.checkIncarnations,
			"time passes": func(t *rapid.T) {
				m.step(time.Duration(rapid.IntRange(50, 1400).Draw(t, "ms")) * time.Millisecond)
			},
			"heartbeat": func(t *rapid.T) {
				if from, to, ok := m.drawPair(); ok {
					m.inFlight = append(m.inFlight, message{from: from, to: to, incarnation: m.incarnation[from]})
				}
			},
			"arrival": func(t *rapid.T) {
				if len(m.inFlight) == 0 {
					t.Skip("no message is in flight")
				}
				i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "which")
				msg := m.inFlight[i]
				m.inFlight = append(m.inFlight[:i:i], m.inFlight[i+1:]...)
				if !m.partitioned[[2]ident.Daemon{msg.from, msg.to}] {
					m.deliver(msg)
				}
			},
			"restart": func(t *rapid.T) { m.restart(m.drawDaemon("restarted")) },
			"link lost": func(t *rapid.T) {
				if from, to, ok := m.drawPair(); ok {
					m.tables[to].LinkLost(m.now, from)
				}
			},
			"cut or heal": func(t *rapid.T) {
				if from, to, ok := m.drawPair(); ok {
					key := [2]ident.Daemon{from, to}
					m.partitioned[key] = !m.partitioned[key]
				}
			},
			"report": func(t *rapid.T) {
				if about, to, ok := m.drawPair(); ok {
					incarnation := rapid.Uint64Range(1, m.incarnation[about]).Draw(t, "incarnation")
					m.tables[to].ReportReceived(m.now, membership.Report{ID: about, Incarnation: incarnation})
				}
			},
			"something sent": func(*rapid.T) {
				if from, to, ok := m.drawPair(); ok {
					m.tables[from].MessageSent(m.now, to)
				}
			},
			"leaving": func(t *rapid.T) {
				if from, to, ok := m.drawPair(); ok {
					m.tables[to].LeaveAnnounced(from, rapid.Uint64Range(1, m.incarnation[from]).Draw(t, "incarnation"))
				}
			},
		})
		m.healAndRun()
		for _, id := range m.ids {
			members := m.tables[id].Members()
			if len(members) != len(m.ids)-1 {
				t.Fatalf("%s knows %v", id, members)
			}
			for _, member := range members {
				if member.Incarnation != m.incarnation[member.ID] {
					t.Fatalf("%s knows incarnation %d of %s, want %d", id, member.Incarnation, member.ID, m.incarnation[member.ID])
				}
			}
		}
	})
}
