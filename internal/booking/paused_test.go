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

// Guards against a request that is placed at a target that has asked for a pause while others have
// room, and against a refusal with an untrue time where none is left.
func TestPausedTargetsGetNothingAndTellWhenToReturn(t *testing.T) {
	now := time.Unix(1000, 0)
	first, second := now.Add(2*time.Second), now.Add(3*time.Second)
	for _, c := range []struct {
		name   string
		paused []booking.Pause
		target ident.Target
	}{
		{"one of two", []booking.Pause{{Target: "t0", Until: first}}, "t1"},
		{"one of another service", []booking.Pause{{Target: "t0", Until: first}, {Target: "other", Until: first}}, "t1"},
		{"all", []booking.Pause{{Target: "t1", Until: second}, {Target: "t0", Until: first}}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			core := booking.New(booking.Config{Self: "d", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
			core.Configure(now, []booking.Service{{Name: "app", Workspaces: []booking.Workspace{{Name: "w", Weight: 1}}, Targets: []booking.Target{
				{Name: "t0", Zone: "z", Slots: 8}, {Name: "t1", Zone: "z", Slots: 8},
			}}})
			delays := map[time.Duration]bool{}
			for i := range 6 {
				core.Submit(now, booking.Request{ID: ident.Request(fmt.Sprint(i)), Service: "app", Workspace: "w", Deadline: now.Add(time.Second), Paused: c.paused})
				for _, effect := range core.TakeEffects() {
					switch e := effect.(type) {
					case booking.Dispatch:
						is.Equal(e.Target, c.target)
					case booking.Refuse:
						is.Equal(c.target, ident.Target(""))
						is.Equal(e.Failure.Code.Name, "targets_paused")
						is.True(e.Failure.RetryDelay() >= first.Sub(now))
						is.True(e.Failure.RetryDelay() < second.Sub(now)+time.Second)
						delays[e.Failure.RetryDelay()] = true
					}
				}
			}
			is.True(c.target != "" || len(delays) == 6) // spread, so that they do not all return at once
		})
	}
}
