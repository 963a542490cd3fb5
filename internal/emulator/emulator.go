// Package emulator runs small stand-ins of what stands around a fleet: the
// platform's services and every target that a set of documents names. It is for
// trying a fleet out on one machine; nothing in it lasts.
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

// Config says what is emulated.
type Config struct {
	// Platform is the listener of the platform's services, host:port.
	Platform string
	// Documents are applied to the table; each target in them gets a stand-in.
	Documents []string
	// Daemons are entered in the VM list beside the targets.
	Daemons []platform.VM
	// Step is the time in which an engine adds one token to every stream.
	// Default 20 ms; the true step time of engines is not known.
	Step time.Duration
	// Batch is how many streams an engine runs at once. Default: the slots that
	// its document says. Set it to try out documents that are wrong.
	Batch int
	// Delay is how long a plain service takes. Default none.
	Delay time.Duration
	// Listeners are used for the addresses that they are mapped from, in place
	// of new ones. Default none.
	Listeners map[string]net.Listener
}

const defaultStep = 20 * time.Millisecond

// Emulator is a set of running stand-ins.
type Emulator struct {
	// Platform is the platform stand-in; faults can be set on it.
	Platform *platformstandin.Server
	// URL is its base URL.
	URL string
	// Engines and Plain are the targets by service and name.
	Engines map[Name]*enginestandin.Engine
	Plain   map[Name]*plainstandin.Service

	cfg      Config
	servers  []*http.Server
	requests atomic.Int64
}

// Name names a target in the fleet.
type Name struct {
	Service ident.Service
	Target  ident.Target
}

// Start starts the stand-ins and applies the documents.
func Start(ctx context.Context, cfg Config) (*Emulator, error) {
	if cfg.Step == 0 {
		cfg.Step = defaultStep
	}
	e := &Emulator{
		cfg:      cfg,
		Platform: platformstandin.New(platformstandin.Config{}),
		Engines:  map[Name]*enginestandin.Engine{},
		Plain:    map[Name]*plainstandin.Service{},
	}
	if err := e.start(ctx); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

func (e *Emulator) start(ctx context.Context) error {
	address, err := e.serve(e.cfg.Platform, e.Platform)
	if err != nil {
		return err
	}
	e.URL = "http://" + address
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
	return e.apply(ctx)
}

func wireVMs(vms []platform.VM) []wire.VM {
	list := make([]wire.VM, len(vms))
	for i, vm := range vms {
		list[i] = wire.VM{Name: vm.Name, Zone: string(vm.Zone), Address: vm.Address, Role: vm.Role, State: string(vm.State)}
	}
	return list
}

func (e *Emulator) startTarget(doc *document.Document, t document.Target) error {
	name := Name{doc.Service, t.Name}
	var handler http.Handler
	if doc.Kind == document.Model {
		engine := enginestandin.New(enginestandin.Config{
			Step: e.cfg.Step, Slots: cmp.Or(e.cfg.Batch, t.Slots),
			EnforceFencing: doc.Orders != nil && doc.Orders.Fencing == document.Enforced,
		})
		e.Engines[name], handler = engine, engine
	} else {
		plain := plainstandin.New(plainstandin.Config{Delay: e.cfg.Delay})
		e.Plain[name], handler = plain, plain
	}
	_, err := e.serve(t.Address, e.counted(handler))
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
	go func() { _ = server.Serve(listener) }() // ends with ErrServerClosed
	return listener.Addr().String(), nil
}

// ownPaths are what daemons ask targets on their own account, at their own times.
var ownPaths = map[string]bool{"/status": true, "/orders": true, "/cache/events": true}

// counted counts what a target sees of callers' requests.
func (e *Emulator) counted(target http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !ownPaths[r.URL.Path] {
			e.requests.Add(1)
		}
		target.ServeHTTP(w, r)
	})
}

// TargetRequests returns how many requests of callers all targets have seen
// together. What daemons ask on their own account is not counted.
func (e *Emulator) TargetRequests() int64 { return e.requests.Load() }

func (e *Emulator) apply(ctx context.Context) error {
	editor := &config.Editor{Table: platform.NewClient(platform.ClientConfig{URL: e.URL}), Author: "emulator"}
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
	for _, plain := range e.Plain {
		plain.Close()
	}
}
