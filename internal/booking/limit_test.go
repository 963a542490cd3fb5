package booking_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
)

// refusal asks for one place more and returns what the refusal stands on.
func refusal(t *testing.T, now time.Time, ingress, owner *booking.Core, name ident.Daemon, r booking.Request) booking.Basis {
	t.Helper()
	other := map[ident.Daemon]ident.Daemon{"a": "b", "b": "a"}[name]
	ingress.Submit(now, r)
	pass(now, ingress, owner, other)
	pass(now, owner, ingress, name)
	for _, e := range ingress.Take() {
		if refused, ok := e.(booking.Refuse); ok {
			return refused.Basis
		}
	}
	t.Fatal("not refused")
	return booking.Basis{}
}

// On call, a line of a refusal said "asked 0, expected 0" whatever had decided it. It has to
// tell how many owners were asked, the shortest wait, and which limit refused.
func TestARefusalTellsWhatDecidedIt(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	ingress, owner, name := two(now)
	request := func(id ident.Request, prompt int, in time.Duration) booking.Request {
		return booking.Request{ID: id, Service: "pool", Workspace: "w", Prompt: prompt, Output: 10, Due: now.Add(in)}
	}
	ingress.Submit(now, request("before", 30000, time.Minute)) // it fills the next second
	pass(now, ingress, owner, map[ident.Daemon]ident.Daemon{"a": "b", "b": "a"}[name])
	pass(now, owner, ingress, name)
	late := refusal(t, now, ingress, owner, name, request("long", 40000, 300*time.Millisecond))
	is.Equal(late.Limit, booking.LimitPrompt)
	is.Equal(late.Asks, 1)
	is.True(late.Expected > 0)
	is.True(late.Alone > 300*time.Millisecond)
	late = refusal(t, now, ingress, owner, name, request("short", 10, 300*time.Millisecond))
	is.Equal(late.Limit, booking.LimitTime)
	is.Equal(late.Alone, time.Duration(0))
	is.Equal(refusal(t, now, ingress, owner, name, request("huge", 99000, time.Minute)).Limit, booking.LimitMemory)
	for _, id := range []ident.Request{"1", "2", "3", "4", "5", "6", "7"} {
		ingress.Submit(now, request(id, 10, time.Minute))
		pass(now, ingress, owner, map[ident.Daemon]ident.Daemon{"a": "b", "b": "a"}[name])
		pass(now, owner, ingress, name)
	}
	ingress.Take()
	is.Equal(refusal(t, now, ingress, owner, name, request("ninth", 10, time.Minute)).Limit, booking.LimitSlots)
	is.Equal(booking.LimitSpare.String(), "spare")
	is.Equal(booking.Limit(200).String(), "unknown")
}
