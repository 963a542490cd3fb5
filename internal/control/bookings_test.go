package control_test

import (
	"context"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/origin"
	"github.com/savorystall/savorystall/internal/poison"
)

// outgoing collects the messages of a loop.
type outgoing chan booking.Message

func (o outgoing) SendBookingMessage(_ ident.Daemon, m booking.Message) {
	if len(m.Reservations) > 0 {
		o <- m
	}
}

func (outgoing) CheckWarmth(booking.CheckWarmth)                  {}
func (o outgoing) SendOriginMessage(ident.Daemon, origin.Message) {}

// SendPoisonMessage implements control.BookingActions.
func (outgoing) SendPoisonMessage(ident.Daemon, poison.Message) {}

// PoisonEffect implements control.BookingActions.
func (outgoing) PoisonEffect(poison.Effect) {}

// Guards against requests that are refused although targets have admitted them: on a daemon that is
// short of processor time the timer of the loop runs before the goroutine that has a reply to read,
// and all owners seem silent.
func TestArrivedReplyIsReadBeforeItIsOverdue(t *testing.T) {
	is := is.New(t)
	previous := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(previous)
	core := booking.New(booking.Config{Self: "a", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	sent := make(outgoing, 1)
	loop := control.NewBookingLoop(control.Config{}, core, origin.New(origin.Config{Self: "a", Zone: "z"}, time.Now()), "a", sent)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go loop.Run(ctx)
	loop.SetPeers([]booking.Peer{{ID: "b", Incarnation: 1, Zone: "y"}})
	loop.Configure([]booking.Service{{
		Name: "pool", ServesModel: true, Workspaces: []booking.Workspace{{Name: "w", Weight: 1}},
		Targets: []booking.Target{{Name: "t", Zone: "y", Slots: 8, Memory: 100000}},
	}})
	placed := make(chan control.Placement, 1)
	go func() {
		placed <- loop.Place(ctx, booking.Request{ID: "r", Service: "pool", Workspace: "w", Prompt: 100, Output: 10, Deadline: time.Now().Add(10 * time.Second)})
	}()
	reservation := (<-sent).Reservations[0]
	stopLoad := occupyProcessor(ctx)
	defer stopLoad()
	go func() {
		runtime.Gosched() // the reply has arrived, and its reader waits for its turn
		loop.Receive("b", booking.Message{Incarnation: 1, Replies: []booking.Reply{{ID: reservation.ID, OK: true, Wait: time.Millisecond}}})
	}()
	p := <-placed
	is.True(p.Failure == nil)
	is.True(p.Basis.SelectedBy != "blind") // not placed for want of a reply
}

// occupyProcessor keeps goroutines runnable, so that another one waits longer for its turn than the
// loop waits for a reply.
func occupyProcessor(ctx context.Context) (stop func()) {
	const busyTime, goroutines = 2 * time.Millisecond, 100
	ctx, stop = context.WithCancel(ctx)
	for range goroutines {
		go func() {
			for ctx.Err() == nil {
				for end := time.Now().Add(busyTime); time.Now().Before(end); {
				}
				runtime.Gosched()
			}
		}()
	}
	return stop
}
