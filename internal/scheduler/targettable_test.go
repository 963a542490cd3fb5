package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/scheduler"
)

// newSaturatedPool returns a daemon that owns two targets of ten slots each and
// has more requests waiting than they can run.
func newSaturatedPool(t *testing.T) *scheduler.Core {
	t.Helper()
	c := scheduler.New(scheduler.Config{Self: "d1", Incarnation: 1, Zone: "z1"}, rand.New(rand.NewPCG(1, 2)))
	c.Configure(start, []scheduler.Service{{
		Name:       "pool",
		Workspaces: []scheduler.Workspace{{Name: "a", Weight: 1, QueueLimit: 100}},
		Targets:    []scheduler.Target{{Name: "t1", Zone: "z1", Slots: 10}, {Name: "t2", Zone: "z1", Slots: 10}},
		MeanCost:   100,
	}})
	for i := range 100 {
		is.New(t).True(c.Submit(start, request(fmt.Sprint("r", i), "a")) == nil)
	}
	return c
}

// dispatchesByTarget returns the dispatched requests by target.
func dispatchesByTarget(c *scheduler.Core) map[string][]scheduler.Dispatch {
	byTarget := map[string][]scheduler.Dispatch{}
	for _, e := range c.TakeEffects() {
		if d, ok := e.(scheduler.Dispatch); ok {
			byTarget[string(d.Target)] = append(byTarget[string(d.Target)], d)
		}
	}
	return byTarget
}

// A target accepts fewer requests than its configured slots and rejects the
// others. The scheduler must reduce what it sends there: resent requests would
// be rejected repeatedly instead of waiting for the next free slot on any
// target.
func TestOverloadedTargetReceivesFewerRequests(t *testing.T) {
	is := is.New(t)
	c := newSaturatedPool(t)
	first := dispatchesByTarget(c)
	is.Equal(len(first["t1"]), 10)
	for _, d := range first["t1"][5:] {
		c.Finish(start, d.Request, scheduler.Result{NotRun: true, Elapsed: time.Millisecond})
	}
	again := dispatchesByTarget(c)
	is.True(len(again["t1"]) < 5)
	is.Equal(len(again["t2"]), 0) // all of its slots are in use
}

// An unreachable target has no running requests and therefore looks free, so it
// would attract and fail all waiting requests. It must receive none until a
// probe succeeds.
func TestUnreachableTargetReceivesNothingUntilItAnswers(t *testing.T) {
	is := is.New(t)
	c := newSaturatedPool(t)
	first := dispatchesByTarget(c)
	for _, d := range first["t1"] {
		c.Finish(start, d.Request, scheduler.Result{Failed: true, NotRun: true, Elapsed: time.Millisecond})
	}
	is.Equal(len(dispatchesByTarget(c)["t1"]), 0)
	c.ReportTargetHealth(start, "pool", "t1", scheduler.HealthAnswered)
	is.Equal(len(dispatchesByTarget(c)["t1"]), 10)
}
