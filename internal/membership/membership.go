// Package membership determines which daemons of the fleet are live and which
// of them owns a target. It does no I/O: time and randomness are arguments.
//
// The load pattern it addresses: at a planned size of 360 daemons about 200 are
// replaced on an ordinary day, occasionally a whole availability zone is
// partitioned, and the platform's VM list lags behind all of it. The list alone
// would keep sending grants to dead daemons and miss new ones. Heartbeats alone
// could not discover the first peer, and would treat a partitioned zone as the
// permanent stop of all its daemons. The list is therefore used for discovery
// and heartbeats for liveness: a daemon that is no longer in the list stays
// live as long as its heartbeats arrive.
//
// After a partition both sides try to reconnect at the same time. Dials back
// off with jitter, up to BackoffCap, so that a daemon that lost n peers makes
// about n/BackoffCap dials per second instead of all of them at once.
//
// The budget for control traffic allows one heartbeat per second. Three
// consecutive losses are rare (one in a million) on links that lose one packet
// in a hundred; after three the link is replaced. The replacement takes up to
// three more heartbeat intervals, after which the peer is dead.
package membership

import (
	"cmp"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/savorystall/savorystall/charts"
	"github.com/savorystall/savorystall/internal/chart"
	"github.com/savorystall/savorystall/internal/ident"
)

// States of charts/member.yaml.
const (
	Listed    chart.State = "listed"
	Live      chart.State = "live"
	Suspect   chart.State = "suspect"
	Leaving   chart.State = "leaving"
	Dead      chart.State = "dead"
	Forgotten chart.State = "forgotten"
)

// Triggers of charts/member.yaml.
const (
	triggerHeard     chart.Trigger = "heard"
	triggerSilent    chart.Trigger = "silent"
	triggerLeaves    chart.Trigger = "leaves"
	triggerStays     chart.Trigger = "stays"
	triggerRestarted chart.Trigger = "restarted"
	triggerExpired   chart.Trigger = "expired"
	triggerForgotten chart.Trigger = "forgotten"
)

// Defaults of Config.
const (
	DefaultSuspectAfter  = 3 * time.Second
	DefaultDeadAfter     = 6 * time.Second
	DefaultBackoffBase   = 200 * time.Millisecond
	DefaultBackoffCap    = 10 * time.Second
	DefaultDialGrace     = 2 * time.Second
	DefaultForgetAfter   = 24 * time.Hour
	DefaultWatchAllLimit = 18
	DefaultWatchAfterUse = 10 * time.Second
	DefaultProbeAfter    = 6 * time.Minute
	// unlistedDialPeriod is how long a daemon that is missing from the VM list
	// is still dialed after its last message, since it may reappear in
	// the list.
	unlistedDialPeriod = 2 * time.Minute
)

// Config configures a Table. Zero durations and limits take their defaults.
type Config struct {
	// Self is the daemon that holds the table; the table has no entry for it.
	// Zone is its availability zone.
	Self ident.Daemon
	Zone ident.Zone
	// SuspectAfter is the time without heartbeats after which a member becomes
	// suspect. Default: 3 s.
	SuspectAfter time.Duration
	// DeadAfter is the time without heartbeats after which a member is dead.
	// Default: 6 s.
	DeadAfter time.Duration
	// BackoffBase and BackoffCap bound the mean delay between two dials of a
	// member. Defaults: 200 ms, 10 s.
	BackoffBase, BackoffCap time.Duration
	// DialGrace is how long the daemon with the greater name waits for the
	// other one to dial first. Default: 2 s.
	DialGrace time.Duration
	// ForgetAfter is how long the incarnation of a dead member is kept once the
	// member is missing from the VM list. Default: 24 h.
	ForgetAfter time.Duration
	// WatchAllLimit is the size of the fleet, including this daemon, up to
	// which it watches all others. Default: 18.
	WatchAllLimit int
	// WatchAfterUse is how long a daemon is watched after a message was last
	// sent to it. Default: 10 s.
	WatchAfterUse time.Duration
	// ProbeAfter is the time without messages after which an unwatched daemon
	// is probed. Default: 6 min.
	ProbeAfter time.Duration
}

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.SuspectAfter, DefaultSuspectAfter},
		{&c.DeadAfter, DefaultDeadAfter},
		{&c.BackoffBase, DefaultBackoffBase},
		{&c.BackoffCap, DefaultBackoffCap},
		{&c.DialGrace, DefaultDialGrace},
		{&c.ForgetAfter, DefaultForgetAfter},
		{&c.WatchAfterUse, DefaultWatchAfterUse},
		{&c.ProbeAfter, DefaultProbeAfter},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	c.WatchAllLimit = cmp.Or(c.WatchAllLimit, DefaultWatchAllLimit)
	return c
}

// ListedVM is the entry of one daemon in the platform's VM list.
type ListedVM struct {
	ID      ident.Daemon
	Zone    ident.Zone
	Address string
	Leaving bool
}

// Member is a daemon that is live, suspect or leaving.
type Member struct {
	ID          ident.Daemon
	Zone        ident.Zone
	Incarnation uint64
	Leaving     bool
}

// PeerInfo is what a daemon announces about itself when a link opens.
type PeerInfo struct {
	ID          ident.Daemon
	Incarnation uint64
	Zone        ident.Zone
	Address     string
}

// Dial requests a new link to a daemon.
type Dial struct {
	ID      ident.Daemon
	Address string
}

// entry is the state of one daemon in the table.
type entry struct {
	stateMachine *chart.Machine
	id           ident.Daemon
	zone         ident.Zone
	address      string
	incarnation  uint64
	// leavingIncarnation is the incarnation that announced that it is leaving.
	leavingIncarnation uint64
	lastHeard          time.Time
	listed             bool
	listedLeaving      bool
	linked             bool
	dialing            bool
	nextDial           time.Time
	dialFailures       int
	watchState
}

// Table tracks the other daemons of the fleet. It is not safe for concurrent use.
type Table struct {
	cfg         Config
	memberChart *chart.Chart
	random      *rand.Rand
	entries     map[ident.Daemon]*entry
	version     uint64
	lastTick    time.Time
	selection   watchSelection
}

var memberChart = chart.MustParse(charts.Member,
	[]chart.State{Listed, Live, Suspect, Leaving, Dead, Forgotten},
	[]chart.Trigger{triggerHeard, triggerSilent, triggerLeaves, triggerStays, triggerRestarted, triggerExpired, triggerForgotten},
)

// New returns an empty table. The random source provides the jitter of dials.
func New(cfg Config, random *rand.Rand) *Table {
	return &Table{cfg: cfg.withDefaults(), memberChart: memberChart, random: random, entries: map[ident.Daemon]*entry{}}
}

// Version returns a number that changes whenever the result of Members or, other than by
// the passing of time, that of Unreachable may have changed.
func (t *Table) Version() uint64 { return t.version }

// Members returns the daemons that are live, suspect or leaving, sorted by name.
func (t *Table) Members() []Member {
	var members []Member
	for _, e := range t.entries {
		switch e.stateMachine.State() {
		case Live, Suspect, Leaving:
			members = append(members, Member{
				ID: e.id, Zone: e.zone, Incarnation: e.incarnation,
				Leaving: e.stateMachine.State() == Leaving,
			})
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// State returns the state of a daemon, or Forgotten if it is not in the table.
func (t *Table) State(id ident.Daemon) chart.State {
	if e, ok := t.entries[id]; ok {
		return e.stateMachine.State()
	}
	return Forgotten
}

// Address returns the address at which a daemon listens.
func (t *Table) Address(id ident.Daemon) (string, bool) {
	e, ok := t.entries[id]
	if !ok || e.address == "" {
		return "", false
	}
	return e.address, true
}

// fireIfAccepted fires a trigger if the current state accepts it.
func (t *Table) fireIfAccepted(e *entry, trigger chart.Trigger) {
	if !e.stateMachine.Accepts(trigger) {
		return
	}
	before := e.stateMachine.State()
	after, err := e.stateMachine.Fire(trigger)
	if err == nil && (after != before || trigger == triggerRestarted) {
		t.version++
	}
}

func (t *Table) getOrCreate(id ident.Daemon, now time.Time) *entry {
	e, ok := t.entries[id]
	if !ok {
		e = &entry{stateMachine: t.memberChart.New(), id: id, nextDial: now, watchState: watchState{watched: true, createdAt: now}}
		if id < t.cfg.Self {
			e.nextDial = now.Add(t.cfg.DialGrace)
		}
		t.entries[id] = e
	}
	return e
}

// SetVMList applies the platform's VM list, which may be out of date. The list
// adds daemons to connect to and marks daemons that should leave; it never
// removes a daemon whose heartbeats still arrive.
func (t *Table) SetVMList(now time.Time, list []ListedVM) {
	listed := make(map[ident.Daemon]bool, len(t.entries))
	for _, e := range t.entries {
		listed[e.id] = e.listed
		e.listed, e.listedLeaving = false, false
	}
	for _, vm := range list {
		if vm.ID == t.cfg.Self {
			continue
		}
		e := t.getOrCreate(vm.ID, now)
		if e.incarnation == 0 {
			e.zone = vm.Zone
		}
		if e.address != vm.Address {
			e.address, e.dialFailures = vm.Address, 0
		}
		e.listed, e.listedLeaving = true, vm.Leaving
	}
	for _, e := range t.entries {
		t.updateLeaving(e)
		if e.listed != listed[e.id] {
			t.version++ // Unreachable has changed
		}
	}
	t.selection.assignedAt = time.Time{}
	t.removeForgotten(now)
}

// updateLeaving derives the leaving state from the VM list and the daemon's own
// announcement.
func (t *Table) updateLeaving(e *entry) {
	switch e.stateMachine.State() {
	case Live, Suspect:
		if e.isLeaving() {
			t.fireIfAccepted(e, triggerLeaves)
		}
	case Leaving:
		if !e.isLeaving() {
			t.fireIfAccepted(e, triggerStays)
		}
	}
}

// isLeaving reports whether the daemon is leaving according to itself or to the
// VM list. An announcement by an older incarnation does not apply to the
// current one.
func (e *entry) isLeaving() bool {
	return e.listedLeaving || e.incarnation != 0 && e.leavingIncarnation == e.incarnation
}

// LinkUp records that a link to a daemon has opened. It returns false if the
// peer's incarnation is older than the one already known: the process was
// paused or partitioned while its successor started.
func (t *Table) LinkUp(now time.Time, peer PeerInfo) bool {
	if peer.ID == t.cfg.Self || peer.Incarnation == 0 {
		return false
	}
	e := t.getOrCreate(peer.ID, now)
	if peer.Incarnation < e.incarnation {
		return false
	}
	if peer.Zone != e.zone {
		t.version++
	}
	if peer.Address != "" && !e.listed {
		e.address = peer.Address
	}
	e.zone, e.linked, e.dialing, e.dialFailures = peer.Zone, true, false, 0
	if peer.Incarnation > e.incarnation {
		restart := e.incarnation != 0
		e.incarnation = peer.Incarnation
		if restart {
			t.fireIfAccepted(e, triggerRestarted)
		}
	}
	t.markAlive(now, e)
	return true
}

// FrameReceived records that a frame has arrived over a link. It returns false
// if the daemon is unknown or the frame is of another incarnation.
func (t *Table) FrameReceived(now time.Time, id ident.Daemon, incarnation uint64) bool {
	e, ok := t.entries[id]
	if !ok || incarnation != e.incarnation {
		return false
	}
	t.markAlive(now, e)
	return true
}

func (t *Table) markAlive(now time.Time, e *entry) {
	e.lastHeard, e.silenceHandled = now, false
	if e.mayActAlone {
		e.mayActAlone = false
		t.version++
	}
	t.fireIfAccepted(e, triggerHeard)
	t.updateLeaving(e)
}

// LeaveAnnounced records that a daemon has announced the start of its graceful
// shutdown.
func (t *Table) LeaveAnnounced(id ident.Daemon, incarnation uint64) {
	e, ok := t.entries[id]
	if !ok || incarnation != e.incarnation {
		return
	}
	e.leavingIncarnation = incarnation
	t.updateLeaving(e)
}

// LinkLost records that the link to a daemon has ended. The next dial is due
// after BackoffBase with jitter, and DialGrace later if the other daemon dials
// first.
func (t *Table) LinkLost(now time.Time, id ident.Daemon) {
	e, ok := t.entries[id]
	if !ok {
		return
	}
	e.linked = false
	e.nextDial = now.Add(t.jitter(t.cfg.BackoffBase))
	if id < t.cfg.Self {
		e.nextDial = e.nextDial.Add(t.cfg.DialGrace)
	}
}
