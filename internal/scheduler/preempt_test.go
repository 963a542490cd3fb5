package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/scheduler"
)

const slots = 8

// saturatedPair returns an owner d1 of eight slots, all of which run batch
// requests of workspace a that arrived at the ingress d2.
func saturatedPair(t *testing.T, allowed bool) (owner, ingress *scheduler.Core) {
	owner, ingress = newCore("d1", "z1"), newCore("d2", "z2")
	service := scheduler.Service{
		Name: "pool", MeanCost: 100, Preemption: allowed,
		Workspaces: []scheduler.Workspace{{Name: "a", Weight: 1, QueueLimit: 50}, {Name: "b", Weight: 1, QueueLimit: 50}},
		Targets:    []scheduler.Target{{Name: "t1", Zone: "z1", Slots: slots}},
	}
	for _, c := range []*scheduler.Core{owner, ingress} {
		c.Configure(start, []scheduler.Service{service})
	}
	owner.SetPeers(start, []scheduler.Peer{{ID: "d2", Incarnation: 1, Zone: "z2"}})
	ingress.SetPeers(start, []scheduler.Peer{{ID: "d1", Incarnation: 1, Zone: "z1"}})
	for i := range slots {
		is.New(t).True(ingress.Submit(start, batchRequest(i)) == nil)
	}
	for i := range 10 {
		tickAndDeliver(tickTime(i), owner, ingress)
	}
	return owner, ingress
}

func batchRequest(i int) scheduler.Request {
	r := request(fmt.Sprintf("a%d", i), "a")
	r.Class, r.Cost, r.Preemptible = scheduler.Batch, 1000, true
	return r
}

func tickTime(ticks int) time.Time {
	return start.Add(time.Second + time.Duration(ticks)*20*time.Millisecond)
}

// tickAndDeliver ticks both cores and delivers their messages. It returns the
// other effects of the ingress and the messages of the owner.
func tickAndDeliver(now time.Time, owner, ingress *scheduler.Core) (effects []scheduler.Effect, sent []scheduler.Message) {
	owner.Tick(now)
	ingress.Tick(now)
	for range 4 {
		for _, e := range ingress.TakeEffects() {
			if s, ok := e.(scheduler.Send); ok {
				owner.Receive(now, "d2", s.Message)
				continue
			}
			effects = append(effects, e)
		}
		for _, e := range owner.TakeEffects() {
			if s, ok := e.(scheduler.Send); ok {
				sent = append(sent, s.Message)
				ingress.Receive(now, "d1", s.Message)
			}
		}
	}
	return effects, sent
}

func preemptedRequests(effects []scheduler.Effect) (ids []ident.Request) {
	for _, e := range effects {
		if p, ok := e.(scheduler.Preempt); ok {
			ids = append(ids, p.Request)
		}
	}
	return ids
}

func interactiveRequest(i int) scheduler.Request {
	r := request(fmt.Sprintf("b%d", i), "b")
	r.Class = scheduler.Interactive
	return r
}

// Batch requests of one workspace hold every slot when an interactive request
// of another arrives. The batch request with the least to reprocess must be
// stopped, its slot must go to the interactive request instead of the next
// batch request, and the stopped request must be dispatched again later.
func TestInteractiveRequestPreemptsBatchRequest(t *testing.T) {
	is := is.New(t)
	owner, ingress := saturatedPair(t, true)
	for i := range slots {
		ingress.Progress(ident.Request(fmt.Sprintf("a%d", i)), float64(100-10*i%40))
	}
	is.True(ingress.Submit(tickTime(10), interactiveRequest(0)) == nil)
	effects, _ := tickAndDeliver(tickTime(11), owner, ingress)
	more, _ := tickAndDeliver(tickTime(12), owner, ingress)
	is.Equal(preemptedRequests(append(effects, more...)), []ident.Request{"a7"}) // the latest of those with 70 units

	ingress.Finish(tickTime(13), "a7", scheduler.Result{Served: 70, Elapsed: time.Second, Preempted: true})
	again := batchRequest(7)
	again.Preemptions, again.PriorServed = 1, 70
	is.True(ingress.Requeue(tickTime(13), again) == nil)
	effects, _ = tickAndDeliver(tickTime(13), owner, ingress)
	is.Equal(effects, []scheduler.Effect{scheduler.Dispatch{Request: "b0", Service: "pool", Target: "t1"}})

	ingress.Finish(tickTime(14), "b0", scheduler.Result{Served: 10, Elapsed: time.Second, FirstByte: time.Millisecond})
	effects, _ = tickAndDeliver(tickTime(14), owner, ingress)
	is.Equal(effects, []scheduler.Effect{scheduler.Dispatch{Request: "a7", Service: "pool", Target: "t1"}})
}

// A preempt message that arrives twice, or names a finished or unknown grant,
// must not stop a second batch request for a slot that no request is waiting
// for.
func TestDuplicateOrStalePreemptIsIgnored(t *testing.T) {
	is := is.New(t)
	owner, ingress := saturatedPair(t, true)
	is.True(ingress.Submit(tickTime(10), interactiveRequest(0)) == nil)
	effects, sent := tickAndDeliver(tickTime(11), owner, ingress)
	more, sentLater := tickAndDeliver(tickTime(12), owner, ingress)
	is.Equal(len(preemptedRequests(append(effects, more...))), 1)
	var duplicate scheduler.Message
	for _, m := range append(sent, sentLater...) {
		if len(m.PreemptGrants) > 0 {
			duplicate = scheduler.Message{Incarnation: 1, PreemptGrants: m.PreemptGrants}
		}
	}
	is.Equal(len(duplicate.PreemptGrants), 1)
	ingress.Receive(tickTime(12), "d1", duplicate)
	ingress.Receive(tickTime(12), "d1", scheduler.Message{Incarnation: 1, PreemptGrants: []uint64{0, 1 << 40}})
	effects, _ = tickAndDeliver(tickTime(13), owner, ingress)
	is.Equal(len(preemptedRequests(effects)), 0)
}

// If the service does not allow preemption, or no running request may be
// stopped, the interactive request waits for the next free slot.
func TestNonPreemptibleRequestsAreNotStopped(t *testing.T) {
	t.Run("service", func(t *testing.T) {
		is := is.New(t)
		owner, ingress := saturatedPair(t, false)
		is.True(ingress.Submit(tickTime(10), interactiveRequest(0)) == nil)
		for i := range 20 {
			effects, _ := tickAndDeliver(tickTime(11+i), owner, ingress)
			is.Equal(len(effects), 0)
		}
	})
	t.Run("requests", func(t *testing.T) {
		is := is.New(t)
		owner, ingress := saturatedPair(t, true)
		for i := range slots {
			ingress.Progress(ident.Request(fmt.Sprintf("a%d", i)), 900) // of 1000
		}
		is.True(ingress.Submit(tickTime(10), interactiveRequest(0)) == nil)
		requestedBack := 0
		for i := range 2000 {
			effects, sent := tickAndDeliver(tickTime(11+i), owner, ingress)
			is.Equal(len(effects), 0)
			for _, m := range sent {
				requestedBack += len(m.PreemptGrants)
			}
		}
		is.True(requestedBack > 0)
		is.True(requestedBack <= slots) // each grant is requested back at most once
	})
}
