// Package registry knows the targets that register themselves in the platform's
// store. It has no network: an adapter decodes the rows into Entries, and time
// is an argument.
//
// Failure it guards against: while the store is away it cannot renew what
// targets say of themselves, so that entries lapse although their targets serve.
// Taken at its word, the store would empty the fleet of targets just after each
// outage. So an entry that disappears in an outage, or right after one, stays
// usable for a grace; a target that lives has registered again by then. One that
// disappears after the store's return may also have left by plan: it stays for a short
// grace only, since it serves for two seconds more, counted from when the store had it.
//
// A daemon may notice the return late, and a target may have left in the outage. So the
// grace also ends before the daemon counts as in touch with the store again, reckoned from
// the earliest time at which the store may have been back: a daemon in touch sends nothing
// to a target that the store has not had for longer than the target serves.
//
// A store that comes back from a copy holds entries that targets have changed or dropped
// since the copy was made. Taken at its word, it would send requests to targets that have
// left. What was known to leave counts before the copy's entry, until the store tells of
// the target anew; the store's word stands again after Config.Doubt.
package registry

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// Entry is what a target says of itself.
type Entry struct {
	// Identity names one registration; a target that starts again may keep it.
	Identity ident.Target
	Service  ident.Service
	// Address is IP:PORT.
	Address string
	Zone    ident.Zone
	// Slots is how many requests it runs at once; zero: not stated.
	Slots int
	// Draining tells that it takes no new requests.
	Draining bool
	// Born is the start of the process in Unix milliseconds; zero: not stated.
	Born int64
}

// Config sets up a Registry.
type Config struct {
	// Grace is how long an entry that lapsed around an outage of the store is
	// kept after the store's return. Default 2.5 s: targets that live are back
	// within about 2 s.
	Grace time.Duration
	// LeaveGrace bounds the grace of an entry that is seen to disappear after the store's
	// return. Default 900 ms: together with the 800 ms for which changes are gathered it is
	// below the two seconds for which a target that leaves takes requests.
	LeaveGrace time.Duration
	// InTouch is how long after the end of an outage a daemon counts as in touch with the
	// store. Default 3 s.
	InTouch time.Duration
	// Settled is how long after the end of an outage a removal still counts as
	// lapsed by it. Default 1 s.
	Settled time.Duration
	// Doubt is how long after the store's return from a copy what was known of targets that
	// leave counts before the copy's entries. Default 5 s: above three heartbeats of a target,
	// after which the store drops the entry of one that is silent.
	Doubt time.Duration
	// Remember is how long a target that left is remembered. Default 30 s: above the age of
	// a copy.
	Remember time.Duration
}

const (
	defaultGrace      = 2500 * time.Millisecond
	defaultLeaveGrace = 900 * time.Millisecond
	defaultInTouch    = 3 * time.Second
	defaultSettled    = time.Second
	defaultDoubt      = 5 * time.Second
	defaultRemember   = 30 * time.Second
	// onTheWay is how long a request may take from the choice of a target to the target.
	onTheWay = 200 * time.Millisecond
)

// Registry holds the entries. It is not safe for concurrent use; Targets returns
// copies.
type Registry struct {
	cfg     Config
	entries map[ident.Target]Entry
	lapsed  map[ident.Target]lapse
	// back is when the store last answered after an outage, notBefore the earliest time at
	// which that outage may have ended.
	back, notBefore time.Time
	// left is when targets left.
	left map[ident.Target]time.Time
	// doubted are the targets known to have left or to leave at the store's return from a
	// copy, of which it has not told since. Entries of the copy that say otherwise wait in
	// shadowed until doubtEnd.
	doubted  map[ident.Target]bool
	shadowed map[ident.Target]Entry
	doubtEnd time.Time
	// away tells that the store has stopped answering in the time for doubt, which lasts
	// as long.
	away bool
}

// lapse is an entry that the store lacks and that is kept for now.
type lapse struct {
	due time.Time
	// dropped tells that the store told of its end, rather than not of the entry.
	dropped bool
}

// New returns an empty registry.
func New(cfg Config) *Registry {
	if cfg.Grace == 0 {
		cfg.Grace = defaultGrace
	}
	if cfg.LeaveGrace == 0 {
		cfg.LeaveGrace = defaultLeaveGrace
	}
	if cfg.InTouch == 0 {
		cfg.InTouch = defaultInTouch
	}
	if cfg.Settled == 0 {
		cfg.Settled = defaultSettled
	}
	if cfg.Doubt == 0 {
		cfg.Doubt = defaultDoubt
	}
	if cfg.Remember == 0 {
		cfg.Remember = defaultRemember
	}
	return &Registry{
		cfg: cfg, entries: map[ident.Target]Entry{}, lapsed: map[ident.Target]lapse{}, left: map[ident.Target]time.Time{},
		doubted: map[ident.Target]bool{}, shadowed: map[ident.Target]Entry{},
	}
}

// Returned tells that the store answers again after an outage, which ended at some time
// from notBefore on.
func (r *Registry) Returned(now, notBefore time.Time) {
	r.back, r.notBefore = now, notBefore
	if r.away {
		r.away, r.doubtEnd = false, now.Add(r.cfg.Doubt)
	}
}

// Restored tells that the store came back from a copy, at some time from notBefore on. The
// next Replace takes in the copy's entries.
func (r *Registry) Restored(now, notBefore time.Time) {
	r.Returned(now, notBefore)
	r.doubtEnd = now.Add(r.cfg.Doubt)
	r.forgetLeft(now)
	for id := range r.left {
		r.doubted[id] = true
	}
	for id, e := range r.entries {
		if e.Draining {
			r.doubted[id] = true
		}
	}
	r.keepLapsed()
}

// Doubt tells that the copy holds a target's entry that may be older than what was known
// before. A target that was not known then has left.
func (r *Registry) Doubt(id ident.Target) {
	if _, known := r.entries[id]; !known {
		r.doubted[id] = true
	}
}

// Away tells that the store stopped answering. What a copy lacks or has too much may be put
// right unseen: grace and doubt begin anew at the return.
func (r *Registry) Away(now time.Time) {
	if now.Before(r.doubtEnd) {
		r.away = true
		r.keepLapsed()
	}
}

// keepLapsed keeps what the store lacks until it is found missing once more.
func (r *Registry) keepLapsed() {
	for id, l := range r.lapsed {
		if !l.dropped {
			delete(r.lapsed, id)
		}
	}
}

// Put takes in what a target has just said of itself.
func (r *Registry) Put(e Entry) {
	r.trust(e.Identity)
	r.entries[e.Identity] = e
	delete(r.lapsed, e.Identity)
	delete(r.left, e.Identity)
}

// trust ends the doubt in what the store says of a target.
func (r *Registry) trust(id ident.Target) {
	delete(r.doubted, id)
	delete(r.shadowed, id)
}

// Remove takes in that the store has just dropped a target's entry.
func (r *Registry) Remove(now time.Time, id ident.Target) {
	r.trust(id)
	r.remove(id, now, lapse{due: now.Add(r.cfg.LeaveGrace), dropped: true})
}

// drop forgets an entry, and remembers that its target left.
func (r *Registry) drop(now time.Time, id ident.Target) {
	delete(r.entries, id)
	delete(r.lapsed, id)
	r.left[id] = now
	r.forgetLeft(now)
}

func (r *Registry) forgetLeft(now time.Time) {
	for id, at := range r.left {
		if now.Sub(at) > r.cfg.Remember {
			delete(r.left, id)
		}
	}
}

// remove drops an entry now, or where it may have lapsed by an outage, at the end of the
// grace, at most when the lapse is due.
func (r *Registry) remove(id ident.Target, now time.Time, l lapse) {
	if _, known := r.entries[id]; !known {
		return
	}
	l.due = earlier(r.graceEnd(), l.due)
	if r.back.IsZero() || now.Sub(r.back) > r.cfg.Settled || !now.Before(l.due) {
		r.drop(now, id)
		return
	}
	if _, waits := r.lapsed[id]; !waits {
		r.lapsed[id] = l
	}
}

// graceEnd returns until when what lapsed in the last outage may be used.
func (r *Registry) graceEnd() time.Time {
	return earlier(r.back.Add(r.cfg.Grace), r.notBefore.Add(r.cfg.InTouch-onTheWay))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Replace takes in everything that the store holds: what it lacks is removed.
func (r *Registry) Replace(now time.Time, entries []Entry) {
	r.endDoubt(now)
	clear(r.shadowed)
	held := make(map[ident.Target]bool, len(entries))
	for _, e := range entries {
		held[e.Identity] = true
		if r.doubted[e.Identity] && !e.Draining {
			r.shadowed[e.Identity] = e
			continue
		}
		r.Put(e)
	}
	for _, id := range slices.Collect(maps.Keys(r.entries)) {
		if _, waits := r.lapsed[id]; !held[id] && !waits {
			r.remove(id, now, lapse{due: now.Add(r.cfg.Grace)})
		}
	}
}

// endDoubt takes the copy's entries in that the store still holds when the time for doubt
// is over.
func (r *Registry) endDoubt(now time.Time) {
	if r.away || now.Before(r.doubtEnd) {
		return
	}
	for _, e := range r.shadowed {
		r.Put(e)
	}
	clear(r.doubted)
}

// Shadowed returns, in order, the targets whose entries of the copy are not believed.
func (r *Registry) Shadowed() []ident.Target {
	return slices.Sorted(maps.Keys(r.shadowed))
}

// Expire drops what lapsed and did not come back in time, and ends the doubt in a copy's
// entries. It returns what it dropped, and when the next entry is due, or zero.
func (r *Registry) Expire(now time.Time) (dropped []ident.Target, next time.Time) {
	r.endDoubt(now)
	if len(r.shadowed) > 0 && !r.away {
		next = r.doubtEnd
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

// Lapsed returns, in order, the entries that the store lacks and that are kept for now.
func (r *Registry) Lapsed() []ident.Target {
	list := slices.AppendSeq([]ident.Target{}, maps.Keys(r.lapsed))
	slices.Sort(list)
	return list
}

// Targets returns the entries by identity. Where two stand for one address, the
// one that was born last holds it: an address is given to another target once
// its former one is gone, and the old entry may still be on its way out.
func (r *Registry) Targets() []Entry {
	byAddress := map[string]Entry{}
	for _, e := range r.entries {
		if other, taken := byAddress[e.Address]; !taken || newer(e, other) {
			byAddress[e.Address] = e
		}
	}
	list := slices.Collect(maps.Values(byAddress))
	sort.Slice(list, func(i, j int) bool { return list[i].Identity < list[j].Identity })
	return list
}

func newer(a, b Entry) bool {
	if a.Born != b.Born {
		return a.Born > b.Born
	}
	return a.Identity > b.Identity
}
