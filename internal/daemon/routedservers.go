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
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/internal/settings"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// routedServers are the listeners of a daemon that serves routes, already bound.
type routedServers struct {
	callers, operators, readiness *http.Server
	callersListener               *drainableListener
	connections                   *connTracker
	// takeoverListener takes connections over from neighbours; nil: none are taken.
	takeoverListener  *forwardedListener
	operatorsListener net.Listener
	readinessListener net.Listener
}

func newRoutedServers(s settings.Settings, g *gateway.Server, life *Lifecycle, loop *control.BookingLoop, load *loadMonitor, h *connForwarder, left *disconnectWatcher,
	routes *route.Holder, metrics *telemetry.Metrics) (*routedServers, error) {
	ops := &routedOperators{life: life, loop: loop, load: load, metrics: metrics}
	r := &routedServers{connections: newConnTracker(callersConnections(s.Memory))}
	h.unreadConns = r.connections.countUnread
	h.routesVersion = routesVersion(routes)
	var err error
	if r.callersListener, err = listenDrainable(s.Callers.Listen); err != nil {
		return nil, merry.Prepend(err, "callers' listener")
	}
	if r.operatorsListener, err = net.Listen("tcp", s.Operators.Listen); err != nil {
		return nil, merry.Prepend(err, "operators' listener")
	}
	if s.Readiness.Listen != "" {
		if r.readinessListener, err = net.Listen("tcp", s.Readiness.Listen); err != nil {
			return nil, merry.Prepend(err, "readiness listener")
		}
	}
	if s.Fleet.Handover != settings.HandoverNone {
		takes := func() bool { return h.currentLoad().AcceptsForwarded() && life.State() == StateReady }
		if r.takeoverListener, err = listenForwarded(s.Fleet, takes, h.routesVersion); err != nil {
			return nil, merry.Prepend(err, "listener for connections of neighbours")
		}
	}
	r.callers = &http.Server{
		ConnState: func(c net.Conn, state http.ConnState) {
			r.connections.track(c, state)
			left.pollIfDue(c, state)
		},
		ConnContext:       withConn,
		Handler:           keeping(s.Callers.IdleTimeout, r.connections.nearLimit, closeWhenStopping(life, countRequests(g))),
		ReadHeaderTimeout: s.Callers.HeaderTimeout,
		MaxHeaderBytes:    s.Callers.HeaderBytes,
		IdleTimeout:       s.Callers.IdleTimeout,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
	r.operators = &http.Server{Handler: ops.handler(), ReadHeaderTimeout: operatorsTimeout, ReadTimeout: operatorsTimeout}
	r.readiness = &http.Server{Handler: http.HandlerFunc(ops.ready), ReadHeaderTimeout: operatorsTimeout}
	return r, nil
}

// routesVersion returns a function that tells the version of the routes in force; zero: none.
func routesVersion(routes *route.Holder) func() uint64 {
	return func() uint64 {
		if table := routes.Current(); table != nil {
			return table.Version
		}
		return 0
	}
}

// connectionsPerMB bounds the callers' connections by the VM's memory: each takes
// some 20 kB with its buffers and its goroutine, so that four fill a twelfth of it.
const connectionsPerMB = 4

// callersConnections bounds the callers' connections; zero means no bound.
func callersConnections(m settings.Memory) int {
	bound := m.Descriptors / 2
	if m.Limit > 0 && (bound == 0 || bound > connectionsPerMB*m.Limit) {
		bound = connectionsPerMB * m.Limit
	}
	return bound
}

// idleMargin is how much less than the truth callers are told of how long an
// unused connection is kept, so that no request crosses its close.
const idleMargin = time.Second

// keeping tells callers how long their connections are kept, and to close them
// where descriptors or processor time run short: a new one may lead elsewhere. One that a
// neighbour passed on ends with its first answer, so that the neighbour, which does not read
// it, knows from its end that no answer is owed.
func keeping(idle time.Duration, pressed func() bool, next http.Handler) http.Handler {
	value := "timeout=" + strconv.Itoa(int(max(time.Second, idle-idleMargin).Seconds()))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if pressed() || isForwarded(r.Context()) {
			w.Header().Set("Connection", "close")
		} else {
			w.Header().Set("Keep-Alive", value)
		}
		next.ServeHTTP(w, r)
	})
}
