package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a wait that outlasts its context, and against one that reports a full wait after
// its context has ended, upon which a caller would go on with work that nobody needs.
func TestSleepEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		begin := time.Now()
		is.True(Sleep(t.Context(), Real, time.Second))
		is.Equal(time.Since(begin), time.Second)
		is.True(Sleep(t.Context(), Real, 0))

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begin = time.Now()
		is.True(!Sleep(ctx, Real, time.Minute))
		is.Equal(time.Since(begin), time.Second)
		is.True(!Sleep(ctx, Real, 0))
	})
}
