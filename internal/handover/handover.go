// Package handover decides which new connections of callers a daemon forwards, unread, to
// a neighbour in its availability zone, and to which one. It does no I/O; time and
// randomness are arguments.
//
// The load pattern it addresses: a balancer directs callers to daemons by a hash, so that
// all callers of one workspace may reach one small VM. It has the processor time for a
// fraction of what they send, while its neighbours idle. However fairly targets are
// shared, the workspace gets only what that VM can read: refused callers come back late,
// or not at all.
//
// Of two neighbours drawn at random, the one with fewer connections from this daemon is
// chosen: a slow or busy neighbour keeps connections for longer, so that no load needs to
// be reported. A neighbour that refused a connection is skipped for a short time.
//
// How many connections are forwarded at a time is bounded by the latency that forwarding them
// causes (ForwardLimiter): each lasts as long as its response, so that a fixed number of streams
// is far less than the VM can carry.
//
// Where connections are spread (Picker.Spread), the time that neighbours take to reply to
// offers counts as well, and connections are forwarded before any are refused.
package handover

import (
	"math/rand/v2"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/overload"
)

const (
	// unreadLimit is the number of unread connections at which all further ones are
	// forwarded. It takes effect at once, whereas the shed fraction depends on samples of
	// the scheduling latency, of which a VM that has just been flooded takes few.
	unreadLimit = 16
	// acceptUnreadLimit and acceptShedLimit are the number of unread connections and the
	// shed fraction below which a daemon accepts forwarded connections.
	acceptUnreadLimit = 8
	acceptShedLimit   = 0.3
	// spreadUnreadLimit replaces unreadLimit while connections are spread. A VM that is throttled by
	// its CPU quota finds several connections unread when it resumes, long before it refuses any.
	spreadUnreadLimit = 4
	// acceptEarlyLimit is the fraction forwarded early below which a daemon accepts forwarded
	// connections: above it, it cannot serve its own callers.
	acceptEarlyLimit = 0.5
)

// Load describes a daemon's own load.
type Load struct {
	// ShedFraction is the fraction of new requests to refuse for lack of processor time.
	ShedFraction float64
	// UnreadConns is the number of callers' connections from which nothing has been read.
	UnreadConns int
	// EarlyFraction is the fraction of new connections to forward before any are refused;
	// zero unless connections are spread.
	EarlyFraction float64
	// Spread is set if connections are spread.
	Spread bool
}

// ForwardFraction returns the fraction of new connections to forward.
func (l Load) ForwardFraction() float64 {
	if l.UnreadConns >= unreadLimit {
		return 1
	}
	if l.Spread && l.UnreadConns >= spreadUnreadLimit {
		return 1
	}
	return max(l.EarlyFraction, overload.ShedFractionFor(l.ShedFraction, true))
}

// Saturated reports whether to refuse connections that no neighbour accepts because they
// would be read too late. Unread connections alone do not prove that, since callers may
// not have sent anything on them yet.
func (l Load) Saturated() bool { return l.UnreadConns >= unreadLimit && l.ShedFraction > 0 }

// AcceptsForwarded reports whether to accept connections forwarded by neighbours.
func (l Load) AcceptsForwarded() bool {
	return l.ShedFraction < acceptShedLimit && l.EarlyFraction < acceptEarlyLimit && l.UnreadConns < acceptUnreadLimit
}

// refusalBackoff is how long a neighbour that refused a connection is skipped.
const refusalBackoff = 250 * time.Millisecond

// maxPendingOffers bounds the connections offered to neighbours and not answered yet.
// With more offers than a small VM has the processor time for, the offers wait to be
// scheduled, and so does all other work of the daemon.
const maxPendingOffers = 24

// Neighbour is another daemon of the availability zone that accepts forwarded
// connections.
type Neighbour struct {
	ID ident.Daemon
	// Address is the host:port at which it accepts them.
	Address string
}

// Picker chooses neighbours and counts the connections forwarded to each. It is not safe
// for concurrent use.
type Picker struct {
	// limiter adapts maxOpen; nil if there is no limit.
	limiter *ForwardLimiter
	// maxOpen bounds the forwarded connections that are open at a time.
	maxOpen, open int
	// pendingOffers counts the offered connections that no neighbour has answered yet.
	pendingOffers int
	neighbours    []Neighbour
	states        map[ident.Daemon]*neighbourState
	// acceptedAt is when a neighbour last accepted a connection.
	acceptedAt time.Time
	// spread is set if neighbours are chosen by how fast they reply to offers.
	spread bool
}

// neighbourState tracks one neighbour.
type neighbourState struct {
	open       int
	avoidUntil time.Time
	// replyDelay is how long the neighbour took to accept a connection at repliedAt.
	replyDelay time.Duration
	repliedAt  time.Time
}

// NewPicker returns a Picker without neighbours. baseOpen is the lowest limit on the connections
// that are forwarded at a time; zero means no limit.
func NewPicker(baseOpen int) *Picker {
	p := &Picker{maxOpen: baseOpen, states: map[ident.Daemon]*neighbourState{}}
	if baseOpen > 0 {
		p.limiter = NewForwardLimiter(baseOpen)
	}
	return p
}

// ObserveLatency adapts the limit on connections that are forwarded at a time to the mean
// scheduling latency of this daemon.
func (p *Picker) ObserveLatency(now time.Time, latency time.Duration) {
	if p.limiter != nil {
		p.maxOpen = p.limiter.Observe(now, latency, p.open)
	}
}

// SetNeighbours replaces the neighbours. Open connections of removed neighbours still
// count.
func (p *Picker) SetNeighbours(list []Neighbour) {
	p.neighbours = list
	present := make(map[ident.Daemon]bool, len(list))
	for _, n := range list {
		present[n.ID] = true
		if p.states[n.ID] == nil {
			p.states[n.ID] = &neighbourState{}
		}
	}
	for id, s := range p.states {
		if !present[id] && s.open == 0 {
			delete(p.states, id)
		}
	}
}

// Choice states who serves a new connection.
type Choice uint8

const (
	// NoNeighbour means that there is no neighbour, or that each one has refused a connection
	// lately.
	NoNeighbour Choice = iota
	// LimitReached means that as many connections are being forwarded as may be.
	LimitReached
	// OffersPending means that as many offers wait for an answer as may.
	OffersPending
	// Local means that this daemon is to serve the connection although a neighbour could
	// accept it.
	Local
	// Forward means that a neighbour is to serve the connection.
	Forward
)

// Route chooses who serves a new connection if the given fraction of them, from 0 to 1,
// is to be forwarded. After Forward the caller must call Refused, or OfferAnswered and
// later Closed.
func (p *Picker) Route(now time.Time, rng *rand.Rand, fraction float64) (Neighbour, Choice) {
	switch {
	case p.pendingOffers >= maxPendingOffers:
		return Neighbour{}, OffersPending
	case p.full():
		return Neighbour{}, LimitReached
	}
	n, ok := p.Pick(now, rng)
	switch {
	case !ok:
		return Neighbour{}, NoNeighbour
	case rng.Float64() < fraction:
		return n, Forward
	}
	p.OfferAnswered()
	p.Closed(n.ID)
	return Neighbour{}, Local
}

// Pick chooses the neighbour for a connection to be forwarded. If ok is true, the caller
// must call Refused, or OfferAnswered and later Closed.
func (p *Picker) Pick(now time.Time, rng *rand.Rand) (n Neighbour, ok bool) {
	var available []Neighbour
	for _, n := range p.neighbours {
		if !now.Before(p.states[n.ID].avoidUntil) {
			available = append(available, n)
		}
	}
	if len(available) == 0 || p.full() {
		return Neighbour{}, false
	}
	n = available[rng.IntN(len(available))]
	for range p.draws() - 1 {
		if other := available[rng.IntN(len(available))]; p.cost(now, other.ID) < p.cost(now, n.ID) {
			n = other
		}
	}
	p.states[n.ID].open++
	p.open++
	p.pendingOffers++
	return n, true
}

// spreadDraws is the number of neighbours drawn for a connection that is spread. In a zone of
// many small and few large VMs, two are often both small.
const spreadDraws = 3

// draws returns how many neighbours are drawn for a connection.
func (p *Picker) draws() int {
	if p.spread {
		return spreadDraws
	}
	return 2
}

const (
	// replyDelayUnit is the reply delay that doubles the cost of a neighbour.
	replyDelayUnit = time.Millisecond
	// maxReplyAge is the age at which a reply delay no longer counts.
	maxReplyAge = 2 * time.Second
)

// cost orders neighbours: the one with the lowest cost is preferred. A neighbour of which nothing is
// known counts as idle. The open connections count as well, so that daemons which know the same reply
// delays, or old ones, do not all choose the same neighbour.
func (p *Picker) cost(now time.Time, id ident.Daemon) float64 {
	s := p.states[id]
	if !p.spread {
		return float64(s.open)
	}
	weight := max(0, 1-now.Sub(s.repliedAt).Seconds()/maxReplyAge.Seconds())
	return float64(s.open+1) * (1 + weight*float64(s.replyDelay)/float64(replyDelayUnit))
}

// Crowded reports whether many neighbours have refused a connection lately. Most of the zone is then
// as short of processor time as this daemon, and what is forwarded early costs more than it saves.
func (p *Picker) Crowded(now time.Time) bool {
	refused := 0
	for _, n := range p.neighbours {
		if now.Before(p.states[n.ID].avoidUntil) {
			refused++
		}
	}
	return float64(refused) > crowdedFraction*float64(len(p.neighbours))
}

// crowdedFraction is the fraction of the neighbours above which a zone is crowded if they have refused.
const crowdedFraction = 0.25

// Spread makes the picker choose neighbours by how fast they reply to offers.
func (p *Picker) Spread() { p.spread = true }

// MaxOpen returns the limit on connections that are forwarded at a time; zero means no limit.
func (p *Picker) MaxOpen() int { return p.maxOpen }

// Open returns the number of connections that are being forwarded or offered.
func (p *Picker) Open() int { return p.open }

// maxAcceptAge is how long an accepted connection shows that neighbours accept more.
const maxAcceptAge = time.Second

// Forwards reports whether connections are spread and neighbours accept what is forwarded: one has
// done so lately, few have refused, and more may be forwarded.
func (p *Picker) Forwards(now time.Time) bool {
	return p.spread && now.Sub(p.acceptedAt) < maxAcceptAge && !p.full() && !p.Crowded(now)
}

// Accepted records that a neighbour has accepted a connection, and how long its reply took. The
// delay contains the time for which the neighbour waits for its processor: it is the same measure
// on VMs of any size, and it rises before a VM refuses anything.
func (p *Picker) Accepted(now time.Time, id ident.Daemon, replyDelay time.Duration) {
	p.OfferAnswered()
	p.acceptedAt = now
	if s := p.states[id]; s != nil {
		s.replyDelay, s.repliedAt = replyDelay, now
	}
}

func (p *Picker) full() bool { return p.maxOpen > 0 && p.open >= p.maxOpen }

// Refused records that a neighbour did not accept a connection.
func (p *Picker) Refused(now time.Time, id ident.Daemon) {
	p.OfferAnswered()
	p.Closed(id)
	if s := p.states[id]; s != nil {
		s.avoidUntil = now.Add(refusalBackoff)
	}
}

// OfferAnswered records that a neighbour has answered the offer of a connection.
func (p *Picker) OfferAnswered() { p.pendingOffers-- }

// Closed records that a forwarded connection has ended.
func (p *Picker) Closed(id ident.Daemon) {
	if s := p.states[id]; s != nil && s.open > 0 {
		s.open--
		p.open--
	}
}
