package turn_test

import (
	"context"
	"errors"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/turn"
)

// Guards against a call that times out although its response has arrived, because the
// goroutine that receives it has not run yet.
func TestReadyGoroutinesRunBeforeTimeout(t *testing.T) {
	is := is.New(t)
	previous := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(previous)
	load, stopLoad := context.WithCancel(t.Context())
	defer stopLoad()
	const busyTime, goroutines, timeout = time.Millisecond, 200, 50 * time.Millisecond
	for range goroutines {
		go func() {
			for load.Err() == nil {
				for end := time.Now().Add(busyTime); time.Now().Before(end); {
				}
				runtime.Gosched()
			}
		}()
	}
	runtime.Gosched()
	ctx, cancel := turn.WithTimeout(t.Context(), timeout)
	defer cancel()
	runtime.Gosched() // the timeout expires while this goroutine waits to run
	is.NoErr(ctx.Err())
	<-ctx.Done()
	is.Equal(ctx.Err(), context.DeadlineExceeded)
}

// Err and Cause of a context with a timeout report why it ended.
func TestContextReportsWhyItEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		ctx, cancel := turn.WithTimeout(t.Context(), time.Second)
		child, cancelChild := context.WithCancel(ctx)
		<-child.Done()
		is.Equal(time.Since(start), time.Second)
		is.Equal(ctx.Err(), context.DeadlineExceeded)
		is.Equal(context.Cause(child), context.DeadlineExceeded)
		cancelChild()
		cancel()

		ctx, cancel = turn.WithTimeout(t.Context(), time.Second)
		cancel()
		is.Equal(ctx.Err(), context.Canceled)

		cause := errors.New("reason")
		parent, cancelParent := context.WithCancelCause(t.Context())
		ctx, cancel = turn.WithTimeout(parent, time.Second)
		defer cancel()
		cancelParent(cause)
		is.Equal(ctx.Err(), context.Canceled)
		is.Equal(context.Cause(ctx), cause)
	})
}
