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
	// maxParts bounds the parts of one prompt that are suspected at a crash.
	maxParts = 16
	// expiryInterval is how often a Core looks for what has expired.
	expiryInterval = 10 * time.Second
	// maxExplained bounds the processes that are known to have ended for a held request, and those that
	// are known to have ended at all.
	maxExplained = 4096
	// decisionDelay is how long a keeper waits before it holds parts: all daemons report the requests
	// that a target ran at about the same time, and any of them may narrow what is to blame.
	decisionDelay = 50 * time.Millisecond
	// otherCausesInterval is for how long before the last crash of a suspect other ends of targets
	// count, which it does not explain.
	otherCausesInterval = 10 * time.Second
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

// Crashed handles the end of a target with a request of this daemon in progress.
func (c *Core) Crashed(now time.Time, run Run) {
	if c.holdsRun(&run) {
		c.explain(run.Process)
		return
	}
	crash := Crash{Subject: run.Request, Request: run.Request.Filter, Process: run.Process, Early: run.Early, Ago: run.Ago}
	c.suspectCrash(now, crash)
	parts := c.suspectParts(now, run.Parts)
	for _, p := range parts {
		crash.Subject, crash.Beside = p, nil
		for _, other := range parts {
			if other.Part != p.Part {
				crash.Beside = crash.Beside.with(other.Part.ID)
			}
		}
		c.suspectCrash(now, crash)
	}
}

// suspectParts returns the parts of a prompt that have not lately run to their end.
func (c *Core) suspectParts(now time.Time, parts []Subject) (out []Subject) {
	for _, p := range parts {
		repeated := slices.ContainsFunc(out, func(s Subject) bool { return s.Part == p.Part })
		if len(out) < maxParts && !repeated && !c.recent.Contains(now, p) {
			out = append(out, p)
		}
	}
	return out
}

func (c *Core) suspectCrash(now time.Time, crash Crash) {
	if c.recent.Contains(now, crash.Subject) || !c.own.get(crash.Subject).add(c.newRecord(now, crash)) {
		return
	}
	c.watch(now, crash.Subject)
	c.report(now, crash)
}

func (c *Core) newRecord(now time.Time, crash Crash) crashRecord {
	if len(c.ended) >= maxExplained {
		clear(c.ended)
	}
	c.ended[crash.Process] = now.Add(-crash.Ago)
	return crashRecord{
		process: crash.Process, at: now.Add(-crash.Ago), early: crash.Early,
		prompts: []prompt{{crash.Request, crash.Beside}}, explained: c.explained[crash.Process],
	}
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
	if c.holdsCrash(&crash) {
		c.explain(crash.Process)
		return
	}
	if c.recent.Contains(now, crash.Subject) {
		return
	}
	s := c.suspects.get(crash.Subject)
	if !s.add(c.newRecord(now, crash)) {
		return
	}
	if h, expired := c.expiredHoldOf(&crash); expired {
		c.decide(now, h)
		return
	}
	if c.mustHold(s) {
		c.decideSoon(now, s)
		return
	}
	if blame, _ := s.blame(); blame >= watchBlame && !s.watched {
		s.watched = true
		c.watch(now, s.Subject)
		c.broadcast(func(m *Message) { m.Watched = append(m.Watched, s.Subject) })
		c.effects = append(c.effects, Suspected{s.Subject, s.processes()})
	}
}

// mustHold reports whether a suspect that this daemon keeps is to be held back.
func (c *Core) mustHold(s *suspect) bool {
	since := s.lastCrash().Add(-otherCausesInterval)
	if first := s.firstCrash(); first.Before(since) {
		since = first
	}
	ended := 0
	for process, at := range c.ended {
		if !at.Before(since) && !c.explained[process] {
			ended++
		}
	}
	return s.mustHold(ended)
}

// decideSoon holds a suspect: a request at once, a part after decisionDelay.
func (c *Core) decideSoon(now time.Time, s *suspect) {
	if !s.IsPart() {
		c.decide(now, s.toHold())
		return
	}
	if len(c.undecided) == 0 {
		c.decideAt = now.Add(decisionDelay)
	}
	c.undecided[s.Fingerprint] = true
}

// decideParts holds the parts that are to be held by now.
func (c *Core) decideParts(now time.Time) {
	if len(c.undecided) == 0 || now.Before(c.decideAt) {
		return
	}
	for f := range c.undecided {
		if s := c.suspects[f]; s != nil && c.mustHold(s) {
			c.decide(now, s.toHold())
		}
	}
	clear(c.undecided)
}

func (c *Core) watch(now time.Time, subject Subject) {
	if _, known := c.watched[subject.Fingerprint]; !known && len(c.watched) >= maxSuspects {
		return
	}
	c.watched[subject.Fingerprint] = watch{subject, now}
	c.tableChanged = true
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
// proves that it does not end its target.
func (c *Core) Completed(now time.Time, f Fingerprint) {
	if c.holds(f) {
		c.Release(now, f)
		return
	}
	if _, watched := c.watched[f]; !watched {
		return
	}
	c.forgetSuspectUnlessKept(f)
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
