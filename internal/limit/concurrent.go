package limit

import (
	"cmp"
	"math"
	"slices"

	"github.com/savorystall/savorystall/internal/ident"
)

// ConcurrencyLimit is a daemon's share of a limit on requests in flight.
// Requests run for minutes, so after a share has moved it stays occupied by
// earlier requests for as long. Each daemon therefore reports how many requests
// it has in flight, and none admits a request that would exceed the limit
// together with those reported by the others. The shares matter when demand
// exceeds the limit: without them, the daemon whose request ends would always
// be the one to start the next.
type ConcurrencyLimit struct {
	self    ident.Daemon
	limit   int
	daemons []ident.Daemon
	demand  demand
	// inFlightByPeer holds the number of requests in flight at each other daemon,
	// and inFlightAtPeers their sum.
	inFlightByPeer  map[ident.Daemon]uint32
	inFlightAtPeers int
	// share is this daemon's share in whole requests. It grows only when demand
	// is reported; shareStale indicates that it may have to shrink.
	share      int
	shareStale bool
	// rejected is the number of requests rejected in the current exchange
	// interval, peakInFlight the maximum number in flight during it, and
	// initialInFlight the number at its start.
	rejected, peakInFlight, initialInFlight int
}

func (c *ConcurrencyLimit) setLimit(limit int) {
	if limit == c.limit {
		return
	}
	c.limit = limit
	c.share = c.wholeShare()
}

func (c *ConcurrencyLimit) setDaemons(daemons []ident.Daemon, live map[ident.Daemon]bool) {
	c.daemons = daemons
	c.demand.retainPeers(live)
	for id := range c.inFlightByPeer {
		if !live[id] {
			c.setPeerInFlight(id, 0)
		}
	}
	c.shareStale = true
}

func (c *ConcurrencyLimit) mergeReport(from ident.Daemon, report Report) {
	c.demand.setPeer(from, report.Wanted)
	c.setPeerInFlight(from, report.InFlight)
	c.shareStale = true
}

func (c *ConcurrencyLimit) setPeerInFlight(from ident.Daemon, n uint32) {
	c.inFlightAtPeers += int(n) - int(c.inFlightByPeer[from])
	if n == 0 {
		delete(c.inFlightByPeer, from)
		return
	}
	c.inFlightByPeer[from] = n
}

// Admit reports whether one more request may be in flight, and counts the
// request as demand.
func (c *ConcurrencyLimit) Admit(inFlight int) bool {
	if c.limit <= 0 {
		return true
	}
	if c.shareStale {
		c.share, c.shareStale = min(c.share, c.wholeShare()), false
	}
	if inFlight >= c.share+c.allowedExcess() || inFlight+c.inFlightAtPeers >= c.limit {
		c.rejected++
		c.peakInFlight = max(c.peakInFlight, inFlight)
		return false
	}
	c.peakInFlight = max(c.peakInFlight, inFlight+1)
	return true
}

// allowedExcess returns by how many requests a daemon may exceed its share in
// an interval because, according to the reports, the capacity is free: at least
// one, so that the first caller at an idle daemon is served, and a fraction of
// all that is free. If every daemon could use all of it, the limit could be
// exceeded as many times as there are daemons; if each could use only 1/n,
// callers that connect to a single daemon would exhaust it immediately. The
// fraction 1/sqrt(n) lies between the two. While demand exceeds the limit, the
// fraction is that of the share.
func (c *ConcurrencyLimit) allowedExcess() int {
	free := max(0, float64(c.limit-c.initialInFlight-c.inFlightAtPeers))
	fraction := 1 / math.Sqrt(float64(len(c.daemons)))
	if totalDemand := float64(c.demand.reported[0]) + float64(c.demand.peerTotal); totalDemand > float64(c.limit) {
		fraction = float64(c.share) / float64(c.limit)
	}
	return max(1, int(math.Ceil(free*fraction)))
}

// endInterval ends an interval and returns the demand to report.
func (c *ConcurrencyLimit) endInterval(inFlight int) uint32 {
	wanted := min(c.limit, max(c.peakInFlight, inFlight)+c.rejected)
	c.peakInFlight, c.initialInFlight, c.rejected = inFlight, inFlight, 0
	reported := c.demand.report(uint32(wanted))
	c.share, c.shareStale = c.wholeShare(), false
	return reported
}

// wholeShare returns the share in whole requests. What rounding leaves over
// goes to the daemons with the largest remainders, so daemons with the same
// information hand out exactly the limit.
func (c *ConcurrencyLimit) wholeShare() int {
	if c.limit <= 0 {
		return 0
	}
	type remainder struct {
		id   ident.Daemon
		size float64
	}
	limit, totalDemand := float64(c.limit), c.demand.confirmed()+float64(c.demand.peerTotal)
	unassigned, own := c.limit, 0
	remainders := make([]remainder, 0, len(c.daemons))
	for _, id := range c.daemons {
		wanted := float64(c.demand.byPeer[id])
		if id == c.self {
			wanted = c.demand.confirmed()
		}
		exact := allocate(limit, wanted, totalDemand-wanted, len(c.daemons))
		floor := math.Floor(exact)
		unassigned -= int(floor)
		if id == c.self {
			own = int(floor)
		}
		remainders = append(remainders, remainder{id, exact - floor})
	}
	slices.SortFunc(remainders, func(a, b remainder) int {
		return cmp.Or(cmp.Compare(b.size, a.size), cmp.Compare(a.id, b.id))
	})
	for i := range min(unassigned, len(remainders)) {
		if remainders[i].id == c.self {
			own++
		}
	}
	return own
}
