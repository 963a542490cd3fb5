package limit

import (
	"math"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

const (
	// arrivalUnit is the resolution of a rate between daemons: sixteenths of a
	// request a second.
	arrivalUnit = 16
	// floorShare is the part of a limit that is handed out beside it, equally: a
	// daemon that nobody met before is given something while all of the limit is
	// in use elsewhere. Without it the callers there would be refused until two
	// exchanges had passed. The fleet's bucket fills faster by as much: it would
	// else fall behind for as long as this is used, and two daemons whose counts
	// once differed would never agree again, because it is full buckets that agree.
	floorShare = 0.1
	// lendUntil is how much may be asked for, as a multiple of the limit, for
	// tokens of the fleet to be lent. Callers that move are counted at both daemons
	// for a while; above that, who is lent first would get the parts of others.
	lendUntil = 1.1
	// longestWait bounds the time that a caller is told.
	longestWait = 24 * time.Hour
	// roundingError is what sums of many small floating-point steps may be off by.
	roundingError = 1e-9
)

// Rate is a daemon's part of a limit of requests a second. Two token buckets
// decide together, one token a request:
//
//   - The fleet's, which fills at the limit and floorShare of it. What this daemon
//     accepts leaves it at once, what others accept when they tell. It holds the
//     limit over time, whatever the parts are.
//   - The daemon's own, which fills at its part. It divides the limit while more is
//     asked for, and bounds what all accept before they hear of each other.
type Rate struct {
	limit           float64
	exchange, burst time.Duration
	daemons         int
	demand          demand
	// arrivals counts those of this interval of the exchange, before those of
	// the one before; since is when this one began.
	arrivals, before int
	since            time.Time
	// accepted counts those that this daemon's incarnation has accepted.
	accepted  uint64
	elsewhere elsewhere
	// fleet and own are the tokens of the buckets at the time of. extra are those
	// that may be taken beside own ones in this interval.
	fleet, own, extra float64
	of                time.Time
}

// setLimit starts with full buckets.
func (r *Rate) setLimit(limit float64) {
	first := r.limit <= 0
	r.limit = limit
	if first {
		r.fleet, r.own = r.fleetSize(), r.ownSize()
		r.lend()
	}
	r.advance(r.of)
}

func (r *Rate) setDaemons(now time.Time, live map[ident.Daemon]bool) {
	r.advance(now)
	r.daemons = len(live)
	r.demand.keep(live)
	r.elsewhere.keep(live)
	r.extra = min(r.extra, r.lent())
	r.advance(now)
}

// hear takes in what another daemon told.
func (r *Rate) hear(now time.Time, from ident.Daemon, n News) {
	r.advance(now)
	r.demand.hear(from, n.Arrivals)
	more := r.elsewhere.hear(from, n.Accepted)
	r.fleet = max(r.fleet-float64(more), -r.debt())
	r.advance(now)
}

func (r *Rate) forget(now time.Time, id ident.Daemon) {
	r.advance(now)
	r.demand.hear(id, 0)
	delete(r.elsewhere, id)
	r.advance(now)
}

// Arrived counts a request, also one that is refused then.
func (r *Rate) Arrived() { r.arrivals++ }

// Wait returns how long there is no token; zero means that there is one.
func (r *Rate) Wait(now time.Time) time.Duration {
	if r.limit <= 0 {
		return 0
	}
	r.advance(now)
	return max(lacking(1-r.fleet, r.fleetRate()), r.ownWait())
}

func (r *Rate) ownWait() time.Duration {
	if holds(max(r.own, r.extra)) {
		return 0
	}
	return min(lacking(1-r.own, r.part()), r.grown(1-r.own))
}

// holds tells whether there is a token.
func holds(tokens float64) bool { return tokens >= 1-roundingError }

// grown is how long there is no token if the callers of this interval keep
// coming, so that the part has grown by the second exchange from now.
func (r *Rate) grown(missing float64) time.Duration {
	own := max(float64(r.demand.told[0])/arrivalUnit, float64(r.arrivals)/r.exchange.Seconds())
	return 2*r.exchange + lacking(missing, r.atLeastFloor(part(r.limit, own, r.others(), r.daemons)))
}

// lacking is how long tokens take to come at a rate.
func lacking(tokens, rate float64) time.Duration {
	if tokens <= roundingError {
		return 0
	}
	return time.Duration(min(tokens/rate, longestWait.Seconds()) * float64(time.Second))
}

// Take uses up a token.
func (r *Rate) Take() {
	if r.limit <= 0 {
		return
	}
	r.accepted++
	r.fleet--
	if holds(r.own) {
		r.own--
		return
	}
	r.extra--
}

// tell ends an interval and returns the arrivals over the last two, in sixteenths
// of a request a second. One interval alone would say nothing of a limit of a few
// requests a second.
func (r *Rate) tell(now time.Time) uint32 {
	r.advance(now)
	length := max(now.Sub(r.since), r.exchange/2)
	if r.since.IsZero() {
		length = r.exchange
	}
	mean := float64(r.arrivals+r.before) / 2 / length.Seconds()
	r.before, r.arrivals, r.since = r.arrivals, 0, now
	told := r.demand.tell(uint32(min(math.Ceil(mean*arrivalUnit), math.MaxUint32)))
	r.lend()
	r.advance(now)
	return told
}

// lend renews the tokens beside the own ones.
func (r *Rate) lend() { r.extra = r.lent() }

// lent is how many tokens of the fleet's bucket a daemon may take in an interval
// beside its own. Callers that come or move come to a few daemons at once: between
// all of them, which would let in as many bursts as there are daemons, and an
// n-th, which moved callers have used up at once, stands the root.
func (r *Rate) lent() float64 {
	asked := float64(r.demand.told[0])/arrivalUnit + r.others()
	if r.fleet < 1 || asked > lendUntil*r.limit {
		return 0
	}
	return max(1, r.fleet/math.Sqrt(float64(r.daemons)))
}

func (r *Rate) others() float64 { return float64(r.demand.others) / arrivalUnit }

// fleetRate is at which the fleet's bucket fills, in tokens a second.
func (r *Rate) fleetRate() float64 { return r.limit * (1 + floorShare*r.othersShare()) }

// othersShare is the part of the daemons that are not this one. Nothing is given
// beside the limit to a daemon that is alone.
func (r *Rate) othersShare() float64 { return 1 - 1/float64(r.daemons) }

// part is this daemon's part of the limit, in tokens a second.
func (r *Rate) part() float64 {
	return r.atLeastFloor(part(r.limit, r.demand.own()/arrivalUnit, r.others(), r.daemons))
}

func (r *Rate) atLeastFloor(rate float64) float64 {
	return max(rate, floorShare*r.limit/float64(r.daemons))
}

func (r *Rate) fleetSize() float64 { return max(1, r.limit*r.burst.Seconds()) }

// ownSize has one token beside those of a burst, so that a part of less than one
// request in a burst is not lost while nobody comes.
func (r *Rate) ownSize() float64 { return 1 + r.part()*r.burst.Seconds() }

// debt is how much the fleet's bucket may lack. As long as exchanges arrive it
// never lacks as much; after a link that was silent for long it would have all
// callers refused for as long again.
func (r *Rate) debt() float64 { return unheard(r.limit, r.burst, r.exchange, r.daemons) }

// unheard is the most that all daemons can accept before they hear of each other:
// what the own buckets hold and get in two intervals, and what two intervals lend.
// It is in requests; docs/design/admission.md derives it.
func unheard(limit float64, burst, exchange time.Duration, daemons int) float64 {
	n := float64(daemons)
	perSecond := (1+floorShare)*(burst+2*exchange).Seconds() + 2*math.Sqrt(n)*burst.Seconds()
	return limit*perSecond + 4*n
}

// advance fills the buckets. It is called before and after each change of what a
// part hangs on. Own tokens above a size that has shrunk are gone, and one that has
// grown brings none: otherwise demand that comes and goes at one daemon would make
// tokens at the others.
func (r *Rate) advance(now time.Time) {
	if r.limit <= 0 {
		r.of = now
		return
	}
	if now.After(r.of) {
		passed := now.Sub(r.of).Seconds()
		r.own += passed * r.part()
		r.fleet += passed * r.fleetRate()
		r.of = now
	}
	r.fleet = min(r.fleet, r.fleetSize())
	r.own = min(r.own, r.ownSize())
}
