package retry

import "time"

// WindowConfig bounds the repeats of a service in the whole fleet: in each span
// of that length at most Ratio times the requests, and Burst more.
type WindowConfig struct {
	Ratio float64
	Burst float64
	Span  time.Duration
}

const (
	// buckets is the number of parts of a span that are counted apart. A repeat
	// is forgotten up to a part later than it could be, never earlier.
	buckets = 20
	// windowMargin is what a daemon uses of its part of the budget. The rest
	// covers requests that reach another daemon than they are counted at, and
	// shares that differ for a moment while daemons come and go.
	windowMargin = 0.7
)

// Window is one daemon's part of a fleet's budget of repeats. It is not safe for
// concurrent use.
//
// Load pattern: all targets of a service fail a part of their requests for
// seconds, at every daemon at once. Each daemon sees a good reason to repeat, and
// together they add to the load when there is the least capacity. No daemon asks
// another, so the budget holds also while some are cut off: each uses the ratio
// for its own requests, and the burst divided by the number of daemons.
type Window struct {
	cfg     WindowConfig
	daemons int
	counts  [buckets + 1]count
	// start is when the first part of a span began, at the number of the part that
	// counts[0] is.
	start time.Time
	at    int64
}

// count is what happened in one part of a span.
type count struct{ requests, repeats int }

// NewWindow returns a budget that is shared by one daemon.
func NewWindow(cfg WindowConfig) *Window { return &Window{cfg: cfg, daemons: 1} }

// SetDaemons tells how many daemons share the budget.
func (w *Window) SetDaemons(n int) { w.daemons = max(1, n) }

// Accepted counts a request.
func (w *Window) Accepted(now time.Time) {
	w.advance(now)
	w.counts[0].requests++
}

// Take counts a repeat and returns true where the budget allows it.
func (w *Window) Take(now time.Time) bool {
	w.advance(now)
	var sum count
	for _, c := range w.counts {
		sum.requests += c.requests
		sum.repeats += c.repeats
	}
	allowed := windowMargin * (w.cfg.Ratio*float64(sum.requests) + w.cfg.Burst/float64(w.daemons))
	if float64(sum.repeats+1) > allowed {
		return false
	}
	w.counts[0].repeats++
	return true
}

// advance shifts the counts by the parts of a span that have passed. It goes by
// differences of time, which a step of the time of day does not change.
func (w *Window) advance(now time.Time) {
	if w.start.IsZero() {
		w.start = now
	}
	part := int64(now.Sub(w.start) / max(1, w.cfg.Span/buckets))
	steps := min(max(0, part-w.at), int64(len(w.counts)))
	for range steps {
		copy(w.counts[1:], w.counts[:len(w.counts)-1])
		w.counts[0] = count{}
	}
	w.at = max(w.at, part)
}
