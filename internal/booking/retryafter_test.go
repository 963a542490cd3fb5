package booking_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
)

// BenchmarkRetryAfter compares the present rule with the derived one, with refused callers that return
// once and waves of demand as at the two deployments.
func BenchmarkRetryAfter(b *testing.B) {
	for _, f := range []contended{contended12, contended48} {
		for _, load := range []float64{0.9, 1.1, 1.5} {
			for _, derived := range []bool{false, true} {
				b.Run(fmt.Sprintf("slots=%d,load=%.1f,derived=%t", f.slots, load, derived), func(b *testing.B) {
					for b.Loop() {
						reportContended(b, f.withRetries(), load, booking.Config{MaxSlotWait: testSlotWait, DerivedRetryAfter: derived})
					}
				})
			}
		}
	}
}

func (f contended) withRetries() contended {
	f.retries, f.amplitude, f.period = true, 0.27, 11*time.Second
	if f.slots == 12 {
		f.amplitude, f.period = 0.55, 17*time.Second
	}
	return f
}

// Guards against retries that return while the targets are still full and are refused again, and
// against serving them in place of requests that can be in time.
func TestDerivedRetryAfterServesMoreRetries(t *testing.T) {
	is := is.New(t)
	var lateRetries [2]int
	var inTime [2]float64
	for seed := range uint64(4) {
		for i, derived := range []bool{false, true} {
			_, r := contended48.withRetries().run(seed, 1.1, booking.Config{MaxSlotWait: testSlotWait, DerivedRetryAfter: derived})
			lateRetries[i] += r.lateRetries
			inTime[i] += r.inTimeTotal()
		}
	}
	t.Logf("retries served %v, in time %.3f and %.3f", lateRetries, inTime[0]/4, inTime[1]/4)
	is.True(lateRetries[1] > 2*lateRetries[0])
	is.True(inTime[1] > 0.97*inTime[0])
}

// retryAfter returns the mean time that refusals state for a retry of callers of a workspace, on a target
// that workspace x has filled a given time before.
func retryAfter(t *testing.T, full time.Duration, ws ident.Workspace) (mean time.Duration) {
	now := time.Unix(1000, 0)
	c := booking.New(booking.Config{Self: "a", Incarnation: 1, Zone: "z", DerivedRetryAfter: true}, rand.New(rand.NewPCG(1, 1)))
	c.Configure(now, []booking.Service{{
		Name: "pool", ServesModel: true, Rate: 2000, Targets: []booking.Target{{Name: "t", Zone: "z", Slots: 8, Memory: 100000}},
		Workspaces: []booking.Workspace{{Name: "w", Weight: 1}, {Name: "x", Weight: 1}},
	}})
	now = now.Add(10 * time.Second)
	submit := func(id ident.Request, ws ident.Workspace, again bool) *booking.Refuse {
		c.Submit(now, booking.Request{ID: id, Service: "pool", Workspace: ws, Prompt: 1000, Output: 10, Deadline: now.Add(time.Second), PreviouslyPlaced: again,
			Parts: []booking.PromptPart{{ID: 1, Tokens: 10}, {ID: rand.Uint64(), Tokens: 990}}})
		for _, e := range c.TakeEffects() {
			if r, ok := e.(booking.Refuse); ok {
				return &r
			}
		}
		return nil
	}
	for i := range 12 { // further attempts are admitted beyond the workspace's share
		submit(ident.Request(fmt.Sprint("r", i)), "x", i >= 6)
	}
	now = now.Add(full)
	const n = 50
	for i := range n {
		r := submit(ident.Request(fmt.Sprint("q", i)), ws, false)
		if r == nil {
			t.Fatal("not refused")
		}
		mean += r.Failure.RetryAfter / n
	}
	return mean
}

// Guards against a time that does not depend on how long targets have been full.
func TestRetryAfterGrowsWithTheTimeForWhichATargetIsFull(t *testing.T) {
	is := is.New(t)
	short, long := retryAfter(t, 500*time.Millisecond, "w"), retryAfter(t, 3*time.Second, "w")
	t.Log(short, long)
	is.True(long > short)
	is.True(long >= 3*time.Second)
}

// Guards against one time for all: a workspace that has received less returns sooner.
func TestUnderservedWorkspaceRetriesSooner(t *testing.T) {
	served, underserved := retryAfter(t, 100*time.Millisecond, "x"), retryAfter(t, 100*time.Millisecond, "w")
	t.Log(served, underserved)
	is.New(t).True(served-underserved > 200*time.Millisecond) // the spread alone does not explain it
}
