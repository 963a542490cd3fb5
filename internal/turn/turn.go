// Package turn bounds calls of a process whose goroutines may wait long for their turns.
//
// Where processor time is short, the answer to a call may have come, and wait for a turn of
// the goroutine that reads it, when the time of the call is up. The runtime runs timers
// first, so that a plain limit ends such a call, and each one after it, for as long as a
// turn takes longer than the limit leaves.
package turn

import (
	"context"
	"errors"
	"runtime"
	"time"
)

// reading is how many turns in a row it takes at most to read an answer that has come: the
// connection's, that of the protocol above it, and the caller's.
const reading = 3

// WithTimeout is context.WithTimeout, but that once the time is up everything that was ready
// to run by then still gets its turn. It has no Deadline.
func WithTimeout(parent context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := time.AfterFunc(limit, func() {
		for range reading {
			runtime.Gosched() // it goes behind all that are ready
		}
		cancel(context.DeadlineExceeded)
	})
	return timed{ctx}, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

// timed is a context that ends with context.DeadlineExceeded where its time was up.
type timed struct{ context.Context }

// Err implements context.Context.
func (c timed) Err() error {
	err := c.Context.Err()
	if err != nil && errors.Is(context.Cause(c.Context), context.DeadlineExceeded) {
		return context.DeadlineExceeded
	}
	return err
}
