// Package linkload decides when the network link of a VM is full, and how many requests the daemon
// then takes. It does no I/O; times are arguments.
//
// The load pattern it addresses: a balancer distributes callers by a hash, so that one VM receives
// several times its share, while its processor is idle because the bodies have not arrived yet. All
// messages of the daemon itself then wait in the same queue as the bodies, for seconds: it learns of no
// change of the configuration, of no target that leaves and of no grant, so that it refuses nearly all
// that it has received. The queue is visible in the delay of the daemon's own messages only.
package linkload

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

const (
	// CongestedDelay is the round trip to another daemon from which on the link counts as full. It is
	// well above the round trip between two regions.
	CongestedDelay = 250 * time.Millisecond
	// minProbedPeers is the number of daemons that all have to be that far away: one alone may have a
	// full link itself.
	minProbedPeers = 3
	// connectDelay is the same for a daemon that has not answered yet, to which a connection may have to
	// be opened first.
	connectDelay = 3 * CongestedDelay
	// probeLifetime is how long an answered probe counts.
	probeLifetime = 3 * time.Second
	// scheduledSteps is how often a round trip waits on this daemon for processor time at most: to be
	// sent, written, read and delivered.
	scheduledSteps = 4
)

// Monitor derives the delay of the daemon's own messages from round trips to other daemons. It is not
// safe for concurrent use.
type Monitor struct {
	probes map[ident.Daemon]*probe
}

// probe is the state of the probes of one daemon.
type probe struct {
	// sentAt is when the probe in progress was sent; zero if none is.
	sentAt time.Time
	// delay is the round trip of the last answered probe, answeredAt when its answer came.
	delay      time.Duration
	answeredAt time.Time
	// schedLatency is the highest scheduling latency of this daemon since the probe in progress was
	// sent.
	schedLatency time.Duration
}

// NewMonitor returns a Monitor without probes.
func NewMonitor() *Monitor { return &Monitor{probes: map[ident.Daemon]*probe{}} }

// Sent records that a probe of a daemon was sent. It returns false if one is in progress.
func (m *Monitor) Sent(now time.Time, to ident.Daemon) bool {
	p := m.probes[to]
	if p == nil {
		p = &probe{}
		m.probes[to] = p
	}
	if !p.sentAt.IsZero() {
		return false
	}
	p.sentAt, p.schedLatency = now, 0
	return true
}

// ObserveLatency records the scheduling latency of this daemon. The part of a round trip that it explains
// does not count as delay: a daemon that is short of processor time reads the answers late, whereas its
// link may be idle.
func (m *Monitor) ObserveLatency(latency time.Duration) {
	for _, p := range m.probes {
		if !p.sentAt.IsZero() {
			p.schedLatency = max(p.schedLatency, latency)
		}
	}
}

// Answered records that a daemon has answered.
func (m *Monitor) Answered(now time.Time, from ident.Daemon) {
	if p := m.probes[from]; p != nil && !p.sentAt.IsZero() {
		p.delay, p.answeredAt, p.sentAt = p.pending(now), now, time.Time{}
	}
}

// Delay returns the least round trip to any of the daemons probed lately; zero if they are too few to
// tell. Probes in progress count with the time that they have taken so far.
func (m *Monitor) Delay(now time.Time) time.Duration {
	var least time.Duration
	probed := 0
	for id, p := range m.probes {
		delay, ok := p.current(now)
		if !ok {
			delete(m.probes, id)
			continue
		}
		if probed++; probed == 1 || delay < least {
			least = delay
		}
	}
	if probed < minProbedPeers {
		return 0
	}
	return least
}

// current returns the round trip to a daemon; ok is false if it is not known any more.
func (p *probe) current(now time.Time) (delay time.Duration, ok bool) {
	known := !p.answeredAt.IsZero() && now.Sub(p.answeredAt) <= probeLifetime
	if p.sentAt.IsZero() {
		return p.delay, known
	}
	pending := p.pending(now)
	switch {
	case known:
		return max(p.delay, pending), true
	case pending < connectDelay:
		return 0, true
	}
	return pending, true
}

// pending returns how long the probe in progress has taken so far, less what the scheduling latency
// explains.
func (p *probe) pending(now time.Time) time.Duration {
	return max(0, now.Sub(p.sentAt)-scheduledSteps*p.schedLatency)
}

const (
	// cutInterval is the least time between two reductions of the rate.
	cutInterval = time.Second
	// cutFactor is the factor of a reduction, and growthPerSecond that of the increase in each second
	// without congestion.
	cutFactor       = 0.5
	growthPerSecond = 1.5
	// MinRate is the lowest rate, in requests per second: some must be served to find out whether
	// the load is over.
	MinRate = 10.0
	// minLimitTime is how long a limit holds at least. It exceeds the time that a balancer takes to
	// notice that the daemon is not ready.
	minLimitTime = 10 * time.Second
	// maxObservedStep bounds the time that one observation accounts for.
	maxObservedStep = time.Second
)

// Limiter bounds the rate of requests while the link is full. It is not safe for concurrent use.
type Limiter struct {
	rate float64
	// cutAt is when the rate was reduced last, observedAt when the last observation was made.
	cutAt, observedAt time.Time
}

// Observe records the delay of the daemon's own messages and how many connections of
// callers it has accepted per second lately. It returns how many requests to take per second; zero means no limit.
func (l *Limiter) Observe(now time.Time, delay time.Duration, accepted float64) float64 {
	step := min(now.Sub(l.observedAt), maxObservedStep).Seconds()
	l.observedAt = now
	switch {
	case delay >= CongestedDelay:
		// A longer delay is that of messages that were sent before the last reduction could show.
		if now.Sub(l.cutAt) >= max(cutInterval, delay) {
			l.cut(now, accepted)
		}
	case l.rate > 0:
		l.rate *= 1 + (growthPerSecond-1)*step
		if now.Sub(l.cutAt) >= minLimitTime && accepted < l.rate/2 {
			l.rate = 0 // the limit has no effect any more
		}
	}
	return l.rate
}

// cut reduces the rate.
func (l *Limiter) cut(now time.Time, accepted float64) {
	from := accepted
	if l.rate > 0 {
		from = min(from, l.rate)
	}
	l.rate, l.cutAt = max(MinRate, cutFactor*from), now
}
