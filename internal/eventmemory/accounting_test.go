package eventmemory_test

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/eventmemory"
)

// Guards against memory that stays counted after its streams are gone, and against a stream that is ended twice
// or after its release.
func TestReleasedStreamsHoldNothing(t *testing.T) {
	is := is.New(t)
	budget := eventmemory.New(64<<20, time.Now)
	crowd := budget.NewStream(func() {}) // half of the limit is held all the while
	is.NoErr(crowd.Hold(1 << 20))
	var ended atomic.Int64
	var wg sync.WaitGroup
	for seed := range uint64(16) {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, 83))
			for range 300 {
				var ends atomic.Int64
				var released atomic.Bool
				s := budget.NewStream(func() {
					ended.Add(1)
					if ends.Add(1) > 1 || released.Load() {
						t.Error("ended twice, or after its release")
					}
				})
				for range 30 {
					if s.Hold(random.IntN(3<<20)) != nil { // up to more than is free
						break
					}
				}
				s.Release()
				released.Store(true)
			}
		})
	}
	wg.Wait()
	crowd.Release()
	is.Equal(budget.Held(), int64(0))
	is.True(ended.Load() > 0)
}
