package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/origin"
	"github.com/savorystall/savorystall/internal/poison"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/turn"
)

// BookingActions carries out the decisions of packages booking, origin and poison. Its methods are
// called from the control goroutine and must not block.
type BookingActions interface {
	// SendBookingMessage sends a message to another daemon.
	SendBookingMessage(to ident.Daemon, m booking.Message)
	// CheckWarmth checks the health of a target. The result is passed to BookingLoop.RecordWarmth.
	CheckWarmth(check booking.CheckWarmth)
	// SendOriginMessage sends a message about the origins of streams to another daemon.
	SendOriginMessage(to ident.Daemon, m origin.Message)
	// SendPoisonMessage sends a message about requests that end targets to another daemon.
	SendPoisonMessage(to ident.Daemon, m poison.Message)
	// PoisonEffect reports what has changed about such requests: a poison.Suspected, HoldBegan or
	// HoldEnded.
	PoisonEffect(effect poison.Effect)
}

// Placement is the result of the search for a target: a target or a failure.
type Placement struct {
	Target  ident.Target
	Basis   booking.Basis
	Failure *resultcode.Failure
}

// BookingLoop owns a booking.Core, an origin.Core and a poison.Core.
type BookingLoop struct {
	mailbox
	cfg     Config
	core    *booking.Core
	origins *origin.Core
	poison  *poison.Core
	// recent is what the poison core knows to have lately run to its end.
	recent *poison.Recent
	// poisonTable is the table of poison as of its last change.
	poisonTable atomic.Pointer[poison.Table]
	actions     BookingActions
	waiters     waiters[Placement]
	finders     waiters[origin.Finding]
	// overdueAt is when overdue replies were found that are given up once the goroutines that read
	// replies have run; zero if there are none.
	overdueAt time.Time
}

// NewBookingLoop returns a loop around the cores, and a core of package poison of its own. It does
// nothing until Run is called.
func NewBookingLoop(cfg Config, core *booking.Core, origins *origin.Core, self ident.Daemon, actions BookingActions) *BookingLoop {
	recent := poison.NewRecent()
	cfg = cfg.withDefaults()
	return &BookingLoop{
		mailbox: newMailbox(cfg), cfg: cfg, core: core, origins: origins, poison: poison.New(self, recent), recent: recent, actions: actions,
		waiters: waiters[Placement]{}, finders: waiters[origin.Finding]{},
	}
}

// Run handles events until ctx ends. Requests that still wait then are refused as not run.
func (b *BookingLoop) Run(ctx context.Context) {
	untilTick := func(now time.Time) time.Duration {
		return min(b.core.NextTick(now), b.origins.NextTick(now), b.poison.NextTick(now))
	}
	b.run(ctx, untilTick, b.tick, b.applyEffects)
	b.waiters.deliverAll(stoppedPlacement)
	b.finders.deliverAll(func() origin.Finding { return origin.Finding{} })
}

// maxReplyDelay bounds how long the goroutines that read replies are waited for.
const maxReplyDelay = time.Second

// tick handles what is due. Overdue replies are given up only after the goroutines that read
// replies have run: on a daemon that is short of processor time, timers run before them, so that
// all owners would seem silent although their replies have arrived. Nothing else waits meanwhile.
func (b *BookingLoop) tick(now time.Time) {
	b.origins.Tick(now)
	b.poison.Tick(now)
	b.core.TickExceptReplies(now)
	switch {
	case !b.overdueAt.IsZero():
		if now.Sub(b.overdueAt) >= maxReplyDelay {
			b.giveUpReplies(now, b.overdueAt)
		}
	case b.core.RepliesOverdue(now):
		b.overdueAt = now
		turn.After(func() {
			b.post(func(later time.Time) { b.giveUpReplies(later, now) })
		})
	}
}

// giveUpReplies gives up the replies that were overdue when the loop began to wait for their
// readers. Reservations sent since then have turns of their own.
func (b *BookingLoop) giveUpReplies(now, overdueAt time.Time) {
	if !b.overdueAt.Equal(overdueAt) {
		return // given up when maxReplyDelay had passed
	}
	b.overdueAt = time.Time{}
	b.core.GiveUpReplies(now, overdueAt)
}

func (b *BookingLoop) applyEffects() {
	b.applyOriginEffects()
	b.applyPoisonEffects()
	for _, effect := range b.core.TakeEffects() {
		switch e := effect.(type) {
		case booking.Dispatch:
			b.waiters.deliver(e.Request, Placement{Target: e.Target, Basis: e.Basis})
		case booking.Refuse:
			b.waiters.deliver(e.Request, Placement{Failure: e.Failure, Basis: e.Basis})
		case booking.Send:
			b.actions.SendBookingMessage(e.To, e.Message)
		case booking.CheckWarmth:
			b.actions.CheckWarmth(e)
		}
	}
}

func stoppedPlacement() Placement {
	return Placement{Failure: resultcode.Fail(resultcode.Stopping, "")}
}

// Place waits until a request has a target or is refused. If ctx ends first, the request is
// withdrawn.
func (b *BookingLoop) Place(ctx context.Context, r booking.Request) Placement {
	result := make(chan Placement, 1)
	ok := b.post(func(now time.Time) {
		b.waiters[r.ID] = result
		b.core.Submit(now, r)
	})
	if !ok {
		return stoppedPlacement()
	}
	return awaitResult(ctx, &b.mailbox, result, stoppedPlacement, func() Placement {
		b.postAndWait(func(now time.Time) {
			delete(b.waiters, r.ID)
			b.core.Finish(now, r.ID, booking.Result{})
		})
		return Placement{Failure: resultcode.Fail(resultcode.CallerGone, "")}
	})
}

// FirstByte reports that the first byte of a response has arrived.
func (b *BookingLoop) FirstByte(id ident.Request, took time.Duration) {
	b.post(func(now time.Time) { b.core.FirstByte(now, id, took) })
}

// Finish reports how the attempt of a placed request ended.
func (b *BookingLoop) Finish(id ident.Request, result booking.Result) {
	b.post(func(now time.Time) { b.core.Finish(now, id, result) })
}

// RecordShed records the demand of a workspace for a request that was refused without a search
// for a target.
func (b *BookingLoop) RecordShed(service ident.Service, workspace ident.Workspace, cost float64) {
	b.post(func(now time.Time) { b.core.RecordShed(now, service, workspace, cost) })
}

// RecordWarmth records the result of a health check.
func (b *BookingLoop) RecordWarmth(check booking.CheckWarmth, result booking.Warmth) {
	b.post(func(now time.Time) { b.core.RecordWarmth(now, check, result) })
}

// Configure replaces the services.
func (b *BookingLoop) Configure(services []booking.Service) {
	b.post(func(now time.Time) { b.core.Configure(now, services) })
}

// Receive handles a message from another daemon.
func (b *BookingLoop) Receive(from ident.Daemon, m booking.Message) {
	b.post(func(now time.Time) { b.core.Receive(now, from, m) })
}

// SetPeers replaces the list of other live daemons.
func (b *BookingLoop) SetPeers(peers []booking.Peer) {
	var members []origin.Member
	var names []ident.Daemon
	for _, p := range peers {
		if !p.Leaving {
			members = append(members, origin.Member{ID: p.ID, Zone: p.Zone})
			names = append(names, p.ID)
		}
	}
	b.post(func(now time.Time) {
		b.core.SetPeers(now, peers)
		b.origins.SetMembers(now, members)
		b.poison.SetMembers(now, names)
	})
}

// SetUnreachable replaces the list of daemons that may be alive although they are not heard.
func (b *BookingLoop) SetUnreachable(list []booking.Unreachable) {
	b.post(func(now time.Time) { b.core.SetUnreachable(now, list) })
}

// LinkUp reports that a link to a peer is up.
func (b *BookingLoop) LinkUp(id ident.Daemon) {
	b.post(func(now time.Time) {
		b.core.LinkUp(now, id)
		b.origins.LinkUp(now, id)
		b.poison.LinkUp(now, id)
	})
}

// LinkLost reports that messages to or from a peer may have been lost.
func (b *BookingLoop) LinkLost(id ident.Daemon) {
	b.post(func(now time.Time) {
		b.core.LinkLost(now, id)
		b.origins.LinkLost(now, id)
	})
}

// Leave begins a graceful shutdown.
func (b *BookingLoop) Leave() {
	b.post(func(now time.Time) {
		b.core.Leave(now)
		b.origins.Leave(now)
	})
}

// Inspect runs f on the control goroutine and waits for it; f must not change any state.
func (b *BookingLoop) Inspect(f func(*booking.Core)) bool {
	return b.postAndWait(func(time.Time) { f(b.core) })
}
