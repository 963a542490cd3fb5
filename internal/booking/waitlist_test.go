package booking

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
)

// waitlistOrder orders waiting requests with the given shares used and returns their workspaces.
func waitlistOrder(entries []*waiting) (names string) {
	now := time.Unix(1000, 0)
	l := &waitlist{entries: entries}
	for _, w := range entries {
		w.due = now.Add(time.Duration(w.res.Remaining))
		w.sendBy = w.due.Add(-w.unqueuedFirstByte)
	}
	l.order(now, now, func(w *waiting) float64 { return w.res.shareForTest() })
	for _, w := range l.entries {
		names += string(w.res.Workspace)
	}
	return names
}

// shareForTest encodes a share used in the workspace's name: an upper-case one is above its share.
func (r *Reservation) shareForTest() float64 {
	if r.Workspace < "a" {
		return 1.1
	}
	return 0.5
}

func waitingFor(ws ident.Workspace, remaining, prefill time.Duration) *waiting {
	return &waiting{res: Reservation{Workspace: ws, Remaining: remaining}, prefill: prefill, unqueuedFirstByte: prefill + 40*time.Millisecond}
}

// Guards against a workspace above its share that waits ahead of one below it, and against requests
// with more time that are sent before those with less.
func TestWaitlistIsOrderedBySharesAndTime(t *testing.T) {
	const ms = time.Millisecond
	is.New(t).Equal(waitlistOrder([]*waiting{
		waitingFor("X", 100*ms, 5*ms), waitingFor("b", 300*ms, 5*ms), waitingFor("Y", 90*ms, 5*ms), waitingFor("a", 200*ms, 5*ms),
	}), "abYX")
}

// Guards against one long prompt that makes the short ones behind it late. One request that becomes late
// does not hold it back, nor do those that are not delayed beyond their time.
func TestLongPromptDoesNotDelayShortOnes(t *testing.T) {
	const ms = time.Millisecond
	is := is.New(t)
	long := func() *waiting { return waitingFor("l", 500*ms, 400*ms) }
	short := func(remaining time.Duration) *waiting { return waitingFor("s", remaining, 5*ms) }
	is.Equal(waitlistOrder([]*waiting{short(250 * ms), short(300 * ms), short(900 * ms), long()}), "ssls")
	is.Equal(waitlistOrder([]*waiting{short(250 * ms), short(900 * ms), long()}), "lss")
}
