// Package clock defines the time source of modules that use timers, so that tests can replace
// it.
package clock

import (
	"context"
	"time"
)

// Clock provides the current time and timers.
type Clock interface {
	Now() time.Time
	// After sends the current time on the returned channel after d has elapsed.
	After(d time.Duration) <-chan time.Time
}

// Real is the system clock.
var Real Clock = realClock{}

type realClock struct{}

func (realClock) Now() time.Time { return time.Now() }

func (realClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Sleep waits until d has elapsed on a clock or ctx ends, and reports whether d has elapsed. It
// does not wait if d is not positive, and then reports whether ctx has not ended.
func Sleep(ctx context.Context, c Clock, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-c.After(d):
		return true
	}
}
