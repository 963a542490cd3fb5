// Package admission decides on arrival whether a request may wait.
//
// The load pattern it addresses: requests arrive faster than they can be served
// for longer than callers are willing to wait. Without admission control,
// queues fill with requests whose callers have given up, every wait grows to
// the longest that callers tolerate, and a caller that could have gone
// elsewhere immediately is the last to find out.
//
// A caller that exceeds its workspace's own limits (rate, concurrency) gets a
// 429, regardless of what other workspaces do. The limits apply to the whole
// fleet; package limit assigns each daemon its part. A request that cannot meet
// its deadline at the measured rate is refused with a 503, and so is one that
// arrives when the daemon's queues are full, except that a workspace using less
// than its share of the queues is still admitted. Otherwise one workspace that
// floods the fleet would get the requests of all others refused.
//
// The service rate is the number of requests dispatched divided by the time
// during which some were waiting, so that idle periods do not look like slow
// service. An unknown or stale rate refuses nothing. The time from dispatch to
// completion is tracked per class. Its 10th percentile is used for refusal, so
// that a request is refused only if even a fast one would be late. Its median
// tells the queue which requests are unlikely to meet their deadlines.
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
	DefaultMaxWaiting = 20000
	DefaultRateWindow = 10 * time.Second
)

// Config configures a Controller. Zero fields take their defaults.
type Config struct {
	// MaxWaiting bounds the requests of the service waiting at this daemon
	// (default 20,000). Workspaces below their share of it may exceed it, so
	// the hard limit is twice as high.
	MaxWaiting int
	// RateWindow is the time constant over which the service rate is averaged.
	// A rate that has not been updated for that long counts as unknown (default
	// 10 s).
	RateWindow time.Duration
	// Limit configures how the limits of the workspaces are divided among the
	// daemons.
	Limit limit.Config
}

// Limits are the limits of a workspace from the document. They apply to the
// whole fleet.
type Limits struct {
	// Weight is the workspace's share of the service.
	Weight float64
	// Concurrent bounds the requests waiting or running; zero means no limit.
	Concurrent int
	// Rate bounds the requests accepted per second; zero means no limit.
	Rate float64
}

// Arrival describes a request on arrival.
type Arrival struct {
	Workspace ident.Workspace
	Class     uint8
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time
	// Ahead counts the waiting requests that will be dispatched before this
	// one.
	Ahead int
	// Waiting and Running count the workspace's requests at this daemon.
	Waiting, Running int
	// TotalWaiting counts the waiting requests of all workspaces at this
	// daemon.
	TotalWaiting int
}

// Controller admits the requests of one service at one daemon. It is not safe
// for concurrent use.
type Controller struct {
	config     Config
	workspaces map[ident.Workspace]*workspace
	// daemons lists the live daemons by name; empty if this is the only one.
	daemons      []ident.Daemon
	totalWeight  float64
	serviceTimes map[uint8]*serviceTimes
}

type workspace struct {
	limits Limits
	share  *limit.Share
	meter  dispatchMeter
}

// New returns a controller without workspaces.
func New(c Config) *Controller {
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = DefaultMaxWaiting
	}
	if c.RateWindow <= 0 {
		c.RateWindow = DefaultRateWindow
	}
	return &Controller{
		config:       c,
		workspaces:   make(map[ident.Workspace]*workspace),
		serviceTimes: make(map[uint8]*serviceTimes),
	}
}

// SetLimits adds a workspace or changes its limits.
func (c *Controller) SetLimits(ws ident.Workspace, l Limits) {
	w := c.workspaces[ws]
	if w == nil {
		w = &workspace{share: limit.New(c.config.Limit), meter: dispatchMeter{window: c.config.RateWindow}}
		if len(c.daemons) > 0 {
			w.share.SetDaemons(time.Time{}, c.daemons)
		}
		c.workspaces[ws] = w
	}
	c.totalWeight += l.Weight - w.limits.Weight
	w.limits = l
	w.share.SetLimits(l.Rate, l.Concurrent)
}

// Remove removes a workspace that is no longer in the document.
func (c *Controller) Remove(ws ident.Workspace) {
	if w := c.workspaces[ws]; w != nil {
		c.totalWeight -= w.limits.Weight
		delete(c.workspaces, ws)
	}
}

// Admit returns nil if the request may wait, or the reason why not. SetLimits
// must have been called for the workspace.
func (c *Controller) Admit(now time.Time, a Arrival) *resultcode.Failure {
	w := c.workspaces[a.Workspace]
	if f := c.checkLimits(now, w, a); f != nil {
		return f
	}
	if f := c.checkDeadline(now, w, a); f != nil {
		return f
	}
	if a.TotalWaiting >= c.config.MaxWaiting && a.Waiting >= c.queueShare(w) {
		return resultcode.Fail(resultcode.FleetFull, "%d requests wait at this daemon", a.TotalWaiting)
	}
	w.share.Rate.Take()
	return nil
}

// checkLimits refuses a request that exceeds its workspace's own limits.
func (c *Controller) checkLimits(now time.Time, w *workspace, a Arrival) *resultcode.Failure {
	if !w.share.Concurrency.Admit(a.Running + a.Waiting) {
		f := resultcode.Fail(resultcode.ConcurrencyLimited, "the limit is %d", w.limits.Concurrent)
		f.RetryAfter = ceilSeconds(c.timeToNextCompletion(a))
		return f
	}
	w.share.Rate.RecordArrival()
	if wait := w.share.Rate.Wait(now); wait > 0 {
		f := resultcode.Fail(resultcode.RateLimited, "the limit is %g a second", w.limits.Rate)
		f.RetryAfter = ceilSeconds(wait)
		return f
	}
	return nil
}

// timeToNextCompletion estimates from the measured service times when one of
// the workspace's requests at this daemon will finish. If none is running here,
// it is the exchange interval, after which the number of requests running
// elsewhere is known. It is zero if nothing has been measured.
func (c *Controller) timeToNextCompletion(a Arrival) time.Duration {
	if a.Running == 0 {
		return c.config.Limit.ExchangeInterval
	}
	return c.MedianServiceTime(a.Class) / time.Duration(a.Running)
}

// queueShare is the workspace's share of MaxWaiting.
func (c *Controller) queueShare(w *workspace) int {
	return int(float64(c.config.MaxWaiting) * w.limits.Weight / c.totalWeight)
}

// checkDeadline refuses a request that would miss its deadline even if it ran
// fast.
func (c *Controller) checkDeadline(now time.Time, w *workspace, a Arrival) *resultcode.Failure {
	if a.Deadline.IsZero() {
		return nil
	}
	wait := w.meter.expectedWait(now, a.Ahead)
	if !now.Add(wait + c.FastServiceTime(a.Class)).After(a.Deadline) {
		return nil
	}
	f := resultcode.Fail(resultcode.DeadlineUnmet, "the expected wait is %s", wait.Round(time.Millisecond))
	f.RetryAfter = ceilSeconds(wait)
	return f
}

// ceilSeconds rounds up to whole seconds, because Retry-After has no fractions
// and a caller that returns too early is refused again.
func ceilSeconds(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(d.Seconds())) * time.Second
}

// SetWaiting sets the number of the workspace's waiting requests.
func (c *Controller) SetWaiting(now time.Time, ws ident.Workspace, n int) {
	if w := c.workspaces[ws]; w != nil {
		w.meter.setWaiting(now, n)
	}
}

// RecordDispatch records that a waiting request of the workspace was
// dispatched.
func (c *Controller) RecordDispatch(now time.Time, ws ident.Workspace) {
	if w := c.workspaces[ws]; w != nil {
		w.meter.recordDispatch(now)
	}
}

// RecordCompletion records how long a request took from dispatch to completion.
func (c *Controller) RecordCompletion(class uint8, elapsed time.Duration) {
	t := c.serviceTimes[class]
	if t == nil {
		t = newServiceTimes()
		c.serviceTimes[class] = t
	}
	t.fast.add(elapsed.Seconds())
	t.median.add(elapsed.Seconds())
}

// FastServiceTime returns the 10th percentile of the time from dispatch to
// completion in the class; zero if no request has completed.
func (c *Controller) FastServiceTime(class uint8) time.Duration {
	if t := c.serviceTimes[class]; t != nil {
		return secondsToDuration(t.fast.value)
	}
	return 0
}

// MedianServiceTime returns the median time from dispatch to completion in the
// class; zero if no request has completed.
func (c *Controller) MedianServiceTime(class uint8) time.Duration {
	if t := c.serviceTimes[class]; t != nil {
		return secondsToDuration(t.median.value)
	}
	return 0
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
