// Package limit divides a workspace's own limits among the daemons of the
// fleet, so that a limit written once holds wherever the callers connect.
//
// The load pattern it answers: a workspace spreads its callers unevenly, over a
// few of many daemons, and moves them. A limit that each daemon holds by itself
// admits as many times what was written as daemons are met; one that is cut into
// equal parts leaves the parts of the daemons unused that nobody meets.
//
// Every daemon tells the others, with the exchange of service parts, what its
// callers ask for and what it has admitted. Two things follow from that.
//
// Its part of the limit. Below the limit, that is what is asked for here and an
// equal part of what nobody asks for; above it, the limit in proportion to what is
// asked for, so that a caller is refused as often at any daemon. A daemon takes
// less from the moment at which it tells so, and more only at the exchange after
// the one that told it. So what others know of a daemon is never below what it
// takes, and the parts add up to the limit as long as exchanges arrive.
//
// A count of what the fleet has admitted. It stops a daemon whose part is out of
// date, and lets it take more than its part where much is free: parts alone are
// two exchanges behind callers that move.
//
// docs/design/admission.md has the bounds and the grounds for the figures. Nothing
// here is safe for concurrent use.
package limit

import (
	"cmp"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// Defaults of Config.
const (
	DefaultExchange = time.Second
	DefaultBurst    = 2 * time.Second
)

// Config sets up a Share. Zero fields take their defaults.
type Config struct {
	// Self names the daemon.
	Self ident.Daemon
	// Exchange is the interval at which Tell is called (default 1 s).
	Exchange time.Duration
	// Burst is the size of the bucket of a rate as a time at that rate (default
	// 2 s, which is two exchanges: callers that move to another daemon live on
	// its bucket until its part has grown).
	Burst time.Duration
}

func (c Config) withDefaults() Config {
	c.Exchange = cmp.Or(c.Exchange, DefaultExchange)
	c.Burst = cmp.Or(c.Burst, DefaultBurst)
	return c
}

// Most returns the most requests that so many daemons accept in a span of time
// under a limit of requests a second, while exchanges arrive and no daemon starts.
func (c Config) Most(rate float64, span time.Duration, daemons int) float64 {
	c = c.withDefaults()
	bucket := max(1, rate*c.Burst.Seconds())
	return (1+floorShare)*rate*span.Seconds() + bucket + unheard(rate, c.Burst, c.Exchange, daemons)
}

// News is what a daemon tells the others of one workspace. The newest stands for
// all before it.
type News struct {
	// Arrivals is the rate of requests, in sixteenths of a request a second.
	Arrivals uint32
	// Accepted counts the requests that the daemon's incarnation has accepted
	// under a limit of the rate.
	Accepted uint64
	// Wanted counts the requests that were in flight or refused for too many
	// being in flight.
	Wanted uint32
	// InFlight counts the requests that wait or run.
	InFlight uint32
}

// Share is a daemon's part of the limits of one workspace.
type Share struct {
	Rate       Rate
	Concurrent Concurrent
	told       News
	// spoke tells that there were news other than zero.
	spoke bool
}

// New returns a share without limits at a daemon that is alone.
func New(c Config) *Share {
	c = c.withDefaults()
	daemons := []ident.Daemon{c.Self}
	return &Share{
		Rate:       Rate{exchange: c.Exchange, burst: c.Burst, daemons: 1, elsewhere: elsewhere{}},
		Concurrent: Concurrent{self: c.Self, daemons: daemons, told: map[ident.Daemon]uint32{}},
	}
}

// SetLimits puts the limits of the document in force: accepted requests a second
// and requests in flight. Zero means no limit.
func (s *Share) SetLimits(rate float64, concurrent int) {
	s.Rate.setLimit(rate)
	s.Concurrent.setLimit(concurrent)
}

// SetDaemons tells which daemons are live, this one among them, sorted by name.
// What was heard of others is forgotten: their callers come elsewhere. It keeps
// the list.
func (s *Share) SetDaemons(now time.Time, daemons []ident.Daemon) {
	live := make(map[ident.Daemon]bool, len(daemons))
	for _, id := range daemons {
		live[id] = true
	}
	s.Rate.setDaemons(now, live)
	s.Concurrent.setDaemons(daemons, live)
}

// Hear takes in the news of another daemon.
func (s *Share) Hear(now time.Time, from ident.Daemon, n News) {
	s.Rate.hear(now, from, n)
	s.Concurrent.hear(from, n)
}

// Forget drops what was heard of a daemon, whose incarnation is gone.
func (s *Share) Forget(now time.Time, id ident.Daemon) {
	s.Rate.forget(now, id)
	s.Concurrent.hear(id, News{})
}

// Spoke tells whether another daemon may know anything else than that nothing is
// asked for.
func (s *Share) Spoke() bool { return s.spoke }

// Tell ends one interval of the exchange: it returns the news, and whether they
// differ from those before. A workspace without limits has none.
func (s *Share) Tell(now time.Time, inFlight int) (News, bool) {
	var n News
	if s.Rate.limit > 0 {
		n.Arrivals, n.Accepted = s.Rate.tell(now), s.Rate.accepted
	}
	if s.Concurrent.limit > 0 {
		n.Wanted, n.InFlight = s.Concurrent.tell(inFlight), uint32(inFlight)
	}
	changed := n != s.told
	s.told = n
	s.spoke = s.spoke || changed
	return n, changed
}
