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

// A call whose answer has come is over before the goroutine that takes it has its turn.
func TestWhatIsReadyIsRunBeforeTheTimeIsUp(t *testing.T) {
	is := is.New(t)
	former := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(former)
	done, end := context.WithCancel(t.Context())
	defer end()
	const busy, others, limit = time.Millisecond, 200, 50 * time.Millisecond
	for range others {
		go func() {
			for done.Err() == nil {
				for end := time.Now().Add(busy); time.Now().Before(end); {
				}
				runtime.Gosched()
			}
		}()
	}
	runtime.Gosched()
	ctx, cancel := turn.WithTimeout(t.Context(), limit)
	defer cancel()
	runtime.Gosched() // this goroutine is ready when the time is up, and waits for its turn
	is.NoErr(ctx.Err())
	<-ctx.Done()
	is.Equal(ctx.Err(), context.DeadlineExceeded)
}

// Calls under a limit tell why they ended.
func TestTheEndHasItsReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		begun := time.Now()
		ctx, cancel := turn.WithTimeout(t.Context(), time.Second)
		child, cancelChild := context.WithCancel(ctx)
		<-child.Done()
		is.Equal(time.Since(begun), time.Second)
		is.Equal(ctx.Err(), context.DeadlineExceeded)
		is.Equal(context.Cause(child), context.DeadlineExceeded)
		cancelChild()
		cancel()

		ctx, cancel = turn.WithTimeout(t.Context(), time.Second)
		cancel()
		is.Equal(ctx.Err(), context.Canceled)

		reason := errors.New("reason")
		parent, end := context.WithCancelCause(t.Context())
		ctx, cancel = turn.WithTimeout(parent, time.Second)
		defer cancel()
		end(reason)
		is.Equal(ctx.Err(), context.Canceled)
		is.Equal(context.Cause(ctx), reason)
	})
}
