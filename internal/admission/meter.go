package admission

import (
	"math"
	"time"
)

// dispatchMeter measures how many requests are dispatched per second while some
// are waiting.
type dispatchMeter struct {
	window time.Duration
	// dispatches and busySeconds count dispatches and the seconds during which
	// requests were waiting. Both decay exponentially over busy time.
	dispatches, busySeconds float64
	waitingCount            int
	updatedAt               time.Time
}

// minBusySeconds is the busy time that must have been observed before the rate
// is used. With less, a single long request would look like a stall.
const minBusySeconds = 1

func (m *dispatchMeter) setWaiting(now time.Time, n int) {
	m.advance(now)
	m.waitingCount = n
}

func (m *dispatchMeter) recordDispatch(now time.Time) {
	m.advance(now)
	m.dispatches++
}

func (m *dispatchMeter) advance(now time.Time) {
	elapsed := now.Sub(m.updatedAt).Seconds()
	first := m.updatedAt.IsZero()
	m.updatedAt = now
	switch {
	case first || elapsed <= 0:
	case m.waitingCount > 0:
		decay := math.Exp(-elapsed / m.window.Seconds())
		m.dispatches *= decay
		m.busySeconds = m.busySeconds*decay + elapsed
	case elapsed > m.window.Seconds():
		// No request has waited for a long time, so the earlier measurement
		// does not describe the current load.
		m.dispatches, m.busySeconds = 0, 0
	}
}

// expectedWait returns the expected time to dispatch n requests; zero if the
// rate is unknown.
func (m *dispatchMeter) expectedWait(now time.Time, n int) time.Duration {
	m.advance(now)
	if m.busySeconds < minBusySeconds || n <= 0 {
		return 0
	}
	dispatches := max(m.dispatches, 1)
	return time.Duration(float64(n) * m.busySeconds / dispatches * float64(time.Second))
}

// quantileEstimator tracks the quantile of the given rank of the added values,
// in steps of at most the fraction quantileStep of its current value.
type quantileEstimator struct{ rank, value float64 }

const quantileStep = 0.05

func (q *quantileEstimator) add(x float64) {
	switch {
	case q.value == 0:
		q.value = x
	case x < q.value:
		q.value *= 1 - quantileStep*(1-q.rank)
	default:
		q.value *= 1 + quantileStep*q.rank
	}
}

// serviceTimes tracks the service times of one class.
type serviceTimes struct{ fast, median quantileEstimator }

const (
	fastRank   = 0.1
	medianRank = 0.5
)

func newServiceTimes() *serviceTimes {
	return &serviceTimes{fast: quantileEstimator{rank: fastRank}, median: quantileEstimator{rank: medianRank}}
}
