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

// configFollower carries each new snapshot to the control loop and its revision
// to the peers, and makes the daemon ready at the first one.
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

// vmFollower reads the platform's VM list: it seeds the members of the fleet
// and tells which targets are leaving.
type vmFollower struct {
	vms      platform.VMs
	interval time.Duration
	timeout  time.Duration
	store    *config.Store
	loop     *control.Loop
	node     *fleet.Node
	leaving  atomic.Pointer[map[string]bool]
	// seeds stand in for the list until it was read once.
	seeds []platform.VM
}

// isLeaving tells whether the list last read says that a target leaves.
func (f *vmFollower) isLeaving(name ident.Target) bool {
	leaving := f.leaving.Load()
	return leaving != nil && (*leaving)[string(name)]
}

func (f *vmFollower) run(ctx context.Context) {
	f.node.SetVMs(f.seeds)
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
	before := map[string]bool{}
	if last := f.leaving.Swap(&leaving); last != nil {
		before = *last
	}
	for name := range leaving {
		if !before[name] {
			f.tell(name, scheduler.HealthLeaving)
		}
	}
	for name := range before {
		if !leaving[name] {
			f.tell(name, scheduler.HealthReturned)
		}
	}
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

// prober asks the targets that this daemon owns for their status: whether they
// are leaving, and whether one that failed answers again. Its peers learn from it
// what has changed. Each probe takes a connection of its own, so that one that
// went silent does not speak for the target.
type prober struct {
	store    *config.Store
	loop     *control.Loop
	vms      *vmFollower
	runner   *attempt.Runner
	interval time.Duration
	log      *slog.Logger
	// words holds the last word of each owned target.
	words sync.Map // from probed to word
}

// word is what the probes of a target found: that the last one got no answer,
// that some got one, and whether the last answer was that it leaves.
type word struct{ silent, heard, leaving bool }

// probed names a target.
type probed struct {
	service ident.Service
	target  ident.Target
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

// round probes all owned targets at once, so that a silent one does not delay
// the others.
func (p *prober) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.interval)
	defer cancel()
	owned := map[ident.Service]map[ident.Target]bool{}
	p.loop.Inspect(func(c *scheduler.Core) { owned = c.OwnedTargets() })
	var probes sync.WaitGroup
	for _, s := range p.store.Snapshot().Services() {
		for _, t := range s.Document.Targets {
			if !owned[s.Document.Service][t.Name] {
				p.words.Delete(probed{s.Document.Service, t.Name})
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
		return // the daemon stops
	}
	key := probed{doc.Service, t.Name}
	before, _ := p.words.Load(key)
	last, _ := before.(word)
	now := word{heard: true, leaving: status.Leaving}
	if err != nil || doc.Kind == document.Model && status.HTTPStatus != http.StatusOK {
		now = word{silent: true, heard: last.heard, leaving: last.leaving}
	}
	p.words.Store(key, now)
	p.logChange(key, last, now)
	switch {
	case now.silent:
		p.loop.TargetHealth(key.service, key.target, scheduler.HealthFailed)
		return
	case now.leaving:
		p.loop.TargetHealth(key.service, key.target, scheduler.HealthLeaving)
	case last.leaving, !last.heard && !p.vms.isLeaving(t.Name):
		// A new owner does not know the target's former word: unless the VM
		// list says that it leaves, it lets it return, or nobody would.
		p.loop.TargetHealth(key.service, key.target, scheduler.HealthReturned)
	}
	p.loop.TargetHealth(key.service, key.target, scheduler.HealthAnswered)
}

func (p *prober) logChange(key probed, last, now word) {
	log := func(e event.Event) { e.Log(p.log, "service", key.service, "target", key.target) }
	switch {
	case now.silent && !last.silent:
		log(event.TargetSilent)
	case !now.silent && last.silent:
		log(event.TargetAnswers)
	}
	switch {
	case now.leaving && !last.leaving:
		log(event.TargetLeaving)
	case !now.leaving && last.leaving:
		log(event.TargetReturned)
	}
}
