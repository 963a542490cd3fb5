package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/limit"
	"github.com/savorystall/savorystall/internal/resultcode"
)

var start = time.Unix(1000, 0)

// code is the result code's number; zero where the request is admitted.
func code(f *resultcode.Failure) int {
	if f == nil {
		return 0
	}
	return f.Code.Number
}

func TestRateLimitIsTheWorkspacesOwn(t *testing.T) {
	is := is.New(t)
	c := New(Config{Limit: limit.Config{Burst: time.Second}})
	c.SetLimits("a", Limits{Weight: 1, Rate: 10})
	c.SetLimits("b", Limits{Weight: 1})
	for range 10 {
		is.Equal(c.Admit(start, Arrival{Workspace: "a"}), nil)
	}
	f := c.Admit(start, Arrival{Workspace: "a"})
	is.Equal(code(f), resultcode.RateLimited.Number)
	is.Equal(f.Code.HTTP, 429)
	is.Equal(f.RetryAfter, time.Second)
	is.Equal(c.Admit(start, Arrival{Workspace: "b"}), nil)
	is.Equal(c.Admit(start.Add(100*time.Millisecond), Arrival{Workspace: "a"}), nil)
	is.Equal(code(c.Admit(start.Add(100*time.Millisecond), Arrival{Workspace: "a"})), resultcode.RateLimited.Number)
}

func TestConcurrencyLimit(t *testing.T) {
	is := is.New(t)
	c := New(Config{})
	c.SetLimits("a", Limits{Weight: 1, Concurrent: 3})
	is.Equal(c.Admit(start, Arrival{Workspace: "a", Running: 2}), nil)
	is.Equal(code(c.Admit(start, Arrival{Workspace: "a", Running: 2, Waiting: 1})), resultcode.ConcurrencyFull.Number)
}

// One workspace has filled the daemon's queues. Were all refused then, a flood
// of one caller would be an outage for every other.
func TestFullFleetLetsInWhoeverIsBelowItsPart(t *testing.T) {
	is := is.New(t)
	c := New(Config{Total: 100})
	c.SetLimits("flood", Limits{Weight: 1})
	c.SetLimits("small", Limits{Weight: 1})
	f := c.Admit(start, Arrival{Workspace: "flood", Waiting: 100, Total: 100})
	is.Equal(code(f), resultcode.FleetFull.Number)
	is.Equal(f.Code.HTTP, 503)
	is.Equal(c.Admit(start, Arrival{Workspace: "small", Total: 100}), nil)
}

// Ten requests a second are served and a hundred wait. A caller that gives up
// in five seconds would wait them in vain; it is told at once, and when to come
// again.
func TestDeadlineThatCannotBeMetIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	c := New(Config{})
	c.SetLimits("a", Limits{Weight: 1})
	c.Waiting(start, "a", 100)
	now := start
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		c.Started(now, "a")
	}
	c.Finished(0, 200*time.Millisecond)
	request := Arrival{Workspace: "a", Ahead: 100, Deadline: now.Add(5 * time.Second)}
	f := c.Admit(now, request)
	is.Equal(code(f), resultcode.DeadlineUnmet.Number)
	is.True(f.RetryAfter >= 9*time.Second && f.RetryAfter <= 11*time.Second)
	request.Deadline = now.Add(15 * time.Second)
	is.Equal(c.Admit(now, request), nil)
	request.Ahead, request.Deadline = 0, now.Add(100*time.Millisecond)
	is.Equal(code(c.Admit(now, request)), resultcode.DeadlineUnmet.Number)
}

// A rate measured in yesterday's rush must not refuse today's first burst.
func TestStaleRateRefusesNothing(t *testing.T) {
	is := is.New(t)
	c := New(Config{})
	c.SetLimits("a", Limits{Weight: 1})
	c.Waiting(start, "a", 5)
	c.Started(start.Add(5*time.Second), "a")
	c.Waiting(start.Add(20*time.Second), "a", 0)
	tomorrow := start.Add(24 * time.Hour)
	f := c.Admit(tomorrow, Arrival{Workspace: "a", Ahead: 50, Deadline: tomorrow.Add(time.Second)})
	is.Equal(f, nil)
}

func TestNeedFollowsTheFastRequests(t *testing.T) {
	is := is.New(t)
	c := New(Config{})
	for i := range 2000 {
		c.Finished(1, time.Duration(1+i*7%100)*time.Second/10)
	}
	need := c.Need(1)
	is.True(need > 500*time.Millisecond && need < 2*time.Second)
	is.Equal(c.Need(0), time.Duration(0))
}
