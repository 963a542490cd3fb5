package booking

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// What all targets of a service give together is observed, and shares are shares of that.
//
// Load pattern: several workspaces at once ask for many times their usual, and the stated
// rate is what engines give for an average prompt. Two thirds of these prompts are kept
// parts, which cost an engine nothing, or the engines are quicker than stated. Held to
// shares of the stated rate, requests are refused while engines read for less than half of
// their time, and all that the workspaces beyond their shares can have is what is spare.
//
// How near targets are to what they may be used for is told with their loads: one is as
// near as they should be. What was granted at that use tells what they would give at one.
// The estimate rests on the mix of the last seconds and not on how much is let in, so that
// it does not follow its own decisions up or down.

const (
	// aimTaken is the part of their slots and memory that targets may have taken in the
	// mean: requests come at random, and above it those within their shares begin to
	// find targets full. The part of their time that they may read is learnt (slowdown).
	aimTaken = 0.7
	// leastUse is below what the use says nothing: a few requests make it up.
	leastUse = 0.07
	// mostStretch bounds what is observed by what is stated, in case none of what is
	// observed binds.
	mostStretch = 4
	// rise is the time constant with which the estimate grows. It falls at once: what
	// was too much is given back before anybody waits for it.
	rise = time.Second
)

// capacity is the observed rate of a service.
type capacity struct {
	rate float64
	at   time.Time
}

// observe takes in what is granted a second at a use of the targets, and returns the rate
// to divide.
func (c *capacity) observe(now time.Time, stated, granted, use float64) float64 {
	seen := granted / max(use, leastUse)
	seen = min(max(seen, stated), mostStretch*stated)
	if c.at.IsZero() || seen <= c.rate {
		c.rate, c.at = seen, now
		return c.rate
	}
	c.rate += (seen - c.rate) * min(1, now.Sub(c.at).Seconds()/rise.Seconds())
	c.at = now
	return c.rate
}

// use is how near a target is to what it may be used for: the part of its time that it
// reads, of its slots or of its memory, whichever is nearest.
func (e *engine) use(now time.Time) float64 {
	use := max(e.taken()/aimTaken, e.readingPart(now)/e.service.slowdown.mostPart())
	if e.Memory > 0 {
		use = max(use, float64(e.filled())/(aimTaken*memoryShare*float64(e.Memory)))
	}
	return use
}

// readingPart is the part of its time that a target reads.
func (e *engine) readingPart(now time.Time) float64 { return e.reading.now(now) / decayTime.Seconds() }

// use is the mean over the targets of which something is known.
func (s *service) use(now time.Time) float64 {
	sum, n := 0.0, 0
	for _, e := range s.sortedEngines {
		switch {
		case e.owned:
			sum += e.use(now)
		case now.Sub(e.heard) <= stale:
			sum += e.told.Utilization
		default:
			continue
		}
		n++
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// shareUsed is how much of its share a workspace has had of late: one is all of it, zero also
// where nobody is held to one.
func (s *service) shareUsed(now time.Time, ws ident.Workspace) float64 {
	if s.rate <= 0 || !s.servesModel {
		return 0
	}
	return s.shares.shareUsed(now, ws, s.rateOf(now))
}

// rateOf is the rate of which workspaces have their shares.
func (s *service) rateOf(now time.Time) rates {
	if s.rate <= 0 || !s.servesModel {
		return rates{stated: s.rate}
	}
	if now.Sub(s.capacity.at) >= levelInterval {
		s.capacity.observe(now, s.rate, s.shares.totalGranted(now)/decayTime.Seconds(), s.use(now))
	}
	return rates{stated: s.rate, observed: s.capacity.rate}
}
