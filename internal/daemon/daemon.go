// Package daemon assembles the components of savorystalld with fx and manages the lifecycle
// of the process: start, operation and graceful shutdown.
package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/fx"

	"github.com/savorystall/savorystall/internal/attempt"
	"github.com/savorystall/savorystall/internal/certs"
	"github.com/savorystall/savorystall/internal/claim"
	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/fleet"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/ingress"
	"github.com/savorystall/savorystall/internal/order"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/scheduler"
	"github.com/savorystall/savorystall/internal/settings"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// identity identifies this process. The incarnation is derived from the start time, so that
// a restarted daemon is never mistaken for its predecessor.
type identity struct {
	Daemon      ident.Daemon
	Zone        ident.Zone
	Incarnation uint64
	// firstStart reports that the store held no row of a daemon at the start, peersExpected that it
	// held those of others or could not be read.
	firstStart, peersExpected bool
}

func newIdentity(s settings.Settings) identity {
	return identity{Daemon: s.Daemon, Zone: s.Zone, Incarnation: uint64(time.Now().UnixMicro())}
}

// Module provides all components of a daemon from its settings and a logger.
var Module = fx.Module("savorystalld",
	fx.Provide(
		newIdentity,
		NewLifecycle,
		telemetry.NewMetrics,
		newTracing,
		newPlatform,
		config.NewStore,
		newWatcher,
		newArchiver,
		newBridge,
		newLoop,
		newNode,
		newClaimer,
		newRunner,
		newReconciler,
		newIngress,
		newServers,
		newDaemon,
	),
)

func newTracing(id identity, s settings.Settings) (*telemetry.Tracing, error) {
	return telemetry.NewTracing(context.Background(), string(id.Daemon), s.Trace)
}

func newPlatform(s settings.Settings, log *slog.Logger) *platform.Client {
	return platform.NewClient(platform.ClientConfig{URL: s.Platform.URL, AttemptTimeout: s.Platform.Timeout, Logger: log})
}

func newWatcher(s settings.Settings, client *platform.Client, store *config.Store, log *slog.Logger) *config.Watcher {
	return config.NewWatcher(config.WatcherConfig{
		Table: client, Objects: client, Store: store, Interval: s.Platform.ConfigPoll, Logger: log,
	})
}

func newArchiver(client *platform.Client, store *config.Store, log *slog.Logger) *config.Archiver {
	return config.NewArchiver(config.ArchiverConfig{Table: client, Objects: client, Store: store, Logger: log})
}

func newBridge(id identity, store *config.Store, log *slog.Logger) *bridge {
	return &bridge{store: store, self: id.Daemon, log: log}
}

func newLoop(id identity, b *bridge) *control.Loop {
	core := scheduler.New(scheduler.Config{Self: id.Daemon, Incarnation: id.Incarnation, Zone: id.Zone},
		rand.New(rand.NewPCG(id.Incarnation, rand.Uint64())))
	b.loop = control.New(control.Config{}, core, b)
	return b.loop
}

func newNode(id identity, s settings.Settings, b *bridge, _ *control.Loop, _ *claim.Claimer, log *slog.Logger) (*fleet.Node, error) {
	cfg, err := nodeConfig(id, s, log)
	if err != nil {
		return nil, err
	}
	node, err := fleet.New(cfg, b)
	if err != nil {
		return nil, err
	}
	b.node = node
	return node, nil
}

func nodeConfig(id identity, s settings.Settings, log *slog.Logger) (fleet.Config, error) {
	loaded, err := loadIdentity(s)
	return fleet.Config{
		Self: id.Daemon, Incarnation: id.Incarnation, Zone: id.Zone,
		Listen: s.Fleet.Listen, Advertise: s.Fleet.Advertise, Heartbeat: s.Fleet.Heartbeat,
		Identity: loaded, Logger: log,
	}, err
}

// loadIdentity loads the fleet's TLS certificates. It returns nil if none are configured.
func loadIdentity(s settings.Settings) (*certs.Identity, error) {
	if s.Fleet.TLS == nil {
		return nil, nil
	}
	return certs.Load(certs.Files{Cert: s.Fleet.TLS.Certificate, Key: s.Fleet.TLS.Key, CA: s.Fleet.TLS.Authority})
}

// CheckFiles reads the files named in the settings, as the daemon does when it starts, and
// returns the first error.
func CheckFiles(s settings.Settings) error {
	_, err := loadIdentity(s)
	return err
}

func newClaimer(id identity, s settings.Settings, b *bridge, client *platform.Client, log *slog.Logger) *claim.Claimer {
	b.claimer = claim.New(claim.Config{Daemon: id.Daemon, Incarnation: id.Incarnation, ClaimTimeout: s.Claims.Wait}, client, b, log)
	return b.claimer
}

func newReconciler(id identity, s settings.Settings, client *platform.Client, log *slog.Logger) *order.Reconciler {
	cfg := order.Config{
		Daemon: id.Daemon, Incarnation: id.Incarnation,
		LeaseTerm: s.Orders.LeaseTerm, ReadInterval: s.Orders.ReadBack,
	}
	return order.New(cfg, client, client, order.NewHTTPClient(), log)
}

func newRunner(tracing *telemetry.Tracing) *attempt.Runner {
	return attempt.NewRunner(attempt.Config{Tracer: tracing.Tracer})
}

func newIngress(s settings.Settings, store *config.Store, loop *control.Loop, runner *attempt.Runner, claimer *claim.Claimer,
	metrics *telemetry.Metrics, tracing *telemetry.Tracing, log *slog.Logger) *ingress.Server {
	return ingress.NewServer(ingress.Deps{
		Config: ingress.Config{BodyTimeout: s.Callers.BodyTimeout},
		Store:  store, Placer: loop, Runner: runner, Claims: claimer,
		Metrics: metrics, Tracing: tracing, Log: log,
	})
}

// servers holds the HTTP servers for callers and operators together with their bound
// listeners.
type servers struct {
	callers, operators *http.Server
	callersListener    *drainableListener
	connections        *connTracker
	operatorsListener  net.Listener
}

const (
	idleTimeout      = 2 * time.Minute
	operatorsTimeout = 10 * time.Second
)

func newServers(s settings.Settings, id identity, in *ingress.Server, life *Lifecycle, loop *control.Loop, store *config.Store, b *bridge, metrics *telemetry.Metrics) (*servers, error) {
	ops := &operators{identity: id, life: life, loop: loop, store: store, bridge: b, metrics: metrics}
	callers, err := listenDrainable(s.Callers.Listen)
	if err != nil {
		return nil, merry.Prepend(err, "callers' listener")
	}
	operators, err := net.Listen("tcp", s.Operators.Listen)
	if err != nil {
		_ = callers.Close()
		return nil, merry.Prepend(err, "operators' listener")
	}
	conns := newConnTracker(0)
	return &servers{
		connections: conns,
		callers: &http.Server{
			ConnState:         conns.track,
			ConnContext:       withConn,
			Handler:           resetAborted(closeWhenStopping(life, in)),
			ReadHeaderTimeout: s.Callers.HeaderTimeout,
			MaxHeaderBytes:    s.Callers.HeaderBytes,
			IdleTimeout:       idleTimeout,
		},
		operators: &http.Server{
			Handler:           ops.handler(),
			ReadHeaderTimeout: operatorsTimeout,
			ReadTimeout:       operatorsTimeout,
		},
		callersListener:   callers,
		operatorsListener: operators,
	}, nil
}
