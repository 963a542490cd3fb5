// Package turn provides call timeouts for processes whose goroutines may wait long before
// they are scheduled.
//
// When processor time is short, the response to a call may have arrived while the
// goroutine that reads it is still waiting to run at the time the timeout expires. The
// runtime runs timers first, so that a plain timeout ends such a call, and every
// following one, for as long as the scheduling latency exceeds the time that the timeout
// leaves.
package turn

import (
	"context"
	"errors"
	"runtime"
	"time"
)

// readerTurns is the largest number of goroutines that run one after the other to read a
// response that has arrived: those of the connection, of the protocol above it, and of
// the caller.
const readerTurns = 3

// WithTimeout is like context.WithTimeout, except that goroutines that are runnable when
// the timeout expires still run before the context ends. The context has no Deadline.
func WithTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := time.AfterFunc(timeout, func() {
		yield()
		cancel(context.DeadlineExceeded)
	})
	return timeoutContext{ctx}, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

// After calls f in a goroutine of its own once the goroutines that are runnable now have read
// and passed on what has arrived for them.
func After(f func()) {
	go func() {
		yield()
		f()
	}()
}

// yield lets the goroutines run that have a response to read.
func yield() {
	for range readerTurns {
		runtime.Gosched() // runs after all runnable goroutines
	}
}

// timeoutContext is a context whose Err is context.DeadlineExceeded if its timeout
// expired.
type timeoutContext struct{ context.Context }

// Err implements context.Context.
func (c timeoutContext) Err() error {
	err := c.Context.Err()
	if err != nil && errors.Is(context.Cause(c.Context), context.DeadlineExceeded) {
		return context.DeadlineExceeded
	}
	return err
}
