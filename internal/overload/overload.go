// Package overload decides when a daemon that is short of processor time should report
// itself not ready, so that the load balancer takes it out of rotation. It does no I/O;
// times are arguments.
//
// The load pattern it addresses: a balancer distributes callers by a hash, so that one of
// many daemons, or the only one in an availability zone, receives several times its
// share; and VMs differ in size, or are slowed down by other VMs. Such a daemon reads
// requests seconds after they were sent and answers callers that have disconnected, while
// its neighbours idle. It cannot see how long requests have waited for it in the kernel,
// but it can measure its scheduling latency: how long a runnable goroutine waits before
// it runs.
//
// At a mean scheduling latency of 10 ms, a request that is scheduled ten times takes
// longer than the shortest latency objectives (100 ms). A balancer needs two to three
// seconds to notice a change, so that a daemon stays out of rotation for at least that
// long.
package overload

import "time"

const (
	// enterLatency is the mean scheduling latency at which overload begins, and
	// exitLatency the one it must not exceed for overload to end.
	enterLatency = 10 * time.Millisecond
	exitLatency  = 2 * time.Millisecond
	// exitDelay is how long the load must have been low before overload ends.
	exitDelay = time.Second
	// enterShedFraction is the fraction of new requests shed for lack of processor time
	// at which a daemon counts as overloaded too, because shedding keeps the latency low.
	enterShedFraction = 0.2
	// enterLatencyForwarding and enterShedForwarding replace enterLatency and enterShedFraction
	// while neighbours accept what the daemon forwards: it then refuses few requests, although
	// carrying the others uses most of its processor time.
	enterLatencyForwarding = 40 * time.Millisecond
	enterShedForwarding    = 0.9
	// minHold and maxHold bound the minimum time out of rotation, which applies in a zone
	// with other daemons unless the balancer ignores the readiness. The time doubles when
	// overload returns within relapseWindow of its end: the caller that caused the
	// overload has then returned with the daemon's readiness.
	minHold       = 10 * time.Second
	maxHold       = 40 * time.Second
	relapseWindow = 10 * time.Second
	// balancerLag is how long a balancer takes to notice that a daemon is not ready.
	// After ignoringConns new connections beyond that time, the balancer is taken to
	// ignore the readiness; one or two may have been under way.
	balancerLag   = 3 * time.Second
	ignoringConns = 3
	// ewmaWeight is the weight of one sample in the moving average. With a sample every
	// 20 ms the average covers about half a second.
	ewmaWeight = 0.04
	// maxSample bounds one sample: a VM that was paused for seconds is not overloaded
	// when it resumes.
	maxSample = 200 * time.Millisecond
)

// Detector derives overload from the scheduling latency and the shed fraction. It is not
// safe for concurrent use.
type Detector struct {
	meanLatency time.Duration
	overloaded  bool
	// lowSince is when the load became low; it is zero while the load is not low.
	lowSince time.Time
	// holdUntil is the end of the minimum overload time and hold its duration; endedAt is
	// when overload last ended.
	holdUntil time.Time
	hold      time.Duration
	endedAt   time.Time
	// beganAt is when overload last began; newConns is the value that NewConns returns.
	beganAt  time.Time
	newConns int
}

// Observation is one sample of a daemon's load.
type Observation struct {
	// SchedLatency is how long a runnable goroutine waited before it ran.
	SchedLatency time.Duration
	// ShedFraction is the fraction of new requests that is refused.
	ShedFraction float64
	// Idle reports that no caller has a connection. The daemon is then busy with its own
	// work, as at its start in a large fleet, which taking it out of rotation does not
	// shorten.
	Idle bool
	// MayHold reports whether the daemon may stay out of rotation for longer than its
	// load lasts, because other daemons can serve its callers.
	MayHold bool
	// NewConns is the number of connections that callers have opened since the previous
	// observation.
	NewConns int
	// Forwards reports that neighbours accept the connections that the daemon forwards. Its zone
	// can then carry the flood, and callers that leave it would flood the next daemon.
	Forwards bool
}

// Observe records an observation and reports whether the daemon is overloaded.
func (d *Detector) Observe(now time.Time, o Observation) bool {
	sample := min(max(0, o.SchedLatency), maxSample)
	d.meanLatency += time.Duration(ewmaWeight * float64(sample-d.meanLatency))
	switch {
	case !o.Idle && o.exceeds(d.meanLatency):
		d.enter(now, o.MayHold && !o.Forwards)
		d.lowSince, d.newConns = time.Time{}, 0
	case d.meanLatency > exitLatency || o.ShedFraction > 0:
		d.lowSince, d.newConns = time.Time{}, 0
	case d.lowSince.IsZero():
		d.lowSince = now
	}
	if !d.overloaded || d.lowSince.IsZero() {
		return d.overloaded
	}
	if now.Sub(d.beganAt) >= balancerLag {
		d.newConns += o.NewConns
	}
	if now.Sub(d.lowSince) >= exitDelay && !(o.MayHold && d.mustHold(now)) {
		d.overloaded, d.endedAt = false, now
	}
	return d.overloaded
}

// exceeds reports whether overload begins at the given mean latency.
func (o Observation) exceeds(meanLatency time.Duration) bool {
	if o.Forwards {
		return meanLatency >= enterLatencyForwarding || o.ShedFraction >= enterShedForwarding
	}
	return meanLatency >= enterLatency || o.ShedFraction >= enterShedFraction
}

// mustHold reports whether a daemon whose load is low again must stay out of rotation.
//
// It guards against a zone whose daemons go out of rotation one after the other, each for
// its own reasons, until fewer are ready than the balancer requires. The balancer then
// uses all of them again, and a flood that had moved from one daemon to the next stays on
// one of them while the others idle; most requests of the zone stay unread for as long as
// the hold lasts. Daemons need no knowledge of each other for this: one that is not ready
// and gets new connections nevertheless knows that the balancer ignores its readiness.
func (d *Detector) mustHold(now time.Time) bool {
	return now.Before(d.holdUntil) && d.newConns < ignoringConns
}

// NewConns returns how many connections callers have opened to an overloaded daemon since
// its load became low, not counting those within balancerLag of the beginning of the
// overload.
func (d *Detector) NewConns() int { return d.newConns }

// enter records that the daemon is overloaded.
func (d *Detector) enter(now time.Time, mayHold bool) {
	if d.overloaded {
		return
	}
	d.overloaded, d.beganAt, d.newConns = true, now, 0
	switch {
	case !mayHold:
		d.hold = 0
	case !d.endedAt.IsZero() && now.Sub(d.endedAt) < relapseWindow:
		d.hold = min(max(minHold, 2*d.hold), maxHold)
	default:
		d.hold = minHold
	}
	d.holdUntil = now.Add(d.hold)
}

// Hold returns the minimum duration of the current or last overload.
func (d *Detector) Hold() time.Duration { return d.hold }

// MeanLatency returns the moving average of the scheduling latency.
func (d *Detector) MeanLatency() time.Duration { return d.meanLatency }
