package platform

import (
	"sync"
	"time"
)

const (
	// failureThreshold is the number of consecutive failed calls that open the
	// circuit breaker. One or two calls also fail when a single connection
	// breaks.
	failureThreshold = 4
	// probeBase and probeCap bound the backoff between probes. With full jitter,
	// 360 daemons at the cap send about 180 probes per second, a tenth of the
	// capacity of a store, and half of them detect its recovery within two
	// seconds.
	probeBase = 100 * time.Millisecond
	probeCap  = 4 * time.Second
)

// circuitBreaker blocks calls while a store is unavailable, except for one probe
// at a time.
//
// It prevents a thundering herd at the end of an outage: if every waiting call
// of every daemon retried independently, the load would take the store down
// again as soon as it recovers.
type circuitBreaker struct {
	mu           sync.Mutex
	failures     int
	open         bool
	probing      bool
	failedProbes int
	nextProbe    time.Time
	random       func() float64
	// changed is closed when waiting calls should call allow again.
	changed chan struct{}
}

func newCircuitBreaker(random func() float64) *circuitBreaker {
	return &circuitBreaker{random: random, changed: make(chan struct{})}
}

// allow reports whether a call may proceed now, and whether it is a probe. If it
// may not, the caller should ask again after wait or when changed is closed. The
// outcome of an allowed call must be passed to report.
func (b *circuitBreaker) allow(now time.Time) (ok, probe bool, wait time.Duration, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return true, false, 0, nil
	}
	if !b.probing && !now.Before(b.nextProbe) {
		b.probing = true
		return true, true, 0, nil
	}
	return false, false, max(b.nextProbe.Sub(now), probeBase), b.changed
}

// callOutcome is what a call reveals about the availability of its store.
type callOutcome uint8

const (
	// outcomeAnswered includes responses that reject the call's content.
	outcomeAnswered callOutcome = iota
	outcomeFailed
	// outcomeInconclusive is the outcome of a call that its caller ended too
	// early to conclude anything.
	outcomeInconclusive
)

// report records the outcome of an allowed call. It returns whether the outcome
// opened or closed the circuit breaker.
func (b *circuitBreaker) report(now time.Time, probe bool, outcome callOutcome) (opened, closed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if probe {
		b.probing = false
		defer b.wakeWaiters()
	}
	switch outcome {
	case outcomeAnswered:
		return false, b.recordAnswer(probe)
	case outcomeFailed:
		return b.recordFailure(now, probe), false
	}
	return false, false
}

// recordAnswer closes the circuit breaker and reports whether it was open.
// While it is open, only the response to a probe counts: a response to a call
// from before the outage says nothing about the current state of the store.
func (b *circuitBreaker) recordAnswer(probe bool) bool {
	if b.open && !probe {
		return false
	}
	closed := b.open
	b.open, b.failures, b.failedProbes = false, 0, 0
	return closed
}

func (b *circuitBreaker) recordFailure(now time.Time, probe bool) bool {
	if b.open && !probe {
		return false
	}
	b.failures++
	if !b.open && b.failures < failureThreshold {
		return false
	}
	opened := !b.open
	b.open = true
	b.nextProbe = now.Add(fullJitter(b.failedProbes, probeBase, probeCap, b.random()))
	b.failedProbes++
	return opened
}

func (b *circuitBreaker) wakeWaiters() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// fullJitter returns a random delay between zero and base doubled once per
// attempt, but at most maxDelay. Attempts are counted from zero; random is in
// [0,1).
func fullJitter(attempt int, base, maxDelay time.Duration, random float64) time.Duration {
	const maxShift = 16
	limit := min(base<<min(attempt, maxShift), maxDelay)
	return time.Duration(random * float64(limit))
}

const (
	// budgetSize is how many retries are allowed without a success in between;
	// successesPerRetry is how many successes allow one more. During a long
	// partial failure retries thus add at most a tenth to the load.
	budgetSize        = 20
	successesPerRetry = 10
)

// retryBudget limits the retries of all calls to one store. Without it, a store
// that fails half of its calls would receive several times the normal load when
// it can handle the least.
type retryBudget struct {
	mu sync.Mutex
	// credit counts successes; a retry costs successesPerRetry of them.
	credit int
	// logged reports that the current exhaustion has been logged.
	logged bool
}

func newRetryBudget() *retryBudget { return &retryBudget{credit: budgetSize * successesPerRetry} }

func (b *retryBudget) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+1, budgetSize*successesPerRetry)
	if b.credit >= successesPerRetry {
		b.logged = false
	}
}

func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < successesPerRetry {
		return false
	}
	b.credit -= successesPerRetry
	return true
}

// shouldLog reports whether to log that the budget is exhausted: only once until
// a retry is allowed again.
func (b *retryBudget) shouldLog() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := !b.logged
	b.logged = true
	return first
}
