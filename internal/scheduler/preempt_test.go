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

// floodedPair is an owner d1 of eight slots, all of which run drafts of
// workspace a that came in at d2.
func floodedPair(t *testing.T, allowed bool) (owner, ingress *scheduler.Core) {
	owner, ingress = newCore("d1", "z1"), newCore("d2", "z2")
	service := scheduler.Service{
		Name: "pool", MeanCost: 100, Preemption: allowed,
		Workspaces: []scheduler.Workspace{{Name: "a", Weight: 1, QueueLimit: 50}, {Name: "b", Weight: 1, QueueLimit: 50}},
		Targets:    []scheduler.Target{{Name: "t1", Zone: "z1", Slots: slots}},
	}
	for _, c := range []*scheduler.Core{owner, ingress} {
		c.Configure(start, []scheduler.Service{service})
	}
	owner.Peers(start, []scheduler.Peer{{ID: "d2", Incarnation: 1, Zone: "z2"}})
	ingress.Peers(start, []scheduler.Peer{{ID: "d1", Incarnation: 1, Zone: "z1"}})
	for i := range slots {
		is.New(t).True(ingress.Submit(start, draftRequest(i)) == nil)
	}
	for i := range 10 {
		exchangeAll(at(i), owner, ingress)
	}
	return owner, ingress
}

func draftRequest(i int) scheduler.Request {
	r := request(fmt.Sprintf("a%d", i), "a")
	r.Class, r.Cost, r.Preemptible = scheduler.Batch, 1000, true
	return r
}

func at(ticks int) time.Time {
	return start.Add(time.Second + time.Duration(ticks)*20*time.Millisecond)
}

// exchangeAll ticks both cores, delivers their messages, and returns the other
// effects of the ingress and the messages of the owner.
func exchangeAll(now time.Time, owner, ingress *scheduler.Core) (effects []scheduler.Effect, sent []scheduler.Message) {
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

func stopped(effects []scheduler.Effect) (ids []ident.Request) {
	for _, e := range effects {
		if p, ok := e.(scheduler.Preempt); ok {
			ids = append(ids, p.Request)
		}
	}
	return ids
}

func question(i int) scheduler.Request {
	r := request(fmt.Sprintf("b%d", i), "b")
	r.Class = scheduler.Interactive
	return r
}

// Drafts of one workspace hold every slot when a question of another comes. The
// draft with the least to read again is stopped; the slot goes to the question
// and not to the next draft, and the draft is dispatched again later.
func TestQuestionGetsTheSlotOfADraft(t *testing.T) {
	is := is.New(t)
	owner, ingress := floodedPair(t, true)
	for i := range slots {
		ingress.Progress(ident.Request(fmt.Sprintf("a%d", i)), float64(100-10*i%40))
	}
	is.True(ingress.Submit(at(10), question(0)) == nil)
	effects, _ := exchangeAll(at(11), owner, ingress)
	more, _ := exchangeAll(at(12), owner, ingress)
	is.Equal(stopped(append(effects, more...)), []ident.Request{"a7"}) // of those with 70 units the latest

	ingress.Finish(at(13), "a7", scheduler.Result{Served: 70, Elapsed: time.Second, Preempted: true})
	again := draftRequest(7)
	again.Preemptions, again.PriorServed = 1, 70
	is.True(ingress.Requeue(at(13), again) == nil)
	effects, _ = exchangeAll(at(13), owner, ingress)
	is.Equal(effects, []scheduler.Effect{scheduler.Dispatch{Request: "b0", Service: "pool", Target: "t1"}})

	ingress.Finish(at(14), "b0", scheduler.Result{Served: 10, Elapsed: time.Second, FirstByte: time.Millisecond})
	effects, _ = exchangeAll(at(14), owner, ingress)
	is.Equal(effects, []scheduler.Effect{scheduler.Dispatch{Request: "a7", Service: "pool", Target: "t1"}})
}

// A message that asks a slot back arrives twice, and one for a grant that has
// ended: a second draft must not be stopped for a slot that nobody waits for.
func TestRepeatedOrLatePreemptDoesNoHarm(t *testing.T) {
	is := is.New(t)
	owner, ingress := floodedPair(t, true)
	is.True(ingress.Submit(at(10), question(0)) == nil)
	effects, sent := exchangeAll(at(11), owner, ingress)
	more, sentLater := exchangeAll(at(12), owner, ingress)
	is.Equal(len(stopped(append(effects, more...))), 1)
	var repeat scheduler.Message
	for _, m := range append(sent, sentLater...) {
		if len(m.PreemptGrants) > 0 {
			repeat = scheduler.Message{Incarnation: 1, PreemptGrants: m.PreemptGrants}
		}
	}
	is.Equal(len(repeat.PreemptGrants), 1)
	ingress.Receive(at(12), "d1", repeat)
	ingress.Receive(at(12), "d1", scheduler.Message{Incarnation: 1, PreemptGrants: []uint64{0, 1 << 40}})
	effects, _ = exchangeAll(at(13), owner, ingress)
	is.Equal(len(stopped(effects)), 0)
}

// The service has not allowed preemption, or none of what runs may be stopped:
// the question waits for the next slot that becomes free.
func TestNothingIsStoppedThatMayNotBe(t *testing.T) {
	t.Run("service", func(t *testing.T) {
		is := is.New(t)
		owner, ingress := floodedPair(t, false)
		is.True(ingress.Submit(at(10), question(0)) == nil)
		for i := range 20 {
			effects, _ := exchangeAll(at(11+i), owner, ingress)
			is.Equal(len(effects), 0)
		}
	})
	t.Run("requests", func(t *testing.T) {
		is := is.New(t)
		owner, ingress := floodedPair(t, true)
		for i := range slots {
			ingress.Progress(ident.Request(fmt.Sprintf("a%d", i)), 900) // of 1000
		}
		is.True(ingress.Submit(at(10), question(0)) == nil)
		asked := 0
		for i := range 2000 {
			effects, sent := exchangeAll(at(11+i), owner, ingress)
			is.Equal(len(effects), 0)
			for _, m := range sent {
				asked += len(m.PreemptGrants)
			}
		}
		is.True(asked > 0)
		is.True(asked <= slots) // each grant once
	})
}
