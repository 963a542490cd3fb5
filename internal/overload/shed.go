package overload

import (
	"cmp"
	"slices"
	"time"
)

// Shedder decides which fraction of new requests a daemon refuses at once, reading no
// more of them than the refusal needs, so that the others are served in time.
//
// The load pattern it addresses: a balancer directs each caller to one daemon, and a
// single caller sends hundreds of requests a second to a VM that can serve a hundred.
// Served in order, all of them are read late, including those of other callers, and
// nearly all time out at their callers. A caller's retries reach other daemons, so that a
// request that is refused immediately with a short retry delay (ImmediateRetryDelay) can
// still be served in time there. A refusal takes about a fifth of the processor time of a
// served request.
//
// The fraction follows the scheduling latency: it rises while the median of the last
// samples is above a target and falls while it is below. The median is used rather than
// the mean because a processor with a CPU quota is throttled for most of each tenth of a
// second, which shows in one sample of eight.
//
// A request is scheduled about ten times, so that the target amounts to a third of the
// shortest latency objectives (100 ms). At five times the target the fraction rises from
// zero to nearly one in an eighth of a second; falling back takes half a second.
type Shedder struct {
	// target is the scheduling latency at which the fraction neither rises nor falls; zero
	// means targetLatency.
	target    time.Duration
	latencies [medianWindow]time.Duration
	next      int
	fraction  float64
	lastTime  time.Time
}

const (
	targetLatency = 3 * time.Millisecond
	// medianWindow is the number of samples of which the median is taken.
	medianWindow = 9
	// shedGain is the increase of the fraction per second at twice the target latency;
	// maxExcess bounds the multiple of it at higher latencies. maxShedFraction bounds the
	// fraction itself, because some requests must be served to find out whether the load
	// is over.
	shedGain        = 2.0
	maxExcess       = 4.0
	maxShedFraction = 0.95
	// maxStep bounds the time that one sample accounts for.
	maxStep = 100 * time.Millisecond
)

// ImmediateRetryDelay is the retry delay given to a refused caller that another daemon
// may serve. It is short, but long enough to spread the retries of callers that were
// refused together.
const ImmediateRetryDelay = 20 * time.Millisecond

// earlyLatency is the target of a Shedder that decides what to forward. It is a sixth of
// targetLatency, so that nothing is refused while neighbours accept connections.
const earlyLatency = 500 * time.Microsecond

// NewEarlyShedder returns a Shedder whose fraction is that of new connections to forward to
// neighbours before any are refused.
func NewEarlyShedder() *Shedder { return &Shedder{target: earlyLatency} }

// Observe records one sample of the scheduling latency and returns the fraction of new
// requests to refuse, or, for NewEarlyShedder, of new connections to forward.
func (s *Shedder) Observe(now time.Time, latency time.Duration) float64 {
	s.latencies[s.next%medianWindow] = latency
	s.next++
	step := min(now.Sub(s.lastTime), maxStep)
	s.lastTime = now
	excess := min(float64(s.median())/float64(cmp.Or(s.target, targetLatency))-1, maxExcess)
	s.fraction += shedGain * excess * step.Seconds()
	s.fraction = min(max(0, s.fraction), maxShedFraction)
	return s.fraction
}

// stallThreshold is the time that a goroutine must have been waiting to run for the wait
// alone, before it ends, to prove a lack of processor time. A processor throttled by a
// CPU quota pauses for less.
const stallThreshold = 250 * time.Millisecond

// PendingShedFraction returns the fraction of new requests to refuse while the current
// latency measurement has been pending for the given time, whatever the last samples
// were. On a daemon that is flooded suddenly no measurement ends for seconds, in which it
// would accept hundreds of requests that it cannot serve.
func PendingShedFraction(pending time.Duration) float64 {
	if pending < stallThreshold {
		return 0
	}
	return maxShedFraction
}

const (
	// acceptFactor divided by the mean scheduling latency in seconds is the number of
	// connections accepted per second: 1,000 at a latency of 10 ms, about as many as a
	// small VM can refuse beside its other work, and 200 at 50 ms.
	acceptFactor = 10
	// minAcceptRate is the accept rate at any latency.
	minAcceptRate = 150
)

// AcceptBacklog is how many new connections wait in the kernel at most until the daemon accepts
// them. They are accepted in the order of their arrival: with the thousands that the kernel
// allows, a flooded daemon accepts only connections whose callers have waited for seconds and
// have left or are about to.
const AcceptBacklog = 128

// AcceptRate returns how many new connections a daemon accepts per second at the given
// mean scheduling latency; zero means no limit. It addresses callers that send more than
// the daemon can even refuse: read in order, their requests would take all processor
// time, and each would be dispatched after its caller has disconnected. The rate depends
// on the current latency only, so that connections that could be refused are not left
// unread once the latency has fallen.
func AcceptRate(meanLatency time.Duration) float64 {
	if meanLatency < enterLatency {
		return 0
	}
	return max(minAcceptRate, acceptFactor/meanLatency.Seconds())
}

// ShedFractionFor returns the fraction to refuse of the first requests on connections, or
// of the later ones, so that the given overall fraction is refused. First requests are
// refused before later ones: a caller that is served keeps its connection, and the
// balancer directs new connections elsewhere once it has noticed the overload, so that
// the daemon keeps as many callers as it can serve. If both were refused alike, it would
// have lost all its callers by then.
func ShedFractionFor(overall float64, firstOnConn bool) float64 {
	if firstOnConn {
		return min(1, 2*overall)
	}
	return max(0, 2*overall-1)
}

func (s *Shedder) median() time.Duration {
	sorted := s.latencies
	slices.Sort(sorted[:])
	return sorted[medianWindow/2]
}
