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
	deps dependencies
	// tasks tracks the goroutines that end when their context is canceled by cancel.
	tasks     sync.WaitGroup
	cancel    context.CancelFunc
	loopTasks sync.WaitGroup
	// callersDone is closed once no more connections of callers are accepted.
	callersDone <-chan struct{}
	// cancelLoop ends the control loop and the claim writer. It is called after the tasks
	// have ended.
	cancelLoop context.CancelFunc
}

// dependencies are the components that fx injects.
type dependencies struct {
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

func newDaemon(lc fx.Lifecycle, p dependencies) *Daemon {
	d := &Daemon{deps: p}
	lc.Append(fx.Hook{OnStart: d.start, OnStop: d.stop})
	return d
}

// probeInterval is how often the status of the owned targets is probed. Even if one probe
// is lost, a target that is leaving is detected well within 3 s.
const probeInterval = time.Second

func (d *Daemon) start(ctx context.Context) error {
	event.DaemonStarting.Log(d.deps.Log, "daemon", d.deps.Identity.Daemon, "zone", d.deps.Identity.Zone, "incarnation", d.deps.Identity.Incarnation)
	loopCtx, cancelLoop := context.WithCancel(context.Background())
	d.cancelLoop = cancelLoop
	d.loopTasks.Go(func() { d.deps.Loop.Run(loopCtx) })
	d.loopTasks.Go(func() { d.deps.Claimer.Run(loopCtx) })
	if err := d.deps.Node.Start(ctx); err != nil {
		cancelLoop()
		return err
	}
	taskCtx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	for _, run := range d.backgroundTasks() {
		d.tasks.Go(func() { run(taskCtx) })
	}
	d.callersDone = d.serve(d.deps.Servers.callers, d.deps.Servers.callersListener)
	d.serve(d.deps.Servers.operators, d.deps.Servers.operatorsListener)
	return nil
}

func (d *Daemon) backgroundTasks() []func(context.Context) {
	p := d.deps
	configuration := &configFollower{store: p.Store, loop: p.Loop, node: p.Node, life: p.Life, log: p.Log}
	vmPoller := &vmPoller{
		vms: p.Client, seeds: seedVMList(p.Settings), interval: p.Settings.Platform.VMPoll, timeout: p.Settings.Platform.Timeout,
		store: p.Store, loop: p.Loop, node: p.Node,
	}
	prober := &prober{
		store: p.Store, loop: p.Loop, vms: vmPoller, runner: p.Runner, interval: probeInterval, log: p.Log,
	}
	cachePoller := &cachePoller{store: p.Store, loop: p.Loop, runner: p.Runner}
	gaugeReporter := &gaugeReporter{deps: p}
	publisher := &desiredStatePublisher{store: p.Store, loop: p.Loop, reconciler: p.Orders}
	watch := func(ctx context.Context) { _ = p.Watcher.Run(ctx) }    // always returns nil
	archive := func(ctx context.Context) { _ = p.Archiver.Run(ctx) } // always returns nil
	return []func(context.Context){watch, archive, configuration.run, vmPoller.run, prober.run, cachePoller.run, gaugeReporter.run, publisher.run}
}

func seedVMList(s settings.Settings) []platform.VM {
	seeds := make([]platform.VM, len(s.Fleet.Seeds))
	for i, seed := range s.Fleet.Seeds {
		seeds[i] = platform.VM{Name: string(seed.Daemon), Address: seed.Address, Role: platform.RoleDaemon, State: platform.VMLive}
	}
	return seeds
}

// serve runs the server in a task. It returns a channel that is closed when the server
// accepts no more connections.
func (d *Daemon) serve(server *http.Server, listener net.Listener) <-chan struct{} {
	done := make(chan struct{})
	d.tasks.Go(func() {
		defer close(done)
		_ = server.Serve(listener) // returns ErrServerClosed, or an error once the listener is drained
	})
	return done
}

// stop performs a graceful shutdown. It first reports the daemon as not ready and transfers
// the owned targets to peers. It goes on accepting requests until the load balancer has
// noticed, and then completes every request in flight, whether it is queued or running.
func (d *Daemon) stop(ctx context.Context) error {
	wasReady := d.deps.Life.State() == StateReady
	d.deps.Life.applyTrigger(triggerStop)
	event.DaemonDraining.Log(d.deps.Log, "daemon", d.deps.Identity.Daemon)
	d.deps.Node.AnnounceLeaving()
	d.deps.Loop.Leave()
	if wasReady {
		sleepContext(ctx, d.deps.Settings.Stop.BalancerLag)
	}
	d.deps.Life.applyTrigger(triggerBalancerNoticed)
	d.deps.Servers.callersListener.drain()
	<-d.callersDone
	d.drain(ctx)
	_ = d.deps.Claimer.Flush(ctx) // claims that remain open are reported as "may have run"
	d.deps.Life.applyTrigger(triggerDrained)
	d.cancel()
	_ = d.deps.Node.Stop(ctx)
	_ = d.deps.Servers.operators.Close()
	d.cancelLoop()
	d.loopTasks.Wait()
	d.tasks.Wait()
	d.deps.Bridge.fetchGuard.wg.Wait()
	d.deps.Runner.Close()
	_ = d.deps.Tracing.Close(ctx)
	_ = d.deps.Metrics.Close()
	event.DaemonStopped.Log(d.deps.Log, "daemon", d.deps.Identity.Daemon)
	return nil
}

// drain waits until no request of a caller is left. It logs a warning at intervals while it
// waits.
func (d *Daemon) drain(ctx context.Context) {
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		d.deps.Servers.connections.drain(ctx)
		_ = d.deps.Servers.callers.Shutdown(ctx)
	}()
	warnTicker := time.NewTicker(max(d.deps.Settings.Stop.WarnAfter, time.Second))
	defer warnTicker.Stop()
	for {
		select {
		case <-drained:
			return
		case <-warnTicker.C:
			waiting, running := d.load()
			event.DrainSlow.Log(d.deps.Log, "daemon", d.deps.Identity.Daemon, "waiting", waiting, "running", running)
		}
	}
}

func (d *Daemon) load() (waiting, running int) {
	d.deps.Loop.Inspect(func(c *scheduler.Core) { waiting, running = c.Waiting(), c.Running() })
	return waiting, running
}

// stopTimeout bounds a graceful shutdown. It exceeds the longest deadline of any request,
// because no request may be cut off.
const stopTimeout = 24 * time.Hour

const startTimeout = 15 * time.Second

// instance is the view that Run has of a daemon.
type instance interface {
	life() *Lifecycle
	addresses() Addresses
}

func (d *Daemon) life() *Lifecycle { return d.deps.Life }

// selectBinding returns the fx options for the platform binding in the settings, and a
// function that returns the daemon once fx has built it.
func selectBinding(s settings.Settings) (fx.Option, func() instance) {
	if s.Platform.Binding == settings.BindingRoutes {
		var d *Routed
		return fx.Options(RoutedModule, fx.Populate(&d)), func() instance { return d }
	}
	var d *Daemon
	return fx.Options(Module, fx.Populate(&d)), func() instance { return d }
}

// Run starts a daemon, calls ready once a configuration is in force and callers are served,
// and stops the daemon when ctx ends. It returns after the graceful shutdown.
func Run(ctx context.Context, s settings.Settings, log *slog.Logger, ready func(Addresses)) error {
	options, built := selectBinding(s)
	app := fx.New(
		options,
		fx.Supply(s, log),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
	if err := app.Err(); err != nil {
		// fx adds the names of the constructors it was running, not the cause.
		return dig.RootCause(err)
	}
	startCtx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return err
	}
	d := built()
	select {
	case <-d.life().Ready():
		ready(d.addresses())
		<-ctx.Done()
	case <-ctx.Done():
	}
	stopCtx, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	return app.Stop(stopCtx)
}

// Addresses holds the addresses of the bound listeners as host:port.
type Addresses struct {
	Callers, Operators, Fleet string
}

func (d *Daemon) addresses() Addresses {
	return Addresses{
		Callers:   d.deps.Servers.callersListener.Addr().String(),
		Operators: d.deps.Servers.operatorsListener.Addr().String(),
		Fleet:     d.deps.Node.Address(),
	}
}
