package membership

import (
	"sort"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// SilentLinks returns the watched daemons over whose link nothing has arrived
// for SuspectAfter. The caller replaces such a link by one on a new connection:
// a middlebox between the two ends may have lost the state of the old
// connection, which then stays silent forever while new connections work.
func (t *Table) SilentLinks(now time.Time) []ident.Daemon {
	var ids []ident.Daemon
	for _, e := range t.entries {
		if e.linked && e.silence(now) >= t.cfg.SuspectAfter {
			ids = append(ids, e.id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// Tick advances the time: members without heartbeats become suspect, then dead.
// It must be called several times per second.
func (t *Table) Tick(now time.Time) {
	t.compensateLocalPause(now)
	t.updateWatched(now)
	for _, e := range t.entries {
		silence := e.silence(now)
		t.noteSilence(e, silence)
		if silence >= t.cfg.SuspectAfter {
			t.fireIfAccepted(e, triggerSilent)
			t.reportSilence(now, e)
		}
		if silence >= t.cfg.DeadAfter {
			t.fireIfAccepted(e, triggerExpired)
		}
	}
	t.removeForgotten(now)
}

// compensateLocalPause handles a pause of this daemon itself (a stopped process,
// an overloaded VM). When it resumes, every peer seems to have been silent for
// the whole pause while their frames still wait in the receive buffers; the
// daemon would declare all of them dead at once and take over all their targets.
// A gap between two ticks is no evidence about the peers, so it is subtracted
// from their silence.
func (t *Table) compensateLocalPause(now time.Time) {
	gap := now.Sub(t.lastTick)
	first := t.lastTick.IsZero()
	t.lastTick = now
	if first || gap < t.cfg.SuspectAfter/2 {
		return
	}
	for _, e := range t.entries {
		for _, since := range []*time.Time{&e.lastHeard, &e.watchedSince} {
			if !since.IsZero() {
				*since = since.Add(min(gap, now.Sub(*since)))
			}
		}
	}
}

func (t *Table) removeForgotten(now time.Time) {
	for id, e := range t.entries {
		if e.listed || e.linked || e.dialing {
			continue
		}
		if e.incarnation == 0 || e.stateMachine.State() == Dead && now.Sub(e.lastHeard) >= t.cfg.ForgetAfter {
			t.fireIfAccepted(e, triggerForgotten)
			delete(t.entries, id)
		}
	}
}
