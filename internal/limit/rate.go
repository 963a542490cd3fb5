package limit

import (
	"math"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

const (
	// arrivalScale is the resolution of rates in reports: sixteenths of a request
	// per second.
	arrivalScale = 16
	// floorFraction is the fraction of a limit that is handed out in addition to
	// it, in equal parts, so that a previously unused daemon has a share while
	// the whole limit is in use elsewhere. Without it, callers there would be
	// refused until two exchanges had passed. The refill rate of the fleet bucket
	// is higher by the same amount. Otherwise the bucket would run behind while
	// the addition is used, and two daemons whose counts once differed would
	// never agree again, because counts converge only when the buckets are full.
	floorFraction = 0.1
	// borrowDemandRatio is the demand, as a multiple of the limit, above which no
	// tokens of the fleet bucket may be borrowed. The ratio is above 1 because
	// callers that move are counted at both daemons for a while; at higher
	// demand, the first daemon to borrow would take the shares of others.
	borrowDemandRatio = 1.1
	// maxWait bounds the wait time reported to a caller.
	maxWait = 24 * time.Hour
	// tokenTolerance covers the accumulated floating-point error of many small
	// additions.
	tokenTolerance = 1e-9
)

// RateLimit is a daemon's share of a limit in requests per second. A request
// needs a token of each of two token buckets:
//
//   - The fleet bucket refills at the limit plus up to floorFraction of it. It is
//     charged at once for requests accepted by this daemon, and for those of
//     other daemons when they report them. It enforces the limit over time,
//     regardless of the shares.
//   - The daemon's own bucket refills at its share. It divides the limit while
//     demand is higher, and bounds what all daemons accept before they receive
//     each other's reports.
type RateLimit struct {
	limit                   float64
	exchangeInterval, burst time.Duration
	daemons                 int
	demand                  demand
	// arrivals is the number of arrivals in the current exchange interval, which
	// began at intervalStart, and previousArrivals the number in the interval
	// before.
	arrivals, previousArrivals int
	intervalStart              time.Time
	// accepted is the number of requests accepted by this daemon's incarnation.
	accepted       uint64
	acceptedByPeer peerCounts
	// fleetTokens and ownTokens are the contents of the buckets at updatedAt.
	// borrowable is the number of tokens that may be used in this interval when
	// the own bucket is empty.
	fleetTokens, ownTokens, borrowable float64
	updatedAt                          time.Time
}

// setLimit changes the limit. A new limit starts with full buckets.
func (r *RateLimit) setLimit(limit float64) {
	first := r.limit <= 0
	r.limit = limit
	if first {
		r.fleetTokens, r.ownTokens = r.fleetCapacity(), r.ownCapacity()
		r.resetBorrowable()
	}
	r.refill(r.updatedAt)
}

func (r *RateLimit) setDaemons(now time.Time, live map[ident.Daemon]bool) {
	r.refill(now)
	r.daemons = len(live)
	r.demand.retainPeers(live)
	r.acceptedByPeer.retainPeers(live)
	r.borrowable = min(r.borrowable, r.maxBorrowable())
	r.refill(now)
}

// mergeReport applies another daemon's report.
func (r *RateLimit) mergeReport(now time.Time, from ident.Daemon, report Report) {
	r.refill(now)
	r.demand.setPeer(from, report.Arrivals)
	added := r.acceptedByPeer.update(from, report.Accepted)
	r.fleetTokens = max(r.fleetTokens-float64(added), -r.maxDebt())
	r.refill(now)
}

func (r *RateLimit) forget(now time.Time, id ident.Daemon) {
	r.refill(now)
	r.demand.setPeer(id, 0)
	delete(r.acceptedByPeer, id)
	r.refill(now)
}

// RecordArrival counts a request, whether or not it is then refused.
func (r *RateLimit) RecordArrival() { r.arrivals++ }

// Wait returns the time until a token is available; zero means that one is
// available now.
func (r *RateLimit) Wait(now time.Time) time.Duration {
	if r.limit <= 0 {
		return 0
	}
	r.refill(now)
	return max(refillTime(1-r.fleetTokens, r.fleetRefillRate()), r.ownBucketWait())
}

func (r *RateLimit) ownBucketWait() time.Duration {
	if hasToken(max(r.ownTokens, r.borrowable)) {
		return 0
	}
	return min(refillTime(1-r.ownTokens, r.ownRefillRate()), r.waitForGrowth(1-r.ownTokens))
}

// hasToken reports whether a whole token is available.
func hasToken(tokens float64) bool { return tokens >= 1-tokenTolerance }

// waitForGrowth returns the time until a token is available if callers keep
// arriving at the rate of this interval, so that the share has grown by the
// second exchange from now.
func (r *RateLimit) waitForGrowth(missing float64) time.Duration {
	ownDemand := max(float64(r.demand.reported[0])/arrivalScale, float64(r.arrivals)/r.exchangeInterval.Seconds())
	return 2*r.exchangeInterval + refillTime(missing, r.withFloor(allocate(r.limit, ownDemand, r.peerDemand(), r.daemons)))
}

// refillTime returns how long it takes to refill a number of tokens at a rate.
func refillTime(tokens, rate float64) time.Duration {
	if tokens <= tokenTolerance {
		return 0
	}
	return time.Duration(min(tokens/rate, maxWait.Seconds()) * float64(time.Second))
}

// Take consumes a token.
func (r *RateLimit) Take() {
	if r.limit <= 0 {
		return
	}
	r.accepted++
	r.fleetTokens--
	if hasToken(r.ownTokens) {
		r.ownTokens--
		return
	}
	r.borrowable--
}

// endInterval ends an interval and returns the arrival rate over the last two,
// in sixteenths of a request per second. A single interval would be too short
// for limits of a few requests per second.
func (r *RateLimit) endInterval(now time.Time) uint32 {
	r.refill(now)
	length := max(now.Sub(r.intervalStart), r.exchangeInterval/2)
	if r.intervalStart.IsZero() {
		length = r.exchangeInterval
	}
	mean := float64(r.arrivals+r.previousArrivals) / 2 / length.Seconds()
	r.previousArrivals, r.arrivals, r.intervalStart = r.arrivals, 0, now
	reported := r.demand.report(uint32(min(math.Ceil(mean*arrivalScale), math.MaxUint32)))
	r.resetBorrowable()
	r.refill(now)
	return reported
}

// resetBorrowable sets the borrowable tokens for a new interval.
func (r *RateLimit) resetBorrowable() { r.borrowable = r.maxBorrowable() }

// maxBorrowable returns how many tokens of the fleet bucket a daemon may use in
// an interval in addition to its own. New or moving callers connect to a few
// daemons at once. If each daemon could borrow all tokens, the fleet could
// admit as many bursts as there are daemons; if each could borrow only 1/n,
// callers that moved would exhaust them immediately. The fraction 1/sqrt(n)
// lies between the two.
func (r *RateLimit) maxBorrowable() float64 {
	totalDemand := float64(r.demand.reported[0])/arrivalScale + r.peerDemand()
	if r.fleetTokens < 1 || totalDemand > borrowDemandRatio*r.limit {
		return 0
	}
	return max(1, r.fleetTokens/math.Sqrt(float64(r.daemons)))
}

func (r *RateLimit) peerDemand() float64 { return float64(r.demand.peerTotal) / arrivalScale }

// fleetRefillRate returns the refill rate of the fleet bucket, in tokens per
// second.
func (r *RateLimit) fleetRefillRate() float64 { return r.limit * (1 + floorFraction*r.peerFraction()) }

// peerFraction returns the fraction of the daemons that are not this one. A
// daemon without peers gets nothing in addition to the limit.
func (r *RateLimit) peerFraction() float64 { return 1 - 1/float64(r.daemons) }

// ownRefillRate returns this daemon's share of the limit, in tokens per second.
func (r *RateLimit) ownRefillRate() float64 {
	return r.withFloor(allocate(r.limit, r.demand.confirmed()/arrivalScale, r.peerDemand(), r.daemons))
}

func (r *RateLimit) withFloor(rate float64) float64 {
	return max(rate, floorFraction*r.limit/float64(r.daemons))
}

func (r *RateLimit) fleetCapacity() float64 { return max(1, r.limit*r.burst.Seconds()) }

// ownCapacity returns the capacity of the own bucket. It holds one token more
// than a burst, so that a share of less than one request per burst can
// accumulate a token while no requests arrive.
func (r *RateLimit) ownCapacity() float64 { return 1 + r.ownRefillRate()*r.burst.Seconds() }

// maxDebt bounds how far the fleet bucket may go below zero. As long as
// exchanges arrive it never reaches this bound. Without the bound, after a long
// loss of connectivity all callers would be refused for as long again.
func (r *RateLimit) maxDebt() float64 {
	return maxUnreported(r.limit, r.burst, r.exchangeInterval, r.daemons)
}

// maxUnreported returns the maximum number of requests that all daemons can
// accept before they receive each other's reports: the contents of the own
// buckets plus their refill during two intervals, plus the tokens borrowable in
// two intervals. It is derived in docs/design/admission.md.
func maxUnreported(limit float64, burst, exchangeInterval time.Duration, daemons int) float64 {
	n := float64(daemons)
	perSecond := (1+floorFraction)*(burst+2*exchangeInterval).Seconds() + 2*math.Sqrt(n)*burst.Seconds()
	return limit*perSecond + 4*n
}

// refill adds the tokens for the time passed. It is called before and after
// every change that affects a share. When the capacity of the own bucket
// shrinks, tokens above it are lost, and when it grows, no tokens are added.
// Otherwise demand that comes and goes at one daemon would create tokens at the
// others.
func (r *RateLimit) refill(now time.Time) {
	if r.limit <= 0 {
		r.updatedAt = now
		return
	}
	if now.After(r.updatedAt) {
		passed := now.Sub(r.updatedAt).Seconds()
		r.ownTokens += passed * r.ownRefillRate()
		r.fleetTokens += passed * r.fleetRefillRate()
		r.updatedAt = now
	}
	r.fleetTokens = min(r.fleetTokens, r.fleetCapacity())
	r.ownTokens = min(r.ownTokens, r.ownCapacity())
}
