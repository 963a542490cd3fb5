package daemon

import "sync"

// repeats is a retry budget: each request earns a tenth of a repeat, and at
// most ten repeats are saved up, so that a failing pool is not asked twice for
// everything.
type repeats struct {
	mu    sync.Mutex
	spent float64
}

const (
	earnedByRequest = 0.1
	repeatsSaved    = 10
)

// Request implements ingress.Budget.
func (r *repeats) Request() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spent = max(0, r.spent-earnedByRequest)
}

// Take implements ingress.Budget.
func (r *repeats) Take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.spent+1 > repeatsSaved {
		return false
	}
	r.spent++
	return true
}
