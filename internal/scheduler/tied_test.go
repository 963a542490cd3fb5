package scheduler_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// tiedFleet is a few daemons whose workspaces are tied to targets at random.
// Messages arrive a tick after they were sent.
type tiedFleet struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	cores   []*scheduler.Core
	service scheduler.Service
	inbox   []func()
	// waiting holds the workspace of each request that waits, running where
	// each of the others runs and until when.
	waiting map[ident.Request]ident.Workspace
	running map[ident.Request]*tiedRun
	// idle is since when a target has had a free slot that waiting work may use.
	idle map[ident.Target]time.Time
	next int
}

type tiedRun struct {
	core   int
	target ident.Target
	until  time.Time
}

const tiedTick = 20 * time.Millisecond

func newTiedFleet(t *testing.T, seed uint64) *tiedFleet {
	f := &tiedFleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 3)), now: start,
		waiting: map[ident.Request]ident.Workspace{}, running: map[ident.Request]*tiedRun{},
		idle: map[ident.Target]time.Time{},
	}
	f.service = scheduler.Service{Name: "pool", MeanCost: 100}
	zone := func(i int) ident.Zone { return ident.Zone(fmt.Sprintf("z%d", i%2)) }
	for i := range 2 + f.rng.IntN(5) {
		f.service.Targets = append(f.service.Targets, scheduler.Target{
			Name: ident.Target(fmt.Sprintf("t%d", i)), Zone: zone(i), Slots: 1 + f.rng.IntN(3),
		})
	}
	for i := range 2 + f.rng.IntN(4) {
		f.service.Workspaces = append(f.service.Workspaces, scheduler.Workspace{
			Name: ident.Workspace(fmt.Sprintf("w%d", i)), Weight: 1 + f.rng.Float64(), QueueLimit: 1000,
		})
	}
	daemons := 1 + f.rng.IntN(4)
	for d := range daemons {
		f.cores = append(f.cores, scheduler.New(scheduler.Config{
			Self: daemonName(d), Incarnation: 1, Zone: zone(d),
		}, rand.New(rand.NewPCG(seed, uint64(d)))))
	}
	for d, c := range f.cores {
		var peers []scheduler.Peer
		for p := range daemons {
			if p != d {
				peers = append(peers, scheduler.Peer{ID: daemonName(p), Incarnation: 1, Zone: zone(p)})
			}
		}
		c.Peers(f.now, peers)
	}
	f.tie()
	return f
}

// tie draws new ties for half of the workspaces.
func (f *tiedFleet) tie() {
	f.service.Workspaces = append([]scheduler.Workspace(nil), f.service.Workspaces...)
	for i := range f.service.Workspaces {
		f.service.Workspaces[i].Targets = nil
		for range f.rng.IntN(2) * (1 + f.rng.IntN(2)) {
			name := f.service.Targets[f.rng.IntN(len(f.service.Targets))].Name
			f.service.Workspaces[i].Targets = append(f.service.Workspaces[i].Targets, name)
		}
	}
	for _, c := range f.cores {
		c.Configure(f.now, []scheduler.Service{f.service})
	}
	clear(f.idle)
}

func (f *tiedFleet) mayUse(ws ident.Workspace, target ident.Target) bool {
	for _, w := range f.service.Workspaces {
		if w.Name != ws {
			continue
		}
		for _, name := range w.Targets {
			if name == target {
				return true
			}
		}
		return len(w.Targets) == 0
	}
	return false
}

func (f *tiedFleet) submit() {
	f.next++
	w := f.service.Workspaces[f.rng.IntN(len(f.service.Workspaces))].Name
	r := request(fmt.Sprintf("r%d", f.next), w)
	f.waiting[r.ID] = w
	if failure := f.cores[f.rng.IntN(len(f.cores))].Submit(f.now, r); failure != nil {
		f.t.Fatal(failure)
	}
}

func (f *tiedFleet) step() {
	f.now = f.now.Add(tiedTick)
	letters := f.inbox
	f.inbox = nil
	for _, deliver := range letters {
		deliver()
	}
	for _, id := range slices.Sorted(maps.Keys(f.running)) {
		r := f.running[id]
		if !f.now.Before(r.until) {
			delete(f.running, id)
			f.cores[r.core].Finish(f.now, id, scheduler.Result{Served: 50, Elapsed: time.Second})
		}
	}
	for d, c := range f.cores {
		c.Tick(f.now)
		for _, e := range c.TakeEffects() {
			f.carryOut(d, e)
		}
	}
	f.check()
}

func (f *tiedFleet) carryOut(d int, effect scheduler.Effect) {
	switch e := effect.(type) {
	case scheduler.Send:
		f.inbox = append(f.inbox, func() {
			for to, c := range f.cores {
				if daemonName(to) == e.To {
					c.Receive(f.now, daemonName(d), e.Message)
				}
			}
		})
	case scheduler.Dispatch:
		if ws := f.waiting[e.Request]; !f.mayUse(ws, e.Target) {
			f.t.Fatalf("%s of %s runs on %s, which it may not use", e.Request, ws, e.Target)
		}
		delete(f.waiting, e.Request)
		lasts := time.Duration(1+f.rng.IntN(100)) * tiedTick
		f.running[e.Request] = &tiedRun{core: d, target: e.Target, until: f.now.Add(lasts)}
	case scheduler.Refuse:
		f.t.Fatalf("%s was refused: %v", e.Request, e.Failure)
	}
}

// check fails where a slot stays free for longer than an exchange and a settling
// of demand while work that may use it waits.
func (f *tiedFleet) check() {
	used := map[ident.Target]int{}
	for _, r := range f.running {
		used[r.target]++
	}
	for _, t := range f.service.Targets {
		wanted := false
		for _, ws := range f.waiting {
			wanted = wanted || f.mayUse(ws, t.Name)
		}
		if !wanted || used[t.Name] >= t.Slots {
			delete(f.idle, t.Name)
			continue
		}
		if f.idle[t.Name].IsZero() {
			f.idle[t.Name] = f.now
		}
		if idle := f.now.Sub(f.idle[t.Name]); idle > 1500*time.Millisecond {
			f.t.Fatalf("%s has a free slot for %s while work for it waits", t.Name, idle)
		}
	}
}

// Some workspaces may use only one or two of the targets, and callers of all
// come to any daemon. A request that runs elsewhere breaks what the tie is for;
// demand that is shown to an owner without such a target waits beside free
// slots. The ties change under way, with requests waiting and running.
func TestTiedWorkspacesUseTheirTargetsOnly(t *testing.T) {
	for seed := range uint64(150) {
		f := newTiedFleet(t, seed)
		for i := range 1000 {
			if f.rng.IntN(4) == 0 {
				f.submit()
			}
			if i == 500 {
				f.tie()
			}
			f.step()
		}
		for range 20000 {
			if len(f.waiting) == 0 {
				break
			}
			f.step()
		}
		if len(f.waiting) > 0 {
			t.Fatalf("seed %d: %d requests wait for ever", seed, len(f.waiting))
		}
	}
}
