// Package membership decides which daemons of the fleet are live, and which of
// them owns a target. It has no network: time and randomness are arguments.
//
// Load pattern it answers: at a planned size of 360 daemons about 200 are
// replaced on an ordinary day, now and then a whole zone is cut off, and the
// platform's VM list lags behind all of it. The list alone would keep grants
// flowing to dead daemons and pass over new ones; heartbeats alone would not
// find the first peer, and would take a cut zone for a stop of all its daemons
// for good. So the list says whom to look for, and heartbeats say who is there:
// a daemon that the list no longer holds stays live while it is heard.
//
// After a partition both sides look for each other at the same moment. Dials
// back off with jitter, up to BackoffCap, so that a node that found n peers
// gone makes about n/BackoffCap dials a second, and not all at once.
//
// A heartbeat a second is what the budget of control traffic allows; three missed in a row are rare on links that lose one packet
// in a hundred (one in a million), which is when the link is replaced; a
// replacement takes up to three more, after which the peer is dead.
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
	heard     chart.Trigger = "heard"
	silent    chart.Trigger = "silent"
	leaves    chart.Trigger = "leaves"
	stays     chart.Trigger = "stays"
	restarted chart.Trigger = "restarted"
	expired   chart.Trigger = "expired"
	forgotten chart.Trigger = "forgotten"
)

// Defaults of Config.
const (
	DefaultSuspectAfter = 3 * time.Second
	DefaultDeadAfter    = 6 * time.Second
	DefaultBackoffBase  = 200 * time.Millisecond
	DefaultBackoffCap   = 10 * time.Second
	DefaultGrace        = 2 * time.Second
	DefaultForgetAfter  = 24 * time.Hour
	DefaultWatchAll     = 18
	DefaultUseFor       = 10 * time.Second
	DefaultRestAfter    = 6 * time.Minute
	// unlistedDials is how long a daemon that the list lacks is dialled after
	// it was last heard: the list may hold it again soon.
	unlistedDials = 2 * time.Minute
)

// Config is the fixed part of a table.
type Config struct {
	// Self is the daemon that holds the table; it is not in it. Zone is its own.
	Self ident.Daemon
	Zone ident.Zone
	// SuspectAfter is the silence that makes a member suspect. Default: 3 s.
	SuspectAfter time.Duration
	// DeadAfter is the silence that makes a member dead. Default: 6 s.
	DeadAfter time.Duration
	// BackoffBase and BackoffCap bound the mean wait between two dials of a
	// member. Defaults: 200 ms, 10 s.
	BackoffBase, BackoffCap time.Duration
	// Grace is how long the daemon with the greater name leaves the first dial
	// to the other one. Default: 2 s.
	Grace time.Duration
	// ForgetAfter is how long a dead member's incarnation is remembered once
	// the list lacks it. Default: 24 h.
	ForgetAfter time.Duration
	// WatchAll is the size of the fleet, this daemon included, up to which it
	// watches all others. Default: 18.
	WatchAll int
	// UseFor is how long a daemon is watched after it was last sent something.
	// Default: 10 s.
	UseFor time.Duration
	// RestAfter is the silence of a resting link that makes the table look at
	// the daemon. Default: 6 min.
	RestAfter time.Duration
}

func (c Config) complete() Config {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.SuspectAfter, DefaultSuspectAfter},
		{&c.DeadAfter, DefaultDeadAfter},
		{&c.BackoffBase, DefaultBackoffBase},
		{&c.BackoffCap, DefaultBackoffCap},
		{&c.Grace, DefaultGrace},
		{&c.ForgetAfter, DefaultForgetAfter},
		{&c.UseFor, DefaultUseFor},
		{&c.RestAfter, DefaultRestAfter},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	c.WatchAll = cmp.Or(c.WatchAll, DefaultWatchAll)
	return c
}

// ListedVM is what the platform's list says of one daemon.
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

// Sighting is what a daemon says of itself when a link opens.
type Sighting struct {
	ID          ident.Daemon
	Incarnation uint64
	Zone        ident.Zone
	Address     string
}

// Dial asks for a new link.
type Dial struct {
	ID      ident.Daemon
	Address string
}

// entry is one daemon of the table.
type entry struct {
	machine     *chart.Machine
	id          ident.Daemon
	zone        ident.Zone
	address     string
	incarnation uint64
	// announced is the incarnation that said it is leaving.
	announced   uint64
	lastHeard   time.Time
	listed      bool
	listLeaving bool
	linked      bool
	dialling    bool
	nextDial    time.Time
	failures    int
	watch
}

// Table holds the other daemons of the fleet. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	chart   *chart.Chart
	random  *rand.Rand
	entries map[ident.Daemon]*entry
	version uint64
	ticked  time.Time
	few     fewState
}

var lifeChart = chart.MustParse(charts.Member,
	[]chart.State{Listed, Live, Suspect, Leaving, Dead, Forgotten},
	[]chart.Trigger{heard, silent, leaves, stays, restarted, expired, forgotten},
)

// New returns an empty table. Random spreads the dials.
func New(cfg Config, random *rand.Rand) *Table {
	return &Table{cfg: cfg.complete(), chart: lifeChart, random: random, entries: map[ident.Daemon]*entry{}}
}

// Version changes whenever Members may have changed.
func (t *Table) Version() uint64 { return t.version }

// Members returns who is live, suspect or leaving, by name.
func (t *Table) Members() []Member {
	var members []Member
	for _, e := range t.entries {
		switch e.machine.State() {
		case Live, Suspect, Leaving:
			members = append(members, Member{
				ID: e.id, Zone: e.zone, Incarnation: e.incarnation,
				Leaving: e.machine.State() == Leaving,
			})
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// State returns the state of a daemon; it is Forgotten where the table has none.
func (t *Table) State(id ident.Daemon) chart.State {
	if e, ok := t.entries[id]; ok {
		return e.machine.State()
	}
	return Forgotten
}

// Address returns where a daemon listens.
func (t *Table) Address(id ident.Daemon) (string, bool) {
	e, ok := t.entries[id]
	if !ok || e.address == "" {
		return "", false
	}
	return e.address, true
}

// fire follows a trigger where the state accepts it.
func (t *Table) fire(e *entry, on chart.Trigger) {
	if !e.machine.Accepts(on) {
		return
	}
	before := e.machine.State()
	after, err := e.machine.Fire(on)
	if err == nil && (after != before || on == restarted) {
		t.version++
	}
}

func (t *Table) entry(id ident.Daemon, now time.Time) *entry {
	e, ok := t.entries[id]
	if !ok {
		e = &entry{machine: t.chart.New(), id: id, nextDial: now, watch: watch{watched: true, met: now}}
		if id < t.cfg.Self {
			e.nextDial = now.Add(t.cfg.Grace)
		}
		t.entries[id] = e
	}
	return e
}

// SetList takes the platform's list in, which may be out of date. It adds whom
// to look for and who should leave; it never ends the life of a daemon that is
// still heard.
func (t *Table) SetList(now time.Time, list []ListedVM) {
	for _, e := range t.entries {
		e.listed, e.listLeaving = false, false
	}
	for _, vm := range list {
		if vm.ID == t.cfg.Self {
			continue
		}
		e := t.entry(vm.ID, now)
		if e.incarnation == 0 {
			e.zone = vm.Zone
		}
		if e.address != vm.Address {
			e.address, e.failures = vm.Address, 0
		}
		e.listed, e.listLeaving = true, vm.Leaving
	}
	for _, e := range t.entries {
		t.settleLeaving(e)
	}
	t.few.chosen = time.Time{}
	t.forget(now)
}

// settleLeaving joins the list's word with the daemon's own.
func (t *Table) settleLeaving(e *entry) {
	switch e.machine.State() {
	case Live, Suspect:
		if e.leaves() {
			t.fire(e, leaves)
		}
	case Leaving:
		if !e.leaves() {
			t.fire(e, stays)
		}
	}
}

// leaves tells whether the daemon or the list says that it is leaving. What an
// older incarnation announced doesn't bind the present one.
func (e *entry) leaves() bool {
	return e.listLeaving || e.incarnation != 0 && e.announced == e.incarnation
}

// LinkUp takes in that a link to a daemon opened. It returns false where the
// sighting is of an older incarnation than one already known: a process that
// was paused or cut off while its successor started.
func (t *Table) LinkUp(now time.Time, s Sighting) bool {
	if s.ID == t.cfg.Self || s.Incarnation == 0 {
		return false
	}
	e := t.entry(s.ID, now)
	if s.Incarnation < e.incarnation {
		return false
	}
	if s.Zone != e.zone {
		t.version++
	}
	if s.Address != "" && !e.listed {
		e.address = s.Address
	}
	e.zone, e.linked, e.dialling, e.failures = s.Zone, true, false, 0
	if s.Incarnation > e.incarnation {
		again := e.incarnation != 0
		e.incarnation = s.Incarnation
		if again {
			t.fire(e, restarted)
		}
	}
	t.heard(now, e)
	return true
}

// Heard takes in a sign of life over a link. It returns false where it is of
// an older incarnation.
func (t *Table) Heard(now time.Time, id ident.Daemon, incarnation uint64) bool {
	e, ok := t.entries[id]
	if !ok || incarnation != e.incarnation {
		return false
	}
	t.heard(now, e)
	return true
}

func (t *Table) heard(now time.Time, e *entry) {
	e.lastHeard, e.reported = now, false
	t.fire(e, heard)
	t.settleLeaving(e)
}

// Announced takes in that a daemon says its planned stop has begun.
func (t *Table) Announced(id ident.Daemon, incarnation uint64) {
	e, ok := t.entries[id]
	if !ok || incarnation != e.incarnation {
		return
	}
	e.announced = incarnation
	t.settleLeaving(e)
}

// LinkLost takes in that the link to a daemon ended; the next dial is due at
// once, or after the grace where the other one dials first.
func (t *Table) LinkLost(now time.Time, id ident.Daemon) {
	e, ok := t.entries[id]
	if !ok {
		return
	}
	e.linked = false
	e.nextDial = now.Add(t.jitter(t.cfg.BackoffBase))
	if id < t.cfg.Self {
		e.nextDial = e.nextDial.Add(t.cfg.Grace)
	}
}
