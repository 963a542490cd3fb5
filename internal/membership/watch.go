package membership

import (
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// Partial watching: in a fleet larger than Config.WatchAllLimit a daemon monitors
// the heartbeats of only a few others, which it watches. The links to the
// unwatched ones stay open without heartbeats; the end of such a link is still
// detected at once.
//
// A daemon is watched
//   - by watchersPerDaemon others, assigned by rendezvous hashing, so that all
//     daemons have the same number of watchers, one of them in another zone;
//   - by the daemons of its zone whose first or second watcher it is, so that
//     each daemon receives the heartbeats of a few others, with their
//     configuration heads, every second;
//   - by each daemon that has sent it a message within Config.WatchAfterUse or
//     has no link to it;
//   - by each daemon that probes it, until a heartbeat arrives.
//
// A daemon from which a watcher has received nothing for SuspectAfter is reported
// to all others (TakeReports, ReportReceived). A report is not trusted: it only
// makes the receiver probe the daemon itself, so that neither a stale nor a wrong
// report marks a daemon dead, and incarnations are never learned indirectly.
//
// Failures are correlated. When a second daemon seems to be gone, all daemons are
// probed (probeAllOnSecondFailure). That detects a daemon whose watchers failed
// together with it, and lets a partitioned zone detect the loss of all other
// daemons although it watches only a few of them. In the worst case the table
// watches all daemons, as it does in a small fleet.
const (
	// watchersPerDaemon is the number of watchers of a daemon. If there are enough
	// candidates, sameZoneWatchers of them are in its zone and each of the others
	// is in a different zone.
	watchersPerDaemon = 4
	sameZoneWatchers  = 3
	// reciprocalWatches is how many of its watchers in its own zone a daemon
	// watches in turn.
	reciprocalWatches = 2
	// unheardCandidatePeriod is how long a listed daemon counts as a possible
	// watcher before anything has been received from it. Otherwise a new daemon
	// would consider itself one of only two daemons and start to watch the first
	// daemons it links to.
	unheardCandidatePeriod = 2 * time.Minute
	// reassignInterval bounds the age of the watcher assignment when no state has
	// changed.
	reassignInterval = 5 * time.Second
)

// watchState is the part of an entry that determines whether the silence of the
// daemon is evidence of a failure.
type watchState struct {
	// watched reports that the daemon is expected to send heartbeats. Its silence
	// is measured from watchedSince or the last received frame, whichever is later.
	watched      bool
	watchedSince time.Time
	// assigned reports that the local daemon is to watch this one permanently.
	assigned   bool
	inUseUntil time.Time
	// silenceHandled reports that the current silence has already been processed
	// by reportSilence.
	silenceHandled bool
	// mayActAlone reports that the daemon has been silent for so long that it may soon count this one as
	// dead.
	mayActAlone bool
	// createdAt is when the entry was created.
	createdAt time.Time
}

// watchSelection is the part of a table that selects the daemons to watch.
type watchSelection struct {
	watchAll        bool
	assignedAt      time.Time
	assignedVersion uint64
	pendingReports  []Report
	// lastMissing is the daemon that was last found to be missing and
	// lastMissingAt the time of that; lastProbeAll is when all daemons were last
	// probed.
	lastMissing                 ident.Daemon
	lastMissingAt, lastProbeAll time.Time
}

// Report states that a watcher no longer receives heartbeats from an incarnation
// of a daemon.
type Report struct {
	ID          ident.Daemon
	Incarnation uint64
}

// silentSince returns the time from which the daemon's silence is measured.
func (e *entry) silentSince() time.Time {
	if e.watchedSince.After(e.lastHeard) {
		return e.watchedSince
	}
	return e.lastHeard
}

// silence returns how long a watched daemon has been silent; it is zero for an
// unwatched one.
func (e *entry) silence(now time.Time) time.Duration {
	if !e.watched {
		return 0
	}
	return now.Sub(e.silentSince())
}

// Watched reports whether the daemon is expected to send heartbeats. The caller
// informs the daemon of it; until then the daemon must assume that it is watched.
func (t *Table) Watched(id ident.Daemon) bool {
	e, ok := t.entries[id]
	return !ok || e.watched
}

// MessageSent records that a message was sent to the daemon, which is watched
// from the next tick on: a sender that waits for a reply must detect a link that
// has gone silent.
func (t *Table) MessageSent(now time.Time, id ident.Daemon) {
	if e, ok := t.entries[id]; ok {
		e.inUseUntil = now.Add(t.cfg.WatchAfterUse)
	}
}

// TakeReports returns the pending reports, to be sent to all others, and clears
// them.
func (t *Table) TakeReports() []Report {
	reports := t.selection.pendingReports
	t.selection.pendingReports = nil
	return reports
}

// ReportReceived handles a report by another daemon. The reported daemon has half
// of SuspectAfter left to send a heartbeat. A report about an incarnation other
// than the known one is ignored: it is either stale or about a new incarnation,
// which will dial on its own.
func (t *Table) ReportReceived(now time.Time, r Report) {
	e, ok := t.entries[r.ID]
	if !ok || t.selection.watchAll || e.incarnation != r.Incarnation || e.stateMachine.State() == Dead {
		return
	}
	t.startWatching(e, now.Add(-t.cfg.SuspectAfter/2))
	t.probeAllOnSecondFailure(now, e)
}

// startWatching starts to watch an unwatched daemon. Its silence is measured from
// since.
func (t *Table) startWatching(e *entry, since time.Time) {
	if !e.watched {
		e.watched, e.watchedSince = true, since
	}
}

// reportSilence handles the silence of a daemon, once per silence.
func (t *Table) reportSilence(now time.Time, e *entry) {
	state := e.stateMachine.State()
	if t.selection.watchAll || e.silenceHandled || state != Suspect && state != Leaving {
		return
	}
	e.silenceHandled = true
	if e.assigned {
		t.selection.pendingReports = append(t.selection.pendingReports, Report{e.id, e.incarnation})
	}
	t.probeAllOnSecondFailure(now, e)
}

// probeAllOnSecondFailure probes all daemons if a second one seems to be gone,
// unless they are already being probed. A leaving daemon is expected to
// disappear and does not count.
func (t *Table) probeAllOnSecondFailure(now time.Time, e *entry) {
	if e.stateMachine.State() == Leaving {
		return
	}
	second := t.selection.lastMissing != e.id && now.Sub(t.selection.lastMissingAt) < t.cfg.DeadAfter
	t.selection.lastMissing, t.selection.lastMissingAt = e.id, now
	if !second || now.Sub(t.selection.lastProbeAll) < t.cfg.SuspectAfter {
		return
	}
	t.selection.lastProbeAll = now
	for _, other := range t.entries {
		t.startWatching(other, now)
	}
}

// updateWatched starts to watch the daemons that need it and stops watching the
// others once a frame has arrived from them.
func (t *Table) updateWatched(now time.Time) {
	t.assignWatchers(now)
	for _, e := range t.entries {
		wanted := t.selection.watchAll || e.assigned || !e.linked || now.Before(e.inUseUntil)
		switch {
		case wanted:
			t.startWatching(e, now)
		case e.watched && e.lastHeard.After(e.watchedSince):
			e.watched = false
		case !e.watched && now.Sub(e.lastHeard) >= t.cfg.ProbeAfter:
			t.startWatching(e, now)
		}
	}
}

// assignWatchers recomputes which daemons this one is assigned to watch, after
// the members have changed or reassignInterval has passed.
func (t *Table) assignWatchers(now time.Time) {
	if t.version == t.selection.assignedVersion && now.Sub(t.selection.assignedAt) < reassignInterval {
		return
	}
	t.selection.assignedVersion, t.selection.assignedAt = t.version, now
	byZone, size := t.watcherCandidates(now)
	t.selection.watchAll = size <= t.cfg.WatchAllLimit
	if t.selection.watchAll {
		return
	}
	assignment := newWatcherAssignment(byZone)
	for _, e := range t.entries {
		e.assigned = assignment.isWatcher(t.cfg.Self, t.cfg.Zone, e.id, e.zone) ||
			e.zone == t.cfg.Zone && countHigherRanked(t.cfg.Self, e.id, byZone[e.zone]) < reciprocalWatches
	}
}

// watcherCandidates returns the daemons that may be watchers, including this one,
// by zone, and the size of the fleet.
func (t *Table) watcherCandidates(now time.Time) (byZone map[ident.Zone][]ident.Daemon, size int) {
	byZone = map[ident.Zone][]ident.Daemon{t.cfg.Zone: {t.cfg.Self}}
	size = 1
	for _, e := range t.entries {
		switch e.stateMachine.State() {
		case Live, Suspect:
		case Listed:
			if now.Sub(e.createdAt) >= unheardCandidatePeriod {
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

// watcherAssignment determines which daemons of a set watch which others.
type watcherAssignment struct {
	byZone map[ident.Zone][]ident.Daemon
	zones  []ident.Zone
}

func newWatcherAssignment(byZone map[ident.Zone][]ident.Daemon) watcherAssignment {
	a := watcherAssignment{byZone: byZone}
	for zone := range byZone {
		a.zones = append(a.zones, zone)
	}
	slices.Sort(a.zones)
	return a
}

// isWatcher reports whether the daemon self in selfZone is one of the watchers of
// the daemon id in zone.
func (a watcherAssignment) isWatcher(self ident.Daemon, selfZone ident.Zone, id ident.Daemon, zone ident.Zone) bool {
	if self == id {
		return false
	}
	sameZone := len(a.byZone[zone])
	if slices.Contains(a.byZone[zone], id) {
		sameZone--
	}
	otherZones := len(a.zones)
	if _, ok := a.byZone[zone]; ok {
		otherZones--
	}
	otherZones = min(otherZones, watchersPerDaemon-min(sameZoneWatchers, sameZone))
	if zone == selfZone {
		return countHigherRanked(id, self, a.byZone[selfZone]) < watchersPerDaemon-otherZones
	}
	if countHigherRanked(id, self, a.byZone[selfZone]) > 0 {
		return false
	}
	higherZones := 0
	selfZoneWeight := hashWeight("", ident.Target(id), ident.Daemon(selfZone))
	for _, z := range a.zones {
		if z != zone && z != selfZone && hashWeight("", ident.Target(id), ident.Daemon(z)) > selfZoneWeight {
			higherZones++
		}
	}
	return higherZones < otherZones
}

// countHigherRanked counts the candidates that rank higher than self as watchers
// of a daemon.
func countHigherRanked(id, self ident.Daemon, candidates []ident.Daemon) int {
	n := 0
	selfWeight := hashWeight("", ident.Target(id), self)
	for _, other := range candidates {
		if other == id || other == self {
			continue
		}
		if w := hashWeight("", ident.Target(id), other); w > selfWeight || w == selfWeight && other < self {
			n++
		}
	}
	return n
}
