package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/scheduler"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newCore(id ident.Daemon, zone ident.Zone) *scheduler.Core {
	c := scheduler.New(scheduler.Config{Self: id, Incarnation: 1, Zone: zone}, rand.New(rand.NewPCG(1, 2)))
	c.Configure(start, []scheduler.Service{{
		Name: "pool",
		Workspaces: []scheduler.Workspace{
			{Name: "a", Weight: 1, QueueLimit: 3},
			{Name: "b", Weight: 1, QueueLimit: 3},
		},
		Targets:  []scheduler.Target{{Name: "t1", Zone: "z1", Slots: 1}},
		MeanCost: 100,
	}})
	return c
}

func request(id string, ws ident.Workspace) scheduler.Request {
	return scheduler.Request{ID: ident.Request(id), Service: "pool", Workspace: ws, Cost: 100}
}

func dispatched(c *scheduler.Core) []ident.Request {
	var ids []ident.Request
	for _, e := range c.TakeEffects() {
		if d, ok := e.(scheduler.Dispatch); ok {
			ids = append(ids, d.Request)
		}
	}
	return ids
}

func TestSlotGoesToTheWorkspaceThatWasServedLess(t *testing.T) {
	is := is.New(t)
	c := newCore("d1", "z1")
	for i := range 3 {
		is.True(c.Submit(start, request(fmt.Sprintf("a%d", i), "a")) == nil)
	}
	is.True(c.Submit(start, request("b0", "b")) == nil)
	is.Equal(dispatched(c), []ident.Request{"a0"})
	c.Finish(start.Add(time.Second), "a0", scheduler.Result{Served: 100})
	is.Equal(dispatched(c), []ident.Request{"b0"})
}

func TestQueueBoundRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	c := newCore("d1", "z1")
	for i := range 4 { // one runs, three wait
		is.True(c.Submit(start, request(fmt.Sprintf("a%d", i), "a")) == nil)
	}
	failure := c.Submit(start, request("a4", "a"))
	is.True(failure != nil)
	is.Equal(failure.Code, resultcode.QueueFull)
}

// A request that arrives at a daemon of another zone, which owns no target, must be
// announced to the owner and granted a slot, and the slot must be returned at the end.
func TestRequestOfAnotherZoneIsGrantedOverMessages(t *testing.T) {
	is := is.New(t)
	owner, ingress := newCore("d1", "z1"), newCore("d2", "z2")
	owner.SetPeers(start, []scheduler.Peer{{ID: "d2", Incarnation: 1, Zone: "z2"}})
	ingress.SetPeers(start, []scheduler.Peer{{ID: "d1", Incarnation: 1, Zone: "z1"}})
	is.True(ingress.Submit(start, request("r1", "a")) == nil)
	is.True(ingress.Submit(start, request("r2", "a")) == nil)
	now := start.Add(time.Second)
	ingress.Tick(now)
	deliver(now, ingress, "d2", owner)
	is.Equal(deliver(now, owner, "d1", ingress), 0)
	is.Equal(dispatched(ingress), []ident.Request{"r1"})
	now = now.Add(3 * time.Second) // past the window in which the grant may be reused
	ingress.Finish(now, "r1", scheduler.Result{Served: 90})
	deliver(now, ingress, "d2", owner)
	deliver(now, owner, "d1", ingress)
	is.Equal(dispatched(ingress), []ident.Request{"r2"})
}

// Sequential requests through a daemon that owns no target must each be announced
// to the owner at once. The second one was wrongly considered as already announced,
// and waited for the next exchange.
func TestEachSingleRequestIsAnnouncedImmediately(t *testing.T) {
	is := is.New(t)
	owner, ingress := newCore("d1", "z1"), newCore("d2", "z1")
	owner.SetPeers(start, []scheduler.Peer{{ID: "d2", Incarnation: 1, Zone: "z1"}})
	ingress.SetPeers(start, []scheduler.Peer{{ID: "d1", Incarnation: 1, Zone: "z1"}})
	ownerID, ingressID := ident.Daemon("d1"), ident.Daemon("d2")
	if _, targets := owner.Status(); targets[0].Owner == ingressID {
		owner, ingress, ownerID, ingressID = ingress, owner, ingressID, ownerID
	}
	ingress.Tick(start) // the next exchange is not due within the test
	ingress.TakeEffects()
	for i := range 3 {
		now := start.Add(time.Duration(i+1) * time.Millisecond)
		id := ident.Request(fmt.Sprintf("r%d", i))
		is.True(ingress.Submit(now, request(string(id), "a")) == nil)
		deliver(now, ingress, ingressID, owner)
		deliver(now, owner, ownerID, ingress)
		is.Equal(dispatched(ingress), []ident.Request{id})
		ingress.Finish(now, id, scheduler.Result{Served: 10})
		deliver(now, ingress, ingressID, owner)
	}
}

// A request that failed on the only target is queued again with this target to
// avoid. The daemon that owned the target granted and took back its slot in
// endless recursion, and the process died of a stack overflow.
func TestRequestThatAvoidsTheOnlyTargetStillRuns(t *testing.T) {
	is := is.New(t)
	c := newCore("d1", "z1")
	r := request("r1", "a")
	r.Avoid = []ident.Target{"t1"}
	is.True(c.Requeue(start, r) == nil)
	is.Equal(dispatched(c), []ident.Request{"r1"})
}

// deliver passes the messages of one core to another and returns the number of
// other effects.
func deliver(now time.Time, from *scheduler.Core, id ident.Daemon, to *scheduler.Core) int {
	otherEffects := 0
	for _, e := range from.TakeEffects() {
		if s, ok := e.(scheduler.Send); ok {
			to.Receive(now, id, s.Message)
			continue
		}
		otherEffects++
	}
	return otherEffects
}

// Short requests arrive one at a time through a daemon that owns no target. The
// first one costs a round trip to the owner. The next ones must use the kept slot,
// which is returned after a time without requests.
func TestSpareSlotIsKeptForNextRequest(t *testing.T) {
	is := is.New(t)
	owner, ingress := newCore("d1", "z1"), newCore("d2", "z1")
	for _, c := range []*scheduler.Core{owner, ingress} {
		c.Configure(start, []scheduler.Service{{
			Name:       "pool",
			Workspaces: []scheduler.Workspace{{Name: "a", Weight: 1, QueueLimit: 9}, {Name: "b", Weight: 1, QueueLimit: 9}},
			Targets:    []scheduler.Target{{Name: "t1", Zone: "z1", Slots: 4}},
			MeanCost:   100,
		}})
	}
	owner.SetPeers(start, []scheduler.Peer{{ID: "d2", Incarnation: 1, Zone: "z1"}})
	ingress.SetPeers(start, []scheduler.Peer{{ID: "d1", Incarnation: 1, Zone: "z1"}})
	ownerID, ingressID := ident.Daemon("d1"), ident.Daemon("d2")
	if _, targets := owner.Status(); targets[0].Owner == ingressID {
		owner, ingress, ownerID, ingressID = ingress, owner, ingressID, ownerID
	}
	ingress.Tick(start)
	owner.Tick(start)
	owner.TakeEffects()
	ingress.TakeEffects()
	now := start.Add(time.Millisecond)
	is.True(ingress.Submit(now, request("r0", "a")) == nil)
	deliver(now, ingress, ingressID, owner)
	deliver(now, owner, ownerID, ingress)
	is.Equal(dispatched(ingress), []ident.Request{"r0"})
	for i := range 5 {
		ingress.Finish(now, ident.Request(fmt.Sprintf("r%d", i)), scheduler.Result{Served: 10, Elapsed: time.Millisecond})
		now = now.Add(10 * time.Millisecond)
		next := fmt.Sprintf("r%d", i+1)
		is.True(ingress.Submit(now, request(next, "a")) == nil)
		effects := ingress.TakeEffects()
		is.Equal(len(effects), 1) // no message
		is.Equal(effects[0].(scheduler.Dispatch).Request, ident.Request(next))
	}
	ingress.Finish(now, "r5", scheduler.Result{Served: 10, Elapsed: time.Millisecond})
	_, targets := owner.Status()
	is.Equal(targets[0].Running, 1) // kept
	now = now.Add(200 * time.Millisecond)
	ingress.Tick(now)
	deliver(now, ingress, ingressID, owner)
	_, targets = owner.Status()
	is.Equal(targets[0].Running, 0) // returned
}
