package booking_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
)

const testSlotWait = 400 * time.Millisecond

// waitFixture is a request that waits for one of the eight slots of a target of another daemon.
type waitFixture struct {
	is                 *is.I
	now                time.Time
	ingress, owner     *booking.Core
	ownerID, ingressID ident.Daemon
	// ends are what became of the requests at the ingress.
	ends map[ident.Request]booking.Effect
}

func newWaitFixture(t *testing.T, age time.Duration) *waitFixture {
	f := &waitFixture{is: is.New(t), now: time.Unix(1000, 0), ends: map[ident.Request]booking.Effect{}}
	f.ingress, f.owner, f.ownerID = newConfiguredIngressAndOwner(f.now, booking.Config{Incarnation: 1, Zone: "z", MaxSlotWait: testSlotWait})
	f.ingressID = map[ident.Daemon]ident.Daemon{"a": "b", "b": "a"}[f.ownerID]
	f.now = f.now.Add(age)
	f.fill()
	return f
}

// fill lets eight requests come and go, and then takes all slots.
func (f *waitFixture) fill() {
	for range 2 {
		for i := range 8 {
			id := ident.Request(fmt.Sprint("r", i))
			f.ingress.Finish(f.now, id, booking.Result{Elapsed: 100 * time.Millisecond})
			f.submit(id)
		}
	}
	f.submit("waits")
}

func (f *waitFixture) submit(id ident.Request) {
	delete(f.ends, id)
	f.ingress.Submit(f.now, booking.Request{
		ID: id, Service: "pool", Workspace: "w", Prompt: 100, Output: 10, Deadline: f.now.Add(time.Second),
		Parts: []booking.PromptPart{{ID: 1, Tokens: 50}, {ID: rand.Uint64(), Tokens: 50}},
	})
	f.exchange()
}

// exchange passes messages in both directions until there are none.
func (f *waitFixture) exchange() {
	for range 4 {
		for _, e := range f.ingress.TakeEffects() {
			switch e := e.(type) {
			case booking.Send:
				f.owner.Receive(f.now, f.ingressID, e.Message)
			case booking.Dispatch:
				f.is.True(f.ends[e.Request] == nil) // neither sent nor refused before
				f.ends[e.Request] = e
			case booking.Refuse:
				f.is.True(f.ends[e.Request] == nil)
				f.ends[e.Request] = e
			}
		}
		deliver(f.now, f.owner, f.ingress, f.ownerID)
	}
}

func (f *waitFixture) end() string {
	switch f.ends["waits"].(type) {
	case booking.Dispatch:
		return "sent"
	case booking.Refuse:
		return "refused"
	}
	return "waits"
}

// freeSlot ends one of the requests on the target.
func (f *waitFixture) freeSlot() {
	f.ingress.Finish(f.now, "r0", booking.Result{Elapsed: 100 * time.Millisecond})
}

func (f *waitFixture) service(change func(*booking.Target)) []booking.Service {
	t := booking.Target{Name: "t", Zone: "z", Slots: 8, Memory: 100000}
	change(&t)
	return []booking.Service{{Name: "pool", ServesModel: true, Workspaces: []booking.Workspace{{Name: "w", Weight: 1}}, Targets: []booking.Target{t}}}
}

// Guards against refusing a request that finds all slots in use a moment before one becomes free.
func TestWaitingRequestGetsTheNextFreeSlot(t *testing.T) {
	f := newWaitFixture(t, 2*time.Second)
	f.is.Equal(f.end(), "waits")
	f.now = f.now.Add(50 * time.Millisecond)
	f.freeSlot()
	f.exchange()
	f.is.Equal(f.end(), "sent")
	f.is.Equal(f.ends["waits"].(booking.Dispatch).Basis.SlotWait, 50*time.Millisecond)
}

// Guards against a wait that ends only with the caller's deadline: no slot becomes free.
func TestWaitEndsWhenTheRequestCannotBeInTime(t *testing.T) {
	f := newWaitFixture(t, 2*time.Second)
	f.now = f.now.Add(testSlotWait)
	f.is.True(f.owner.NextTick(f.now) <= 5*time.Millisecond)
	f.owner.Tick(f.now)
	f.exchange()
	f.is.Equal(f.end(), "refused")
	f.freeSlot()
	f.exchange() // the end is not followed by another one
}

// The owner is killed: the wait at its ingress times out after the stated time.
func TestWaitAtAKilledOwnerEnds(t *testing.T) {
	f := newWaitFixture(t, 2*time.Second)
	f.now = f.now.Add(testSlotWait + 30*time.Millisecond)
	f.is.True(f.ingress.RepliesOverdue(f.now))
	f.ingress.Tick(f.now)
	for _, e := range f.ingress.TakeEffects() {
		if r, ok := e.(booking.Refuse); ok {
			f.ends[r.Request] = r
		}
	}
	f.is.Equal(f.end(), "refused")
}

// grants passes the owner's messages on and returns how many requests it admits in them.
func (f *waitFixture) grants() (n int) {
	for _, e := range f.owner.TakeEffects() {
		if s, ok := e.(booking.Send); ok {
			for _, reply := range s.Message.Replies {
				if reply.OK {
					n++
				}
			}
			f.ingress.Receive(f.now, f.ownerID, s.Message)
		}
	}
	return n
}

// The owner is paused and grants a slot after the ingress has given up, which the owner learns before
// or after it or, if the message is lost, by the reply to its grant: the slot is not kept.
func TestGrantOfAPausedOwnerIsReleased(t *testing.T) {
	for _, order := range []string{"grant first", "withdrawal first", "withdrawal lost"} {
		f := newWaitFixture(t, 2*time.Second)
		resumed := f.now.Add(testSlotWait / 2) // its messages have waited, its time has not passed
		f.now = f.now.Add(testSlotWait + 30*time.Millisecond)
		f.ingress.Tick(f.now)
		withdrawal := f.ingress.TakeEffects()
		f.freeSlot()
		free := f.ingress.TakeEffects()
		messages, grants := append(free, withdrawal...), 1
		switch order {
		case "withdrawal first":
			messages, grants = append(withdrawal, free...), 0
		case "withdrawal lost":
			messages = free
		}
		for _, e := range messages {
			if s, ok := e.(booking.Send); ok {
				f.owner.Receive(resumed, f.ingressID, s.Message)
			}
		}
		for _, e := range withdrawal {
			if r, ok := e.(booking.Refuse); ok {
				f.ends[r.Request] = r
			}
		}
		f.is.Equal(f.grants(), grants)
		f.exchange()
		f.is.Equal(f.end(), "refused")
		f.now = f.now.Add(2 * time.Second)
		f.is.Equal(slotUtilization(t, f.now, f.owner), 7.0/8)
	}
}

// The link is lost: the request does not wait any longer, and its former owner does not grant a slot.
func TestWaitEndsWithTheLink(t *testing.T) {
	f := newWaitFixture(t, 2*time.Second)
	f.ingress.LinkLost(f.now, f.ownerID)
	for _, e := range f.ingress.TakeEffects() { // messages are lost
		if r, ok := e.(booking.Refuse); ok {
			f.ends[r.Request] = r
		}
	}
	f.is.Equal(f.end(), "refused")
	f.owner.LinkUp(f.now, f.ingressID)
	f.is.Equal(f.grants(), 0)
}

// The target starts again, so that its slots are free.
func TestWaitingRequestGetsASlotOfARestartedTarget(t *testing.T) {
	f := newWaitFixture(t, 2*time.Second)
	f.owner.Configure(f.now, f.service(func(t *booking.Target) { t.Generation = 2 }))
	f.exchange()
	f.is.Equal(f.end(), "sent")
}

// The target goes away, first according to its owner, then according to the ingress.
func TestWaitEndsWithItsTarget(t *testing.T) {
	for i := range 3 {
		f := newWaitFixture(t, 2*time.Second)
		evacuated := f.service(func(t *booking.Target) { t.Evacuated = true })
		switch i {
		case 0:
			f.owner.Configure(f.now, evacuated)
		case 1:
			f.owner.Configure(f.now, f.service(func(t *booking.Target) { t.Name = "other" }))
		case 2:
			f.ingress.Configure(f.now, evacuated)
		}
		f.exchange()
		f.is.Equal(f.end(), "refused")
	}
}

// The owner stops: the request is refused at once and not after its wait.
func TestWaitEndsWhenTheOwnerStops(t *testing.T) {
	f := newWaitFixture(t, 2*time.Second)
	f.owner.Leave(f.now)
	f.exchange()
	f.is.Equal(f.end(), "refused")
}

// A daemon without others owns its targets also while it stops: its own requests do not wait either.
func TestNobodyWaitsAtALoneDaemonThatStops(t *testing.T) {
	f := newWaitFixture(t, 2*time.Second)
	f.ingress.SetPeers(f.now, nil) // it owns the target now, with what runs there
	f.exchange()
	f.now = f.now.Add(2 * time.Second)
	f.fill()
	f.is.Equal(f.end(), "waits")
	f.ingress.Leave(f.now)
	f.exchange()
	f.is.Equal(f.end(), "refused")
}

// Guards against late requests, which get spare capacity only, that wait beside those in time.
func TestLateRequestsDoNotWait(t *testing.T) {
	f := newWaitFixture(t, 2*time.Second)
	f.is.Equal(f.end(), "waits")
	f.ingress.Finish(f.now, "waits", booking.Result{}) // another one would wait in its place
	f.exchange()
	f.ingress.Submit(f.now, booking.Request{
		ID: "late", Service: "pool", Workspace: "w", Prompt: 100, Output: 10, Deadline: f.now.Add(time.Second), Late: true,
		Parts: []booking.PromptPart{{ID: 1, Tokens: 50}, {ID: 2, Tokens: 50}},
	})
	f.exchange()
	_, refused := f.ends["late"].(booking.Refuse)
	f.is.True(refused)
}

// A release is lost: when the run expires, the request that waits by then gets its slot.
func TestLostReleaseFreesASlotForAWaitingRequest(t *testing.T) {
	f := newWaitFixture(t, 2*time.Second)
	f.freeSlot()
	f.ingress.TakeEffects()
	f.now = f.now.Add(11900 * time.Millisecond)
	for range 2 {
		for i := 1; i < 8; i++ {
			id := ident.Request(fmt.Sprint("r", i))
			f.ingress.Finish(f.now, id, booking.Result{Elapsed: 100 * time.Millisecond})
			f.submit(id)
		}
	}
	f.submit("waits")
	f.is.Equal(f.end(), "waits")
	f.now = f.now.Add(200 * time.Millisecond)
	f.owner.Tick(f.now)
	f.exchange()
	f.is.Equal(f.end(), "sent")
}

// A daemon that has just started does not know yet what runs on its targets: nobody waits there.
func TestNobodyWaitsAtADaemonThatHasJustStarted(t *testing.T) {
	f := newWaitFixture(t, time.Second)
	f.is.Equal(f.end(), "refused")
}

// Without a setting, requests are refused at once. The fixture's setting is what makes them wait.
func TestNobodyWaitsByDefault(t *testing.T) {
	_, r := contended12.run(1, 1.5, booking.Config{})
	is.New(t).Equal(r.waited, 0)
}

// Guards against sending a request that was refused, and against one that waits for ever. Daemons are
// killed, stopped, paused and cut off at random, links are replaced, targets start again and leave;
// two daemons own a target while they do not reach each other.
func TestRefusedRequestsAreNeverSent(t *testing.T) {
	for seed := range uint64(12) {
		names := contended12.workspaces()
		s := newConfiguredSim(seed, booking.Config{Incarnation: 1, MaxSlotWait: testSlotWait}, []ident.Zone{"z"}, 6, 6, names...)
		for i := range s.service.Targets {
			target := &s.service.Targets[i]
			target.Slots, target.Memory = 12, 120000
			s.engines[target.Name].spec = *target
		}
		s.updatePeers()
		waited := 0
		s.onDispatch = func(j *job) {
			if j.basis.SlotWait > 0 {
				waited++
			}
		}
		s.partitioned = func(from, to ident.Daemon) bool { return false }
		for _, w := range names {
			s.offer(workload{workspace: w, perSecond: 20, end: 9 * time.Second, objective: 600 * time.Millisecond, newRequest: sessionRequests(1, 60, 500, 2000, 60)})
		}
		for at := 2 * time.Second; at < 8*time.Second; at += 500 * time.Millisecond {
			s.schedule(at, func() { s.randomFault() })
		}
		s.run(13 * time.Second)
		if s.strayDispatches > 0 || waited == 0 {
			t.Errorf("seed %d: %d requests were sent after their end; %d waited", seed, s.strayDispatches, waited)
		}
		for _, d := range s.daemons {
			for id, j := range d.jobs {
				if !d.dead && j.target == "" {
					t.Errorf("seed %d: %s has no end", seed, id)
				}
			}
		}
		for name, e := range s.engines {
			if e.maxSlotsUsed > 2*e.spec.Slots {
				t.Errorf("seed %d: %s had %d requests at once", seed, name, e.maxSlotsUsed)
			}
		}
	}
}

// randomFault makes one thing fail.
func (s *sim) randomFault() {
	d := s.daemons[s.rng.IntN(len(s.daemons))]
	target := s.rng.IntN(len(s.service.Targets))
	switch s.rng.IntN(7) {
	case 0:
		if d.id != "d0" { // one stays
			d.dead = true
			s.schedule(time.Second, s.updatePeers)
		}
	case 1:
		if d.id != "d0" {
			d.core.Leave(s.now)
			s.applyEffects(d)
			s.leaving[d.id] = true
			s.updatePeers()
		}
	case 2:
		if d.turns == nil {
			until := s.now.Add(time.Second).Sub(time.Unix(1000, 0))
			s.setTurns(d, &turns{period: 900 * time.Millisecond, run: 10 * time.Millisecond, active: func(at time.Duration) bool { return at < until }, tickFirst: func() bool { return s.rng.IntN(2) == 0 }})
		}
	case 3:
		s.partitioned = func(from, to ident.Daemon) bool { return from == d.id || to == d.id }
		s.schedule(400*time.Millisecond, func() {
			s.partitioned = func(ident.Daemon, ident.Daemon) bool { return false }
			s.linksUp()
		})
	case 4:
		s.service.Targets[target].Generation++
		s.updatePeers()
	case 5:
		s.service.Targets[target].Evacuated = !s.service.Targets[target].Evacuated
		s.updatePeers()
	case 6: // both daemons own the target
		d.core.SetPeers(s.now, nil)
		s.applyEffects(d)
		s.schedule(300*time.Millisecond, s.updatePeers)
	}
}
