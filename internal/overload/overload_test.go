package overload_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/overload"
)

const tick = 20 * time.Millisecond

// feed passes samples of a constant latency to a detector for the given duration.
func feed(d *overload.Detector, now *time.Time, latency, duration time.Duration) (overloaded bool) {
	for end := now.Add(duration); now.Before(end); {
		*now = now.Add(tick + latency)
		overloaded = d.Observe(*now, overload.Observation{SchedLatency: latency})
	}
	return overloaded
}

// A daemon receives five times its capacity for some seconds and then less again. It must
// be out of rotation meanwhile and return afterwards.
func TestOverloadBeginsAndEnds(t *testing.T) {
	is := is.New(t)
	var d overload.Detector
	now := time.Unix(1000, 0)
	is.Equal(feed(&d, &now, time.Millisecond, 5*time.Second), false)
	is.Equal(feed(&d, &now, 30*time.Millisecond, 4*time.Second), true)
	is.Equal(feed(&d, &now, 5*time.Millisecond, 3*time.Second), true) // above exitLatency
	is.Equal(feed(&d, &now, time.Millisecond, 4*time.Second), false)
}

// A VM is paused for five seconds and resumes: a single sample is very long, which says
// nothing about its load.
func TestVMPauseIsNotOverload(t *testing.T) {
	is := is.New(t)
	var d overload.Detector
	now := time.Unix(1000, 0)
	feed(&d, &now, time.Millisecond, time.Second)
	now = now.Add(5 * time.Second)
	is.Equal(d.Observe(now, overload.Observation{SchedLatency: 5 * time.Second}), false)
	is.Equal(feed(&d, &now, time.Millisecond, time.Second), false)
}

// A processor with a CPU quota runs at full speed and is then throttled for the rest of a
// tenth of a second, so that one sample in eight is long although the daemon keeps up.
func TestCPUQuotaIsNotOverload(t *testing.T) {
	is := is.New(t)
	var d overload.Detector
	now := time.Unix(1000, 0)
	for range 100 {
		is.Equal(feed(&d, &now, 0, 140*time.Millisecond), false)
		now = now.Add(40 * time.Millisecond)
		is.Equal(d.Observe(now, overload.Observation{SchedLatency: 30 * time.Millisecond}), false)
	}
}

// The balancer directs a caller that overloads a VM back to it as soon as the VM is
// ready. If the VM were ready again after a second each time, it would be overloaded
// again three seconds later, and the caller's requests would be refused or late for as
// long as it sends them. The VM must stay out of rotation for longer each time.
func TestHoldDoublesAfterRelapse(t *testing.T) {
	is := is.New(t)
	var d overload.Detector
	now := time.Unix(1000, 0)
	overloadDuration := func() (duration time.Duration) {
		for !d.Observe(now, overload.Observation{SchedLatency: 30 * time.Millisecond, MayHold: true}) {
			now = now.Add(tick)
		}
		began := now
		for d.Observe(now, overload.Observation{MayHold: true}) {
			now = now.Add(tick)
		}
		return now.Sub(began)
	}
	first := overloadDuration()
	now = now.Add(2 * time.Second)
	second := overloadDuration()
	is.True(first >= 9*time.Second)
	is.True(second >= 19*time.Second)
	now = now.Add(time.Minute)
	is.True(overloadDuration() < second) // no relapse
}

// Guards against a VM that keeps up and stays out of rotation for ten seconds although callers
// still reach it.
func TestVMThatCallersStillReachReturnsToRotation(t *testing.T) {
	const (
		connInterval = 100 * time.Millisecond
		maxOut       = 5 * time.Second
	)
	is := is.New(t)
	var d overload.Detector
	began := time.Unix(1000, 0)
	is.True(d.Observe(began, overload.Observation{ShedFraction: 0.25, MayHold: true}))
	now := began
	for overloaded := true; overloaded; {
		now = now.Add(tick)
		o := overload.Observation{MayHold: true}
		if now.Sub(began)%connInterval == 0 {
			o.NewConns = 1
		}
		overloaded = d.Observe(now, o)
	}
	is.True(now.Sub(began) <= maxOut)
}

// In a small zone the other daemons may not be able to serve its callers: the daemon
// becomes ready as soon as it keeps up.
func TestNoHoldInSmallZone(t *testing.T) {
	is := is.New(t)
	var d overload.Detector
	now := time.Unix(1000, 0)
	is.Equal(feed(&d, &now, 30*time.Millisecond, time.Second), true)
	is.Equal(feed(&d, &now, 0, 2500*time.Millisecond), false)
}

// Shedding keeps the latency low. A daemon that sheds part of its requests counts as
// overloaded nevertheless, so that the balancer notices.
func TestSheddingCountsAsOverload(t *testing.T) {
	is := is.New(t)
	var d overload.Detector
	now := time.Unix(1000, 0)
	is.Equal(d.Observe(now, overload.Observation{ShedFraction: 0.1}), false)
	is.Equal(d.Observe(now, overload.Observation{ShedFraction: 0.3}), true)
	for range 200 {
		now = now.Add(tick)
		is.Equal(d.Observe(now, overload.Observation{ShedFraction: 0.1}), true) // still shedding
	}
	is.Equal(feed(&d, &now, 0, 2*time.Second), false)
}

// Guards against a daemon that starts among hundreds of others, is busy with its links for a
// second, and stays out of rotation for ten although no caller has reached it.
func TestStartWithoutCallersIsNotOverload(t *testing.T) {
	is := is.New(t)
	var d overload.Detector
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(tick)
		is.Equal(d.Observe(now, overload.Observation{SchedLatency: 50 * time.Millisecond, ShedFraction: 0.5, Idle: true, MayHold: true}), false)
	}
	is.Equal(d.Observe(now.Add(tick), overload.Observation{SchedLatency: 50 * time.Millisecond, MayHold: true}), true) // with callers it is
}

// Guards against a daemon that leaves rotation although its neighbours serve what it forwards, and against
// one that stays although they do not, or although its events are late.
func TestDaemonWhoseNeighboursAcceptStaysInRotation(t *testing.T) {
	is := is.New(t)
	observe := func(latency time.Duration, shedFraction float64, forwards bool) (overloaded bool, hold time.Duration) {
		var d overload.Detector
		for i := range 100 {
			overloaded = d.Observe(time.Unix(1000, 0).Add(time.Duration(i)*tick), overload.Observation{SchedLatency: latency, ShedFraction: shedFraction, MayHold: true, Forwards: forwards})
		}
		return overloaded, d.Hold()
	}
	for _, c := range []struct {
		latency              time.Duration
		shedFraction         float64
		forwards, overloaded bool
	}{
		{20 * time.Millisecond, 0.5, true, false},
		{20 * time.Millisecond, 0.5, false, true},
		{0, 0.95, true, true},
		{100 * time.Millisecond, 0, true, true},
	} {
		overloaded, hold := observe(c.latency, c.shedFraction, c.forwards)
		is.Equal(overloaded, c.overloaded)
		is.Equal(hold > 0, c.overloaded && !c.forwards)
	}
}
