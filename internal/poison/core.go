package poison

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savorystall/savorystall/internal/ident"
)

const (
	// copies is the number of keepers of a suspect.
	copies = 2
	// expiryInterval is how often a Core looks for what has expired.
	expiryInterval = 10 * time.Second
	// maxExplained bounds the processes that are known to have ended for a held request, and those that
	// are known to have ended at all.
	maxExplained = 4096
)

// Effect is an action that the caller of the Core has to carry out.
type Effect interface{ effect() }

// Send passes a message to another daemon.
type Send struct {
	To      ident.Daemon
	Message Message
}

// Suspected reports that this daemon, as a keeper, has a subject watched.
type Suspected struct {
	Subject Subject
	Ended   []Process
}

// HoldBegan reports what is held from now on. Persist reports that this daemon decided so
// and has to write it to the store.
type HoldBegan struct {
	Hold    Hold
	Persist bool
}

// HoldEnded reports what is not held any more. Forget reports that this daemon has to
// delete it from the store.
type HoldEnded struct {
	Hold   Hold
	Forget bool
}

// TableChanged replaces the table that requests are compared with.
type TableChanged struct{ Table *Table }

func (Send) effect()         {}
func (Suspected) effect()    {}
func (HoldBegan) effect()    {}
func (HoldEnded) effect()    {}
func (TableChanged) effect() {}

type member struct {
	id   ident.Daemon
	hash uint64
}

// Core is what one daemon knows of requests that end targets. It is not safe for concurrent use: the
// daemon's control goroutine owns it.
type Core struct {
	self ident.Daemon
	// recent holds what has lately run to its end at this daemon.
	recent  *Recent
	members []member
	// own holds what this daemon has reported, to be reported again if the keepers change.
	own suspects
	// suspects holds what this daemon keeps for the fleet.
	suspects suspects
	// watched are the subjects whose ends are to be reported, by the time of the last request to do so.
	watched map[Fingerprint]watch
	// held and expired are the holds by their keys.
	held    map[Fingerprint]activeHold
	expired map[Fingerprint]expiredHold
	// explained are processes that have ended for a held request.
	explained map[Process]bool
	// ended are the processes that are known to have ended, with the times of that.
	ended map[Process]time.Time
	// undecided are the parts that are to be held unless what arrives before decideAt changes that.
	undecided    map[Fingerprint]bool
	decideAt     time.Time
	nextExpiry   time.Time
	tableChanged bool
	outbox       map[ident.Daemon]*Message
	effects      []Effect
}

type watch struct {
	subject Subject
	at      time.Time
}

// New returns a Core that knows nothing yet.
func New(self ident.Daemon, recent *Recent) *Core {
	c := &Core{
		self: self, recent: recent, own: suspects{}, suspects: suspects{}, watched: map[Fingerprint]watch{}, held: map[Fingerprint]activeHold{},
		expired: map[Fingerprint]expiredHold{}, explained: map[Process]bool{}, ended: map[Process]time.Time{}, undecided: map[Fingerprint]bool{}, outbox: map[ident.Daemon]*Message{},
	}
	c.setMembers(nil)
	return c
}

func (c *Core) setMembers(others []ident.Daemon) {
	c.members = c.members[:0]
	for _, id := range append(slices.Clone(others), c.self) {
		c.members = append(c.members, member{id, xxhash.Sum64String(string(id))})
	}
}

// keepersOf returns the daemons that add up the crashes of a request: those with the highest weights.
func (c *Core) keepersOf(f Fingerprint) []ident.Daemon {
	type ranked struct {
		id     ident.Daemon
		weight uint64
	}
	key := xxhash.Sum64(f[:])
	top := make([]ranked, 0, copies+1)
	for _, m := range c.members {
		r := ranked{m.id, mix(key ^ m.hash)}
		i := len(top)
		for i > 0 && (top[i-1].weight < r.weight || top[i-1].weight == r.weight && top[i-1].id > r.id) {
			i--
		}
		top = slices.Insert(top, i, r)
		top = top[:min(copies, len(top))]
	}
	out := make([]ident.Daemon, len(top))
	for i, r := range top {
		out[i] = r.id
	}
	return out
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// SetMembers replaces the list of other live daemons, without those that are about to leave. What
// this daemon has reported goes to the present keepers, which know of it by its targets.
func (c *Core) SetMembers(now time.Time, others []ident.Daemon) {
	before := map[Fingerprint][]ident.Daemon{}
	for fingerprint := range c.own {
		before[fingerprint] = c.keepersOf(fingerprint)
	}
	c.setMembers(others)
	for fingerprint, s := range c.own {
		if slices.Equal(before[fingerprint], c.keepersOf(fingerprint)) {
			continue
		}
		for _, crash := range s.reports(now) {
			c.report(now, crash)
		}
	}
}

// LinkUp handles a new link to a daemon, which may have started or have been cut off.
func (c *Core) LinkUp(now time.Time, id ident.Daemon) {
	for fingerprint, s := range c.own {
		if !slices.Contains(c.keepersOf(fingerprint), id) {
			continue
		}
		m := c.messageTo(id)
		m.Crashes = append(m.Crashes, s.reports(now)...)
	}
	for _, h := range c.held {
		m := c.messageTo(id)
		m.Held = append(m.Held, h.Hold)
	}
}

func (c *Core) explain(p Process) {
	if len(c.explained) >= maxExplained {
		clear(c.explained)
	}
	c.explained[p] = true
}

func (c *Core) keeps(f Fingerprint) bool { return slices.Contains(c.keepersOf(f), c.self) }

func (c *Core) forgetSuspect(f Fingerprint) {
	delete(c.suspects, f)
	delete(c.own, f)
	if _, watched := c.watched[f]; watched {
		delete(c.watched, f)
		c.tableChanged = true
	}
}

// Completed handles a watched subject: a request with it has run to its end at this daemon, which
// proves that it does not end its target. The keepers tell all others.
func (c *Core) Completed(now time.Time, f Fingerprint) {
	held := c.holds(f)
	if _, watched := c.watched[f]; !watched && !held {
		return
	}
	if !held {
		c.forgetSuspectUnlessKept(f)
	}
	c.reportCompleted(now, f)
}

// reportCompleted tells the keepers of a subject that it has run to its end.
func (c *Core) reportCompleted(now time.Time, f Fingerprint) {
	for _, id := range c.keepersOf(f) {
		if id == c.self {
			c.clear(now, f)
			continue
		}
		m := c.messageTo(id)
		m.Completed = append(m.Completed, f)
	}
}

// forgetSuspectUnlessKept drops what this daemon itself has reported and watches. As a keeper it
// clears the suspect separately, since others may watch it too.
func (c *Core) forgetSuspectUnlessKept(f Fingerprint) {
	kept := c.suspects[f]
	c.forgetSuspect(f)
	if kept != nil {
		c.suspects[f] = kept
	}
}

// clear drops a suspect that this daemon keeps, and tells those that watch it.
func (c *Core) clear(now time.Time, f Fingerprint) {
	s, expired := c.suspects[f], c.hasExpired(f)
	if c.holds(f) {
		c.Release(now, f)
		return
	}
	if s == nil && !expired {
		return
	}
	c.release(now, f, true)
	if expired || s.watched {
		c.broadcast(func(m *Message) { m.Released = append(m.Released, f) })
	}
}

// Release ends a hold for the whole fleet, given its key, or those of a part, which prompts must have
// the other parts of to be held from then on. It reports whether there was one.
func (c *Core) Release(now time.Time, f Fingerprint) (held bool) {
	held = c.release(now, f, true)
	c.broadcast(func(m *Message) { m.Released = append(m.Released, f) })
	return held
}

// Receive handles a message of another daemon.
func (c *Core) Receive(now time.Time, m Message) {
	for _, crash := range m.Crashes {
		c.keep(now, crash)
	}
	for _, f := range m.Completed {
		c.clear(now, f)
	}
	for _, s := range m.Watched {
		if c.holds(s.Fingerprint) {
			continue
		}
		c.watch(now, s)
		if c.recent.Contains(now, s) {
			c.Completed(now, s.Fingerprint)
		}
	}
	for _, h := range m.Held {
		c.receiveHold(now, h)
	}
	for _, f := range m.Released {
		c.release(now, f, false)
	}
}

// NextTick returns the time until Tick has something to do.
func (c *Core) NextTick(now time.Time) time.Duration {
	next := c.nextExpiry
	if len(c.undecided) > 0 && c.decideAt.Before(next) {
		next = c.decideAt
	}
	return max(0, next.Sub(now))
}

// Tick decides what is due, and drops what has expired.
func (c *Core) Tick(now time.Time) {
	c.decideParts(now)
	if now.Before(c.nextExpiry) {
		return
	}
	c.nextExpiry = now.Add(expiryInterval)
	c.suspects.expire(now)
	c.own.expire(now)
	maps.DeleteFunc(c.ended, func(_ Process, at time.Time) bool { return now.Sub(at) > suspectLifetime })
	for f, w := range c.watched {
		if now.Sub(w.at) > suspectLifetime {
			delete(c.watched, f)
			c.tableChanged = true
		}
	}
	for key, h := range c.held {
		if now.After(h.until) {
			c.expireHold(now, key, h)
		}
	}
}

// TakeEffects returns the effects since the last call and clears them.
func (c *Core) TakeEffects() []Effect {
	if len(c.outbox)+len(c.effects) == 0 && !c.tableChanged {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(c.outbox)) {
		c.effects = append(c.effects, Send{To: id, Message: *c.outbox[id]})
	}
	clear(c.outbox)
	if c.tableChanged {
		c.tableChanged = false
		c.effects = append(c.effects, TableChanged{c.table()})
	}
	effects := c.effects
	c.effects = nil
	return effects
}

func (c *Core) table() *Table {
	t := newTable()
	for _, h := range c.held {
		t.addHold(h.Hold)
	}
	for _, w := range c.watched {
		t.addWatched(w.subject)
	}
	return t
}

func (c *Core) broadcast(add func(*Message)) {
	for _, m := range c.members {
		if m.id != c.self {
			add(c.messageTo(m.id))
		}
	}
}

func (c *Core) messageTo(id ident.Daemon) *Message {
	if c.outbox[id] == nil {
		c.outbox[id] = &Message{}
	}
	return c.outbox[id]
}
