package scheduler

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/savorystall/savorystall/internal/admission"
	"github.com/savorystall/savorystall/internal/fairshare"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
	"github.com/savorystall/savorystall/internal/preemption"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// Config identifies the daemon of a Core and sets its intervals.
type Config struct {
	Self        ident.Daemon
	Incarnation uint64
	Zone        ident.Zone
	// SpillDelay is how long the oldest request of a workspace waits before its
	// demand is sent to owners in other zones. The default is 20 ms: longer than
	// one exchange within a zone, so that a free local slot is found first, and much
	// shorter than a request.
	SpillDelay time.Duration
	// ExchangeInterval is the interval of demand updates and of served totals. The
	// default is 1 s, the shortest interval that stays within 4 KB/s of control
	// traffic (docs/design/fair-share.md).
	ExchangeInterval time.Duration
	// GrantReuseWindow is how long an ingress may reuse a grant of another daemon
	// for further requests of the same workspace. The default is 2 s: short requests
	// then share the cost of one grant and one release, and a slot granted for a
	// short request is reassigned before long.
	GrantReuseWindow time.Duration
	// IdleGrantTimeout is how long an ingress may keep a grant idle for the next
	// request if its owner has spare capacity. The default is 100 ms: with ten or
	// more calls per second, most calls find a grant, and no slot idles for longer
	// than a tenth of the exchange interval.
	IdleGrantTimeout time.Duration
	// HeldGrantsInterval is the interval at which owners receive the list of their
	// grants in use. The default is 2 s, so a slot whose release message was lost
	// idles for no longer than that.
	HeldGrantsInterval time.Duration
	// AggregationThreshold is the number of daemons above which served totals are
	// aggregated within zones before they are forwarded (see aggregation.go). The default
	// is 24.
	AggregationThreshold int
}

const (
	defaultSpillDelay         = 20 * time.Millisecond
	defaultExchangeInterval   = time.Second
	defaultGrantReuseWindow   = 2 * time.Second
	defaultIdleGrantTimeout   = 100 * time.Millisecond
	defaultHeldGrantsInterval = 2 * time.Second
)

func (c Config) withDefaults() Config {
	c.SpillDelay = cmp.Or(c.SpillDelay, defaultSpillDelay)
	c.ExchangeInterval = cmp.Or(c.ExchangeInterval, defaultExchangeInterval)
	c.GrantReuseWindow = cmp.Or(c.GrantReuseWindow, defaultGrantReuseWindow)
	c.IdleGrantTimeout = cmp.Or(c.IdleGrantTimeout, defaultIdleGrantTimeout)
	c.HeldGrantsInterval = cmp.Or(c.HeldGrantsInterval, defaultHeldGrantsInterval)
	c.AggregationThreshold = cmp.Or(c.AggregationThreshold, defaultAggregationThreshold)
	return c
}

// Core is the scheduler of one daemon. It is not safe for concurrent use: the
// daemon's control goroutine owns it.
type Core struct {
	cfg      Config
	rng      *rand.Rand
	leaving  bool
	services map[ident.Service]*service
	peers    map[ident.Daemon]*peer
	// members holds this daemon and its peers as candidate owners of targets.
	members  *membership.Owners
	requests map[ident.Request]*request
	// lastGrant is the ID of the latest grant of this incarnation.
	lastGrant uint64
	// idleGrants are grants of other daemons that are kept idle for the next
	// request.
	idleGrants     []idleGrant
	grants         map[uint64]*issuedGrant
	effects        []Effect
	outbox         map[ident.Daemon]*Message
	earlySends     tokenBucket
	summaryBudget  summaryBudget
	nextWithdraw   time.Time
	nextExchange   time.Time
	nextHeldGrants time.Time
	// withholdUntil is when the daemon may start to grant its own slots.
	withholdUntil time.Time
	// recentGrants are the grants of the last exchange interval, oldest first.
	recentGrants []recentGrant
	// aggregation is set while the fleet is large enough for hierarchical
	// aggregation, whose next round is due at nextRound.
	aggregation *aggregationPlan
	nextRound   time.Time
	// baselineUntil applies after a switch back to the full exchange: until then, a
	// total received for the first time is only a baseline and is not counted.
	baselineUntil time.Time
	// departed records when each departed daemon left the list of peers.
	departed map[ident.Daemon]time.Time
}

// service is the state of one service, for both the ingress and the owner role.
type service struct {
	name       ident.Service
	meanCost   float64
	workspaces map[ident.Workspace]*workspace
	// sortedWorkspaces lists the workspaces by name, so that no decision depends on
	// map iteration order.
	sortedWorkspaces []*workspace
	// active lists the workspaces with work anywhere, or with owners that still
	// assume so.
	active  []*workspace
	targets map[ident.Target]*target
	// owned lists the targets whose slots this daemon grants, by name.
	owned []*target
	// owners is the set of daemons that own targets of the service.
	owners map[ident.Daemon]bool
	ledger *fairshare.Ledger
	// aggregates holds the totals that this daemon aggregates for its zone.
	aggregates map[ident.Workspace]*workspaceAggregate
	admission  *admission.Controller
	placement  *targetTable
	// requestCost is the mean cost of a request, and slotRate its mean cost per
	// second, over the requests of this ingress.
	requestCost, slotRate movingAverage
	// preemptionEnabled reports whether streams may be stopped. pendingPreemptions
	// lists the slots requested back, and preemptionBudget bounds their number.
	preemptionEnabled  bool
	pendingPreemptions []pendingPreemption
	preemptionBudget   preemption.Budget
}

// waiting counts the requests of all workspaces that wait at this daemon.
func (s *service) waiting() int {
	n := 0
	for _, w := range s.active {
		n += w.waiting()
	}
	return n
}

// activate adds the workspace to the list of active ones. At any time thousands
// of workspaces have no work, and no decision or tick visits those.
func (s *service) activate(w *workspace) {
	if !w.active {
		w.active = true
		s.active = append(s.active, w)
	}
}

// prune removes quiet workspaces from the list of active ones.
func (s *service) prune() {
	s.active = slices.DeleteFunc(s.active, func(w *workspace) bool {
		if s.workspaces[w.Name] == w && !w.isQuiet() {
			return false
		}
		w.active = false
		if s.workspaces[w.Name] == w {
			s.ledger.SetBacklogged(w.Name, false)
		}
		return true
	})
}

// target is the state of one target.
type target struct {
	Target
	service *service
	// grants holds the grants of the target that this daemon issued and that are
	// still in use.
	grants map[uint64]*issuedGrant
	// summarySent is when each ingress last received a summary of the target's
	// cache.
	summarySent map[ident.Daemon]time.Time
}

// issuedGrant is the owner's record of a grant.
type issuedGrant struct {
	Grant
	ingress ident.Daemon
	target  *target
	sentAt  time.Time
	// preemptRequested is set once the owner has requested the slot back.
	preemptRequested bool
}

// request is a request that waits or runs at this ingress.
type request struct {
	Request
	arrived time.Time
	// running is set once the request is bound to a grant.
	running bool
	// declined is set once the request has declined a target that it avoids.
	declined bool
	owner    ident.Daemon
	grant    Grant
	// grantedAt is when the grant was first used.
	grantedAt time.Time
	// charged is the cost charged to the ledger so far.
	charged float64
	// preemptRequested is set once the owner has requested the grant's slot back,
	// stopping while the attempt is being stopped.
	preemptRequested, stopping bool
}

// peer is the state kept about another daemon.
type peer struct {
	Peer
	// lastMessage is when the peer's last message arrived, lastTotals when the last
	// one with served totals arrived, and totalsInterval the time between that one
	// and the previous one with totals (zero if it was the first).
	lastMessage, lastTotals time.Time
	totalsInterval          time.Duration
	// lastSeenGrant is the highest grant received from the peer's incarnation.
	lastSeenGrant uint64
	// needsFullUpdate requests all demand and all totals at the next exchange.
	needsFullUpdate bool
	// needsTotals requests all totals and aggregates that concern the peer at the
	// next exchange, because it has become an aggregator.
	needsTotals bool
	// heldListsDue is how many lists of held grants still have to be sent even if
	// they are empty.
	heldListsDue int
}

// New returns a Core without services and peers.
func New(cfg Config, rng *rand.Rand) *Core {
	return &Core{
		cfg:        cfg.withDefaults(),
		rng:        rng,
		services:   map[ident.Service]*service{},
		peers:      map[ident.Daemon]*peer{},
		requests:   map[ident.Request]*request{},
		grants:     map[uint64]*issuedGrant{},
		outbox:     map[ident.Daemon]*Message{},
		departed:   map[ident.Daemon]time.Time{},
		earlySends: tokenBucket{tokens: earlySendBurst},
	}
}

// Configure replaces the set of services. Waiting requests of a removed service
// or workspace are refused; running requests continue.
func (c *Core) Configure(now time.Time, services []Service) {
	configured := make(map[ident.Service]*service, len(services))
	for _, spec := range services {
		s := c.services[spec.Name]
		if s == nil {
			s = c.newService(spec.Name)
		}
		c.configureService(s, spec)
		configured[spec.Name] = s
	}
	for name, s := range c.services {
		if configured[name] == nil {
			for _, w := range s.sortedWorkspaces {
				c.refuseQueue(w, resultcode.Fail(resultcode.UnknownService, "service %s was removed", name))
			}
		}
	}
	c.services = configured
	c.assignOwners()
	c.grantAllFreeSlots(now)
}

func (c *Core) newService(name ident.Service) *service {
	return &service{
		name:       name,
		workspaces: map[ident.Workspace]*workspace{},
		targets:    map[ident.Target]*target{},
		ledger:     fairshare.New(fairshare.Config{Self: c.cfg.Self, Incarnation: c.cfg.Incarnation}),
		admission:  c.newAdmission(),
		placement:  newTargetTable(c.cfg.Zone, c.rng),
	}
}

func (c *Core) configureService(s *service, spec Service) {
	s.meanCost = spec.MeanCost
	s.preemptionEnabled = spec.Preemption
	workspaces := make(map[ident.Workspace]*workspace, len(spec.Workspaces))
	s.sortedWorkspaces = s.sortedWorkspaces[:0]
	for _, ws := range spec.Workspaces {
		w := s.workspaces[ws.Name]
		if w == nil {
			w = newWorkspace(ws)
			w.shard = shardOf(s.name, ws.Name)
		}
		w.configure(ws)
		s.ledger.SetWeight(ws.Name, ws.Weight)
		s.ledger.SetGroup(ws.Name, targetGroupKey(ws.Targets))
		s.admission.SetLimits(ws.Name, admission.Limits{Weight: ws.Weight, Concurrent: ws.ConcurrencyLimit, Rate: ws.RateLimit})
		workspaces[ws.Name] = w
		s.sortedWorkspaces = append(s.sortedWorkspaces, w)
	}
	sort.Slice(s.sortedWorkspaces, func(i, j int) bool { return s.sortedWorkspaces[i].Name < s.sortedWorkspaces[j].Name })
	for name, w := range s.workspaces {
		if workspaces[name] == nil {
			c.refuseQueue(w, resultcode.Fail(resultcode.Forbidden, "workspace %s was removed", name))
			s.ledger.Remove(name)
			delete(s.aggregates, name)
			s.admission.Remove(name)
		}
	}
	s.workspaces = workspaces
	s.prune()
	targets := make(map[ident.Target]*target, len(spec.Targets))
	for _, spec := range spec.Targets {
		t := s.targets[spec.Name]
		if t == nil {
			t = &target{service: s, grants: map[uint64]*issuedGrant{}, summarySent: map[ident.Daemon]time.Time{}}
		}
		t.Target = spec
		targets[spec.Name] = t
	}
	s.targets = targets
	s.placement.configure(spec)
}

func (c *Core) refuseQueue(w *workspace, failure *resultcode.Failure) {
	for _, it := range w.queue.Drain() {
		delete(c.requests, it.ID)
		c.emit(Refuse{Request: it.ID, Failure: failure})
	}
}

// Leave begins a graceful shutdown: from now on the daemon owns no targets, unless
// no other daemon is left to own them.
func (c *Core) Leave(now time.Time) {
	c.leaving = true
	c.assignOwners()
	c.selectExchangeMode(now)
	c.grantAllFreeSlots(now)
}

// TakeEffects returns the effects since the last call and clears them.
func (c *Core) TakeEffects() []Effect {
	peers := make([]ident.Daemon, 0, len(c.outbox))
	for id := range c.outbox {
		peers = append(peers, id)
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i] < peers[j] })
	for _, id := range peers {
		m := c.outbox[id]
		m.Incarnation = c.cfg.Incarnation
		c.emit(Send{To: id, Message: *m})
	}
	clear(c.outbox)
	taken := c.effects
	c.effects = nil
	return taken
}

// Waiting returns how many requests wait at this daemon.
func (c *Core) Waiting() int { return len(c.requests) - c.Running() }

// Queued returns how many requests of the workspace wait at this daemon.
func (c *Core) Queued(service ident.Service, ws ident.Workspace) int {
	s := c.services[service]
	if s == nil || s.workspaces[ws] == nil {
		return 0
	}
	return s.workspaces[ws].waiting()
}

// Running returns how many requests of this ingress run on targets.
func (c *Core) Running() int {
	n := 0
	for _, r := range c.requests {
		if r.running {
			n++
		}
	}
	return n
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
