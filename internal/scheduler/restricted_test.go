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

// restrictedFleet simulates several daemons whose workspaces are randomly
// restricted to some targets. Messages arrive one tick after they were sent.
type restrictedFleet struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	cores   []*scheduler.Core
	service scheduler.Service
	inbox   []func()
	// waiting maps each waiting request to its workspace. running holds the
	// target and the end time of each running request.
	waiting map[ident.Request]ident.Workspace
	running map[ident.Request]*runningRequest
	// idleSince is when a target first had a free slot that a waiting request
	// may use.
	idleSince map[ident.Target]time.Time
	next      int
}

type runningRequest struct {
	core   int
	target ident.Target
	until  time.Time
}

const fleetTick = 20 * time.Millisecond

func newRestrictedFleet(t *testing.T, seed uint64) *restrictedFleet {
	f := &restrictedFleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 3)), now: start,
		waiting: map[ident.Request]ident.Workspace{}, running: map[ident.Request]*runningRequest{},
		idleSince: map[ident.Target]time.Time{},
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
		c.SetPeers(f.now, peers)
	}
	f.randomizeTargets()
	return f
}

// randomizeTargets restricts about half of the workspaces to one or two random
// targets and removes the restrictions of the others.
func (f *restrictedFleet) randomizeTargets() {
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
	clear(f.idleSince)
}

func (f *restrictedFleet) mayUse(ws ident.Workspace, target ident.Target) bool {
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

func (f *restrictedFleet) submit() {
	f.next++
	w := f.service.Workspaces[f.rng.IntN(len(f.service.Workspaces))].Name
	r := request(fmt.Sprintf("r%d", f.next), w)
	f.waiting[r.ID] = w
	if failure := f.cores[f.rng.IntN(len(f.cores))].Submit(f.now, r); failure != nil {
		f.t.Fatal(failure)
	}
}

func (f *restrictedFleet) step() {
	f.now = f.now.Add(fleetTick)
	messages := f.inbox
	f.inbox = nil
	for _, deliver := range messages {
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
			f.applyEffect(d, e)
		}
	}
	f.checkIdleSlots()
}

func (f *restrictedFleet) applyEffect(d int, effect scheduler.Effect) {
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
		duration := time.Duration(1+f.rng.IntN(100)) * fleetTick
		f.running[e.Request] = &runningRequest{core: d, target: e.Target, until: f.now.Add(duration)}
	case scheduler.Refuse:
		f.t.Fatalf("%s was refused: %v", e.Request, e.Failure)
	}
}

// checkIdleSlots fails if a slot stays free for more than an exchange interval
// and a settling time of demand while a request that may use it waits.
func (f *restrictedFleet) checkIdleSlots() {
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
			delete(f.idleSince, t.Name)
			continue
		}
		if f.idleSince[t.Name].IsZero() {
			f.idleSince[t.Name] = f.now
		}
		if idle := f.now.Sub(f.idleSince[t.Name]); idle > 1500*time.Millisecond {
			f.t.Fatalf("%s has a free slot for %s while work for it waits", t.Name, idle)
		}
	}
}

// Some workspaces may use only one or two of the targets, and their requests
// arrive at any daemon. No request may run on another target, and no slot may
// stay free because demand was reported to an owner that has no permitted
// target. The restrictions change while requests are waiting and running.
func TestRestrictedWorkspacesUseOnlyTheirTargets(t *testing.T) {
	for seed := range uint64(150) {
		f := newRestrictedFleet(t, seed)
		for i := range 1000 {
			if f.rng.IntN(4) == 0 {
				f.submit()
			}
			if i == 500 {
				f.randomizeTargets()
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
			t.Fatalf("seed %d: %d requests wait for dispatch forever", seed, len(f.waiting))
		}
	}
}
