package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/eventmemory"
	"github.com/savorystall/savorystall/internal/fleet"
	"github.com/savorystall/savorystall/internal/gateway"
	"github.com/savorystall/savorystall/internal/origin"
	store "github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/relay"
	"github.com/savorystall/savorystall/internal/retry"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/internal/settings"
	"github.com/savorystall/savorystall/internal/shutdown"
	"github.com/savorystall/savorystall/internal/slowreader"
	"github.com/savorystall/savorystall/internal/targetconn"
	"github.com/savorystall/savorystall/internal/targetnotice"
	"github.com/savorystall/savorystall/internal/telemetry"
	"github.com/savorystall/savorystall/platform"
)

// RoutedModule provides all components of a daemon that serves routes on the users'
// platform. It omits what that platform makes unnecessary: service documents, the VM list,
// claims, leases and orders.
var RoutedModule = fx.Module("savorystalld-routed",
	fx.Provide(
		newStore,
		newStoreCalls,
		newRoutedIdentity,
		NewLifecycle,
		telemetry.NewMetrics,
		newTracing,
		func() *route.Holder { return &route.Holder{} },
		newLoadMonitor,
		newConnForwarder,
		newDisconnectWatcher,
		newRoutedBridge,
		newRelay,
		newRoutedHolds,
		newRoutedLoop,
		newRoutedNode,
		newPool,
		targetnotice.New,
		newGateway,
		newRoutedServers,
		newRouted,
	),
)

func newStore(s settings.Settings) *platform.Store { return platform.NewStore(s.Platform.URL) }

// newStoreCalls returns the client by which a daemon makes all of its calls to the store.
func newStoreCalls(s *platform.Store, metrics *telemetry.Metrics) *store.CallCounter {
	return store.NewCallCounter(s, s, func(c store.Call) { metrics.StoreCall(c.Table, string(c.Kind), c.Failed) })
}

// newRelay also sets the relay of the bridge. That must happen before the node starts,
// because the bridge passes the members reported by the node to the relay.
func newRelay(id identity, calls *store.CallCounter, b *routedBridge, log *slog.Logger) *relay.Feed {
	b.relay = relay.New(relay.Config{
		Self: id.Daemon, Zone: id.Zone, Store: calls, Peers: feedPeers{b}, HeartbeatTable: heartbeatTable, Logger: log,
	})
	b.load.storeOutOfTouch = b.relay.OutOfTouch
	return b.relay
}

// newRoutedHolds also sets the keeper of the bridge, before the loop has anything to report.
func newRoutedHolds(calls *store.CallCounter, b *routedBridge, loop *control.BookingLoop, log *slog.Logger) *holdKeeper {
	b.holds = newHoldKeeper(calls, loop.RecallHolds, log)
	return b.holds
}

func newPool(s settings.Settings) *targetconn.Pool {
	cfg := targetconn.Config{}
	if s.Memory.SlowCallers > 0 {
		cfg.ReceiveBuffer = slowreader.TargetReceiveBuffer
	}
	return targetconn.New(cfg)
}

func newRoutedLoop(id identity, s settings.Settings, b *routedBridge) *control.BookingLoop {
	core := booking.New(booking.Config{Self: id.Daemon, Incarnation: id.Incarnation, Zone: id.Zone, SilentAfter: fleet.SilentAfter(s.Fleet.Heartbeat), MaxSlotWait: s.Routing.SlotWait, DerivedRetryAfter: s.Routing.DerivedRetryAfter},
		rand.New(rand.NewPCG(id.Incarnation, rand.Uint64())))
	origins := origin.New(origin.Config{
		Self: id.Daemon, Zone: id.Zone, MaxViewAge: s.Routing.InTouch, FirstStart: id.firstStart, PeersExpected: id.peersExpected,
	}, time.Now())
	b.loop = control.NewBookingLoop(control.Config{}, core, origins, id.Daemon, b)
	return b.loop
}

func newRoutedNode(id identity, s settings.Settings, b *routedBridge, _ *control.BookingLoop, _ *gateway.Server, _ *relay.Feed, log *slog.Logger) (*fleet.Node, error) {
	cfg, err := nodeConfig(id, s, log)
	if err != nil {
		return nil, err
	}
	b.node, err = fleet.New(cfg, b)
	if err == nil {
		b.load.link.ping = b.node.Ping
	}
	return b.node, err
}

func newGateway(s settings.Settings, routes *route.Holder, loop *control.BookingLoop, pool *targetconn.Pool, notices *targetnotice.Table, b *routedBridge, load *loadMonitor, disconnects *disconnectWatcher,
	metrics *telemetry.Metrics, tracing *telemetry.Tracing, log *slog.Logger) *gateway.Server {
	b.gateway = gateway.New(gateway.Deps{
		Config: gateway.Config{
			RetryBudget: retry.WindowConfig{
				Ratio: s.Routing.RepeatRatio, Burst: s.Routing.RepeatBurst, Span: s.Routing.RepeatWindow,
			},
			ConnectionShare: s.Routing.ConnectionShare,
		},
		Routes: routes, Dialect: platform.Dialect{}, Health: platform.Dialect{}, Placer: loop, Origins: loop, Poison: loop, Pool: pool, EventMemory: eventmemory.New(int64(s.Memory.Limit)<<20, time.Now), Notices: notices, CallerGone: callerDisconnected, OnCallerGone: disconnects.watch, OnAbort: noteAborted, OnBody: recordBody, ShouldShed: load.shouldShed, Shedding: load.shedding, LinkFull: load.link.limited, OutOfTouch: load.outOfTouch, RoutesMayBeStale: load.routesStale, RoutesBehind: load.routesBehind, ReadDelay: load.readDelay, OutOfRotation: load.balancerNoticed,
		Metrics: metrics, Tracing: tracing, Log: log,
	})
	return b.gateway
}

// Routed is a running daemon that serves routes.
type Routed struct {
	deps       routedDependencies
	tasks      sync.WaitGroup
	cancel     context.CancelFunc
	loopTasks  sync.WaitGroup
	cancelLoop context.CancelFunc
	// accepting tells when callers' connections are no longer accepted.
	accepting acceptLoops
}

type routedDependencies struct {
	fx.In

	Settings  settings.Settings
	Identity  identity
	Life      *Lifecycle
	Loop      *control.BookingLoop
	Load      *loadMonitor
	Node      *fleet.Node
	Bridge    *routedBridge
	Routes    *route.Holder
	Store     *platform.Store
	Calls     *store.CallCounter
	Relay     *relay.Feed
	Holds     *holdKeeper
	Pool      *targetconn.Pool
	Notices   *targetnotice.Table
	Gateway   *gateway.Server
	Servers   *routedServers
	Forwarder *connForwarder
	Metrics   *telemetry.Metrics
	Tracing   *telemetry.Tracing
	Log       *slog.Logger
}

func newRouted(lc fx.Lifecycle, p routedDependencies) *Routed {
	d := &Routed{deps: p}
	lc.Append(fx.Hook{OnStart: d.start, OnStop: d.stop})
	return d
}

func (d *Routed) start(ctx context.Context) error {
	event.DaemonStarting.Log(d.deps.Log, "daemon", d.deps.Identity.Daemon, "zone", d.deps.Identity.Zone, "incarnation", d.deps.Identity.Incarnation)
	loopCtx, cancelLoop := context.WithCancel(context.Background())
	d.cancelLoop = cancelLoop
	d.loopTasks.Go(func() { d.deps.Loop.Run(loopCtx) })
	if err := d.deps.Node.Start(ctx); err != nil {
		cancelLoop()
		return err
	}
	taskCtx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	storeSync := newStoreSync(d.deps)
	for _, run := range storeSync.tasks() {
		d.tasks.Go(func() { run(taskCtx) })
	}
	if slow := newSlowCallers(d.deps); slow.limits.Enabled() {
		d.tasks.Go(func() { slow.run(taskCtx) })
	}
	d.accepting.callers = d.serve(d.deps.Servers.callers, d.deps.Servers.limitedListener)
	d.accepting.returned = d.serve(d.deps.Servers.callers, d.deps.Forwarder.returned)
	if d.deps.Servers.forwardedListener != nil {
		d.accepting.forwarded = d.serve(d.deps.Servers.callers, d.deps.Servers.forwardedListener)
	}
	d.serve(d.deps.Servers.operators, d.deps.Servers.operatorsListener)
	if d.deps.Servers.readinessListener != nil {
		d.serve(d.deps.Servers.readiness, d.deps.Servers.readinessListener)
	}
	return nil
}

// serve runs the server in a task. It returns a channel that is closed when the server
// accepts no more connections.
func (d *Routed) serve(server *http.Server, listener net.Listener) <-chan struct{} {
	done := make(chan struct{})
	d.tasks.Go(func() {
		defer close(done)
		_ = server.Serve(listener) // returns ErrServerClosed, or an error once the listener is drained
	})
	return done
}

// stop performs a graceful shutdown in the same order as Daemon.stop.
func (d *Routed) stop(ctx context.Context) error {
	plan := shutdown.NewPlan(time.Now(), d.deps.Settings.Stop.Grace)
	wasReady := d.deps.Life.State() == StateReady
	d.deps.Life.applyTrigger(triggerStop)
	event.DaemonDraining.Log(d.deps.Log, "daemon", d.deps.Identity.Daemon)
	d.deps.Gateway.BeginStop(plan)
	if plan.Bounded() {
		defer time.AfterFunc(time.Until(plan.AnswerBy()), d.deps.Forwarder.endAll).Stop()
	}
	d.deps.Node.AnnounceLeaving()
	d.deps.Loop.Leave()
	if wasReady {
		sleepContext(ctx, d.deps.Settings.Stop.BalancerLag)
	}
	d.deps.Life.applyTrigger(triggerBalancerNoticed)
	// From here on a request may take too long to end before the process is killed.
	// Requests on persistent connections are refused as not run, and unused connections are
	// closed, so that their callers reconnect to other daemons.
	d.deps.Gateway.Close()
	drainCtx, stopWarnings := context.WithCancel(ctx)
	d.tasks.Go(func() {
		d.deps.Servers.logDrainProgress(drainCtx, max(d.deps.Settings.Stop.WarnAfter, time.Second), d.deps.Forwarder, d.deps.Log)
	})
	d.deps.Servers.drain(ctx, d.deps.Forwarder, d.accepting)
	stopWarnings()
	d.deps.Gateway.LogGrace(d.deps.Forwarder.ended.Load())
	d.deps.Servers.connections.ends.logReport()
	d.deps.Life.applyTrigger(triggerDrained)
	d.closeAll(ctx)
	event.DaemonStopped.Log(d.deps.Log, "daemon", d.deps.Identity.Daemon)
	return nil
}

// closeAll ends all tasks and closes all connections once no request is left.
func (d *Routed) closeAll(ctx context.Context) {
	d.cancel()
	_ = d.deps.Node.Stop(ctx)
	_ = d.deps.Servers.operators.Close()
	_ = d.deps.Servers.readiness.Close()
	d.cancelLoop()
	d.loopTasks.Wait()
	d.tasks.Wait()
	logStoreCalls(d.deps.Calls, d.deps.Log)
	d.deps.Pool.Close()
	d.deps.Store.Close()
	_ = d.deps.Tracing.Close(ctx)
	_ = d.deps.Metrics.Close()
}

func sleepContext(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (d *Routed) life() *Lifecycle { return d.deps.Life }

func (d *Routed) addresses() Addresses {
	return Addresses{
		Callers:   d.deps.Servers.callersListener.Addr().String(),
		Operators: d.deps.Servers.operatorsListener.Addr().String(),
		Fleet:     d.deps.Node.Address(),
	}
}
