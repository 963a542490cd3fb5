// Package control runs the one goroutine that owns a daemon's control state.
// Everything else talks to it through typed calls that become events in its
// channel; what it decides goes out through the Actions interface.
package control

import (
	"context"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/placement"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// Actions carries out what the scheduler decided. The methods are called from
// the control goroutine and must not block.
type Actions interface {
	// Send passes a message to another daemon.
	Send(to ident.Daemon, m scheduler.Message)
}

// Placed is the end of a request's wait: a target or a failure.
type Placed struct {
	Target  ident.Target
	Failure *resultcode.Failure
	// Stopped is closed when the attempt is to be stopped for another request; the
	// request is then placed again. It is nil where the request does not allow it.
	Stopped <-chan struct{}
}

// Config holds the intervals of the loop.
type Config struct {
	// Tick is how often deadlines and demand are looked at. Default 20 ms,
	// the time after which waiting work is shown to other zones.
	Tick time.Duration
	// Events bounds the events that wait for the loop. Default 4096; a full
	// channel blocks traffic goroutines, which bounds the memory they take.
	Events int
}

const (
	defaultTick   = 20 * time.Millisecond
	defaultEvents = 4096
)

// Loop owns a scheduler.Core.
type Loop struct {
	mailbox
	cfg     Config
	core    *scheduler.Core
	actions Actions
	waiters map[ident.Request]chan Placed
	// stops holds the signals of the running requests that may be stopped.
	stops map[ident.Request]chan struct{}
}

// New returns a Loop around core. Run must be called for anything to happen.
func New(cfg Config, core *scheduler.Core, actions Actions) *Loop {
	cfg = cfg.withDefaults()
	return &Loop{
		mailbox: newMailbox(cfg),
		cfg:     cfg,
		core:    core,
		actions: actions,
		waiters: map[ident.Request]chan Placed{},
		stops:   map[ident.Request]chan struct{}{},
	}
}

// Run handles events until ctx ends. Requests that still wait then are refused
// as not run.
func (l *Loop) Run(ctx context.Context) {
	due, tick := regularly(l.cfg.Tick, l.core.Tick)
	l.run(ctx, due, tick, l.carryOut)
	l.refuseAll()
}

func (l *Loop) carryOut() {
	for _, effect := range l.core.TakeEffects() {
		switch e := effect.(type) {
		case scheduler.Dispatch:
			l.place(e.Request, Placed{Target: e.Target, Stopped: l.stops[e.Request]})
		case scheduler.Preempt:
			l.stop(e.Request)
		case scheduler.Refuse:
			delete(l.stops, e.Request)
			l.place(e.Request, Placed{Failure: e.Failure})
		case scheduler.Send:
			l.actions.Send(e.To, e.Message)
		}
	}
}

func (l *Loop) place(id ident.Request, p Placed) {
	if w, ok := l.waiters[id]; ok {
		delete(l.waiters, id)
		w <- p // buffered: one value a waiter
	}
}

// stop signals that the attempt of a request is to be stopped.
func (l *Loop) stop(id ident.Request) {
	if s, ok := l.stops[id]; ok {
		delete(l.stops, id)
		close(s)
	}
}

func (l *Loop) refuseAll() {
	for id := range l.waiters {
		l.place(id, Placed{Failure: resultcode.Fail(resultcode.Stopping, "")})
	}
}

// Place queues a request and waits until it has a target or is refused. A
// caller that leaves while waiting withdraws it. Again tells that the request
// was placed before and did not run.
func (l *Loop) Place(ctx context.Context, r scheduler.Request, again bool) Placed {
	placed := make(chan Placed, 1)
	submit := l.core.Submit
	if again {
		submit = l.core.Requeue
	}
	ok := l.do(func(now time.Time) {
		l.waiters[r.ID] = placed
		if r.Preemptible {
			l.stops[r.ID] = make(chan struct{})
		}
		if failure := submit(now, r); failure != nil {
			delete(l.stops, r.ID)
			l.place(r.ID, Placed{Failure: failure})
		}
	})
	if !ok {
		return Placed{Failure: resultcode.Fail(resultcode.Stopping, "")}
	}
	select {
	case p := <-placed:
		return p
	case <-l.done:
		return l.last(placed)
	case <-ctx.Done():
		return l.withdraw(r.ID, placed)
	}
}

// withdraw cancels a waiting request. A grant that was on its way is given
// back, so that the slot does not idle.
func (l *Loop) withdraw(id ident.Request, placed chan Placed) Placed {
	l.call(func(now time.Time) {
		l.core.Cancel(now, id)
		delete(l.waiters, id)
		delete(l.stops, id)
		l.core.Finish(now, id, scheduler.Result{NotRun: true})
	})
	return Placed{Failure: resultcode.Fail(resultcode.CallerGone, "")}
}

func (l *Loop) last(placed chan Placed) Placed {
	select {
	case p := <-placed:
		return p
	default:
		return Placed{Failure: resultcode.Fail(resultcode.Stopping, "")}
	}
}

// Progress reports what a running request has received so far.
func (l *Loop) Progress(id ident.Request, served float64) {
	l.do(func(time.Time) { l.core.Progress(id, served) })
}

// Finish reports how the attempt of a placed request ended.
func (l *Loop) Finish(id ident.Request, result scheduler.Result) {
	l.do(func(now time.Time) {
		delete(l.stops, id)
		l.core.Finish(now, id, result)
	})
}

// Configure puts new services in force.
func (l *Loop) Configure(services []scheduler.Service) {
	l.do(func(now time.Time) { l.core.Configure(now, services) })
}

// Receive hands over a message of another daemon.
func (l *Loop) Receive(from ident.Daemon, m scheduler.Message) {
	l.do(func(now time.Time) { l.core.Receive(now, from, m) })
}

// Peers replaces the list of other live daemons.
func (l *Loop) Peers(peers []scheduler.Peer) {
	l.do(func(now time.Time) { l.core.SetPeers(now, peers) })
}

// Reset tells that messages to or from a peer may have been lost.
func (l *Loop) Reset(id ident.Daemon) {
	l.do(func(time.Time) { l.core.ResyncPeer(id) })
}

// TargetHealth reports what was learnt about a target.
func (l *Loop) TargetHealth(service ident.Service, target ident.Target, health scheduler.Health) {
	l.do(func(now time.Time) { l.core.ReportTargetHealth(now, service, target, health) })
}

// TargetCache hands over the answer of an owned target to a poll for its cache
// events.
func (l *Loop) TargetCache(service ident.Service, target ident.Target, page placement.CachePage) {
	l.do(func(now time.Time) { l.core.ApplyCachePage(now, service, target, page) })
}

// Leave begins a planned stop.
func (l *Loop) Leave() {
	l.do(func(now time.Time) { l.core.Leave(now) })
}

// Inspect runs f on the control goroutine and waits for it; f must only read.
func (l *Loop) Inspect(f func(*scheduler.Core)) bool {
	return l.call(func(time.Time) { f(l.core) })
}
