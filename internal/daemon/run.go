package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/dig"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/savorystall/savorystall/internal/attempt"
	"github.com/savorystall/savorystall/internal/claim"
	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/fleet"
	"github.com/savorystall/savorystall/internal/order"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/scheduler"
	"github.com/savorystall/savorystall/internal/settings"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// Daemon is a running savorystalld.
type Daemon struct {
	p parts
	// tasks are the goroutines that end with ctx.
	tasks  sync.WaitGroup
	cancel context.CancelFunc
	loops  sync.WaitGroup
	// callers is closed when no connection of a caller is accepted any more.
	callers <-chan struct{}
	// endLoop ends the control loop and the claim writer, after the tasks.
	endLoop context.CancelFunc
}

// parts are what fx hands over.
type parts struct {
	fx.In

	Settings settings.Settings
	Identity identity
	Life     *Lifecycle
	Loop     *control.Loop
	Node     *fleet.Node
	Bridge   *bridge
	Store    *config.Store
	Watcher  *config.Watcher
	Archiver *config.Archiver
	Client   *platform.Client
	Claimer  *claim.Claimer
	Runner   *attempt.Runner
	Orders   *order.Reconciler
	Servers  *servers
	Metrics  *telemetry.Metrics
	Tracing  *telemetry.Tracing
	Log      *slog.Logger
}

func newDaemon(lc fx.Lifecycle, p parts) *Daemon {
	d := &Daemon{p: p}
	lc.Append(fx.Hook{OnStart: d.start, OnStop: d.stop})
	return d
}

// probeInterval is how often the owned targets are asked for their
// status: with one lost probe a leaving target is known well within 3 s.
const probeInterval = time.Second

func (d *Daemon) start(ctx context.Context) error {
	event.DaemonStarting.Log(d.p.Log, "daemon", d.p.Identity.Daemon, "zone", d.p.Identity.Zone, "incarnation", d.p.Identity.Incarnation)
	loopCtx, endLoop := context.WithCancel(context.Background())
	d.endLoop = endLoop
	d.loops.Go(func() { d.p.Loop.Run(loopCtx) })
	d.loops.Go(func() { d.p.Claimer.Run(loopCtx) })
	if err := d.p.Node.Start(ctx); err != nil {
		endLoop()
		return err
	}
	taskCtx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	for _, run := range d.followers() {
		d.tasks.Go(func() { run(taskCtx) })
	}
	d.callers = d.serve(d.p.Servers.callers, d.p.Servers.callersListener)
	d.serve(d.p.Servers.operators, d.p.Servers.operatorsListener)
	return nil
}

func (d *Daemon) followers() []func(context.Context) {
	p := d.p
	configuration := &configFollower{store: p.Store, loop: p.Loop, node: p.Node, life: p.Life, log: p.Log}
	vms := &vmFollower{
		vms: p.Client, seeds: seedVMs(p.Settings), interval: p.Settings.Platform.VMPoll, timeout: p.Settings.Platform.Timeout,
		store: p.Store, loop: p.Loop, node: p.Node,
	}
	probes := &prober{
		store: p.Store, loop: p.Loop, vms: vms, runner: p.Runner, interval: probeInterval, log: p.Log,
	}
	caches := &cachePoller{store: p.Store, loop: p.Loop, runner: p.Runner}
	gauges := &gaugeReporter{parts: p}
	orders := &orderFollower{store: p.Store, loop: p.Loop, reconciler: p.Orders}
	watch := func(ctx context.Context) { _ = p.Watcher.Run(ctx) }    // ends with nil
	archive := func(ctx context.Context) { _ = p.Archiver.Run(ctx) } // ends with nil
	return []func(context.Context){watch, archive, configuration.run, vms.run, probes.run, caches.run, gauges.run, orders.run}
}

func seedVMs(s settings.Settings) []platform.VM {
	seeds := make([]platform.VM, len(s.Fleet.Seeds))
	for i, seed := range s.Fleet.Seeds {
		seeds[i] = platform.VM{Name: string(seed.Daemon), Address: seed.Address, Role: platform.RoleDaemon, State: platform.VMLive}
	}
	return seeds
}

// serve returns a channel that is closed when the server accepts no more.
func (d *Daemon) serve(server *http.Server, listener net.Listener) <-chan struct{} {
	done := make(chan struct{})
	d.tasks.Go(func() {
		defer close(done)
		_ = server.Serve(listener) // ends with ErrServerClosed, or when the listener is drained
	})
	return done
}

// stop is the planned stop. Readiness fails first and the owned targets go to
// peers; requests are accepted until the balancer has noticed, and then every
// request in flight, waiting or running, is brought to its end.
func (d *Daemon) stop(ctx context.Context) error {
	wasReady := d.p.Life.State() == StateReady
	d.p.Life.applyTrigger(triggerStop)
	event.DaemonDraining.Log(d.p.Log, "daemon", d.p.Identity.Daemon)
	d.p.Node.AnnounceLeaving()
	d.p.Loop.Leave()
	if wasReady {
		pause(ctx, d.p.Settings.Stop.BalancerLag)
	}
	d.p.Life.applyTrigger(triggerBalancerNoticed)
	d.p.Servers.callersListener.drain()
	<-d.callers
	d.drain(ctx)
	_ = d.p.Claimer.Flush(ctx) // an open record is then told as "may have run"
	d.p.Life.applyTrigger(triggerDrained)
	d.cancel()
	_ = d.p.Node.Stop(ctx)
	_ = d.p.Servers.operators.Close()
	d.endLoop()
	d.loops.Wait()
	d.tasks.Wait()
	d.p.Bridge.fetches.wg.Wait()
	d.p.Runner.Close()
	_ = d.p.Tracing.Close(ctx)
	_ = d.p.Metrics.Close()
	event.DaemonStopped.Log(d.p.Log, "daemon", d.p.Identity.Daemon)
	return nil
}

// drain waits until no request of a caller is left, and says so in the log when
// that takes long.
func (d *Daemon) drain(ctx context.Context) {
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		d.p.Servers.connections.drain(ctx)
		_ = d.p.Servers.callers.Shutdown(ctx)
	}()
	warn := time.NewTicker(max(d.p.Settings.Stop.WarnAfter, time.Second))
	defer warn.Stop()
	for {
		select {
		case <-drained:
			return
		case <-warn.C:
			waiting, running := d.load()
			event.DrainStuck.Log(d.p.Log, "daemon", d.p.Identity.Daemon, "waiting", waiting, "running", running)
		}
	}
}

func (d *Daemon) load() (waiting, running int) {
	d.p.Loop.Inspect(func(c *scheduler.Core) { waiting, running = c.Waiting(), c.Running() })
	return waiting, running
}

// stopLimit bounds a planned stop. It is above the longest deadline of any
// request, since none may be cut off.
const stopLimit = 24 * time.Hour

const startLimit = 15 * time.Second

// running is a daemon as Run sees it.
type running interface {
	life() *Lifecycle
	addresses() Addresses
}

func (d *Daemon) life() *Lifecycle { return d.p.Life }

// binding returns the parts of a daemon for the platform's binding, and a
// function that returns the daemon once the parts are built.
func binding(s settings.Settings) (fx.Option, func() running) {
	if s.Platform.Binding == settings.BindingRoutes {
		var d *Routed
		return fx.Options(RoutedModule, fx.Populate(&d)), func() running { return d }
	}
	var d *Daemon
	return fx.Options(Module, fx.Populate(&d)), func() running { return d }
}

// Run starts a daemon, calls ready once a configuration is in force and callers
// are served, and stops it when ctx ends. It returns after the planned stop.
func Run(ctx context.Context, s settings.Settings, log *slog.Logger, ready func(Addresses)) error {
	parts, built := binding(s)
	app := fx.New(
		parts,
		fx.Supply(s, log),
		fx.StartTimeout(startLimit),
		fx.StopTimeout(stopLimit),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
	if err := app.Err(); err != nil {
		// What fx adds names the constructors on the way, not the cause.
		return dig.RootCause(err)
	}
	starting, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	if err := app.Start(starting); err != nil {
		return err
	}
	d := built()
	select {
	case <-d.life().Ready():
		ready(d.addresses())
		<-ctx.Done()
	case <-ctx.Done():
	}
	stopping, cancelStop := context.WithTimeout(context.Background(), stopLimit)
	defer cancelStop()
	return app.Stop(stopping)
}

// Addresses are the bound listeners as host:port.
type Addresses struct {
	Callers, Operators, Fleet string
}

func (d *Daemon) addresses() Addresses {
	return Addresses{
		Callers:   d.p.Servers.callersListener.Addr().String(),
		Operators: d.p.Servers.operatorsListener.Addr().String(),
		Fleet:     d.p.Node.Address(),
	}
}
