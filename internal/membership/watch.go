package membership

import (
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// Watching few: in a fleet larger than Config.WatchAll a daemon judges the
// silence of few others. The rest keep their links, but those rest: nothing is
// expected of them, and a link that ends still shows at once.
//
// A daemon is watched
//   - by watchersEach others, chosen by rendezvous hashing, so that each has as
//     many watchers as any other, one of them in another zone;
//   - by the daemons of its zone whose first or second watcher it is: each
//     daemon so hears a few others, and their configuration heads, every second;
//   - by whoever has sent it something within Config.UseFor, or has no link to it;
//   - by whoever looks at it, until it is heard.
//
// One that a watcher has not heard for SuspectAfter is reported to all others
// (Reports, Reported). A report is never believed: it only makes its receiver
// look for itself, so that neither an old one nor a wrong one ends a life, and
// no incarnation is learnt at second hand.
//
// Daemons fail together. When two seem to be gone, everybody is looked at (alarm):
// a daemon whose watchers died with it is found that way, and a zone that is cut
// off finds all others, of which it watches but a few. At the worst the table
// watches everybody, as a small one does.
const (
	// watchersEach is how many watch one daemon; where they can be had, nearWatchers
	// of them are in its zone and the others in a zone each.
	watchersEach = 4
	nearWatchers = 3
	// watchedBack is how many of its watchers in its zone a daemon watches itself.
	watchedBack = 2
	// countFor is how long a listed daemon counts as a watcher before it was ever
	// heard. Without that, the first daemons that a new one links to would
	// believe it to be one of two, and be watched by it.
	countFor = 2 * time.Minute
	// chooseEvery bounds the age of the choice where no state has changed.
	chooseEvery = 5 * time.Second
)

// watch is the part of an entry that tells whether its silence means something.
type watch struct {
	// watched: the daemon is expected to be heard; its silence counts from since,
	// or from when it was last heard.
	watched bool
	since   time.Time
	// chosen: this daemon is one of its watchers.
	chosen    bool
	usedUntil time.Time
	// reported: its present silence was taken notice of.
	reported bool
	// met is when the entry was made.
	met time.Time
}

// fewState is the part of a table that chooses whom to watch.
type fewState struct {
	all     bool
	chosen  time.Time
	version uint64
	reports []Report
	// missed is the daemon that last seemed to be gone, and missedAt since when;
	// everybody is when all were last looked at.
	missed              ident.Daemon
	missedAt, everybody time.Time
}

// Report tells that a watcher does not hear an incarnation of a daemon.
type Report struct {
	ID          ident.Daemon
	Incarnation uint64
}

// from is the time since which the daemon's silence counts.
func (e *entry) from() time.Time {
	if e.since.After(e.lastHeard) {
		return e.since
	}
	return e.lastHeard
}

// quiet is how long a watched daemon has been silent; zero for one that rests.
func (e *entry) quiet(now time.Time) time.Duration {
	if !e.watched {
		return 0
	}
	return now.Sub(e.from())
}

// Watched tells whether the daemon is expected to be heard at each heartbeat. The
// caller tells it so; without a word it is to believe that it is.
func (t *Table) Watched(id ident.Daemon) bool {
	e, ok := t.entries[id]
	return !ok || e.watched
}

// Used takes in that the daemon was sent something; it is watched from the next
// tick on. Whoever waits for an answer has to notice a link that went silent.
func (t *Table) Used(now time.Time, id ident.Daemon) {
	if e, ok := t.entries[id]; ok {
		e.usedUntil = now.Add(t.cfg.UseFor)
	}
}

// Reports returns what is to be told to all others, once.
func (t *Table) Reports() []Report {
	reports := t.few.reports
	t.few.reports = nil
	return reports
}

// Reported takes in another daemon's report. Half of SuspectAfter is left to the
// daemon to show that it is there; a report about another incarnation than the
// one known is too late, or about one that will dial by itself.
func (t *Table) Reported(now time.Time, r Report) {
	e, ok := t.entries[r.ID]
	if !ok || t.few.all || e.incarnation != r.Incarnation || e.machine.State() == Dead {
		return
	}
	t.look(e, now.Add(-t.cfg.SuspectAfter/2))
	t.alarm(now, e)
}

// look watches a daemon that rests; its silence counts from since.
func (t *Table) look(e *entry, since time.Time) {
	if !e.watched {
		e.watched, e.since = true, since
	}
}

// report takes notice of a silence, once.
func (t *Table) report(now time.Time, e *entry) {
	state := e.machine.State()
	if t.few.all || e.reported || state != Suspect && state != Leaving {
		return
	}
	e.reported = true
	if e.chosen {
		t.few.reports = append(t.few.reports, Report{e.id, e.incarnation})
	}
	t.alarm(now, e)
}

// alarm looks at everybody where a second daemon seems to be gone, but not again
// while such a look is under way. One that is leaving is expected to go.
func (t *Table) alarm(now time.Time, e *entry) {
	if e.machine.State() == Leaving {
		return
	}
	second := t.few.missed != e.id && now.Sub(t.few.missedAt) < t.cfg.DeadAfter
	t.few.missed, t.few.missedAt = e.id, now
	if !second || now.Sub(t.few.everybody) < t.cfg.SuspectAfter {
		return
	}
	t.few.everybody = now
	for _, o := range t.entries {
		t.look(o, now)
	}
}

// settleWatch chooses whom to watch and lets rest who has been heard since.
func (t *Table) settleWatch(now time.Time) {
	t.choose(now)
	for _, e := range t.entries {
		wanted := t.few.all || e.chosen || !e.linked || now.Before(e.usedUntil)
		switch {
		case wanted:
			t.look(e, now)
		case e.watched && e.lastHeard.After(e.since):
			e.watched = false
		case !e.watched && now.Sub(e.lastHeard) >= t.cfg.RestAfter:
			t.look(e, now)
		}
	}
}

// choose works out whose watcher this daemon is, when members have changed.
func (t *Table) choose(now time.Time) {
	if t.version == t.few.version && now.Sub(t.few.chosen) < chooseEvery {
		return
	}
	t.few.version, t.few.chosen = t.version, now
	byZone, size := t.candidates(now)
	t.few.all = size <= t.cfg.WatchAll
	if t.few.all {
		return
	}
	c := newChoice(byZone)
	for _, e := range t.entries {
		e.chosen = c.watches(t.cfg.Self, t.cfg.Zone, e.id, e.zone) ||
			e.zone == t.cfg.Zone && ahead(t.cfg.Self, e.id, byZone[e.zone]) < watchedBack
	}
}

// candidates are the daemons that may be watchers, this one included, by zone.
// Size counts the fleet.
func (t *Table) candidates(now time.Time) (byZone map[ident.Zone][]ident.Daemon, size int) {
	byZone = map[ident.Zone][]ident.Daemon{t.cfg.Zone: {t.cfg.Self}}
	size = 1
	for _, e := range t.entries {
		switch e.machine.State() {
		case Live, Suspect:
		case Listed:
			if now.Sub(e.met) >= countFor {
				continue
			}
		case Leaving:
			size++
			continue
		default:
			continue
		}
		size++
		byZone[e.zone] = append(byZone[e.zone], e.id)
	}
	return byZone, size
}

// choice tells who watches whom among a set of daemons.
type choice struct {
	byZone map[ident.Zone][]ident.Daemon
	zones  []ident.Zone
}

func newChoice(byZone map[ident.Zone][]ident.Daemon) choice {
	c := choice{byZone: byZone}
	for zone := range byZone {
		c.zones = append(c.zones, zone)
	}
	slices.Sort(c.zones)
	return c
}

// watches tells whether a daemon is one of the watchers of another.
func (c choice) watches(self ident.Daemon, own ident.Zone, id ident.Daemon, zone ident.Zone) bool {
	if self == id {
		return false
	}
	others := len(c.byZone[zone])
	if slices.Contains(c.byZone[zone], id) {
		others--
	}
	far := len(c.zones)
	if _, ok := c.byZone[zone]; ok {
		far--
	}
	far = min(far, watchersEach-min(nearWatchers, others))
	if zone == own {
		return ahead(id, self, c.byZone[own]) < watchersEach-far
	}
	if ahead(id, self, c.byZone[own]) > 0 {
		return false
	}
	better := 0
	mine := weight("", ident.Target(id), ident.Daemon(own))
	for _, z := range c.zones {
		if z != zone && z != own && weight("", ident.Target(id), ident.Daemon(z)) > mine {
			better++
		}
	}
	return better < far
}

// ahead counts the candidates that are to watch a daemon rather than self.
func ahead(id, self ident.Daemon, candidates []ident.Daemon) int {
	n := 0
	mine := weight("", ident.Target(id), self)
	for _, other := range candidates {
		if other == id || other == self {
			continue
		}
		if w := weight("", ident.Target(id), other); w > mine || w == mine && other < self {
			n++
		}
	}
	return n
}
