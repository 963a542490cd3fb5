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

// newPartitioned returns a daemon of availability zone near whose peer in zone far does not
// reply, with the given numbers of targets in the two zones.
func newPartitioned(now time.Time, near, far int) *booking.Core {
	c := booking.New(booking.Config{Self: "a", Incarnation: 1, Zone: "near"}, rand.New(rand.NewPCG(1, 1)))
	service := booking.Service{Name: "pool", ServesModel: true, FetchPerToken: time.Microsecond, Workspaces: []booking.Workspace{{Name: "w", Weight: 1}}}
	for i := range near {
		service.Targets = append(service.Targets, booking.Target{Name: ident.Target(fmt.Sprintf("near %d", i)), Zone: "near", Slots: 8, Memory: 400000})
	}
	for i := range far {
		service.Targets = append(service.Targets, booking.Target{Name: ident.Target(fmt.Sprintf("far %d", i)), Zone: "far", Slots: 8, Memory: 400000})
	}
	c.SetPeers(now, []booking.Peer{{ID: "b", Incarnation: 1, Zone: "far"}})
	c.Configure(now, []booking.Service{service})
	return c
}

// placeAll submits one request for each of the given number of sessions, and returns how many
// were dispatched to each zone.
func placeAll(now time.Time, c *booking.Core, sessions int) (near, far int) {
	for i := range sessions {
		c.Submit(now, booking.Request{
			ID: ident.Request(fmt.Sprintf("r%d", i)), Service: "pool", Workspace: "w", Prompt: 2000, Output: 10, Deadline: now.Add(time.Second),
			Parts: []booking.PromptPart{{ID: uint64(i), Tokens: 1000}, {ID: uint64(i) << 32, Tokens: 1000}},
		})
		for range 5 {
			now = now.Add(50 * time.Millisecond)
			c.Tick(now)
		}
		for _, e := range c.TakeEffects() {
			if d, ok := e.(booking.Dispatch); ok {
				if d.Target[0] == 'n' {
					near++
				} else {
					far++
				}
				c.Finish(now, d.Request, booking.Result{Elapsed: time.Second})
			}
		}
	}
	return near, far
}

// Guards against dispatch across the partition of an availability zone: requests of sessions
// with homes on the far side were sent there without a reply of the owner, hung for a second,
// and ended with an unknown outcome, while the targets of this zone had capacity.
func TestRequestsStayOnThisSideOfAPartition(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	near, far := placeAll(now, newPartitioned(now, 3, 3), 40)
	is.Equal(far, 0)
	is.Equal(near, 40)
}

// Guards against the refusal of a whole service when all owners but this daemon are dead while
// their targets live: it has to decide from local state until the targets have new owners.
func TestTargetsOfSilentOwnersAreUsedWhenNoOwnerReplies(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	near, far := placeAll(now, newPartitioned(now, 0, 3), 10)
	is.Equal(near, 0)
	is.Equal(far, 10)
}

// Guards against a fetch across a partition: a session was served on the far side and now comes
// to its home on this side. If the home had to copy the prefix from the other zone, the
// copy would never arrive.
func TestNothingIsFetchedAcrossAPartition(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := newPartitioned(now, 1, 2)
	submit := func(session uint64, avoid ...ident.Target) (to, source ident.Target) {
		c.Submit(now, booking.Request{
			ID: "r", Service: "pool", Workspace: "w", Prompt: 2000, Output: 10, Deadline: now.Add(time.Second), Avoid: avoid,
			Parts: []booking.PromptPart{{ID: session, Tokens: 1000}, {ID: 99, Tokens: 1000}},
		})
		for range 5 {
			for _, e := range c.TakeEffects() {
				switch e := e.(type) {
				case booking.Dispatch:
					c.Finish(now, "r", booking.Result{Elapsed: time.Second})
					return e.Target, e.Basis.FetchSource
				case booking.Send:
					for _, res := range e.Message.Reservations {
						if len(avoid) > 0 {
							c.Receive(now, "b", booking.Message{Incarnation: 1, Replies: []booking.Reply{{ID: res.ID, OK: true}}})
						}
					}
				}
			}
			now = now.Add(50 * time.Millisecond)
			c.Tick(now)
		}
		t.Fatal("the request was not placed")
		return "", ""
	}
	fetches := 0
	for session := range uint64(10) {
		farTarget, _ := submit(session, "near 0")
		is.Equal(farTarget[0], byte('f'))
		to, source := submit(session)
		is.Equal(to, ident.Target("near 0"))
		if source != "" {
			fetches++ // only the first, which reveals that the other zone is silent
		}
	}
	is.True(fetches <= 1)
}
