package poison

import (
	"sync"
	"time"
)

const (
	// recentLifetime is for how long at least a subject counts as having run to its end, for twice
	// as long at most. It is less if more than maxRecent run to their ends meanwhile.
	recentLifetime = time.Minute
	// maxRecent bounds the subjects of one generation.
	maxRecent = 1 << 14
)

// Recent remembers which requests have lately run to their end at this daemon, and parts of their
// prompts. A popular one is in progress wherever a target ends, and if all targets of a service end
// in a short time it has no chance to clear itself. It is safe for concurrent use.
type Recent struct {
	mu              sync.Mutex
	requests, parts generations
}

// NewRecent returns a Recent that knows no request.
func NewRecent() *Recent { return &Recent{} }

// Add records that a request with these parts has run to its end.
func (r *Recent) Add(now time.Time, request Filter, parts ...Filter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests.add(now, request)
	for _, f := range parts {
		r.parts.add(now, f)
	}
}

// Contains reports whether a request, or one with a part, has lately run to its end.
func (r *Recent) Contains(now time.Time, s Subject) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.IsPart() {
		return r.parts.contains(now, s.Filter)
	}
	return r.requests.contains(now, s.Filter)
}

// generations is a set whose oldest half is dropped from time to time, and when it is full: what is
// added often stays.
type generations struct {
	current, previous map[Filter]struct{}
	rotatedAt         time.Time
}

func (g *generations) add(now time.Time, f Filter) {
	g.rotate(now)
	g.current[f] = struct{}{}
}

func (g *generations) contains(now time.Time, f Filter) bool {
	g.rotate(now)
	_, current := g.current[f]
	_, previous := g.previous[f]
	return current || previous
}

// rotate forgets what is too old, or too much.
func (g *generations) rotate(now time.Time) {
	switch age := now.Sub(g.rotatedAt); {
	case age >= 2*recentLifetime:
		g.current, g.previous, g.rotatedAt = map[Filter]struct{}{}, nil, now
	case age >= recentLifetime || len(g.current) >= maxRecent:
		g.current, g.previous, g.rotatedAt = map[Filter]struct{}{}, g.current, now
	}
}
