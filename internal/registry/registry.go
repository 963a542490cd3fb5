// Package registry tracks the targets that register themselves in the platform's store. It
// does no I/O: an adapter decodes the rows into Entries, and time is passed in as an argument.
//
// The failure it guards against: during an outage of the store, targets cannot renew their
// entries, so entries lapse although their targets still serve. Applied as read, the store's
// state would remove all targets of the fleet right after every outage. An entry that
// disappears during an outage or shortly after it therefore stays usable for a grace period,
// by the end of which a live target has registered again. An entry whose removal is seen after
// the recovery may also belong to a target that shut down as planned. It gets only a short
// grace period, because such a target serves for two more seconds from the time at which the
// store removed its entry.
//
// A daemon may notice the recovery late, and a target may have left during the outage. The
// grace period therefore also ends before the daemon has to be following the store again,
// counted from the earliest time at which the store may have recovered: a daemon that follows
// the store sends nothing to a target that has been missing from it for longer than the target
// serves.
//
// A store that is restored from a backup holds entries that targets have changed or removed
// since the backup was made. Applied as read, it would send requests to targets that have
// left. What was known about departed and draining targets therefore takes precedence over
// the entries of the backup, which are quarantined until the store reports a new change of the
// target or Config.QuarantinePeriod has passed.
package registry

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// Entry is the registration of a target.
type Entry struct {
	// Identity identifies the registration; a restarted target may keep it.
	Identity ident.Target
	Service  ident.Service
	// Address is IP:PORT.
	Address string
	Zone    ident.Zone
	// Version is the version of the target's software; empty means unspecified.
	Version ident.Version
	// Slots is how many requests the target runs concurrently; zero means unspecified.
	Slots int
	// Draining reports that the target accepts no new requests.
	Draining bool
	// ColdLeft is how much longer the target stays cold, as of when the entry was written, and
	// ColdUntil when it is warm at the latest: ColdLeft after the entry was read.
	ColdLeft  time.Duration
	ColdUntil time.Time
	// ColdMalformed is what the registration states instead of a time, which leaves the previous
	// ColdUntil in force.
	ColdMalformed string
	// StartedAtMillis is the start time of the process in Unix milliseconds; zero means
	// unspecified.
	StartedAtMillis int64
}

// Config configures a Registry. Zero fields take their defaults.
type Config struct {
	// GracePeriod is how long an entry that lapsed around an outage of the store is kept after
	// the recovery. Default 2.5 s: live targets are registered again within about 2 s.
	GracePeriod time.Duration
	// RemovalGracePeriod bounds the grace period of an entry whose removal is seen after the
	// recovery. Default 900 ms: together with the 800 ms for which changes are gathered, that is
	// below the two seconds for which a target that leaves still accepts requests.
	RemovalGracePeriod time.Duration
	// CatchUpTime is how long after the end of an outage a daemon has to be following the store
	// again. Default 3 s.
	CatchUpTime time.Duration
	// LapseWindow is how long after the end of an outage a removal is still attributed to it.
	// Default 1 s.
	LapseWindow time.Duration
	// QuarantinePeriod is how long after a restore of the store from a backup the previous
	// knowledge about departed and draining targets takes precedence over the backup's entries.
	// Default 5 s: more than three heartbeats of a target, after which the store removes the
	// entry of a target that has gone silent.
	QuarantinePeriod time.Duration
	// DepartureRetention is how long the registry remembers that a target left. Default 30 s:
	// more than the age of a backup.
	DepartureRetention time.Duration
}

const (
	defaultGracePeriod        = 2500 * time.Millisecond
	defaultRemovalGracePeriod = 900 * time.Millisecond
	defaultCatchUpTime        = 3 * time.Second
	defaultLapseWindow        = time.Second
	defaultQuarantinePeriod   = 5 * time.Second
	defaultDepartureRetention = 30 * time.Second
	// maxDispatchDelay is the longest time from the choice of a target until the request
	// reaches it.
	maxDispatchDelay = 200 * time.Millisecond
)

// Registry holds the entries. It is not safe for concurrent use; Targets returns copies.
type Registry struct {
	cfg     Config
	entries map[ident.Target]Entry
	lapsed  map[ident.Target]lapse
	// interrupted holds the targets whose lapse was cleared as the store stopped answering or was
	// restored once more. Their grace period goes on if it turns out that the store was not away.
	interrupted map[ident.Target]bool
	// recoveredAt is when the store first answered after the last outage, recoveredNotBefore
	// the earliest time at which that outage may have ended.
	recoveredAt, recoveredNotBefore time.Time
	// departed holds the times at which targets left.
	departed map[ident.Target]time.Time
	// untrusted holds the targets that were known to have left or to be draining when the store
	// was restored from a backup, and of which it has reported no change since. Entries of the
	// backup that contradict this are held in quarantined until quarantineEnd.
	untrusted     map[ident.Target]bool
	quarantined   map[ident.Target]Entry
	quarantineEnd time.Time
	// storeUnreachable reports that the store stopped answering during the quarantine, which
	// then continues through the outage and starts again at the recovery.
	storeUnreachable bool
}

// lapse describes an entry that is no longer in the store but is kept for now.
type lapse struct {
	due time.Time
	// removedByStore reports that the store reported the removal, rather than that the entry
	// was missing when the whole table was read.
	removedByStore bool
}

// New returns an empty Registry.
func New(cfg Config) *Registry {
	if cfg.GracePeriod == 0 {
		cfg.GracePeriod = defaultGracePeriod
	}
	if cfg.RemovalGracePeriod == 0 {
		cfg.RemovalGracePeriod = defaultRemovalGracePeriod
	}
	if cfg.CatchUpTime == 0 {
		cfg.CatchUpTime = defaultCatchUpTime
	}
	if cfg.LapseWindow == 0 {
		cfg.LapseWindow = defaultLapseWindow
	}
	if cfg.QuarantinePeriod == 0 {
		cfg.QuarantinePeriod = defaultQuarantinePeriod
	}
	if cfg.DepartureRetention == 0 {
		cfg.DepartureRetention = defaultDepartureRetention
	}
	return &Registry{
		cfg: cfg, entries: map[ident.Target]Entry{}, lapsed: map[ident.Target]lapse{}, interrupted: map[ident.Target]bool{}, departed: map[ident.Target]time.Time{},
		untrusted: map[ident.Target]bool{}, quarantined: map[ident.Target]Entry{},
	}
}

// StoreRecovered reports that the store answers again after an outage, which ended at
// notBefore or later. A zero notBefore means that this daemon alone was out of reach: the store
// lacks only the entries of targets that have left.
func (r *Registry) StoreRecovered(now, notBefore time.Time) {
	if !notBefore.IsZero() {
		r.recoveredAt, r.recoveredNotBefore = now, notBefore
	}
	if r.storeUnreachable {
		r.storeUnreachable, r.quarantineEnd = false, now.Add(r.cfg.QuarantinePeriod)
	}
}

// StoreRestored reports that the store was restored from a backup at notBefore or later. The
// next call of Replace passes the backup's entries.
func (r *Registry) StoreRestored(now, notBefore time.Time) {
	r.StoreRecovered(now, notBefore)
	r.quarantineEnd = now.Add(r.cfg.QuarantinePeriod)
	r.pruneDeparted(now)
	for id := range r.departed {
		r.untrusted[id] = true
	}
	for id, e := range r.entries {
		if e.Draining {
			r.untrusted[id] = true
		}
	}
	r.clearMissing()
}

// Distrust reports that the backup's entry of a target may be older than the state known
// before the restore. If the target was not in that state, it has left.
func (r *Registry) Distrust(id ident.Target) {
	if _, known := r.entries[id]; !known {
		r.untrusted[id] = true
	}
}

// StoreUnreachable reports that the store stopped answering. Missing and outdated entries of a
// backup may be corrected unseen during the outage, so the grace period and the quarantine
// start again at the recovery.
func (r *Registry) StoreUnreachable(now time.Time) {
	if now.Before(r.quarantineEnd) {
		r.storeUnreachable = true
		r.clearMissing()
	}
}

// clearMissing clears the lapses of entries that were missing from the store, so that these
// entries are kept until they are found missing again.
func (r *Registry) clearMissing() {
	for id, l := range r.lapsed {
		if !l.removedByStore {
			delete(r.lapsed, id)
			r.interrupted[id] = true
		}
	}
}

// Put applies an entry that a target has just written.
func (r *Registry) Put(e Entry) {
	r.trust(e.Identity)
	if e.ColdMalformed != "" {
		e.ColdUntil = r.entries[e.Identity].ColdUntil
	}
	r.entries[e.Identity] = e
	delete(r.lapsed, e.Identity)
	delete(r.interrupted, e.Identity)
	delete(r.departed, e.Identity)
}

// trust ends the distrust of the store's entry of a target.
func (r *Registry) trust(id ident.Target) {
	delete(r.untrusted, id)
	delete(r.quarantined, id)
}

// Remove records that the store has just removed a target's entry.
func (r *Registry) Remove(now time.Time, id ident.Target) {
	r.trust(id)
	r.remove(id, now, lapse{due: now.Add(r.cfg.RemovalGracePeriod), removedByStore: true})
}

// drop deletes an entry and remembers that its target left.
func (r *Registry) drop(now time.Time, id ident.Target) {
	delete(r.entries, id)
	delete(r.lapsed, id)
	delete(r.interrupted, id)
	r.departed[id] = now
	r.pruneDeparted(now)
}

func (r *Registry) pruneDeparted(now time.Time) {
	for id, departedAt := range r.departed {
		if now.Sub(departedAt) > r.cfg.DepartureRetention {
			delete(r.departed, id)
		}
	}
}

// remove drops an entry at once or, if it may have lapsed because of an outage, at the end of
// the grace period, but no later than l.due.
func (r *Registry) remove(id ident.Target, now time.Time, l lapse) {
	if _, known := r.entries[id]; !known {
		return
	}
	l.due = earlier(r.graceEnd(), l.due)
	lapsedBefore := r.interrupted[id] && !l.removedByStore
	late := now.Sub(r.recoveredAt) > r.cfg.LapseWindow && !lapsedBefore
	if r.recoveredAt.IsZero() || late || !now.Before(l.due) {
		r.drop(now, id)
		return
	}
	if _, pending := r.lapsed[id]; !pending {
		r.lapsed[id] = l
	}
}

// graceEnd returns the end of the grace period of entries that lapsed in the last outage.
func (r *Registry) graceEnd() time.Time {
	return earlier(r.recoveredAt.Add(r.cfg.GracePeriod), r.recoveredNotBefore.Add(r.cfg.CatchUpTime-maxDispatchDelay))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Replace applies the complete contents of the store: entries that it lacks are removed.
func (r *Registry) Replace(now time.Time, entries []Entry) {
	r.endQuarantine(now)
	clear(r.quarantined)
	listed := make(map[ident.Target]bool, len(entries))
	for _, e := range entries {
		listed[e.Identity] = true
		if r.untrusted[e.Identity] && !e.Draining {
			r.quarantined[e.Identity] = e
			continue
		}
		r.Put(e)
	}
	for _, id := range slices.Collect(maps.Keys(r.entries)) {
		if _, pending := r.lapsed[id]; !listed[id] && !pending {
			r.remove(id, now, lapse{due: now.Add(r.cfg.GracePeriod)})
		}
	}
}

// endQuarantine applies the quarantined entries that the store still holds once the quarantine
// is over.
func (r *Registry) endQuarantine(now time.Time) {
	if r.storeUnreachable || now.Before(r.quarantineEnd) {
		return
	}
	for _, e := range r.quarantined {
		r.Put(e)
	}
	clear(r.untrusted)
}

// Quarantined returns, in order, the targets whose entries in the backup are not applied.
func (r *Registry) Quarantined() []ident.Target {
	return slices.Sorted(maps.Keys(r.quarantined))
}

// Expire drops the lapsed entries that were not renewed in time, and ends the quarantine when
// it is over. It returns the dropped targets and the time when the next entry is due, or zero.
func (r *Registry) Expire(now time.Time) (dropped []ident.Target, next time.Time) {
	r.endQuarantine(now)
	if len(r.quarantined) > 0 && !r.storeUnreachable {
		next = r.quarantineEnd
	}
	for _, id := range r.Lapsed() {
		due := r.lapsed[id].due
		switch {
		case !now.Before(due):
			r.drop(now, id)
			dropped = append(dropped, id)
		case next.IsZero() || due.Before(next):
			next = due
		}
	}
	return dropped, next
}

// Lapsed returns, in order, the targets whose entries are no longer in the store but kept for now.
func (r *Registry) Lapsed() []ident.Target {
	list := slices.AppendSeq([]ident.Target{}, maps.Keys(r.lapsed))
	slices.Sort(list)
	return list
}

// NextLapse returns when the first of the lapsed entries is dropped unless it is renewed; zero if
// there are none.
func (r *Registry) NextLapse() (next time.Time) {
	for _, l := range r.lapsed {
		if next.IsZero() || l.due.Before(next) {
			next = l.due
		}
	}
	return next
}

// Targets returns the entries ordered by identity. If two entries have the same address, only
// the one whose process started last is returned: an address is reused once its former target
// is gone, and the removal of the old entry may not have arrived yet.
func (r *Registry) Targets() []Entry {
	byAddress := map[string]Entry{}
	for _, e := range r.entries {
		if other, exists := byAddress[e.Address]; !exists || startedLater(e, other) {
			byAddress[e.Address] = e
		}
	}
	list := slices.Collect(maps.Values(byAddress))
	sort.Slice(list, func(i, j int) bool { return list[i].Identity < list[j].Identity })
	return list
}

func startedLater(a, b Entry) bool {
	if a.StartedAtMillis != b.StartedAtMillis {
		return a.StartedAtMillis > b.StartedAtMillis
	}
	return a.Identity > b.Identity
}
