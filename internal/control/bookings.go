package control

import (
	"context"
	"time"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// BookingActions carries out what package booking decided. The methods are called
// from the control goroutine and must not block.
type BookingActions interface {
	// SendBookings passes a message to another daemon.
	SendBookings(to ident.Daemon, m booking.Message)
}

// Placement is the end of the search for a target: one, or a failure.
type Placement struct {
	Target  ident.Target
	Basis   booking.Basis
	Failure *resultcode.Failure
}

// Bookings owns a booking.Core.
type Bookings struct {
	mailbox
	cfg     Config
	core    *booking.Core
	actions BookingActions
	waiters map[ident.Request]chan Placement
}

// NewBookings returns a loop around core. Run must be called for anything to
// happen.
func NewBookings(cfg Config, core *booking.Core, actions BookingActions) *Bookings {
	cfg = cfg.withDefaults()
	return &Bookings{
		mailbox: newMailbox(cfg), cfg: cfg, core: core, actions: actions,
		waiters: map[ident.Request]chan Placement{},
	}
}

// Run handles events until ctx ends. Requests that still wait then are refused as
// not run.
func (b *Bookings) Run(ctx context.Context) {
	b.run(ctx, b.core.NextTick, b.core.Tick, b.carryOut)
	for id := range b.waiters {
		b.place(id, Placement{Failure: resultcode.Fail(resultcode.Stopping, "")})
	}
}

func (b *Bookings) carryOut() {
	for _, effect := range b.core.TakeEffects() {
		switch e := effect.(type) {
		case booking.Dispatch:
			b.place(e.Request, Placement{Target: e.Target, Basis: e.Basis})
		case booking.Refuse:
			b.place(e.Request, Placement{Failure: e.Failure, Basis: e.Basis})
		case booking.Send:
			b.actions.SendBookings(e.To, e.Message)
		}
	}
}

func (b *Bookings) place(id ident.Request, p Placement) {
	if w, ok := b.waiters[id]; ok {
		delete(b.waiters, id)
		w <- p // buffered: one value a waiter
	}
}

// Place waits until a request has a target or is refused. One whose caller leaves
// meanwhile is withdrawn.
func (b *Bookings) Place(ctx context.Context, r booking.Request) Placement {
	placed := make(chan Placement, 1)
	ok := b.do(func(now time.Time) {
		b.waiters[r.ID] = placed
		b.core.Submit(now, r)
	})
	if !ok {
		return Placement{Failure: resultcode.Fail(resultcode.Stopping, "")}
	}
	select {
	case p := <-placed:
		return p
	case <-b.done:
		return lastPlacement(placed)
	case <-ctx.Done():
		b.call(func(now time.Time) {
			delete(b.waiters, r.ID)
			b.core.Finish(now, r.ID, booking.Result{})
		})
		return Placement{Failure: resultcode.Fail(resultcode.CallerGone, "")}
	}
}

// lastPlacement returns what came before the loop ended.
func lastPlacement(placed chan Placement) Placement {
	select {
	case p := <-placed:
		return p
	default:
		return Placement{Failure: resultcode.Fail(resultcode.Stopping, "")}
	}
}

// First reports that the first byte of an answer has come.
func (b *Bookings) First(id ident.Request, took time.Duration) {
	b.do(func(now time.Time) { b.core.FirstByte(now, id, took) })
}

// Finish reports how the attempt of a placed request ended.
func (b *Bookings) Finish(id ident.Request, result booking.Result) {
	b.do(func(now time.Time) { b.core.Finish(now, id, result) })
}

// Wanted counts what a workspace asked for without a place being looked for.
func (b *Bookings) Wanted(service ident.Service, workspace ident.Workspace, cost float64) {
	b.do(func(now time.Time) { b.core.RecordShed(now, service, workspace, cost) })
}

// Configure puts new services in force.
func (b *Bookings) Configure(services []booking.Service) {
	b.do(func(now time.Time) { b.core.Configure(now, services) })
}

// Receive hands over a message of another daemon.
func (b *Bookings) Receive(from ident.Daemon, m booking.Message) {
	b.do(func(now time.Time) { b.core.Receive(now, from, m) })
}

// Peers replaces the list of other live daemons.
func (b *Bookings) Peers(peers []booking.Peer) {
	b.do(func(now time.Time) { b.core.SetPeers(now, peers) })
}

// LinkUp tells that a link to a peer is up.
func (b *Bookings) LinkUp(id ident.Daemon) {
	b.do(func(now time.Time) { b.core.LinkUp(now, id) })
}

// LinkLost tells that messages to or from a peer may have been lost.
func (b *Bookings) LinkLost(id ident.Daemon) {
	b.do(func(now time.Time) { b.core.LinkLost(now, id) })
}

// Leave begins a planned stop.
func (b *Bookings) Leave() { b.do(func(now time.Time) { b.core.Leave(now) }) }

// Inspect runs f on the control goroutine and waits for it; f must decide nothing.
func (b *Bookings) Inspect(f func(*booking.Core)) bool {
	return b.call(func(time.Time) { f(b.core) })
}
