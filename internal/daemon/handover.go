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

// takeoverTries is how many neighbours are asked to take one connection.
const takeoverTries = 2

// passedPart is the part of the connections that a daemon may have of callers which it passes on
// at a time. Each is carried through the daemon to its end, streams event by event: more than it
// has turns for delay each other and all that it serves itself.
const passedPart = 1.0 / 16

// passagesMost bounds the connections that are passed on at a time; zero means no bound.
func passagesMost(m settings.Memory) int {
	return int(math.Ceil(passedPart * float64(callersConnections(m))))
}

// handovers passes new connections of callers on to neighbours while this daemon is short
// of processor time. It is safe for concurrent use.
type handovers struct {
	watch *loadWatch
	// left tells of callers that close connections which neighbours serve.
	left *hangups
	// unread counts the callers' connections of which nothing has been read.
	unread func(now time.Time) int
	// version is that of the routes in force.
	version func() uint64
	log     *slog.Logger
	metrics *telemetry.Metrics
	// returned brings the connections that no neighbour took.
	returned *returnedListener
	// active counts the connections that are being passed on.
	active atomic.Int64
	// passed, refused, unheard and lost count since the last report: those that a neighbour
	// took, that it did not take, where it did not answer in time, and that it ended without an
	// answer.
	passed, refused, unheard, lost atomic.Int64
	// sending are the waits since the last report from the acceptance of a connection until its
	// first bytes went to a neighbour.
	sending waits

	mu         sync.Mutex
	picker     *handover.Picker
	rng        *rand.Rand
	neighbours []ident.Daemon
	addresses  map[ident.Daemon]string
	// passages are those under way, by who serves them.
	passages map[ident.Daemon]map[*passage]bool
}

func newHandovers(s settings.Settings, load *loadWatch, left *hangups, metrics *telemetry.Metrics, log *slog.Logger) *handovers {
	return &handovers{
		watch: load, left: left, unread: func(time.Time) int { return 0 }, version: func() uint64 { return 0 }, log: log, metrics: metrics,
		returned: newReturnedListener(),
		picker:   handover.NewPicker(passagesMost(s.Memory)),
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		passages: map[ident.Daemon]map[*passage]bool{},
	}
}

// setNeighbours replaces the daemons of the availability zone that may take connections over.
// Live are all that are heard of: what others have taken over comes to nothing.
func (h *handovers) setNeighbours(neighbours []ident.Daemon, live map[ident.Daemon]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.neighbours = neighbours
	h.join()
	for id, under := range h.passages {
		if live[id] {
			continue
		}
		for p := range under {
			_ = p.neighbour.Close() // its caller gets an answer, and does not wait for one that stands still
		}
	}
}

// setAddresses replaces what is known of where daemons take connections over.
func (h *handovers) setAddresses(addresses map[ident.Daemon]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addresses = addresses
	h.join()
}

// join tells the picker of the neighbours that live and take connections over.
func (h *handovers) join() {
	var list []handover.Neighbour
	for _, id := range h.neighbours {
		if address := h.addresses[id]; address != "" {
			list = append(list, handover.Neighbour{ID: id, Address: address})
		}
	}
	h.picker.SetNeighbours(list)
}

// passOn takes a new connection over that a neighbour is to serve, and tells whether it did.
func (h *handovers) passOn(caller *readingConn) bool {
	load := h.load()
	if load.ForwardFraction() == 0 {
		return false
	}
	to, choice := h.offer(load.ForwardFraction())
	switch choice {
	case handover.Local:
		caller.admitted = true
		return false
	case handover.NoNeighbour:
		caller.crowded = load.Saturated()
		return false
	}
	h.active.Add(1)
	p := &passage{caller: caller, accepted: time.Now(), sending: &h.sending}
	go func() {
		defer h.active.Add(-1)
		h.pass(p, to)
	}()
	return true
}

// load is that of this daemon now.
func (h *handovers) load() handover.Load {
	return handover.Load{ShedFraction: h.watch.shedShare(), UnreadConns: h.unread(time.Now())}
}

// pass passes a connection on until it ends, or gives it back to this daemon where nobody
// takes it.
func (h *handovers) pass(p *passage, to handover.Neighbour) {
	for try := 1; ; try++ {
		conn, err := takeover(to.Address, h.version())
		if err == nil {
			p.neighbour = conn
			h.carry(p, to)
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			h.unheard.Add(1)
		} else {
			h.refused.Add(1)
		}
		var ok bool
		if to, ok = h.another(to.ID, try); !ok {
			h.returned.give(p.caller)
			return
		}
	}
}

// carry serves a connection that a neighbour has taken.
func (h *handovers) carry(p *passage, to handover.Neighbour) {
	h.begun(to.ID, p)
	defer h.ended(to.ID, p)
	if hungUp(p.caller) {
		_, _ = p.neighbour.Close(), p.caller.Close() // nobody waits for anything on it
		return
	}
	h.passed.Add(1)
	h.metrics.PassedOn()
	defer h.left.watchConn(p.caller, p.hangUp)()
	if p.run() {
		return
	}
	h.lost.Add(1)
	event.HandoverLost.Log(h.log, "neighbour", to.ID)
}

func (h *handovers) offer(part float64) (handover.Neighbour, handover.Choice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.picker.Route(time.Now(), h.rng, part)
}

// another notes that a neighbour did not take a connection, and chooses the next one to ask.
func (h *handovers) another(refused ident.Daemon, tries int) (handover.Neighbour, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.picker.Refused(now, refused)
	if tries >= takeoverTries {
		return handover.Neighbour{}, false
	}
	return h.picker.Pick(now, h.rng)
}

func (h *handovers) begun(id ident.Daemon, p *passage) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.picker.OfferAnswered()
	if h.passages[id] == nil {
		h.passages[id] = map[*passage]bool{}
	}
	h.passages[id][p] = true
}

func (h *handovers) ended(id ident.Daemon, p *passage) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.picker.Closed(id)
	delete(h.passages[id], p)
	if len(h.passages[id]) == 0 {
		delete(h.passages, id)
	}
}

// report logs what was passed on since the last report, where there was anything.
func (h *handovers) report() {
	passed, refused, unheard, lost := h.passed.Swap(0), h.refused.Swap(0), h.unheard.Swap(0), h.lost.Swap(0)
	sent, longest := h.sending.take()
	if passed+refused+unheard > 0 {
		event.HandoverReport.Log(h.log, "passed_on", passed, "refused", refused, "unheard", unheard, "lost", lost, "open", h.active.Load(),
			"sent_ms", sent.Milliseconds(), "longest_ms", longest.Milliseconds())
	}
}

// settle waits until nothing is passed on any more or ctx ends.
func (h *handovers) settle(ctx context.Context) {
	ticker := time.NewTicker(settlePoll)
	defer ticker.Stop()
	for h.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
