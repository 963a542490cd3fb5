// Package overload decides whether a daemon should be passed over by the balancer
// because it has too little processor time for what reaches it. It has no network;
// times are arguments.
//
// Load pattern: a balancer spreads callers by a hash, so that one of many daemons,
// or the only one of an availability zone, gets several times its part; and VMs are
// of unequal size, or slowed by others. Such a daemon reads requests seconds after
// they were sent, and answers callers that have gone, while its neighbours idle. It
// cannot see how long requests have waited in the kernel for it, but it can see how
// long a goroutine that is ready waits for its turn.
//
// Where a turn takes 10 ms on average, a request that takes ten of them takes longer than
// the shortest objectives (100 ms). A balancer needs two to three seconds to notice, so that
// a daemon stays out for as long as it takes to be noticed.
package overload

import "time"

const (
	// high and low are the mean wait at which overload begins, and below which it may
	// end.
	high = 10 * time.Millisecond
	low  = 2 * time.Millisecond
	// calm is how long the wait must have been low for it to end.
	calm = time.Second
	// sheds is the part of new requests refused for want of processor time from which
	// on a daemon is overloaded too: refusals keep the wait low.
	sheds = 0.2
	// holdBase and holdMost bound how long a daemon stays out at least, in a zone that
	// has others, unless the balancer uses it all the same. The time doubles where it is
	// overloaded again within relapse of its return: the caller that was too much for it
	// has come back with it.
	holdBase = 10 * time.Second
	holdMost = 40 * time.Second
	relapse  = 10 * time.Second
	// noticed is how long a balancer takes to notice that a daemon is out, and unheeded
	// from how many new connections after it on it is taken not to heed that. One or two
	// may have been under way.
	noticed  = 3 * time.Second
	unheeded = 3
	// weight is that of one observation in the mean: of one in 20 ms, about half a
	// second of them.
	weight = 0.04
	// most bounds one observation. A VM that stood still for seconds is not
	// overloaded when it wakes.
	most = 200 * time.Millisecond
)

// Detector follows how long a ready goroutine waits for its turn. It is not safe for concurrent use.
type Detector struct {
	mean time.Duration
	over bool
	// quiet is since when the mean has been low; zero: it is not.
	quiet time.Time
	// until is how long it stays overloaded at least, hold that time, ended when it
	// last ended.
	until time.Time
	hold  time.Duration
	ended time.Time
	// began is when it last became overloaded, arrived what Arrived returns.
	began   time.Time
	arrived int
}

// Observation is what a daemon sees of its load at one moment.
type Observation struct {
	// Wait is how long a ready goroutine waited for its turn.
	Wait time.Duration
	// Shed is the part of new requests that is refused.
	Shed float64
	// Holds tells whether the daemon may stay out for longer than its load lasts: where
	// others can take its callers.
	Holds bool
	// Arrived is how many new connections callers have opened since the observation
	// before.
	Arrived int
}

// Note takes in an observation, and tells whether the daemon is overloaded.
func (d *Detector) Note(now time.Time, o Observation) bool {
	wait := min(max(0, o.Wait), most)
	d.mean += time.Duration(weight * float64(wait-d.mean))
	switch {
	case d.mean >= high || o.Shed >= sheds:
		d.begin(now, o.Holds)
		d.quiet, d.arrived = time.Time{}, 0
	case d.mean > low || o.Shed > 0:
		d.quiet, d.arrived = time.Time{}, 0
	case d.quiet.IsZero():
		d.quiet = now
	}
	if !d.over || d.quiet.IsZero() {
		return d.over
	}
	if now.Sub(d.began) >= noticed {
		d.arrived += o.Arrived
	}
	if now.Sub(d.quiet) >= calm && !(o.Holds && d.holds(now)) {
		d.over, d.ended = false, now
	}
	return d.over
}

// holds tells whether a daemon that keeps up again is to stay out.
//
// It guards against a zone whose daemons stay out one after the other, each for its own
// reasons, until fewer are in rotation than a balancer heeds: it then uses all again, and
// a flood that went from one to the next stays on one of them while the others idle. It
// shows as most requests of a zone unread for as long as the hold lasts. None of them needs
// to know of the others: who is out and gets new connections all the same is not heeded.
func (d *Detector) holds(now time.Time) bool {
	return now.Before(d.until) && d.arrived < unheeded
}

// Arrived returns how many connections callers have opened to a daemon that is out, after
// the balancer was to know it and since the daemon keeps up again.
func (d *Detector) Arrived() int { return d.arrived }

// begin notes that the daemon is overloaded.
func (d *Detector) begin(now time.Time, holds bool) {
	if d.over {
		return
	}
	d.over, d.began, d.arrived = true, now, 0
	switch {
	case !holds:
		d.hold = 0
	case !d.ended.IsZero() && now.Sub(d.ended) < relapse:
		d.hold = min(max(holdBase, 2*d.hold), holdMost)
	default:
		d.hold = holdBase
	}
	d.until = now.Add(d.hold)
}

// Hold returns for how long the daemon stays overloaded at least since it last became so.
func (d *Detector) Hold() time.Duration { return d.hold }

// Mean returns the mean wait.
func (d *Detector) Mean() time.Duration { return d.mean }
