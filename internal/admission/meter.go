package admission

import (
	"math"
	"time"
)

// meter measures how many requests are dispatched a second while some wait.
type meter struct {
	memory time.Duration
	// starts and busy are sums that fade over busy time: dispatches, and
	// seconds in which requests waited.
	starts, busy float64
	backlog      int
	of           time.Time
}

// leastBusy is how many seconds must have been watched before the rate says
// anything; below it a single long request would look like a stall.
const leastBusy = 1

func (m *meter) waiting(now time.Time, n int) {
	m.advance(now)
	m.backlog = n
}

func (m *meter) started(now time.Time) {
	m.advance(now)
	m.starts++
}

func (m *meter) advance(now time.Time) {
	passed := now.Sub(m.of).Seconds()
	first := m.of.IsZero()
	m.of = now
	switch {
	case first || passed <= 0:
	case m.backlog > 0:
		fade := math.Exp(-passed / m.memory.Seconds())
		m.starts *= fade
		m.busy = m.busy*fade + passed
	case passed > m.memory.Seconds():
		// Nothing waited for long: what was measured before says nothing of
		// the load now.
		m.starts, m.busy = 0, 0
	}
}

// wait returns how long the dispatch of n requests takes; zero where the rate
// is not known.
func (m *meter) wait(now time.Time, n int) time.Duration {
	m.advance(now)
	if m.busy < leastBusy || n <= 0 {
		return 0
	}
	starts := max(m.starts, 1)
	return time.Duration(float64(n) * m.busy / starts * float64(time.Second))
}

// quantile follows the quantile of the given rank of what is added, in steps of
// at most quantileStep of itself.
type quantile struct{ rank, value float64 }

const quantileStep = 0.05

func (q *quantile) add(x float64) {
	switch {
	case q.value == 0:
		q.value = x
	case x < q.value:
		q.value *= 1 - quantileStep*(1-q.rank)
	default:
		q.value *= 1 + quantileStep*q.rank
	}
}

// times follows how long the requests of one class take.
type times struct{ fast, typical quantile }

const (
	fastRank    = 0.1
	typicalRank = 0.5
)

func newTimes() *times {
	return &times{fast: quantile{rank: fastRank}, typical: quantile{rank: typicalRank}}
}
