package membership

import (
	"sort"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

const (
	// unreachablePeriod is how long a daemon that has fallen silent may still be alive. It bounds the
	// effect of VMs that are gone for good and still listed.
	unreachablePeriod = 10 * time.Minute
	// neverReachedPeriod is the same for a daemon that is listed and was never reached. It is shorter,
	// since most of those are gone.
	neverReachedPeriod = time.Minute
)

// Unreachable is another daemon from which nothing arrives, and whose end is not known: it may be
// cut off and act on its own.
type Unreachable struct {
	ID   ident.Daemon
	Zone ident.Zone
	// Until is when the daemon no longer counts, unless something changes before.
	Until time.Time
}

// aloneAfter returns the silence after which a daemon may soon count this one as dead. Where only some
// daemons are watched, the silence of the others begins later than that of this one does for them.
func (t *Table) aloneAfter() time.Duration {
	if t.selection.watchAll {
		return t.cfg.DeadAfter - t.cfg.SuspectAfter/3
	}
	return t.cfg.SuspectAfter
}

// noteSilence records that a daemon may act alone.
func (t *Table) noteSilence(e *entry, silence time.Duration) {
	if !e.mayActAlone && silence >= t.aloneAfter() {
		e.mayActAlone = true
		t.version++
	}
}

// Unreachable returns the daemons that may be alive although nothing arrives from them, sorted by name.
// Those that have announced their end, or that the VM list no longer has, are not among them.
func (t *Table) Unreachable(now time.Time) []Unreachable {
	var list []Unreachable
	for _, e := range t.entries {
		var until time.Time
		switch e.stateMachine.State() {
		case Listed:
			until = e.createdAt.Add(neverReachedPeriod)
		case Suspect:
			if !e.mayActAlone {
				continue
			}
			until = e.lastHeard.Add(unreachablePeriod)
		case Dead:
			if !e.listed || e.isLeaving() {
				continue
			}
			until = e.lastHeard.Add(unreachablePeriod)
		}
		if now.Before(until) {
			list = append(list, Unreachable{ID: e.id, Zone: e.zone, Until: until})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
