package origin

import (
	"maps"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// Config configures a Core.
type Config struct {
	Self ident.Daemon
	Zone ident.Zone
	// MaxViewAge is how long ago the store must have confirmed the view for it to count as
	// complete: a daemon that cannot follow the store may not know the newest version.
	MaxViewAge time.Duration
	// FirstStart reports that no daemon of the fleet has run before, PeersExpected that others
	// were registered when this one started: until it has run for the lifetime of a stream, it
	// relies on what it sees only if one of them agrees.
	FirstStart, PeersExpected bool
}

const (
	// batchInterval is how long records are collected before they are sent. Those not sent yet
	// are lost if the daemon is killed. Where a zone has several groups of daemons, the records
	// of a batch go to more of them, and largeBatchInterval keeps the number of messages down.
	batchInterval      = 250 * time.Millisecond
	largeBatchInterval = 500 * time.Millisecond
	// answerTimeout is how long the answers to one round of questions are awaited.
	answerTimeout = 250 * time.Millisecond
	// updateInterval is how often a Core checks whether what it knows without records is still
	// reliable.
	updateInterval = time.Second
	// memberChangeDelay is how long changes of the members are gathered: a fleet that starts has
	// hundreds of them.
	memberChangeDelay = 250 * time.Millisecond
	// maxSearches bounds the searches in progress.
	maxSearches = 1 << 10
)

// Record tells a keeper the origin of a stream.
type Record struct {
	Key    Key
	Origin Origin
}

// Question asks a daemon for the origin of a stream of a route.
type Question struct {
	// ID is chosen by the sender; the answer repeats it.
	ID    uint64
	Key   Key
	Route string
}

// Answer is the answer to a Question. The Origin is set if the Status is Recorded or Sole.
type Answer struct {
	ID     uint64
	Status Status
	Origin Origin
}

// Message carries everything that one Core sends to another at a time.
type Message struct {
	Records   []Record
	Questions []Question
	Answers   []Answer
}

// Empty reports whether the message has no content.
func (m *Message) Empty() bool { return len(m.Records)+len(m.Questions)+len(m.Answers) == 0 }

// Urgent reports whether somebody waits for the message.
func (m *Message) Urgent() bool { return len(m.Questions)+len(m.Answers) > 0 }

// Effect is an action that the caller of the Core has to carry out.
type Effect interface{ effect() }

// Send passes a message to another daemon.
type Send struct {
	To      ident.Daemon
	Message Message
}

// Found ends a search.
type Found struct {
	Request ident.Request
	Finding Finding
}

func (Send) effect()  {}
func (Found) effect() {}

// Core is what one daemon knows of the origins of streams. It is not safe for concurrent use: the
// daemon's control goroutine owns it.
type Core struct {
	cfg     Config
	history *History
	// startedAt is when the daemon started, confirmedAt the time as of
	// which the store last confirmed the view.
	startedAt, confirmedAt time.Time
	records                *records
	// members are the live daemons; directory is nil until it is needed after they have changed.
	members        []Member
	directory      *directory
	membersChanged bool
	leaving        bool
	// view is what new streams can begin at. ambiguous holds the services of routes whose streams
	// may have several origins, or of which that is not known.
	view      View
	ambiguous map[ident.Service]bool
	// unsent holds the keys of own streams whose records are to be sent at nextBatch.
	unsent                map[Key]struct{}
	nextBatch, nextUpdate time.Time

	// unreachable holds the daemons whose link was lost and is not up again.
	unreachable map[ident.Daemon]bool

	searches   map[uint64]*search
	lastSearch uint64
	outbox     map[ident.Daemon]*Message
	effects    []Effect
}

// New returns a Core that knows nothing yet.
func New(cfg Config, now time.Time) *Core {
	return &Core{
		cfg: cfg, startedAt: now, history: NewHistory(now, cfg.FirstStart), records: newRecords(now),
		ambiguous: map[ident.Service]bool{}, unsent: map[Key]struct{}{}, unreachable: map[ident.Daemon]bool{}, searches: map[uint64]*search{}, outbox: map[ident.Daemon]*Message{},
	}
}

// Observe replaces the view of what new streams can begin at.
func (c *Core) Observe(now time.Time, v View) {
	c.view = v
	c.history.Observe(now, v)
	c.updateAmbiguous(now)
}

// updateAmbiguous determines of which services' streams the keepers need records. The records of
// streams that began while a route had one origin are sent once it may have several.
func (c *Core) updateAmbiguous(now time.Time) {
	ambiguous := map[ident.Service]bool{}
	for route, services := range c.view.Routes {
		if status, _ := c.sharedKnowledge(now, route); status != Sole {
			for _, service := range services {
				ambiguous[service] = true
			}
		}
	}
	if !maps.Equal(ambiguous, c.ambiguous) {
		c.ambiguous = ambiguous
		c.sendMissing(now)
	}
}

// Confirm records that the store has confirmed the view as of the time at. If it had not for long,
// versions may have come and gone unseen.
func (c *Core) Confirm(now, at time.Time) {
	if !c.confirmedAt.IsZero() && !c.isConfirmed(now) {
		c.history.Interrupt(now)
	}
	c.confirmedAt = at
}

func (c *Core) isConfirmed(now time.Time) bool { return now.Sub(c.confirmedAt) <= c.cfg.MaxViewAge }

// Recall adds the versions that the fleet has had in use, as read from the store.
func (c *Core) Recall(now time.Time, past map[ident.Service][]ident.Version) {
	c.history.Recall(now, past)
}

// Versions returns the versions of each service at which streams may have begun that can still
// be taken up.
func (c *Core) Versions(now time.Time) map[ident.Service][]ident.Version {
	return c.history.Versions(now)
}

// SetMembers replaces the list of other live daemons, without those that are about to leave. A
// record whose keepers change is sent to the new ones.
func (c *Core) SetMembers(now time.Time, others []Member) {
	c.members = append(slices.Clone(others), Member{c.cfg.Self, c.cfg.Zone})
	c.directory, c.membersChanged = nil, true
	if due := now.Add(memberChangeDelay); due.Before(c.nextUpdate) {
		c.nextUpdate = due
	}
	maps.DeleteFunc(c.unreachable, func(id ident.Daemon, _ bool) bool {
		return !slices.ContainsFunc(others, func(m Member) bool { return m.ID == id })
	})
}

// keepers returns the directory of the present members.
func (c *Core) keepers() *directory {
	if c.directory == nil {
		c.directory = newDirectory(c.cfg.Self, c.cfg.Zone, c.members)
	}
	return c.directory
}

// sendMissing sends the records of own streams that their keepers do not have yet.
func (c *Core) sendMissing(now time.Time) {
	c.records.each(func(key Key, r record) {
		if r.own && c.mustSend(r.origin.Value().Service) && !slices.Equal(r.keepers, c.keepers().keepersOf(key)) {
			c.queue(now, key)
		}
	})
}

// mustSend reports whether the keepers need records of a service's streams.
func (c *Core) mustSend(service ident.Service) bool { return c.leaving || c.ambiguous[service] }

// LinkUp handles a new link to a daemon: it may have restarted, and messages to it may have been
// lost.
func (c *Core) LinkUp(now time.Time, id ident.Daemon) {
	delete(c.unreachable, id)
	c.records.each(func(key Key, r record) {
		if r.own && slices.Contains(r.keepers, id) {
			c.queue(now, key)
		}
	})
}

// LinkLost handles the loss of a link: the daemon's answers are not awaited any longer.
func (c *Core) LinkLost(now time.Time, id ident.Daemon) {
	c.unreachable[id] = true
	for _, n := range slices.Sorted(maps.Keys(c.searches)) {
		if s := c.searches[n]; s.pending[id] {
			delete(s.pending, id)
			s.silent++
			c.proceed(now, s)
		}
	}
}

// Leave begins a graceful shutdown: all records are handed on, those kept for others too, since
// the daemons that sent them may have ended.
func (c *Core) Leave(now time.Time) {
	c.leaving = true
	c.records.each(func(key Key, r record) { c.queue(now, key) })
}

// Began records that the first event of a stream that can be resumed, or the first one after it
// was taken up again, has been received from a target.
func (c *Core) Began(now time.Time, key Key, o Origin) {
	if key == 0 {
		return
	}
	c.records.put(key, o, true)
	if c.mustSend(o.Service) {
		c.queue(now, key)
	}
}

func (c *Core) queue(now time.Time, key Key) {
	if len(c.unsent) == 0 {
		c.nextBatch = now.Add(c.batchInterval())
	}
	c.unsent[key] = struct{}{}
}

// update checks what has changed since the last time.
func (c *Core) update(now time.Time) {
	c.nextUpdate = now.Add(updateInterval)
	c.updateAmbiguous(now)
	if c.membersChanged {
		c.membersChanged = false
		c.sendMissing(now)
	}
}

func (c *Core) batchInterval() time.Duration {
	if len(c.keepers().zones[c.cfg.Zone]) > 1 {
		return largeBatchInterval
	}
	return batchInterval
}

// sendBatch sends the queued records.
func (c *Core) sendBatch() {
	for key := range c.unsent {
		r, known := c.records.find(key)
		if !known {
			continue
		}
		keepers := c.keepers().keepersOf(key)
		for _, id := range keepers {
			m := c.messageTo(id)
			m.Records = append(m.Records, Record{key, r.origin.Value()})
		}
		c.records.setKeepers(key, keepers)
	}
	clear(c.unsent)
}

// NextTick returns the time until Tick has something to do.
func (c *Core) NextTick(now time.Time) time.Duration {
	next := c.nextUpdate
	if len(c.unsent) > 0 && c.nextBatch.Before(next) {
		next = c.nextBatch
	}
	for _, s := range c.searches {
		if s.deadline.Before(next) {
			next = s.deadline
		}
	}
	return max(0, next.Sub(now))
}

// Tick handles everything that has become due by now.
func (c *Core) Tick(now time.Time) {
	if c.history.lifetime > 0 {
		c.records.rotate(now, c.history.lifetime)
	}
	if !now.Before(c.nextUpdate) {
		c.update(now)
	}
	if len(c.unsent) > 0 && !now.Before(c.nextBatch) {
		c.sendBatch()
	}
	if len(c.searches) > 0 {
		c.giveUpRounds(now)
	}
}

// Receive handles a message of another daemon.
func (c *Core) Receive(now time.Time, from ident.Daemon, m Message) {
	for _, r := range m.Records {
		c.records.put(r.Key, r.Origin, false)
	}
	for _, q := range m.Questions {
		reply := c.messageTo(from)
		reply.Answers = append(reply.Answers, c.answer(now, q))
	}
	for _, a := range m.Answers {
		c.receiveAnswer(now, from, a)
	}
}

// TakeEffects returns the effects since the last call and clears them.
func (c *Core) TakeEffects() []Effect {
	if len(c.outbox)+len(c.effects) == 0 {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(c.outbox)) {
		c.effects = append(c.effects, Send{To: id, Message: *c.outbox[id]})
	}
	clear(c.outbox)
	effects := c.effects
	c.effects = nil
	return effects
}

func (c *Core) messageTo(id ident.Daemon) *Message {
	if c.outbox[id] == nil {
		c.outbox[id] = &Message{}
	}
	return c.outbox[id]
}
