// Package handover decides which new connections of callers a daemon passes on, unread, to
// a neighbour in its availability zone, and to which one. It has no network; time and
// randomness are arguments.
//
// Load pattern: a balancer leads callers to daemons by a hash, so that all callers of one
// workspace may reach one small VM. It has the processor time for a fraction of what they
// send while its neighbours idle. However targets are shared, the workspace gets what that
// VM can read: refused callers come back late, or not at all.
//
// Of two neighbours drawn at random the one goes first that has fewer of this daemon's
// connections: a slow or busy one keeps them for longer, so that nobody has to tell its
// load. A neighbour that did not take a connection is passed over for a moment.
package handover

import (
	"math/rand/v2"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/overload"
)

const (
	// unreadMost is the number of new connections of which nothing has been read from which
	// on further ones are passed on. It needs no time to show: the part to refuse follows
	// waits for turns, of which a VM that has just been flooded measures few.
	unreadMost = 16
	// unreadTaken is the number of them below which connections are taken over, and
	// refusedTaken the part of new requests to refuse.
	unreadTaken  = 8
	refusedTaken = 0.3
)

// Load is what a daemon knows of its own load.
type Load struct {
	// Refuse is the part of new requests to refuse for want of processor time.
	Refuse float64
	// Unread is how many connections of callers it has of which nothing has been read.
	Unread int
}

// Part returns the part of new connections to pass on.
func (l Load) Part() float64 {
	if l.Unread >= unreadMost {
		return 1
	}
	return overload.Part(l.Refuse, true)
}

// Crowded tells whether connections are to be refused that nobody takes: they would be read too
// late. Unread ones alone do not show it, since callers may have sent nothing on them yet.
func (l Load) Crowded() bool { return l.Unread >= unreadMost && l.Refuse > 0 }

// Takes tells whether connections of neighbours are to be taken over.
func (l Load) Takes() bool { return l.Refuse < refusedTaken && l.Unread < unreadTaken }

// rest is how long a neighbour is passed over that did not take a connection.
const rest = 250 * time.Millisecond

// askingMost bounds the connections that neighbours are being asked to take: more than a small
// VM has the processor time to ask for wait for their turns, and so does all else there.
const askingMost = 24

// Neighbour is another daemon of the availability zone that takes connections over.
type Neighbour struct {
	ID ident.Daemon
	// Address is where it takes them, host:port.
	Address string
}

// Picker chooses neighbours and counts the connections that they have. It is not safe for
// concurrent use.
type Picker struct {
	// most bounds the connections that are passed on at a time.
	most, open int
	// asking counts those that no neighbour has taken yet.
	asking     int
	neighbours []Neighbour
	states     map[ident.Daemon]*state
}

// state is what is known of a neighbour.
type state struct {
	open  int
	rests time.Time
}

// NewPicker returns a Picker without neighbours that passes on so many connections at a
// time at most; zero means no bound.
func NewPicker(most int) *Picker {
	return &Picker{most: most, states: map[ident.Daemon]*state{}}
}

// SetNeighbours replaces the neighbours. Connections that one of those before has still
// count.
func (p *Picker) SetNeighbours(list []Neighbour) {
	p.neighbours = list
	present := make(map[ident.Daemon]bool, len(list))
	for _, n := range list {
		present[n.ID] = true
		if p.states[n.ID] == nil {
			p.states[n.ID] = &state{}
		}
	}
	for id, s := range p.states {
		if !present[id] && s.open == 0 {
			delete(p.states, id)
		}
	}
}

// Choice says who serves a new connection.
type Choice uint8

const (
	// Nobody means that there is no neighbour that could take it.
	Nobody Choice = iota
	// Here means that this daemon is to serve it, while neighbours get others.
	Here
	// Neighbours means that a neighbour is to serve it.
	Neighbours
)

// Offer chooses who serves a new connection where part of them, from 0 to 1, are to be passed
// on. Where it is a neighbour, Refused or Taken and Ended have to follow.
func (p *Picker) Offer(now time.Time, rng *rand.Rand, part float64) (Neighbour, Choice) {
	if p.asking >= askingMost {
		return Neighbour{}, Nobody
	}
	n, ok := p.Choose(now, rng)
	switch {
	case !ok:
		return Neighbour{}, Nobody
	case rng.Float64() < part:
		return n, Neighbours
	}
	p.Taken()
	p.Ended(n.ID)
	return Neighbour{}, Here
}

// Choose chooses the neighbour for a connection that is to be passed on. Where ok, Refused
// or Taken and Ended have to follow.
func (p *Picker) Choose(now time.Time, rng *rand.Rand) (n Neighbour, ok bool) {
	var awake []Neighbour
	for _, n := range p.neighbours {
		if !now.Before(p.states[n.ID].rests) {
			awake = append(awake, n)
		}
	}
	if len(awake) == 0 || p.full() {
		return Neighbour{}, false
	}
	n = awake[rng.IntN(len(awake))]
	if other := awake[rng.IntN(len(awake))]; p.states[other.ID].open < p.states[n.ID].open {
		n = other
	}
	p.states[n.ID].open++
	p.open++
	p.asking++
	return n, true
}

func (p *Picker) full() bool { return p.most > 0 && p.open >= p.most }

// Refused notes that a neighbour did not take a connection.
func (p *Picker) Refused(now time.Time, id ident.Daemon) {
	p.Taken()
	p.Ended(id)
	if s := p.states[id]; s != nil {
		s.rests = now.Add(rest)
	}
}

// Taken notes that a neighbour has taken a connection.
func (p *Picker) Taken() { p.asking-- }

// Ended notes the end of a connection that was passed on.
func (p *Picker) Ended(id ident.Daemon) {
	if s := p.states[id]; s != nil && s.open > 0 {
		s.open--
		p.open--
	}
}
