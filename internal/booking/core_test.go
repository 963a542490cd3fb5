package booking_test

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
)

// newIngressAndOwner returns two Cores that are peers and share one target: the ingress and the
// owner of the target.
func newIngressAndOwner(now time.Time) (ingress, owner *booking.Core, ownerID ident.Daemon) {
	return newConfiguredIngressAndOwner(now, booking.Config{Incarnation: 1, Zone: "z"})
}

func newConfiguredIngressAndOwner(now time.Time, cfg booking.Config) (ingress, owner *booking.Core, ownerID ident.Daemon) {
	cores := map[ident.Daemon]*booking.Core{}
	service := booking.Service{
		Name: "pool", ServesModel: true, Workspaces: []booking.Workspace{{Name: "w", Weight: 1}},
		Targets: []booking.Target{{Name: "t", Zone: "z", Slots: 8, Memory: 100000}},
	}
	for _, id := range []ident.Daemon{"a", "b"} {
		other := map[ident.Daemon]ident.Daemon{"a": "b", "b": "a"}[id]
		cfg.Self = id
		c := booking.New(cfg, rand.New(rand.NewPCG(1, 1)))
		c.SetPeers(now, []booking.Peer{{ID: other, Incarnation: 1, Zone: "z"}})
		c.Configure(now, []booking.Service{service})
		cores[id] = c
	}
	cores["a"].Submit(now, booking.Request{ID: "probe", Service: "pool", Workspace: "w", Deadline: now.Add(time.Second)})
	ownerID = "a"
	for _, e := range cores["a"].TakeEffects() {
		if s, ok := e.(booking.Send); ok && len(s.Message.Reservations) > 0 {
			ownerID = "b"
		}
	}
	cores["a"].Finish(now, "probe", booking.Result{})
	cores["a"].TakeEffects()
	if ownerID == "a" {
		return cores["b"], cores["a"], "a"
	}
	return cores["a"], cores["b"], "b"
}

// deliver passes the messages of one Core to the other, and returns the targets of the requests
// that were placed.
func deliver(now time.Time, from, to *booking.Core, sender ident.Daemon) (placed []ident.Target) {
	for _, e := range from.TakeEffects() {
		switch e := e.(type) {
		case booking.Send:
			to.Receive(now, sender, e.Message)
		case booking.Dispatch:
			placed = append(placed, e.Target)
		}
	}
	return placed
}

// slotUtilization returns the fraction of the target's slots that its owner counts as in use.
func slotUtilization(t *testing.T, now time.Time, owner *booking.Core) float64 {
	t.Helper()
	owner.Tick(now)
	for _, e := range owner.TakeEffects() {
		if s, ok := e.(booking.Send); ok && len(s.Message.Loads) > 0 {
			return s.Message.Loads[0].SlotUtilization
		}
	}
	t.Fatal("the owner published no load")
	return 0
}

// Guards against counting a run twice when a link comes up and makes the other end the owner of
// a target at the same time, so that it is notified twice. The second notification stood for a
// second request that was never released: for 12 s after a restart of all daemons each engine
// seemed to have ten more prompts in prefill, and a third fewer requests met their objective.
func TestRepeatedNotificationOfOwnerCountsOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	ingress, owner, name := newIngressAndOwner(now)
	other := map[ident.Daemon]ident.Daemon{"a": "b", "b": "a"}[name]
	ingress.Submit(now, booking.Request{ID: "r", Service: "pool", Workspace: "w", Prompt: 5000, Output: 10, Deadline: now.Add(time.Second)})
	deliver(now, ingress, owner, other)
	deliver(now, owner, ingress, name)
	is.Equal(deliver(now, ingress, owner, other), []ident.Target{"t"})
	is.Equal(slotUtilization(t, now, owner), 1.0/8)

	ingress.LinkUp(now, name)
	ingress.LinkUp(now, name)
	deliver(now, ingress, owner, other)
	now = now.Add(time.Second)
	is.Equal(slotUtilization(t, now, owner), 1.0/8)
	ingress.Finish(now, "r", booking.Result{Elapsed: time.Second})
	deliver(now, ingress, owner, other)
	now = now.Add(time.Second)
	is.Equal(slotUtilization(t, now, owner), 0.0)
}

// Guards against a leaked slot: the owner's reply is late, the ingress proceeds without it, and
// has to release the slot that the owner may have reserved when the reply does arrive.
func TestLateReplyReleasesTheSlot(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	ingress, owner, name := newIngressAndOwner(now)
	other := map[ident.Daemon]ident.Daemon{"a": "b", "b": "a"}[name]
	ingress.Submit(now, booking.Request{ID: "r", Service: "pool", Workspace: "w", Prompt: 5000, Output: 10, Deadline: now.Add(time.Second)})
	deliver(now, ingress, owner, other)
	now = now.Add(50 * time.Millisecond)
	ingress.Tick(now)
	is.Equal(deliver(now, ingress, owner, other), []ident.Target{"t"}) // placed from local state
	deliver(now, owner, ingress, name)
	deliver(now, ingress, owner, other)
	now = now.Add(time.Second)
	is.Equal(slotUtilization(t, now, owner), 0.0)
}

// Guards against a change of state by a message of a former incarnation of a peer.
func TestMessageOfFormerIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	_, owner, name := newIngressAndOwner(now)
	other := map[ident.Daemon]ident.Daemon{"a": "b", "b": "a"}[name]
	owner.Receive(now, other, booking.Message{Incarnation: 7, Reservations: []booking.Reservation{{ID: 1, Service: "pool", Target: "t", Workspace: "w", Prompt: 100, Running: true}}})
	is.Equal(slotUtilization(t, now, owner), 0.0)
}

// Guards against a final 404 when a daemon has just started: its routes are in force, and a
// request arrives a moment before the Core learns about their services.
func TestUnknownServiceIsUnavailableNotMissing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := booking.New(booking.Config{Self: "a", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	c.Submit(now, booking.Request{ID: "r", Service: "pool", Workspace: "w", Deadline: now.Add(time.Second)})
	refused, ok := c.TakeEffects()[0].(booking.Refuse)
	is.True(ok)
	is.Equal(refused.Failure.Code.HTTPStatus, http.StatusServiceUnavailable)
	is.True(refused.Failure.RetryDelay() > 0) // with a time to retry after
}
