package overload

import (
	"slices"
	"time"
)

// Shedder decides which part of new requests a daemon refuses at once, unread but for
// what has to be read to answer them, so that the rest is served in time.
//
// Load pattern: a balancer leads each caller to one daemon, and a single caller sends
// hundreds of requests a second to a VM that can serve a hundred. Taken in turn they are
// all read late, those of other callers too, and nearly all end with their callers'
// patience. Its callers' next tries reach other daemons, so that one that is told at
// once to come back at once (BackAtOnce) is still in time there. A refusal takes about a
// fifth of the processor time of a served request.
//
// The part follows the wait for a turn: it rises while the median of the last waits is
// above a target and falls while it is below. The median, and not a mean: a processor
// with a quota stands still for most of each tenth of a second, which shows in one wait
// of eight.
//
// A request takes about ten turns, so that the target is a third of the shortest
// objectives (100 ms). From none to nearly all takes an eighth of a second at five times the
// target, and back half a second.
type Shedder struct {
	waits [shedWindow]time.Duration
	next  int
	share float64
	last  time.Time
}

const (
	shedTarget = 3 * time.Millisecond
	// shedWindow is the number of waits of which the median is taken.
	shedWindow = 9
	// shedRise is by how much the part rises a second where the wait is twice the
	// target, shedExcess bounds how many times that it may rise, and shedMost the part:
	// some requests tell whether the load is over.
	shedRise   = 2.0
	shedExcess = 4.0
	shedMost   = 0.95
	// shedStep bounds the time that one observation stands for.
	shedStep = 100 * time.Millisecond
)

// BackAtOnce is when a caller is told to come back that another daemon may serve: at
// once, but for a moment in which those that were refused together spread.
const BackAtOnce = 20 * time.Millisecond

// Note takes in one wait for a turn, and returns the part of new requests to refuse.
func (s *Shedder) Note(now time.Time, wait time.Duration) float64 {
	s.waits[s.next%shedWindow] = wait
	s.next++
	step := min(now.Sub(s.last), shedStep)
	s.last = now
	excess := min(float64(s.median())/float64(shedTarget)-1, shedExcess)
	s.share += shedRise * excess * step.Seconds()
	s.share = min(max(0, s.share), shedMost)
	return s.share
}

// certain is the wait for a turn that tells by itself that the processor time is short, before
// the turn has come: a processor with a quota stands still for less.
const certain = 250 * time.Millisecond

// Waiting returns the part of new requests to refuse where a turn is waited for since so
// long, whatever the last waits were. On a daemon that is flooded at once no wait ends for
// seconds, in which it would take on hundreds of requests that it can't serve.
func Waiting(since time.Duration) float64 {
	if since < certain {
		return 0
	}
	return shedMost
}

const (
	// acceptTurns is how many turns of the mean wait may begin with a new connection in a
	// second: at a wait of 10 ms 1,000 are taken, about what a small VM can refuse beside
	// its other work, at 50 ms 200.
	acceptTurns = 10
	// acceptLeast is what a daemon takes all the same.
	acceptLeast = 150
)

// AcceptRate returns how many new connections a second a daemon takes where a turn takes
// so long on average; zero: all. It answers callers that bring more than can even be
// refused: read in turn, their requests would take all processor time, and each would be
// sent on after its caller has gone. It falls with the wait and has no memory, so that
// what can be refused is not left unread once the wait has fallen.
func AcceptRate(wait time.Duration) float64 {
	if wait < high {
		return 0
	}
	return max(acceptLeast, acceptTurns/wait.Seconds())
}

// Part returns the part to refuse of the requests on connections that are new, or that
// have brought some before, where so much of all is to be refused. Those that come first
// on a connection go first: a caller that is served keeps its connection, and the balancer
// leads new ones elsewhere as soon as it knows, so that the daemon is left with as many
// as it can serve. Refused alike, it would lose them all by then.
func Part(share float64, fresh bool) float64 {
	if fresh {
		return min(1, 2*share)
	}
	return max(0, 2*share-1)
}

func (s *Shedder) median() time.Duration {
	sorted := s.waits
	slices.Sort(sorted[:])
	return sorted[shedWindow/2]
}
