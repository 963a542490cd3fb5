package limit

import (
	"cmp"
	"math"
	"slices"

	"github.com/savorystall/savorystall/internal/ident"
)

// Concurrent is a daemon's part of a limit of requests in flight. Requests run
// for minutes, so a part that has moved is used by the requests of before for as
// long. Each daemon therefore tells how many it has in flight, and none admits
// what would make too many together with those that the others told. The parts
// matter where more is wanted than the limit: without them the daemon whose
// request ends would always be the one to start the next.
type Concurrent struct {
	self    ident.Daemon
	limit   int
	daemons []ident.Daemon
	wanted  demand
	// told is what each other daemon has in flight, elsewhere its sum.
	told      map[ident.Daemon]uint32
	elsewhere int
	// part is this daemon's, in whole requests. It grows only where that is
	// told; stale tells that it may have to shrink.
	part  int
	stale bool
	// refused counts the requests refused in this interval of the exchange, peak
	// is the most that were in flight, first how many were when it began.
	refused, peak, first int
}

func (c *Concurrent) setLimit(limit int) {
	if limit == c.limit {
		return
	}
	c.limit = limit
	c.part = c.whole()
}

func (c *Concurrent) setDaemons(daemons []ident.Daemon, live map[ident.Daemon]bool) {
	c.daemons = daemons
	c.wanted.keep(live)
	for id := range c.told {
		if !live[id] {
			c.hearInFlight(id, 0)
		}
	}
	c.stale = true
}

func (c *Concurrent) hear(from ident.Daemon, n News) {
	c.wanted.hear(from, n.Wanted)
	c.hearInFlight(from, n.InFlight)
	c.stale = true
}

func (c *Concurrent) hearInFlight(from ident.Daemon, n uint32) {
	c.elsewhere += int(n) - int(c.told[from])
	if n == 0 {
		delete(c.told, from)
		return
	}
	c.told[from] = n
}

// Admit tells whether one more request may be in flight, and counts it among
// those wanted.
func (c *Concurrent) Admit(inFlight int) bool {
	if c.limit <= 0 {
		return true
	}
	if c.stale {
		c.part, c.stale = min(c.part, c.whole()), false
	}
	if inFlight >= c.part+c.growth() || inFlight+c.elsewhere >= c.limit {
		c.refused++
		c.peak = max(c.peak, inFlight)
		return false
	}
	c.peak = max(c.peak, inFlight+1)
	return true
}

// growth is by how many requests a daemon may exceed its part in an interval,
// because they are in flight nowhere by what the others told: at least one, so
// that the first caller at a quiet daemon is served, and of all that is free a
// share between the whole, which as many daemons could take at once as there are,
// and an n-th, which callers that come to one daemon have used up at once. While
// more is wanted than the limit, the share is that of the part.
func (c *Concurrent) growth() int {
	free := max(0, float64(c.limit-c.first-c.elsewhere))
	share := 1 / math.Sqrt(float64(len(c.daemons)))
	if asked := float64(c.wanted.told[0]) + float64(c.wanted.others); asked > float64(c.limit) {
		share = float64(c.part) / float64(c.limit)
	}
	return max(1, int(math.Ceil(free*share)))
}

// tell ends an interval and returns how many requests are wanted.
func (c *Concurrent) tell(inFlight int) uint32 {
	want := min(c.limit, max(c.peak, inFlight)+c.refused)
	c.peak, c.first, c.refused = inFlight, inFlight, 0
	wanted := c.wanted.tell(uint32(want))
	c.part, c.stale = c.whole(), false
	return wanted
}

// whole is the part in whole requests. What is left over by rounding goes to the
// daemons with the largest rests, so that all who know the same give out exactly
// the limit.
func (c *Concurrent) whole() int {
	if c.limit <= 0 {
		return 0
	}
	type rest struct {
		id   ident.Daemon
		size float64
	}
	limit, all := float64(c.limit), c.wanted.own()+float64(c.wanted.others)
	left, mine := c.limit, 0
	rests := make([]rest, 0, len(c.daemons))
	for _, id := range c.daemons {
		wanted := float64(c.wanted.heard[id])
		if id == c.self {
			wanted = c.wanted.own()
		}
		exact := part(limit, wanted, all-wanted, len(c.daemons))
		floor := math.Floor(exact)
		left -= int(floor)
		if id == c.self {
			mine = int(floor)
		}
		rests = append(rests, rest{id, exact - floor})
	}
	slices.SortFunc(rests, func(a, b rest) int {
		return cmp.Or(cmp.Compare(b.size, a.size), cmp.Compare(a.id, b.id))
	})
	for i := range min(left, len(rests)) {
		if rests[i].id == c.self {
			mine++
		}
	}
	return mine
}
