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

// Config holds what a Core needs to know of its daemon, and its intervals.
type Config struct {
	Self        ident.Daemon
	Incarnation uint64
	Zone        ident.Zone
	// Spill is how long the oldest request of a workspace waits before owners
	// in other zones are shown its demand. Default 20 ms: above one exchange
	// within a zone, so that a free local slot is found first, and far below
	// the time of a request.
	Spill time.Duration
	// Exchange is the interval of demand updates and of service parts.
	// Default 1 s, the shortest that stays within 4 KB/s of control
	// (docs/design/fair-share.md).
	Exchange time.Duration
	// Slice is how long an ingress may go on using a grant of another daemon for
	// further requests of the same workspace. Default 2 s: short requests then
	// cost one grant and one release together, and a slot that was given for a
	// short one is decided about again before long.
	Slice time.Duration
	// Linger is how long an ingress may keep a grant idle for the next request,
	// where its owner has slots to spare. Default 100 ms: calls that come ten a
	// second or more then mostly find one, and no slot idles for longer than a
	// tenth of the exchange.
	Linger time.Duration
	// Held is the interval at which the grants in use are listed to their
	// owners. Default 2 s: a slot whose release was lost idles for no longer.
	Held time.Duration
	// ReduceAbove is the number of daemons above which service parts are added
	// up within zones before they travel on (see reduce.go). Default 24.
	ReduceAbove int
}

const (
	defaultSpill    = 20 * time.Millisecond
	defaultExchange = time.Second
	defaultSlice    = 2 * time.Second
	defaultLinger   = 100 * time.Millisecond
	defaultHeld     = 2 * time.Second
)

func (c Config) withDefaults() Config {
	c.Spill = cmp.Or(c.Spill, defaultSpill)
	c.Exchange = cmp.Or(c.Exchange, defaultExchange)
	c.Slice = cmp.Or(c.Slice, defaultSlice)
	c.Linger = cmp.Or(c.Linger, defaultLinger)
	c.Held = cmp.Or(c.Held, defaultHeld)
	c.ReduceAbove = cmp.Or(c.ReduceAbove, defaultReduceAbove)
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
	// members are this daemon and its peers, as owners of targets.
	members  *membership.Owners
	requests map[ident.Request]*request
	// lastGrant is the id of the latest grant of this incarnation.
	lastGrant uint64
	// kept are the grants of other daemons that are kept idle for a moment.
	kept         []keptGrant
	grants       map[uint64]*grantOut
	effects      []Effect
	outbox       map[ident.Daemon]*Message
	early        allowance
	summaries    summaries
	nextSettle   time.Time
	nextExchange time.Time
	nextHeld     time.Time
	// hearUntil is when the own slots may be given away.
	hearUntil time.Time
	// fresh are the grants of the last exchange, by age.
	fresh []freshGrant
	// reduction is set while the fleet is large enough for the reduced
	// exchange, whose next round is due at nextRound.
	reduction *reduction
	nextRound time.Time
	// fullSettled is when totals that are seen first count again after a change
	// back to the full exchange.
	fullSettled time.Time
	// gone is when each daemon was last seen among the peers.
	gone map[ident.Daemon]time.Time
}

// service is the state of one service, as ingress and as owner.
type service struct {
	name       ident.Service
	meanCost   float64
	workspaces map[ident.Workspace]*workspace
	// order lists the workspaces by name, so that no decision hangs on the
	// order of a map.
	order []*workspace
	// active lists those with work anywhere, or with owners who believe so.
	active  []*workspace
	targets map[ident.Target]*target
	// owned lists the targets that this daemon grants, by name.
	owned []*target
	// owners is the set of daemons that own targets.
	owners map[ident.Daemon]bool
	ledger *fairshare.Ledger
	// sums are what this daemon adds up for its zone.
	sums      map[ident.Workspace]*sum
	admission *admission.Controller
	places    *places
	// cost and rate are the mean cost of a request and its mean cost a second,
	// over the requests of this ingress.
	cost, rate average
	// preemption tells that streams may be stopped, freeing lists the slots that
	// are asked back, and allowance bounds them.
	preemption bool
	freeing    []freeing
	allowance  preemption.Budget
}

// waiting counts the requests of all workspaces that wait here.
func (s *service) waiting() int {
	n := 0
	for _, w := range s.active {
		n += w.waiting()
	}
	return n
}

// activate puts the workspace on the list of active ones. Thousands have no
// work at a time, and no decision or tick looks at those.
func (s *service) activate(w *workspace) {
	if !w.active {
		w.active = true
		s.active = append(s.active, w)
	}
}

// prune takes the quiet workspaces off the list of active ones.
func (s *service) prune() {
	s.active = slices.DeleteFunc(s.active, func(w *workspace) bool {
		if s.workspaces[w.Name] == w && !w.quiet() {
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
	// grants are the slots in use that this daemon gave away.
	grants map[uint64]*grantOut
	// told is when each ingress last had a summary of the target's cache.
	told map[ident.Daemon]time.Time
}

// grantOut is a grant as its owner remembers it.
type grantOut struct {
	Grant
	ingress ident.Daemon
	target  *target
	sent    time.Time
	// asked tells that the slot was asked back.
	asked bool
}

// request is a request that waits or runs at this ingress.
type request struct {
	Request
	arrived time.Time
	// running is set once the request was bound to a grant.
	running bool
	// declined is set once the request has turned down a target it avoids.
	declined bool
	owner    ident.Daemon
	grant    Grant
	// granted is when the grant was first used.
	granted time.Time
	// charged is what the ledger was charged so far.
	charged float64
	// asked tells that the owner asked the grant's slot back, stopping that the
	// attempt is being stopped.
	asked, stopping bool
}

// peer is the state kept about another daemon.
type peer struct {
	Peer
	// heard is when its last message came, parts when the last with service
	// parts, and interval how long after the one before (zero: it was the first).
	heard, parts time.Time
	interval     time.Duration
	// seenGrant is the highest grant received from the peer's incarnation.
	seenGrant uint64
	// full asks for all demand and all parts at the next exchange.
	full bool
	// retell asks for all parts and sums that concern the peer at the next
	// exchange: it has come to add up for others.
	retell bool
	// lists is how many lists of the held grants are still to be sent although
	// there may be none to list.
	lists int
}

// New returns a Core without services and peers.
func New(cfg Config, rng *rand.Rand) *Core {
	return &Core{
		cfg:      cfg.withDefaults(),
		rng:      rng,
		services: map[ident.Service]*service{},
		peers:    map[ident.Daemon]*peer{},
		requests: map[ident.Request]*request{},
		grants:   map[uint64]*grantOut{},
		outbox:   map[ident.Daemon]*Message{},
		gone:     map[ident.Daemon]time.Time{},
		early:    allowance{left: earlyMessages},
	}
}

// Configure puts a new set of services in force. Waiting requests of a service
// or workspace that is gone are refused; running ones go on.
func (c *Core) Configure(now time.Time, services []Service) {
	kept := make(map[ident.Service]*service, len(services))
	for _, spec := range services {
		s := c.services[spec.Name]
		if s == nil {
			s = c.newService(spec.Name)
		}
		c.configureService(s, spec)
		kept[spec.Name] = s
	}
	for name, s := range c.services {
		if kept[name] == nil {
			for _, w := range s.order {
				c.refuseQueue(w, resultcode.Fail(resultcode.UnknownService, "service %s was removed", name))
			}
		}
	}
	c.services = kept
	c.assignOwners()
	c.assignAll(now)
}

func (c *Core) newService(name ident.Service) *service {
	return &service{
		name:       name,
		workspaces: map[ident.Workspace]*workspace{},
		targets:    map[ident.Target]*target{},
		ledger:     fairshare.New(fairshare.Config{Self: c.cfg.Self, Incarnation: c.cfg.Incarnation}),
		admission:  c.newAdmission(),
		places:     newPlaces(c.cfg.Zone, c.rng),
	}
}

func (c *Core) configureService(s *service, spec Service) {
	s.meanCost = spec.MeanCost
	s.preemption = spec.Preemption
	workspaces := make(map[ident.Workspace]*workspace, len(spec.Workspaces))
	s.order = s.order[:0]
	for _, ws := range spec.Workspaces {
		w := s.workspaces[ws.Name]
		if w == nil {
			w = newWorkspace(ws)
			w.shard = shardOf(s.name, ws.Name)
		}
		w.configure(ws)
		s.ledger.SetWeight(ws.Name, ws.Weight)
		s.ledger.SetGroup(ws.Name, groupName(ws.Targets))
		s.admission.SetLimits(ws.Name, admission.Limits{Weight: ws.Weight, Concurrent: ws.Concurrent, Rate: ws.Rate})
		workspaces[ws.Name] = w
		s.order = append(s.order, w)
	}
	sort.Slice(s.order, func(i, j int) bool { return s.order[i].Name < s.order[j].Name })
	for name, w := range s.workspaces {
		if workspaces[name] == nil {
			c.refuseQueue(w, resultcode.Fail(resultcode.Forbidden, "workspace %s was removed", name))
			s.ledger.Remove(name)
			delete(s.sums, name)
			s.admission.Remove(name)
		}
	}
	s.workspaces = workspaces
	s.prune()
	targets := make(map[ident.Target]*target, len(spec.Targets))
	for _, spec := range spec.Targets {
		t := s.targets[spec.Name]
		if t == nil {
			t = &target{service: s, grants: map[uint64]*grantOut{}, told: map[ident.Daemon]time.Time{}}
		}
		t.Target = spec
		targets[spec.Name] = t
	}
	s.targets = targets
	s.places.configure(spec)
}

func (c *Core) refuseQueue(w *workspace, failure *resultcode.Failure) {
	for _, it := range w.queue.Drain() {
		delete(c.requests, it.ID)
		c.emit(Refuse{Request: it.ID, Failure: failure})
	}
}

// Leave begins a planned stop: the daemon owns no target from now on unless no
// other daemon is left to own it.
func (c *Core) Leave(now time.Time) {
	c.leaving = true
	c.assignOwners()
	c.chooseExchange(now)
	c.assignAll(now)
}

// Take returns the effects since the last call and forgets them.
func (c *Core) Take() []Effect {
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

// Waiting returns how many requests wait here, Running how many run.
func (c *Core) Waiting() int { return len(c.requests) - c.Running() }

// Queued returns how many requests of the workspace wait here.
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

func (c *Core) message(to ident.Daemon) *Message {
	m := c.outbox[to]
	if m == nil {
		m = &Message{}
		c.outbox[to] = m
	}
	return m
}
