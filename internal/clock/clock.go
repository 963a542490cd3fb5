// Package clock is the source of time that modules with timers are given, so
// that tests can replace it.
package clock

import "time"

// Clock tells the time and waits.
type Clock interface {
	Now() time.Time
	// After sends the time on the channel after d has passed.
	After(d time.Duration) <-chan time.Time
}

// Real is the clock of the machine.
var Real Clock = realClock{}

type realClock struct{}

func (realClock) Now() time.Time { return time.Now() }

func (realClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
