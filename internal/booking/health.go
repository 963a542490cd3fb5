package booking

import "time"

// health is how the requests on a target ended of late.
type health struct {
	// failures and ends are sums that fade.
	failures, ends decayingSum
	// row counts the failures since the last good end.
	row int
	// closed is until when no request is taken but one in probeEvery.
	closed time.Time
	wait   time.Duration
	probed time.Time
}

const (
	// rowToClose is how many failures in a row close a target for a while: a
	// request that fails by itself must not take the target from all others.
	rowToClose = 3
	// shareToClose is the part of failed requests that does the same for a target
	// that succeeds between.
	shareToClose = 0.35
	// closeBase and closeMost bound the time that a target stays closed. It
	// doubles with each failed probe.
	closeBase = 300 * time.Millisecond
	closeMost = 3 * time.Second
	// leastEnds is how many ends a share of failures needs to say anything.
	leastEnds = 3
)

// ended takes in how a request ended.
func (h *health) ended(now time.Time, failed bool) {
	h.ends.add(now, 1)
	if !failed {
		h.row, h.wait, h.closed = 0, 0, time.Time{}
		return
	}
	h.failures.add(now, 1)
	h.row++
	if h.row >= rowToClose || h.share(now) > shareToClose {
		h.wait = min(max(closeBase, 2*h.wait), closeMost)
		h.closed = now.Add(h.wait)
	}
}

// share is the part of requests that failed of late; zero where too few ended.
func (h *health) share(now time.Time) float64 {
	ends := h.ends.now(now)
	if ends < leastEnds {
		return 0
	}
	return h.failures.now(now) / ends
}

// open tells whether the target takes requests. Once the time that it was closed
// for has passed, one request goes through as a probe.
func (h *health) open(now time.Time) bool {
	if h.closed.IsZero() {
		return true
	}
	if now.Before(h.closed) || now.Sub(h.probed) < closeBase {
		return false
	}
	h.probed = now
	return true
}
