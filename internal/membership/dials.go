package membership

import (
	"sort"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// Dials returns at most limit daemons to dial now and counts them as being
// dialled until LinkUp or DialFailed.
func (t *Table) Dials(now time.Time, limit int) []Dial {
	var due []*entry
	for _, e := range t.entries {
		if t.wanted(now, e) && !now.Before(e.nextDial) {
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
		e.dialling = true
		dials = append(dials, Dial{ID: e.id, Address: e.address})
	}
	return dials
}

func (t *Table) wanted(now time.Time, e *entry) bool {
	if e.linked || e.dialling || e.address == "" {
		return false
	}
	return e.listed || now.Sub(e.from()) < unlistedDials
}

// DialFailed takes in that a dial brought no link and sets the next one.
func (t *Table) DialFailed(now time.Time, id ident.Daemon) {
	e, ok := t.entries[id]
	if !ok {
		return
	}
	e.dialling = false
	wait := t.cfg.BackoffCap
	if e.failures < maxDoublings {
		wait = min(wait, t.cfg.BackoffBase<<e.failures)
		e.failures++
	}
	e.nextDial = now.Add(t.jitter(wait))
}

// maxDoublings keeps the shift of the backoff in range.
const maxDoublings = 16

// jitter spreads a wait evenly between half and one and a half of it.
func (t *Table) jitter(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(t.random.Int64N(int64(wait)+1))
}
