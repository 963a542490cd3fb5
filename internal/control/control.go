// Package control runs the single goroutine that owns a daemon's control state. Other
// goroutines access it through typed calls that are queued as events in a channel; its
// decisions are carried out through the Actions and BookingActions interfaces.
package control

import (
	"context"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/placement"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// Actions carries out the decisions of the scheduler. Its methods are called from the
// control goroutine and must not block.
type Actions interface {
	// Send sends a message to another daemon.
	Send(to ident.Daemon, m scheduler.Message)
}

// Assignment is the result of a request's wait: a target or a failure.
type Assignment struct {
	Target  ident.Target
	Failure *resultcode.Failure
	// Preempted is closed when the attempt has to be stopped in favor of another request;
	// the request is then placed again. It is nil if the request is not preemptible.
	Preempted <-chan struct{}
}

// Config configures the loops.
type Config struct {
	// TickInterval is how often deadlines and demand are checked. The default is 20 ms, the
	// time after which waiting requests are announced to other zones.
	TickInterval time.Duration
	// MaxPendingEvents bounds the events that wait for the loop. The default is 4096. A
	// full channel blocks the goroutines that handle requests, which bounds the memory that
	// they use.
	MaxPendingEvents int
}

const (
	defaultTickInterval     = 20 * time.Millisecond
	defaultMaxPendingEvents = 4096
)

// Loop owns a scheduler.Core.
type Loop struct {
	mailbox
	cfg     Config
	core    *scheduler.Core
	actions Actions
	waiters waiters[Assignment]
	// preemptSignals holds the channels of the requests that may be preempted.
	preemptSignals map[ident.Request]chan struct{}
}

// New returns a Loop around core. The loop does nothing until Run is called.
func New(cfg Config, core *scheduler.Core, actions Actions) *Loop {
	cfg = cfg.withDefaults()
	return &Loop{
		mailbox:        newMailbox(cfg),
		cfg:            cfg,
		core:           core,
		actions:        actions,
		waiters:        waiters[Assignment]{},
		preemptSignals: map[ident.Request]chan struct{}{},
	}
}

// Run handles events until ctx ends. Requests that still wait then are refused as not run.
func (l *Loop) Run(ctx context.Context) {
	untilTick, tick := fixedInterval(l.cfg.TickInterval, l.core.Tick)
	l.run(ctx, untilTick, tick, l.applyEffects)
	l.waiters.deliverAll(stoppedAssignment)
}

func (l *Loop) applyEffects() {
	for _, effect := range l.core.TakeEffects() {
		switch e := effect.(type) {
		case scheduler.Dispatch:
			l.waiters.deliver(e.Request, Assignment{Target: e.Target, Preempted: l.preemptSignals[e.Request]})
		case scheduler.Preempt:
			l.preempt(e.Request)
		case scheduler.Refuse:
			delete(l.preemptSignals, e.Request)
			l.waiters.deliver(e.Request, Assignment{Failure: e.Failure})
		case scheduler.Send:
			l.actions.Send(e.To, e.Message)
		}
	}
}

func stoppedAssignment() Assignment {
	return Assignment{Failure: resultcode.Fail(resultcode.Stopping, "")}
}

// preempt signals that the attempt of a request has to be stopped.
func (l *Loop) preempt(id ident.Request) {
	if signal, ok := l.preemptSignals[id]; ok {
		delete(l.preemptSignals, id)
		close(signal)
	}
}

// Place queues a request and waits until it has a target or is refused. If ctx ends first,
// the request is withdrawn. requeue reports that the request was placed before and did not
// run.
func (l *Loop) Place(ctx context.Context, r scheduler.Request, requeue bool) Assignment {
	result := make(chan Assignment, 1)
	submit := l.core.Submit
	if requeue {
		submit = l.core.Requeue
	}
	ok := l.post(func(now time.Time) {
		l.waiters[r.ID] = result
		if r.Preemptible {
			l.preemptSignals[r.ID] = make(chan struct{})
		}
		if failure := submit(now, r); failure != nil {
			delete(l.preemptSignals, r.ID)
			l.waiters.deliver(r.ID, Assignment{Failure: failure})
		}
	})
	if !ok {
		return stoppedAssignment()
	}
	return awaitResult(ctx, &l.mailbox, result, stoppedAssignment, func() Assignment { return l.withdraw(r.ID) })
}

// withdraw cancels a waiting request. A grant that is already on its way is returned, so that
// the slot does not stay idle.
func (l *Loop) withdraw(id ident.Request) Assignment {
	l.postAndWait(func(now time.Time) {
		l.core.Cancel(now, id)
		delete(l.waiters, id)
		delete(l.preemptSignals, id)
		l.core.Finish(now, id, scheduler.Result{NotRun: true})
	})
	return Assignment{Failure: resultcode.Fail(resultcode.CallerGone, "")}
}

// Progress reports the cost that a running request has received so far.
func (l *Loop) Progress(id ident.Request, served float64) {
	l.post(func(time.Time) { l.core.Progress(id, served) })
}

// Finish reports how the attempt of a placed request ended.
func (l *Loop) Finish(id ident.Request, result scheduler.Result) {
	l.post(func(now time.Time) {
		delete(l.preemptSignals, id)
		l.core.Finish(now, id, result)
	})
}

// Configure replaces the services.
func (l *Loop) Configure(services []scheduler.Service) {
	l.post(func(now time.Time) { l.core.Configure(now, services) })
}

// Receive handles a message from another daemon.
func (l *Loop) Receive(from ident.Daemon, m scheduler.Message) {
	l.post(func(now time.Time) { l.core.Receive(now, from, m) })
}

// SetPeers replaces the list of other live daemons.
func (l *Loop) SetPeers(peers []scheduler.Peer) {
	l.post(func(now time.Time) { l.core.SetPeers(now, peers) })
}

// ResyncPeer reports that messages to or from a peer may have been lost.
func (l *Loop) ResyncPeer(id ident.Daemon) {
	l.post(func(time.Time) { l.core.ResyncPeer(id) })
}

// TargetHealth reports an observation about the health of a target.
func (l *Loop) TargetHealth(service ident.Service, target ident.Target, health scheduler.Health) {
	l.post(func(now time.Time) { l.core.ReportTargetHealth(now, service, target, health) })
}

// ApplyCachePage applies an owned target's response to a poll for its cache events.
func (l *Loop) ApplyCachePage(service ident.Service, target ident.Target, page placement.CachePage) {
	l.post(func(now time.Time) { l.core.ApplyCachePage(now, service, target, page) })
}

// Leave begins a graceful shutdown.
func (l *Loop) Leave() {
	l.post(func(now time.Time) { l.core.Leave(now) })
}

// Inspect runs f on the control goroutine and waits for it; f must not change any state.
func (l *Loop) Inspect(f func(*scheduler.Core)) bool {
	return l.postAndWait(func(time.Time) { f(l.core) })
}
