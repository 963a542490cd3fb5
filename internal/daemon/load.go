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

// probeTurnEvery is how often the wait for a turn is measured; it costs some
// microseconds.
const probeTurnEvery = 20 * time.Millisecond

// loadWatch measures whether the daemon has processor time for its work.
//
// A timer does not tell: the runtime gives a goroutine that a timer wakes the next
// turn. One that yields goes behind all that are ready.
type loadWatch struct {
	// over tells that the balancer is to pass the daemon over.
	over atomic.Bool
	// accepts is how many new connections a second are taken; zero: all.
	accepts atomic.Int64
	// shed is the part of new requests to refuse, in thousandths.
	shed atomic.Int64
	// since is when the daemon became overloaded, in nanoseconds since started; zero: it
	// is not.
	since   atomic.Int64
	started time.Time
	// probed is when the present measurement began, in nanoseconds since started, zero
	// between two, and waited the last wait for a turn.
	probed, waited atomic.Int64
	// confirmed is when the store last told which routes are in force, in nanoseconds since
	// started; zero: it has not.
	confirmed atomic.Int64
	// lag is how long the balancer takes to notice.
	lag time.Duration
	// zone is how many daemons the availability zone has.
	zone atomic.Int64
}

// holdFrom is the number of daemons in a zone from which on one that is overloaded may
// stay out for longer than its load lasts.
const holdFrom = 4

func newLoadWatch(s settings.Settings) *loadWatch {
	return &loadWatch{started: time.Now(), lag: s.Stop.BalancerLag}
}

// overloaded tells whether the daemon has too little processor time.
func (l *loadWatch) overloaded() bool { return l.over.Load() }

// sheds tells whether a new request is to be refused at once, by its context.
func (l *loadWatch) sheds(ctx context.Context) bool {
	share := l.shedShare()
	if conn := readingConnOf(ctx); conn != nil && firstOnConnection(ctx) && (conn.admitted || conn.crowded) {
		return conn.crowded
	}
	if share == 0 {
		return false
	}
	return rand.Float64() < overload.ShedFractionFor(share, firstOnConnection(ctx))
}

// shedShare is the part of new requests to refuse.
func (l *loadWatch) shedShare() float64 {
	return max(float64(l.shed.Load())/shedUnit, overload.PendingShedFraction(l.waiting()))
}

// busy tells whether a part of new requests is refused at once.
func (l *loadWatch) busy() bool { return l.shedShare() > 0 }

// shedUnit is the unit of loadWatch.shed.
const shedUnit = 1000

// confirm notes that the store has just told which routes are in force.
func (l *loadWatch) confirm() { l.confirmed.Store(int64(time.Since(l.started))) }

// confirmedFor is for how long a daemon without processor time goes by the routes that it
// knows: with the turn that a new version takes to be read it stays within two seconds.
const confirmedFor = time.Second

// stale tells whether the routes may have changed without this daemon having come to read
// them. One that keeps up is told of a change as it happens.
func (l *loadWatch) stale() bool {
	return l.busy() && time.Since(l.started)-time.Duration(l.confirmed.Load()) > confirmedFor
}

// left tells whether the balancer has noticed that the daemon is overloaded.
func (l *loadWatch) left() bool {
	since := l.since.Load()
	return since > 0 && time.Since(l.started)-time.Duration(since) > l.lag
}

// acceptRate is how many new connections a second are to be taken; zero: all.
func (l *loadWatch) acceptRate() rate.Limit {
	measured, now := l.accepts.Load(), int64(overload.AcceptRate(l.waiting()))
	if measured == 0 || now > 0 && now < measured {
		return rate.Limit(now)
	}
	return rate.Limit(measured)
}

// slowFrom is the wait for a turn from which on a turn is slow.
const slowFrom = 20 * time.Millisecond

// slow tells whether goroutines wait long for their turns, also while the measurement is
// still waiting for its own.
func (l *loadWatch) slow() bool {
	return max(time.Duration(l.waited.Load()), l.waiting()) >= slowFrom
}

// late tells how long ago a request has come that is read now, by its context.
func (l *loadWatch) late(ctx context.Context) time.Duration {
	if !l.slow() {
		return 0
	}
	if conn, ok := ctx.Value(connKey{}).(*callerConn); ok {
		if since, ok := sinceData(conn.Conn); ok {
			return since
		}
	}
	return max(time.Duration(l.waited.Load()), l.waiting())
}

// sinceData returns how long ago the last bytes have come on a connection, by the kernel;
// false where it does not tell.
func sinceData(conn net.Conn) (since time.Duration, ok bool) {
	fd := descriptor(conn)
	if fd < 0 {
		return 0, false
	}
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// waiting is how long the present measurement has waited for its turn; zero between two.
func (l *loadWatch) waiting() time.Duration {
	probed := l.probed.Load()
	if probed == 0 {
		return 0
	}
	return max(0, time.Since(l.started)-time.Duration(probed))
}

// probe measures the wait for a turn.
func (l *loadWatch) probe() (now time.Time, wait time.Duration) {
	before := time.Now()
	l.probed.Store(int64(before.Sub(l.started)))
	runtime.Gosched()
	now = time.Now()
	wait = now.Sub(before)
	l.waited.Store(int64(wait))
	l.probed.Store(0)
	return now, wait
}

func (l *loadWatch) run(ctx context.Context, log *slog.Logger, conns *connections) {
	ticker := time.NewTicker(probeTurnEvery)
	defer ticker.Stop()
	var detector overload.Detector
	var shedder overload.Shedder
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now, wait := l.probe()
		share := shedder.Observe(now, wait)
		l.accepts.Store(int64(overload.AcceptRate(detector.MeanLatency())))
		l.shed.Store(int64(shedUnit * share))
		over := detector.Observe(now, overload.Observation{
			SchedLatency: wait, ShedFraction: share, MayHold: l.zone.Load() >= holdFrom, NewConns: conns.arrived(),
		})
		if l.over.Swap(over) == over {
			continue
		}
		line, since := event.OverloadEnded, time.Duration(0)
		lasted := now.Sub(l.started) - time.Duration(l.since.Load())
		if over {
			line, since, lasted = event.Overloaded, now.Sub(l.started), 0
		}
		l.since.Store(int64(since))
		line.Log(log, "wait_ms", detector.MeanLatency().Milliseconds(), "sheds", share, "callers", conns.open(),
			"hold_ms", detector.Hold().Milliseconds(), "lasted_ms", lasted.Milliseconds(), "arrived", detector.NewConns(), "zone_daemons", l.zone.Load())
	}
}
