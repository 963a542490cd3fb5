package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/overload"
	"github.com/savorystall/savorystall/internal/settings"
)

// latencyProbeInterval is how often the scheduling latency is measured. A measurement costs
// some microseconds.
const latencyProbeInterval = 20 * time.Millisecond

// loadMonitor measures whether the daemon has enough processor time.
//
// It cannot use the delay of a timer, because the runtime schedules a goroutine that a
// timer wakes next. A goroutine that yields is queued behind all runnable ones.
type loadMonitor struct {
	// overloadedNow reports whether the balancer is to skip the daemon.
	overloadedNow atomic.Bool
	// measuredAcceptRate is how many new connections to accept per second; zero means no
	// limit.
	measuredAcceptRate atomic.Int64
	// shedPermille is the fraction of new requests to refuse, in thousandths.
	shedPermille atomic.Int64
	// spread is set if connections are forwarded before any are refused. earlyPermille is the
	// fraction to forward then, in thousandths.
	spread        bool
	earlyPermille atomic.Int64
	// neighboursAccept reports whether neighbours accept the connections that are forwarded; nil if
	// connections are not spread.
	neighboursAccept func() bool
	// meanLatency is the moving average of the scheduling latency.
	meanLatency atomic.Int64
	// overloadedSince is when the daemon became overloaded, in nanoseconds since started;
	// zero if it is not overloaded.
	overloadedSince atomic.Int64
	started         time.Time
	// probeStart is when the current measurement began, in nanoseconds since started, or
	// zero if none is in progress. lastLatency is the result of the last measurement.
	probeStart, lastLatency atomic.Int64
	// peakLatency is the highest result since the last takePeakLatency.
	peakLatency atomic.Int64
	// routesConfirmedAt is the time as of which the store last confirmed the routes in force, in
	// nanoseconds since started; zero if it has not yet.
	routesConfirmedAt atomic.Int64
	// applyWithin is the time within which a change of the routes is to be in force.
	applyWithin time.Duration
	// storeOutOfTouch reports whether this daemon receives the store's changes late or not at all for
	// reasons of its own; nil if that is not known.
	storeOutOfTouch func() bool
	// balancerLag is how long the balancer takes to notice that the daemon is not ready.
	balancerLag time.Duration
	// link measures whether the link of the VM is full.
	link *linkMonitor
	// zoneDaemons is the number of daemons in the availability zone.
	zoneDaemons atomic.Int64
}

// minZoneDaemonsForHold is the number of daemons in an availability zone from which on an
// overloaded one may stay out of rotation for longer than its load lasts.
const minZoneDaemonsForHold = 4

func newLoadMonitor(s settings.Settings) *loadMonitor {
	l := &loadMonitor{started: time.Now(), balancerLag: s.Stop.BalancerLag, applyWithin: s.Routing.ApplyWithin, spread: s.Fleet.Spread, link: newLinkMonitor()}
	l.link.schedLatency = l.takePeakLatency
	return l
}

// overloaded reports whether the VM has too little processor time or a full link, or does not know the
// routes that are in force.
func (l *loadMonitor) overloaded() bool {
	return l.overloadedNow.Load() || l.link.limited() || l.routesBehind()
}

// shouldShed reports whether the new request with the given context is to be refused at
// once.
func (l *loadMonitor) shouldShed(ctx context.Context) bool {
	if l.link.mustRefuse() {
		return true
	}
	fraction := l.shedFraction()
	if conn := trackedConnOf(ctx); conn != nil && isFirstRequest(ctx) && (conn.mustServe || conn.mustRefuse) {
		return conn.mustRefuse
	}
	if fraction == 0 {
		return false
	}
	return rand.Float64() < overload.ShedFractionFor(fraction, isFirstRequest(ctx))
}

// shedFraction returns the fraction of new requests to refuse.
func (l *loadMonitor) shedFraction() float64 {
	return max(float64(l.shedPermille.Load())/shedScale, overload.PendingShedFraction(l.pendingLatency()))
}

// earlyFraction returns the fraction of new connections to forward before any are refused.
func (l *loadMonitor) earlyFraction() float64 { return float64(l.earlyPermille.Load()) / shedScale }

// shedding reports whether a fraction of new requests is refused.
func (l *loadMonitor) shedding() bool { return l.shedFraction() > 0 }

// shedScale is the scale of loadMonitor.shedPermille.
const shedScale = 1000

// confirmRoutes records that the store has confirmed the routes in force as of the given time.
func (l *loadMonitor) confirmRoutes(at time.Time) {
	l.routesConfirmedAt.Store(int64(at.Sub(l.started)))
}

// maxRoutesAge is how long a daemon without processor time may use its known routes without
// a confirmation. Including the time until a new version is read, it stays within two
// seconds.
const maxRoutesAge = time.Second

// routesStale reports whether the routes may have changed without this daemon having read
// the change. A daemon that keeps up is notified of a change as it happens.
func (l *loadMonitor) routesStale() bool {
	return l.routesAge() > maxRoutesAge && (l.shedding() || l.outOfTouch())
}

// routesAge returns how long ago the store confirmed the routes in force.
func (l *loadMonitor) routesAge() time.Duration {
	return time.Since(l.started) - time.Duration(l.routesConfirmedAt.Load())
}

// behindMargin is by how much the routes of a daemon that still serves are younger than those that a
// change has to have replaced.
const behindMargin = 500 * time.Millisecond

// routesBehind reports whether this daemon is to take no request, since it would be handled by routes
// that are no longer in force elsewhere: it has not been in contact with the store for too long, and for
// reasons of its own. If the store is unreachable, or the whole zone is cut off, no
// daemon has later routes.
func (l *loadMonitor) routesBehind() bool {
	return l.routesConfirmedAt.Load() != 0 && l.routesAge() > l.applyWithin-behindMargin && l.outOfTouch()
}

// outOfTouch reports whether the daemon's own messages are late or get no answer.
func (l *loadMonitor) outOfTouch() bool {
	return l.link.congested.Load() || l.storeOutOfTouch != nil && l.storeOutOfTouch()
}

// balancerNoticed reports whether the balancer has noticed that the daemon is overloaded.
func (l *loadMonitor) balancerNoticed() bool {
	since := l.overloadedSince.Load()
	return since > 0 && time.Since(l.started)-time.Duration(since) > l.balancerLag
}

// acceptRate returns how many new connections to accept per second; zero means no limit.
func (l *loadMonitor) acceptRate() rate.Limit {
	lowest := 0.0 // none
	for _, limit := range []float64{float64(l.measuredAcceptRate.Load()), overload.AcceptRate(l.pendingLatency())} {
		if limit > 0 && (lowest == 0 || limit < lowest) {
			lowest = limit
		}
	}
	return rate.Limit(lowest)
}

// slowLatency is the scheduling latency from which on it counts as high.
const slowLatency = 20 * time.Millisecond

// slow reports whether the scheduling latency is high, also while the current measurement
// has not completed.
func (l *loadMonitor) slow() bool {
	return max(time.Duration(l.lastLatency.Load()), l.pendingLatency()) >= slowLatency
}

// readDelay returns how long the request with the given context, which is being read now,
// has waited since it arrived.
func (l *loadMonitor) readDelay(ctx context.Context) time.Duration {
	if !l.slow() {
		return 0
	}
	if conn, ok := ctx.Value(connContextKey{}).(*callerConn); ok {
		if since, ok := sinceLastData(conn.Conn); ok {
			return since
		}
	}
	return max(time.Duration(l.lastLatency.Load()), l.pendingLatency())
}

// sinceLastData returns how long ago the last data arrived on a connection according to the
// kernel, and false if the kernel does not report it.
func sinceLastData(conn net.Conn) (since time.Duration, ok bool) {
	fd := fileDescriptor(conn)
	if fd < 0 {
		return 0, false
	}
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// pendingLatency returns how long the current measurement has waited to be scheduled; zero
// if none is in progress.
func (l *loadMonitor) pendingLatency() time.Duration {
	probed := l.probeStart.Load()
	if probed == 0 {
		return 0
	}
	return max(0, time.Since(l.started)-time.Duration(probed))
}

// measureLatency measures the scheduling latency.
func (l *loadMonitor) measureLatency() (now time.Time, latency time.Duration) {
	before := time.Now()
	l.probeStart.Store(int64(before.Sub(l.started)))
	runtime.Gosched()
	now = time.Now()
	latency = now.Sub(before)
	l.lastLatency.Store(int64(latency))
	for peak := l.peakLatency.Load(); int64(latency) > peak && !l.peakLatency.CompareAndSwap(peak, int64(latency)); {
		peak = l.peakLatency.Load()
	}
	l.probeStart.Store(0)
	return now, latency
}

// takePeakLatency returns the highest scheduling latency since its last call, including the measurement
// in progress.
func (l *loadMonitor) takePeakLatency() time.Duration {
	return max(time.Duration(l.peakLatency.Swap(0)), time.Duration(l.lastLatency.Load()), l.pendingLatency())
}

func (l *loadMonitor) run(ctx context.Context, log *slog.Logger, conns *connTracker) {
	ticker := time.NewTicker(latencyProbeInterval)
	defer ticker.Stop()
	var detector overload.Detector
	var shedder overload.Shedder
	early := overload.NewEarlyShedder()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now, latency := l.measureLatency()
		shedFraction := shedder.Observe(now, latency)
		l.measuredAcceptRate.Store(int64(overload.AcceptRate(detector.MeanLatency())))
		l.shedPermille.Store(int64(shedScale * shedFraction))
		l.meanLatency.Store(int64(detector.MeanLatency()))
		if l.spread {
			l.earlyPermille.Store(int64(shedScale * early.Observe(now, latency)))
		}
		overloaded := detector.Observe(now, overload.Observation{
			SchedLatency: latency, ShedFraction: shedFraction, Idle: conns.countOpen() == 0, MayHold: l.zoneDaemons.Load() >= minZoneDaemonsForHold, NewConns: conns.takeOpenedConns(),
			Forwards: l.neighboursAccept != nil && l.neighboursAccept(),
		})
		if l.overloadedNow.Swap(overloaded) == overloaded {
			continue
		}
		ev, since := event.OverloadEnded, time.Duration(0)
		duration := now.Sub(l.started) - time.Duration(l.overloadedSince.Load())
		if overloaded {
			ev, since, duration = event.Overloaded, now.Sub(l.started), 0
		}
		l.overloadedSince.Store(int64(since))
		ev.Log(log, "wait_ms", detector.MeanLatency().Milliseconds(), "sheds", shedFraction, "callers", conns.countOpen(),
			"hold_ms", detector.Hold().Milliseconds(), "lasted_ms", duration.Milliseconds(), "arrived", detector.NewConns(), "zone_daemons", l.zoneDaemons.Load())
	}
}
