package booking_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
)

// Guards against replies that count as missing before they could be read: a tick that was deferred
// for the first reservation must not give up the second one, which has become overdue meanwhile.
func TestDeferredTickGivesUpOnlyWhatWasOverdue(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	c := booking.New(booking.Config{Self: "a", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	c.SetPeers(start, []booking.Peer{{ID: "b", Incarnation: 1, Zone: "y"}})
	c.Configure(start, []booking.Service{{
		Name: "pool", ServesModel: true, Workspaces: []booking.Workspace{{Name: "w", Weight: 1}},
		Targets: []booking.Target{{Name: "t", Zone: "y", Slots: 8, Memory: 100000}},
	}})
	submit := func(now time.Time, r booking.Request) (reservation uint64) {
		r.Service, r.Workspace, r.Prompt, r.Output, r.Deadline = "pool", "w", 100, 10, now.Add(time.Second)
		c.Submit(now, r)
		for _, effect := range c.TakeEffects() {
			if send, ok := effect.(booking.Send); ok && len(send.Message.Reservations) > 0 {
				reservation = send.Message.Reservations[0].ID
			}
		}
		return reservation
	}
	submit(start, booking.Request{ID: "first"})
	second := submit(start.Add(30*time.Millisecond), booking.Request{ID: "second"})
	is.True(c.RepliesOverdue(start.Add(45 * time.Millisecond)))
	now := start.Add(200 * time.Millisecond)
	c.TickWithReplies(now, start.Add(45*time.Millisecond))
	c.TakeEffects()
	c.Receive(now, "b", booking.Message{Incarnation: 1, Replies: []booking.Reply{{ID: second, OK: true}}})
	effects := c.TakeEffects()
	is.Equal(len(effects), 1)
	dispatch, ok := effects[0].(booking.Dispatch)
	is.True(ok)
	is.Equal(string(dispatch.Request), "second")
	is.True(dispatch.Basis.SelectedBy != "blind")
}
