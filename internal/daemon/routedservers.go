package daemon

import (
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/gateway"
	"github.com/savorystall/savorystall/internal/overload"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/internal/settings"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// routedServers holds the HTTP servers of a daemon that serves routes together with their
// bound listeners.
type routedServers struct {
	callers, operators, readiness *http.Server
	callersListener               *drainableListener
	// limitedListener limits the rate of the connections that callersListener accepts.
	limitedListener *rateLimitedListener
	connections     *connTracker
	// forwardedListener accepts connections forwarded by neighbours; nil if none are
	// accepted.
	forwardedListener *forwardedListener
	operatorsListener net.Listener
	readinessListener net.Listener
}

func newRoutedServers(s settings.Settings, g *gateway.Server, life *Lifecycle, loop *control.BookingLoop, load *loadMonitor, h *connForwarder, watcher *disconnectWatcher,
	routes *route.Holder, metrics *telemetry.Metrics, log *slog.Logger) (*routedServers, error) {
	ops := &routedOperators{life: life, loop: loop, load: load, metrics: metrics, evacuated: g.Evacuated, routes: routes}
	r := &routedServers{connections: newConnTracker(maxCallerConnections(s.Memory))}
	r.connections.ends = newEndRecorder(metrics, log)
	h.unreadConns = r.connections.countUnread
	load.link.conns = r.connections
	h.routesVersion = routesVersion(routes)
	var err error
	if r.callersListener, err = listenDrainable(s.Callers.Listen); err != nil {
		return nil, merry.Prepend(err, "callers' listener")
	}
	if s.Memory.SlowCallers > 0 {
		if err = boundBuffers(r.callersListener.TCPListener); err != nil {
			return nil, merry.Prepend(err, "callers' listener")
		}
	}
	r.limitedListener = newRateLimitedListener(r.callersListener, load.acceptRate, h.tryForward)
	r.limitedListener.maxQueue = maxAcceptQueue(s.Memory)
	r.limitedListener.othersServe = func() bool { return load.zoneDaemons.Load() > 1 }
	if r.operatorsListener, err = net.Listen("tcp", s.Operators.Listen); err != nil {
		return nil, merry.Prepend(err, "operators' listener")
	}
	if s.Readiness.Listen != "" {
		if r.readinessListener, err = net.Listen("tcp", s.Readiness.Listen); err != nil {
			return nil, merry.Prepend(err, "readiness listener")
		}
	}
	if s.Fleet.Handover != settings.HandoverNone {
		accepts := func() bool { return h.currentLoad().AcceptsForwarded() && life.State() == StateReady }
		if r.forwardedListener, err = listenForwarded(s.Fleet, accepts, h.routesVersion); err != nil {
			return nil, merry.Prepend(err, "handover listener")
		}
	}
	if s.Memory.SlowCallers > 0 && r.forwardedListener != nil {
		if err = boundBuffers(r.forwardedListener.TCPListener); err != nil {
			return nil, merry.Prepend(err, "handover listener")
		}
	}
	r.callers = &http.Server{
		ConnState:         func(c net.Conn, state http.ConnState) { r.connections.track(c, state); watcher.pollIfDue(c, state) },
		ConnContext:       withConn,
		Handler:           withConnectionHeaders(s.Callers.IdleTimeout, func() bool { return r.connections.nearLimit() || load.link.limited() }, resetAborted(closeWhenStopping(life, countRequests(trackRequests(g))))),
		ReadHeaderTimeout: s.Callers.HeaderTimeout,
		MaxHeaderBytes:    s.Callers.HeaderBytes,
		IdleTimeout:       s.Callers.IdleTimeout,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
	r.operators = &http.Server{Handler: ops.handler(), ReadHeaderTimeout: operatorsTimeout, ReadTimeout: operatorsTimeout}
	r.readiness = &http.Server{Handler: http.HandlerFunc(ops.ready), ReadHeaderTimeout: operatorsTimeout}
	return r, nil
}

// routesVersion returns a function that returns the version of the routes in force, or zero
// if there are none.
func routesVersion(routes *route.Holder) func() uint64 {
	return func() uint64 {
		if table := routes.Current(); table != nil {
			return table.Version
		}
		return 0
	}
}

// connectionsPerMB bounds the callers' connections by the memory of the VM. Each connection
// takes about 20 kB with its buffers and its goroutine, so four per MB fill a twelfth of
// the memory.
const connectionsPerMB = 4

// maxCallerConnections returns the limit on callers' connections; zero means no limit.
func maxCallerConnections(m settings.Memory) int {
	limit := m.Descriptors / 2
	if m.Limit > 0 && (limit == 0 || limit > connectionsPerMB*m.Limit) {
		limit = connectionsPerMB * m.Limit
	}
	return limit
}

// maxAcceptQueue returns how many connections may wait to be served while their rate is limited.
func maxAcceptQueue(m settings.Memory) int {
	if m.Descriptors == 0 {
		return overload.MaxAcceptQueue
	}
	return min(overload.MaxAcceptQueue, m.Descriptors/8)
}

// keepAliveMargin is by how much the idle timeout announced to callers is shorter than the
// actual one, so that a caller does not send a request while its connection is being
// closed.
const keepAliveMargin = time.Second

// withConnectionHeaders states in responses how long an idle connection is kept open. It requests
// its close if the number of connections nears its limit, which file descriptors
// and memory impose, since a new connection may reach another daemon. A connection
// forwarded by a neighbour is closed after its first response: the neighbour does not
// parse the response and recognizes from the close that none is outstanding.
func withConnectionHeaders(idle time.Duration, nearLimit func() bool, next http.Handler) http.Handler {
	value := "timeout=" + strconv.Itoa(int(max(time.Second, idle-keepAliveMargin).Seconds()))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if nearLimit() || isForwarded(r.Context()) {
			w.Header().Set("Connection", "close")
		} else {
			w.Header().Set("Keep-Alive", value)
		}
		next.ServeHTTP(w, r)
	})
}
