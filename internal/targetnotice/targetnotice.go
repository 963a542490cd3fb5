// Package targetnotice remembers what targets say about themselves in their responses: the registration
// of a target may tell the same much later, or never while the store does not accept it. It does no I/O;
// time is passed in.
//
// A notice belongs to one process of a target. It ends with that process, not with a registration or
// a response that does not repeat it: both may be older.
package targetnotice

import (
	"sync"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/registry"
)

const (
	// lastTargetUse is how long the last target of a service is used after it has said that it
	// leaves. It serves for at least two seconds.
	lastTargetUse = time.Second
	// maxPause bounds the pause that a target gets at a time: one that asks for longer is asked again.
	maxPause = 5 * time.Minute
	// retention is how long a notice of a target that is not registered is kept. Its registration
	// may return unchanged after an outage of the store.
	retention = 10 * time.Minute
)

// leave is the notice of a target that it leaves.
type leave struct {
	// startedAtMillis identifies the process; see registry.Entry.
	startedAtMillis int64
	at              time.Time
	// lastSeen is when the process was last registered.
	lastSeen time.Time
}

// pause is the notice of a target that it wants no requests for a time.
type pause struct {
	startedAtMillis int64
	until           time.Time
}

// Pause is the time until which a target has asked for no requests.
type Pause struct {
	Target ident.Target
	Until  time.Time
}

// Table holds the notices. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	leaving map[ident.Target]leave
	pauses  map[ident.Target]pause
	// malformed holds the processes of which a malformed notice has been reported.
	malformed map[ident.Target]int64
	// changed has a value if there is a notice that Apply has not seen.
	changed chan struct{}
}

// New returns an empty Table.
func New() *Table {
	return &Table{leaving: map[ident.Target]leave{}, pauses: map[ident.Target]pause{}, malformed: map[ident.Target]int64{}, changed: make(chan struct{}, 1)}
}

// Leave records that a target, which the request found registered as e, says that it leaves. It
// reports whether that is news.
func (t *Table) Leave(now time.Time, e registry.Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, exists := t.leaving[e.Identity]
	if exists && known.startedAtMillis >= e.StartedAtMillis {
		return false // or a late response of an older process
	}
	t.leaving[e.Identity] = leave{startedAtMillis: e.StartedAtMillis, at: now, lastSeen: now}
	select {
	case t.changed <- struct{}{}:
	default: // Apply has yet to see an earlier one
	}
	return true
}

// Leaves reports whether the process that is registered as e has said that it leaves.
func (t *Table) Leaves(e registry.Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	notice, exists := t.leaving[e.Identity]
	return exists && notice.startedAtMillis == e.StartedAtMillis
}

// Pause records that a target, which the request found registered as e, wants no requests from this
// daemon for a time. A pause that lasts longer stays in force. It reports whether a pause begins.
func (t *Table) Pause(now time.Time, e registry.Entry, length time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := pause{e.StartedAtMillis, now.Add(min(length, maxPause))}
	known, exists := t.pauses[e.Identity]
	same := exists && known.startedAtMillis == next.startedAtMillis
	if length <= 0 || exists && known.startedAtMillis > next.startedAtMillis || same && !known.until.Before(next.until) {
		return false
	}
	t.pauses[e.Identity] = next
	return !same || !now.Before(known.until)
}

// IsPaused reports whether the process that is registered as e has asked for a pause that lasts.
func (t *Table) IsPaused(now time.Time, e registry.Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, exists := t.pauses[e.Identity]
	return exists && p.startedAtMillis == e.StartedAtMillis && now.Before(p.until)
}

// Pauses returns the pauses that last, of the registered processes, and forgets the others.
func (t *Table) Pauses(now time.Time, registered map[ident.Target]registry.Entry) (list []Pause) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.pauses {
		e, exists := registered[id]
		switch {
		case !now.Before(p.until), exists && e.StartedAtMillis != p.startedAtMillis:
			delete(t.pauses, id)
		case exists:
			list = append(list, Pause{id, p.until})
		}
	}
	return list
}

// Malformed records that a target has sent a notice that makes no sense, and reports whether it is the
// first one of its process.
func (t *Table) Malformed(e registry.Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	startedAt, known := t.malformed[e.Identity]
	t.malformed[e.Identity] = e.StartedAtMillis
	return !known || startedAt != e.StartedAtMillis
}

// Changed returns a channel that receives a value when there are new notices for Apply.
func (t *Table) Changed() <-chan struct{} { return t.changed }

// Apply marks the targets that have said that they leave as draining in a list of the registered
// targets, and drops the notices of processes that have ended. The last targets of a service that can
// be used are marked later; next is when to call Apply again for these, zero if there are none.
func (t *Table) Apply(now time.Time, entries []registry.Entry) (next time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.leaving)+len(t.malformed) == 0 {
		return time.Time{}
	}
	t.dropEnded(now, entries)
	stays := map[ident.Service]bool{}
	for _, e := range entries {
		if _, leaves := t.leaving[e.Identity]; !leaves && !e.Draining {
			stays[e.Service] = true
		}
	}
	for i, e := range entries {
		notice, leaves := t.leaving[e.Identity]
		if !leaves || e.Draining {
			continue
		}
		end := notice.at.Add(lastTargetUse)
		if stays[e.Service] || !now.Before(end) {
			entries[i].Draining = true
		} else if next.IsZero() || end.Before(next) {
			next = end
		}
	}
	return next
}

// dropEnded drops the notices of processes that have ended. The caller holds the lock.
func (t *Table) dropEnded(now time.Time, entries []registry.Entry) {
	registered := make(map[ident.Target]registry.Entry, len(entries))
	for _, e := range entries {
		registered[e.Identity] = e
	}
	for id, notice := range t.leaving {
		e, exists := registered[id]
		switch {
		case exists && e.StartedAtMillis == notice.startedAtMillis:
			notice.lastSeen = now
			t.leaving[id] = notice
		case exists, notice.startedAtMillis == 0, now.Sub(notice.lastSeen) > retention:
			delete(t.leaving, id)
		}
	}
	for id := range t.malformed {
		if _, exists := registered[id]; !exists {
			delete(t.malformed, id)
		}
	}
}
