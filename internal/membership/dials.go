package membership

import (
	"sort"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// StartDials returns at most limit daemons to dial now and marks them as being
// dialed until LinkUp or DialFailed is called.
func (t *Table) StartDials(now time.Time, limit int) []Dial {
	var due []*entry
	for _, e := range t.entries {
		if t.needsDial(now, e) && !now.Before(e.nextDial) {
			due = append(due, e)
		}
	}
	sort.Slice(due, func(i, j int) bool {
		if !due[i].nextDial.Equal(due[j].nextDial) {
			return due[i].nextDial.Before(due[j].nextDial)
		}
		return due[i].id < due[j].id
	})
	if len(due) > limit {
		due = due[:max(limit, 0)]
	}
	dials := make([]Dial, 0, len(due))
	for _, e := range due {
		e.dialing = true
		dials = append(dials, Dial{ID: e.id, Address: e.address})
	}
	return dials
}

func (t *Table) needsDial(now time.Time, e *entry) bool {
	if e.linked || e.dialing || e.address == "" {
		return false
	}
	return e.listed || now.Sub(e.silentSince()) < unlistedDialPeriod
}

// DialFailed records that a dial has failed and schedules the next one.
func (t *Table) DialFailed(now time.Time, id ident.Daemon) {
	e, ok := t.entries[id]
	if !ok {
		return
	}
	e.dialing = false
	wait := t.cfg.BackoffCap
	if e.dialFailures < maxBackoffDoublings {
		wait = min(wait, t.cfg.BackoffBase<<e.dialFailures)
		e.dialFailures++
	}
	e.nextDial = now.Add(t.jitter(wait))
}

// maxBackoffDoublings prevents the shift that computes the backoff from
// overflowing.
const maxBackoffDoublings = 16

// jitter returns a uniformly distributed duration between half and one and a
// half times wait.
func (t *Table) jitter(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(t.random.Int64N(int64(wait)+1))
}
