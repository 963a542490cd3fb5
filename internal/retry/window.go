package retry

import "time"

// WindowConfig bounds the repeats of a service across the fleet, that is, the
// retries of requests that may have run: within each sliding window of length
// Span they are at most Ratio times the requests, plus Burst.
type WindowConfig struct {
	Ratio float64
	Burst float64
	Span  time.Duration
}

const (
	// buckets is the number of counting intervals per span. A repeat expires up
	// to one interval later than necessary, never earlier.
	buckets = 20
	// localBudgetFraction is the fraction of its share of the budget that a
	// daemon uses. The rest covers requests that are counted at one daemon and
	// reach another, and shares that differ briefly while daemons join and
	// leave.
	localBudgetFraction = 0.7
)

// Window is one daemon's share of a fleet-wide budget of repeats. It is not
// safe for concurrent use.
//
// The load pattern it addresses: all targets of a service fail some of their
// requests for seconds, at every daemon at once. Each daemon has good reason to
// repeat them, and together they add load when capacity is lowest. Daemons do
// not coordinate, so that the budget also holds while some are partitioned:
// each applies the ratio to its own requests and uses the burst divided by the
// number of daemons.
type Window struct {
	cfg     WindowConfig
	daemons int
	counts  [buckets + 1]bucketCounts
	// startedAt is when bucket 0 began; currentBucket is the number of the
	// bucket that counts[0] holds.
	startedAt     time.Time
	currentBucket int64
}

// bucketCounts counts the requests and repeats of one bucket.
type bucketCounts struct{ requests, repeats int }

// NewWindow returns a budget for a fleet of one daemon.
func NewWindow(cfg WindowConfig) *Window { return &Window{cfg: cfg, daemons: 1} }

// SetDaemons sets the number of daemons that share the budget.
func (w *Window) SetDaemons(n int) { w.daemons = max(1, n) }

// Accepted counts a request.
func (w *Window) Accepted(now time.Time) {
	w.advance(now)
	w.counts[0].requests++
}

// Allow reports whether the budget allows a repeat, and counts it if so.
func (w *Window) Allow(now time.Time) bool {
	w.advance(now)
	var sum bucketCounts
	for _, c := range w.counts {
		sum.requests += c.requests
		sum.repeats += c.repeats
	}
	allowed := localBudgetFraction * (w.cfg.Ratio*float64(sum.requests) + w.cfg.Burst/float64(w.daemons))
	if float64(sum.repeats+1) > allowed {
		return false
	}
	w.counts[0].repeats++
	return true
}

// advance shifts the counts by the buckets that have passed. It uses time
// differences, so that steps of the wall clock do not affect it.
func (w *Window) advance(now time.Time) {
	if w.startedAt.IsZero() {
		w.startedAt = now
	}
	bucket := int64(now.Sub(w.startedAt) / max(1, w.cfg.Span/buckets))
	steps := min(max(0, bucket-w.currentBucket), int64(len(w.counts)))
	for range steps {
		copy(w.counts[1:], w.counts[:len(w.counts)-1])
		w.counts[0] = bucketCounts{}
	}
	w.currentBucket = max(w.currentBucket, bucket)
}
