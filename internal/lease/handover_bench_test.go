package lease

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/clock"
)

const (
	benchTerm    = 400 * time.Millisecond
	benchLongest = 50 * time.Millisecond
)

// BenchmarkHandover measures how long a successor waits for the lease of a
// target that ignores fencing tokens: after a graceful shutdown, where the lease is
// released at once, and after a crash, where the successor waits for the term
// and the longest order by its own clock.
func BenchmarkHandover(b *testing.B) {
	for _, c := range []struct {
		name    string
		planned bool
	}{{"graceful shutdown", true}, {"crash", false}} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				handOverLease(b, c.planned)
			}
		})
	}
}

func handOverLease(b *testing.B, planned bool) {
	is := is.New(b)
	ctx := context.Background()
	table := &fakeTable{}
	claim := Claim{Holder: "d1", Incarnation: 1, LongestOrder: benchLongest, Document: 1}
	first := New(table, clock.Real, "pool", "engine-1", benchTerm)
	is.NoErr(first.Acquire(ctx, claim))
	if planned {
		is.NoErr(first.Release(ctx))
	}
	claim.Holder = "d2"
	second := New(table, clock.Real, "pool", "engine-1", benchTerm)
	for second.Acquire(ctx, claim) != nil {
		time.Sleep(time.Millisecond)
	}
}
