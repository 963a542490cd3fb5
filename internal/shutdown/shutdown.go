// Package shutdown decides, during a planned stop of which the end is known, until when a request may
// still be sent to a target and by when it must have its response. It does no I/O; times are arguments.
//
// The failure it addresses: the platform kills the process at the end of the grace. A request that was sent to a
// target shortly before is cut, its caller gets no response, and if it must not be repeated, nobody knows whether
// it ran. One that is refused in time as not run is served by another daemon.
package shutdown

import (
	"sync"
	"time"
)

// marginFraction is the part of the grace that is kept for writing the last responses before the process is killed.
// At a grace of 8 s it is 500 ms, several times the scheduling latency of a busy VM.
const marginFraction = 1.0 / 16

// Plan holds the bounds of one planned stop. The zero value bounds nothing.
type Plan struct {
	answerBy time.Time
	margin   time.Duration
}

// NewPlan returns the plan of a stop that begins now and whose process is killed after the grace; zero if that is not
// known.
func NewPlan(now time.Time, grace time.Duration) Plan {
	if grace <= 0 {
		return Plan{}
	}
	margin := time.Duration(marginFraction * float64(grace))
	return Plan{answerBy: now.Add(grace - margin), margin: margin}
}

// Bounded reports whether the end of the grace is known.
func (p *Plan) Bounded() bool { return !p.answerBy.IsZero() }

// AnswerBy returns when a request whose response is not complete must be ended, so that its caller still gets an answer.
func (p *Plan) AnswerBy() time.Time { return p.answerBy }

// DispatchUntil returns until when a request may be sent to a target that usually takes the given time for it. A
// request whose deadline is earlier than the end of the grace may be sent until its deadline: it is answered
// by then.
func (p *Plan) DispatchUntil(deadline time.Time, usual time.Duration) time.Time {
	if !p.Bounded() || !deadline.After(p.answerBy) {
		return deadline
	}
	return p.answerBy.Add(-max(usual, p.margin))
}

// MayDispatch reports whether a request may still be sent to a target.
func (p *Plan) MayDispatch(now, deadline time.Time, usual time.Duration) bool {
	return !p.Bounded() || !now.After(p.DispatchUntil(deadline, usual))
}

// newestWeight is the weight of the newest response in the usual duration.
const newestWeight = 1.0 / 16

// Usual learns how long the requests of a route take at their targets. It is safe for concurrent use.
type Usual struct {
	mu   sync.Mutex
	mean time.Duration
}

// Observe records how long a request took.
func (u *Usual) Observe(took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.mean == 0 {
		u.mean = took
		return
	}
	u.mean += time.Duration(newestWeight * float64(took-u.mean))
}

// Duration returns the usual duration; zero if none was observed.
func (u *Usual) Duration() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.mean
}
