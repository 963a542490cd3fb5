package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/limit"
	"github.com/savorystall/savorystall/internal/resultcode"
)

var start = time.Unix(1000, 0)

// resultNumber returns the number of the result code, or zero if the request
// was admitted.
func resultNumber(f *resultcode.Failure) int {
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
	is.Equal(resultNumber(f), resultcode.RateLimited.Number)
	is.Equal(f.Code.HTTPStatus, 429)
	is.Equal(f.RetryAfter, time.Second)
	is.Equal(c.Admit(start, Arrival{Workspace: "b"}), nil)
	is.Equal(c.Admit(start.Add(100*time.Millisecond), Arrival{Workspace: "a"}), nil)
	is.Equal(resultNumber(c.Admit(start.Add(100*time.Millisecond), Arrival{Workspace: "a"})), resultcode.RateLimited.Number)
}

func TestConcurrencyLimit(t *testing.T) {
	is := is.New(t)
	c := New(Config{})
	c.SetLimits("a", Limits{Weight: 1, Concurrent: 3})
	is.Equal(c.Admit(start, Arrival{Workspace: "a", Running: 2}), nil)
	is.Equal(resultNumber(c.Admit(start, Arrival{Workspace: "a", Running: 2, Waiting: 1})), resultcode.ConcurrencyLimited.Number)
}

// One workspace has filled the daemon's queues. If every request were refused
// then, a flood from one workspace would cause an outage for all others.
func TestFullFleetAdmitsWorkspacesBelowTheirShare(t *testing.T) {
	is := is.New(t)
	c := New(Config{MaxWaiting: 100})
	c.SetLimits("flood", Limits{Weight: 1})
	c.SetLimits("small", Limits{Weight: 1})
	f := c.Admit(start, Arrival{Workspace: "flood", Waiting: 100, TotalWaiting: 100})
	is.Equal(resultNumber(f), resultcode.FleetFull.Number)
	is.Equal(f.Code.HTTPStatus, 503)
	is.Equal(c.Admit(start, Arrival{Workspace: "small", TotalWaiting: 100}), nil)
}

// Ten requests per second are served and a hundred are waiting. A caller that
// gives up after five seconds would wait in vain, so it is refused on arrival
// and told when to retry.
func TestUnmeetableDeadlineIsRefusedOnArrival(t *testing.T) {
	is := is.New(t)
	c := New(Config{})
	c.SetLimits("a", Limits{Weight: 1})
	c.SetWaiting(start, "a", 100)
	now := start
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		c.RecordDispatch(now, "a")
	}
	c.RecordCompletion(0, 200*time.Millisecond)
	request := Arrival{Workspace: "a", Ahead: 100, Deadline: now.Add(5 * time.Second)}
	f := c.Admit(now, request)
	is.Equal(resultNumber(f), resultcode.DeadlineUnmet.Number)
	is.True(f.RetryAfter >= 9*time.Second && f.RetryAfter <= 11*time.Second)
	request.Deadline = now.Add(15 * time.Second)
	is.Equal(c.Admit(now, request), nil)
	request.Ahead, request.Deadline = 0, now.Add(100*time.Millisecond)
	is.Equal(resultNumber(c.Admit(now, request)), resultcode.DeadlineUnmet.Number)
}

// A rate measured under yesterday's peak load must not cause today's first
// burst to be refused.
func TestStaleRateRefusesNothing(t *testing.T) {
	is := is.New(t)
	c := New(Config{})
	c.SetLimits("a", Limits{Weight: 1})
	c.SetWaiting(start, "a", 5)
	c.RecordDispatch(start.Add(5*time.Second), "a")
	c.SetWaiting(start.Add(20*time.Second), "a", 0)
	tomorrow := start.Add(24 * time.Hour)
	f := c.Admit(tomorrow, Arrival{Workspace: "a", Ahead: 50, Deadline: tomorrow.Add(time.Second)})
	is.Equal(f, nil)
}

func TestFastServiceTimeFollowsFastRequests(t *testing.T) {
	is := is.New(t)
	c := New(Config{})
	for i := range 2000 {
		c.RecordCompletion(1, time.Duration(1+i*7%100)*time.Second/10)
	}
	fastTime := c.FastServiceTime(1)
	is.True(fastTime > 500*time.Millisecond && fastTime < 2*time.Second)
	is.Equal(c.FastServiceTime(0), time.Duration(0))
}
