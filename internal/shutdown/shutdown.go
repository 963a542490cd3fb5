// Package shutdown decides, during a graceful shutdown whose end is known, until when a request may still be sent
// to a target and by when it must have its response. It does no I/O; times are arguments.
//
// The failure it addresses: the platform kills the process at the end of the grace period. A request that was sent
// to a target shortly before is cut off, its caller gets no response, and if it is unrepeatable, its outcome is
// unknown. One that is refused in time as not run is served by another daemon.
package shutdown

import (
	"sync"
	"time"
)

// marginFraction is the part of the grace period that is reserved for writing the last responses before the process
// is killed. At a grace period of 8 s it is 500 ms, several times the scheduling latency of a busy VM.
const marginFraction = 1.0 / 16

// Plan holds the bounds of one graceful shutdown. The zero value bounds nothing.
type Plan struct {
	// answerBy is the end of the grace period less the margin; zero if it is unknown.
	answerBy time.Time
	margin   time.Duration
}

// NewPlan returns the plan of a graceful shutdown that begins now. A grace period of zero or less is unknown and
// yields the zero Plan.
func NewPlan(now time.Time, grace time.Duration) Plan {
	if grace <= 0 {
		return Plan{}
	}
	margin := time.Duration(marginFraction * float64(grace))
	return Plan{answerBy: now.Add(grace - margin), margin: margin}
}

// Bounded reports whether the end of the grace period is known.
func (p *Plan) Bounded() bool { return !p.answerBy.IsZero() }

// AnswerBy returns when a request whose response is not complete must be ended, so that its caller still gets an
// error response. It is zero if the plan is not bounded.
func (p *Plan) AnswerBy() time.Time { return p.answerBy }

// DispatchUntil returns until when a request may be sent to a target whose response is expected to take the given
// time. A request whose deadline is not after AnswerBy may be sent until its deadline: it is answered by then.
func (p *Plan) DispatchUntil(deadline time.Time, expected time.Duration) time.Time {
	if !p.Bounded() || !deadline.After(p.answerBy) {
		return deadline
	}
	return p.answerBy.Add(-max(expected, p.margin))
}

// MayDispatch reports whether a request may still be sent to a target whose response is expected to take the given
// time.
func (p *Plan) MayDispatch(now, deadline time.Time, expected time.Duration) bool {
	return !p.Bounded() || !now.After(p.DispatchUntil(deadline, expected))
}

// newestWeight is the weight of the newest duration in the mean once earlier ones are known.
const newestWeight = 1.0 / 16

// MeanDuration is the exponentially weighted mean of how long the requests of a route take at their targets. The first
// durations have equal weights, so that none of them decides alone. The zero value holds no duration. It is safe for
// concurrent use.
type MeanDuration struct {
	mu    sync.Mutex
	mean  time.Duration
	count float64
}

// Observe records how long a request took.
func (m *MeanDuration) Observe(elapsed time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count++
	weight := max(newestWeight, 1/m.count)
	m.mean += time.Duration(weight * float64(elapsed-m.mean))
}

// Value returns the mean; zero if no duration was observed.
func (m *MeanDuration) Value() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mean
}
