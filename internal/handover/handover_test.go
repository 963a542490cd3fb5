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
	testStart = time.Unix(1000, 0)
	newRand   = func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(n, 1)) }
)

func TestRouteForwardsRequestedFraction(t *testing.T) {
	is := is.New(t)
	p := handover.NewPicker(0)
	p.SetNeighbours(neighbours(16))
	rng, forwarded := newRand(1), 0
	for range 1000 {
		n, choice := p.Route(testStart, rng, 0.3)
		is.True(choice != handover.NoNeighbour)
		if choice == handover.Forward {
			forwarded++
			p.OfferAnswered()
			p.Closed(n.ID)
		}
	}
	is.True(forwarded > 250 && forwarded < 350)
	is.Equal(handover.Load{UnreadConns: 3}.ForwardFraction(), 0.0) // nothing is forwarded while nothing is shed
}

// Long-lived connections to a slow neighbour must not accumulate there while other
// neighbours idle.
func TestSlowNeighbourGetsFewConnections(t *testing.T) {
	is := is.New(t)
	p := handover.NewPicker(0)
	p.SetNeighbours(neighbours(8))
	rng, toSlow := newRand(2), 0
	for range 2000 {
		n, ok := p.Pick(testStart, rng)
		is.True(ok)
		if n.ID == "d00" {
			toSlow++ // and stays open
			continue
		}
		p.OfferAnswered()
		p.Closed(n.ID)
	}
	is.True(toSlow < 60) // a random choice would give 250
}

// A neighbour that has stalled must not delay one connection after the other.
func TestRefusingNeighbourIsSkipped(t *testing.T) {
	is := is.New(t)
	p := handover.NewPicker(0)
	p.SetNeighbours(neighbours(2))
	rng := newRand(3)
	first, ok := p.Pick(testStart, rng)
	is.True(ok)
	p.Refused(testStart, first.ID)
	for range 50 {
		n, ok := p.Pick(testStart.Add(50*time.Millisecond), rng)
		is.True(ok)
		is.True(n.ID != first.ID)
		p.OfferAnswered()
		p.Closed(n.ID)
	}
	second, _ := p.Pick(testStart, rng)
	p.Refused(testStart, second.ID)
	_, ok = p.Pick(testStart, rng)
	is.True(!ok) // no neighbour is left
	_, ok = p.Pick(testStart.Add(time.Second), rng)
	is.True(ok)
}

// Forwarded connections use file descriptors and memory of this daemon, too.
func TestForwardedConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	p := handover.NewPicker(3)
	p.SetNeighbours(neighbours(4))
	rng := newRand(4)
	var last handover.Neighbour
	for range 3 {
		n, choice := p.Route(testStart, rng, 1)
		is.Equal(choice, handover.Forward)
		last = n
	}
	_, choice := p.Route(testStart, rng, 1)
	is.Equal(choice, handover.LimitReached)
	p.SetNeighbours(nil) // open connections still count
	p.SetNeighbours(neighbours(4))
	_, choice = p.Route(testStart, rng, 1)
	is.Equal(choice, handover.LimitReached)
	p.OfferAnswered()
	p.Closed(last.ID)
	_, choice = p.Route(testStart, rng, 1)
	is.Equal(choice, handover.Forward)
}

func TestNothingIsForwardedWithoutNeighbours(t *testing.T) {
	_, choice := handover.NewPicker(0).Route(testStart, newRand(5), 1)
	is.New(t).Equal(choice, handover.NoNeighbour)
}

// A VM that has just been flooded takes few samples of its scheduling latency. Its unread
// connections show the overload at once, and while it has many of them it must not be
// given more.
func TestUnreadConnectionsIndicateOverload(t *testing.T) {
	is := is.New(t)
	is.Equal(handover.Load{UnreadConns: 16}.ForwardFraction(), 1.0)
	is.Equal(handover.Load{UnreadConns: 15}.ForwardFraction(), 0.0)
	is.True(handover.Load{UnreadConns: 16, ShedFraction: 0.01}.Saturated())
	is.True(!handover.Load{UnreadConns: 16}.Saturated()) // callers may have opened them in advance
	is.True(!handover.Load{ShedFraction: 0.9}.Saturated())
	is.True(handover.Load{}.AcceptsForwarded())
	is.True(!handover.Load{UnreadConns: 8}.AcceptsForwarded())
	is.True(!handover.Load{ShedFraction: 0.3}.AcceptsForwarded())
	is.True(handover.Load{ShedFraction: 0.1}.ForwardFraction() > 0)
}

// Guards against a neighbour that is short of processor time and gets as many connections as the
// others, and against one that is avoided for a reply of long ago.
func TestSlowReplyMakesNeighbourLessPreferred(t *testing.T) {
	is := is.New(t)
	p, rng := handover.NewPicker(0), newRand(3)
	p.SetNeighbours(neighbours(4))
	p.Spread()
	first, _ := p.Pick(testStart, rng)
	p.Accepted(testStart, "d00", 50*time.Millisecond)
	p.Closed(first.ID)
	picked := func(now time.Time) (n int) {
		for range 400 {
			to, _ := p.Pick(now, rng)
			if to.ID == "d00" {
				n++
			}
			p.OfferAnswered()
			p.Closed(to.ID)
		}
		return n
	}
	is.True(picked(testStart) < 20)
	is.True(picked(testStart.Add(3*time.Second)) > 60)
}

// Guards against a neighbour that stops after it has accepted connections, and whose open connections
// are forgotten, or count for good.
func TestConnectionsOfRemovedNeighbourCountUntilTheyEnd(t *testing.T) {
	is := is.New(t)
	p := handover.NewPicker(1)
	p.Spread()
	p.SetNeighbours(neighbours(1))
	to, ok := p.Pick(testStart, newRand(4))
	is.True(ok)
	p.SetNeighbours(nil)
	p.Accepted(testStart, to.ID, time.Millisecond)
	is.Equal(p.Open(), 1)
	p.Closed(to.ID)
	is.Equal(p.Open(), 0)
}

// Guards against daemons that forward early in a zone that is full as a whole.
func TestZoneIsCrowdedWhileNeighboursRefuse(t *testing.T) {
	is := is.New(t)
	p := handover.NewPicker(0)
	p.SetNeighbours(neighbours(4))
	for range 2 {
		is.True(!p.Crowded(testStart))
		to, _ := p.Pick(testStart, newRand(5))
		p.Refused(testStart, to.ID)
	}
	is.True(p.Crowded(testStart))
	is.True(!p.Crowded(testStart.Add(time.Second)))
}

// Guards against a limit that keeps a VM with processor time to spare from forwarding, and against one
// that lets forwarding delay all events of a VM.
func TestBoundFollowsTheLatency(t *testing.T) {
	is := is.New(t)
	b, now, limit := handover.NewForwardLimiter(36), testStart, 0
	observe := func(latency time.Duration, full bool) {
		for range 100 {
			now = now.Add(20 * time.Millisecond)
			open := 0
			if full {
				open = limit
			}
			limit = b.Observe(now, latency, open)
		}
	}
	observe(time.Millisecond, false)
	is.Equal(limit, 36) // not reached
	observe(time.Millisecond, true)
	is.Equal(limit, 8*36)
	observe(100*time.Millisecond, true)
	is.Equal(limit, 36)
}
