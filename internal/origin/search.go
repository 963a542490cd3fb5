package origin

import (
	"maps"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// search is a search for the origin of a stream of which this daemon has no record. The daemons
// of the own zone are asked first, those of the others in a second round unless one has a record.
//
// Without a record, what this daemon sees is not enough: for some seconds it may be out of step and
// not have heard of a version at which the stream began elsewhere. Most of the daemons that are asked
// have to agree.
type search struct {
	id      uint64
	request ident.Request
	key     Key
	route   string
	// pending are the daemons whose answers are awaited until deadline, far those of the second
	// round, if it has not begun.
	pending  map[ident.Daemon]bool
	far      []ident.Daemon
	deadline time.Time
	// several and soles collect what is known without a record of the stream.
	several bool
	// needsPeer reports that another daemon has to agree even if there is none.
	needsPeer bool
	soles     map[Origin]bool
	// asked, agreed and silent are how many daemons were asked, stated a sole origin, and did not answer.
	asked, agreed, silent int
}

// Find begins the search for the origin of a stream that a caller takes up; Found follows.
func (c *Core) Find(now time.Time, request ident.Request, key Key, route string) {
	if r, known := c.records.find(key); known && key != 0 {
		c.emitFound(request, Finding{Status: Recorded, Origin: r.origin.Value()})
		return
	}
	if len(c.searches) >= maxSearches {
		c.emitFound(request, Finding{Silent: 1})
		return
	}
	c.lastSearch++
	s := &search{id: c.lastSearch, request: request, key: key, route: route, pending: map[ident.Daemon]bool{}, soles: map[Origin]bool{}}
	s.needsPeer = c.cfg.PeersExpected && now.Sub(c.startedAt) < c.history.lifetime
	c.searches[s.id] = s
	s.add(c.sharedKnowledge(now, route))
	near, far := c.keepers().candidates(key)
	s.far = far
	c.ask(now, s, near)
	c.proceed(now, s)
}

// sharedKnowledge returns what this daemon knows of the origins of a route's streams without a
// record. It is unsure if the view may be outdated.
func (c *Core) sharedKnowledge(now time.Time, route string) (Status, Origin) {
	status, o := c.history.Of(now, route)
	if status == Sole && !c.isConfirmed(now) {
		return Unsure, Origin{}
	}
	return status, o
}

func (s *search) add(status Status, o Origin) {
	switch status {
	case Several:
		s.several = true
	case Sole:
		s.soles[o] = true
	}
}

func (c *Core) ask(now time.Time, s *search, daemons []ident.Daemon) {
	s.deadline = now.Add(answerTimeout)
	s.asked += len(daemons)
	for _, id := range daemons {
		if c.unreachable[id] {
			s.silent++
			continue
		}
		s.pending[id] = true
		m := c.messageTo(id)
		m.Questions = append(m.Questions, Question{ID: s.id, Key: s.key, Route: s.route})
	}
}

// proceed begins the next round of a search, or ends it, once all answers of a round have
// arrived.
func (c *Core) proceed(now time.Time, s *search) {
	for len(s.pending) == 0 {
		if len(s.far) == 0 {
			c.end(s, s.conclusion())
			return
		}
		far := s.far
		s.far = nil
		c.ask(now, s, far)
	}
}

// giveUpRounds ends the wait for answers that are overdue.
func (c *Core) giveUpRounds(now time.Time) {
	for _, n := range slices.Sorted(maps.Keys(c.searches)) {
		if s := c.searches[n]; !now.Before(s.deadline) {
			c.giveUpRound(now, s)
		}
	}
}

// giveUpRound ends the wait for the answers of a round.
func (c *Core) giveUpRound(now time.Time, s *search) {
	s.silent += len(s.pending)
	clear(s.pending)
	c.proceed(now, s)
}

// settled reports whether the origin is known without a record of the stream.
func (s *search) settled() bool {
	return !s.several && len(s.soles) == 1 && 2*s.agreed >= s.asked && (s.agreed > 0 || !s.needsPeer)
}

func (s *search) conclusion() Finding {
	f := Finding{Asked: s.asked, Silent: s.silent}
	switch {
	case s.settled():
		f.Status = Sole
		for o := range s.soles {
			f.Origin = o
		}
	case s.several || len(s.soles) > 1:
		f.Status = Several
	}
	return f
}

func (c *Core) end(s *search, f Finding) {
	delete(c.searches, s.id)
	c.emitFound(s.request, f)
}

func (c *Core) emitFound(request ident.Request, f Finding) {
	c.effects = append(c.effects, Found{Request: request, Finding: f})
}

// answer answers the question of another daemon.
func (c *Core) answer(now time.Time, q Question) Answer {
	if r, known := c.records.find(q.Key); known && q.Key != 0 {
		return Answer{ID: q.ID, Status: Recorded, Origin: r.origin.Value()}
	}
	status, o := c.sharedKnowledge(now, q.Route)
	return Answer{ID: q.ID, Status: status, Origin: o}
}

func (c *Core) receiveAnswer(now time.Time, from ident.Daemon, a Answer) {
	s := c.searches[a.ID]
	if s == nil || !s.pending[from] {
		return
	}
	if a.Status == Recorded {
		c.end(s, Finding{Status: Recorded, Origin: a.Origin, Asked: s.asked, Silent: s.silent})
		return
	}
	s.add(a.Status, a.Origin)
	if a.Status == Sole {
		s.agreed++
	}
	delete(s.pending, from)
	c.proceed(now, s)
}
