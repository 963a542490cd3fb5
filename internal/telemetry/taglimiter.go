package telemetry

import "sync"

const (
	// maxTagValues bounds the values of a tag whose values come from outside, as each one is kept until
	// the daemon ends.
	maxTagValues = 500
	// otherTag is the value for all beyond that.
	otherTag = "other"
)

// tagLimiter bounds the values of a tag. The zero value is ready to use; it is safe for concurrent use.
type tagLimiter struct {
	mu   sync.Mutex
	seen map[string]bool
}

// tag returns the value that stands for the given one.
func (l *tagLimiter) tag(value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen[value] {
		return value
	}
	if len(l.seen) >= maxTagValues {
		return otherTag
	}
	if l.seen == nil {
		l.seen = map[string]bool{}
	}
	l.seen[value] = true
	return value
}
