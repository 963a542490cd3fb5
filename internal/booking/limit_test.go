package booking_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
)

// refusalBasis submits one more request and returns the basis of its refusal.
func refusalBasis(t *testing.T, now time.Time, ingress, owner *booking.Core, name ident.Daemon, r booking.Request) booking.Basis {
	t.Helper()
	other := map[ident.Daemon]ident.Daemon{"a": "b", "b": "a"}[name]
	ingress.Submit(now, r)
	deliver(now, ingress, owner, other)
	deliver(now, owner, ingress, name)
	for _, e := range ingress.TakeEffects() {
		if refused, ok := e.(booking.Refuse); ok {
			return refused.Basis
		}
	}
	t.Fatal("the request was not refused")
	return booking.Basis{}
}

// Guards against a log line of a refusal that says "asked 0, expected 0" whatever the reason.
// The basis has to state how many owners were asked, the shortest wait, and which limit
// refused.
func TestRefusalReportsItsBasis(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	ingress, owner, name := newIngressAndOwner(now)
	request := func(id ident.Request, prompt int, in time.Duration) booking.Request {
		return booking.Request{ID: id, Service: "pool", Workspace: "w", Prompt: prompt, Output: 10, Deadline: now.Add(in)}
	}
	ingress.Submit(now, request("before", 30000, time.Minute)) // it occupies the engine for the next second
	deliver(now, ingress, owner, map[ident.Daemon]ident.Daemon{"a": "b", "b": "a"}[name])
	deliver(now, owner, ingress, name)
	late := refusalBasis(t, now, ingress, owner, name, request("long", 40000, 300*time.Millisecond))
	is.Equal(late.Limit, booking.LimitPrompt)
	is.Equal(late.OwnersAsked, 1)
	is.True(late.Expected > 0)
	is.True(late.UnloadedWait > 300*time.Millisecond)
	late = refusalBasis(t, now, ingress, owner, name, request("short", 10, 300*time.Millisecond))
	is.Equal(late.Limit, booking.LimitTime)
	is.Equal(late.UnloadedWait, time.Duration(0))
	is.Equal(refusalBasis(t, now, ingress, owner, name, request("huge", 99000, time.Minute)).Limit, booking.LimitMemory)
	for _, id := range []ident.Request{"1", "2", "3", "4", "5", "6", "7"} {
		ingress.Submit(now, request(id, 10, time.Minute))
		deliver(now, ingress, owner, map[ident.Daemon]ident.Daemon{"a": "b", "b": "a"}[name])
		deliver(now, owner, ingress, name)
	}
	ingress.TakeEffects()
	is.Equal(refusalBasis(t, now, ingress, owner, name, request("ninth", 10, time.Minute)).Limit, booking.LimitSlots)
	is.Equal(booking.LimitSpare.String(), "spare")
	is.Equal(booking.Limit(200).String(), "unknown")
}
