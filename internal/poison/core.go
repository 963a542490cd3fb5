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
	// firstHoldLifetime is how long a request is held back for the first time. The time doubles up
	// to maxHoldLifetime each time that the request ends a target right after it. Targets that end
	// whatever they run, as after a faulty release, have many requests held that do no harm.
	firstHoldLifetime = 10 * time.Minute
	maxHoldLifetime   = 24 * time.Hour
	// maxHolds bounds the requests that are held; the oldest are dropped first.
	maxHolds = 4096
	// expiryInterval is how often a Core looks for what has expired.
	expiryInterval = 10 * time.Second
	// maxDoublings bounds the doublings of a hold's lifetime, maxExpired the requests of which they
	// are known.
	maxDoublings = 8
	maxExpired   = 4096
	// maxExplained bounds the targets that are known to have ended for a held request.
	maxExplained = 4096
)

// Effect is an action that the caller of the Core has to carry out.
type Effect interface{ effect() }

// Send passes a message to another daemon.
type Send struct {
	To      ident.Daemon
	Message Message
}

// Suspected reports that this daemon, as a keeper, has a request watched.
type Suspected struct {
	Subject Subject
	Targets []ident.Target
}

// HoldBegan reports a request that is held from now on. Persist reports that this daemon decided so
// and has to write it to the store.
type HoldBegan struct {
	Hold    Hold
	Persist bool
}

// HoldEnded reports a request that is not held any more. Forget reports that this daemon has to
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

type heldRequest struct {
	Hold
	until time.Time
}

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
	// watched are the requests whose ends are to be reported, by the time of the last request to do so.
	watched map[Fingerprint]watch
	held    map[Fingerprint]heldRequest
	// expired counts for how many times a request was held until the hold expired. One crash is
	// enough to hold it again.
	expired map[Fingerprint]int
	// explained are targets that have ended for a held request.
	explained    map[ident.Target]bool
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
		self: self, recent: recent, own: suspects{}, suspects: suspects{}, watched: map[Fingerprint]watch{}, held: map[Fingerprint]heldRequest{},
		expired: map[Fingerprint]int{}, explained: map[ident.Target]bool{}, outbox: map[ident.Daemon]*Message{},
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

// Crashed handles the end of a target with a request of this daemon in progress.
func (c *Core) Crashed(now time.Time, crash Crash) {
	if _, held := c.held[crash.Fingerprint]; held {
		c.explain(crash.Target)
		return
	}
	if c.recent.Contains(now, crash.Filter) {
		return
	}
	if !c.own.get(crash.Subject).add(c.newRecord(now, crash)) {
		return
	}
	c.watch(now, crash.Subject)
	c.report(now, crash)
}

func (c *Core) newRecord(now time.Time, crash Crash) crashRecord {
	return crashRecord{target: crash.Target, at: now.Add(-crash.Ago), early: crash.Early, explained: c.explained[crash.Target]}
}

// report passes a crash to the keepers.
func (c *Core) report(now time.Time, crash Crash) {
	for _, id := range c.keepersOf(crash.Fingerprint) {
		if id == c.self {
			c.keep(now, crash)
			continue
		}
		m := c.messageTo(id)
		m.Crashes = append(m.Crashes, crash)
	}
}

// keep adds a crash to what this daemon knows as a keeper.
func (c *Core) keep(now time.Time, crash Crash) {
	if _, held := c.held[crash.Fingerprint]; held {
		c.explain(crash.Target)
		return
	}
	if c.recent.Contains(now, crash.Filter) {
		return
	}
	s := c.suspects.get(crash.Subject)
	if !s.add(c.newRecord(now, crash)) {
		return
	}
	if s.mustHold() || c.expired[crash.Fingerprint] > 0 {
		c.hold(now, Hold{Subject: s.Subject, Targets: s.targets()}, true)
		return
	}
	if blame, _ := s.blame(); blame >= watchBlame && !s.watched {
		s.watched = true
		c.watch(now, s.Subject)
		c.broadcast(func(m *Message) { m.Watched = append(m.Watched, s.Subject) })
		c.effects = append(c.effects, Suspected{s.Subject, s.targets()})
	}
}

func (c *Core) watch(now time.Time, subject Subject) {
	if _, known := c.watched[subject.Fingerprint]; !known && len(c.watched) >= maxSuspects {
		return
	}
	c.watched[subject.Fingerprint] = watch{subject, now}
	c.tableChanged = true
}

// hold begins to hold a request back. The targets that it has ended count less against what ran
// beside it.
func (c *Core) hold(now time.Time, h Hold, decided bool) {
	if _, held := c.held[h.Fingerprint]; held {
		return
	}
	if len(c.held) >= maxHolds {
		c.dropOldestHold()
	}
	lifetime := min(maxHoldLifetime, firstHoldLifetime<<min(c.expired[h.Fingerprint], maxDoublings))
	c.held[h.Fingerprint] = heldRequest{h, now.Add(lifetime)}
	c.forgetSuspect(h.Fingerprint)
	for _, target := range h.Targets {
		c.explain(target)
	}
	for _, table := range []suspects{c.suspects, c.own} {
		for _, s := range table {
			s.explain(h.Targets)
		}
	}
	c.tableChanged = true
	c.effects = append(c.effects, HoldBegan{Hold: h, Persist: decided})
	if decided {
		c.broadcast(func(m *Message) { m.Held = append(m.Held, h) })
	}
}

func (c *Core) explain(target ident.Target) {
	if len(c.explained) >= maxExplained {
		clear(c.explained)
	}
	c.explained[target] = true
}

func (c *Core) dropOldestHold() {
	oldest := slices.MinFunc(slices.Collect(maps.Values(c.held)), func(a, b heldRequest) int { return a.until.Compare(b.until) })
	c.endHold(oldest, c.keeps(oldest.Fingerprint))
}

// expireHold ends a hold whose time is over. Each daemon does so by itself; a keeper deletes it from
// the store.
func (c *Core) expireHold(now time.Time, h heldRequest) {
	if len(c.expired) >= maxExpired {
		clear(c.expired)
	}
	c.expired[h.Fingerprint]++
	c.watch(now, h.Subject) // a run to its end clears it for good
	c.endHold(h, c.keeps(h.Fingerprint))
}

func (c *Core) keeps(f Fingerprint) bool { return slices.Contains(c.keepersOf(f), c.self) }

func (c *Core) endHold(h heldRequest, forget bool) {
	delete(c.held, h.Fingerprint)
	c.tableChanged = true
	c.effects = append(c.effects, HoldEnded{Hold: h.Hold, Forget: forget})
}

func (c *Core) forgetSuspect(f Fingerprint) {
	delete(c.suspects, f)
	delete(c.own, f)
	if _, watched := c.watched[f]; watched {
		delete(c.watched, f)
		c.tableChanged = true
	}
}

// Completed handles a request of this daemon that has run to its end, which proves that it does not
// end its target.
func (c *Core) Completed(now time.Time, f Fingerprint) {
	if _, held := c.held[f]; held {
		c.Release(f)
		return
	}
	if _, watched := c.watched[f]; !watched {
		return
	}
	delete(c.expired, f)
	c.forgetSuspectUnlessKept(f)
	for _, id := range c.keepersOf(f) {
		if id == c.self {
			c.clear(f)
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
func (c *Core) clear(f Fingerprint) {
	s, expired := c.suspects[f], c.expired[f] > 0
	if s == nil && !expired {
		return
	}
	delete(c.expired, f)
	c.forgetSuspect(f)
	if expired || s.watched {
		c.broadcast(func(m *Message) { m.Released = append(m.Released, f) })
	}
}

// Release ends the hold of a request for the whole fleet. It reports whether it was held.
func (c *Core) Release(f Fingerprint) bool {
	h, held := c.held[f]
	if held {
		c.endHold(h, true)
	}
	delete(c.expired, f)
	c.forgetSuspect(f)
	c.broadcast(func(m *Message) { m.Released = append(m.Released, f) })
	return held
}

// Recall adds the requests that are held according to the store.
func (c *Core) Recall(now time.Time, holds []Hold) {
	for _, h := range holds {
		c.hold(now, h, false)
	}
}

// Receive handles a message of another daemon.
func (c *Core) Receive(now time.Time, m Message) {
	for _, crash := range m.Crashes {
		c.keep(now, crash)
	}
	for _, f := range m.Completed {
		if _, held := c.held[f]; held {
			c.Release(f)
			continue
		}
		c.clear(f)
	}
	for _, s := range m.Watched {
		if _, held := c.held[s.Fingerprint]; held {
			continue
		}
		c.watch(now, s)
		if c.recent.Contains(now, s.Filter) {
			c.Completed(now, s.Fingerprint)
		}
	}
	for _, h := range m.Held {
		c.hold(now, h, false)
	}
	for _, f := range m.Released {
		if h, held := c.held[f]; held {
			c.endHold(h, false)
		}
		delete(c.expired, f)
		c.forgetSuspect(f)
	}
}

// NextTick returns the time until Tick has something to do.
func (c *Core) NextTick(now time.Time) time.Duration { return max(0, c.nextExpiry.Sub(now)) }

// Tick drops what has expired.
func (c *Core) Tick(now time.Time) {
	if now.Before(c.nextExpiry) {
		return
	}
	c.nextExpiry = now.Add(expiryInterval)
	c.suspects.expire(now)
	c.own.expire(now)
	for f, w := range c.watched {
		if now.Sub(w.at) > suspectLifetime {
			delete(c.watched, f)
			c.tableChanged = true
		}
	}
	for _, h := range c.held {
		if now.After(h.until) {
			c.expireHold(now, h)
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
	t := &Table{filters: map[Filter]bool{}, held: map[Fingerprint]Hold{}, watched: map[Fingerprint]bool{}}
	for f, h := range c.held {
		t.held[f], t.filters[h.Filter] = h.Hold, true
	}
	for f, w := range c.watched {
		t.watched[f], t.filters[w.subject.Filter] = true, true
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
