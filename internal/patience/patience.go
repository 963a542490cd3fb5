// Package patience decides by when the answer to a request has to begin, and
// whether it can be in time at all. It has no network; times are arguments.
//
// Load pattern: callers ask twice of what the targets give, for minutes. An
// answer within its latency objective is worth several times a late one, so time
// on targets that goes to late answers is taken from others that would be in
// time. Held for as long as their callers bear, all requests would end up late.
//
// So a request that can't be in time is refused with a time to come back. One that
// comes back, or is late from the start, is worth less: it gets what is spare. By the
// time that a caller has left only a late return shows; one that comes back early is
// known by its prompt (package booking).
package patience

import "time"

// Request is what is known of a request when it arrives.
type Request struct {
	Arrived time.Time
	// Left is how long the caller waits at most, Limit how long the operator
	// lets a first attempt wait.
	Left, Limit time.Duration
	// Objective is the time to the first event, or to the answer, within which
	// it is in time; zero: none.
	Objective time.Duration
	// Resumed tells that the caller has a part of the answer already.
	Resumed bool
}

// Plan is the decision.
type Plan struct {
	// Due is when the first byte of the answer has to be with the caller. The
	// request is refused where it can't be.
	Due time.Time
	// Late tells that the objective had passed on arrival.
	Late bool
}

const (
	// spentBefore is the part of the limit that a caller must have used to be taken
	// for one that comes back. Callers state what is left of their time, and not all
	// are as patient as the operator's limit lets them be: a bound near
	// the limit takes first requests for late ones, so that shares hold for none of them,
	// and those who ask most have most.
	spentBefore = 0.25
	// wayBack is the time of the answer on its way to the caller.
	wayBack = 5 * time.Millisecond
)

// Decide returns the plan of a request.
func Decide(r Request) Plan {
	spent := max(0, r.Limit-r.Left)
	switch {
	case r.Objective <= 0:
		return Plan{Due: r.Arrived.Add(r.Left)}
	case float64(spent) > spentBefore*float64(r.Limit) || r.Resumed:
		return Plan{Due: r.Arrived.Add(r.Left), Late: true}
	}
	return Plan{Due: r.Arrived.Add(min(r.Left, r.Objective-wayBack))}
}
