// Package clock defines the time source of modules that use timers, so that tests can replace
// it.
package clock

import "time"

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
