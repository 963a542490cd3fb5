// Package patience decides by when the response to a request must begin, and
// whether the request counts as late. It does no I/O; times are arguments.
//
// The load pattern it addresses: callers demand twice what the targets can serve,
// for minutes. A response within its latency objective is worth several times a
// late one, so target time spent on late responses is taken from requests that
// could still meet their objectives. If every request were held until its caller
// gives up, all of them would be late.
//
// A request that cannot be in time is therefore refused with a time to retry. A
// retry, or a request that is late on arrival, is worth less and gets only spare
// capacity. The caller's remaining time reveals only late retries; early ones are
// recognized by their prompt (package booking).
package patience

import "time"

// Request describes a request on arrival.
type Request struct {
	Arrived time.Time
	// Remaining is how long the caller will wait at most, and MaxWait how long
	// the operator lets a first attempt wait.
	Remaining, MaxWait time.Duration
	// Stated is how long the caller says that it will wait, and Usual how long callers of
	// its route usually say when they first ask; zero if not known.
	Stated, Usual time.Duration
	// Objective is the latency objective for the first event, or for the response
	// if it is not streamed; zero means none.
	Objective time.Duration
	// Resumed reports whether the caller already has part of the response.
	Resumed bool
}

// Plan is the result of Decide.
type Plan struct {
	// Due is when the first byte of the response must reach the caller. The
	// request is refused if that is not possible.
	Due time.Time
	// Late reports whether the objective had already passed on arrival.
	Late bool
}

const (
	// retryFraction is the fraction of MaxWait, or of the usual wait if that is longer,
	// that must have elapsed for a request to be classified as a retry. Callers state their remaining time,
	// and not all of them wait as long as the operator allows. With a threshold
	// near MaxWait, their first requests would be classified as late, shares
	// would not apply to them, and the workspaces with the most requests would
	// get the most capacity.
	retryFraction = 0.25
	// responseTransit is the time that the response takes to reach the caller.
	responseTransit = 5 * time.Millisecond
)

// Decide returns the plan for a request.
func Decide(r Request) Plan {
	switch {
	case r.Objective <= 0:
		return Plan{Due: r.Arrived.Add(r.Remaining)}
	case r.Resumed:
		// Its time has passed with the events that the caller has, not with waiting. Were it late,
		// it would get spare capacity only, and most streams that break would end there.
		return Plan{Due: r.Arrived.Add(r.Remaining)}
	case r.isRetry():
		return Plan{Due: r.Arrived.Add(r.Remaining), Late: true}
	}
	return Plan{Due: r.Arrived.Add(min(r.Remaining, r.Objective-responseTransit))}
}

// isRetry reports whether the caller has waited for so long already that it has asked before.
func (r *Request) isRetry() bool {
	if r.Usual > r.MaxWait && r.Stated > 0 {
		return float64(r.Usual-r.Stated) > retryFraction*float64(r.Usual)
	}
	return float64(r.MaxWait-r.Remaining) > retryFraction*float64(r.MaxWait)
}
