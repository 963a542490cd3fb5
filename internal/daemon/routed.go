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
	"github.com/savorystall/savorystall/internal/fleet"
	"github.com/savorystall/savorystall/internal/gateway"
	"github.com/savorystall/savorystall/internal/relay"
	"github.com/savorystall/savorystall/internal/retry"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/internal/settings"
	"github.com/savorystall/savorystall/internal/targetconn"
	"github.com/savorystall/savorystall/internal/telemetry"
	"github.com/savorystall/savorystall/platform"
)

// RoutedModule provides every part of a daemon that serves routes on the users'
// platform. What that platform makes needless is not in it: documents of
// services, the VM list, claims, leases and orders.
var RoutedModule = fx.Module("savorystalld-routed",
	fx.Provide(
		newStore,
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
		newRoutedLoop,
		newRoutedNode,
		newPool,
		newGateway,
		newRoutedServers,
		newRouted,
	),
)

func newStore(s settings.Settings) *platform.Store { return platform.NewStore(s.Platform.URL) }

// newRelay is given to the bridge before the node starts, whose members it needs.
func newRelay(id identity, store *platform.Store, b *routedBridge, log *slog.Logger) *relay.Feed {
	b.relay = relay.New(relay.Config{
		Self: id.Daemon, Zone: id.Zone, Store: store, Peers: followPeers{b}, HeartbeatTable: beatTable, Logger: log,
	})
	return b.relay
}

func newPool() *targetconn.Pool { return targetconn.New(targetconn.Config{}) }

func newRoutedLoop(id identity, b *routedBridge) *control.BookingLoop {
	core := booking.New(booking.Config{Self: id.Daemon, Incarnation: id.Incarnation, Zone: id.Zone},
		rand.New(rand.NewPCG(id.Incarnation, rand.Uint64())))
	b.loop = control.NewBookingLoop(control.Config{}, core, b)
	return b.loop
}

func newRoutedNode(id identity, s settings.Settings, b *routedBridge, _ *control.BookingLoop, _ *gateway.Server, _ *relay.Feed, log *slog.Logger) (*fleet.Node, error) {
	cfg, err := nodeConfig(id, s, log)
	if err != nil {
		return nil, err
	}
	b.node, err = fleet.New(cfg, b)
	return b.node, err
}

func newGateway(s settings.Settings, routes *route.Holder, loop *control.BookingLoop, pool *targetconn.Pool, b *routedBridge, load *loadMonitor, left *disconnectWatcher,
	metrics *telemetry.Metrics, tracing *telemetry.Tracing, log *slog.Logger) *gateway.Server {
	b.gateway = gateway.New(gateway.Deps{
		Config: gateway.Config{
			RetryBudget: retry.WindowConfig{
				Ratio: s.Routing.RepeatRatio, Burst: s.Routing.RepeatBurst, Span: s.Routing.RepeatWindow,
			},
			ConnectionShare: s.Routing.ConnectionShare,
		},
		Routes: routes, Dialect: platform.Dialect{}, Placer: loop, Pool: pool, CallerGone: callerDisconnected, OnCallerGone: left.watch, ShouldShed: load.shouldShed, Shedding: load.shedding, RoutesMayBeStale: load.routesStale, ReadDelay: load.readDelay, OutOfRotation: load.balancerNoticed,
		Metrics: metrics, Tracing: tracing, Log: log,
	})
	return b.gateway
}

// Routed is a running daemon that serves routes.
type Routed struct {
	p       routedParts
	tasks   sync.WaitGroup
	cancel  context.CancelFunc
	loops   sync.WaitGroup
	endLoop context.CancelFunc
	// accepting tells when callers' connections are accepted no more.
	accepting acceptLoops
}

type routedParts struct {
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
	Relay     *relay.Feed
	Pool      *targetconn.Pool
	Gateway   *gateway.Server
	Servers   *routedServers
	Handovers *connForwarder
	Metrics   *telemetry.Metrics
	Tracing   *telemetry.Tracing
	Log       *slog.Logger
}

func newRouted(lc fx.Lifecycle, p routedParts) *Routed {
	d := &Routed{p: p}
	lc.Append(fx.Hook{OnStart: d.start, OnStop: d.stop})
	return d
}

func (d *Routed) start(ctx context.Context) error {
	event.DaemonStarting.Log(d.p.Log, "daemon", d.p.Identity.Daemon, "zone", d.p.Identity.Zone, "incarnation", d.p.Identity.Incarnation)
	loopCtx, endLoop := context.WithCancel(context.Background())
	d.endLoop = endLoop
	d.loops.Go(func() { d.p.Loop.Run(loopCtx) })
	if err := d.p.Node.Start(ctx); err != nil {
		endLoop()
		return err
	}
	taskCtx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	site := newSite(d.p)
	for _, run := range site.tasks() {
		d.tasks.Go(func() { run(taskCtx) })
	}
	d.accepting.callers = d.serve(d.p.Servers.callers, newRateLimitedListener(d.p.Servers.callersListener, d.p.Load.acceptRate, d.p.Handovers.tryForward))
	d.accepting.returned = d.serve(d.p.Servers.callers, d.p.Handovers.returned)
	if d.p.Servers.takeoverListener != nil {
		d.accepting.forwarded = d.serve(d.p.Servers.callers, d.p.Servers.takeoverListener)
	}
	d.serve(d.p.Servers.operators, d.p.Servers.operatorsListener)
	if d.p.Servers.readinessListener != nil {
		d.serve(d.p.Servers.readiness, d.p.Servers.readinessListener)
	}
	return nil
}

// serve returns a channel that is closed when the server accepts no more.
func (d *Routed) serve(server *http.Server, listener net.Listener) <-chan struct{} {
	done := make(chan struct{})
	d.tasks.Go(func() {
		defer close(done)
		_ = server.Serve(listener) // ends with ErrServerClosed, or when the listener is drained
	})
	return done
}

// stop is the planned stop: see Daemon.stop, whose order it keeps.
func (d *Routed) stop(ctx context.Context) error {
	wasReady := d.p.Life.State() == StateReady
	d.p.Life.applyTrigger(triggerStop)
	event.DaemonDraining.Log(d.p.Log, "daemon", d.p.Identity.Daemon)
	d.p.Node.AnnounceLeaving()
	d.p.Loop.Leave()
	if wasReady {
		pause(ctx, d.p.Settings.Stop.BalancerLag)
	}
	d.p.Life.applyTrigger(triggerBalancerNoticed)
	// From here on a request may be too long to end before the process is killed:
	// one on a kept connection is refused as not run, and unused connections are
	// closed, so that their callers take new ones elsewhere.
	d.p.Gateway.Close()
	drainCtx, drained := context.WithCancel(ctx)
	d.tasks.Go(func() {
		d.p.Servers.logDrainProgress(drainCtx, max(d.p.Settings.Stop.WarnAfter, time.Second), d.p.Handovers, d.p.Log)
	})
	d.p.Servers.drain(ctx, d.p.Handovers, d.accepting)
	drained()
	d.p.Life.applyTrigger(triggerDrained)
	d.cancel()
	_ = d.p.Node.Stop(ctx)
	_ = d.p.Servers.operators.Close()
	_ = d.p.Servers.readiness.Close()
	d.endLoop()
	d.loops.Wait()
	d.tasks.Wait()
	d.p.Pool.Close()
	d.p.Store.Close()
	_ = d.p.Tracing.Close(ctx)
	_ = d.p.Metrics.Close()
	event.DaemonStopped.Log(d.p.Log, "daemon", d.p.Identity.Daemon)
	return nil
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (d *Routed) life() *Lifecycle { return d.p.Life }

func (d *Routed) addresses() Addresses {
	return Addresses{
		Callers:   d.p.Servers.callersListener.Addr().String(),
		Operators: d.p.Servers.operatorsListener.Addr().String(),
		Fleet:     d.p.Node.Address(),
	}
}
