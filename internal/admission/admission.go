// Package admission decides at arrival whether a request may wait.
//
// The load pattern it answers: arrivals above the service rate for longer than
// callers wait. Without it queues fill with requests whose callers have given
// up, every wait grows to the longest that callers bear, and the caller that
// could have gone elsewhere at once learns it last.
//
// A caller over its workspace's own limits (rate, concurrency) is told so with
// 429, and nothing that other workspaces do changes that; the limits are those of
// the whole fleet, of which package limit gives each daemon its part. A request that cannot be in
// time at the measured rate is refused with 503, and so is one that comes when
// the daemon's queues are full, except that a workspace below its part of the
// queues is let in: else one flooding workspace would have all others refused.
//
// The service rate is the number of requests dispatched over the time in which
// some waited, so that idle times do not look like a slow service. A rate that
// is unknown or stale refuses nothing. The time a request takes once it is
// dispatched is tracked per class. Its 10th percentile decides about refusal,
// which is right only where even a fast request would be late; its median tells
// the queue which requests will hardly be in time.
package admission

import (
	"math"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/limit"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// Defaults of Config.
const (
	DefaultTotal  = 20000
	DefaultMemory = 10 * time.Second
)

// Config sets up a Controller. Zero fields take their defaults.
type Config struct {
	// Total bounds the requests of the service that wait at the daemon
	// (default 20,000). Workspaces below their part of it may exceed it, so
	// that the hard bound is twice as high.
	Total int
	// Memory is the time over which the service rate is averaged, and after
	// which a rate not renewed is unknown (default 10 s).
	Memory time.Duration
	// Limit divides the workspaces' own limits among the daemons.
	Limit limit.Config
}

// Limits are a workspace's own, from the document. They hold for the fleet.
type Limits struct {
	// Weight is its share of the service.
	Weight float64
	// Concurrent bounds the requests that wait or run; zero means no bound.
	Concurrent int
	// Rate bounds the accepted requests a second; zero means no bound.
	Rate float64
}

// Arrival is what is known of a request when it comes in.
type Arrival struct {
	Workspace ident.Workspace
	Class     uint8
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time
	// Ahead counts the waiting requests that go before it.
	Ahead int
	// Waiting and Running count the workspace's requests at this daemon.
	Waiting, Running int
	// Total counts the requests of all workspaces that wait at this daemon.
	Total int
}

// Controller admits the requests of one service at one daemon. It is not safe
// for concurrent use.
type Controller struct {
	config     Config
	workspaces map[ident.Workspace]*workspace
	// daemons lists the live ones by name; empty where this one is alone.
	daemons []ident.Daemon
	weight  float64
	times   map[uint8]*times
}

type workspace struct {
	limits Limits
	share  *limit.Share
	rate   meter
}

// New returns a controller without workspaces.
func New(c Config) *Controller {
	if c.Total <= 0 {
		c.Total = DefaultTotal
	}
	if c.Memory <= 0 {
		c.Memory = DefaultMemory
	}
	return &Controller{
		config:     c,
		workspaces: make(map[ident.Workspace]*workspace),
		times:      make(map[uint8]*times),
	}
}

// SetLimits adds a workspace or changes its limits.
func (c *Controller) SetLimits(ws ident.Workspace, l Limits) {
	w := c.workspaces[ws]
	if w == nil {
		w = &workspace{share: limit.New(c.config.Limit), rate: meter{memory: c.config.Memory}}
		if len(c.daemons) > 0 {
			w.share.SetDaemons(time.Time{}, c.daemons)
		}
		c.workspaces[ws] = w
	}
	c.weight += l.Weight - w.limits.Weight
	w.limits = l
	w.share.SetLimits(l.Rate, l.Concurrent)
}

// Remove drops a workspace that the document no longer names.
func (c *Controller) Remove(ws ident.Workspace) {
	if w := c.workspaces[ws]; w != nil {
		c.weight -= w.limits.Weight
		delete(c.workspaces, ws)
	}
}

// Admit returns nil where the request may wait, else why not. The workspace
// must have limits.
func (c *Controller) Admit(now time.Time, a Arrival) *resultcode.Failure {
	w := c.workspaces[a.Workspace]
	if f := c.overLimit(now, w, a); f != nil {
		return f
	}
	if f := c.late(now, w, a); f != nil {
		return f
	}
	if a.Total >= c.config.Total && a.Waiting >= c.part(w) {
		return resultcode.Fail(resultcode.FleetFull, "%d requests wait at this daemon", a.Total)
	}
	w.share.Rate.Take()
	return nil
}

// overLimit refuses a request that is above the workspace's own limits.
func (c *Controller) overLimit(now time.Time, w *workspace, a Arrival) *resultcode.Failure {
	if !w.share.Concurrent.Admit(a.Running + a.Waiting) {
		f := resultcode.Fail(resultcode.ConcurrencyFull, "the limit is %d", w.limits.Concurrent)
		f.RetryAfter = wholeSeconds(c.nextEnd(a))
		return f
	}
	w.share.Rate.Arrived()
	if wait := w.share.Rate.Wait(now); wait > 0 {
		f := resultcode.Fail(resultcode.RateLimited, "the limit is %g a second", w.limits.Rate)
		f.RetryAfter = wholeSeconds(wait)
		return f
	}
	return nil
}

// nextEnd is how long it takes by the measured times until one of the workspace's
// requests here ends, or until it is known how many run elsewhere; zero where
// nothing was measured.
func (c *Controller) nextEnd(a Arrival) time.Duration {
	if a.Running == 0 {
		return c.config.Limit.Exchange
	}
	return c.Typical(a.Class) / time.Duration(a.Running)
}

// part is the workspace's part of all places to wait.
func (c *Controller) part(w *workspace) int {
	return int(float64(c.config.Total) * w.limits.Weight / c.weight)
}

// late refuses a request that would be late even if it ran fast.
func (c *Controller) late(now time.Time, w *workspace, a Arrival) *resultcode.Failure {
	if a.Deadline.IsZero() {
		return nil
	}
	wait := w.rate.wait(now, a.Ahead)
	if !now.Add(wait + c.Need(a.Class)).After(a.Deadline) {
		return nil
	}
	f := resultcode.Fail(resultcode.DeadlineUnmet, "the expected wait is %s", wait.Round(time.Millisecond))
	f.RetryAfter = wholeSeconds(wait)
	return f
}

// wholeSeconds rounds up, because Retry-After has no fractions and a caller
// that returns early is refused again.
func wholeSeconds(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(d.Seconds())) * time.Second
}

// Waiting tells how many requests of the workspace wait from now on.
func (c *Controller) Waiting(now time.Time, ws ident.Workspace, n int) {
	if w := c.workspaces[ws]; w != nil {
		w.rate.waiting(now, n)
	}
}

// Started tells that a waiting request of the workspace was dispatched.
func (c *Controller) Started(now time.Time, ws ident.Workspace) {
	if w := c.workspaces[ws]; w != nil {
		w.rate.started(now)
	}
}

// Finished tells how long a request took from its dispatch to its end.
func (c *Controller) Finished(class uint8, elapsed time.Duration) {
	t := c.times[class]
	if t == nil {
		t = newTimes()
		c.times[class] = t
	}
	t.fast.add(elapsed.Seconds())
	t.typical.add(elapsed.Seconds())
}

// Need returns the time that a fast request of the class takes once it is
// dispatched; zero where none has ended.
func (c *Controller) Need(class uint8) time.Duration {
	if t := c.times[class]; t != nil {
		return duration(t.fast.value)
	}
	return 0
}

// Typical returns the median time that a request of the class takes once it is
// dispatched; zero where none has ended.
func (c *Controller) Typical(class uint8) time.Duration {
	if t := c.times[class]; t != nil {
		return duration(t.typical.value)
	}
	return 0
}

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
