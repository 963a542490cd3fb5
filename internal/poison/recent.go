package poison

import (
	"sync"
	"time"
)

const (
	// recentLifetime is for how long at least a request counts as having run to its end, for twice
	// as long at most.
	recentLifetime = time.Minute
	// maxRecent bounds the requests of one generation.
	maxRecent = 1 << 14
)

// Recent remembers which requests have lately run to their end at this daemon. A popular request
// is in progress wherever a target ends, and if all targets of a service end in a short time it
// has no chance to clear itself. It is safe for concurrent use.
type Recent struct {
	mu                sync.Mutex
	current, previous map[Filter]struct{}
	rotatedAt         time.Time
}

// NewRecent returns a Recent that knows no request.
func NewRecent() *Recent { return &Recent{current: map[Filter]struct{}{}} }

// Add records that a request has run to its end.
func (r *Recent) Add(now time.Time, f Filter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	if len(r.current) < maxRecent {
		r.current[f] = struct{}{}
	}
}

// Contains reports whether a request has lately run to its end.
func (r *Recent) Contains(now time.Time, f Filter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	_, current := r.current[f]
	_, previous := r.previous[f]
	return current || previous
}

// rotate forgets what is too old. The caller holds the lock.
func (r *Recent) rotate(now time.Time) {
	switch age := now.Sub(r.rotatedAt); {
	case age >= 2*recentLifetime:
		r.current, r.previous, r.rotatedAt = map[Filter]struct{}{}, nil, now
	case age >= recentLifetime:
		r.current, r.previous, r.rotatedAt = map[Filter]struct{}{}, r.current, now
	}
}
