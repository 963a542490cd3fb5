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

// newOwnerAndIngress returns the owner of the only target, which has the given
// number of slots, and an ingress in another zone.
func newOwnerAndIngress(slots int) (owner, ingress *scheduler.Core) {
	owner, ingress = newCore("d1", "z1"), newCore("d2", "z2")
	services := []scheduler.Service{{
		Name:       "pool",
		Workspaces: []scheduler.Workspace{{Name: "a", Weight: 1, QueueLimit: 300}, {Name: "b", Weight: 1, QueueLimit: 300}},
		Targets:    []scheduler.Target{{Name: "t1", Zone: "z1", Slots: slots}},
		MeanCost:   100,
	}}
	owner.Configure(start, services)
	ingress.Configure(start, services)
	owner.SetPeers(start, []scheduler.Peer{{ID: "d2", Incarnation: 1, Zone: "z2"}})
	ingress.SetPeers(start, []scheduler.Peer{{ID: "d1", Incarnation: 1, Zone: "z1"}})
	return owner, ingress
}

// runUntilSettled ticks both cores for 10 s and delivers all messages except
// those for which drop returns true. It returns the requests that were
// dispatched.
func runUntilSettled(now time.Time, owner, ingress *scheduler.Core, drop func(from ident.Daemon, m scheduler.Message) bool) (time.Time, []ident.Request) {
	var started []ident.Request
	deliverFrom := func(from *scheduler.Core, id ident.Daemon, to *scheduler.Core) {
		for _, e := range from.TakeEffects() {
			switch e := e.(type) {
			case scheduler.Send:
				if !drop(id, e.Message) {
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
		deliverFrom(ingress, "d2", owner)
		deliverFrom(owner, "d1", ingress)
	}
	return now, started
}

func dropNone(ident.Daemon, scheduler.Message) bool { return false }

// A request finishes, but the release of its slot is lost with the link.
// Without repair, later requests would wait forever for that slot.
func TestLostReleaseFreesTheSlot(t *testing.T) {
	is := is.New(t)
	owner, ingress := newOwnerAndIngress(1)
	is.Equal(ingress.Submit(start, request("r1", "a")), nil)
	now, started := runUntilSettled(start, owner, ingress, dropNone)
	is.Equal(started, []ident.Request{"r1"})
	ingress.Finish(now, "r1", scheduler.Result{Served: 100})
	ingress.TakeEffects() // drop the release
	ingress.ResyncPeer("d1")
	owner.ResyncPeer("d2")
	is.Equal(ingress.Submit(now, request("r2", "a")), nil)
	_, started = runUntilSettled(now, owner, ingress, dropNone)
	is.Equal(started, []ident.Request{"r2"})
}

// A grant is lost and no other grant follows. The ingress never received it, so
// its lists of held grants do not cover it, and the owner has to detect the
// loss by its age.
func TestLostGrantFreesTheSlot(t *testing.T) {
	is := is.New(t)
	owner, ingress := newOwnerAndIngress(1)
	is.Equal(ingress.Submit(start, request("r1", "a")), nil)
	lost := false
	_, started := runUntilSettled(start, owner, ingress, func(from ident.Daemon, m scheduler.Message) bool {
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

// Requests arrive at an ingress as fast as grants, so its queue length stays
// constant. An owner that only decrements the reported demand would stop
// granting, while the ingress would see no change to report.
func TestConstantQueueLengthKeepsReceivingGrants(t *testing.T) {
	is := is.New(t)
	owner, ingress := newOwnerAndIngress(2)
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
		now, started = runUntilSettled(now, owner, ingress, dropNone)
		total += len(started)
		for _, id := range started {
			ingress.Finish(now, id, scheduler.Result{Served: 10, Elapsed: time.Second})
			submit()
		}
	}
	is.True(total >= 18)
}

// A daemon crashes while it holds slots and is replaced by a new incarnation
// without state. The slots held by the old incarnation must become available
// again.
func TestRestartedIngressReleasesItsSlots(t *testing.T) {
	is := is.New(t)
	owner, ingress := newOwnerAndIngress(1)
	is.Equal(ingress.Submit(start, request("r1", "a")), nil)
	now, started := runUntilSettled(start, owner, ingress, dropNone)
	is.Equal(len(started), 1)
	owner.SetPeers(now, []scheduler.Peer{{ID: "d2", Incarnation: 2, Zone: "z2"}})
	is.Equal(owner.Submit(now, request("r2", "a")), nil)
	is.Equal(dispatched(owner), []ident.Request{"r2"})
}

// Two hundred batch requests of a workspace wait at one daemon, and an
// interactive request of the same workspace waits at another. Grants in
// proportion to queue length would nearly all go to the batch requests.
func TestInteractiveRequestAtAnotherDaemonIsNotStarved(t *testing.T) {
	is := is.New(t)
	owner, ingress := newOwnerAndIngress(1)
	now := start
	for i := range 200 {
		spec := request(fmt.Sprintf("draft%03d", i), "a")
		spec.Class = scheduler.Batch
		is.Equal(owner.Submit(now, spec), nil)
	}
	is.Equal(ingress.Submit(now, request("question", "a")), nil)
	running := dispatched(owner)
	for range 60 {
		var interactive []ident.Request
		now, interactive = runAndSplitStarted(now, owner, ingress, &running)
		if len(interactive) > 0 {
			return
		}
		owner.Finish(now, running[0], scheduler.Result{Served: 100, Elapsed: time.Second})
		running = running[1:]
	}
	is.Fail() // the interactive request was never started
}

// runAndSplitStarted is runUntilSettled without message loss. It returns the
// started interactive request and appends the other started requests to others.
func runAndSplitStarted(now time.Time, owner, ingress *scheduler.Core, others *[]ident.Request) (time.Time, []ident.Request) {
	now, started := runUntilSettled(now, owner, ingress, dropNone)
	var interactive []ident.Request
	for _, id := range started {
		if id == "question" {
			interactive = append(interactive, id)
			continue
		}
		*others = append(*others, id)
	}
	return now, interactive
}

// A caller that splits one large request into ten small ones, or understates
// its cost, must not receive more service than a workspace that does not.
func TestSplittingOrUnderstatingCostGainsNothing(t *testing.T) {
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
// ms. Requests cost what sizes says, are served at ten units per second, and
// declare half of their cost. It returns the service received by each
// workspace.
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

// A daemon without targets has many short requests. One grant and one release
// per request would exceed the control traffic budget, so a grant is reused
// within its reuse window. A request that ends after the window returns the slot,
// because another workspace may have priority by then.
func TestShortRequestsShareOneGrant(t *testing.T) {
	is := is.New(t)
	owner, ingress := newOwnerAndIngress(1)
	for i := range 10 {
		is.Equal(ingress.Submit(start, request(fmt.Sprintf("r%d", i), "a")), nil)
	}
	now, started := runUntilSettled(start, owner, ingress, dropNone)
	is.Equal(started, []ident.Request{"r0"})
	ingress.Finish(now, "r0", scheduler.Result{Served: 10, Elapsed: time.Second}) // long after the slice
	now, started = runUntilSettled(now, owner, ingress, func(_ ident.Daemon, m scheduler.Message) bool {
		return false
	})
	is.Equal(started, []ident.Request{"r1"})

	grants := 0
	is.Equal(owner.Submit(now, request("other", "b")), nil)
	ingress.Finish(now, "r1", scheduler.Result{Served: 10, Elapsed: time.Second})
	now, started = runUntilSettled(now, owner, ingress, func(_ ident.Daemon, m scheduler.Message) bool {
		grants += len(m.Grants)
		return false
	})
	is.Equal(len(started), 1) // the owner's own request of the other workspace
	owner.Finish(now, "other", scheduler.Result{Served: 10, Elapsed: time.Second})
	var reused []ident.Request
	deliver(now, owner, "d1", ingress)
	for next := now; next.Before(now.Add(900 * time.Millisecond)); next = next.Add(300 * time.Millisecond) {
		for _, id := range dispatched(ingress) {
			reused = append(reused, id)
			ingress.Finish(next, id, scheduler.Result{Served: 10, Elapsed: 300 * time.Millisecond})
		}
	}
	is.True(len(reused) >= 3)
	is.True(grants <= 1)
}

// A daemon with free slots starts next to others that have waiting requests. It
// must not grant all of its slots to the workspace in the first message before
// the other daemons have reported their demand. A daemon that sends nothing
// delays the grants only briefly.
func TestNewOwnerWaitsForPeerDemand(t *testing.T) {
	is := is.New(t)
	c := newCore("d1", "z1")
	c.Configure(start, []scheduler.Service{{
		Name:       "pool",
		Workspaces: []scheduler.Workspace{{Name: "a", Weight: 1, QueueLimit: 3}, {Name: "b", Weight: 1, QueueLimit: 3}},
		Targets:    []scheduler.Target{{Name: "t1", Zone: "z1", Slots: 8}},
		MeanCost:   100,
	}})
	c.SetPeers(start, []scheduler.Peer{
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
	sendDemand := func(from ident.Daemon, ws ident.Workspace) {
		c.Receive(start, from, scheduler.Message{
			Incarnation: 1, Demand: []scheduler.Demand{{Service: "pool", Workspace: ws, Waiting: 20}},
		})
	}
	sendDemand("d2", "a")
	sendDemand("d3", "b")
	is.Equal(len(granted()), 0) // d4 has not reported its demand yet
	c.Tick(start.Add(100 * time.Millisecond))
	is.Equal(granted(), map[ident.Workspace]int{"a": 4, "b": 4})
}
