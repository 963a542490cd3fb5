package daemon

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/handover"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/settings"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// maxForwardAttempts is how many neighbours are offered one connection.
const maxForwardAttempts = 2

// baseForwardedFraction is the number of connections that a daemon may forward at a time
// whatever its latency, as a fraction of its limit on connections of callers. Each forwarded
// connection is proxied by the daemon to its end, streams event by event: more than it has
// processor time for delay each other and all requests that it serves itself.
const baseForwardedFraction = 1.0 / 16

// baseForwardedConns returns the lowest limit on connections that are forwarded at a time; zero
// means no limit.
func baseForwardedConns(m settings.Memory) int {
	return int(math.Ceil(baseForwardedFraction * float64(maxCallerConnections(m))))
}

// connForwarder forwards new connections of callers to neighbours while this daemon is
// short of processor time. It is safe for concurrent use.
type connForwarder struct {
	monitor *loadMonitor
	// disconnects detects callers that close connections which neighbours serve.
	disconnects *disconnectWatcher
	// unreadConns returns the number of callers' connections from which nothing has been
	// read.
	unreadConns func(now time.Time) int
	// routesVersion returns the version of the routes in force.
	routesVersion func() uint64
	log           *slog.Logger
	metrics       *telemetry.Metrics
	// returned hands connections that no neighbour accepted back to the server.
	returned *returnedListener
	// active counts the connections that are being forwarded.
	active atomic.Int64
	// forwarded, refused, timedOut and lost count events since the last report: connections
	// that a neighbour accepted, offers that it refused, offers that it did not answer in
	// time, and accepted connections that it closed without an answer.
	forwarded, refused, timedOut, lost atomic.Int64
	// ended counts the requests that were ended by endAll.
	ended atomic.Int64
	// notOffered counts the connections since the last report that were to be forwarded and were
	// offered to nobody.
	notOffered notOffered
	// sendDelays are the delays since the last report from the acceptance of a connection
	// until its first bytes were sent to a neighbour.
	sendDelays waitStats

	mu         sync.Mutex
	picker     *handover.Picker
	rng        *rand.Rand
	neighbours []ident.Daemon
	addresses  map[ident.Daemon]string
	// proxies are the active proxies by the neighbour that serves them.
	proxies map[ident.Daemon]map[*connProxy]bool
}

func newConnForwarder(s settings.Settings, monitor *loadMonitor, disconnects *disconnectWatcher, metrics *telemetry.Metrics, log *slog.Logger) *connForwarder {
	h := &connForwarder{
		monitor: monitor, disconnects: disconnects, unreadConns: func(time.Time) int { return 0 }, routesVersion: func() uint64 { return 0 }, log: log, metrics: metrics,
		returned: newReturnedListener(),
		picker:   handover.NewPicker(baseForwardedConns(s.Memory)),
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		proxies:  map[ident.Daemon]map[*connProxy]bool{},
	}
	if s.Fleet.Spread {
		h.picker.Spread()
		monitor.neighboursAccept = h.neighboursAccept
	}
	return h
}

// setNeighbours replaces the daemons of the availability zone that may accept forwarded
// connections. alive holds all daemons that are known to be alive; connections that other
// daemons have accepted are closed, except those that such a daemon has closed itself.
func (h *connForwarder) setNeighbours(neighbours []ident.Daemon, alive map[ident.Daemon]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.neighbours = neighbours
	h.updatePicker()
	for id, proxies := range h.proxies {
		if alive[id] {
			continue
		}
		for p := range proxies {
			p.neighbourGone()
		}
	}
}

// setAddresses replaces the addresses at which daemons accept forwarded connections.
func (h *connForwarder) setAddresses(addresses map[ident.Daemon]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addresses = addresses
	h.updatePicker()
}

// updatePicker gives the picker the neighbours that are alive and accept forwarded
// connections.
func (h *connForwarder) updatePicker() {
	var list []handover.Neighbour
	for _, id := range h.neighbours {
		if address := h.addresses[id]; address != "" {
			list = append(list, handover.Neighbour{ID: id, Address: address})
		}
	}
	h.picker.SetNeighbours(list)
}

// tryForward starts forwarding a new connection if a neighbour is to serve it, and reports
// whether it did.
func (h *connForwarder) tryForward(caller *trackedConn) bool {
	load := h.currentLoad()
	if load.Spread && h.crowded() {
		load.Spread, load.EarlyFraction = false, 0
	}
	if load.ForwardFraction() == 0 {
		return false
	}
	to, choice := h.route(load.ForwardFraction())
	switch choice {
	case handover.Local:
		caller.mustServe = true
		return false
	case handover.NoNeighbour, handover.LimitReached, handover.OffersPending:
		h.notOffered.count(choice)
		caller.mustRefuse = load.Saturated()
		return false
	}
	h.active.Add(1)
	p := &connProxy{caller: caller, acceptedAt: time.Now(), sendDelays: &h.sendDelays}
	go func() {
		defer h.active.Add(-1)
		h.forward(p, to)
	}()
	return true
}

// currentLoad returns the current load of this daemon.
func (h *connForwarder) currentLoad() handover.Load {
	return handover.Load{
		ShedFraction: h.monitor.shedFraction(), UnreadConns: h.unreadConns(time.Now()),
		EarlyFraction: h.monitor.earlyFraction(), Spread: h.monitor.spread,
	}
}

// crowded reports whether the neighbours are short of processor time as well.
func (h *connForwarder) crowded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.picker.Crowded(time.Now())
}

// neighboursAccept reports whether neighbours accept the connections that are forwarded.
func (h *connForwarder) neighboursAccept() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.picker.Forwards(time.Now())
}

// forward offers a connection to neighbours and proxies it until it ends. It hands the
// connection back to this daemon if no neighbour accepts it.
func (h *connForwarder) forward(p *connProxy, to handover.Neighbour) {
	for attempt := 1; ; attempt++ {
		offeredAt := time.Now()
		conn, err := offerConn(to.Address, h.routesVersion())
		if err == nil {
			p.neighbour = conn
			h.proxy(p, to, time.Since(offeredAt))
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			h.timedOut.Add(1)
		} else {
			h.refused.Add(1)
		}
		var ok bool
		if to, ok = h.nextNeighbour(to.ID, attempt); !ok {
			h.returned.handBack(p.caller)
			return
		}
	}
}

// proxy serves a connection that a neighbour has accepted after the given delay.
func (h *connForwarder) proxy(p *connProxy, to handover.Neighbour, replyDelay time.Duration) {
	h.proxyStarted(to.ID, p, replyDelay)
	defer h.proxyEnded(to.ID, p)
	if peerClosed(p.caller) {
		_, _ = p.neighbour.Close(), p.caller.Close() // the caller has disconnected
		return
	}
	h.forwarded.Add(1)
	h.metrics.ConnectionForwarded()
	defer h.disconnects.watchConn(p.caller, p.abortNeighbour)()
	if p.run() {
		return
	}
	h.lost.Add(1)
	event.HandoverConnectionLost.Log(h.log, "neighbour", to.ID)
}

func (h *connForwarder) route(fraction float64) (handover.Neighbour, handover.Choice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.picker.ObserveLatency(now, time.Duration(h.monitor.meanLatency.Load()))
	return h.picker.Route(now, h.rng, fraction)
}

// nextNeighbour records that a neighbour did not accept a connection, and chooses the next
// one to offer it to.
func (h *connForwarder) nextNeighbour(refusedBy ident.Daemon, attempts int) (handover.Neighbour, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.picker.Refused(now, refusedBy)
	if attempts >= maxForwardAttempts {
		return handover.Neighbour{}, false
	}
	return h.picker.Pick(now, h.rng)
}

func (h *connForwarder) proxyStarted(id ident.Daemon, p *connProxy, replyDelay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.picker.Accepted(time.Now(), id, replyDelay)
	if h.proxies[id] == nil {
		h.proxies[id] = map[*connProxy]bool{}
	}
	h.proxies[id][p] = true
}

func (h *connForwarder) proxyEnded(id ident.Daemon, p *connProxy) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.picker.Closed(id)
	delete(h.proxies[id], p)
	if len(h.proxies[id]) == 0 {
		delete(h.proxies, id)
	}
}

// notOffered counts connections that were offered to no neighbour, by the reason. It is safe for
// concurrent use.
type notOffered struct{ atLimit, pending, noNeighbour atomic.Int64 }

func (n *notOffered) count(reason handover.Choice) {
	switch reason {
	case handover.LimitReached:
		n.atLimit.Add(1)
	case handover.OffersPending:
		n.pending.Add(1)
	case handover.NoNeighbour:
		n.noNeighbour.Add(1)
	}
}

// logReport logs what was forwarded since the last report, or was to be, if anything.
func (h *connForwarder) logReport() {
	forwarded, refused, timedOut, lost := h.forwarded.Swap(0), h.refused.Swap(0), h.timedOut.Swap(0), h.lost.Swap(0)
	atLimit, pending, noNeighbour := h.notOffered.atLimit.Swap(0), h.notOffered.pending.Swap(0), h.notOffered.noNeighbour.Swap(0)
	meanDelay, maxDelay := h.sendDelays.collect()
	if forwarded+refused+timedOut+atLimit+pending+noNeighbour > 0 {
		event.HandoverSummary.Log(h.log, "passed_on", forwarded, "refused", refused, "unheard", timedOut, "lost", lost, "open", h.active.Load(),
			"limit", h.maxOpen(), "at_limit", atLimit, "pending", pending, "nobody", noNeighbour, "early", h.monitor.earlyFraction(), "sent_ms", meanDelay.Milliseconds(), "longest_ms", maxDelay.Milliseconds())
	}
}

// maxOpen returns how many connections may be forwarded at a time; zero means no limit.
func (h *connForwarder) maxOpen() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.picker.MaxOpen()
}

// endAll ends the connections that neighbours serve. A caller to whom no part of a response was relayed gets an error,
// and any other caller a response that is recognizably incomplete.
func (h *connForwarder) endAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, proxies := range h.proxies {
		for p := range proxies {
			if p.requestSent.Load() {
				h.ended.Add(1)
			}
			p.neighbourGone()
		}
	}
}

// wait waits until no connection is being forwarded or ctx ends.
func (h *connForwarder) wait(ctx context.Context) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for h.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
