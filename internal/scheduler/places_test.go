package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/scheduler"
)

// newPool is a daemon that owns two targets of ten slots, with as much waiting
// as it can take.
func newPool(t *testing.T) *scheduler.Core {
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

// placed returns the dispatched requests by target.
func placed(c *scheduler.Core) map[string][]scheduler.Dispatch {
	by := map[string][]scheduler.Dispatch{}
	for _, e := range c.TakeEffects() {
		if d, ok := e.(scheduler.Dispatch); ok {
			by[string(d.Target)] = append(by[string(d.Target)], d)
		}
	}
	return by
}

// An engine runs fewer requests than its document says and refuses the others.
// Sent there again and again, they would be turned down again and again while
// they could wait where every slot that becomes free can take them.
func TestTargetThatIsFullIsGivenLess(t *testing.T) {
	is := is.New(t)
	c := newPool(t)
	first := placed(c)
	is.Equal(len(first["t1"]), 10)
	for _, d := range first["t1"][5:] {
		c.Finish(start, d.Request, scheduler.Result{NotRun: true, Elapsed: time.Millisecond})
	}
	again := placed(c)
	is.True(len(again["t1"]) < 5)
	is.Equal(len(again["t2"]), 0) // it has all that it can take
}

// An engine cannot be reached. It is always free, so that it would draw all that
// waits and fail it. It must get nothing until it has answered a probe.
func TestUnreachableTargetGetsNothingUntilItAnswers(t *testing.T) {
	is := is.New(t)
	c := newPool(t)
	first := placed(c)
	for _, d := range first["t1"] {
		c.Finish(start, d.Request, scheduler.Result{Failed: true, NotRun: true, Elapsed: time.Millisecond})
	}
	is.Equal(len(placed(c)["t1"]), 0)
	c.TargetHealth(start, "pool", "t1", scheduler.HealthAnswered)
	is.Equal(len(placed(c)["t1"]), 10)
}
