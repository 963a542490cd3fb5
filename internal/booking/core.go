package booking

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savorystall/savorystall/internal/ident"
)

// Config holds what a Core needs to know of its daemon.
type Config struct {
	Self        ident.Daemon
	Incarnation uint64
	Zone        ident.Zone
}

// Intervals and bounds.
const (
	// askWait is how long the answer of another daemon is awaited. It is several
	// times the way there and back with a busy owner, and below the time that a
	// short objective leaves for another try.
	askWait = 40 * time.Millisecond
	// forget is how long an owner keeps a request of which it hears nothing more;
	// a lost end then frees its place. No request lasts longer than a few seconds
	// beyond its first byte, and an owner that forgets too early only takes too
	// many for a moment.
	forget = 12 * time.Second
	// hearing is how long an owner that did not answer is passed over, unless it
	// is heard before.
	hearing = time.Second
)

// Core is the booking state of one daemon. It is not safe for concurrent use: the
// daemon's control goroutine owns it.
type Core struct {
	cfg      Config
	rng      *rand.Rand
	leaving  bool
	services map[ident.Service]*service
	peers    map[ident.Daemon]*peer
	requests map[ident.Request]*request
	asks     map[uint64]*request
	lastAsk  uint64
	// sent are the asks that may still be out, in the order in which they were
	// sent, so that a tick looks only at those that are due.
	sent []sentAsk
	runs map[runKey]*run
	// held are the placed requests of this ingress that are held back, by the numbers
	// of their runs; holds is until when, in order.
	held    map[uint64]*request
	holds   []heldUntil
	returns returns
	effects []Effect
	outbox  map[ident.Daemon]*Message
	// lastTell is when this daemon told others last, and nextTell when it is to.
	lastTell, nextTell time.Time
	circle             circle
	// nextForget is when requests are looked for of which nothing is heard.
	nextForget time.Time
}

// sentAsk is an ask that may still be out.
type sentAsk struct {
	id uint64
	at time.Time
}

// service is the state of one service.
type service struct {
	name  ident.Service
	model bool
	rate  float64
	// fetch is the time to copy one kept token between targets; zero: not possible.
	fetch   time.Duration
	engines map[ident.Target]*engine
	// order lists them by name, so that no decision hangs on the order of a map.
	order  []*engine
	shares shares
	// capacity is what its targets were seen to give.
	capacity capacity
	// slowdown is what was learnt of streams beside reading.
	slowdown slowdown
	// pace is what was learnt of all its targets that this daemon owns.
	pace pace
}

// peer is the state kept about another daemon.
type peer struct {
	Peer
	// silent is until when it is passed over because it did not answer.
	silent time.Time
}

// runKey names a request on an owned target.
type runKey struct {
	ingress ident.Daemon
	id      uint64
}

// request is a request of this ingress: one that is being placed or that runs.
type request struct {
	Request
	// candidates are the targets still to be asked, tried counts those that were.
	candidates []candidate
	tried      int
	// met tells that an owner was asked, back that one knows the request as one that
	// comes back.
	met, back bool
	// more tells that the emptiest targets may be asked after the candidates.
	more bool
	// askedAt are the targets that were asked.
	askedAt []*engine
	// unheard are those whose owners did not answer, answered tells that one did.
	unheard  []candidate
	answered bool
	// ask is the present one, zero while none is out; asked is when it was sent,
	// at is the target, to the owner.
	ask   uint64
	asked time.Time
	at    candidate
	to    ident.Daemon
	// least is the shortest wait that an owner told, limit, used and alone what it said
	// with it.
	least time.Duration
	limit Limit
	used  float64
	alone time.Duration
	// source is the target that keeps most of the prompt by what owners told, and
	// sourceKept how many tokens.
	source     ident.Target
	sourceKept int
	// here is how many tokens the target that answered last keeps.
	here    int
	running bool
	began   time.Time
	// read tells that the first byte of the answer has come.
	read bool
	// placedBy is the daemon that keeps the run; empty: this one.
	placedBy ident.Daemon
	runID    uint64
	// dispatch is what is emitted when it goes to its target.
	dispatch Dispatch
}

type candidate struct {
	engine *engine
	by     string
}

// New returns a Core without services and peers.
func New(cfg Config, rng *rand.Rand) *Core {
	return &Core{
		cfg: cfg, rng: rng,
		services: map[ident.Service]*service{},
		peers:    map[ident.Daemon]*peer{},
		requests: map[ident.Request]*request{},
		asks:     map[uint64]*request{},
		runs:     map[runKey]*run{},
		held:     map[uint64]*request{},
		returns:  returns{},
		outbox:   map[ident.Daemon]*Message{},
	}
}

// Configure puts a new set of services in force.
func (c *Core) Configure(now time.Time, services []Service) {
	kept := make(map[ident.Service]*service, len(services))
	for _, spec := range services {
		s := c.services[spec.Name]
		if s == nil {
			s = &service{name: spec.Name, engines: map[ident.Target]*engine{}, shares: newShares(), pace: assumedPace()}
		}
		s.model, s.rate, s.fetch = spec.Model, spec.Rate, spec.Fetch
		s.shares.configure(spec.Workspaces)
		c.configureTargets(s, spec.Targets)
		kept[spec.Name] = s
	}
	c.services = kept
	c.assign(now)
}

func (c *Core) configureTargets(s *service, targets []Target) {
	engines := make(map[ident.Target]*engine, len(targets))
	s.order = s.order[:0]
	for _, spec := range targets {
		e := s.engines[spec.Name]
		if e == nil {
			e = newEngine(s, spec)
		}
		if e.Born != spec.Born {
			c.dropRuns(e)
			e.restarted()
		}
		e.Target = spec
		engines[spec.Name] = e
		s.order = append(s.order, e)
	}
	sort.Slice(s.order, func(i, j int) bool { return s.order[i].Name < s.order[j].Name })
	s.engines = engines
}

func (c *Core) dropRuns(e *engine) {
	for _, r := range e.runs {
		delete(c.runs, runKey{r.ingress, r.id})
	}
}

// forgetEvery is how often requests are looked for of which nothing is heard.
const forgetEvery = time.Second

// leastTick bounds how soon Due asks for a tick: what is due within it is done in one go.
const leastTick = 5 * time.Millisecond

// Due returns how long it is until Tick has something to do. An idle daemon that ticks a
// hundred times a second spends a sixth of its processor time on it.
func (c *Core) Due(now time.Time) time.Duration {
	next := c.nextTell
	if c.nextForget.Before(next) {
		next = c.nextForget
	}
	for len(c.sent) > 0 && c.asks[c.sent[0].id] == nil {
		c.sent = c.sent[1:] // it was answered
	}
	if len(c.sent) > 0 {
		if answer := c.sent[0].at.Add(askWait); answer.Before(next) {
			next = answer
		}
	}
	if at, ok := c.nextHold(); ok && at.Before(next) {
		next = at
	}
	return max(leastTick, next.Sub(now))
}

// Tick lets time pass.
func (c *Core) Tick(now time.Time) {
	c.giveUpAsks(now)
	c.endHolds(now)
	if !now.Before(c.nextForget) {
		c.nextForget = now.Add(forgetEvery)
		c.forgetRuns(now)
		c.returns.forget(now)
	}
	if !now.Before(c.nextTell) {
		c.lastTell, c.nextTell = now, now.Add(c.interval())
		c.tell(now)
	}
}

// giveUpAsks goes on with the requests whose owner has not answered in time.
func (c *Core) giveUpAsks(now time.Time) {
	for len(c.sent) > 0 && now.Sub(c.sent[0].at) >= askWait {
		id := c.sent[0].id
		c.sent = c.sent[1:]
		r := c.asks[id]
		if r == nil || r.ask != id {
			continue // it was answered
		}
		if p := c.peers[r.to]; p != nil {
			p.silent = now.Add(hearing)
		}
		c.unanswered(now, r)
	}
}

func (c *Core) forgetRuns(now time.Time) {
	for key, r := range c.runs {
		if now.After(r.until) {
			r.target.remove(now, r, 0)
			delete(c.runs, key)
			c.releaseBehind(now, r)
		}
	}
}

// Take returns the effects since the last call and forgets them.
func (c *Core) Take() []Effect {
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
	taken := c.effects
	c.effects = nil
	return taken
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

// Running returns how many requests of this ingress are placed or run.
func (c *Core) Running() int { return len(c.requests) }

// weight orders targets for a shared part: the highest is its home.
func weight(part uint64, target ident.Target) uint64 {
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
