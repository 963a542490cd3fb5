// Package limit divides a workspace's own limits among the daemons of the fleet,
// so that a limit applies as configured regardless of which daemons the callers
// connect to.
//
// The load pattern it addresses: a workspace spreads its callers unevenly over a
// few of many daemons, and the callers move between daemons. If each daemon
// enforced the full limit by itself, the workspace would get a multiple of it,
// once per daemon used. If the limit were divided equally, the shares of unused
// daemons would be wasted.
//
// With each exchange of served totals, every daemon reports to the others the
// demand of its callers and what it has admitted. This is used in two ways.
//
// The first is the daemon's share of the limit. While total demand is below the
// limit, the share is the local demand plus an equal part of the unused capacity.
// Above it, the limit is divided in proportion to demand, so that callers are
// refused equally often at every daemon. A daemon lowers its share as soon as it
// reports a lower demand, but raises it only at the exchange after the one that
// reported a higher one. The demand that others know of a daemon is therefore
// never below what its share is based on, and the shares add up to the limit as
// long as exchanges arrive.
//
// The second is a count of what the whole fleet has admitted. It stops a daemon
// whose share is out of date, and lets a daemon exceed its share while much
// capacity is free. Shares alone lag two exchanges behind callers that move.
//
// The bounds and the reasons for the constants are in docs/design/admission.md.
// Nothing in this package is safe for concurrent use.
package limit

import (
	"cmp"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// Defaults of Config.
const (
	DefaultExchangeInterval = time.Second
	DefaultBurst            = 2 * time.Second
)

// Config configures a Share. Zero fields take their defaults.
type Config struct {
	// Self is the name of this daemon.
	Self ident.Daemon
	// ExchangeInterval is the interval at which EndInterval is called (default 1
	// s).
	ExchangeInterval time.Duration
	// Burst is the size of the token bucket of a rate limit, as a time at that
	// rate. The default is 2 s, which is two exchanges: callers that move to
	// another daemon use its bucket until its share has grown.
	Burst time.Duration
}

func (c Config) withDefaults() Config {
	c.ExchangeInterval = cmp.Or(c.ExchangeInterval, DefaultExchangeInterval)
	c.Burst = cmp.Or(c.Burst, DefaultBurst)
	return c
}

// MaxAccepted returns the maximum number of requests that a number of daemons
// accept within a time span under a rate limit in requests per second, provided
// that exchanges arrive and no daemon starts.
func (c Config) MaxAccepted(rate float64, span time.Duration, daemons int) float64 {
	c = c.withDefaults()
	bucket := max(1, rate*c.Burst.Seconds())
	return (1+floorFraction)*rate*span.Seconds() + bucket + maxUnreported(rate, c.Burst, c.ExchangeInterval, daemons)
}

// Report is what a daemon tells the others about one workspace. A later report
// replaces all earlier ones.
type Report struct {
	// Arrivals is the arrival rate, in sixteenths of a request per second.
	Arrivals uint32
	// Accepted is the number of requests that the daemon's current incarnation
	// has accepted under a rate limit.
	Accepted uint64
	// Wanted is the number of requests that were in flight or were rejected by
	// the concurrency limit.
	Wanted uint32
	// InFlight is the number of waiting and running requests.
	InFlight uint32
}

// Share is a daemon's share of the limits of one workspace.
type Share struct {
	Rate        RateLimit
	Concurrency ConcurrencyLimit
	lastReport  Report
	// hasReported is true once a report other than zero has been returned.
	hasReported bool
}

// New returns a share without limits for a daemon without peers.
func New(c Config) *Share {
	c = c.withDefaults()
	daemons := []ident.Daemon{c.Self}
	return &Share{
		Rate:        RateLimit{exchangeInterval: c.ExchangeInterval, burst: c.Burst, daemons: 1, acceptedByPeer: peerCounts{}},
		Concurrency: ConcurrencyLimit{self: c.Self, daemons: daemons, inFlightByPeer: map[ident.Daemon]uint32{}},
	}
}

// SetLimits applies the configured limits: accepted requests per second and
// requests in flight. Zero means no limit.
func (s *Share) SetLimits(rate float64, concurrent int) {
	s.Rate.setLimit(rate)
	s.Concurrency.setLimit(concurrent)
}

// SetDaemons sets the live daemons, including this one, sorted by name. Reports
// of daemons that are no longer live are discarded, because their callers
// connect elsewhere. It retains the slice.
func (s *Share) SetDaemons(now time.Time, daemons []ident.Daemon) {
	live := make(map[ident.Daemon]bool, len(daemons))
	for _, id := range daemons {
		live[id] = true
	}
	s.Rate.setDaemons(now, live)
	s.Concurrency.setDaemons(daemons, live)
}

// MergeReport applies another daemon's report.
func (s *Share) MergeReport(now time.Time, from ident.Daemon, report Report) {
	s.Rate.mergeReport(now, from, report)
	s.Concurrency.mergeReport(from, report)
}

// Forget discards the reports of a daemon whose incarnation has ended.
func (s *Share) Forget(now time.Time, id ident.Daemon) {
	s.Rate.forget(now, id)
	s.Concurrency.mergeReport(id, Report{})
}

// HasReported reports whether other daemons may hold a report with demand from
// this daemon.
func (s *Share) HasReported() bool { return s.hasReported }

// EndInterval ends an exchange interval. It returns the report to send, and
// whether it differs from the previous one. The report of a workspace without
// limits is zero.
func (s *Share) EndInterval(now time.Time, inFlight int) (Report, bool) {
	var report Report
	if s.Rate.limit > 0 {
		report.Arrivals, report.Accepted = s.Rate.endInterval(now), s.Rate.accepted
	}
	if s.Concurrency.limit > 0 {
		report.Wanted, report.InFlight = s.Concurrency.endInterval(inFlight), uint32(inFlight)
	}
	changed := report != s.lastReport
	s.lastReport = report
	s.hasReported = s.hasReported || changed
	return report, changed
}
