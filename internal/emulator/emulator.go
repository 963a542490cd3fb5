// Package emulator runs stand-ins of the systems that a fleet depends on: the
// platform's services and all targets in a set of documents. It is meant for
// experiments with a fleet on one machine and stores nothing persistently.
package emulator

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/platform/wire"
	enginestandin "github.com/savorystall/savorystall/internal/standin/engine"
	plainstandin "github.com/savorystall/savorystall/internal/standin/plain"
	platformstandin "github.com/savorystall/savorystall/internal/standin/platform"
)

// Config describes an Emulator.
type Config struct {
	// PlatformAddress is the listen address of the platform's services, host:port.
	PlatformAddress string
	// Documents are written to the table. A stand-in is started for each of their
	// targets.
	Documents []string
	// Daemons are added to the VM list in addition to the targets.
	Daemons []platform.VM
	// Step is the time in which an engine generates one token of every stream.
	// Default: 20 ms, an assumption, as the step time of real engines is not known.
	Step time.Duration
	// Batch is the number of streams that an engine runs concurrently. Default:
	// the slots in its document. A different value emulates an incorrect document.
	Batch int
	// Delay is the response time of plain services. Default: none.
	Delay time.Duration
	// GarbageFraction is the fraction of responses in which targets send bytes that
	// are no part of them. Default: none.
	GarbageFraction float64
	// Listeners maps addresses to open listeners, which are used instead of new
	// ones. Default: none.
	Listeners map[string]net.Listener
}

const defaultStep = 20 * time.Millisecond

// Emulator runs the stand-ins of the platform and of the targets.
type Emulator struct {
	// Platform is the stand-in of the platform, on which faults can be injected.
	Platform *platformstandin.Server
	// PlatformURL is the base URL of Platform.
	PlatformURL string
	// Engines and PlainTargets hold the stand-ins of the targets of model and plain
	// services.
	Engines      map[TargetKey]*enginestandin.Engine
	PlainTargets map[TargetKey]*plainstandin.Service

	cfg            Config
	servers        []*http.Server
	targetRequests atomic.Int64
}

// TargetKey identifies a target in the fleet.
type TargetKey struct {
	Service ident.Service
	Target  ident.Target
}

// Start starts the stand-ins and writes the documents to the table.
func Start(ctx context.Context, cfg Config) (*Emulator, error) {
	if cfg.Step == 0 {
		cfg.Step = defaultStep
	}
	e := &Emulator{
		cfg:          cfg,
		Platform:     platformstandin.New(platformstandin.Config{}),
		Engines:      map[TargetKey]*enginestandin.Engine{},
		PlainTargets: map[TargetKey]*plainstandin.Service{},
	}
	if err := e.start(ctx); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

func (e *Emulator) start(ctx context.Context) error {
	address, err := e.serve(e.cfg.PlatformAddress, e.Platform)
	if err != nil {
		return err
	}
	e.PlatformURL = "http://" + address
	vms := wireVMs(e.cfg.Daemons)
	for _, text := range e.cfg.Documents {
		doc, err := document.Parse([]byte(text))
		if err != nil {
			return merry.Prepend(err, "document")
		}
		for _, t := range doc.Targets {
			if err := e.startTarget(doc, t); err != nil {
				return err
			}
			vms = append(vms, wire.VM{Name: string(t.Name), Zone: string(t.Zone), Address: t.Address, Role: platform.RoleTarget, State: string(platform.VMLive)})
		}
	}
	e.Platform.SetVMs(vms...)
	return e.applyDocuments(ctx)
}

func wireVMs(vms []platform.VM) []wire.VM {
	list := make([]wire.VM, len(vms))
	for i, vm := range vms {
		list[i] = wire.VM{Name: vm.Name, Zone: string(vm.Zone), Address: vm.Address, Role: vm.Role, State: string(vm.State)}
	}
	return list
}

func (e *Emulator) startTarget(doc *document.Document, t document.Target) error {
	key := TargetKey{doc.Service, t.Name}
	seed := uint64(len(e.Engines) + len(e.PlainTargets))
	var handler http.Handler
	if doc.Kind == document.Model {
		engine := enginestandin.New(enginestandin.Config{
			Step: e.cfg.Step, Slots: cmp.Or(e.cfg.Batch, t.Slots),
			EnforceFencing:  doc.Orders != nil && doc.Orders.Fencing == document.Enforced,
			GarbageFraction: e.cfg.GarbageFraction, GarbageSeed: seed,
		})
		e.Engines[key], handler = engine, engine
	} else {
		plain := plainstandin.New(plainstandin.Config{Delay: e.cfg.Delay, GarbageFraction: e.cfg.GarbageFraction, GarbageSeed: seed})
		e.PlainTargets[key], handler = plain, plain
	}
	_, err := e.serve(t.Address, e.countRequests(handler))
	return err
}

func (e *Emulator) serve(address string, handler http.Handler) (string, error) {
	listener := e.cfg.Listeners[address]
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", address); err != nil {
			return "", merry.Prepend(err, "stand-in")
		}
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	e.servers = append(e.servers, server)
	go func() { _ = server.Serve(listener) }() // returns ErrServerClosed after Close
	return listener.Addr().String(), nil
}

// daemonPaths are the paths that daemons request from targets periodically,
// independently of callers.
var daemonPaths = map[string]bool{"/status": true, "/orders": true, "/cache/events": true}

// countRequests wraps the handler of a target and counts callers' requests.
func (e *Emulator) countRequests(target http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !daemonPaths[r.URL.Path] {
			e.targetRequests.Add(1)
		}
		target.ServeHTTP(w, r)
	})
}

// TargetRequests returns the number of callers' requests that all targets have
// received in total. Requests that daemons send by themselves are not counted.
func (e *Emulator) TargetRequests() int64 { return e.targetRequests.Load() }

func (e *Emulator) applyDocuments(ctx context.Context) error {
	editor := &config.Editor{Table: platform.NewClient(platform.ClientConfig{URL: e.PlatformURL}), Author: "emulator"}
	for _, text := range e.cfg.Documents {
		if _, err := editor.Apply(ctx, []byte(text), 0, "emulated"); err != nil {
			return merry.Prepend(err, "document")
		}
	}
	return nil
}

// Close stops the stand-ins.
func (e *Emulator) Close() {
	for _, server := range e.servers {
		_ = server.Close()
	}
	for _, engine := range e.Engines {
		engine.Close()
	}
	for _, plain := range e.PlainTargets {
		plain.Close()
	}
}
