package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/origin"
	"github.com/savorystall/savorystall/internal/poison"
)

// sentMessages collects the messages of a loop.
type sentMessages []booking.Message

func (s *sentMessages) SendBookingMessage(_ ident.Daemon, m booking.Message) { *s = append(*s, m) }

func (*sentMessages) CheckWarmth(booking.CheckWarmth)                  {}
func (s *sentMessages) SendOriginMessage(ident.Daemon, origin.Message) {}

// SendPoisonMessage implements control.BookingActions.
func (s *sentMessages) SendPoisonMessage(ident.Daemon, poison.Message) {}

// PoisonEffect implements control.BookingActions.
func (s *sentMessages) PoisonEffect(poison.Effect) {}

// loopWithPeer returns a loop that is not running, whose only target is owned by a peer. The time
// is an argument of what the test calls in its place.
func loopWithPeer(now time.Time) (*BookingLoop, *sentMessages) {
	core := booking.New(booking.Config{Self: "a", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	core.SetPeers(now, []booking.Peer{{ID: "b", Incarnation: 1, Zone: "y"}})
	core.Configure(now, []booking.Service{{
		Name: "pool", ServesModel: true, Rate: 1e6, Workspaces: []booking.Workspace{{Name: "w", Weight: 1}},
		Targets: []booking.Target{{Name: "t", Zone: "y", Slots: 8, Memory: 100000}},
	}})
	sent := &sentMessages{}
	loop := NewBookingLoop(Config{}, core, origin.New(origin.Config{Self: "a", Zone: "z"}, time.Now()), "a", sent)
	loop.tick(now) // the first publication
	loop.applyEffects()
	return loop, sent
}

func (b *BookingLoop) submit(now time.Time, id ident.Request) chan Placement {
	result := make(chan Placement, 1)
	b.waiters[id] = result
	b.core.Submit(now, booking.Request{ID: id, Service: "pool", Workspace: "w", Prompt: 100, Output: 10, Deadline: now.Add(time.Second)})
	b.applyEffects()
	return result
}

// Guards against replies that are not read in time although they have arrived: goroutines wait
// hundreds of ms for their turn, and the reply to a reservation that was sent while the loop waited
// for the readers of earlier ones was given up together with those.
func TestReservationSentWhileATickIsDeferredHasItsOwnTurns(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	loop, _ := loopWithPeer(now)
	loop.submit(now, "first")
	now = now.Add(50 * time.Millisecond)
	loop.tick(now)
	second := loop.submit(now.Add(10*time.Millisecond), "second")
	now = now.Add(100 * time.Millisecond)
	(<-loop.events)(now) // the readers have had their turns
	loop.applyEffects()
	is.Equal(len(second), 0) // still waits for its reply
	loop.tick(now)
	(<-loop.events)(now)
	loop.applyEffects()
	is.Equal(len(second), 1)
}

// Guards against sums and held requests that are late on a daemon that is short of processor time:
// they were deferred together with the replies that are overdue.
func TestOverdueReplyDefersNothingElse(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	loop, sent := loopWithPeer(now)
	loop.core.RecordShed(now, "pool", "w", 1000)
	loop.submit(now.Add(470*time.Millisecond), "r")
	before := len(*sent)
	now = now.Add(520 * time.Millisecond) // an interval of publication has passed
	loop.tick(now)
	loop.applyEffects()
	is.True(len(*sent) > before)
}

// Guards against a wait without a bound: with each event that a busy loop handled, the bound of the
// wait for the readers of replies began anew.
func TestWaitForReadersOfRepliesIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	loop, _ := loopWithPeer(now)
	placed := loop.submit(now, "r")
	now = now.Add(50 * time.Millisecond)
	loop.tick(now)
	deferred := <-loop.events // and it is not handled
	const eventInterval = 10 * time.Millisecond
	for end := now.Add(1200 * time.Millisecond); now.Before(end); now = now.Add(eventInterval) {
		if loop.core.NextTick(now) < eventInterval {
			loop.tick(now)
		}
		loop.applyEffects()
	}
	is.Equal(len(placed), 1)
	deferred(now) // changes nothing any more
	is.True(!loop.core.RepliesOverdue(now))
}
