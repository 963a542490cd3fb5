package handover_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/handover"
	"github.com/savorystall/savorystall/internal/ident"
)

func neighbours(n int) []handover.Neighbour {
	list := make([]handover.Neighbour, n)
	for i := range list {
		list[i] = handover.Neighbour{ID: ident.Daemon(fmt.Sprintf("d%02d", i)), Address: fmt.Sprintf("10.0.0.%d:7401", i)}
	}
	return list
}

var (
	start = time.Unix(1000, 0)
	seed  = func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(n, 1)) }
)

func TestAboutThePartGoesToNeighbours(t *testing.T) {
	is := is.New(t)
	p := handover.NewPicker(0)
	p.SetNeighbours(neighbours(16))
	rng, passed := seed(1), 0
	for range 1000 {
		n, choice := p.Offer(start, rng, 0.3)
		is.True(choice != handover.Nobody)
		if choice == handover.Neighbours {
			passed++
			p.Taken()
			p.Ended(n.ID)
		}
	}
	is.True(passed > 250 && passed < 350)
	is.Equal(handover.Load{Unread: 3}.Part(), 0.0) // nothing is passed on where nothing is refused
}

// Connections that stay long on a slow neighbour must not pile up there while others idle.
func TestASlowNeighbourGetsLittle(t *testing.T) {
	is := is.New(t)
	p := handover.NewPicker(0)
	p.SetNeighbours(neighbours(8))
	rng, slow := seed(2), 0
	for range 2000 {
		n, ok := p.Choose(start, rng)
		is.True(ok)
		if n.ID == "d00" {
			slow++ // and never ends
			continue
		}
		p.Taken()
		p.Ended(n.ID)
	}
	is.True(slow < 60) // 250 of them by chance
}

// A neighbour that stands still must not hold up one connection after the other.
func TestANeighbourThatTakesNothingIsPassedOver(t *testing.T) {
	is := is.New(t)
	p := handover.NewPicker(0)
	p.SetNeighbours(neighbours(2))
	rng := seed(3)
	first, ok := p.Choose(start, rng)
	is.True(ok)
	p.Refused(start, first.ID)
	for range 50 {
		n, ok := p.Choose(start.Add(50*time.Millisecond), rng)
		is.True(ok)
		is.True(n.ID != first.ID)
		p.Taken()
		p.Ended(n.ID)
	}
	second, _ := p.Choose(start, rng)
	p.Refused(start, second.ID)
	_, ok = p.Choose(start, rng)
	is.True(!ok) // nobody is left
	_, ok = p.Choose(start.Add(time.Second), rng)
	is.True(ok)
}

// Connections that are passed on take descriptors and memory of this daemon, too.
func TestConnectionsThatArePassedOnAreBounded(t *testing.T) {
	is := is.New(t)
	p := handover.NewPicker(3)
	p.SetNeighbours(neighbours(4))
	rng := seed(4)
	var last handover.Neighbour
	for range 3 {
		n, choice := p.Offer(start, rng, 1)
		is.Equal(choice, handover.Neighbours)
		last = n
	}
	_, choice := p.Offer(start, rng, 1)
	is.Equal(choice, handover.Nobody)
	p.SetNeighbours(nil) // those that it has still count
	p.SetNeighbours(neighbours(4))
	_, choice = p.Offer(start, rng, 1)
	is.Equal(choice, handover.Nobody)
	p.Taken()
	p.Ended(last.ID)
	_, choice = p.Offer(start, rng, 1)
	is.Equal(choice, handover.Neighbours)
}

func TestWithoutNeighboursNothingIsPassedOn(t *testing.T) {
	_, choice := handover.NewPicker(0).Offer(start, seed(5), 1)
	is.New(t).Equal(choice, handover.Nobody)
}

// A VM that a flood has just reached measures few waits for a turn: what stands unread shows it
// at once, and one that has much of it must not be given more.
func TestUnreadConnectionsShowAFloodAtOnce(t *testing.T) {
	is := is.New(t)
	is.Equal(handover.Load{Unread: 16}.Part(), 1.0)
	is.Equal(handover.Load{Unread: 15}.Part(), 0.0)
	is.True(handover.Load{Unread: 16, Refuse: 0.01}.Crowded())
	is.True(!handover.Load{Unread: 16}.Crowded()) // callers may have opened them in advance
	is.True(!handover.Load{Refuse: 0.9}.Crowded())
	is.True(handover.Load{}.Takes())
	is.True(!handover.Load{Unread: 8}.Takes())
	is.True(!handover.Load{Refuse: 0.3}.Takes())
	is.True(handover.Load{Refuse: 0.1}.Part() > 0)
}
