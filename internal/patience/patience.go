// Package patience decides how long a request may wait for a target, in which
// class it waits, and what it is expected to cost. It has no network; times are
// arguments.
//
// Load pattern: callers ask twice of what the targets give, for minutes. An
// answer within its latency objective is worth several times a late one, so time
// on targets that goes to late answers is taken from others that would be in
// time. Held for as long as their callers bear, all requests would end up late.
//
// So a request waits no longer than it can still be in time, and is then refused
// with a time to come back. One that comes back, or is late from the start, is
// worth less: it goes into the lowest class and waits for a moment only.
package patience

import (
	"time"

	"github.com/savorystall/savorystall/internal/scheduler"
)

// Request is what is known of a request when it arrives.
type Request struct {
	Arrived time.Time
	// Left is how long the caller waits at most, Limit how long the operator
	// lets a first attempt wait.
	Left, Limit time.Duration
	// Objective is the time to the first event, or to the answer, within which
	// it is in time; zero: none.
	Objective time.Duration
	// Stream tells a stream of events from a plain answer, Resumed one whose
	// caller has a part of it already.
	Stream, Resumed bool
	// Prompt and Output are tokens; zero: not stated.
	Prompt, Output int
}

// Plan is the decision.
type Plan struct {
	// Due is when the first byte of the answer has to be with the caller. The
	// request is refused where it can't be.
	Due   time.Time
	Class scheduler.Class
	// Cost is in tokens for a stream, where a generated token counts twice, and
	// in milliseconds of a slot otherwise.
	Cost float64
	// Late tells that the objective had passed on arrival.
	Late bool
}

const (
	// spentBefore is how much of the limit a caller must have used to be taken
	// for one that comes back. Callers state what is left of their time; below
	// this it is the way here.
	spentBefore = 50 * time.Millisecond
	// lateWait is how much longer than the objective a late request may take:
	// enough for a slot that is free anyway, and little enough to tell the caller
	// soon.
	lateWait = 150 * time.Millisecond
	// wayBack is the time of the answer on its way to the caller.
	wayBack = 5 * time.Millisecond
	// plainCost is the cost of a plain request in milliseconds before any was
	// measured, outputWeight what a generated token counts against one read.
	plainCost    = 20
	outputWeight = 2
)

// Decide returns the plan of a request.
func Decide(r Request) Plan {
	p := Plan{Class: scheduler.Standard, Cost: plainCost}
	if r.Stream {
		p.Cost = max(1, float64(r.Prompt+outputWeight*r.Output))
	}
	spent := max(0, r.Limit-r.Left)
	switch {
	case r.Objective <= 0:
		p.Due = r.Arrived.Add(r.Left)
	case spent > spentBefore || r.Resumed:
		p.Late = true
		p.Class = scheduler.Batch
		p.Due = r.Arrived.Add(min(r.Left, lateWait+r.Objective))
	default:
		p.Due = r.Arrived.Add(min(r.Left, r.Objective-wayBack))
	}
	return p
}
