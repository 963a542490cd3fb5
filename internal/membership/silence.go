package membership

import (
	"sort"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// Silent returns the daemons whose link has brought nothing for SuspectAfter.
// Such a link is to be replaced by one on a new connection: something between
// the two ends may have lost track of the old one, which then stays silent for
// good while new connections work.
func (t *Table) Silent(now time.Time) []ident.Daemon {
	var ids []ident.Daemon
	for _, e := range t.entries {
		if e.linked && e.quiet(now) >= t.cfg.SuspectAfter {
			ids = append(ids, e.id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// Tick lets time pass: members that were not heard become suspect, then dead.
// It is to be called several times a second.
func (t *Table) Tick(now time.Time) {
	t.forgivePause(now)
	t.settleWatch(now)
	for _, e := range t.entries {
		quiet := e.quiet(now)
		if quiet >= t.cfg.SuspectAfter {
			t.fire(e, silent)
			t.report(now, e)
		}
		if quiet >= t.cfg.DeadAfter {
			t.fire(e, expired)
		}
	}
	t.forget(now)
}

// forgivePause guards against the daemon's own pause (a stopped process, a busy
// VM): when it wakes, every peer has been silent for as long as it slept, and it
// would declare all of them dead at once and take over all their targets, while
// their frames still wait in its buffers. A gap between two ticks says nothing
// about the peers, so it is taken off their silence.
func (t *Table) forgivePause(now time.Time) {
	gap := now.Sub(t.ticked)
	first := t.ticked.IsZero()
	t.ticked = now
	if first || gap < t.cfg.SuspectAfter/2 {
		return
	}
	for _, e := range t.entries {
		for _, since := range []*time.Time{&e.lastHeard, &e.since} {
			if !since.IsZero() {
				*since = since.Add(min(gap, now.Sub(*since)))
			}
		}
	}
}

func (t *Table) forget(now time.Time) {
	for id, e := range t.entries {
		if e.listed || e.linked || e.dialling {
			continue
		}
		if e.incarnation == 0 || e.machine.State() == Dead && now.Sub(e.lastHeard) >= t.cfg.ForgetAfter {
			t.fire(e, forgotten)
			delete(t.entries, id)
		}
	}
}
