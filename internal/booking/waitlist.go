package booking

import (
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// A request that finds no slot or no memory on its target may wait at the owner for a bounded time.
//
// Load pattern: a target with 48 slots frees one every 50 ms at full load, one with 12 slots every
// 100 to 200 ms, while the objective of a short prompt leaves 200 ms and more beside its own
// prefill. Refused at once, its caller returns later with an answer that is late in any case.
//
// The request stays at its ingress, and its target does not know of it. The list of a target holds
// only requests that can be expected to get a slot and then to be in time. A backlog of prefill is
// no reason to wait: an engine works in order of arrival, so that it is no shorter for a request
// that is sent later.

const (
	// maxWaitingSlotFraction and minWaitlistLimit bound the requests that wait at a target, as a fraction of its
	// slots and at least: with more of them, the last ones wait longer than objectives allow.
	maxWaitingSlotFraction = 0.25
	minWaitlistLimit       = 2
	// waitMargin is the time that a waiting request leaves for the message that grants its slot.
	waitMargin = 15 * time.Millisecond
	// minDepartures is the decaying number of requests that must have left a target for the rate at
	// which it frees slots to be known.
	minDepartures = 2.0
	// maxDelayedByOne is how many other waiting requests may become late by the prefill of one that
	// is sent before them. If there are more, they are sent first.
	maxDelayedByOne = 1
)

// waiting is a request that waits at the owner of its target.
type waiting struct {
	ingress ident.Daemon
	target  *engine
	res     Reservation
	// queuedAt is when it began to wait, due when its first byte is due, and sendBy the end of its
	// wait.
	queuedAt, due, sendBy time.Time
	// prefill is its prefill time, and unqueuedFirstByte the time to its first byte after it was sent.
	prefill, unqueuedFirstByte time.Duration
	// shareUsed is how much of its share its workspace has used, as of the last ordering.
	shareUsed float64
}

// waitlist holds the requests that wait for a slot or memory of one target.
type waitlist struct {
	entries []*waiting
	// departures is the decaying number of requests that have left the target.
	departures decayingSum
	counts     WaitCounts
	// lastSpareAt is when the target last had spare capacity.
	lastSpareAt time.Time
}

// WaitCounts counts the requests that have waited for slots, by how their waits ended.
type WaitCounts struct {
	// Granted got a slot, Expired could not be in time any more, Refused lost their target, its
	// owner or their share, and Withdrawn were given up by their ingresses.
	Granted   int `json:"granted,omitempty"`
	Expired   int `json:"expired,omitempty"`
	Refused   int `json:"refused,omitempty"`
	Withdrawn int `json:"withdrawn,omitempty"`
	// GrantedMillis is the total time that those that got a slot have waited.
	GrantedMillis int64 `json:"granted_ms,omitempty"`
}

func (w *WaitCounts) add(o WaitCounts) {
	w.Granted += o.Granted
	w.Expired += o.Expired
	w.Refused += o.Refused
	w.Withdrawn += o.Withdrawn
	w.GrantedMillis += o.GrantedMillis
}

// expectedWait returns the expected time until a further request gets a slot of a target with the
// given number of slots, and whether the request may wait at all. Excess is how many requests have to
// leave the target before the first one that leaves for a waiting request.
func (l *waitlist) expectedWait(now time.Time, slots int, excess float64) (time.Duration, bool) {
	departures := l.departures.now(now)
	if len(l.entries) >= max(minWaitlistLimit, int(maxWaitingSlotFraction*float64(slots))) || departures < minDepartures {
		return 0, false
	}
	return time.Duration((excess + float64(len(l.entries)+1)) / departures * float64(decayTime)), true
}

// order sorts the waiting requests: those of workspaces within their shares come first, then those
// that must be sent first. One that would make several others late comes after these.
func (l *waitlist) order(now, prefillFreeAt time.Time, shareUsed func(*waiting) float64) {
	for _, w := range l.entries {
		w.shareUsed = shareUsed(w)
	}
	slices.SortStableFunc(l.entries, func(a, b *waiting) int {
		switch {
		case a.exceedsShare() && !b.exceedsShare():
			return 1
		case !a.exceedsShare() && b.exceedsShare():
			return -1
		}
		return a.sendBy.Compare(b.sendBy)
	})
	start := laterOf(prefillFreeAt, now)
	for i, w := range l.entries {
		if last := l.lastDelayed(i, start); last > i {
			copy(l.entries[i:last], l.entries[i+1:last+1])
			l.entries[last] = w
			return
		}
	}
}

// exceedsShare reports whether the workspace of the request has used up its share.
func (w *waiting) exceedsShare() bool { return w.shareUsed >= 1 }

// lastDelayed returns the position of the last request that becomes late if the one at position i is
// sent now, whose prefill then starts at a given time; i if few become late.
func (l *waitlist) lastDelayed(i int, start time.Time) int {
	last, delayed := i, 0
	free := start.Add(l.entries[i].prefill)
	for j := i + 1; j < len(l.entries) && l.entries[j].exceedsShare() == l.entries[i].exceedsShare(); j++ {
		w := l.entries[j]
		if free.Add(w.unqueuedFirstByte).After(w.due) && !start.Add(w.unqueuedFirstByte).After(w.due) {
			last, delayed = j, delayed+1
		}
	}
	if delayed <= maxDelayedByOne {
		return i
	}
	return last
}

// remove removes a request from the list.
func (l *waitlist) remove(w *waiting) {
	if i := slices.Index(l.entries, w); i >= 0 {
		l.entries = slices.Delete(l.entries, i, i+1)
	}
}
