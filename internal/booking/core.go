package booking

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
)

// Config identifies the daemon that a Core runs on.
type Config struct {
	Self        ident.Daemon
	Incarnation uint64
	Zone        ident.Zone
	// MaxSlotWait is the longest time for which a request may wait for a slot or memory of a target;
	// zero means that it is refused at once.
	MaxSlotWait time.Duration
	// SilentAfter is the time without messages after which daemons no longer rely on one another. Others
	// own the targets of a silent daemon after twice that at the earliest. Default: 3 s.
	SilentAfter time.Duration
	// DerivedRetryAfter is set if the Retry-After of refused callers is the time at which targets are
	// expected to have spare capacity.
	DerivedRetryAfter bool
}

// Timeouts.
const (
	// replyTimeout is how long to wait for the reply of another daemon. It is several round
	// trips to a busy owner, and short enough that a tight latency objective leaves time for
	// another attempt.
	replyTimeout = 40 * time.Millisecond
	// runTTL is how long an owner keeps a request about which no further message arrives, so that a
	// lost release frees its slot in the end. No request lasts more than a few seconds beyond
	// its first byte, and an owner that drops one too early only admits too many for a moment.
	runTTL = 12 * time.Second
	// silentBackoff is how long an owner that did not reply is skipped, unless a message of it
	// arrives earlier.
	silentBackoff = time.Second
)

// Core is the placement state of one daemon. It is not safe for concurrent use: the daemon's
// control goroutine owns it.
type Core struct {
	cfg               Config
	rng               *rand.Rand
	leaving           bool
	owners            *membership.OwnerIndex
	services          map[ident.Service]*service
	peers             map[ident.Daemon]*peer
	requests          map[ident.Request]*request
	pending           map[uint64]*request
	lastReservationID uint64
	lastCheckID       uint64
	// sentReservations are the reservations that may still be unanswered, in the order in which
	// they were sent, so that a tick looks only at those that are due.
	sentReservations []sentReservation
	runs             map[runKey]*run
	// held are the placed requests of this ingress that are held back, by the IDs of their
	// runs; holds lists when each hold ends, in order.
	held  map[uint64]*request
	holds []holdDeadline
	// waiting are the requests that wait at targets that this daemon owns, and waitOutcomes the ends
	// of waits that their ingresses are still to be told.
	waiting      map[runKey]*waiting
	waitOutcomes []waitOutcome
	// awaitingSlot are the requests of this ingress that wait at owners, by the IDs of their
	// reservations; slotWaits lists when each wait is given up, in order.
	awaitingSlot  map[uint64]*request
	slotWaits     []holdDeadline
	callerRetries callerRetries
	effects       []Effect
	outbox        map[ident.Daemon]*Message
	// lastPublish is when this daemon last published its sums, nextPublish when it next will.
	lastPublish, nextPublish time.Time
	group                    exchangeGroup
	// startedAt is when the Core was first configured.
	startedAt time.Time
	// lastProgress is when the Core was last seen to run. Until stoodStillUntil others may own targets of
	// which this daemon, which has stood still, believes to be the owner.
	lastProgress, stoodStillUntil time.Time
	reach                         reach
	// nextExpiry is when to look next for requests about which no further message arrives.
	nextExpiry time.Time
}

// sentReservation is a reservation that may still be unanswered.
type sentReservation struct {
	id uint64
	at time.Time
}

// service is the state of one service.
type service struct {
	name        ident.Service
	servesModel bool
	rate        float64
	// coldLimit is Service.ColdLimit.
	coldLimit int
	// checksWarmth is Service.ChecksWarmth.
	checksWarmth bool
	// fetchPerToken is the time to copy one cached token between targets; zero means that
	// copying is not possible.
	fetchPerToken time.Duration
	engines       map[ident.Target]*engine
	// sortedEngines lists the engines by name, so that no decision depends on map iteration
	// order.
	sortedEngines []*engine
	// drainingEngines are the engines of targets that are draining, by name. They are in engines,
	// but not in sortedEngines.
	drainingEngines []*engine
	shares          shares
	// capacity is the observed capacity of its targets.
	capacity capacity
	// slowdown is the learned effect of prefill on running streams.
	slowdown decodeSlowdown
	// pace is the prefill speed learned from all its targets that this daemon owns.
	pace prefillPace
	// weights describes the relative speeds of the targets.
	weights speedWeights
}

// peer is the state kept about another daemon.
type peer struct {
	Peer
	// silentUntil is until when the peer is skipped because it did not reply.
	silentUntil time.Time
	// reachedAt is a time at which the peer was receiving from this daemon: when the last reservation
	// was sent that it has answered.
	reachedAt time.Time
}

// runKey identifies a request on an owned target.
type runKey struct {
	ingress ident.Daemon
	id      uint64
}

// request is a request of this ingress that is being placed or runs.
type request struct {
	Request
	// candidates are the targets still to be asked, ownersAsked counts those already asked.
	candidates  []candidate
	ownersAsked int
	// contacted reports that an owner has received the request, callerRetry that one recognized
	// it as a retry by the caller.
	contacted, callerRetry bool
	// tryLeastLoaded reports that the least loaded targets may be asked after the candidates.
	tryLeastLoaded bool
	// askedEngines are the targets that were asked.
	askedEngines []*engine
	// unresponsive are the targets whose owners did not reply, anyReply reports that one did.
	unresponsive []candidate
	anyReply     bool
	// pendingID is the ID of the unanswered reservation, zero if there is none; sentAt is when
	// it was sent, current its target and pendingOwner its recipient.
	pendingID    uint64
	sentAt       time.Time
	current      candidate
	pendingOwner ident.Daemon
	// shortestWait is the shortest wait that an owner reported; limit, shareUsed and
	// unloadedWait are from the same reply.
	shortestWait time.Duration
	limit        Limit
	shareUsed    float64
	unloadedWait time.Duration
	// fetchSource is the target with the longest cached prefix according to the owners, and
	// sourceTokens the length of that prefix.
	fetchSource  ident.Target
	sourceTokens int
	// targetTokens is the length of the prefix that the target that replied last has cached.
	targetTokens int
	running      bool
	placedAt     time.Time
	// firstByteSeen reports that the first byte of the answer has arrived.
	firstByteSeen bool
	// runOwner is the daemon that records the run; empty if none does.
	runOwner ident.Daemon
	runID    uint64
	// dispatch is the effect to emit when the request goes to its target.
	dispatch Dispatch
	// waitOffers are the targets at which the request may wait for a slot, and mayWait is set once
	// its reservations have MayWait set.
	waitOffers []waitOffer
	mayWait    bool
	// waitingSince is when the present wait for a slot began, and slotWait the time of those that
	// have ended.
	waitingSince time.Time
	slotWait     time.Duration
	// expectedSpareWait is the shortest time until a target has spare capacity for the request.
	expectedSpareWait time.Duration
}

type candidate struct {
	engine     *engine
	selectedBy string
}

// New returns a Core without services and peers.
func New(cfg Config, rng *rand.Rand) *Core {
	return &Core{
		cfg: cfg, rng: rng,
		owners:        membership.NewOwnerIndex(),
		services:      map[ident.Service]*service{},
		peers:         map[ident.Daemon]*peer{},
		requests:      map[ident.Request]*request{},
		pending:       map[uint64]*request{},
		runs:          map[runKey]*run{},
		held:          map[uint64]*request{},
		waiting:       map[runKey]*waiting{},
		awaitingSlot:  map[uint64]*request{},
		callerRetries: callerRetries{},
		reach:         newReach(),
		outbox:        map[ident.Daemon]*Message{},
	}
}

// Configure replaces the set of services.
func (c *Core) Configure(now time.Time, services []Service) {
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	kept := make(map[ident.Service]*service, len(services))
	for _, spec := range services {
		s := c.services[spec.Name]
		if s == nil {
			s = &service{name: spec.Name, engines: map[ident.Target]*engine{}, shares: newShares(), pace: newPrefillPace()}
		}
		s.servesModel, s.rate, s.fetchPerToken, s.coldLimit = spec.ServesModel, spec.Rate, spec.FetchPerToken, spec.ColdLimit
		s.checksWarmth = spec.ChecksWarmth
		s.shares.configure(spec.Workspaces)
		s.weights.configure(spec.LearnSpeeds, s.sortedEngines)
		c.configureTargets(s, spec.Targets)
		kept[spec.Name] = s
	}
	c.services = kept
	c.owners.Forget(func(service ident.Service, target ident.Target) bool {
		return target == hubRole || c.engine(service, target) != nil
	})
	c.assignOwners(now)
	c.withdrawGoneWaits(now)
	c.serveAllWaiting(now)
}

func (c *Core) configureTargets(s *service, targets []Target) {
	engines := make(map[ident.Target]*engine, len(targets))
	s.sortedEngines, s.drainingEngines = s.sortedEngines[:0], s.drainingEngines[:0]
	for _, spec := range targets {
		e := s.engines[spec.Name]
		if e == nil {
			e = newEngine(s, spec)
		}
		if e.Generation != spec.Generation || e.Version != spec.Version {
			c.dropRuns(e)
			e.resetAfterRestart()
		}
		e.Target = spec
		engines[spec.Name] = e
		if spec.Draining {
			s.drainingEngines = append(s.drainingEngines, e)
			continue
		}
		s.sortedEngines = append(s.sortedEngines, e)
	}
	for _, list := range [][]*engine{s.sortedEngines, s.drainingEngines} {
		sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	}
	s.engines = engines
}

func (c *Core) dropRuns(e *engine) {
	for _, r := range e.runs {
		delete(c.runs, runKey{r.ingress, r.id})
	}
}

// expiryInterval is how often to look for requests about which no further message arrives.
const expiryInterval = time.Second

// minTickInterval is the lower bound of NextTick: everything due within it is handled in one
// tick.
const minTickInterval = 5 * time.Millisecond

// NextTick returns the time until Tick has something to do. An idle daemon that ticked a
// hundred times a second would spend a sixth of its processor time on it.
func (c *Core) NextTick(now time.Time) time.Duration {
	next := c.nextPublish
	if c.nextExpiry.Before(next) {
		next = c.nextExpiry
	}
	for len(c.sentReservations) > 0 && c.pending[c.sentReservations[0].id] == nil {
		c.sentReservations = c.sentReservations[1:] // already answered
	}
	if len(c.sentReservations) > 0 {
		if timeout := c.sentReservations[0].at.Add(replyTimeout); timeout.Before(next) {
			next = timeout
		}
	}
	next = earlierOf(next, c.lastProgress.Add(c.silentAfter()/2)) // or a pause between two ticks would be taken for a stand-still
	if at, ok := c.nextHoldExpiry(); ok && at.Before(next) {
		next = at
	}
	if at, ok := c.nextWaitExpiry(); ok && at.Before(next) {
		next = at
	}
	if at, ok := c.nextSlotWaitEnd(); ok && at.Before(next) {
		next = at
	}
	return max(minTickInterval, next.Sub(now))
}

// RepliesOverdue reports whether Tick would time out the wait for the reply of an owner.
func (c *Core) RepliesOverdue(now time.Time) bool {
	if at, ok := c.nextSlotWaitEnd(); ok && !now.Before(at) {
		return true
	}
	for _, sent := range c.sentReservations {
		if now.Sub(sent.at) < replyTimeout {
			return false
		}
		if r := c.pending[sent.id]; r != nil && r.pendingID == sent.id {
			return true
		}
	}
	return false
}

// Tick handles everything that has become due by now.
func (c *Core) Tick(now time.Time) {
	c.GiveUpReplies(now, now)
	c.TickExceptReplies(now)
}

// TickExceptReplies handles everything that has become due by now except overdue replies.
func (c *Core) TickExceptReplies(now time.Time) {
	c.noteProgress(now)
	c.expireHolds(now)
	if !now.Before(c.nextExpiry) {
		c.nextExpiry = now.Add(expiryInterval)
		c.expireRuns(now)
		c.callerRetries.expire(now)
	}
	if !now.Before(c.nextPublish) {
		c.lastPublish, c.nextPublish = now, now.Add(c.publishInterval())
		c.publish(now)
	}
	c.serveAllWaiting(now)
}

// GiveUpReplies proceeds with the requests whose owners' replies were overdue at a time and have
// not arrived by now.
func (c *Core) GiveUpReplies(now, overdueAt time.Time) {
	for len(c.sentReservations) > 0 && overdueAt.Sub(c.sentReservations[0].at) >= replyTimeout {
		id := c.sentReservations[0].id
		c.sentReservations = c.sentReservations[1:]
		r := c.pending[id]
		if r == nil || r.pendingID != id {
			continue // already answered
		}
		if p := c.peers[r.pendingOwner]; p != nil {
			p.silentUntil = now.Add(silentBackoff)
		}
		c.handleNoReply(now, r)
	}
	c.giveUpSlotWaits(now, overdueAt)
	c.notifyWaitOutcomes(now)
}

func (c *Core) expireRuns(now time.Time) {
	for key, r := range c.runs {
		if now.After(r.expiresAt) {
			r.target.removeRun(now, r, 0)
			delete(c.runs, key)
			c.releaseHeld(now, r)
		}
	}
}

// TakeEffects returns the effects since the last call and clears them.
func (c *Core) TakeEffects() []Effect {
	peers := make([]ident.Daemon, 0, len(c.outbox))
	for id := range c.outbox {
		peers = append(peers, id)
	}
	slices.Sort(peers)
	for _, id := range peers {
		m := c.outbox[id]
		m.Incarnation = c.cfg.Incarnation
		c.emit(Send{To: id, Message: *m})
	}
	clear(c.outbox)
	effects := c.effects
	c.effects = nil
	return effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) messageTo(to ident.Daemon) *Message {
	m := c.outbox[to]
	if m == nil {
		m = &Message{}
		c.outbox[to] = m
	}
	return m
}

// Running returns how many requests of this ingress are being placed or run.
func (c *Core) Running() int { return len(c.requests) }

// rendezvousWeight ranks targets for a shared part: the target with the highest weight is its
// home.
func rendezvousWeight(part uint64, target ident.Target) uint64 {
	var b [8]byte
	for i := range b {
		b[i] = byte(part >> (8 * i))
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:]) // a hash never returns an error
	_, _ = d.WriteString(string(target))
	return d.Sum64()
}
