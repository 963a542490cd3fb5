package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// linked returns an owner of the only target, with the given slots, and an
// ingress in another zone.
func linked(slots int) (owner, ingress *scheduler.Core) {
	owner, ingress = newCore("d1", "z1"), newCore("d2", "z2")
	services := []scheduler.Service{{
		Name:       "pool",
		Workspaces: []scheduler.Workspace{{Name: "a", Weight: 1, QueueLimit: 300}, {Name: "b", Weight: 1, QueueLimit: 300}},
		Targets:    []scheduler.Target{{Name: "t1", Zone: "z1", Slots: slots}},
		MeanCost:   100,
	}}
	owner.Configure(start, services)
	ingress.Configure(start, services)
	owner.Peers(start, []scheduler.Peer{{ID: "d2", Incarnation: 1, Zone: "z2"}})
	ingress.Peers(start, []scheduler.Peer{{ID: "d1", Incarnation: 1, Zone: "z1"}})
	return owner, ingress
}

// settleDown ticks both cores for a while and passes on all messages but those
// that lose says are lost. It returns the requests that the ingress started.
func settleDown(now time.Time, owner, ingress *scheduler.Core, lose func(from ident.Daemon, m scheduler.Message) bool) (time.Time, []ident.Request) {
	var started []ident.Request
	pass := func(from *scheduler.Core, id ident.Daemon, to *scheduler.Core) {
		for _, e := range from.TakeEffects() {
			switch e := e.(type) {
			case scheduler.Send:
				if !lose(id, e.Message) {
					to.Receive(now, id, e.Message)
				}
			case scheduler.Dispatch:
				started = append(started, e.Request)
			}
		}
	}
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		owner.Tick(now)
		ingress.Tick(now)
		pass(ingress, "d2", owner)
		pass(owner, "d1", ingress)
	}
	return now, started
}

func nothingLost(ident.Daemon, scheduler.Message) bool { return false }

// A caller's request runs to its end, and the message that frees the slot is
// lost with the link. The next callers would wait for ever for that slot.
func TestLostReleaseFreesTheSlot(t *testing.T) {
	is := is.New(t)
	owner, ingress := linked(1)
	is.Equal(ingress.Submit(start, request("r1", "a")), nil)
	now, started := settleDown(start, owner, ingress, nothingLost)
	is.Equal(started, []ident.Request{"r1"})
	ingress.Finish(now, "r1", scheduler.Result{Served: 100})
	ingress.TakeEffects() // the release is lost
	ingress.ResyncPeer("d1")
	owner.ResyncPeer("d2")
	is.Equal(ingress.Submit(now, request("r2", "a")), nil)
	_, started = settleDown(now, owner, ingress, nothingLost)
	is.Equal(started, []ident.Request{"r2"})
}

// The grant itself is lost and none follows it. The ingress has never seen it,
// so its lists of held grants say nothing of it.
func TestLostGrantFreesTheSlot(t *testing.T) {
	is := is.New(t)
	owner, ingress := linked(1)
	is.Equal(ingress.Submit(start, request("r1", "a")), nil)
	lost := false
	_, started := settleDown(start, owner, ingress, func(from ident.Daemon, m scheduler.Message) bool {
		if lost || len(m.Grants) == 0 {
			return false
		}
		lost = true
		owner.ResyncPeer("d2")
		ingress.ResyncPeer("d1")
		return true
	})
	is.True(lost)
	is.Equal(started, []ident.Request{"r1"})
}

// As much arrives at an ingress as is granted to it, so the number that waits
// stays the same. An owner that only counts down what it was told would stop
// granting, and the ingress would see no change to tell.
func TestSteadyQueueKeepsGettingGrants(t *testing.T) {
	is := is.New(t)
	owner, ingress := linked(2)
	now := start
	next := 0
	submit := func() {
		is.Equal(ingress.Submit(now, request(fmt.Sprintf("r%03d", next), "a")), nil)
		next++
	}
	for range 10 {
		submit()
	}
	total := 0
	for range 10 {
		var started []ident.Request
		now, started = settleDown(now, owner, ingress, nothingLost)
		total += len(started)
		for _, id := range started {
			ingress.Finish(now, id, scheduler.Result{Served: 10, Elapsed: time.Second})
			submit()
		}
	}
	is.True(total >= 18)
}

// A daemon dies with the slots that it holds, and another comes up in its place
// without state. The slots of the first must serve again.
func TestDeadIngressGivesItsSlotsBack(t *testing.T) {
	is := is.New(t)
	owner, ingress := linked(1)
	is.Equal(ingress.Submit(start, request("r1", "a")), nil)
	now, started := settleDown(start, owner, ingress, nothingLost)
	is.Equal(len(started), 1)
	owner.Peers(now, []scheduler.Peer{{ID: "d2", Incarnation: 2, Zone: "z2"}})
	is.Equal(owner.Submit(now, request("r2", "a")), nil)
	is.Equal(dispatched(owner), []ident.Request{"r2"})
}

// Two hundred drafts of a workspace wait at one daemon and a question of the
// same workspace at another. Grants that follow the longest queue would all go
// to the drafts.
func TestQuestionAtAnotherDaemonIsNotPassedOver(t *testing.T) {
	is := is.New(t)
	owner, ingress := linked(1)
	now := start
	for i := range 200 {
		spec := request(fmt.Sprintf("draft%03d", i), "a")
		spec.Class = scheduler.Batch
		is.Equal(owner.Submit(now, spec), nil)
	}
	is.Equal(ingress.Submit(now, request("question", "a")), nil)
	running := dispatched(owner)
	for range 60 {
		var asked []ident.Request
		now, asked = settle(now, owner, ingress, &running)
		if len(asked) > 0 {
			return
		}
		owner.Finish(now, running[0], scheduler.Result{Served: 100, Elapsed: time.Second})
		running = running[1:]
	}
	is.Fail() // the question was never started
}

// settle is settleDown with the owner's own starts apart.
func settle(now time.Time, owner, ingress *scheduler.Core, own *[]ident.Request) (time.Time, []ident.Request) {
	now, started := settleDown(now, owner, ingress, nothingLost)
	var asked []ident.Request
	for _, id := range started {
		if id == "question" {
			asked = append(asked, id)
			continue
		}
		*own = append(*own, id)
	}
	return now, asked
}

// A caller sends one large request as ten small ones, or claims a tenth of its
// cost. Neither may get it more than its neighbour, who does not.
func TestSplittingAndUnderstatingGainNothing(t *testing.T) {
	is := is.New(t)
	c := scheduler.New(scheduler.Config{Self: "d1", Incarnation: 1, Zone: "z1"}, rand.New(rand.NewPCG(1, 2)))
	c.Configure(start, []scheduler.Service{{
		Name:       "pool",
		Workspaces: []scheduler.Workspace{{Name: "split", Weight: 1}, {Name: "whole", Weight: 1}},
		Targets:    []scheduler.Target{{Name: "t1", Zone: "z1", Slots: 8}},
		MeanCost:   100,
	}})
	served := serve(c, 4000, map[ident.Workspace]float64{"split": 20, "whole": 200})
	is.True(served["split"] < 1.05*served["whole"])
	is.True(served["whole"] < 1.05*served["split"])
}

// serve keeps both workspaces backlogged for the given number of steps of 100
// ms. Requests cost what sizes say, at ten units a second, and claim half of it
// for a small one. It returns what each workspace received.
func serve(c *scheduler.Core, steps int, sizes map[ident.Workspace]float64) map[ident.Workspace]float64 {
	type work struct {
		ws   ident.Workspace
		left float64
	}
	now := start
	next := 0
	waiting := map[ident.Request]ident.Workspace{}
	running := map[ident.Request]*work{}
	served := map[ident.Workspace]float64{}
	for range steps {
		now = now.Add(100 * time.Millisecond)
		for _, ws := range []ident.Workspace{"split", "whole"} {
			for c.Queued("pool", ws) < 10 {
				next++
				spec := request(fmt.Sprintf("r%06d", next), ws)
				spec.Cost = sizes[ws] / 2
				waiting[spec.ID] = ws
				c.Submit(now, spec)
			}
		}
		for _, id := range dispatched(c) {
			running[id] = &work{ws: waiting[id], left: sizes[waiting[id]]}
		}
		for id, w := range running {
			w.left--
			served[w.ws]++
			c.Progress(id, sizes[w.ws]-w.left)
			if w.left <= 0 {
				delete(running, id)
				c.Finish(now, id, scheduler.Result{Served: sizes[w.ws], Elapsed: time.Second})
			}
		}
		c.Tick(now)
	}
	return served
}

// A daemon without targets has many short requests. A grant and a release for
// each would take more than all control may; one grant serves them for a slice.
// A request that ends after the slice gives the slot back, for another
// workspace may be owed it.
func TestShortRequestsShareOneGrant(t *testing.T) {
	is := is.New(t)
	owner, ingress := linked(1)
	for i := range 10 {
		is.Equal(ingress.Submit(start, request(fmt.Sprintf("r%d", i), "a")), nil)
	}
	now, started := settleDown(start, owner, ingress, nothingLost)
	is.Equal(started, []ident.Request{"r0"})
	ingress.Finish(now, "r0", scheduler.Result{Served: 10, Elapsed: time.Second}) // long after the slice
	now, started = settleDown(now, owner, ingress, func(_ ident.Daemon, m scheduler.Message) bool {
		return false
	})
	is.Equal(started, []ident.Request{"r1"})

	grants := 0
	is.Equal(owner.Submit(now, request("other", "b")), nil)
	ingress.Finish(now, "r1", scheduler.Result{Served: 10, Elapsed: time.Second})
	now, started = settleDown(now, owner, ingress, func(_ ident.Daemon, m scheduler.Message) bool {
		grants += len(m.Grants)
		return false
	})
	is.Equal(len(started), 1) // the owner's own request of the other workspace
	owner.Finish(now, "other", scheduler.Result{Served: 10, Elapsed: time.Second})
	var effects []ident.Request
	deliver(now, owner, "d1", ingress)
	for next := now; next.Before(now.Add(900 * time.Millisecond)); next = next.Add(300 * time.Millisecond) {
		for _, id := range dispatched(ingress) {
			effects = append(effects, id)
			ingress.Finish(next, id, scheduler.Result{Served: 10, Elapsed: 300 * time.Millisecond})
		}
	}
	is.True(len(effects) >= 3)
	is.True(grants <= 1)
}

// A daemon starts beside two others where much waits. Its slots are all free, and
// the first message that comes names one workspace: it must not get them all
// before the other daemon has told of its own callers. A daemon that is silent
// keeps the slots back for a moment only.
func TestNewOwnerHearsAllBeforeItGrants(t *testing.T) {
	is := is.New(t)
	c := newCore("d1", "z1")
	c.Configure(start, []scheduler.Service{{
		Name:       "pool",
		Workspaces: []scheduler.Workspace{{Name: "a", Weight: 1, QueueLimit: 3}, {Name: "b", Weight: 1, QueueLimit: 3}},
		Targets:    []scheduler.Target{{Name: "t1", Zone: "z1", Slots: 8}},
		MeanCost:   100,
	}})
	c.Peers(start, []scheduler.Peer{
		{ID: "d2", Incarnation: 1, Zone: "z2"}, {ID: "d3", Incarnation: 1, Zone: "z2"}, {ID: "d4", Incarnation: 1, Zone: "z3"},
	})
	granted := func() map[ident.Workspace]int {
		counts := map[ident.Workspace]int{}
		for _, e := range c.TakeEffects() {
			if s, ok := e.(scheduler.Send); ok {
				for _, g := range s.Message.Grants {
					counts[g.Workspace]++
				}
			}
		}
		return counts
	}
	tell := func(from ident.Daemon, ws ident.Workspace) {
		c.Receive(start, from, scheduler.Message{
			Incarnation: 1, Demand: []scheduler.Demand{{Service: "pool", Workspace: ws, Waiting: 20}},
		})
	}
	tell("d2", "a")
	tell("d3", "b")
	is.Equal(len(granted()), 0) // d4 may have callers too
	c.Tick(start.Add(100 * time.Millisecond))
	is.Equal(granted(), map[ident.Workspace]int{"a": 4, "b": 4})
}
