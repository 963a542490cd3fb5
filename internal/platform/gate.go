package platform

import (
	"sync"
	"time"
)

const (
	// outageFailures is how many calls in a row must fail before a store counts
	// as out. One or two also fail when a single connection breaks.
	outageFailures = 4
	// probeBase and probeCap bound the backoff between probes. With full jitter
	// 360 daemons at the cap make about 180 probes a second, a tenth of what a
	// store takes; and half of them notice its return within two seconds.
	probeBase = 100 * time.Millisecond
	probeCap  = 4 * time.Second
)

// gate holds calls back while a store is out and lets one at a time probe it.
//
// It answers the herd at the end of an outage: without it every waiting call of
// every daemon retries on its own, and the store goes down again under them as
// soon as it is back.
type gate struct {
	mu       sync.Mutex
	failures int
	out      bool
	probing  bool
	probes   int
	next     time.Time
	random   func() float64
	// changed is closed when a waiting call should look again.
	changed chan struct{}
}

func newGate(random func() float64) *gate {
	return &gate{random: random, changed: make(chan struct{})}
}

// pass says whether a call may go now. If not, it should ask again after wait
// or when changed is closed. A call that may go must end with done.
func (g *gate) pass(now time.Time) (ok, probe bool, wait time.Duration, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.out {
		return true, false, 0, nil
	}
	if !g.probing && !now.Before(g.next) {
		g.probing = true
		return true, true, 0, nil
	}
	return false, false, max(g.next.Sub(now), probeBase), g.changed
}

// verdict is what a call says about its store.
type verdict uint8

const (
	// storeAnswered includes answers that refuse the call for its content.
	storeAnswered verdict = iota
	storeFailed
	// storeUnjudged is a call that was given up too early to tell.
	storeUnjudged
)

// done reports a call that had passed. It returns whether the store's outage
// began or ended with it.
func (g *gate) done(now time.Time, probe bool, v verdict) (began, ended bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if probe {
		g.probing = false
		defer g.wake()
	}
	switch v {
	case storeAnswered:
		return false, g.close(probe)
	case storeFailed:
		return g.fail(now, probe), false
	}
	return false, false
}

// close ends an outage. An answer to a call from before the outage does not end
// it: it says nothing about the store's present state.
func (g *gate) close(probe bool) bool {
	if g.out && !probe {
		return false
	}
	ended := g.out
	g.out, g.failures, g.probes = false, 0, 0
	return ended
}

func (g *gate) fail(now time.Time, probe bool) bool {
	if g.out && !probe {
		return false
	}
	g.failures++
	if !g.out && g.failures < outageFailures {
		return false
	}
	began := !g.out
	g.out = true
	g.next = now.Add(fullJitter(g.probes, probeBase, probeCap, g.random()))
	g.probes++
	return began
}

func (g *gate) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// fullJitter returns a wait between zero and the exponential bound of a try
// (the first is zero). Random is in [0,1).
func fullJitter(try int, base, bound time.Duration, random float64) time.Duration {
	const maxShift = 16
	limit := min(base<<min(try, maxShift), bound)
	return time.Duration(random * float64(limit))
}

const (
	// budgetSize is how many retries may be made in a row; budgetRefill is how
	// many successes give one back. Under a lasting partial failure retries add
	// at most a tenth to the load.
	budgetSize   = 20
	budgetRefill = 10
)

// retryBudget bounds retries over all calls to one store. Without it a store
// that fails half of its calls gets several times the load when it can bear
// the least.
type retryBudget struct {
	mu sync.Mutex
	// credit counts successes; a retry costs budgetRefill of them.
	credit int
	// reported tells that the present lack has been logged.
	reported bool
}

func newRetryBudget() *retryBudget { return &retryBudget{credit: budgetSize * budgetRefill} }

func (b *retryBudget) succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+1, budgetSize*budgetRefill)
	if b.credit >= budgetRefill {
		b.reported = false
	}
}

func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < budgetRefill {
		return false
	}
	b.credit -= budgetRefill
	return true
}

// report tells whether the lack is to be logged: once until a retry is allowed
// again.
func (b *retryBudget) report() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := !b.reported
	b.reported = true
	return first
}
