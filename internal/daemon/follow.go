package daemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/fleet"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// configFollower carries each new snapshot to the control loop and its revision
// to the peers, and makes the daemon ready at the first one.
type configFollower struct {
	store *config.Store
	loop  *control.Loop
	node  *fleet.Node
	life  *Life
	log   *slog.Logger
}

func (f *configFollower) run(ctx context.Context) {
	for {
		changed := f.store.Changed()
		head := f.store.Head()
		f.loop.Configure(schedulerServices(f.store.Snapshot()))
		f.node.SetHead(head)
		if head > 0 && f.life.fire(triggerConfigured) {
			event.DaemonReady.Log(f.log, "head", head)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// vmFollower reads the platform's VM list: it seeds the members of the fleet
// and tells which targets are leaving.
type vmFollower struct {
	vms      platform.VMs
	interval time.Duration
	timeout  time.Duration
	store    *config.Store
	loop     *control.Loop
	node     *fleet.Node
	leaving  map[string]bool
}

func (f *vmFollower) run(ctx context.Context) {
	ticker := time.NewTicker(f.interval)
	defer ticker.Stop()
	for {
		f.read(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// read takes the list once. While the list cannot be read, what is known stays:
// heartbeats and the targets' own word go on telling who is live.
func (f *vmFollower) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	vms, err := f.vms.ListVMs(ctx)
	if err != nil {
		return
	}
	f.node.SetVMs(vms)
	f.tellLeaving(vms)
}

// tellLeaving passes on changes only: the list lags, and repeating its old word
// would overrule what a returned target says itself.
func (f *vmFollower) tellLeaving(vms []platform.VM) {
	leaving := map[string]bool{}
	for _, vm := range vms {
		if vm.Role == platform.RoleTarget && vm.State == platform.VMLeaving {
			leaving[vm.Name] = true
		}
	}
	for name := range leaving {
		if !f.leaving[name] {
			f.tell(name, scheduler.HealthLeaving)
		}
	}
	for name := range f.leaving {
		if !leaving[name] {
			f.tell(name, scheduler.HealthReturned)
		}
	}
	f.leaving = leaving
}

func (f *vmFollower) tell(name string, health scheduler.Health) {
	for _, s := range f.store.Snapshot().Services() {
		for _, t := range s.Document.Targets {
			if t.Name == ident.Target(name) {
				f.loop.TargetHealth(s.Document.Service, t.Name, health)
			}
		}
	}
}

// prober asks the engines of this daemon's zone for their status: whether they
// are leaving, and whether one that failed answers again. Plain services have
// no status; a new connection tells whether they are there.
type prober struct {
	store    *config.Store
	loop     *control.Loop
	zone     ident.Zone
	interval time.Duration
	client   *http.Client
	leaving  sync.Map // "service/target" to bool
}

// engineStatus is the part of an engine's status that is used here.
type engineStatus struct {
	Leaving bool `json:"leaving"`
}

func (p *prober) run(ctx context.Context) {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		p.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// round probes all targets of the zone at once, so that a silent one does not
// delay the others.
func (p *prober) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.interval)
	defer cancel()
	var probes sync.WaitGroup
	for _, s := range p.store.Snapshot().Services() {
		for _, t := range s.Document.Targets {
			if t.Zone != p.zone {
				continue
			}
			probes.Go(func() { p.probe(ctx, s.Document, t) })
		}
	}
	probes.Wait()
}

func (p *prober) probe(ctx context.Context, doc *document.Document, t document.Target) {
	status, err := p.status(ctx, doc.Kind, t.Address)
	if err != nil {
		if ctx.Err() == nil || ctx.Err() == context.DeadlineExceeded {
			p.loop.TargetHealth(doc.Service, t.Name, scheduler.HealthFailed)
		}
		return
	}
	key := string(doc.Service) + "/" + string(t.Name)
	before, _ := p.leaving.Swap(key, status.Leaving)
	switch {
	case status.Leaving:
		p.loop.TargetHealth(doc.Service, t.Name, scheduler.HealthLeaving)
	case before == true:
		p.loop.TargetHealth(doc.Service, t.Name, scheduler.HealthReturned)
	default:
		p.loop.TargetHealth(doc.Service, t.Name, scheduler.HealthAnswered)
	}
}

func (p *prober) status(ctx context.Context, kind document.Kind, address string) (engineStatus, error) {
	var status engineStatus
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return status, err
	}
	response, err := p.client.Do(request)
	if err != nil {
		return status, err
	}
	defer func() { _ = response.Body.Close() }()
	if kind == document.Plain {
		return status, nil
	}
	return status, json.NewDecoder(response.Body).Decode(&status)
}
