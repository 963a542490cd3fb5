package patience

import (
	"slices"
	"sync"
	"time"
)

const (
	// usualSamples is the number of requests from which the usual wait is derived, and
	// usualInterval the number after which it is derived anew.
	usualSamples  = 64
	usualInterval = 16
	// usualQuantile is the quantile of what callers state that counts as usual: retries state
	// less, and single callers may state much more.
	usualQuantile = 0.75
)

// Usual learns how long the callers of a route are prepared to wait when they first ask. It is safe
// for concurrent use.
//
// The load pattern it addresses: callers wait for longer than the operator lets one attempt take, so
// that a caller that was refused and returns a second later still states more than that limit, and
// would pass for a new one.
type Usual struct {
	mu     sync.Mutex
	stated [usualSamples]time.Duration
	count  int
	usual  time.Duration
}

// Observe records the time that a caller states, and returns the usual one; zero until enough is
// known.
func (u *Usual) Observe(stated time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stated[u.count%usualSamples] = stated
	u.count++
	if u.count >= usualSamples && u.count%usualInterval == 0 {
		sorted := u.stated
		slices.Sort(sorted[:])
		u.usual = sorted[int(usualQuantile*usualSamples)]
	}
	return u.usual
}
