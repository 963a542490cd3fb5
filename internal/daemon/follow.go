package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savorystall/savorystall/internal/attempt"
	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/fleet"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// configFollower passes each new configuration snapshot to the control loop and its
// revision to the peers. The first snapshot makes the daemon ready.
type configFollower struct {
	store *config.Store
	loop  *control.Loop
	node  *fleet.Node
	life  *Lifecycle
	log   *slog.Logger
}

func (f *configFollower) run(ctx context.Context) {
	for {
		changed := f.store.Changed()
		head := f.store.Head()
		f.loop.Configure(schedulerServices(f.store.Snapshot()))
		f.node.SetHead(head)
		if head > 0 && f.life.applyTrigger(triggerConfigured) {
			event.DaemonReady.Log(f.log, "head", head)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// vmPoller polls the platform's VM list. The list provides the initial members of the fleet
// and shows which targets are leaving.
type vmPoller struct {
	vms      platform.VMs
	interval time.Duration
	timeout  time.Duration
	store    *config.Store
	loop     *control.Loop
	node     *fleet.Node
	leaving  atomic.Pointer[map[string]bool]
	// seeds replace the list until it has been read for the first time.
	seeds []platform.VM
}

// isLeaving reports whether the target is leaving according to the list last read.
func (f *vmPoller) isLeaving(name ident.Target) bool {
	leaving := f.leaving.Load()
	return leaving != nil && (*leaving)[string(name)]
}

func (f *vmPoller) run(ctx context.Context) {
	f.node.SetVMs(f.seeds)
	ticker := time.NewTicker(f.interval)
	defer ticker.Stop()
	for {
		f.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// poll reads the list once. If that fails, the previous state is kept: heartbeats and the
// status reported by the targets still show who is live.
func (f *vmPoller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	vms, err := f.vms.ListVMs(ctx)
	if err != nil {
		return
	}
	f.node.SetVMs(vms)
	f.reportLeaving(vms)
}

// reportLeaving reports only changes. The list lags behind, and repeating an outdated state
// would override what a target that has returned reports itself.
func (f *vmPoller) reportLeaving(vms []platform.VM) {
	leaving := map[string]bool{}
	for _, vm := range vms {
		if vm.Role == platform.RoleTarget && vm.State == platform.VMLeaving {
			leaving[vm.Name] = true
		}
	}
	previous := map[string]bool{}
	if last := f.leaving.Swap(&leaving); last != nil {
		previous = *last
	}
	for name := range leaving {
		if !previous[name] {
			f.reportHealth(name, scheduler.HealthLeaving)
		}
	}
	for name := range previous {
		if !leaving[name] {
			f.reportHealth(name, scheduler.HealthReturned)
		}
	}
}

func (f *vmPoller) reportHealth(name string, health scheduler.Health) {
	for _, s := range f.store.Snapshot().Services() {
		for _, t := range s.Document.Targets {
			if t.Name == ident.Target(name) {
				f.loop.TargetHealth(s.Document.Service, t.Name, health)
			}
		}
	}
}

// prober probes the status of the targets owned by this daemon: whether they are leaving,
// and whether a failed one answers again. Changes are passed on to the peers. Each probe
// opens a new connection, so that one hung connection does not make the target appear
// failed.
type prober struct {
	store    *config.Store
	loop     *control.Loop
	vms      *vmPoller
	runner   *attempt.Runner
	interval time.Duration
	log      *slog.Logger
	// results holds the last probeResult of each owned target.
	results sync.Map // from targetKey to probeResult
}

// probeResult is the state of a target according to its probes: whether the last probe
// failed, whether any probe was answered, and whether the target was leaving according to
// the last answer.
type probeResult struct{ failed, answered, leaving bool }

// targetKey identifies a target.
type targetKey struct {
	service ident.Service
	target  ident.Target
}

func (p *prober) run(ctx context.Context) {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		p.probeAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// probeAll probes all owned targets concurrently, so that one that does not answer does not
// delay the others.
func (p *prober) probeAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.interval)
	defer cancel()
	owned := map[ident.Service]map[ident.Target]bool{}
	p.loop.Inspect(func(c *scheduler.Core) { owned = c.OwnedTargets() })
	var probes sync.WaitGroup
	for _, s := range p.store.Snapshot().Services() {
		for _, t := range s.Document.Targets {
			if !owned[s.Document.Service][t.Name] {
				p.results.Delete(targetKey{s.Document.Service, t.Name})
				continue
			}
			probes.Go(func() { p.probe(ctx, s.Document, t) })
		}
	}
	probes.Wait()
}

func (p *prober) probe(ctx context.Context, doc *document.Document, t document.Target) {
	status, err := p.runner.Probe(ctx, t.Address)
	if ctx.Err() == context.Canceled {
		return // the daemon is stopping
	}
	key := targetKey{doc.Service, t.Name}
	stored, _ := p.results.Load(key)
	last, _ := stored.(probeResult)
	now := probeResult{answered: true, leaving: status.Leaving}
	if err != nil || doc.Kind == document.Model && status.HTTPStatus != http.StatusOK {
		now = probeResult{failed: true, answered: last.answered, leaving: last.leaving}
	}
	p.results.Store(key, now)
	p.logChange(key, last, now)
	switch {
	case now.failed:
		p.loop.TargetHealth(key.service, key.target, scheduler.HealthFailed)
		return
	case now.leaving:
		p.loop.TargetHealth(key.service, key.target, scheduler.HealthLeaving)
	case last.leaving, !last.answered && !p.vms.isLeaving(t.Name):
		// A new owner does not know the target's previous status. Unless the VM list says
		// that the target is leaving, the owner reports it as returned, because no other
		// daemon would.
		p.loop.TargetHealth(key.service, key.target, scheduler.HealthReturned)
	}
	p.loop.TargetHealth(key.service, key.target, scheduler.HealthAnswered)
}

func (p *prober) logChange(key targetKey, last, now probeResult) {
	log := func(e event.Event) { e.Log(p.log, "service", key.service, "target", key.target) }
	switch {
	case now.failed && !last.failed:
		log(event.TargetUnresponsive)
	case !now.failed && last.failed:
		log(event.TargetResponsive)
	}
	switch {
	case now.leaving && !last.leaving:
		log(event.TargetLeaving)
	case !now.leaving && last.leaving:
		log(event.TargetReturned)
	}
}
